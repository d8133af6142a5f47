"""Replacement of one proxy process by another at the same address, without losing a client's connection."""
