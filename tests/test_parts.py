"""Parts of the proxy on their own: ring buffer, timer wheel, facade, log, configuration and signals."""

import io
import json
import math
import signal
import subprocess
import sys
from types import SimpleNamespace

import pytest
from scenario import SETTINGS
from twisted.internet.task import Clock

from balancer.api import ServerEntry
from balancer.settings import SettingsError, read_settings
from cloverwell import facade as balancer_facade
from cloverwell.codec.byte_queue import ByteQueue
from cloverwell.config import ConfigError, read_config
from cloverwell.log import MAX_LINES_PER_SECOND, Log
from cloverwell.memory_budget import MemoryAccount, MemoryBudget, MemoryUse
from cloverwell.program import install_signal_handlers
from cloverwell.timer_wheel import TimerWheel

BOUND_BYTES = 8192


def new_queue(bound):
    budget = MemoryBudget(math.inf)
    return ByteQueue(bound, MemoryAccount(budget, MemoryUse.COMMANDS)), budget


def test_a_byte_queue_keeps_the_order_and_never_exceeds_its_bound():
    (queue, budget), written, received = new_queue(BOUND_BYTES), b"", b""
    for number in range(40):
        piece = bytes([number]) * 997
        written += piece[: queue.write(piece)]
        assert len(queue) <= queue.bound
        assert budget.held_bytes >= len(queue)
        received += queue.read(701)
    assert queue.write(b"x" * 2 * BOUND_BYTES) + len(queue) >= queue.bound
    assert queue.room == 0
    assert budget.held_bytes <= 1.25 * BOUND_BYTES
    rest = queue.read(queue.bound)
    assert (received + rest).startswith(written)
    assert budget.held_bytes == 0


def test_a_byte_queue_finds_a_separator_behind_what_was_read():
    queue, _ = new_queue(BOUND_BYTES)
    queue.write(b"x" * (BOUND_BYTES - 1))
    queue.read(BOUND_BYTES - 2)
    queue.write(b"\r\nrest")
    assert queue.find(b"\r\n") == 1
    assert queue.peek(7) == b"x\r\nrest"


def wheel_and_clock():
    clock = Clock()
    clock.advance(10.0)
    timer_wheel = TimerWheel(clock, 5.0, lambda: clock.seconds() * 1000.0)
    timer_wheel.start()
    return timer_wheel, clock


@pytest.mark.parametrize("delay_ms", [6.0, 12.5, 249.0, 6000.0])
def test_the_timer_wheel_neither_passes_a_deadline_nor_ends_an_attempt_early(delay_ms):
    timer_wheel, clock = wheel_and_clock()
    due_ms, fired = timer_wheel.now() + delay_ms, {}
    timer_wheel.call_by(due_ms, lambda: fired.update(call_by=timer_wheel.now()))
    timer_wheel.call_not_before(due_ms, lambda: fired.update(call_not_before=timer_wheel.now()))
    while len(fired) < 2:
        clock.advance(0.001)
        assert timer_wheel.now() < due_ms + 20
    step_ms = 1.01  # the fake clock's step, with a margin
    assert due_ms - 6 < fired["call_by"] < due_ms + step_ms
    assert due_ms <= fired["call_not_before"] + 0.01 < due_ms + 5 + step_ms


def test_the_timer_wheel_goes_on_after_a_call_that_fails_and_after_a_stall():
    # Every deadline depends on the wheel: one call that fails must neither stop it nor prevent the other
    # calls of its slot.
    timer_wheel, clock = wheel_and_clock()
    fired = []
    timer_wheel.call_by(timer_wheel.now() + 10, lambda: 1 / 0)
    timer_wheel.call_by(timer_wheel.now() + 10, lambda: fired.append("same slot"))
    timer_wheel.call_by(timer_wheel.now() + 90, lambda: fired.append("later"))
    timer_wheel.call_by(timer_wheel.now() + 50, lambda: fired.append("cancelled")).cancel()
    clock.advance(0.1)
    assert fired == ["same slot", "later"]
    assert timer_wheel.last_tick_delay_ms > 90


