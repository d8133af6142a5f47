"""The command line for people. The platform starts `python -m cloverwell`, which does not import it."""
