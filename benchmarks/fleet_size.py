"""Measures what the number of cache nodes costs one proxy: start, change of the list, idle time, memory,
bytes.

    python benchmarks/fleet_size.py [--nodes 24 48 96 190 480 1000] [--runs 3] [--json]

Each size is measured in a process of its own on the virtual network; CPU time and memory are this machine's.
Each figure is the median of the runs, and the line through them by least squares gives the cost of one more
node. Bytes are those on the wire to discovery: the body of a complete list, and the poll and the answer of a
change.
"""

from __future__ import annotations

import argparse
import gc
import json
import statistics
import subprocess
import sys
import time
from collections.abc import Iterable
from dataclasses import asdict, dataclass, fields
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import msgspec

import cloverwell.program  # what a real proxy has loaded must not count as grown memory
from cloverwell.codec.http import encode_request
from cloverwell.membership.endpoint_list import Endpoint, EndpointList
from lab.fit import Line, fit
from lab.proxy_testbed import ProxyTestbed

SIZES = [24, 48, 96, 190, 480, 1000]
IDLE_S = 20
CHANGES = 20
MAX_CONNECTED_NODES = 100  # that have a connection in the second measurement of idle time
PAGE_BYTES = 4096
MIN_FITTED_SIZES = 3
DESCRIPTIONS = {
    "start_ms": "ms of CPU for a start",
    "change_ms": "ms of CPU for a change of one node",
    "idle_ms_per_s": "ms of CPU per idle second",
    "idle_open_ms_per_s": "the same with connections to up to 100 nodes",
    "rss_grown_mb": "MB resident because of the nodes",
    "list_bytes": "bytes of a complete list",
    "change_bytes": "bytes of a change",
}


@dataclass(slots=True)
class Measurement:
    """What one size costs. The field names are those of the JSON output."""

    nodes: float
    start_ms: float
    change_ms: float
    idle_ms_per_s: float
    idle_open_ms_per_s: float
    rss_mb: float
    rss_grown_mb: float
    list_bytes: float
    change_bytes: float


@dataclass(slots=True)
class SizeResult:
    """The medians over the runs of one size, and the lowest and highest value of each figure."""

    median: Measurement
    ranges: dict[str, tuple[float, float]]

    def as_dict(self) -> dict[str, object]:
        """Return the medians, and the ranges as `range`."""
        return asdict(self.median) | {"range": self.ranges}


def resident_mb() -> float:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


def realistic_endpoint(number: int) -> Endpoint:
    """Return an endpoint with names and an address as long as in a real fleet."""
    return Endpoint(
        id=f"cache-{number:04d}-7f3a",
        host_port=f"10.20.{number // 250}.{number % 250}:11211",
        locality="region-1-zone-b",
        flavor="standard-16",
        cell=number % 12,
        phase="in_service",
        size=1.0,
        up_since_ms=1_700_000_000_000.0,
    )


def list_bytes(nodes: int) -> int:
    """Return the size of the body of a complete list."""
    members = [realistic_endpoint(number) for number in range(nodes)]
    return len(msgspec.json.encode(EndpointList(123_456, True, members)))


def change_bytes() -> int:
    """Return the size of a poll and of its answer with one endpoint, headers included."""
    body = msgspec.json.encode(EndpointList(123_457, False, [realistic_endpoint(7)]))
    poll = encode_request("GET", "/v1/servers?after=123456&wait_ms=4000", "10.20.30.40:8500", {})
    headers = f"HTTP/1.1 200 \r\nContent-Length: {len(body)}\r\n\r\n"
    return len(poll) + len(headers) + len(body)


def idle_ms_per_s(world: ProxyTestbed) -> float:
    """Return the CPU time that a second without traffic takes."""
    world.net.run_for(1.0)
    began_s = time.process_time()
    world.net.run_for(IDLE_S)
    return 1000.0 * (time.process_time() - began_s) / IDLE_S


def change_ms(world: ProxyTestbed) -> float:
    """Return the CPU time of a change, where one node is added and removed in turn."""
    endpoint = Endpoint("fresh", "127.0.9.9:99", flavor="large")
    began_s = time.process_time()
    for number in range(CHANGES):
        endpoint.phase = "terminated" if number % 2 else "in_service"
        world.service.endpoint_discovery.apply(EndpointList(42 + number, False, [endpoint]))
        world.service.dispatcher.carry_out_due_decisions()
    return 1000.0 * (time.process_time() - began_s) / CHANGES


