"""The propagated deadline: a command never gives its node more time than its client still waits.

What counts is the moment at which the last byte is written. The tests force each delay between the decision
and that moment: a connection that is opened late or rests, a close that must reach a node first, a last byte
that is held back, a socket that takes only a part of the command.
"""

import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from scenario import Player

from cloverwell.connections.node_policy import ConnectionUse
from cloverwell.facade import AttemptOutcome
from cloverwell.request import Attempt
from lab.proxy_testbed import SETTINGS

WHOLE = re.compile(rb"mg [^\r]*\r\n|GET .*?\r\n\r\n|PUT .*?\r\n\r\na", re.S)
ID = re.compile(rb"(?: O|Request-Id: )(\d+)")
WAITED_MS = 120  # how long the attempts of these tests wait in a pool


def propagated_ms(data):
    """Returns the propagated deadline of each command in `data`, in ms."""
    return [int(number) for number in re.findall(rb"d=(-?\d+)", data)]


def written(player, party, place=1):
    """Returns what the proxy has written to this connection of a node or the origin."""
    return player.connection(party, place - 1)[1].value()


def stall(player, ms):
    """Advances the clock without a turn of the event loop."""
    player.reactor.rightNow += ms / 1000.0


def settings_without_copies():
    """Returns settings with which a request must not have two attempts in flight at once."""
    return SETTINGS | {"limits": SETTINGS["limits"] | {"second-copies": False}}


@pytest.mark.parametrize(
    ("command", "party"), [("mg k1 v O1 Pc=page,t=acme,", "s1"), ("ms k1 1 O1 Pc=order,t=acme,", "origin")]
)
def test_an_attempt_that_waited_for_its_connection_tells_the_time_that_is_left(command, party):
    # If the propagated deadline is computed when the attempt is decided, it is too long by the time that the
    # attempt then waits for a connection: 230 ms of 4212 ms in one case.
    player = Player()
    body = "|a" if command.startswith("ms") else ""
    player.play(f"client send {command}d=900{body}\nwait {WAITED_MS}")
    propagated = propagated_ms(written(player, party))
    assert len(propagated) == 1
    assert 0 < propagated[0] <= 900 - WAITED_MS


def test_an_attempt_that_waited_for_a_resting_connection_tells_the_time_that_is_left():
    # The connection to the origin rests after an answer without an id, while a further one is being opened.
    player = Player()
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=900|a\norigin expect PUT *")
    player.play("client#2 send ms k2 1 O2 Pc=order,t=acme,d=900|a\nwait 100")
    player.play("origin send 200 r1\nclient expect HD O1 cr1\nwait 20")
    propagated = propagated_ms(written(player, "origin"))
    assert len(propagated) == 1
    assert 0 < propagated[0] <= 900 - 120


def test_an_attempt_that_waited_for_the_close_of_the_first_tells_the_time_that_is_left():
    player = Player(settings=settings_without_copies())
    player.service.node_policy.close_delay_bound_ms = lambda node: 60.0
    player.play("client send ms k1 1 O1 Pc=adjust,t=acme,d=900|a\norigin expect PUT *")
    attempt = player.service.dispatcher._open["1"].attempts[0]
    attempt.pool.give_up(attempt, AttemptOutcome.CANCELLED)
    player.play(f"wait {WAITED_MS}")
    propagated = propagated_ms(written(player, "origin", 2))
    assert len(propagated) == 1
    assert 0 < propagated[0] <= 900 - WAITED_MS


def test_an_attempt_without_time_left_is_not_sent_and_its_request_is_answered():
    player = Player()
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=120")
    stall(player, 119)
    assert written(player, "s1") == b""
    player.play("wait 5\nclient expect SERVER_ERROR *")
    assert player.service.dispatcher.open_count == 0


def test_a_connection_can_be_used_after_an_attempt_that_had_no_time_left():
    player = Player()
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=120")
    stall(player, 119)
    assert written(player, "s1") == b""
    player.play("wait 5\nclient expect SERVER_ERROR *")
    player.play("client send mg k2 v O2 Pc=page,t=acme,d=900\ns1 expect mg k2 *")


def send_split_order(player):
    """Sends an order whose last byte is held back, and returns what was written to the origin."""
    player.service.node_policy.choose_use = lambda node, age_ms, costly: (
        ConnectionUse.HOLD_LAST_BYTE if costly else ConnectionUse.WRITE_ALL
    )
    player.service.node_policy.hold_back_ms = lambda node: 40.0
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=900|a")
    return written(player, "origin")


def test_the_propagated_deadline_holds_for_a_last_byte_that_was_held_back():
    player = Player()
    assert not send_split_order(player).endswith(b"a")
    player.play("wait 45")
    data = written(player, "origin")
    assert data.endswith(b"a")
    assert 0 < propagated_ms(data)[0] <= 900 - 45


