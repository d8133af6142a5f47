"""An origin's answer that is framed wrongly is a failed attempt that may have run, and is never served.

Runs on real sockets. The origin of these tests sends an answer by hand, in one piece or byte by byte.
"""

import re

import pytest
from rig import read, write

from cloverwell.codec.errors import MalformedReason

VALUE = b"12.90"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
RIGHT = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + VALUE

MALFORMED_CHUNKS = {
    "one byte too long": (b"6\r\n12.90\r\n0\r\n\r\n", "CHUNK_END"),
    "two bytes too long": (b"7\r\n12.90\r\n0\r\n\r\n", "CHUNK_END"),
    "one byte too short": (b"4\r\n12.90\r\n0\r\n\r\n", "CHUNK_END"),
    "a signed size": (b"+5\r\n12.90\r\n0\r\n\r\n", "CHUNK_SIZE"),
    "an empty size": (b"\r\n12.90\r\n0\r\n\r\n", "CHUNK_SIZE"),
    "a trailer that is no field": (b"5\r\n12.90\r\n0\r\n???\r\n\r\n", "TRAILER"),
    "a size of 3 GB": (b"C0000000\r\n12.90", "BODY_TOO_LONG"),
}
CHUNK_CASES = [pytest.param(body, reason, id=name) for name, (body, reason) in MALFORMED_CHUNKS.items()]

MALFORMED_HEADS = {
    "two lengths": (b"Content-Length: 5\r\nContent-Length: 4", b"12.90", "CONFLICTING_LENGTHS"),
    "a length and chunks": (
        b"Content-Length: 4\r\nTransfer-Encoding: chunked",
        b"5\r\n12.90\r\n0\r\n\r\n",
        "LENGTH_AND_CODING",
    ),
    "another coding": (b"Transfer-Encoding: gzip\r\nContent-Length: 5", b"12.90", "LENGTH_AND_CODING"),
    "a coding below the chunks": (
        b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
        b"5\r\n12.90\r\n0\r\n\r\n",
        "TRANSFER_CODING",
    ),
    "an empty length": (b"Content-Length: \r\nConnection: close", b"12.90", "CONTENT_LENGTH"),
    "a folded line": (b"Via: a\r\n Content-Length: 4\r\nContent-Length: 5", b"12.90", "HEADER"),
    "LF in a value": (b"Via: a\nContent-Length: 4\r\nContent-Length: 5", b"12.90", "HEADER"),
    "two ids": (b"Request-Id: other\r\nRequest-Id: 1\r\nContent-Length: 5", b"12.90", "FOREIGN_ID"),
}
HEAD_CASES = [pytest.param(*case, id=name) for name, case in MALFORMED_HEADS.items()]


def miss(rig):
    """Has the cache node answer its read with a miss."""
    node = rig.nodes[0].accept()
    line = rig.receive_until(node, b"\r\n")
    node.sendall(b"EN O%s\r\n" % re.search(rb" O(\S+)", line)[1])


def begin_fetch(rig):
    """Has a client read a value that only the origin has; returns the client and the origin's connection."""
    client = rig.client(read(1))
    miss(rig)
    origin = rig.origin.accept()
    origin_request(rig, origin, b"GET /k1 ")
    return client, origin


def send(rig, connection, answer, byte_by_byte=False):
    """Sends an answer, which the proxy gets in one piece or byte by byte."""
    for piece in [answer[at : at + 1] for at in range(len(answer))] if byte_by_byte else [answer]:
        try:
            connection.sendall(piece)
        except ConnectionError:  # The proxy has closed it already.
            return
        rig.run_iterations(1)


def origin_request(rig, connection, target):
    """Waits for a request at the origin."""
    rig.receive_until(connection, target)


@pytest.mark.parametrize("byte_by_byte", [False, True])
@pytest.mark.parametrize(("body", "reason"), CHUNK_CASES)
def test_a_read_with_a_malformed_chunk_is_tried_again(rig, body, reason, byte_by_byte):
    # Guards against a value that is served with the bytes behind it, or without its last byte.
    place = rig()
    client, first = begin_fetch(place)
    send(place, first, CHUNKED + body, byte_by_byte)
    second = place.origin.accept()
    origin_request(place, second, b"GET /k1 ")
    send(place, second, RIGHT)
    assert place.receive_until(client, b"12.90\r\n") == b"VA 5 O1\r\n12.90\r\n"
    assert place.receive_to_end(first) in (b"END", b"RESET")  # It carries nothing any more.
    assert_named(place, reason)


@pytest.mark.parametrize(("body", "reason"), CHUNK_CASES)
def test_a_write_with_a_malformed_chunk_is_not_sent_again(rig, body, reason):
    # Guards against a write that must not run twice and is repeated behind a malformed answer.
    place = rig()
    client = place.client(write(1))
    first = place.origin.accept()
    origin_request(place, first, b"PUT /k1 ")
    send(place, first, CHUNKED + body)
    answer = place.receive_until(client, b"\r\n")
    assert answer.startswith(b"SERVER_ERROR")
    assert b"busy" not in answer
    place.run_iterations(20)
    assert place.origin.accept_nowait() is None
    assert_named(place, reason)


@pytest.mark.parametrize(("lines", "body", "reason"), HEAD_CASES)
def test_a_read_with_a_head_that_contradicts_itself_is_tried_again(rig, lines, body, reason):
    # Guards against a head of which one line is read and another one that contradicts it is passed over.
    place = rig()
    client, first = begin_fetch(place)
    send(place, first, b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n\r\n" + body)
    second = place.origin.accept()
    origin_request(place, second, b"GET /k1 ")
    send(place, second, RIGHT)
    assert place.receive_until(client, b"12.90\r\n") == b"VA 5 O1\r\n12.90\r\n"
    assert_named(place, reason)


def test_a_value_without_a_length_is_served_at_the_close(rig):
    # Guards against a right answer that is refused because no header announces the close.
    place = rig()
    client, origin = begin_fetch(place)
    send(place, origin, b"HTTP/1.1 200 OK\r\n\r\n" + VALUE)
    origin.close()
    assert place.receive_until(client, b"12.90\r\n") == b"VA 5 O1\r\n12.90\r\n"


def assert_named(place, reason):
    """Checks that the log names what was wrong, and that it is counted under that name."""
    named = MalformedReason[reason]
    assert f"malformed answer from origin: {named.value}" in place.log.getvalue()
    place.service._metrics_log.log_final()
    assert f"malformed_answer.{reason.lower()}=1" in place.log.getvalue()
