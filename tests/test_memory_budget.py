"""The budget of memory, and what the proxy does at its edges: it rejects at once, and frees what it holds."""

import gc
import math
from types import FunctionType

import pytest
from rig import read, write

from cloverwell.memory_budget import (
    BUDGET_SHARE,
    BYTES_PER_MB,
    CONNECTION_BYTES,
    MIN_BUDGET_BYTES,
    MemoryAccount,
    MemoryBudget,
    MemoryUse,
    Urgency,
)

LARGE = b"x" * 60_000
SMALL_BUDGET_BYTES = 200_000


def test_slow_peers_leave_memory_for_prompt_ones_and_these_for_what_cant_be_refused():
    budget = MemoryBudget(1000)
    account = MemoryAccount(budget, MemoryUse.COMMANDS)
    granted = {}
    for urgency in Urgency:
        account.hold(0)
        while budget.grants(urgency, 10):
            account.hold(account.held_bytes + 10)
        granted[urgency] = account.held_bytes
    assert granted == {Urgency.SLOW: 500, Urgency.PROMPT: 800, Urgency.ESSENTIAL: 1000}


def test_the_budget_is_a_share_of_what_is_left_above_the_process_at_rest():
    budget = MemoryBudget(math.inf)
    budget.resize(32 * BYTES_PER_MB, 27 * BYTES_PER_MB)
    assert budget.total_bytes == BUDGET_SHARE * 5 * BYTES_PER_MB
    budget.resize(20 * BYTES_PER_MB, 27 * BYTES_PER_MB)
    assert budget.total_bytes == MIN_BUDGET_BYTES


def test_memory_that_no_account_knows_is_not_granted():
    budget = MemoryBudget(math.inf)
    budget.resize(32 * BYTES_PER_MB, 27 * BYTES_PER_MB)
    budget.observe(31.9 * BYTES_PER_MB, 27 * BYTES_PER_MB)
    assert budget.is_exceeded
    assert not budget.grants(Urgency.SLOW, 100_000)
    budget.observe(28 * BYTES_PER_MB, 27 * BYTES_PER_MB)
    assert not budget.is_exceeded
    assert budget.grants(Urgency.SLOW, 100_000)


def is_part(found):
    """Whether it belongs to the proxy, and is not a module, a class or a function."""
    kind = type(found)
    if kind in (FunctionType, type(dict.get), type):
        return False
    return kind.__module__ in ("builtins", "collections", "functools") or kind.__module__.startswith(
        "cloverwell."
    )


def test_a_process_that_takes_more_than_its_limit_at_rest_still_serves_some():
    budget = MemoryBudget(math.inf)
    budget.resize(24 * BYTES_PER_MB, 27 * BYTES_PER_MB)
    budget.observe(40 * BYTES_PER_MB, 27 * BYTES_PER_MB)
    assert budget.is_exceeded
    assert not budget.grants(Urgency.SLOW, 1)
    assert budget.grants(Urgency.PROMPT, 50 * CONNECTION_BYTES)


def large_holders(parts):
    """The bytes of all large buffers that can be reached from these objects."""
    seen, queue, total = {id(LARGE)}, list(parts), 0
    while queue:
        found = queue.pop()
        if id(found) in seen or not is_part(found):
            continue
        seen.add(id(found))
        if isinstance(found, (bytes, bytearray)) and len(found) > 4096:
            total += len(found)
        queue += gc.get_referents(found)
    return total


@pytest.fixture
def proxy(rig):
    """A proxy with little memory, whose clock stands still."""
    proxy = rig()
    proxy.stop_clock()
    proxy.service.memory.set_total(SMALL_BUDGET_BYTES)
    return proxy


def half_write(proxy, number, sent=60_000):
    conn = proxy.client(write(number, value=b"x" * 65_000)[:sent])
    proxy.run_iterations(60)
    return conn


def test_every_buffer_of_a_connection_is_known_to_the_budget(rig):
    proxy = rig()
    memory = proxy.service.memory
    for number in (1, 2):
        half_write(proxy, number)  # half of a write
    reader = proxy.client(read(3) + read(4))  # answers that wait behind another one
    node = proxy.nodes[0].accept()
    other = proxy.nodes[0].accept()
    proxy.run_iterations(10)
    first = node.recv(4096)
    answered = other if b"O3 " in first else node
    answered.sendall(b"VA 60000 O4\r\n" + LARGE + b"\r\n")
    proxy.client(write(5, cls="adjust", value=LARGE)[:-1])
    proxy.run_iterations(20)
    connections = list(proxy.service.client_connections.connections)
    buffered = large_holders([proxy.service.dispatcher._open, *connections])
    assert buffered >= 3.9 * 60_000
    assert memory.held_bytes >= buffered
    for conn in [*proxy.client_sockets]:
        conn.close()
    proxy.run_until(lambda: not proxy.service.client_connections.connections)
    proxy.advance_clock(3000.0)
    held = {use for use in MemoryUse if memory.held_by_use[use]}
    assert held <= {MemoryUse.CONNECTIONS}  # those to the node
    assert reader is not None


