"""One real proxy on loopback as a data path: what a request costs by its size, and what happens above a rate.

    python benchmarks/data_path.py [--kb 1 64 512 4096] [--clients 16] [--seconds 4] [--json]
    python benchmarks/data_path.py --rates 1020 2040 4080 6120 --kb 510 [--clients 128] [--json]

Without `--rates` each client asks again once it has its answer (closed loop): the most the proxy serves, and
its CPU time a request, with a line through the sizes. With `--rates` requests come by chance at that rate
whatever becomes of the ones before (open loop, Poisson): served, refused, failed, and not sent, where no
connection came free before the request's two seconds were over. Latency counts from when a request was due.

The proxy, the nodes behind it and the clients are processes of their own, and share this machine's cores. It
stops by itself, after the seconds given and some more for each size or rate.
"""

import argparse
import contextlib
import json
import multiprocessing
import os
import socket
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab.fit import fit
from lab.processes import Place, free_port

CLIENT_PROCESSES = 4
DEADLINE_S = 2.0
PIECE = 256 * 1024  # read at once
HERTZ = os.sysconf("SC_CLK_TCK")
WARM_S = 0.5


@dataclass(slots=True, frozen=True)
class Row:
    """Times in ms, CPU of the proxy alone."""

    bytes: int
    asked_per_s: float  # 0: closed loop
    served_per_s: float
    refused_per_s: float
    failed_per_s: float
    unsent_per_s: float
    gbit_per_s: float
    us_a_request: float  # of the proxy's CPU, by each that was answered
    cores: float  # of the proxy
    p50_ms: float
    p99_ms: float
    rss_mb: float  # of the proxy at the end
    load: float  # of the machine, mean of the last minute


class Client(threading.Thread):
    """One connection; what it asks next is told by `due`, in seconds of the monotonic clock."""

    def __init__(self, address: tuple[str, int], name: str, due, found: Counter, times: list[float]) -> None:
        super().__init__(daemon=True)
        self.address, self.label, self.due = address, name, due
        self.found, self.times = found, times
        self._piece = bytearray(PIECE)
        self._socket: socket.socket | None = None

    def run(self) -> None:
        for count, due_s in enumerate(self.due):
            time.sleep(max(0.0, due_s - time.monotonic()))
            left_ms = 1000.0 * (due_s + DEADLINE_S - time.monotonic())
            if left_ms < 10.0:
                self.found["unsent"] += 1
                continue
            try:
                word = self._ask(f"O{self.label}x{count}", int(left_ms))
            except OSError:
                word = "failed"
            if word == "failed":
                self._hang_up()
            self.found[word] += 1
            if word == "served":
                self.times.append(1000.0 * (time.monotonic() - due_s))
        self._hang_up()

    def _hang_up(self) -> None:
        if self._socket is not None:
            self._socket.close()
        self._socket = None

    def _ask(self, name: str, left_ms: int) -> str:
        if self._socket is None:
            self._socket = socket.create_connection(self.address, DEADLINE_S)
        self._socket.sendall(f"mg k{name} v {name} Pc=page,t=acme,d={left_ms}\r\n".encode())
        got = self._socket.recv_into(self._piece)
        while got and b"\r\n" not in self._piece[: min(got, 200)]:
            more = self._socket.recv_into(memoryview(self._piece)[got:])
            got = got + more if more else 0
        line, _, _ = bytes(self._piece[:200]).partition(b"\r\n")
        if not got:
            return "failed"
        if line.startswith(b"SERVER_ERROR busy"):
            return "refused"
        if not line.startswith(b"VA "):
            return "failed"
        wanted = len(line) + 2 + int(line.split()[1]) + 2
        while got < wanted:
            more = self._socket.recv_into(self._piece)
            if not more:
                return "failed"
            got += more
        return "served"


def closed_loop(until_s: float):
    while (now := time.monotonic()) < until_s:
        yield now


class Arrivals:
    """Poisson arrivals that the clients of one process share: each takes the next one."""

    def __init__(self, per_s: float, until_s: float, seed: int) -> None:
        self._rng, self._per_s, self._until_s = Random(seed), per_s, until_s
        self._next_s, self._lock = time.monotonic(), threading.Lock()

    def __iter__(self):
        while True:
            with self._lock:
                self._next_s += self._rng.expovariate(self._per_s)
                due_s = self._next_s
            if due_s >= self._until_s:
                return
            yield due_s


