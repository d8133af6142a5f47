"""Connections to cache nodes and the origin: their pools, and the attempts that they carry."""
