"""Failing system calls in the lab: proxies see them as Twisted reports them, the judge sees what is lost."""

import errno
import os
import subprocess
import sys
from collections import Counter
from pathlib import Path

import msgspec
import pytest
from scenario import Transport
from twisted.internet.error import ConnectBindError, ConnectError, ConnectionLost, NoRouteError
from twisted.internet.protocol import Factory, Protocol

from cloverwell.codec import lines
from cloverwell.codec.lines import BufferedLineReceiver
from cloverwell.codec.steady_socket import SteadySocket, install_steady_socket
from cloverwell.connections.accept_queue import AcceptQueue
from cloverwell.front.client_connection import ClientConnection
from cloverwell.front.port import ACCEPT_BACKOFF_S
from lab.fault import Fault
from lab.invariant_checker import RULES
from lab.net import Net
from lab.scenario import load
from lab.simulation import Simulation
from lab.system_call_faults import SystemCalls

ROOT = Path(__file__).resolve().parent.parent
ADDRESS = ("10.1.0.1", 11211)


def short(name, seconds, faults=None, per_s=100.0):
    """A shipped world, cut short, with fewer keys to fill its nodes with."""
    world = load(name)
    traffic = msgspec.structs.replace(world.traffic, per_s=per_s, keys=2000)
    faults = world.faults if faults is None else faults
    return msgspec.structs.replace(world, seconds=seconds, faults=faults, traffic=traffic)


def broken(summary):
    return {rule for rule in RULES if summary["rules"][rule]}


def failed_calls(play):
    return sum((proxy.system_calls.failed for proxy in play.proxies), Counter())


@pytest.mark.parametrize("seed", [2, 3])
def test_rules_hold_while_calls_fail_and_connections_break(seed):
    play = Simulation(short("failing-calls", 10.0), seed)
    summary = play.run()
    assert not broken(summary), summary["breaches"]
    assert summary["service"] > 0.95, summary["ends"]
    failed = failed_calls(play)
    assert min(failed[kind] for kind in ("connect_fails", "accept_fails", "short_calls")) >= 5, failed
    assert failed["connections_break"] > 100, failed


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_rules_hold_and_no_answer_is_lost_for_want_of_buffers(seed):
    play = Simulation(short("no-buffers", 10.0), seed)
    summary = play.run()
    assert not broken(summary), summary["breaches"]
    assert not summary["ends"].get("lost"), summary["ends"]
    assert summary["service"] > 0.99, summary["ends"]
    failed = failed_calls(play)
    assert min(failed[kind] for kind in ("accept_fails", "send_fails", "receive_fails")) > 5, failed


ACCEPTS_FAIL = [
    Fault("connections_break", 0.5, 2.5, 1.0, every_s=0.1, rate=0.2),
    Fault("accept_fails", 0.5, 2.5, 1.0, rate=0.5, errors=["ENFILE", "ENOBUFS", "ENOMEM"]),
]


@pytest.mark.parametrize("seed", [1, 3])  # 2 is played beside the defect below
def test_no_node_is_told_the_time_that_a_connection_waited_to_be_accepted(seed):
    play = Simulation(short("calm", 4.0, ACCEPTS_FAIL), seed)
    summary = play.run()
    assert not broken(summary), summary["breaches"]
    assert failed_calls(play)["accept_fails"] >= 80


# The judge can fail ---------------------------------------------------------------------------------


def takes_a_short_write_for_a_whole_one(patch):
    def send_now(self, data):
        self._socket.send(data)
        return b""

    patch.setattr(BufferedLineReceiver, "_send_now", send_now)


def does_not_hear_that_its_client_was_cut_off(patch):
    patch.setattr(ClientConnection, "connectionLost", lambda self, reason: None)


SHORT = [Fault("short_calls", 0.5, 2.0, 1.0, rate=0.5, most_bytes=16)]
NO_BUFFERS = [
    Fault("send_fails", 0.5, 2.0, 1.0, rate=0.1),
    Fault("receive_fails", 0.5, 2.0, 1.0, rate=0.1),
]
CUT_OFF = [
    Fault("hang", 0.2, 4.0, 0.5),
    Fault("connections_break", 0.5, 2.0, 1.0, every_s=0.1, rate=0.2),
]


def does_not_count_the_wait_to_be_accepted(patch):
    patch.setattr(AcceptQueue, "record_accepted", lambda self: None)


def ends_a_connection_at_errors_that_pass(patch):
    patch.setattr(lines, "install_steady_socket", lambda transport: transport.getHandle())


MUTANTS = [
    (does_not_count_the_wait_to_be_accepted, ACCEPTS_FAIL, "told"),
    (ends_a_connection_at_errors_that_pass, NO_BUFFERS, "answered"),
    (takes_a_short_write_for_a_whole_one, SHORT, "answered"),
    (does_not_hear_that_its_client_was_cut_off, CUT_OFF, "left"),
]


