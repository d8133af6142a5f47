"""The control log in a proxy that serves: what an entry changes in it, and when a start is caught up."""
