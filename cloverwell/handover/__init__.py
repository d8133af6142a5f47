"""One process takes over from another at the same address, without a request lost at the door."""
