"""A control node as a program: its file, its storage on disk, and its connections."""
