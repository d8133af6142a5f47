"""Frames of the control log's connections: any cut gives the same messages, and garbage a typed error."""

import itertools

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwell.control.entry import Entry, Position
from cloverwell.control.messages import (
    VERSION,
    Acknowledge,
    Entries,
    MessageError,
    Propose,
    encode,
)
from cloverwell.control.net.errors import EmptyFrameError, FrameTooLongError, FramingError
from cloverwell.control.net.framing import HEADER, FrameDecoder, encode_frame
from cloverwell.control.net.wire import PeerHello, StatusRequest, decode_body, encode_body

POSITIONS = st.builds(Position, st.integers(0, 2**40), st.binary(min_size=16, max_size=16))
ENTRIES = st.builds(
    Entry, st.integers(1, 2**40), st.integers(0, 2**40), st.text(max_size=9), st.binary(max_size=99)
)
MESSAGES = st.lists(
    st.builds(PeerHello, st.text(max_size=40), st.text(max_size=9))
    | st.just(StatusRequest())
    | st.builds(Acknowledge, POSITIONS, st.floats(allow_nan=False), st.integers(0, 9), st.text(max_size=9))
    | st.builds(Entries, POSITIONS, st.lists(ENTRIES, max_size=3).map(tuple))
    | st.builds(Propose, st.text(max_size=9), st.text(max_size=9), st.binary(max_size=300))
)
CUTS = st.lists(st.integers(0, 4000))


def pieces(stream, cuts):
    """The stream, cut at these places."""
    places = [0, *sorted(cut % (len(stream) + 1) for cut in cuts), len(stream)]
    return [stream[start:end] for start, end in itertools.pairwise(places)]


def read(stream, cuts=(), max_body_bytes=1000):
    """Messages, and the error that ended them (or None)."""
    decoder, messages = FrameDecoder(max_body_bytes), []
    try:
        for piece in pieces(stream, cuts):
            for body in decoder.feed(piece):
                messages.append(decode_body(body))
    except (FramingError, MessageError) as error:
        return messages, error
    return messages, None


def stream_of(messages):
    return b"".join(encode_frame(encode_body(message)) for message in messages)


@given(MESSAGES, CUTS)
def test_any_cut_of_the_stream_gives_the_same_messages(messages, cuts):
    assert read(stream_of(messages), cuts) == (messages, None)


@given(MESSAGES, CUTS, CUTS, st.binary(max_size=60))
def test_garbage_gives_the_same_messages_and_the_same_error_however_it_is_cut(messages, one, other, garbage):
    stream = stream_of(messages) + garbage
    whole, error = read(stream)
    assert whole[: len(messages)] == messages
    for cuts in (one, other):
        same, its_error = read(stream, cuts)
        assert same == whole
        assert type(its_error) is type(error)
        assert str(its_error) == str(error)


@given(st.binary(min_size=1, max_size=200).filter(lambda body: body[0] != VERSION), CUTS)
def test_a_body_of_another_version_is_refused(body, cuts):
    messages, error = read(encode_frame(body), cuts)
    assert not messages
    assert isinstance(error, MessageError)
    assert "version" in str(error)


@given(st.binary(max_size=200) | st.recursive(st.none(), st.lists).map(msgspec.msgpack.encode), CUTS)
def test_a_body_that_is_no_message_is_malformed(content, cuts):
    messages, error = read(encode_frame(bytes((VERSION,)) + content), cuts)
    assert not messages
    assert isinstance(error, MessageError)
    assert "malformed" in str(error)


@pytest.mark.parametrize("length", [1001, 2**31, 2**32 - 1])
def test_a_length_over_the_bound_is_refused_before_its_body_comes(length):
    with pytest.raises(FrameTooLongError):
        list(FrameDecoder(1000).feed(HEADER.pack(length)))


def test_an_empty_frame_is_refused_both_ways():
    with pytest.raises(EmptyFrameError):
        list(FrameDecoder(1000).feed(HEADER.pack(0)))
    with pytest.raises(EmptyFrameError):
        encode_frame(b"")


def test_a_body_over_the_bound_is_not_sent():
    assert encode_frame(bytes(1000), 1000)
    with pytest.raises(FrameTooLongError):
        encode_frame(bytes(1001), 1000)


def test_what_speaks_another_protocol_is_refused_at_its_first_bytes():
    for words in (b"GET / HTTP/1.1\r\n", b"mg key v\r\n", b"\x16\x03\x01\x02\x00\x01"):
        assert isinstance(read(words)[1], FramingError | MessageError)


def test_no_more_than_one_incomplete_frame_is_held():
    frame, decoder = encode_frame(bytes(500)), FrameDecoder(1000)
    assert len(list(decoder.feed(frame * 3 + frame[:-1]))) == 3
    assert decoder.buffered_bytes == len(frame) - 1
    assert len(list(decoder.feed(frame[-1:]))) == 1
    assert decoder.buffered_bytes == 0


@given(MESSAGES)
def test_messages_of_the_log_have_one_form(messages):
    for message in messages:
        assert encode_body(message) == encode(message)
        assert decode_body(encode_body(message)) == message