@pytest.mark.parametrize("stall_ms", [150, 300])  # within the time for a connection, and longer
def test_a_command_whose_last_byte_is_too_late_is_written_to_another_connection(stall_ms):
    # The event loop stalls while the byte is held back, so that the propagated deadline is too long by then.
    player = Player()
    first = send_split_order(player)
    player.service.node_policy.hold_back_ms = lambda node: 1.0
    stall(player, stall_ms)
    player.play("wait 5")
    assert written(player, "origin") == first, "the last byte was written too late"
    player.play("origin expect end\nwait 1")
    written(player, "origin", 2)
    player.play("wait 20")
    data = written(player, "origin", 2)
    assert data.endswith(b"a")
    assert 0 < propagated_ms(data)[0] <= 900 - stall_ms
    player.play("origin#2 send 200 r1\nclient expect HD O1 cr1")


def test_a_last_byte_that_was_held_back_is_not_written_after_the_drain_time():
    guarantees = SETTINGS["guarantees"] | {"drain-grace": 210.0}
    player = Player(settings=SETTINGS | {"guarantees": guarantees})
    first = send_split_order(player)
    player.service.node_policy.record_left("origin", player.now())
    player.play("wait 45")
    assert written(player, "origin") == first


@pytest.mark.parametrize(("waited_ms", "is_sent"), [(8, True), (200, False)])
def test_the_last_byte_is_held_back_until_the_kernel_has_taken_the_rest_of_the_command(waited_ms, is_sent):
    player = Player()
    player.play("client send ms k1 1 O1 Pc=order,t=acme,d=900|a\norigin expect PUT *\norigin send 200 r1")
    protocol, transport = player.connection("origin", 0)
    send_whole = transport.send
    transport.send = lambda data: send_whole(data[:10])
    player.play("client expect HD O1 cr1\nwait 20\nclient send ms k2 1 O2 Pc=order,t=acme,d=900|b")
    assert protocol.has_partial_write
    assert not transport.value().endswith(b"b")
    stall(player, waited_ms)
    transport.send = send_whole
    protocol.resumeProducing()  # The kernel has taken what it was given.
    player.play("wait 6")
    assert transport.value().endswith(b"b") == is_sent
    if not is_sent:  # The command never ran, and is written with less time to another connection.
        data = written(player, "origin", 2)
        assert data.endswith(b"b")
        assert 0 < propagated_ms(data)[0] <= 900 - waited_ms


class CheckedPlayer(Player):
    """Checks the propagated deadline of each command against the time that its client still waits."""

    def __init__(self, **more):
        super().__init__(**more)
        self.deadlines = {}  # request id -> clock time at which its client gives up
        self.checked = 0

    def send_request(self, number, write, wait_ms):
        name = f"{number}"
        self.deadlines[name] = self.now() + wait_ms
        head, body = (f"ms k{name} 1", "|a") if write else (f"mg k{name} v", "")
        cls = "order" if write else "page"
        self.play(f"client#{number} send {head} O{name} Pc={cls},t=acme,d={wait_ms}{body}")

    def check(self, party, place):
        """Checks each command of a connection once, as soon as its last byte has been written."""
        _, transport = self.connection(party, place)
        data = transport.value()
        for command in WHOLE.finditer(data):
            name, propagated = ID.search(command[0])[1].decode(), propagated_ms(command[0])[0]
            assert propagated >= 1, f"{name} was told {propagated}"
            assert self.now() + propagated <= self.deadlines[name], f"{name} was told {propagated}"
            self.checked += 1
        rest = WHOLE.sub(b"", data)
        transport.clear()
        transport.write(rest)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), st.booleans(), st.integers(20, 1500)),
        st.tuples(st.just("wait"), st.integers(1, 120)),
        st.tuples(st.just("late"), st.integers(1, 200)),
        st.tuples(st.just("connect"), st.sampled_from(["s1", "origin"])),
        st.tuples(st.just("close"), st.sampled_from(["s1", "origin"]), st.integers(0, 3)),
        st.tuples(st.just("answer"), st.sampled_from(["s1", "origin"]), st.integers(0, 3)),
        st.tuples(st.just("clog"), st.sampled_from(["s1", "origin"]), st.integers(0, 3), st.integers(0, 60)),
        st.tuples(st.just("drain"), st.sampled_from(["s1", "origin"]), st.integers(0, 3)),
    ),
    max_size=40,
)


@settings(max_examples=150, deadline=None)
@given(steps=STEPS, held_back=st.booleans())
def test_no_command_tells_more_time_than_is_left_in_any_order_of_events(steps, held_back):
    player = CheckedPlayer()
    if held_back:
        player.service.node_policy.choose_use = lambda node, age_ms, costly: ConnectionUse.HOLD_LAST_BYTE
    asked = 0
    for step, *more in steps:
        match step, more:
            case "ask", (write, wait_ms):
                asked += 1
                player.send_request(asked, write, wait_ms)
            case "wait", (ms,):
                for _ in range(ms):
                    player.play("wait 1")
                    check_all(player)
            case "late", (ms,):
                stall(player, ms)
            case "connect", (party,):
                if (factory := player.next_requested_factory(party)) is not None:
                    player.pending_factories.setdefault(party, []).insert(0, factory)
                    player.connection(party, len(player.connections.get(party, [])))
            case "close", (party, place):
                if is_open(player, party, place):
                    player.play(f"{party}#{place + 1} close")
            case "answer", (party, place):
                answer(player, party, place)
            case "clog", (party, place, taken):
                if is_open(player, party, place):
                    clog(player.connections[party][place][1], taken)
            case "drain", (party, place):
                if is_open(player, party, place):
                    protocol, transport = player.connections[party][place]
                    transport.__dict__.pop("send", None)
                    protocol.resumeProducing()
        check_all(player)
    player.play("wait 2100")
    assert player.service.dispatcher.open_count == 0
    assert "deadline.exceeded_at_send" not in player.service.counts.take_line()


