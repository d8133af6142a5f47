"""One real proxy on loopback as a data path: what a request costs by its size, and what happens above a rate.

    python benchmarks/data_path.py [--kb 1 64 512 4096] [--clients 16] [--seconds 4] [--json]
    python benchmarks/data_path.py --rates 1020 2040 4080 6120 --kb 510 [--clients 128] [--json]

Without `--rates` each client sends its next request once it has the answer (closed loop). This measures the
greatest rate that the proxy serves, and its CPU time for a request, with a line through the sizes. With
`--rates` requests arrive at that rate whatever becomes of earlier ones (open loop, Poisson arrivals). They
are counted as served, refused, failed, or unsent if no connection was free before their deadline. Latency
counts from when a request was due.

The proxy, the nodes behind it and the clients are processes of their own, and share this machine's cores. It
stops by itself, after the seconds given and some more for each size or rate.
"""

from __future__ import annotations

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
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field
from enum import Enum
from multiprocessing import Queue
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from process_usage import cpu_s, rss_mb

from lab.fit import Line, fit
from lab.processes import CacheNodeHandler, CacheNodeServer, ProxyFixture, free_port

CLIENT_PROCESSES = 4
DEADLINE_S = 2.0
MIN_TIMEOUT_MS = 10.0  # a request with less time left is not sent
RECEIVE_BYTES = 256 * 1024
MAX_LINE_BYTES = 200
WARM_UP_S = 0.5
MIN_SIZES_FOR_LINE = 3
RESULT_MARGIN_S = 30.0  # beyond the run's length, until a process of clients must have reported


class RequestOutcome(Enum):
    """How a request ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    UNSENT = "unsent"


OutcomeCounts = Counter[RequestOutcome]


@dataclass(slots=True, frozen=True)
class DataPathRow:
    """The result for one size and one rate.

    `bytes` is the size of the values; `asked_per_s` is 0 in a closed loop. `us_a_request` (CPU time for each
    answered request), `cores` and `rss_mb` (at the end) are the proxy's own. `load` is the machine's load
    average of the last minute.
    """

    bytes: int
    asked_per_s: float
    served_per_s: float
    refused_per_s: float
    failed_per_s: float
    unsent_per_s: float
    gbit_per_s: float
    us_a_request: float
    cores: float
    p50_ms: float
    p99_ms: float
    rss_mb: float
    load: float


@dataclass(slots=True)
class LoadResult:
    """The outcomes of requests, and the latencies of the served ones."""

    outcomes: OutcomeCounts = field(default_factory=Counter)
    latencies_ms: list[float] = field(default_factory=list)

    def add(self, other: LoadResult) -> None:
        """Adds the result of another process of clients."""
        self.outcomes.update(other.outcomes)
        self.latencies_ms += other.latencies_ms

    def percentile_ms(self, share: float) -> float:
        """Returns the latency that this share of the requests does not exceed; 0 if none was served."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


