"""Ends a process together with its parent, however the parent ended: Linux sends it SIGKILL (prctl(2)).

`python -m lab.scale.tether PARENT COMMAND...` becomes the command by execve(2), which keeps this setting, so
that the command needs no code of its own for it. A process of `lab.scale.child` also sees its standard input
close.
"""

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1


def tether(parent: int) -> None:
    """Ends this process when the process with the id `parent` ends, and at once if that has ended already.

    Raises OSError if the kernel refuses.
    """
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0) != 0:
        raise OSError(ctypes.get_errno(), "prctl")
    if os.getppid() != parent:
        os._exit(1)


if __name__ == "__main__":
    tether(int(sys.argv[1]))
    os.execv(sys.argv[2], sys.argv[2:])
