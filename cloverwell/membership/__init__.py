"""The list of servers: where it comes from, and what its news mean."""
