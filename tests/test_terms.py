"""What the operators hold every version to, at the moments in which it is easily broken: on real sockets, one
turn of the loop at a time. docs/terms.md has the whole list, and which test forces what."""

import contextlib

import pytest
from rig import Rig, read, write

from cloverwell.back.pool import Pool
from cloverwell.front.client_connection import AHEAD

HIT = b"VA 1 O%d\r\nx\r\n"


@pytest.fixture
def rig():
    made = []

    def make(**more):
        made.append(Rig(**more))
        return made[-1]

    yield make
    for one in made:
        one.close()


@pytest.fixture
def begun(monkeypatch):
    """The attempts that have been given to a node's connections so far."""
    attempts = []
    real = Pool.start

    def start(pool, attempt):
        attempts.append(attempt)
        real(pool, attempt)

    monkeypatch.setattr(Pool, "start", start)
    return attempts


# A new connection of a process that is being emptied ----------------------------------------------


def test_the_first_request_of_a_connection_taken_as_the_port_closes_is_answered(rig):
    proxy = rig()
    proxy.service.stop()
    conn = proxy.client()  # its request is on the way
    proxy.lag(600)  # the port closes before the reactor has looked at it
    proxy.turn()
    assert proxy.service.side.connections and proxy.service._port is None
    conn.sendall(read(1, 900))
    proxy.skip(10)
    node = proxy.nodes[0].take()
    proxy.got(node, b"mg k1 ")
    node.sendall(HIT % 1)
    assert proxy.ended(conn) == HIT % 1 + b"END"


def test_a_drained_process_answers_who_connects_before_it_asks(rig):
    proxy = rig()
    proxy.service.drain()
    proxy.skip(1000)
    conn = proxy.client()
    proxy.skip(10)
    conn.sendall(b"mn\r\n")
    assert proxy.ended(conn) == b"SERVER_ERROR draining\r\nEND"


# What a client that leaves hands on ---------------------------------------------------------------


def places_taken(proxy):
    servers = proxy.service.facade._balancer._servers.values()
    return {name for server in servers for name, _number in server.out}


@pytest.mark.parametrize("out", [b"", read(7)])
def test_a_key_whose_fetch_ends_as_its_client_leaves_is_not_asked_for_that_client_again(rig, begun, out):
    # The second read of a key waits for the first one's fetch, which waits for a place at the origin; both
    # are one client's. `out` is a third that is called off as it leaves, before the others are forgotten.
    proxy = rig()
    proxy.service.facade._balancer._origins[0].limit = 1.0
    proxy.client(write(9))
    proxy.got(proxy.origin.take(), b"PUT /k9 ")
    conn = proxy.client(out + read(1))
    for number in (7, 1) if out else (1,):
        node = proxy.nodes[0].take()
        proxy.got(node, b"mg k%d " % number)
    node.sendall(b"EN O1\r\n")
    proxy.turn()
    conn.sendall(read(2).replace(b"k2", b"k1"))
    proxy.until(lambda: proxy.service.dispatcher.open_count == 3 + bool(out))
    before = len(begun)
    conn.close()
    proxy.skip(60)
    assert proxy.service.dispatcher.open_count == 1 and len(begun) == before
    assert places_taken(proxy) == {"9"}


# Since when a client's request is on its way -------------------------------------------------------


def answer_reads(proxy, node):
    """All that stands at the node's connections is answered."""
    while node._accept() is not None:
        pass
    for conn in node.taken:
        with contextlib.suppress(BlockingIOError, ConnectionResetError):
            for line in conn.recv(1 << 16).split(b"\r\n"):
                if line.startswith(b"mg "):
                    conn.sendall(HIT % int(line.split()[3][1:]))


def test_a_connection_that_was_not_read_for_a_while_is_read_as_any_other_afterwards(rig):
    proxy = rig()
    conn = proxy.client(b"".join(read(number) for number in range(AHEAD)))
    proxy.until(lambda: proxy.service.side.not_read)
    conn.sendall(read(AHEAD))  # it stands unread when the first answer lets the reading go on
    proxy.turn(5)
    # All answers are there at once, so that the connection is not held a second time.
    answer_reads(proxy, proxy.nodes[0])
    proxy.until(lambda: not proxy.service.side.not_read)
    proxy.skip(3000)
    conn.sendall(read(100))
    proxy.turn(5)
    answer_reads(proxy, proxy.nodes[0])
    proxy.got(conn, b"O100\r\nx\r\n")  # not refused as late
