"""Heads of HTTP answers: all right forms are read, and heads whose lines contradict each other are refused.

Where h11 judges another way, the sentence of the RFC stands beside the case.
"""

import pytest
from http_receiver import CLOSE, RESET, Receiver, judge_with_h11, receive
from http_reference import Verdict
from hypothesis import given
from hypothesis import strategies as st

CHUNKS = b"5\r\n12.90\r\n0\r\n\r\n"
SERVED = (Verdict.COMPLETE, b"12.90")
EMPTY = (Verdict.COMPLETE, b"")
REFUSED = (Verdict.MALFORMED, b"")


def answer(*lines, body=b"12.90", status=b"HTTP/1.1 200 OK"):
    return b"\r\n".join([status, *lines, b"", body])


# Each is an answer, and whether h11 reads it as well.
RIGHT = {
    "a length": (answer(b"Content-Length: 5"), True),
    "a length without a space": (answer(b"Content-Length:5"), True),
    "a length with spaces behind it": (answer(b"Content-Length: 5 \t"), True),
    "a length with zeros in front": (answer(b"Content-Length: 0005"), True),
    "capitals": (answer(b"CONTENT-LENGTH: 5"), True),
    "the same length twice": (answer(b"Content-Length: 5", b"Content-Length: 5"), True),
    "the same length in a list": (answer(b"Content-Length: 5, 5"), True),
    # RFC 9112, 6.3, rule 5: all values in the list are valid, and all values in the list are the same.
    "the same length in two forms": (answer(b"Content-Length: 5, 05"), False),
    "chunks": (answer(b"Transfer-Encoding: chunked", body=CHUNKS), True),
    "chunks in capitals": (answer(b"Transfer-Encoding: CHUNKED", body=CHUNKS), True),
    "chunks with a space behind": (answer(b"Transfer-Encoding: chunked ", body=CHUNKS), True),
    # RFC 9110, 5.6.1.2: a recipient MUST parse and ignore a reasonable number of empty list elements.
    "chunks in a list with an empty element": (answer(b"Transfer-Encoding: , chunked", body=CHUNKS), False),
    "no reason phrase": (answer(b"Content-Length: 5", status=b"HTTP/1.1 200 "), True),
    "no space behind the status": (answer(b"Content-Length: 5", status=b"HTTP/1.1 200"), True),
    # RFC 9112, 4: recipients MAY instead parse on whitespace-delimited word boundaries.
    "two spaces": (answer(b"Content-Length: 5", status=b"HTTP/1.1  200  OK"), False),
    "HTTP/1.0": (answer(b"Content-Length: 5", status=b"HTTP/1.0 200 OK"), True),
    "an interim answer in front": (
        b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + answer(b"Content-Length: 5"),
        True,
    ),
    "two interim answers in front": (b"HTTP/1.1 100 Go\r\n\r\n" * 2 + answer(b"Content-Length: 5"), True),
    # RFC 9110, 15.2: a user agent MAY ignore unexpected 1xx responses.
    "an unexpected 101 in front": (b"HTTP/1.1 101 Go\r\n\r\n" + answer(b"Content-Length: 5"), False),
    # RFC 9112, 6.3, rule 1: a 1xx response is always terminated by the first empty line.
    "an interim answer with a length": (
        b"HTTP/1.1 102 Go\r\nContent-Length: 3\r\n\r\n" + answer(b"Content-Length: 5"),
        True,
    ),
    "a field twice": (answer(b"Via: a", b"Via: b", b"Content-Length: 5"), True),
    "an empty value": (answer(b"Server-Load:", b"Content-Length: 5"), True),
    "a load report that can't be read": (answer(b"Server-Load: \x01\xff=?,", b"Content-Length: 5"), True),
    # RFC 9112, 5.1: a proxy MUST remove any such whitespace from a response message.
    "a space in front of the colon": (answer(b"Content-Length : 5"), False),
}

