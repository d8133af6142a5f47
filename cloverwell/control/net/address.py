"""Addresses of control nodes: a host and a port, in the form that sockets take."""

from __future__ import annotations

Address = tuple[str, int]


def format_address(address: Address) -> str:
    """Returns HOST:PORT, the form in configuration files and in messages to operators."""
    host, port = address
    return f"{host}:{port}"