def test_a_write_without_memory_is_rejected_at_once_and_its_value_discarded(proxy):
    # The fault: the value was buffered whatever other connections held.
    clients = [half_write(proxy, number) for number in range(6)]
    answers = []
    for conn in clients:
        try:
            answers.append(conn.recv(100))
        except BlockingIOError:
            answers.append(b"")
    assert answers.count(b"") >= 1
    assert answers.count(b"SERVER_ERROR busy 1000\r\n") >= 3
    assert proxy.service.memory.held_bytes <= SMALL_BUDGET_BYTES
    rejected = clients[answers.index(b"SERVER_ERROR busy 1000\r\n")]
    rejected.sendall(write(1, value=b"x" * 65_000)[60_000:] + b"mn\r\n")
    assert proxy.receive_until(rejected, b"MN\r\n") == b"MN\r\n"


def test_a_stalled_command_gives_way_while_slow_clients_hold_too_much(proxy):
    clients = [half_write(proxy, number, 40_000) for number in range(3)]
    assert not proxy.service.memory.grants(Urgency.SLOW)
    proxy.advance_clock(500.0)
    assert clients[0].recv(100) == b"SERVER_ERROR busy 1000\r\n"
    assert proxy.service.memory.grants(Urgency.SLOW)
    with pytest.raises(BlockingIOError):
        clients[2].recv(100)


def test_a_read_without_memory_for_its_value_is_rejected_and_the_node_serves_on(proxy):
    proxy.service.memory.set_total(70_000)
    conn = proxy.client(read(1))
    node = proxy.nodes[0].accept()
    proxy.run_iterations(5)
    node.sendall(b"VA 60000 O1\r\n" + LARGE[:30_000])
    assert proxy.receive_until(conn, b"\r\n") == b"SERVER_ERROR busy 2000\r\n"
    node.sendall(LARGE[30_000:] + b"\r\n")
    proxy.run_iterations(10)
    node.recv(4096)
    proxy.advance_clock(50.0)
    conn.sendall(read(2))
    proxy.run_iterations(10)
    assert b"O2 " in node.recv(4096)  # the connection has been used again
    node.sendall(b"VA 5 O2\r\nvalue\r\n")
    assert proxy.receive_until(conn, b"value\r\n") == b"VA 5 O2\r\nvalue\r\n"
    assert "refused: request 1: memory" in proxy.log.getvalue()


def test_a_read_that_must_not_run_twice_is_failed_if_there_is_no_memory_for_its_value(proxy):
    # The fault: a rejection says that nothing has run, and its client would send it again.
    proxy.service.memory.set_total(70_000)
    conn = proxy.client(read(1, cls="order"))
    node = proxy.nodes[0].accept()
    proxy.run_iterations(5)
    node.sendall(b"VA 60000 O1\r\n")
    assert proxy.receive_until(conn, b"\r\n") == b"SERVER_ERROR failed\r\n"


def test_nothing_is_held_once_responses_have_been_written(proxy):
    conn = proxy.client(b"mn\r\n" * 3 + read(1))
    node = proxy.nodes[0].accept()
    proxy.run_iterations(5)
    node.sendall(b"VA 5 O1\r\nvalue\r\n")
    proxy.receive_until(conn, b"value\r\n")
    memory = proxy.service.memory
    assert {use for use in MemoryUse if memory.held_by_use[use]} == {MemoryUse.CONNECTIONS}


def test_a_request_without_memory_is_rejected_at_once(proxy):
    proxy.service.memory.set_total(24_000)
    first, conn = proxy.client(), proxy.client()
    proxy.run_iterations(10)
    first.sendall(read(1))
    proxy.run_iterations(10)
    conn.sendall(read(2))
    assert proxy.receive_until(conn, b"\r\n") == b"SERVER_ERROR busy 2000\r\n"
    assert "refused.memory=1" in proxy.service.counts.take_line()


def test_no_connection_is_accepted_without_memory_and_the_next_one_is_once_there_is_some(proxy):
    proxy.service.memory.set_total(20_000)
    first = [proxy.client(b"mn\r\n") for _ in range(3)]
    proxy.run_iterations(10)
    waiting = proxy.client(b"mn\r\n")
    proxy.run_iterations(20)
    assert len(proxy.service.client_connections.connections) <= 3
    for conn in first:
        conn.close()
    proxy.advance_clock(100.0)
    assert proxy.receive_until(waiting, b"MN\r\n") == b"MN\r\n"