@pytest.mark.parametrize(
    ("mutant", "faults", "rule"), MUTANTS, ids=lambda what: getattr(what, "__name__", None)
)
def test_the_judge_catches_each_defect(monkeypatch, mutant, faults, rule):
    world = short("calm", 3.0, faults)
    assert not broken(Simulation(world, 2).run())
    mutant(monkeypatch)
    assert rule in broken(Simulation(world, 2).run())


# One seed, one trace --------------------------------------------------------------------------------

TRACES = """
import sys
sys.path.insert(0, "tests")
from test_lab_system_calls import short
from lab.simulation import Simulation
for name, seconds in (("failing-calls", 3.0), ("no-buffers", 3.0), ("clock-steps", 3.0)):
    print(name, Simulation(short(name, seconds, None, 40.0), 5).run()["trace_sha256"])
"""


def test_one_seed_gives_one_trace_in_any_process():
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", TRACES],
            cwd=ROOT,
            env=os.environ | {"PYTHONHASHSEED": seed, "PYTHONPATH": str(ROOT)},
            stdout=subprocess.PIPE,
            text=True,
        )
        for seed in ("0", "77")
    ]
    first, second = (run.communicate()[0] for run in runs)
    assert first == second
    assert first.count("\n") == 3
    other = Simulation(short("failing-calls", 3.0, None, 40.0), 6).run()["trace_sha256"]
    assert other not in first


# How the calls fail ---------------------------------------------------------------------------------


class Machine:
    """A process and its system calls, of which those of one kind fail, all or some."""

    alive = True

    def __init__(self, kind, errors=(), rate=1.0, most_bytes=1):
        self.system_calls = SystemCalls("machine", 1)
        self.system_calls.begin(Fault(kind, 0.0, 1.0, rate=rate, errors=list(errors), most_bytes=most_bytes))


class Recorded(Protocol):
    def __init__(self):
        self.reads, self.ended = [], None

    def dataReceived(self, data):
        self.reads.append(data)

    def connectionLost(self, reason):
        self.ended = reason.value


class Recording(Factory):
    noisy = False

    def __init__(self):
        self.built, self.failures, self.rests = [], [], 0

    def accept_failed(self, reason):
        self.failures.append(reason)

    def accept_paused(self):
        self.rests += 1

    def buildProtocol(self, addr):
        self.built.append(Recorded())
        return self.built[-1]


def connected(machine):
    """A client's end, and that of a server which runs on the machine."""
    net, server, client = Net(), Recording(), Recording()
    net.listenTCP(ADDRESS[1], server, interface=ADDRESS[0], owner=machine)
    net.connectTCP(*ADDRESS, client)
    net.run_for(0.01)
    return net, client, server


@pytest.mark.parametrize(
    ("name", "wanted"),
    [
        ("ENOBUFS", ConnectError),
        ("EADDRNOTAVAIL", ConnectError),
        ("ENETUNREACH", NoRouteError),
        ("ENFILE", ConnectBindError),
        ("EMFILE", ConnectBindError),
    ],
)
def test_a_connect_fails_as_twisted_reports_it(name, wanted):
    error = Machine("connect_fails", [name]).system_calls.connect_error()
    assert type(error) is wanted
    assert error.osError == getattr(errno, name)


@pytest.mark.parametrize("name", ["ENFILE", "ENOBUFS", "ENOMEM"])
def test_a_connection_waits_while_accepts_fail_for_want_of_something(name):
    machine = Machine("accept_fails", [name])
    net, client, server = connected(machine)
    client.built[0].transport.write(b"asked")
    net.run_for(0.5)
    assert client.built[0].ended is None
    assert not server.built
    machine.system_calls.end("accept_fails")
    net.run_for(ACCEPT_BACKOFF_S + 0.001)
    assert server.built[0].reads == [b"asked"]


def test_a_connection_that_is_aborted_before_its_accept_never_reaches_the_program():
    _, client, server = connected(Machine("accept_fails", ["ECONNABORTED"]))
    assert isinstance(client.built[0].ended, ConnectionLost)
    assert not server.built


def test_what_waits_is_taken_before_its_socket_is_closed_and_reset_where_that_fails():
    machine = Machine("accept_fails", ["ENOMEM"])
    net, client, server = connected(machine)
    machine.system_calls.end("accept_fails")
    net.listeners[ADDRESS].stopListening()
    net.run_for(0.1)
    assert len(server.built) == 1
    assert client.built[0].ended is None

    net, client, server = connected(Machine("accept_fails", ["ENOMEM"]))
    net.listeners[ADDRESS].stopListening()
    net.run_for(0.1)
    assert not server.built
    assert isinstance(client.built[0].ended, ConnectionLost)