def ask(address, number: int, clients: int, per_s: float, seconds: float, results) -> None:
    """One process of clients."""
    found, times = Counter(), []
    until_s = time.monotonic() + seconds
    due = Arrivals(per_s, until_s, number) if per_s else None
    threads = [
        Client(address, f"{number}c{n}", due or closed_loop(until_s), found, times) for n in range(clients)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(seconds + 10.0)
    results.put((dict(found), times))


def node(port: int, value: int) -> None:
    """A node of its own, so that it does not share the interpreter with the clients."""
    from lab.processes import CacheNode, Server

    server = Server(("127.0.0.1", port), CacheNode)
    server.value = b"v" * value
    server.serve_forever()


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / HERTZ


def rss_mb(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * 4096 / 1e6


@contextlib.contextmanager
def served(value: int, nodes: int):
    """A proxy before nodes in processes of their own."""
    with tempfile.TemporaryDirectory() as folder:
        place = Place(Path(folder), sockets=1024)
        place.node.shutdown()
        place.node.server_close()
        ports = [free_port() for _ in range(nodes)]
        config = json.loads(place.config.read_text())
        config["known"]["members"] = [
            {"id": f"s{port}", "host_port": f"127.0.0.1:{port}", "flavor": "large"} for port in ports
        ]
        place.config.write_text(json.dumps(config))
        behind = [multiprocessing.Process(target=node, args=(port, value), daemon=True) for port in ports]
        for process in behind:
            process.start()
        try:
            yield place, place.start().ready().popen.pid
        finally:
            for process in place.processes:
                process.popen.kill()
                process.popen.wait()
            for process in behind:
                process.terminate()
                process.join()


def load(place: Place, clients: int, per_s: float, seconds: float) -> tuple[Counter, list[float]]:
    results = multiprocessing.Queue()
    each = max(1, clients // CLIENT_PROCESSES)
    askers = [
        multiprocessing.Process(
            target=ask, args=(place.listen, n, each, per_s / CLIENT_PROCESSES, seconds, results)
        )
        for n in range(CLIENT_PROCESSES)
    ]
    for asker in askers:
        asker.start()
    found, times = Counter(), []
    for _ in askers:
        some, took = results.get(timeout=seconds + 30.0)
        found.update(some)
        times += took
    for asker in askers:
        asker.join()
    return found, sorted(times)


def measure(value: int, nodes: int, clients: int, per_s: float, seconds: float) -> Row:
    with served(value, nodes) as (place, pid):
        load(place, clients, per_s, WARM_S)
        before_s, begun_s = cpu_s(pid), time.monotonic()
        found, times = load(place, clients, per_s, seconds)
        spent_s, took_s = cpu_s(pid) - before_s, time.monotonic() - begun_s
        answered = found["served"] + found["refused"] + found["failed"]
        return Row(
            bytes=value,
            asked_per_s=per_s,
            served_per_s=found["served"] / seconds,
            refused_per_s=found["refused"] / seconds,
            failed_per_s=found["failed"] / seconds,
            unsent_per_s=found["unsent"] / seconds,
            gbit_per_s=8e-9 * value * found["served"] / seconds,
            us_a_request=1e6 * spent_s / max(1, answered),
            cores=spent_s / took_s,
            p50_ms=times[len(times) // 2] if times else 0.0,
            p99_ms=times[int(0.99 * len(times))] if times else 0.0,
            rss_mb=rss_mb(pid),
            load=os.getloadavg()[0],
        )


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--kb", type=int, nargs="+", default=[1, 64, 512, 4096])
    parser.add_argument(
        "--rates", type=float, nargs="+", default=[0.0], help="requests a second; 0: closed loop"
    )
    parser.add_argument("--nodes", type=int, default=8, help="behind the proxy (8)")
    parser.add_argument("--clients", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    rows = [
        measure(1024 * kb, args.nodes, args.clients, rate, args.seconds)
        for kb in args.kb
        for rate in args.rates
    ]
    line = None
    if len(set(args.kb)) >= 3 and args.rates == [0.0]:
        line = fit([row.bytes / 1024 for row in rows], [row.us_a_request for row in rows])
    if args.json:
        told = {"rows": [asdict(row) for row in rows], "us_a_request_by_kb": line and line.as_dict()}
        print(json.dumps(told, indent=1))
        return 0
    print(
        "    KB  asked/s  served/s  refused  failed  unsent  Gbit/s  us CPU  cores  p50 ms  p99 ms  RSS  load"
    )
    for r in rows:
        print(
            f"{r.bytes // 1024:6d} {r.asked_per_s:8.0f} {r.served_per_s:9.0f} {r.refused_per_s:8.0f}"
            f" {r.failed_per_s:7.0f} {r.unsent_per_s:7.0f} {r.gbit_per_s:7.2f} {r.us_a_request:7.0f}"
            f" {r.cores:6.2f} {r.p50_ms:7.1f} {r.p99_ms:7.1f} {r.rss_mb:4.0f} {r.load:5.1f}"
        )
    if line:
        print(f"us a request: {line.at_zero:.0f} + {line.slope:.3g} (+- {line.slope_error:.2g}) a KB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