class Client(threading.Thread):
    """A client with one connection; `due` yields when its next request is due, by the monotonic clock."""

    def __init__(
        self, address: tuple[str, int], label: str, due: Iterable[float], result: LoadResult
    ) -> None:
        """`label` distinguishes the client's keys from those of others."""
        super().__init__(daemon=True)
        self._address = address
        self._label = label
        self._due = due
        self._result = result
        self._buffer = bytearray(RECEIVE_BYTES)
        self._socket: socket.socket | None = None

    def run(self) -> None:
        """Sends all requests, and closes the connection."""
        for count, due_s in enumerate(self._due):
            time.sleep(max(0.0, due_s - time.monotonic()))
            outcome = self._try_request(f"O{self._label}x{count}", due_s)
            self._result.outcomes[outcome] += 1
            if outcome is RequestOutcome.SERVED:
                self._result.latencies_ms.append(1000.0 * (time.monotonic() - due_s))
        self._close()

    def _try_request(self, opaque: str, due_s: float) -> RequestOutcome:
        timeout_ms = 1000.0 * (due_s + DEADLINE_S - time.monotonic())
        if timeout_ms < MIN_TIMEOUT_MS:
            return RequestOutcome.UNSENT
        try:
            outcome = self._request(opaque, int(timeout_ms))
        except OSError:
            outcome = RequestOutcome.FAILED
        if outcome is RequestOutcome.FAILED:
            self._close()
        return outcome

    def _close(self) -> None:
        if self._socket is not None:
            self._socket.close()
        self._socket = None

    def _request(self, opaque: str, timeout_ms: int) -> RequestOutcome:
        if self._socket is None:
            self._socket = socket.create_connection(self._address, DEADLINE_S)
        self._socket.sendall(f"mg k{opaque} v {opaque} Pc=page,t=acme,d={timeout_ms}\r\n".encode())
        received = self._receive_line(self._socket)
        line, _, _ = bytes(self._buffer[:MAX_LINE_BYTES]).partition(b"\r\n")
        if not received:
            return RequestOutcome.FAILED
        if line.startswith(b"SERVER_ERROR busy"):
            return RequestOutcome.REFUSED
        if not line.startswith(b"VA "):
            return RequestOutcome.FAILED
        wanted = len(line) + 2 + int(line.split()[1]) + 2
        is_complete = self._receive_rest(self._socket, wanted - received)
        return RequestOutcome.SERVED if is_complete else RequestOutcome.FAILED

    def _receive_line(self, connection: socket.socket) -> int:
        """Receives at least the first line; returns the number of bytes, or 0 if the connection ended."""
        received = connection.recv_into(self._buffer)
        while received and b"\r\n" not in self._buffer[: min(received, MAX_LINE_BYTES)]:
            more = connection.recv_into(memoryview(self._buffer)[received:])
            received = received + more if more else 0
        return received

    def _receive_rest(self, connection: socket.socket, left: int) -> bool:
        """Receives the rest of a value; returns False if the connection ended before."""
        while left > 0:
            more = connection.recv_into(self._buffer)
            if not more:
                return False
            left -= more
        return True


def closed_loop(until_s: float) -> Iterator[float]:
    """Yields the present instant, until the end."""
    while (now := time.monotonic()) < until_s:
        yield now


class Arrivals:
    """Poisson arrivals that the clients of one process share: each takes the next one."""

    def __init__(self, per_s: float, until_s: float, seed: int) -> None:
        """Begins now, and ends at `until_s` of the monotonic clock."""
        self._rng = Random(seed)
        self._per_s = per_s
        self._until_s = until_s
        self._next_s = time.monotonic()
        self._lock = threading.Lock()

    def __iter__(self) -> Iterator[float]:
        """Yields the arrivals that no other client takes."""
        while True:
            with self._lock:
                self._next_s += self._rng.expovariate(self._per_s)
                due_s = self._next_s
            if due_s >= self._until_s:
                return
            yield due_s


@dataclass(slots=True, frozen=True)
class ClientLoad:
    """The load of one process of clients; `per_s` is 0 in a closed loop."""

    address: tuple[str, int]
    clients: int
    per_s: float
    seconds: float


