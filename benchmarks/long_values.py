"""Measures the memory of a real proxy while N clients at once each read a value of 4 MiB slowly.

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
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from process_usage import rss_mb

from cloverwell.streamed_value import MAX_STREAMED_VALUE_BYTES
from lab.processes import ProxyFixture

RECEIVE_BYTES = 16 * 1024
TIMEOUT_S = 60.0
SAMPLE_INTERVAL_S = 0.02


@dataclass(slots=True, frozen=True)
class MemoryResult:
    """The proxy's resident memory before the reads and at its maximum, and how many values came complete."""

    before_mb: float
    max_mb: float
    complete: int


def read_slowly(address: tuple[str, int], number: int, kb_s: float, complete: list[int]) -> None:
    """Reads one value at `kb_s`; adds the reader's number to `complete` if all of it came."""
    with socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        client.settimeout(TIMEOUT_S)
        client.connect(address)
        client.sendall(b"mg k%d v O%d Pc=page,t=acme,d=2000\r\n" % (number, number))
        received, wanted = (
            0,
            len(f"VA {MAX_STREAMED_VALUE_BYTES} O{number}\r\n") + MAX_STREAMED_VALUE_BYTES + 2,
        )
        while data := client.recv(RECEIVE_BYTES):
            received += len(data)
            if received == wanted:
                complete.append(number)
                return
            time.sleep(len(data) / 1024.0 / kb_s)


def measure(readers: int, kb_s: float, memory_mb: float) -> MemoryResult:
    """Measures a proxy with that many readers; `memory_mb` is its memory limit."""
    with (
        tempfile.TemporaryDirectory() as folder,
        contextlib.closing(
            ProxyFixture(Path(folder), b"v" * MAX_STREAMED_VALUE_BYTES, 1024, memory_mb)
        ) as place,
    ):
        proxy = place.start().ready().popen
        before_mb = max_mb = rss_mb(proxy.pid)
        complete: list[int] = []
        clients = [
            threading.Thread(target=read_slowly, args=(place.listen, number, kb_s, complete))
            for number in range(readers)
        ]
        for client in clients:
            client.start()
        while any(client.is_alive() for client in clients):
            max_mb = max(max_mb, rss_mb(proxy.pid))
            time.sleep(SAMPLE_INTERVAL_S)
    return MemoryResult(before_mb, max_mb, len(complete))


def main() -> int:
    """Measures each number of readers, and prints a row for it."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--readers", type=int, nargs="+", default=[1, 20, 100])
    parser.add_argument("--kb-s", type=float, default=400.0)
    parser.add_argument("--memory-mb", type=float, default=80.0)
    args = parser.parse_args()
    print("readers  RSS before MB  at the most MB  values that came whole")
    for readers in args.readers:
        result = measure(readers, args.kb_s, args.memory_mb)
        print(f"{readers:7d} {result.before_mb:14.1f} {result.max_mb:15.1f} {result.complete:9d}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