def routable_request(name="r1", **fields):
    defaults = {"id": name, "class_number": 0, "tenant": 0, "key": "k", "is_write": False}
    return SimpleNamespace(**(defaults | {"deadline_ms": 1900.0, "is_over": False} | fields))


def facade_and_clock():
    clock = SimpleNamespace(now=1000.0)
    facade = balancer_facade.Facade(read_settings(SETTINGS), 1, lambda: clock.now)
    entries = (ServerEntry("s1"), ServerEntry("origin", machine_type=1))
    facade.report(
        balancer_facade.WatchEndpoints(), balancer_facade.EndpointUpdate(1, True, entries, is_cached=True)
    )
    return facade, clock


def test_the_facade_decides_on_a_request_on_a_report_and_at_a_tick():
    facade, clock = facade_and_clock()
    attempt = facade.decide(routable_request())
    assert isinstance(attempt, balancer_facade.SendAttempt)
    assert (attempt.node, attempt.number) == ("s1", 0)
    fetch = facade.report(attempt, balancer_facade.AttemptOutcome.MISS)
    assert isinstance(fetch, balancer_facade.SendAttempt)
    assert (fetch.node, fetch.number) == ("origin", 1)
    # Another read of the key waits for that fetch. Its decision comes with a tick, not with the report.
    assert facade.decide(routable_request("r2")) == balancer_facade.UNDECIDED
    assert facade.report(fetch, balancer_facade.AttemptOutcome.SERVED) == balancer_facade.UNDECIDED
    assert [
        type(decision)
        for decision in facade.tick(clock.now)
        if not isinstance(decision, balancer_facade.WatchEndpoints)
    ] == [balancer_facade.SendAttempt]


def test_the_facade_asks_for_a_watch_after_its_start_and_after_a_failed_call():
    facade, clock = facade_and_clock()
    assert facade.tick(clock.now) == []
    clock.now += 100.0
    assert facade.tick(clock.now) == [balancer_facade.WatchEndpoints()]
    facade.report(balancer_facade.WatchEndpoints(), balancer_facade.EndpointUpdateFailed())
    assert facade.tick(clock.now + 100.0) == []
    assert facade.tick(clock.now + 700.0) == [balancer_facade.WatchEndpoints()]


def test_the_log_limits_the_lines_of_a_kind_and_tells_how_many_it_left_out():
    now, stream = SimpleNamespace(ms=0.0), io.StringIO()
    log = Log(lambda: now.ms, stream)
    for _ in range(50):
        log.warn("answer", "malformed")
    log.info("start", "other kinds are not held back")
    now.ms = 1500.0
    log.warn("answer", "malformed")
    lines = stream.getvalue().splitlines()
    assert len(lines) == MAX_LINES_PER_SECOND + 3
    assert f"{50 - MAX_LINES_PER_SECOND} more lines" in lines[-2]


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"classes": None}, "classes"),
        ({"classes": [{"objective": "fast", "deadline": 1.0}]}, "classes.objective"),
        ({"classes": [{"objective": 1.0}]}, "classes.deadline"),
        ({"limits": 3}, "limits"),
        ({"tenants": ["acme"]}, "tenants"),
        ({"granularity": []}, "granularity"),
    ],
)
def test_an_error_in_the_settings_names_the_field(change, field):
    with pytest.raises((SettingsError, ValueError), match=field):
        read_settings(SETTINGS | change)


CONFIG = {
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "1f",
    "known": {"revision": 1, "complete": True, "members": []},
    "settings": SETTINGS,
}


@pytest.mark.parametrize(
    ("change", "field"),
    [
        (None, "EDGE_CONFIG"),
        ({"listen": "nowhere"}, "listen"),
        ({"discovery": ""}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"settings": None}, "settings"),
        ({"settings": {"classes": []}}, "classes"),
        ({"limits": {"sockets": 3}}, "limits.sockets"),
        ({"known": {"revision": "x", "complete": True, "members": []}}, "known.revision"),
        ({"known": {"revision": 1, "complete": True, "members": [{"id": "a", "host_port": ":"}]}}, "known"),
    ],
)
def test_a_malformed_configuration_ends_the_program_with_one_line_and_exit_code_2(tmp_path, change, field):
    path = tmp_path / "config.json"
    if change is not None:
        path.write_text(json.dumps(CONFIG | change))
    run = subprocess.run(
        [sys.executable, "-m", "cloverwell"], env={"EDGE_CONFIG": str(path)}, capture_output=True, text=True
    )
    assert run.returncode == 2
    assert run.stdout == ""
    assert len(run.stderr.splitlines()) == 1
    assert field in run.stderr
    assert "Traceback" not in run.stderr


