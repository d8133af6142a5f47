"""From a proposal to its effect at the last of many proxies: `control_fleet.py [--proxies 480] [--nodes 3]`.

Control nodes are processes as in service; the proxies are hollow (`lab.control_follower`), many to a
process. All are on one machine, without the delays between regions. A change is proposed every `--every`
seconds; with `--kill`, the leader is killed for good once half of them have been made. Proposals that get no
answer are repeated with the same id, at whichever node leads then. Printed: the time from the first attempt
of a proposal to the last proxy, from its answer to the last proxy, and what the processes took.
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
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from cloverwell.control.entry import EntryKind
from cloverwell.control.messages import ProposalOutcome, Propose
from cloverwell.control.net.address import Address
from cloverwell.control.net.errors import NoAnswerError
from cloverwell.control.net.operator_client import propose_to_leader
from lab.control_follower import EntryApplied, Place, Start
from lab.control_node_processes import ControlNodeProcess, ControlNodes
from lab.processes import ROOT

REGIONS = ("east", "west", "north", "south", "centre", "isles")
ANSWER_TIMEOUT_S = 3.0
LAST_PROXY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
FIRST_PORT = 1024  # of the addresses in the changes, to which nothing connects
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class HollowProxies:
    """One process of hollow proxies; it adds what they have applied to `rows`."""

    def __init__(self, nodes: ControlNodes, places: list[Place], rows: list[EntryApplied]) -> None:
        """Starts the process."""
        regions: dict[str, dict[str, Address]] = {}
        for node in nodes.nodes:
            regions.setdefault(node.region, {})[node.name] = node.address
        self.popen = subprocess.Popen(
            [sys.executable, "-m", "lab.control_follower"],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert self.popen.stdin is not None
        self.popen.stdin.write(msgspec.json.encode(Start("fleet", regions, places)) + b"\n")
        self.popen.stdin.flush()
        threading.Thread(target=self._read, args=(rows,), daemon=True).start()

    def end(self) -> None:
        """Closes the process's input, and waits for its end."""
        assert self.popen.stdin is not None
        self.popen.stdin.close()
        self.popen.wait()

    def _read(self, rows: list[EntryApplied]) -> None:
        assert self.popen.stdout is not None
        for line in self.popen.stdout:
            rows.append(msgspec.json.decode(line, type=EntryApplied))


@dataclass(frozen=True, slots=True)
class Change:
    """When a change was first proposed and when it was answered, in seconds of the monotonic clock."""

    proposed_s: float
    answered_s: float


@dataclass(slots=True)
class Measurement:
    """What a run has measured. `cpu_before_s` is by process id; `killed_before` is 0 without a kill."""

    cpu_before_s: dict[int, float]
    changes: dict[int, Change] = field(default_factory=dict)  # by version
    duration_s: float = 0.0
    killed_before: int = 0  # the number of changes before the leader was killed


def cpu_s(pid: int) -> float:
    """Returns the processor time that a process has taken so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def rss_mb(pid: int) -> float:
    """Returns the resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024.0


def propose(nodes: list[ControlNodeProcess], proposal_id: str, payload: bytes) -> tuple[int, float]:
    """Repeats a proposal until it is committed. Returns its version, and when the answer came."""
    proposal = Propose(proposal_id, EntryKind.CONFIGURATION, payload)
    deadline_s = time.monotonic() + LAST_PROXY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        for node in nodes:
            try:
                answer = propose_to_leader(node.address, proposal, ANSWER_TIMEOUT_S)
            except NoAnswerError:
                continue
            if answer.outcome is ProposalOutcome.COMMITTED:
                return answer.index, time.monotonic()
        time.sleep(POLL_INTERVAL_S)
    raise SystemExit(f"{proposal_id}: never committed")


def percentiles(values_s: list[float]) -> str:
    """Returns the median, the 99th percentile and the largest of some durations."""
    ordered = sorted(values_s)
    shares = [("median", 0.5), ("p99", 0.99), ("most", 1.0)]
    return ", ".join(
        f"{name} {ordered[min(len(ordered) - 1, int(share * len(ordered)))]:.3f} s" for name, share in shares
    )


