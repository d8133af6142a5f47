"""The command line, for people; the platform's bare start imports nothing of it."""