def run_clients(load: ClientLoad, number: int, results: Queue[LoadResult]) -> None:
    """Runs the clients of the process with this number, and puts their result into the queue."""
    result = LoadResult()
    until_s = time.monotonic() + load.seconds
    arrivals = Arrivals(load.per_s, until_s, number) if load.per_s else None
    threads = [
        Client(load.address, f"{number}c{n}", arrivals or closed_loop(until_s), result)
        for n in range(load.clients)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(load.seconds + 10.0)
    results.put(result)


def serve_node(port: int, value_bytes: int) -> None:
    """Runs a cache node; in a process of its own it does not share the interpreter with the clients."""
    server = CacheNodeServer(("127.0.0.1", port), CacheNodeHandler)
    server.value = b"v" * value_bytes
    server.serve_forever()


@contextlib.contextmanager
def proxy_with_nodes(value_bytes: int, nodes: int) -> Iterator[tuple[ProxyFixture, int]]:
    """Runs a proxy and its nodes in processes of their own; yields its place and its process id."""
    with tempfile.TemporaryDirectory() as folder:
        place = ProxyFixture(Path(folder), sockets=1024)
        place.node.shutdown()
        place.node.server_close()
        ports = [free_port() for _ in range(nodes)]
        _list_nodes(place, ports)
        node_processes = [
            multiprocessing.Process(target=serve_node, args=(port, value_bytes), daemon=True)
            for port in ports
        ]
        for node_process in node_processes:
            node_process.start()
        try:
            yield place, place.start().ready().popen.pid
        finally:
            for proxy in place.processes:
                proxy.popen.kill()
                proxy.popen.wait()
            for node_process in node_processes:
                node_process.terminate()
                node_process.join()


def _list_nodes(place: ProxyFixture, ports: list[int]) -> None:
    """Puts nodes at these ports into the proxy's configuration."""
    config = json.loads(place.config.read_text())
    config["known"]["members"] = [
        {"id": f"s{port}", "host_port": f"127.0.0.1:{port}", "flavor": "large"} for port in ports
    ]
    place.config.write_text(json.dumps(config))


def run_load(place: ProxyFixture, clients: int, per_s: float, seconds: float) -> LoadResult:
    """Runs clients in `CLIENT_PROCESSES` processes, and returns their common result."""
    results: Queue[LoadResult] = multiprocessing.Queue()
    load = ClientLoad(place.listen, max(1, clients // CLIENT_PROCESSES), per_s / CLIENT_PROCESSES, seconds)
    processes = [
        multiprocessing.Process(target=run_clients, args=(load, number, results))
        for number in range(CLIENT_PROCESSES)
    ]
    for process in processes:
        process.start()
    total = LoadResult()
    for _ in processes:
        total.add(results.get(timeout=seconds + RESULT_MARGIN_S))
    for process in processes:
        process.join()
    return total


def measure(value_bytes: int, nodes: int, clients: int, per_s: float, seconds: float) -> DataPathRow:
    """Measures one size at one rate, after a warm-up."""
    with proxy_with_nodes(value_bytes, nodes) as (place, pid):
        run_load(place, clients, per_s, WARM_UP_S)
        cpu_before_s, began_s = cpu_s(pid), time.monotonic()
        result = run_load(place, clients, per_s, seconds)
        proxy_cpu_s, duration_s = cpu_s(pid) - cpu_before_s, time.monotonic() - began_s
        outcomes = result.outcomes
        served = outcomes[RequestOutcome.SERVED]
        answered = served + outcomes[RequestOutcome.REFUSED] + outcomes[RequestOutcome.FAILED]
        return DataPathRow(
            bytes=value_bytes,
            asked_per_s=per_s,
            served_per_s=served / seconds,
            refused_per_s=outcomes[RequestOutcome.REFUSED] / seconds,
            failed_per_s=outcomes[RequestOutcome.FAILED] / seconds,
            unsent_per_s=outcomes[RequestOutcome.UNSENT] / seconds,
            gbit_per_s=8e-9 * value_bytes * served / seconds,
            us_a_request=1e6 * proxy_cpu_s / max(1, answered),
            cores=proxy_cpu_s / duration_s,
            p50_ms=result.percentile_ms(0.5),
            p99_ms=result.percentile_ms(0.99),
            rss_mb=rss_mb(pid),
            load=os.getloadavg()[0],
        )


def print_table(rows: list[DataPathRow], line: Line | None) -> None:
    """Prints the rows, and the line through them if there is one."""
    print(
        "    KB  asked/s  served/s  refused  failed  unsent  Gbit/s  us CPU  cores  p50 ms  p99 ms  RSS  load"
    )
    for row in rows:
        print(
            f"{row.bytes // 1024:6d} {row.asked_per_s:8.0f} {row.served_per_s:9.0f} {row.refused_per_s:8.0f}"
            f" {row.failed_per_s:7.0f} {row.unsent_per_s:7.0f} {row.gbit_per_s:7.2f} {row.us_a_request:7.0f}"
            f" {row.cores:6.2f} {row.p50_ms:7.1f} {row.p99_ms:7.1f} {row.rss_mb:4.0f} {row.load:5.1f}"
        )
    if line:
        print(f"us a request: {line.at_zero:.0f} + {line.slope:.3g} (+- {line.slope_error:.2g}) a KB")


def read_arguments() -> argparse.Namespace:
    """Returns the command's arguments."""
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
    return parser.parse_args()


def main() -> int:
    """Measures all sizes and rates, and prints the rows."""
    args = read_arguments()
    rows = [
        measure(1024 * kb, args.nodes, args.clients, rate, args.seconds)
        for kb in args.kb
        for rate in args.rates
    ]
    line: Line | None = None
    if len(set(args.kb)) >= MIN_SIZES_FOR_LINE and args.rates == [0.0]:
        line = fit([row.bytes / 1024 for row in rows], [row.us_a_request for row in rows])
    if args.json:
        report = {"rows": [asdict(row) for row in rows], "us_a_request_by_kb": line and line.as_dict()}
        print(json.dumps(report, indent=1))
    else:
        print_table(rows, line)
    return 0


if __name__ == "__main__":
    sys.exit(main())