def read_options() -> argparse.Namespace:
    """Returns the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--proxies", type=int, default=480)
    parser.add_argument("--per-process", type=int, default=40)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--changes", type=int, default=40)
    parser.add_argument("--every", type=float, default=1.0, help="seconds between proposals")
    parser.add_argument("--bytes", type=int, default=6000, help="of a change")
    parser.add_argument("--kill", action="store_true", help="the leader, for good, half way")
    return parser.parse_args()


def main() -> None:
    """Starts the processes, makes the changes and prints what was measured."""
    options = read_options()
    folder = Path(tempfile.mkdtemp(prefix="control-fleet-"))
    regions = tuple(REGIONS[number % len(REGIONS)] for number in range(options.nodes))
    nodes = ControlNodes(folder, regions)
    rows: list[EntryApplied] = []
    processes: list[HollowProxies] = []
    try:
        nodes.start()
        places = [Place(f"proxy-{n}", REGIONS[n % len(REGIONS)]) for n in range(options.proxies)]
        for first in range(0, options.proxies, options.per_process):
            processes.append(HollowProxies(nodes, places[first : first + options.per_process], rows))
        empty = HollowProxies(nodes, [], [])
        nodes.wait_for_status(
            nodes.leader(),
            lambda answer: answer.activation is not None and answer.activation.alive == options.proxies,
            "all proxies",
        )
        measurement = run(options, nodes, processes, rows)
        report_changes(options, measurement, rows)
        report_processes(options, measurement, nodes, processes, rss_mb(empty.popen.pid))
        empty.end()
    finally:
        for process in processes:
            process.end()
        nodes.close()


def run(
    options: argparse.Namespace,
    nodes: ControlNodes,
    processes: list[HollowProxies],
    rows: list[EntryApplied],
) -> Measurement:
    """Proposes the changes, and waits until all proxies have applied the last one."""
    pids = [process.popen.pid for process in processes]
    pids += [node.popen.pid for node in nodes.nodes if node.popen is not None]
    measurement = Measurement({pid: cpu_s(pid) for pid in pids})
    begun_s = time.monotonic()
    alive = list(nodes.nodes)
    for number in range(options.changes):
        if options.kill and number == options.changes // 2:
            leader = nodes.leader(alive)
            leader.end(signal.SIGKILL)
            alive.remove(leader)
            measurement.killed_before = number
        payload = b'{"discovery": "127.0.0.1:%d"}' % (FIRST_PORT + number) + b" " * options.bytes
        proposed_s = time.monotonic()
        version, answered_s = propose(alive, f"change-{number}", payload)
        measurement.changes[version] = Change(proposed_s, answered_s)
        time.sleep(max(0.0, begun_s + (number + 1) * options.every - time.monotonic()))
    wait_for_version(max(measurement.changes), options.proxies, rows)
    measurement.duration_s = time.monotonic() - begun_s
    return measurement


def wait_for_version(version: int, proxies: int, rows: list[EntryApplied]) -> None:
    """Waits until that many proxies have applied a version, or the timeout has passed."""
    deadline_s = time.monotonic() + LAST_PROXY_TIMEOUT_S
    while sum(row.index == version for row in list(rows)) < proxies and time.monotonic() < deadline_s:
        time.sleep(POLL_INTERVAL_S)


def report_changes(options: argparse.Namespace, measurement: Measurement, rows: list[EntryApplied]) -> None:
    """Prints whether each proxy has applied each change once and in order, and how long that took."""
    applied_s: dict[int, dict[str, float]] = {version: {} for version in measurement.changes}
    repeated = out_of_order = 0
    latest: dict[str, int] = {}
    for row in rows:
        if row.index <= latest.get(row.proxy, 0):
            repeated += row.index == latest[row.proxy]
            out_of_order += row.index < latest[row.proxy]
        latest[row.proxy] = row.index
        applied_s.get(row.index, {}).setdefault(row.proxy, row.at_s)
    missing = sum(options.proxies - len(by_proxy) for by_proxy in applied_s.values())
    last_s = {version: max(by_proxy.values()) for version, by_proxy in applied_s.items()}
    changes = measurement.changes.items()
    from_attempt = [last_s[version] - change.proposed_s for version, change in changes]
    from_answer = [max(0.0, last_s[version] - change.answered_s) for version, change in changes]
    print(
        f"{options.proxies} proxies, {options.nodes} control nodes, "
        f"{options.changes} changes of {options.bytes} bytes"
    )
    print(f"  never in force: {missing}, repeated: {repeated}, out of order: {out_of_order}")
    print(f"  from the first try to the last proxy: {percentiles(from_attempt)}")
    print(f"  from the answer to the last proxy: {percentiles(from_answer)}")
    if measurement.killed_before:
        print(f"  the first change after the leader's death: {from_attempt[measurement.killed_before]:.3f} s")


def report_processes(
    options: argparse.Namespace,
    measurement: Measurement,
    nodes: ControlNodes,
    processes: list[HollowProxies],
    empty_mb: float,
) -> None:
    """Prints the processor time and memory of the processes; `empty_mb` is that of one without proxies."""
    before_s, duration_s = measurement.cpu_before_s, measurement.duration_s
    taken_s = sum(cpu_s(process.popen.pid) - before_s[process.popen.pid] for process in processes)
    memory_mb = sum(rss_mb(process.popen.pid) - empty_mb for process in processes) / options.proxies
    percent = 100.0 * taken_s / duration_s / options.proxies
    print(f"  a hollow proxy: {percent:.3f}% of a core, {memory_mb:.2f} MB")
    for node in nodes.nodes:
        if node.popen is not None and node.popen.poll() is None:
            pid = node.popen.pid
            percent = 100.0 * (cpu_s(pid) - before_s[pid]) / duration_s
            print(f"  control node {node.name}: {percent:.1f}% of a core, {rss_mb(pid):.0f} MB")


if __name__ == "__main__":
    main()
