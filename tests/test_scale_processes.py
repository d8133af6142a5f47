"""Scale runs as processes: a small one in full, and nothing left running, however a run ends.

Nothing is measured by the clock here; whoever waits, waits for an event, and no longer than `PATIENCE_S`.
"""

import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).resolve().parent.parent
PATIENCE_S = 90.0
COMMAND = [sys.executable, "-c", "from cloverwell.cli.main import main; main()", "lab", "scale"]
# discovery, nodes, relay, load, a real proxy, two processes of hollow ones and an empty one
PROCESSES = 8
LONG = """
warm_s = 0.0
run_s = 600.0
regions = [{name = "east"}, {name = "west"}]
hollow = {count = 4, per_process = 2}
real = {count = 1}
"""
PAUSES = """
[[faults]]
kind = "pause"
at_s = 0.0
for_s = 500.0
whom = ["hollow-0", "real-0", "discovery"]
"""


class ProcessStatus(NamedTuple):
    """The fields of /proc/PID/stat that the tests read; `started` tells processes of one id apart."""

    state: str
    parent: int
    started: str


def status(pid):
    """Returns the status of a process, or None if there is none."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return None
    return ProcessStatus(fields[0], int(fields[1]), fields[19])


def children(pid):
    """Returns the running child processes by their ids, each with its start."""
    started = {}
    for path in Path("/proc").iterdir():
        found = status(path.name) if path.name.isdigit() else None
        if found is not None and found.parent == pid and found.state != "Z":
            started[int(path.name)] = found.started
    return started


def running(processes):
    """Returns the ids of those processes of `children` that still run."""
    found = {pid: status(pid) for pid in processes}
    return [
        pid for pid, now in found.items() if now and now.state not in "ZX" and now.started == processes[pid]
    ]


def wait_for(event, what):
    until = time.monotonic() + PATIENCE_S
    while not event():
        assert time.monotonic() < until, f"{what}: never came"
        time.sleep(0.02)


def is_stopped(pid):
    found = status(pid)
    return found is not None and found.state == "T"


def command_of(pid):
    with contextlib.suppress(OSError):
        return Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")
    return []


@pytest.fixture
def long_run(tmp_path):
    """Starts a run that would last ten minutes, and waits until all its processes are there."""
    started = []

    def start(more=""):
        path = tmp_path / "long.toml"
        path.write_text(LONG + more)
        environ = os.environ | {"TMPDIR": str(tmp_path)}
        parent = subprocess.Popen([*COMMAND, str(path)], stderr=subprocess.PIPE, text=True, env=environ)
        started.append(parent)
        wait_for(lambda: parent.poll() is not None or len(children(parent.pid)) >= PROCESSES, "processes")
        assert parent.poll() is None, parent.stderr.read()
        return parent, children(parent.pid)

    yield start
    for parent in started:
        if parent.poll() is None:
            parent.terminate()
        parent.wait(PATIENCE_S)
        parent.stderr.close()


def run_to_its_end(world, out):
    command = [*COMMAND, str(world), "--out", str(out)]
    return subprocess.run(command, capture_output=True, text=True, timeout=4 * PATIENCE_S)


def test_the_small_world_loses_and_misplaces_nothing(tmp_path):
    out = tmp_path / "small.jsonl"
    finished = run_to_its_end("small", out)
    assert finished.returncode == 0, finished.stdout + finished.stderr
    lines = [json.loads(line) for line in out.read_text().splitlines()]
    by_kind = {line["kind"]: line for line in lines}
    totals = {line["process"]: line for line in lines if line["kind"] == "totals"}
    head, orders = by_kind["run"], by_kind["orders"]
    assert head["seed"] == 1
    assert head["changes"] > 0
    assert head["machine"]["cores"]
    assert by_kind["summary"]["good"]
    lags = [line["most_lag_ms"] for name, line in totals.items() if name.startswith("hollow")]
    assert len(lags) == 3
    assert by_kind["summary"]["most_lag_ms"] == max(lags) > 0.0
    assert (orders["lost"], orders["out_of_order"], orders["repeated"], orders["wrong_lists"]) == (0, 0, 0, 0)
    # Each change at each hollow proxy, whether it came alone or with a later one.
    assert by_kind["in-force"]["count"] == 12 * head["changes"]
    assert orders["taken"] + orders["merged"] == 12 * head["changes"]
    load = totals["load"]
    ends = ("served", "refused", "failed", "lost", "not_connected", "unanswered")
    assert load["sent"] == sum(load[end] for end in ends)
    assert load["served"] > 0
    assert totals["nodes"]["asked"] > 0
    assert totals["relay"]["connections"] > 0
    costs = {line["name"]: line for line in lines if line["kind"] == "cost"}
    assert {"hollow-0", "hollow-1", "hollow-empty", "real-0", "discovery"} <= set(costs)


def test_faults_of_processes_and_links_end_with_equal_lists(tmp_path):
    path = tmp_path / "faults.toml"
    path.write_text(
        "warm_s = 0.5\nrun_s = 6.0\nsettle_s = 80.0\nask_within_s = 1.0\n"
        'regions = [{name = "east"}, {name = "west"}]\n'
        "hollow = {count = 6, per_process = 2}\nreal = {count = 1}\nchanges = {per_s = 4.0}\n"
        '[[faults]]\nkind = "kill"\nat_s = 0.5\nfor_s = 0.5\nwhom = ["hollow-0", "real-0"]\n'
        '[[faults]]\nkind = "pause"\nat_s = 0.5\nfor_s = 1.0\nwhom = ["hollow-1"]\n'
        '[[faults]]\nkind = "cut"\nat_s = 1.0\nfor_s = 1.0\nbetween = ["east", "west"]\nway = "there"\n'
        '[[faults]]\nkind = "loss"\nat_s = 2.5\nfor_s = 1.0\nbetween = ["east", "west"]\nshare = 0.2\n'
        '[[faults]]\nkind = "delay"\nat_s = 2.5\nfor_s = 1.0\nbetween = ["west", "east"]\nextra_ms = 50.0\n'
        '[[faults]]\nkind = "restart"\nat_s = 3.5\nwhom = ["discovery"]\n'
    )
    out = tmp_path / "faults.jsonl"
    finished = run_to_its_end(path, out)
    assert finished.returncode == 0, finished.stdout + finished.stderr
    lines = [json.loads(line) for line in out.read_text().splitlines()]
    head, orders = lines[0], next(line for line in lines if line["kind"] == "orders")
    assert len(head["faults"]) == 6
    assert (orders["lost"], orders["out_of_order"], orders["wrong_lists"]) == (0, 0, 0)


@pytest.mark.parametrize("more", ["", PAUSES], ids=["running", "paused"])
def test_ctrl_c_ends_all_and_says_so(long_run, more):
    parent, processes = long_run(more)
    parent.send_signal(signal.SIGINT)
    assert parent.wait(PATIENCE_S) == 130
    assert "interrupted" in parent.stderr.read()
    assert running(processes) == []


def test_a_killed_parent_leaves_nothing_running(long_run):
    parent, processes = long_run()
    parent.kill()
    parent.wait(PATIENCE_S)
    wait_for(lambda: not running(processes), "the end of all processes")


def test_a_killed_parent_leaves_nothing_paused(long_run):
    parent, processes = long_run(PAUSES)
    wait_for(lambda: sum(is_stopped(pid) for pid in processes) == 3, "pauses")
    parent.kill()
    parent.wait(PATIENCE_S)
    wait_for(lambda: not running(processes), "the end of all processes")


@pytest.mark.parametrize("name", [b"hollow-1", b"discovery", b"cloverwell"])
def test_a_process_that_crashes_ends_the_run_and_is_named(long_run, name):
    parent, processes = long_run()
    wait_for(lambda: any(name in command_of(pid) for pid in processes), "the process")
    victim = next(pid for pid in processes if name in command_of(pid))
    os.kill(victim, signal.SIGKILL)
    assert parent.wait(PATIENCE_S) == 1
    error = parent.stderr.read()
    assert error.count("\n") == 1
    assert (b"real-0" if name == b"cloverwell" else name).decode() in error
    assert running(processes) == []


def test_a_process_whose_pipe_closes_ends_by_itself():
    command = [sys.executable, "-m", "lab.scale.child", "alone", str(os.getpid())]
    child = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.DEVNULL)
    child.stdin.close()
    assert child.wait(PATIENCE_S) == 3


def test_a_process_whose_parent_has_gone_before_it_ends_at_once():
    command = [sys.executable, "-m", "lab.scale.tether", "1", sys.executable, "-c", "print('ran')"]
    finished = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=PATIENCE_S)
    assert finished.returncode == 1
    assert finished.stdout == b""
