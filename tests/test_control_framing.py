"""Framing of the control log's messages, wherever the stream is split, and the errors for invalid input."""

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
SPLITS = st.lists(st.integers(0, 4000))


def pieces(stream, splits):
    """Returns the stream, split at these offsets, each modulo the length."""
    offsets = [0, *sorted(split % (len(stream) + 1) for split in splits), len(stream)]
    return [stream[start:end] for start, end in itertools.pairwise(offsets)]


def read(stream, splits=(), max_body_bytes=1000):
    """Returns the messages of a stream, and the error that ended it or None."""
    decoder, messages = FrameDecoder(max_body_bytes), []
    try:
        for piece in pieces(stream, splits):
            for body in decoder.feed(piece):
                messages.append(decode_body(body))
    except (FramingError, MessageError) as error:
        return messages, error
    return messages, None


def stream_of(messages):
    return b"".join(encode_frame(encode_body(message)) for message in messages)


@given(MESSAGES, SPLITS)
def test_the_messages_are_the_same_wherever_the_stream_is_split(messages, splits):
    assert read(stream_of(messages), splits) == (messages, None)


@given(MESSAGES, SPLITS, SPLITS, st.binary(max_size=60))
def test_random_bytes_give_the_same_error_wherever_the_stream_is_split(
    messages, first_splits, second_splits, random_bytes
):
    stream = stream_of(messages) + random_bytes
    whole, error = read(stream)
    assert whole[: len(messages)] == messages
    for splits in (first_splits, second_splits):
        split_messages, split_error = read(stream, splits)
        assert split_messages == whole
        assert type(split_error) is type(error)
        assert str(split_error) == str(error)


@given(st.binary(min_size=1, max_size=200).filter(lambda body: body[0] != VERSION), SPLITS)
def test_a_body_of_another_version_is_refused(body, splits):
    messages, error = read(encode_frame(body), splits)
    assert not messages
    assert isinstance(error, MessageError)
    assert "version" in str(error)


@given(st.binary(max_size=200) | st.recursive(st.none(), st.lists).map(msgspec.msgpack.encode), SPLITS)
def test_a_body_that_is_not_a_message_is_malformed(content, splits):
    messages, error = read(encode_frame(bytes((VERSION,)) + content), splits)
    assert not messages
    assert isinstance(error, MessageError)
    assert "malformed" in str(error)


@pytest.mark.parametrize("length", [1001, 2**31, 2**32 - 1])
def test_a_length_over_the_limit_is_refused_before_the_body_is_received(length):
    with pytest.raises(FrameTooLongError):
        list(FrameDecoder(1000).feed(HEADER.pack(length)))


def test_an_empty_frame_is_neither_received_nor_sent():
    with pytest.raises(EmptyFrameError):
        list(FrameDecoder(1000).feed(HEADER.pack(0)))
    with pytest.raises(EmptyFrameError):
        encode_frame(b"")


def test_a_body_over_the_limit_is_not_sent():
    assert encode_frame(bytes(1000), 1000)
    with pytest.raises(FrameTooLongError):
        encode_frame(bytes(1001), 1000)


def test_other_protocols_are_refused_at_their_first_bytes():
    for first_bytes in (b"GET / HTTP/1.1\r\n", b"mg key v\r\n", b"\x16\x03\x01\x02\x00\x01"):
        assert isinstance(read(first_bytes)[1], FramingError | MessageError)


def test_the_decoder_buffers_only_an_incomplete_frame():
    frame, decoder = encode_frame(bytes(500)), FrameDecoder(1000)
    assert len(list(decoder.feed(frame * 3 + frame[:-1]))) == 3
    assert decoder.buffered_bytes == len(frame) - 1
    assert len(list(decoder.feed(frame[-1:]))) == 1
    assert decoder.buffered_bytes == 0


@given(MESSAGES)
def test_messages_of_the_log_have_the_same_encoding_in_both_modules(messages):
    for message in messages:
        assert encode_body(message) == encode(message)
        assert decode_body(encode_body(message)) == message
