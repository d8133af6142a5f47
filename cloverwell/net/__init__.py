"""The proxy's sockets: the clients' side, the attempts to cache nodes and origin, and discovery."""
