"""The bytes of all responses of a connection, against a reference that simply joins the responses."""

from held_client import HeldClient
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverwell.codec.lines import MAX_LINE_BYTES, MAX_VALUE_BYTES
from cloverwell.streamed_value import STREAMING_THRESHOLD_BYTES

MAX_COMMANDS = 12
# From room for the largest response that is written whole to the bound of a client's connection.
SMALLEST_BOUND, LARGEST_BOUND = (
    STREAMING_THRESHOLD_BYTES + MAX_LINE_BYTES,
    MAX_VALUE_BYTES + 2 * MAX_LINE_BYTES,
)
BOUNDS = st.one_of(
    st.integers(SMALLEST_BOUND, 2 * SMALLEST_BOUND), st.integers(SMALLEST_BOUND, LARGEST_BOUND)
)
LENGTHS = st.one_of(
    st.integers(0, 300),
    st.integers(STREAMING_THRESHOLD_BYTES - 3, STREAMING_THRESHOLD_BYTES + 3),
    st.integers(30_000, STREAMING_THRESHOLD_BYTES),
    st.integers(STREAMING_THRESHOLD_BYTES, 300_000),
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.sampled_from(["cache", "origin"]), LENGTHS),
        st.tuples(st.sampled_from(["give all", "read", "read all"]), st.integers(1, 150_000)),
        st.tuples(st.sampled_from(["give", "give all"]), st.integers(0, 50_000)),
        st.tuples(st.sampled_from(["probe", "malformed", "give all"]), st.integers(0, 100)),
    ),
    min_size=20,
    max_size=80,
)


def take_step(held, kind, number):
    """Has the client send a command or read, or one of the nodes give some of its answer."""
    open_answers = [answer for answer in held.answers if answer.may_give]
    may_ask = len([answer for answer in held.answers if answer.rest]) < MAX_COMMANDS
    match kind:
        case "read":
            held.client.read(number)
        case "read all":
            held.client.read(len(held.client.unsent))
        case "give" if open_answers:
            open_answers[number % len(open_answers)].give(1 + number)
        case "give all" if open_answers:
            open_answers[number % len(open_answers)].give()
        case "probe":
            held.ask_at_once(b"mn\r\n", b"MN\r\n")
        case "malformed":
            held.ask_at_once(b"no\r\n", b"CLIENT_ERROR unknown command\r\n")
        case "cache" | "origin" if may_ask:
            held.ask(bytes([97 + len(held.answers) % 26]) * number, from_origin=kind == "origin")


@settings(max_examples=150, deadline=None)
@given(BOUNDS, st.integers(0, 100_000), STEPS)
def test_responses_are_whole_and_in_order_under_any_split(bound, kernel_bytes, steps):
    held = HeldClient()
    held.connection._outgoing.bound = bound
    held.client.read(kernel_bytes)
    for kind, number in steps:
        take_step(held, kind, number)
        assert held.is_open
        assert held.expected.startswith(held.client.received)
        assert held.connection.unsent_bytes <= bound
    assert held.read_all() == held.expected
    assert held.is_open
    assert not held.player.service.client_connections.stream_count