MALFORMED = {
    "two lengths": answer(b"Content-Length: 5", b"Content-Length: 4"),
    "two lengths in a list": answer(b"Content-Length: 5, 4"),
    "two lengths with one more line": answer(
        b"Content-Length: 5", b"Content-Length: 4", b"Content-Length: 5"
    ),
    "an empty length": answer(b"Content-Length:", b"Connection: close"),
    "a signed length": answer(b"Content-Length: +5"),
    "a negative length": answer(b"Content-Length: -5"),
    "a length with an underscore": answer(b"Content-Length: 0_5"),
    "a length in hexadecimal digits": answer(b"Content-Length: 0x5"),
    "a length of other digits": answer("Content-Length: 5\xb2".encode("latin-1")),
    "a length with a unit": answer(b"Content-Length: 5 bytes"),
    "a length and chunks": answer(b"Content-Length: 5", b"Transfer-Encoding: chunked", body=CHUNKS),
    "chunks and a length": answer(b"Transfer-Encoding: chunked", b"Content-Length: 5", body=CHUNKS),
    "a coding that is not decoded": answer(b"Transfer-Encoding: gzip", b"Connection: close"),
    "a coding below the chunks": answer(b"Transfer-Encoding: gzip, chunked", body=CHUNKS),
    "a coding in a line of its own": answer(
        b"Transfer-Encoding: gzip", b"Transfer-Encoding: chunked", body=CHUNKS
    ),
    "chunks twice": answer(b"Transfer-Encoding: chunked, chunked", body=CHUNKS),
    "chunks that are not last": answer(b"Transfer-Encoding: chunked, identity", body=CHUNKS),
    "chunks with a parameter": answer(b"Transfer-Encoding: chunked;a=b", body=CHUNKS),
    "a coding beside a length": answer(b"Transfer-Encoding: gzip", b"Content-Length: 5"),
    "an empty coding": answer(b"Transfer-Encoding:", b"Connection: close"),
    "an empty coding beside a length": answer(b"Transfer-Encoding:", b"Content-Length: 5"),
    "chunks over HTTP/1.0": answer(b"Transfer-Encoding: chunked", body=CHUNKS, status=b"HTTP/1.0 200 OK"),
    "a line without a colon": answer(b"Content-Length 5", b"Connection: close"),
    "a line without a name": answer(b": 5", b"Content-Length: 5"),
    "a name with a space": answer(b"Content Length: 4", b"Content-Length: 5"),
    "a folded line": answer(b"Via: a", b" Content-Length: 4", b"Content-Length: 5"),
    "a first line that is folded": answer(b" Content-Length: 5"),
    "NUL in a value": answer(b"Via: a\x00b", b"Content-Length: 5"),
    "another protocol": answer(b"Content-Length: 5", status=b"HTTP/2.0 200 OK"),
    "no version": answer(b"Content-Length: 5", status=b"HTTP/1.x 200 OK"),
    "a status of two digits": answer(b"Content-Length: 5", status=b"HTTP/1.1 20 OK"),
    "a status of four digits": answer(b"Content-Length: 5", status=b"HTTP/1.1 2000 OK"),
    "a status of zeros": answer(b"Content-Length: 5", status=b"HTTP/1.1 000 OK"),
    "an empty line in front": b"\r\n" + answer(b"Content-Length: 5"),
}

# What h11 reads of these, and the sentence of RFC 9112 by which the proxy refuses it.
READ_BY_H11 = {
    "a length and chunks": "6.3, rule 3: such a message ... ought to be handled as an error",
    "chunks and a length": "6.3, rule 3: such a message ... ought to be handled as an error",
    "chunks over HTTP/1.0": "6.1: MUST treat the message as if the framing is faulty",
    "a folded line": "5.2: a proxy ... MUST either discard the message ... or replace",
    "another protocol": "2.3: HTTP-version = HTTP-name '/' DIGIT '.' DIGIT, of which 1 is read",
}

# h11 takes LF alone as the end of a line. RFC 9112, 2.2: a recipient MAY do so; the proxy does not.
MALFORMED_BY_LINE_ENDS = {
    "LF in a value": answer(b"Via: a\nContent-Length: 4", b"Content-Length: 5"),
    "LF in the status line": answer(b"Content-Length: 5", status=b"HTTP/1.1 200 OK\nContent-Length: 4"),
    "CR in a value": answer(b"Via: a\rContent-Length: 4", b"Content-Length: 5"),
}


