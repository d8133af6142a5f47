"""The proxy's sockets: the clients' side, the attempts to cache boxes and origin, and discovery."""
