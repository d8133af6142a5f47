"""The program's reactor: delayed calls follow the monotonic clock, and there is one reactor in a process."""

import subprocess
import sys
import time
from pathlib import Path

import pytest
from twisted.internet import base

from cloverwell.monotonic_reactor import MonotonicReactor

ROOT = Path(__file__).parent.parent
HOUR_S = 3600.0
PATIENCE_S = 10.0


class Reactor(MonotonicReactor):
    def installWaker(self):
        """No other thread calls."""


@pytest.fixture
def reactor():
    instance = Reactor()
    yield instance
    instance._poller.close()


@pytest.mark.parametrize("by_s", [-HOUR_S, -5.0, 5.0, HOUR_S])
def test_a_delayed_call_comes_when_its_time_has_passed_whatever_the_wall_clock_says(
    reactor, monkeypatch, by_s
):
    real = time.time
    monkeypatch.setattr(time, "time", lambda: real() + by_s)
    monkeypatch.setattr(base, "runtimeSeconds", time.time)
    called = []
    soon_s, late_s = 0.02, 1000.0
    before_s = time.monotonic()
    reactor.callLater(soon_s, lambda: called.append(time.monotonic()))
    late = reactor.callLater(late_s, called.append, "too early")
    while not called:
        assert time.monotonic() < before_s + PATIENCE_S, "the call never came"
        reactor.runUntilCurrent()
        assert reactor.timeout() <= late_s
    assert called[0] >= before_s + soon_s
    assert late.active()
    assert len(called) == 1


def test_a_step_between_the_making_of_a_call_and_its_time_moves_nothing(reactor, monkeypatch):
    seconds = reactor.seconds
    reactor.callLater(HOUR_S, lambda: None)
    reactor.runUntilCurrent()
    before_s = reactor.timeout()
    for by_s in (-HOUR_S, HOUR_S):
        monkeypatch.setattr(time, "time", lambda by_s=by_s: seconds() + by_s)
        assert 0.0 <= before_s - reactor.timeout() < PATIENCE_S


def python(program):
    done = subprocess.run([sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True)
    return done.returncode, done.stdout, done.stderr


def test_it_is_twisteds_default_reactor_too():
    program = (
        "from cloverwell.monotonic_reactor import install_reactor\n"
        "made = install_reactor()\n"
        "from twisted.internet import reactor\n"
        "print(reactor is made)\n"
    )
    assert python(program) == (0, "True\n", "")


def test_a_second_reactor_is_refused():
    program = (
        "from twisted.internet import reactor\n"
        "from cloverwell.monotonic_reactor import install_reactor\n"
        "install_reactor()\n"
    )
    code, _, error = python(program)
    assert code == 1
    assert "ReactorAlreadyInstalledError" in error


PROGRAMS = [
    "cloverwell.__main__",
    "cloverwell.cli.main, cloverwell.cli.control",
    "cloverwell.control.server.program",
    "lab.control_follower",
    "lab.scale.child, lab.scale.hollow, lab.scale.discovery, lab.scale.load, lab.scale.relay",
]


@pytest.mark.parametrize("modules", PROGRAMS)
def test_nothing_that_the_programs_import_installs_another_one_first(modules):
    program = f"import sys, {modules}\nprint('twisted.internet.reactor' in sys.modules)\n"
    assert python(program) == (0, "False\n", "")
