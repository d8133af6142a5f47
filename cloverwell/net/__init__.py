"""The proxy's sockets: the acquirer side, the legs to cache boxes and origin, and discovery."""
