"""Addresses of control nodes: a host and a port, as sockets take them."""

from __future__ import annotations

Address = tuple[str, int]


def format_address(address: Address) -> str:
    """Returns HOST:PORT, as configuration files and messages to operators have it."""
    host, port = address
    return f"{host}:{port}"