@pytest.mark.parametrize(("message", "h11_reads"), RIGHT.values(), ids=RIGHT)
@given(splits=st.lists(st.integers(0, 300), max_size=4))
def test_a_right_head_is_read_in_all_its_forms(message, h11_reads, splits):
    assert receive(message, splits) == SERVED
    assert (judge_with_h11(message) == SERVED) == h11_reads


@pytest.mark.parametrize("name", MALFORMED)
@given(splits=st.lists(st.integers(0, 300), max_size=4))
def test_a_head_that_contradicts_itself_is_refused(name, splits):
    # Guards against a head of which the proxy reads the one line and passes over the other: the body would
    # end in the wrong place, or be served in a coding that the client does not know.
    message = MALFORMED[name]
    assert receive(message, splits, CLOSE) == REFUSED
    assert (judge_with_h11(message, closed=True) == SERVED) == (name in READ_BY_H11)


@pytest.mark.parametrize("message", MALFORMED_BY_LINE_ENDS.values(), ids=MALFORMED_BY_LINE_ENDS)
def test_a_line_end_inside_a_line_is_refused(message):
    assert receive(message, end=CLOSE) == REFUSED


@pytest.mark.parametrize("status", [b"204 None", b"304 Same"])
@pytest.mark.parametrize("line", [b"Content-Length: 5", b"Transfer-Encoding: chunked", b"Via: a"])
def test_an_answer_whose_status_has_no_body_ends_with_its_head(status, line):
    # RFC 9112, 6.3, rule 1: regardless of the header fields present in the message.
    assert receive(answer(line, body=b"", status=b"HTTP/1.1 " + status)) == EMPTY


@pytest.mark.parametrize("lines", [[], [b"Connection: close"], [b"Connection: keep-alive"]])
@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
def test_a_body_without_a_length_ends_with_the_connection_but_not_with_a_reset(lines, version):
    # RFC 9112, 6.3, rule 8: the number of octets received prior to the server closing the connection.
    message = answer(*lines, status=version + b" 200 OK")
    assert receive(message, [3, 40], CLOSE) == SERVED == judge_with_h11(message, closed=True)
    assert receive(message, [3, 40], RESET) == (Verdict.INCOMPLETE, b"")


@pytest.mark.parametrize("body", [b"12.9", CHUNKS[:-2], CHUNKS[:-9]])
def test_an_incomplete_body_is_not_served_at_the_close(body):
    # RFC 9112, 8: incomplete, if the last chunk or as many octets as the length says have not been received.
    line = b"Content-Length: 5" if body == b"12.9" else b"Transfer-Encoding: chunked"
    message = answer(line, b"Connection: close", body=body)
    assert receive(message, end=CLOSE) == (Verdict.INCOMPLETE, b"")


@pytest.mark.parametrize(
    ("version", "lines", "closes"),
    [
        (b"HTTP/1.1", [], False),
        (b"HTTP/1.1", [b"Connection: close"], True),
        (b"HTTP/1.1", [b"Connection: Close"], True),
        (b"HTTP/1.1", [b"Connection: close, TE"], True),
        (b"HTTP/1.1", [b"Connection: close", b"Connection: keep-alive"], True),
        (b"HTTP/1.1", [b"Connection: keep-alive"], False),
        (b"HTTP/1.0", [], True),
        (b"HTTP/1.0", [b"Connection: keep-alive"], False),
    ],
)
def test_whether_the_connection_goes_on_is_read_from_all_lines(version, lines, closes):
    # Guards against an attempt that is written to a connection whose server has said that it closes.
    receiver = Receiver()
    receiver.dataReceived(answer(*lines, b"Content-Length: 5", status=version + b" 200 OK"))
    assert receiver.closes == [closes]


def test_no_more_than_so_many_lines_are_read():
    assert receive(answer(*[b"Via: a"] * 64, b"Content-Length: 5")) == REFUSED
    assert receive(answer(*[b"Via: a"] * 63, b"Content-Length: 5")) == SERVED
