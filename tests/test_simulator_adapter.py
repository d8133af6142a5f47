"""The simulator's adapter: translation of messages, numbered endpoint lists, errors of malformed input."""

import json
import subprocess
import sys

import pytest

from balancer.settings import read_settings
from balancer.simulator_adapter import BalancerHost

OPTIONS = {
    "classes": [{"objective": 500.0, "deadline": 2000.0, "effect": "retryable", "importance": 1.0}],
    "peers-total": 1,
    "membership-mode": "on_request",
    "machine-types": ["std", "origin"],
    "specifics": {"mode": "aside", "origin-kind": 1},
    "limits": {"cancel": True, "send-cap": 3},
    "something-new": 1,
}
LIST = [{"host": "host-a", "campus": 0}, {"host": "host-o", "machine": 1, "new": True}]


def begin(host, name="balancer/0"):
    inbox = [
        {"begin": {"random-seed": 3, "options": OPTIONS}},
        {"manifest": {"slot": 2, "elements": LIST}},
        {"fleet": {"form": 0, "generation": 1, "slot": 2}},
    ]
    return send(host, inbox, name)


def send(host, inbox, name="balancer/0", wall=1000.0):
    batch = {"wall": wall, "parts": [{"balancer": name, "inbox": inbox}]}
    parts = json.loads(host.handle_line(json.dumps(batch)))["parts"]
    return parts[0]["output"] if parts else []


def test_a_request_goes_to_a_cache_server_and_after_a_miss_to_the_origin():
    host = BalancerHost()
    (timer,) = begin(host)
    assert send(host, [{"tick-due": {"ref": timer["defer"]["ref"]}}]) == [{"watch": {"on": True}}]
    request = {"ref": "r1", "kind": 0, "route-key": "k", "time-left": 900.0}
    (sent,) = [a for a in send(host, [{"new-request": request}]) if "try" in a]
    assert sent["try"]["host"] == "host-a"
    assert sent["try"]["ref"] == "r1"
    missed = {"ref": "r1", "host": "host-a", "rtt": 1.0, "rc": "Miss", "round-no": 0}
    (sent,) = [a for a in send(host, [{"closed-attempt": missed}]) if "try" in a]
    assert sent["try"]["host"] == "host-o"


def test_unknown_messages_are_skipped_and_halt_removes_the_balancer():
    host = BalancerHost()
    begin(host)
    assert send(host, [{"weather": {"rain": True}}, {"peer-data": {"by": 1, "octets": "x"}}]) == []
    send(host, [{"halt": {}}])
    assert host.balancers == {}
    assert host.handle_line('{"wall":1,"parts":[]}') == '{"parts":[]}'


@pytest.mark.parametrize(
    "line",
    [
        "not json",
        "{}",
        '{"wall":1,"parts":[{"balancer":"balancer/0","inbox":[{"tick-due":{"ref":0}}]}]}',
        '{"wall":1,"parts":[{"balancer":"b","inbox":[{"begin":{"random-seed":1,"options":{"classes":[]}}}]}]}',
    ],
)
def test_malformed_input_ends_the_process_with_one_error_line(line):
    run = subprocess.run(
        [sys.executable, "-m", "balancer.simulator_adapter"],
        input=line + "\n",
        capture_output=True,
        text=True,
    )
    assert run.returncode != 0
    assert run.stdout == ""
    assert len(run.stderr.strip().splitlines()) == 1
    assert "Traceback" not in run.stderr


def test_settings_of_the_optional_rules_are_read_and_absent_ones_set_no_limit():
    defaults = read_settings(OPTIONS)
    assert defaults.retry_window_ms == defaults.in_doubt_hold_ms == defaults.drain_close_ms == 0.0
    assert not defaults.classes[0].is_ordered
    assert (
        read_settings(OPTIONS | {"classes": [OPTIONS["classes"][0] | {"in-turn": True}]})
        .classes[0]
        .is_ordered
    )
    rules = {"free-resends": 3, "repeat-ratio": 0.1, "look-back": 5000.0, "settle-after-doubt": 30.0}
    rules |= {"hang-up-within": 500.0}
    read = read_settings(OPTIONS | {"guarantees": rules})
    assert (read.in_doubt_hold_ms, read.drain_close_ms) == (30.0, 500.0)
    assert (read.free_retries, read.retry_share, read.retry_window_ms) == (3, 0.1, 5000.0)
    for name in rules:
        with pytest.raises(ValueError, match="must"):
            read_settings(OPTIONS | {"guarantees": rules | {name: "3"}})
        with pytest.raises(ValueError, match="must"):
            read_settings(OPTIONS | {"guarantees": rules | {name: -1}})
