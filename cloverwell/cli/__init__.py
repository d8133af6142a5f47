"""The command line for people. `python -m cloverwell`, the platform's start, imports nothing of it."""
