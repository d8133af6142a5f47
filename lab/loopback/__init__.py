"""Stand-ins of a real proxy's neighbours on loopback: cache nodes, origin, discovery, and requests."""