def test_a_log_whose_reader_has_ended_does_not_end_the_proxy():
    class Broken(io.StringIO):
        def write(self, text):
            raise BrokenPipeError

    Log(lambda: 0.0, Broken()).warn("answer", "malformed")


def test_a_reload_reads_discovery_from_the_file_and_names_the_error_in_a_bad_one(tmp_path):
    # The platform's environment variable keeps the first address. If a reload read it again, it would always
    # override the new address in the file.
    path = tmp_path / "config.json"
    environ = {"EDGE_CONFIG": str(path), "EDGE_DISCOVERY": "127.0.0.9:100", "EDGE_LISTEN": "127.0.0.1:1"}
    path.write_text(json.dumps({"discovery": "127.0.0.9:101", "settings": SETTINGS}))
    assert read_config(environ).discovery == ("127.0.0.9", 100)
    assert read_config(environ, reloading=True).discovery == ("127.0.0.9", 101)
    path.write_text('{"discovery": "nowhere", "settings": {}}')
    with pytest.raises(ConfigError, match="settings: "):
        read_config(environ, reloading=True)


def test_each_signal_is_passed_to_the_event_loop_and_none_ends_the_program():
    # Without a handler, the first SIGHUP would end the proxy with exit code 129.
    calls, service = [], SimpleNamespace(stop="stop", reload="reload")
    saved = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)}
    try:
        install_signal_handlers(service, lambda call, *_: calls.append(call))
        for number in saved:
            signal.raise_signal(number)
    finally:
        for number, handler in saved.items():
            signal.signal(number, handler)
    assert calls == ["stop", "stop", "reload"]


@pytest.mark.parametrize("grace_ms", [500.0, 1000.0])
def test_a_node_that_has_left_gets_no_new_attempt_after_the_configured_drain_grace(monkeypatch, grace_ms):
    # A built-in grace period of 1 s would be too long at a site that has configured 500 ms.
    import lab.proxy_testbed

    monkeypatch.setattr(lab.proxy_testbed, "SETTINGS", SETTINGS | {"guarantees": {"drain-grace": grace_ms}})
    policy, now = lab.proxy_testbed.ProxyTestbed().service.node_policy, 1000.0
    policy.record_left("s0", now)
    assert not policy.is_past_grace("s0", now + grace_ms - 210.0)
    assert policy.is_past_grace("s0", now + grace_ms - 200.0)


def test_an_ejected_node_gets_a_request_again_where_probes_are_allowed_but_not_sent():
    # The settings may allow probes, but the proxy sends none. A balancer that relied on them would log "not
    # carried out: Probe" and keep the node ejected until the endpoint list changed.
    clock = SimpleNamespace(now=1000.0)
    settings = read_settings(SETTINGS | {"limits": SETTINGS["limits"] | {"probing": True}})
    facade = balancer_facade.Facade(settings, 1, lambda: clock.now)
    entries = (ServerEntry("s1"), ServerEntry("s2"), ServerEntry("origin", machine_type=1))
    facade.report(
        balancer_facade.WatchEndpoints(), balancer_facade.EndpointUpdate(1, True, entries, is_cached=True)
    )
    keys = (f"k{number}" for number in range(1000))
    key = next(key for key in keys if facade.decide(routable_request(f"first {key}", key=key)).node == "s1")
    facade.report(
        facade.decide(routable_request("r0", key=key)), balancer_facade.AttemptOutcome.NOT_CONNECTED
    )
    assert "s1 ejected" in [
        decision.text for decision in facade.tick(clock.now) if isinstance(decision, balancer_facade.LogEvent)
    ]
    clock.now += 600.0
    facade.tick(clock.now)
    assert facade.decide(routable_request("r1", key=key)).node == "s1"
