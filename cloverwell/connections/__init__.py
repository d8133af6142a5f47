"""Which connections are let in, kept, opened ahead and retired: decisions without I/O, clock or log."""
