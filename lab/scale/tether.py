"""A process that ends with its parent, whatever ended that: Linux sends it SIGKILL (prctl(2)).

`python -m lab.scale.tether PARENT COMMAND...` becomes the command, which keeps the tether over execve(2) and
needs no code of its own for it. The processes of `lab.scale.child` see their standard input close besides.
"""

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1


def tether(parent: int) -> None:
    """Ends this process with `parent`, its parent's id; at once where that has ended already."""
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0) != 0:
        raise OSError(ctypes.get_errno(), "prctl")
    if os.getppid() != parent:
        os._exit(1)


if __name__ == "__main__":
    tether(int(sys.argv[1]))
    os.execv(sys.argv[2], sys.argv[2:])
