"""Frames of the control log's connections: any cut gives the same messages, and garbage a typed error."""

import itertools

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwell.control.net.framing import (
    HEADER,
    VERSION,
    FrameDecoder,
    FrameTooLongError,
    FramingError,
    MalformedMessageError,
    UnknownVersionError,
    encode_frame,
)


class Said(msgspec.Struct, tag=True, frozen=True):
    text: str
    number: int


class Data(msgspec.Struct, tag=True, frozen=True):
    body: bytes


MESSAGES = st.lists(
    st.builds(Said, st.text(max_size=40), st.integers(-(2**63), 2**63 - 1))
    | st.builds(Data, st.binary(max_size=300))
)
CUTS = st.lists(st.integers(0, 4000))


def pieces(stream, cuts):
    """The stream, cut at these places."""
    places = [0, *sorted(cut % (len(stream) + 1) for cut in cuts), len(stream)]
    return [stream[start:end] for start, end in itertools.pairwise(places)]


def read(stream, cuts=(), max_body_bytes=1000):
    """Messages, and the error that ended them (or None)."""
    decoder, messages = FrameDecoder(Said | Data, max_body_bytes), []
    try:
        for piece in pieces(stream, cuts):
            for message in decoder.feed(piece):
                messages.append(message)
    except FramingError as error:
        return messages, error
    return messages, None


@given(MESSAGES, CUTS)
def test_any_cut_of_the_stream_gives_the_same_messages(messages, cuts):
    stream = b"".join(map(encode_frame, messages))
    assert read(stream, cuts) == (messages, None)


@given(MESSAGES, CUTS, CUTS, st.binary(max_size=60))
def test_garbage_gives_the_same_messages_and_the_same_error_however_it_is_cut(messages, one, other, garbage):
    stream = b"".join(map(encode_frame, messages)) + garbage
    whole, error = read(stream)
    assert whole[: len(messages)] == messages
    for cuts in (one, other):
        same, its_error = read(stream, cuts)
        assert same == whole and type(its_error) is type(error) and str(its_error) == str(error)


@given(st.binary(min_size=1, max_size=200).filter(lambda data: data[0] != VERSION))
def test_bytes_of_another_version_end_the_stream_at_once(data):
    messages, error = read(data)
    assert not messages and isinstance(error, UnknownVersionError)


@given(st.binary(max_size=200), CUTS)
def test_a_body_that_is_no_message_is_malformed(body, cuts):
    expected = msgspec.msgpack.Decoder(Said | Data)
    messages, error = read(HEADER.pack(VERSION, len(body)) + body, cuts)
    try:
        assert messages == [expected.decode(body)] and error is None
    except (msgspec.MsgspecError, UnicodeDecodeError):
        assert not messages and isinstance(error, MalformedMessageError)


@pytest.mark.parametrize("length", [1001, 2**31, 2**32 - 1])
def test_a_length_over_the_bound_is_refused_before_its_body_comes(length):
    decoder = FrameDecoder(Said | Data, 1000)
    with pytest.raises(FrameTooLongError):
        list(decoder.feed(HEADER.pack(VERSION, length)))


def test_a_message_over_the_bound_is_not_encoded():
    assert encode_frame(Data(bytes(900)), 1000)
    with pytest.raises(FrameTooLongError):
        encode_frame(Data(bytes(1000)), 1000)


def test_no_more_than_one_incomplete_frame_is_held():
    frame, decoder = encode_frame(Data(bytes(500))), FrameDecoder(Said | Data, 1000)
    assert len(list(decoder.feed(frame * 3 + frame[:-1]))) == 3
    assert decoder.buffered_bytes == len(frame) - 1
    assert len(list(decoder.feed(frame[-1:]))) == 1
    assert decoder.buffered_bytes == 0