def test_an_attempt_that_tells_its_node_more_time_than_is_left_is_counted(monkeypatch):
    # The check above can fail: here each command has a propagated deadline of 5 s.
    monkeypatch.setattr(Attempt, "time_left_ms", lambda self, now, delay_ms=0.0: 5000)
    player = Player()
    player.play("client send mg k1 v O1 Pc=page,t=acme,d=900\ns1 expect mg k1 v O1 *\ns1 send VA 1 O1|x")
    line = player.service.counts.take_line()
    assert "deadline.exceeded_at_send=1" in line
    assert "deadline.exceeded_at_send_ms" in line


def clog(transport, taken):
    """Makes the socket take `taken` more bytes, and then none until it is drained."""
    room = [taken]

    def send(data):
        size = min(len(data), room[0])
        room[0] -= size
        if not size:
            raise BlockingIOError
        return type(transport).send(transport, data[:size])

    transport.send = send


def is_open(player, party, place):
    """Returns whether this connection of a node or the origin exists and is open."""
    connections = player.connections.get(party, [])
    return place < len(connections) and not connections[place][1].ended and not connections[place][0].ended


def check_all(player):
    """Checks the commands on all connections to the node and the origin."""
    for party in ("s1", "origin"):
        for place in range(len(player.connections.get(party, []))):
            player.check(party, place)


def answer(player, party, place):
    """Answers the oldest attempt on a connection, if there is one."""
    if not is_open(player, party, place):
        return
    protocol, _ = player.connections[party][place]
    if protocol.attempts:
        name = protocol.attempts[0].request.id
        words = "200 r" if party == "origin" else f"VA 1 O{name}|a"
        player.play(f"{party}#{place + 1} send {words}")


# The time from which a client's deadline counts ---------------------------------------------------------


def test_the_deadline_of_a_slow_command_counts_from_its_first_byte():
    player = Player()
    client, _ = player.connection("client", 0)
    client.dataReceived(b"ms k1 1 O1 Pc=order,t=acme,d=900\r\n")
    player.play("wait 300")
    client.dataReceived(b"a\r\n")
    propagated = propagated_ms(written(player, "origin"))
    assert len(propagated) == 1
    assert 0 < propagated[0] <= 900 - 300


def test_the_deadline_of_a_command_after_a_slow_one_counts_from_its_own_first_byte():
    player = Player()
    client, _ = player.connection("client", 0)
    client.dataReceived(b"mg k1 v O1 Pc=page,t=acme,")
    player.play("wait 300")
    client.dataReceived(b"d=900\r\nmg k2 v O2 Pc=page,t=acme,d=900\r\n")
    # Each attempt has a connection of its own: the second attempt is on the second connection.
    assert (
        propagated_ms(written(player, "s1", 1))[0] <= 600 < propagated_ms(written(player, "s1", 2))[0] <= 900
    )


def test_the_deadline_of_an_unread_command_counts_from_when_reading_paused():
    # With 64 open commands the client is not read until one of them is answered, 100 ms later.
    player = Player()
    client, transport = player.connection("client", 0)
    transport.unread = b"m"  # received by the kernel, and not read
    reads = b"".join(b"mg k1 v O%d Pc=page,t=acme,d=1900\r\n" % number for number in range(64))
    client.dataReceived(reads)
    player.play("s1 expect mg k1 v O0 *\nwait 100\ns1 send VA 1 O0|a")
    transport.unread = b""
    client.dataReceived(b"ms k9 1 O99 Pc=order,t=acme,d=900|a\r\n".replace(b"|", b"\r\n"))
    propagated = propagated_ms(written(player, "origin"))
    assert len(propagated) == 1
    assert 0 < propagated[0] <= 900 - 100


def test_the_deadline_of_a_later_command_counts_from_its_arrival():
    player = Player()
    client, _ = player.connection("client", 0)
    reads = b"".join(b"mg k1 v O%d Pc=page,t=acme,d=1900\r\n" % number for number in range(64))
    client.dataReceived(reads)
    player.play("s1 expect mg k1 v O0 *\nwait 100\ns1 send VA 1 O0|a")
    client.dataReceived(b"ms k9 1 O99 Pc=order,t=acme,d=900|a\r\n".replace(b"|", b"\r\n"))
    assert propagated_ms(written(player, "origin"))[0] > 870
