"""Discovery: follows the list of cache nodes and the origin, and applies its changes."""
