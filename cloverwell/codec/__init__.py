"""Turns bytes into typed values and back: ring buffers, lines and values, meta commands, HTTP/1.1."""
