"""The world round the proxy, in virtual time: what is tested and measured against. The proxy imports nothing
of it."""
