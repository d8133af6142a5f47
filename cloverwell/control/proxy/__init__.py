"""The control log in a serving proxy: it applies entries, and waits at the start until it has caught up."""
