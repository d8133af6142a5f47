"""Bytes to typed things and back: the ring buffer, lines and values, HTTP/1.1 answers."""
