"""Connections to cache nodes and the origin: pools of them, and the attempts they carry."""
