"""What one turn of the event loop does for some clients before others get their turn.

Work is counted in commands by turn and never timed: `review/1` lost the requests of usual clients because one
turn handled all commands that ten clients had sent, 900 each.
"""

import contextlib
import itertools

import pytest
from rig import read, write

from cloverwell.front.client_connection import ClientConnection

# A turn must be over within 25 ms, from which on the event loop counts as stalled. A command takes up to
# 0.3 ms, so a turn has room for so many commands of all clients together.
MAX_COMMANDS_PER_TURN = 64
FLOOD_COMMANDS = 900  # "hundreds of commands at once"
FLOODING_CLIENTS = 10
# The turns of a new client's request: its connection is accepted, its command is read, and the command waits.
TURNS_TO_ANSWER = 3
# Before its value comes, two more: the connection to the node is established, and the node's answer is read.
TURNS_TO_VALUE = TURNS_TO_ANSWER + 2

# What a flooding client sends: the command of a number, by the way in which it is answered.
FLOODS = {
    "rejected": lambda number: read(number, wait_ms=1),
    "probes": lambda _number: b"mn\r\n",
    "reads": lambda number: read(number, wait_ms=60_000),
    "writes": lambda number: write(number, wait_ms=60_000),
    "rejected writes": lambda number: write(number, wait_ms=1, value=b"v" * 20),
}


class CommandCount:
    """Counts the commands that are handled, in all turns and in the present one."""

    def __init__(self, monkeypatch):
        self.total = 0
        handle = ClientConnection.lineReceived

        def count_and_handle(connection, line):
            self.total += 1
            handle(connection, line)

        monkeypatch.setattr(ClientConnection, "lineReceived", count_and_handle)

    def by_turn(self, run_turn, turns):
        """Runs so many turns of the event loop and returns the number of commands handled in each."""
        counts = []
        for _ in range(turns):
            before = self.total
            run_turn()
            counts.append(self.total - before)
        return counts


@pytest.fixture
def commands(monkeypatch):
    return CommandCount(monkeypatch)


class Flood:
    """Clients that send hundreds of commands at once, and the same again as soon as these are sent."""

    def __init__(self, proxy, kind, clients):
        self._proxy = proxy
        self._kind = kind
        self._numbers = itertools.count(1000)
        self._unsent = {}
        for _ in range(clients):
            conn = proxy.client()
            proxy.run_iterations(2)  # It is accepted before it sends.
            self._unsent[conn] = b""

    def turn(self):
        """Has all clients read and send as much as goes at once, and runs one turn of the event loop."""
        for conn, unsent in self._unsent.items():
            with contextlib.suppress(BlockingIOError):
                while conn.recv(1 << 16):
                    pass
            if not unsent:
                numbers = itertools.islice(self._numbers, FLOOD_COMMANDS)
                unsent = b"".join(FLOODS[self._kind](number) for number in numbers)
            with contextlib.suppress(BlockingIOError):
                unsent = unsent[conn.send(unsent) :]
            self._unsent[conn] = unsent
        self._proxy.run_iterations(1)

    def turn_until(self, condition):
        """Runs turns until the condition returns a true value, and returns that value."""
        for _ in range(200):
            if result := condition():
                return result
            self.turn()
        raise AssertionError("it did not happen in 200 turns")


def received(conn):
    """Returns what has come on a connection, b"" if nothing has."""
    try:
        return conn.recv(1 << 16)
    except BlockingIOError:
        return b""


@pytest.mark.parametrize("clients", [1, FLOODING_CLIENTS])
@pytest.mark.parametrize("kind", FLOODS)
def test_a_turn_handles_a_bounded_number_of_commands_of_all_clients_together(rig, commands, kind, clients):
    proxy = rig()
    flood = Flood(proxy, kind, clients)
    assert max(commands.by_turn(flood.turn, 60)) <= MAX_COMMANDS_PER_TURN
    assert commands.total  # The flood was read at all.


@pytest.mark.parametrize("kind", FLOODS)
def test_a_new_client_is_answered_after_a_bounded_number_of_commands_of_a_flood(rig, commands, kind):
    proxy = rig()
    flood = Flood(proxy, kind, FLOODING_CLIENTS)
    commands.by_turn(flood.turn, 3)
    usual = proxy.client()
    usual.sendall(b"mn\r\n")
    before = commands.total
    assert flood.turn_until(lambda: received(usual)) == b"MN\r\n"
    assert commands.total - before <= TURNS_TO_ANSWER * MAX_COMMANDS_PER_TURN


