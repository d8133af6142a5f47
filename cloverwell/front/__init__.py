"""Whoever calls the proxy, each protocol in a module of its own."""
