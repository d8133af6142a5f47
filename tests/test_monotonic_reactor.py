"""The program's reactor runs delayed calls by the monotonic clock, and is the only one in the process."""

import subprocess
import sys
import time
from pathlib import Path

import pytest
from twisted.internet import base

from cloverwell.monotonic_reactor import MonotonicReactor

ROOT = Path(__file__).parent.parent
HOUR_S = 3600.0
TIMEOUT_S = 10.0


class Reactor(MonotonicReactor):
    """A reactor without a waker, which only calls from other threads would need."""

    def installWaker(self):
        """Does nothing: no other thread calls the reactor."""


@pytest.fixture
def reactor():
    instance = Reactor()
    yield instance
    instance._poller.close()


@pytest.mark.parametrize("step_s", [-HOUR_S, -5.0, 5.0, HOUR_S])
def test_a_delayed_call_is_made_on_time_whatever_the_wall_clock_shows(reactor, monkeypatch, step_s):
    real_time = time.time
    monkeypatch.setattr(time, "time", lambda: real_time() + step_s)
    monkeypatch.setattr(base, "runtimeSeconds", time.time)
    called = []
    soon_s, late_s = 0.02, 1000.0
    before_s = time.monotonic()
    reactor.callLater(soon_s, lambda: called.append(time.monotonic()))
    late = reactor.callLater(late_s, called.append, "too early")
    while not called:
        assert time.monotonic() < before_s + TIMEOUT_S, "the call was not made"
        reactor.runUntilCurrent()
        assert reactor.timeout() <= late_s
    assert called[0] >= before_s + soon_s
    assert late.active()
    assert len(called) == 1


def test_a_step_of_the_wall_clock_does_not_move_a_scheduled_call(reactor, monkeypatch):
    seconds = reactor.seconds
    reactor.callLater(HOUR_S, lambda: None)
    reactor.runUntilCurrent()
    before_s = reactor.timeout()
    for step_s in (-HOUR_S, HOUR_S):
        monkeypatch.setattr(time, "time", lambda step_s=step_s: seconds() + step_s)
        assert 0.0 <= before_s - reactor.timeout() < TIMEOUT_S


def run_python(program):
    result = subprocess.run([sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True)
    return result.returncode, result.stdout, result.stderr


def test_it_becomes_twisteds_default_reactor():
    program = (
        "from cloverwell.monotonic_reactor import install_reactor\n"
        "made = install_reactor()\n"
        "from twisted.internet import reactor\n"
        "print(reactor is made)\n"
    )
    assert run_python(program) == (0, "True\n", "")


def test_a_second_reactor_cannot_be_installed():
    program = (
        "from twisted.internet import reactor\n"
        "from cloverwell.monotonic_reactor import install_reactor\n"
        "install_reactor()\n"
    )
    code, _, error = run_python(program)
    assert code == 1
    assert "ReactorAlreadyInstalledError" in error


PROGRAMS = [
    "cloverwell.program",
    "cloverwell.cli.main, cloverwell.cli.control",
    "cloverwell.control.server.program",
    "lab.control_follower",
    "lab.scale.child, lab.scale.hollow, lab.scale.discovery, lab.scale.load, lab.scale.relay",
]


@pytest.mark.parametrize("modules", PROGRAMS)
def test_no_import_of_the_programs_installs_another_reactor(modules):
    program = f"import sys, {modules}\nprint('twisted.internet.reactor' in sys.modules)\n"
    assert run_python(program) == (0, "False\n", "")