@pytest.mark.parametrize("kind", ["rejected", "probes", "rejected writes"])
def test_a_new_clients_read_is_served_after_a_bounded_number_of_commands_of_a_flood(rig, commands, kind):
    proxy = rig()
    flood = Flood(proxy, kind, FLOODING_CLIENTS)
    commands.by_turn(flood.turn, 3)
    usual = proxy.client()
    usual.sendall(read(1, wait_ms=60_000))
    before = commands.total
    # The node is held: its connection is accepted, and its answer sent, only when the test does so.
    node = flood.turn_until(proxy.nodes[0].accept_nowait)
    flood.turn_until(lambda: received(node))
    node.sendall(b"VA 1 O1\r\nx\r\n")
    assert flood.turn_until(lambda: received(usual)) == b"VA 1 O1\r\nx\r\n"
    assert commands.total - before <= TURNS_TO_VALUE * MAX_COMMANDS_PER_TURN


@pytest.mark.parametrize("end", ["goes on", "drained", "stopped"])
def test_commands_that_wait_for_a_turn_are_all_answered_in_their_order(rig, end):
    proxy = rig()
    conn = proxy.client()
    proxy.run_iterations(2)
    # Every third command is answered by another text, so that a lost or swapped answer shows.
    is_rejected = [number % 3 == 0 for number in range(FLOOD_COMMANDS)]
    commands = [read(7, wait_ms=1) if rejected else b"mn\r\n" for rejected in is_rejected]
    conn.sendall(b"".join(commands))
    proxy.run_iterations(1)
    if end == "drained":
        proxy.service.serving.drain(proxy.now())
    elif end == "stopped":
        proxy.service.stop()
    data = proxy.receive_until(conn, b"\r\n", FLOOD_COMMANDS)
    # `mn` is answered by `MN` or, in a drain, by `SERVER_ERROR draining`.
    assert [b" busy " in line for line in data.split(b"\r\n")[:-1]] == is_rejected


def test_a_client_whose_commands_wait_for_a_turn_is_no_idle_one(rig):
    # Its connection may be read and not handled for longer than any timeout of the connection policy.
    proxy = rig()
    conn = proxy.client(b"mn\r\n")
    proxy.receive_until(conn, b"MN")
    scheduler = proxy.service.client_connections.command_scheduler
    (connection,) = proxy.service.client_connections.connections
    scheduler.allowance.left = 0
    scheduler._is_scheduled = True  # No turn comes until the test gives it.
    conn.sendall(b"mn\r\n" * 3)
    proxy.run_until(lambda: connection in proxy.service.client_connections.paused_connections)
    proxy.advance_clock(10_200)
    assert not connection.ended
    scheduler._give_turns()
    assert proxy.receive_until(conn, b"MN", 3).count(b"MN") == 3


@pytest.mark.parametrize("end", ["drained", "stopped"])
def test_commands_behind_a_full_pipeline_are_answered_in_turns_before_a_process_ends(rig, commands, end):
    # The first commands of each client hang at a node until all requests are failed, shortly before the end.
    # Those behind them have to be read and rejected before, since there is no time for hundreds after that.
    proxy = rig(sockets=1024)
    proxy.stop_clock()
    proxy.nodes[0].fill_accept_queue()
    clients = 5
    connections = []
    for client in range(clients):
        numbers = range(client * FLOOD_COMMANDS, (client + 1) * FLOOD_COMMANDS)
        connections.append(proxy.client(b"".join(read(number, wait_ms=60_000) for number in numbers)))
    proxy.run_iterations(30)
    if end == "drained":
        assert proxy.service.drain()
    else:
        proxy.service.stop()
    times = proxy.service.serving.drain_times
    proxy.advance_clock(times.reject_ms - proxy.now() + 10.0)
    # Half of a turn's commands are kept for clients that have sent nothing before.
    turns = 3 * clients * FLOOD_COMMANDS // MAX_COMMANDS_PER_TURN
    counts = commands.by_turn(lambda: proxy.run_iterations(1), turns)
    assert commands.total == clients * FLOOD_COMMANDS
    assert max(counts) <= MAX_COMMANDS_PER_TURN
    proxy.advance_clock(times.answer_deadline_ms - proxy.now() + 10.0)
    for conn in connections:
        proxy.receive_until(conn, b"\r\n", FLOOD_COMMANDS)