def open_connections(world: ProxyTestbed, nodes: int) -> None:
    """Open a connection to each node, up to `MAX_CONNECTED_NODES`."""
    for number in range(min(nodes, MAX_CONNECTED_NODES)):
        world.service.pools.pool_of(f"s{number}")._opening.open()


def measure(nodes: int) -> Measurement:
    """Measure one size in this process, which must not have measured another."""
    gc.collect()
    before_mb = resident_mb()
    began_s = time.process_time()
    world = ProxyTestbed(nodes)
    start_ms = 1000.0 * (time.process_time() - began_s)
    cloverwell.program.tune_garbage_collector()
    idle_ms = idle_ms_per_s(world)
    one_change_ms = change_ms(world)
    grown_mb = resident_mb() - before_mb
    # This comes last, because the connections are closed after the idle time in the settings, 4.5 s.
    open_connections(world, nodes)
    return Measurement(
        nodes=nodes,
        start_ms=start_ms,
        change_ms=one_change_ms,
        idle_ms_per_s=idle_ms,
        idle_open_ms_per_s=idle_ms_per_s(world),
        rss_mb=resident_mb(),
        rss_grown_mb=grown_mb,
        list_bytes=list_bytes(nodes),
        change_bytes=change_bytes(),
    )


def measure_in_processes(nodes: int, runs: int) -> SizeResult:
    """Measure one size in a new process for each run."""
    command = [sys.executable, __file__, "--one", str(nodes)]
    outputs = [subprocess.run(command, capture_output=True, check=True).stdout for _ in range(runs)]
    measurements = [Measurement(**json.loads(output)) for output in outputs]
    values = {
        field.name: [getattr(measurement, field.name) for measurement in measurements]
        for field in fields(Measurement)
    }
    median = Measurement(**{name: statistics.median(column) for name, column in values.items()})
    return SizeResult(median, {name: (min(values[name]), max(values[name])) for name in DESCRIPTIONS})


def fit_lines(results: Iterable[SizeResult]) -> dict[str, Line]:
    """Fit a line through each figure over the number of nodes; none for fewer than three sizes."""
    medians = [result.median for result in results]
    nodes = [median.nodes for median in medians]
    if len(set(nodes)) < MIN_FITTED_SIZES:
        return {}
    return {name: fit(nodes, [getattr(median, name) for median in medians]) for name in DESCRIPTIONS}


def print_table(results: Iterable[SizeResult], lines: dict[str, Line]) -> None:
    """Print one row for each size, and then the cost of a node."""
    print("nodes  start ms  change ms  idle ms/s  with 100 open  RSS MB  of it by the nodes  list bytes")
    for result in results:
        row = result.median
        print(
            f"{row.nodes:5.0f} {row.start_ms:9.1f} {row.change_ms:10.2f}"
            f" {row.idle_ms_per_s:10.2f} {row.idle_open_ms_per_s:14.2f}"
            f" {row.rss_mb:7.1f} {row.rss_grown_mb:8.1f} {row.list_bytes:23.0f}"
        )
    for name, line in lines.items():
        node_cost = f"{line.slope:.3g} (+- {line.slope_error:.2g}) a node"
        print(f"{DESCRIPTIONS[name]}: {line.at_zero:.3g} + {node_cost}")


def print_json(results: Iterable[SizeResult], lines: dict[str, Line], runs: int) -> None:
    """Print the medians, their ranges, and the fitted lines."""
    rows = [result.as_dict() for result in results]
    per_node = {name: line.as_dict() for name, line in lines.items()}
    print(json.dumps({"runs": runs, "rows": rows, "per_node": per_node}, indent=1))


def main() -> int:
    """Run the benchmark, or with `--one` a single measurement in this process."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--nodes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--runs", type=int, default=3, help="of each size (3)")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.one:
        print(json.dumps(asdict(measure(options.one))))
        return 0
    results = [measure_in_processes(nodes, options.runs) for nodes in options.nodes]
    lines = fit_lines(results)
    if options.json:
        print_json(results, lines, options.runs)
    else:
        print_table(results, lines)
    return 0


if __name__ == "__main__":
    sys.exit(main())
