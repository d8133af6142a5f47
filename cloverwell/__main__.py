"""`python -m cloverwell`, the platform's plain start of a proxy; `cloverwell.program` has its exit codes."""

import sys

from cloverwell.unused_modules import exclude_unused_modules


def run() -> int:
    """Serves until a graceful shutdown has ended; returns the exit code."""
    exclude_unused_modules()
    # Imported only now, since the program imports Twisted.
    from cloverwell.program import main

    return main()


if __name__ == "__main__":
    sys.exit(run())
