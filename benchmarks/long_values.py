"""Memory of a real proxy while N clients read a value of 4 MiB each, slowly, all at once.

    python benchmarks/long_values.py [--readers 1 20 100] [--kb-s 400] [--memory-mb 80]

Real processes on loopback; it stops by itself, after about 12 s for each number of readers.
"""

import argparse
import contextlib
import socket
import sys
import tempfile
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from cloverwell.streamed_value import LONGEST
from lab.processes import Place

PIECE = 16 * 1024  # read at once


def read_slowly(address: tuple[str, int], number: int, kb_s: float, whole: list[int]) -> None:
    with socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE)
        client.settimeout(60.0)
        client.connect(address)
        client.sendall(b"mg k%d v O%d Pc=page,t=acme,d=2000\r\n" % (number, number))
        got, wanted = 0, len(f"VA {LONGEST} O{number}\r\n") + LONGEST + 2
        while piece := client.recv(PIECE):
            got += len(piece)
            if got == wanted:
                whole.append(number)
                return
            time.sleep(len(piece) / 1024.0 / kb_s)


def rss_mb(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * 4096 / 1e6


def measure(readers: int, kb_s: float, memory_mb: float) -> tuple[float, float, int]:
    """Resident memory before and at the most, and how many values came whole."""
    with (
        tempfile.TemporaryDirectory() as folder,
        contextlib.closing(Place(Path(folder), b"v" * LONGEST, 1024, memory_mb)) as place,
    ):
        proxy = place.start().ready().popen
        before, whole = rss_mb(proxy.pid), []
        clients = [
            threading.Thread(target=read_slowly, args=(place.listen, n, kb_s, whole)) for n in range(readers)
        ]
        for client in clients:
            client.start()
        most = before
        while any(client.is_alive() for client in clients):
            most = max(most, rss_mb(proxy.pid))
            time.sleep(0.02)
    return before, most, len(whole)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--readers", type=int, nargs="+", default=[1, 20, 100])
    parser.add_argument("--kb-s", type=float, default=400.0)
    parser.add_argument("--memory-mb", type=float, default=80.0)
    args = parser.parse_args()
    print("readers  RSS before MB  at the most MB  values that came whole")
    for readers in args.readers:
        before, most, whole = measure(readers, args.kb_s, args.memory_mb)
        print(f"{readers:7d} {before:14.1f} {most:15.1f} {whole:9d}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
