"""From a proposal to its effect at the last of many proxies: `control_fleet.py [--proxies 480] [--nodes 3]`.

Control nodes are processes as in service; the proxies are hollow (`lab.control_follower`), many to a
process. All are on one machine, without the delays between regions. A change is proposed every `--every`
seconds; with `--kill`, the leader is killed for good once half of them have been made. Proposals that get no
answer are repeated with the same id, at whichever node leads then. Printed: the time from the first try of a
proposal to the last proxy, from its answer to the last proxy, and what the processes took.
"""

from __future__ import annotations

import argparse
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import msgspec

from cloverwell.control.entry import EntryKind
from cloverwell.control.messages import ProposalOutcome, Propose
from cloverwell.control.net.errors import NoAnswerError
from cloverwell.control.net.operator_client import propose_to_leader
from lab.control_follower import ActivationCount, Place, Start
from lab.control_node_processes import ControlNodeProcess, ControlNodes
from lab.processes import ROOT

REGIONS = ("east", "west", "north", "south", "centre", "isles")
WAIT_S = 3.0  # for an answer to a proposal
LAST_S = 60.0  # for the last proxy
TICKS = os.sysconf("SC_CLK_TCK")


class Hollow:
    """One process of hollow proxies; `rows` is what they have put in force."""

    def __init__(self, nodes: ControlNodes, places: list[Place], rows: list[ActivationCount]) -> None:
        regions: dict[str, dict[str, tuple[str, int]]] = {}
        for node in nodes.nodes:
            regions.setdefault(node.region, {})[node.name] = node.address
        self.proxies = len(places)
        self.popen = subprocess.Popen(
            [sys.executable, "-m", "lab.control_follower"],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.popen.stdin.write(msgspec.json.encode(Start("fleet", regions, places)) + b"\n")
        self.popen.stdin.flush()
        threading.Thread(target=self._read, args=(rows,), daemon=True).start()

    def _read(self, rows: list[ActivationCount]) -> None:
        for line in self.popen.stdout:
            rows.append(msgspec.json.decode(line, type=ActivationCount))

    def end(self) -> None:
        self.popen.stdin.close()
        self.popen.wait()


def cpu_s(pid: int) -> float:
    """What a process has taken so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def rss_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024.0


def propose(nodes: list[ControlNodeProcess], proposal: str, payload: bytes) -> tuple[int, float]:
    """The version that it became, and when the answer came; asks until there is one."""
    message = Propose(proposal, EntryKind.CONFIGURATION, payload)
    until = time.monotonic() + LAST_S
    while time.monotonic() < until:
        for node in nodes:
            try:
                answer = propose_to_leader(node.address, message, WAIT_S)
            except NoAnswerError:
                continue
            if answer.outcome is ProposalOutcome.COMMITTED:
                return answer.index, time.monotonic()
        time.sleep(0.05)
    raise SystemExit(f"{proposal}: never committed")


def spread(values: list[float]) -> str:
    ordered = sorted(values)
    named = [("median", 0.5), ("p99", 0.99), ("most", 1.0)]
    return ", ".join(
        f"{name} {ordered[min(len(ordered) - 1, int(share * len(ordered)))]:.3f} s" for name, share in named
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--proxies", type=int, default=480)
    parser.add_argument("--per-process", type=int, default=40)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--changes", type=int, default=40)
    parser.add_argument("--every", type=float, default=1.0, help="seconds between proposals")
    parser.add_argument("--bytes", type=int, default=6000, help="of a change")
    parser.add_argument("--kill", action="store_true", help="the leader, for good, half way")
    told = parser.parse_args()

    folder = Path(tempfile.mkdtemp(prefix="control-fleet-"))
    regions = tuple(REGIONS[number % len(REGIONS)] for number in range(told.nodes))
    nodes = ControlNodes(folder, regions)
    rows: list[ActivationCount] = []
    processes: list[Hollow] = []
    try:
        nodes.start()
        places = [Place(f"proxy-{n}", REGIONS[n % len(REGIONS)]) for n in range(told.proxies)]
        for first in range(0, told.proxies, told.per_process):
            processes.append(Hollow(nodes, places[first : first + told.per_process], rows))
        empty = Hollow(nodes, [], [])
        leader = nodes.leader()
        nodes.wait_for_status(
            leader, lambda a: a.activation is not None and a.activation.alive == told.proxies, "all proxies"
        )
        report(told, nodes, processes, empty, rows, *run(told, nodes, processes, rows))
        empty.end()
    finally:
        for process in processes:
            process.end()
        nodes.close()


def run(
    told: argparse.Namespace, nodes: ControlNodes, processes: list[Hollow], rows: list[ActivationCount]
) -> tuple[dict[int, tuple[float, float]], float, dict[int, float], int]:
    """Versions with when they were first proposed and answered; how long it took; CPU before; the kill."""
    before = {process.popen.pid: cpu_s(process.popen.pid) for process in processes}
    before |= {node.popen.pid: cpu_s(node.popen.pid) for node in nodes.nodes}
    begun = time.monotonic()
    made: dict[int, tuple[float, float]] = {}
    alive, killed_before = list(nodes.nodes), 0
    for number in range(told.changes):
        if told.kill and number == told.changes // 2:
            leader = nodes.leader(alive)
            leader.end(signal.SIGKILL)
            alive.remove(leader)
            killed_before = number
        payload = b'{"discovery": "127.0.0.1:%d"}' % (1024 + number)
        asked = time.monotonic()
        version, answered = propose(alive, f"change-{number}", payload + b" " * told.bytes)
        made[version] = (asked, answered)
        time.sleep(max(0.0, begun + (number + 1) * told.every - time.monotonic()))
    until = time.monotonic() + LAST_S
    last = max(made)
    while sum(row.index == last for row in list(rows)) < told.proxies and time.monotonic() < until:
        time.sleep(0.05)
    return made, time.monotonic() - begun, before, killed_before


def report(
    told: argparse.Namespace,
    nodes: ControlNodes,
    processes: list[Hollow],
    empty: Hollow,
    rows: list[ActivationCount],
    made: dict[int, tuple[float, float]],
    seconds: float,
    before: dict[int, float],
    killed_before: int,
) -> None:
    at: dict[int, dict[str, float]] = {version: {} for version in made}
    repeated = out_of_order = 0
    latest: dict[str, int] = {}
    for row in rows:
        if row.index <= latest.get(row.proxy, 0):
            repeated += row.index == latest[row.proxy]
            out_of_order += row.index < latest[row.proxy]
        latest[row.proxy] = row.index
        at.get(row.index, {}).setdefault(row.proxy, row.at_s)
    missing = sum(told.proxies - len(proxies) for proxies in at.values())
    print(f"{told.proxies} proxies, {told.nodes} control nodes, {told.changes} changes of {told.bytes} bytes")
    print(f"  never in force: {missing}, repeated: {repeated}, out of order: {out_of_order}")
    from_try = [max(at[version].values()) - asked for version, (asked, _) in made.items()]
    from_answer = [max(0.0, max(at[version].values()) - answered) for version, (_, answered) in made.items()]
    print(f"  from the first try to the last proxy: {spread(from_try)}")
    print(f"  from the answer to the last proxy: {spread(from_answer)}")
    if killed_before:
        print(f"  the first change after the leader's death: {from_try[killed_before]:.3f} s")
    took = sum(cpu_s(p.popen.pid) - before[p.popen.pid] for p in processes)
    idle_mb = rss_mb(empty.popen.pid)
    memory = sum(rss_mb(p.popen.pid) - idle_mb for p in processes) / told.proxies
    print(f"  a hollow proxy: {100.0 * took / seconds / told.proxies:.3f}% of a core, {memory:.2f} MB")
    for node in nodes.nodes:
        if node.popen.poll() is None:
            share = 100.0 * (cpu_s(node.popen.pid) - before[node.popen.pid]) / seconds
            print(f"  control node {node.name}: {share:.1f}% of a core, {rss_mb(node.popen.pid):.0f} MB")


if __name__ == "__main__":
    main()
