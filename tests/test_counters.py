"""The counters in a proxy's log, and their sums over the logs of a fleet."""

import subprocess
import sys
from pathlib import Path

from cloverwell.counters import MAX_NAMES, Counters
from tests.scenario import Player

TOOL = Path(__file__).parent.parent / "benchmarks" / "fleet_counts.py"


def test_a_line_has_the_sums_and_maxima_since_the_line_before():
    counts = Counters()
    counts.add("b", 2)
    counts.add("a")
    counts.record_max("age", 7.0)
    counts.record_max("age", 5.0)
    assert counts.take_line() == "a=1 b=2 age<7"
    assert counts.take_line() == ""


def test_the_number_of_names_is_limited():
    counts = Counters()
    for number in range(MAX_NAMES + 5):
        counts.add(str(number))
        counts.record_max(str(number), 1.0)
    assert len(counts.take_line().split()) == 2 * MAX_NAMES


def test_a_miss_is_counted_at_the_node_and_at_the_origin():
    player = Player()
    for line in (
        "client send mg k v O1 Pc=page,t=acme,d=900",
        "s1 expect mg *",
        "s1 send EN O1",
        "origin expect GET *",
        "origin send 200 v",
        "wait 5000",
    ):
        player.step(line)
    counts_line = next(line for line in player.log.getvalue().splitlines() if " counts: " in line)
    for word in ("taken=1", "cache.miss=1", "origin.ok=1", "connections.opened=2", "list.age_ms<0"):
        assert word in counts_line.split()


def test_the_tool_adds_up_the_logs_of_a_fleet(tmp_path):
    (tmp_path / "n0.log").write_text("7 info start: x\n4000 info counts: taken=3 list.age_ms<5\n")
    (tmp_path / "n1.log").write_text("9.000 9000 info counts: taken=4 cache.ok=1 list.age_ms<9\n")
    run = subprocess.run([sys.executable, TOOL, tmp_path], capture_output=True, text=True)
    rows = [line.split() for line in run.stdout.splitlines()]
    assert ["taken", "3", "4", "7", "1.000"] in rows
    assert ["<list.age_ms", "5", "9", "9"] in rows
    assert subprocess.run([sys.executable, TOOL, tmp_path / "none"], capture_output=True).returncode == 2
