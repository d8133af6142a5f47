"""The proxy's sockets: the clients' side, the legs to cache boxes and origin, and discovery."""