@pytest.mark.parametrize("name", ["ETIMEDOUT", "EHOSTUNREACH"])
def test_a_broken_connection_fails_calls_by_its_error_and_the_other_side_hears_nothing(name):
    net, client, server = connected(Machine("connections_break", [name]))
    held = server.built[0]
    held.transport.break_with(OSError(getattr(errno, name), name))
    for call in (lambda: held.transport.send(b"x"), lambda: held.transport.recv(1)):
        with pytest.raises(OSError, match=name) as raised:
            call()
        assert raised.value.errno == getattr(errno, name)
    assert held.ended is None  # the loop has not turned yet
    net.run_for(0.1)
    assert type(held.ended) is ConnectionLost
    assert client.built[0].ended is None


def test_short_reads_and_writes_carry_all_bytes_in_order_and_a_close_waits_for_them():
    data = bytes(range(256)) * 4
    net, client, server = connected(Machine("short_calls", most_bytes=7))
    client.built[0].transport.write(data)
    net.run_for(1.0)
    assert b"".join(server.built[0].reads) == data
    assert max(map(len, server.built[0].reads)) == 7
    assert server.built[0].transport.send(data) <= 7
    net.run_for(0.1)
    sent = len(b"".join(client.built[0].reads))
    server.built[0].transport.write(data)
    server.built[0].transport.loseConnection()
    net.run_for(1.0)
    assert b"".join(client.built[0].reads)[sent:] == data
    assert client.built[0].ended is not None


def test_a_send_that_fails_for_want_of_buffers_is_made_again_by_the_transport():
    machine = Machine("send_fails", ["ENOBUFS"])
    net, client, server = connected(machine)
    with pytest.raises(OSError, match=f"Errno {errno.ENOBUFS}"):
        server.built[0].transport.send(b"answer")
    server.built[0].transport.write(b"answer")
    net.run_for(0.1)
    assert client.built[0].reads == []
    machine.system_calls.end("send_fails")
    net.run_for(0.1)
    assert client.built[0].reads == [b"answer"]


@pytest.mark.parametrize("kind", ["send_fails", "receive_fails"])
def test_a_connection_ends_at_the_errors_that_twisted_ends_it_at(kind):
    net, client, server = connected(Machine(kind, ["ENOMEM"]))
    client.built[0].transport.write(b"asked")
    server.built[0].transport.write(b"answer")
    net.run_for(0.1)
    assert type(server.built[0].ended) is ConnectionLost
    assert type(client.built[0].ended) is ConnectionLost


@pytest.mark.parametrize("kind", ["send_fails", "receive_fails"])
@pytest.mark.parametrize("name", ["ENOBUFS", "ENOMEM"])
def test_a_connection_on_a_steady_socket_outlives_errors_that_pass(kind, name):
    machine = Machine(kind, [name])
    net, client, server = connected(machine)
    install_steady_socket(server.built[0].transport)
    client.built[0].transport.write(b"asked")
    server.built[0].transport.write(b"answer")
    net.run_for(0.1)
    assert machine.system_calls.failed[kind] > 10
    machine.system_calls.end(kind)
    net.run_for(0.1)
    assert server.built[0].reads == [b"asked"]
    assert client.built[0].reads == [b"answer"]
    assert server.built[0].ended is client.built[0].ended is None


def test_a_transport_that_uses_no_socket_of_its_own_stays_as_it_is():
    class Elsewhere(Transport):
        socket = "what another transport uses"

    for transport in (Transport(), Elsewhere()):
        before = dict(vars(transport))
        assert install_steady_socket(transport) is transport
        assert vars(transport) == before
    assert isinstance(
        install_steady_socket(connected(Machine("send_fails"))[2].built[0].transport), SteadySocket
    )


def test_a_listener_rests_and_tells_its_factory_of_it_as_the_real_port_does():
    machine = Machine("accept_fails", ["ENOMEM"])
    net, _, server = connected(machine)
    listener = net.listeners[ADDRESS]
    assert listener.has_waiting_connections()
    assert not listener.is_accepting
    assert (server.rests, server.failures) == (1, [os.strerror(errno.ENOMEM)])
    net.run_for(0.5)
    assert 20 <= server.rests <= 26
    assert len(server.failures) == 1
    net.run_for(1.0)
    assert len(server.failures) == 2
    machine.system_calls.end("accept_fails")
    net.run_for(ACCEPT_BACKOFF_S)
    assert server.built
    assert listener.is_accepting
    assert not listener.has_waiting_connections()


def test_a_connection_that_comes_during_a_rest_waits_behind_the_others():
    machine = Machine("accept_fails", ["ENOMEM"])
    net, client, server = connected(machine)
    machine.system_calls.end("accept_fails")
    net.connectTCP(*ADDRESS, client)
    net.run_for(0.005)
    assert not server.built
    client.built[0].transport.write(b"first")
    client.built[1].transport.write(b"second")
    net.run_for(ACCEPT_BACKOFF_S)
    assert [one.reads for one in server.built] == [[b"first"], [b"second"]]
