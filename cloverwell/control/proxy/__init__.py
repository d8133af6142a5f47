"""The control log in a serving proxy: what an entry changes in it, and when a start has caught up."""
