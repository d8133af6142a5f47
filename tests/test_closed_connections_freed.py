"""A closed connection is freed at once, not by the garbage collector, which may be many seconds away."""

import gc
import weakref

import pytest
from rig import read, reset, write


@pytest.fixture
def collector_off():
    """Keeps the collector from freeing what a reference cycle holds."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def close_by_client(conn):
    conn.close()


def half_line(conn):
    conn.sendall(b"mg half v O1 Pc=pa")


def half_value(conn):
    conn.sendall(write(1, value=b"x" * 1000)[:-100])


def nothing(conn):
    """Sends nothing."""


def malformed(conn):
    conn.sendall(b"ms k x\r\n")


def probe(conn):
    conn.sendall(b"mn\r\n")


def read_unanswered(conn):
    conn.sendall(read(7))


def connect(proxy):
    """Returns a client's socket, the proxy's connections, and references to the new one and its transport."""
    conn = proxy.client()
    connections = proxy.service.client_connections.connections
    proxy.run_until(lambda: len(connections) == 1)
    (one,) = connections
    return conn, connections, [weakref.ref(one), weakref.ref(one.transport)]


SENT = [nothing, half_line, half_value, malformed, probe, read_unanswered]


@pytest.mark.parametrize("leave", [close_by_client, reset])
@pytest.mark.parametrize("send", SENT)
@pytest.mark.usefixtures("collector_off")
def test_the_connection_of_a_client_that_leaves_is_freed_at_once(rig, send, leave):
    # The fault: hundreds of connections a second added up to 16 MB between two collections.
    proxy = rig()
    conn, connections, found = connect(proxy)
    send(conn)
    proxy.run_iterations(5)
    leave(conn)
    proxy.run_until(lambda: not connections)
    proxy.advance_clock(300.0)
    assert [ref() for ref in found] == [None, None]


@pytest.mark.parametrize("send", [nothing, half_line, half_value, malformed])
@pytest.mark.usefixtures("collector_off")
def test_a_connection_that_the_proxy_closes_is_freed_at_once(rig, send):
    proxy = rig()
    conn, connections, found = connect(proxy)
    send(conn)
    proxy.advance_clock(2500.0)
    conn.close()
    proxy.run_until(lambda: not connections)
    proxy.advance_clock(300.0)
    assert [ref() for ref in found] == [None, None]


@pytest.mark.usefixtures("collector_off")
def test_a_connection_to_a_node_is_freed_at_once(rig):
    proxy = rig()
    conn = proxy.client()
    conn.sendall(read(1))
    node = proxy.nodes[0].accept()
    pool = proxy.service.pools.pool_of("s1")
    found = [weakref.ref(one) for one in pool.connections] + [
        weakref.ref(one.transport) for one in pool.connections
    ]
    node.close()
    proxy.run_until(lambda: not pool.connections)
    proxy.advance_clock(300.0)
    assert [ref() for ref in found] == [None, None]
