"""A control node as a program: its configuration file, its storage on disk, and its connections."""
