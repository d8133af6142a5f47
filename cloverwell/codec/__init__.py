"""Turns bytes into typed values and back: ring buffer, lines and values, meta commands, HTTP/1.1."""
