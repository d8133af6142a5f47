"""What the number of nodes costs one proxy: its start, a change of the list, a quiet second, memory, bytes.

    python benchmarks/fleet_size.py [--nodes 24 48 96 190 480 1000] [--runs 3] [--json]

Each size is measured in a process of its own, on the virtual network: CPU time and memory are this machine's.
Each figure is the median of the runs, and the line through them by least squares says what a node costs.
Bytes are those of discovery's wire: a whole list as its body, a change as the watch's call and answer.
"""

import argparse
import gc
import json
import statistics
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

IDLE_S = 20
CHANGES = 20
WARM_ATTEMPTS = 100  # nodes that have a connection as a quiet second is measured once more
FIGURES = {
    "start_ms": "ms of CPU for a start",
    "change_ms": "ms of CPU for a change of one node",
    "idle_ms_per_s": "ms of CPU a quiet second",
    "idle_open_ms_per_s": "the same with connections to up to 100 nodes",
    "rss_grown_mb": "MB resident by the nodes",
    "list_bytes": "bytes of a whole list",
    "change_bytes": "bytes of a change",
}


def rss_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096 / 1e6


def list_bytes(nodes: int) -> int:
    """The body of a whole list, with names and addresses as long as in service."""
    import msgspec

    from cloverwell.membership.endpoint_list import EndpointList

    members = [_member(number) for number in range(nodes)]
    return len(msgspec.json.encode(EndpointList(123_456, True, members)))


def change_bytes() -> int:
    """A call of the watch and its answer with one member, heads included."""
    import msgspec

    from cloverwell.codec.http import request
    from cloverwell.membership.endpoint_list import EndpointList

    body = msgspec.json.encode(EndpointList(123_457, False, [_member(7)]))
    call = request("GET", "/v1/servers?after=123456&wait_ms=4000", "10.20.30.40:8500", {})
    return len(call) + len(f"HTTP/1.1 200 \r\nContent-Length: {len(body)}\r\n\r\n") + len(body)


def _member(number: int):
    from cloverwell.membership.endpoint_list import Endpoint

    return Endpoint(
        f"cache-{number:04d}-7f3a",
        f"10.20.{number // 250}.{number % 250}:11211",
        "region-1-zone-b",
        "standard-16",
        number % 12,
        "in_service",
        1.0,
        1_700_000_000_000.0,
    )


def measure(nodes: int) -> dict[str, float]:
    import cloverwell.__main__  # what a real proxy holds, its reactor included
    from cloverwell.membership.endpoint_list import Endpoint, EndpointList
    from lab.proxy_testbed import ProxyTestbed

    gc.collect()
    before_mb, begun = rss_mb(), time.process_time()
    world = ProxyTestbed(nodes)
    start_ms = 1000.0 * (time.process_time() - begun)
    cloverwell.__main__.collect_garbage()

    def quiet_ms_per_s() -> float:
        world.net.run_for(1.0)
        begun = time.process_time()
        world.net.run_for(IDLE_S)
        return 1000.0 * (time.process_time() - begun) / IDLE_S

    idle_ms = quiet_ms_per_s()
    table, member = world.service.endpoint_discovery, None
    begun = time.process_time()
    for number in range(CHANGES):
        phase = "terminated" if number % 2 else "in_service"
        member = member or Endpoint("fresh", "127.0.9.9:99", flavor="large")
        member.phase = phase
        table._take(EndpointList(42 + number, False, [member]))
        world.service.dispatcher.settle()
    change_ms = 1000.0 * (time.process_time() - begun) / CHANGES
    grown_mb = rss_mb() - before_mb
    # Connections last: they are retired after the settings' 4.5 s, within the time that is measured.
    for number in range(min(nodes, WARM_ATTEMPTS)):
        world.service.pools.of(f"s{number}")._open()
    return {
        "nodes": nodes,
        "start_ms": start_ms,
        "change_ms": change_ms,
        "idle_ms_per_s": idle_ms,
        "idle_open_ms_per_s": quiet_ms_per_s(),
        "rss_mb": rss_mb(),
        "rss_grown_mb": grown_mb,
        "list_bytes": list_bytes(nodes),
        "change_bytes": change_bytes(),
    }


def median_of(nodes: int, runs: int) -> dict[str, object]:
    found = []
    for _ in range(runs):
        run = subprocess.run([sys.executable, __file__, "--one", str(nodes)], capture_output=True, check=True)
        found.append(json.loads(run.stdout))
    row: dict[str, object] = {name: statistics.median(one[name] for one in found) for name in found[0]}
    row["range"] = {name: [min(o[name] for o in found), max(o[name] for o in found)] for name in FIGURES}
    return row


def main() -> int:
    from lab.fit import fit

    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--nodes", type=int, nargs="+", default=[24, 48, 96, 190, 480, 1000])
    parser.add_argument("--runs", type=int, default=3, help="of each size (3)")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.one:
        print(json.dumps(measure(args.one)))
        return 0
    rows = [median_of(nodes, args.runs) for nodes in args.nodes]
    lines = {}
    if len(set(args.nodes)) >= 3:
        lines = {name: fit(args.nodes, [row[name] for row in rows]) for name in FIGURES}
    if args.json:
        fits = {name: line.as_dict() for name, line in lines.items()}
        print(json.dumps({"runs": args.runs, "rows": rows, "per_node": fits}, indent=1))
        return 0
    print("nodes  start ms  change ms  idle ms/s  with 100 open  RSS MB  of it by the nodes  list bytes")
    for row in rows:
        print(
            f"{row['nodes']:5.0f} {row['start_ms']:9.1f} {row['change_ms']:10.2f}"
            f" {row['idle_ms_per_s']:10.2f} {row['idle_open_ms_per_s']:14.2f}"
            f" {row['rss_mb']:7.1f} {row['rss_grown_mb']:8.1f} {row['list_bytes']:23.0f}"
        )
    for name, line in lines.items():
        print(f"{FIGURES[name]}: {line.at_zero:.3g} + {line.slope:.3g} (+- {line.slope_error:.2g}) a node")
    return 0


if __name__ == "__main__":
    sys.exit(main())
