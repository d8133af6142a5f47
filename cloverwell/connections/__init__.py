"""Decides which connections are accepted, kept, opened ahead and retired, without I/O, clock or log."""
