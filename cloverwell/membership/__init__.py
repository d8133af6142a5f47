"""Discovery: the list of cache nodes and the origin, how it is followed, and what applying it changes."""
