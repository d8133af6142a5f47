"""Chunked bodies of HTTP answers: right ones are read in all forms, and one that is framed wrongly never is.

Judges are a reference written from the grammar, and h11. Both read the whole message; the proxy's receiver
gets it split anywhere.
"""

import re

import pytest
from http_receiver import judge_with_h11, receive
from http_reference import SIZE_LINE, Verdict, read_chunked_body
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cloverwell.codec.chunked_body import MAX_FRAMING_LINE_BYTES
from cloverwell.codec.lines import MAX_VALUE_BYTES

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
MAX_H11_SIZE_DIGITS = 20
MORE_EXAMPLES = 1000

# A value may hold whatever ends a line or begins a chunk.
VALUES = st.lists(
    st.sampled_from([b"\r\n", b"\r", b"\n", b"0", b"0\r\n\r\n", b"5\r\n", b"a", b"12.90", b"\x00\xff", b";"])
).map(b"".join)
SIZES = st.tuples(st.sampled_from(["x", "X"]), st.integers(0, 12)).map(
    lambda form: lambda size: b"0" * form[1] + format(size, form[0]).encode()
)
EXTENSIONS = st.sampled_from([b"", b"", b";a", b";a=b", b';a="q\\"; \xe9"', b";a;b=1"])
EXTENSIONS_WITH_SPACES = st.sampled_from([b"", b" ;a", b"\t;\ta = b", b' ; a\t= "0"', b" ;a ;b=1"])
TRAILERS = st.lists(
    st.sampled_from([b"Server-Load: util=0.5", b"X:", b"a:b"]),
    max_size=3,
)
SPLITS = st.lists(st.integers(0, 10_000), max_size=6)


def expected(body):
    found = read_chunked_body(body, MAX_VALUE_BYTES)
    return found.verdict, found.data


@st.composite
def right_bodies(draw, extensions=EXTENSIONS):
    """Draws a value, and a chunked body that holds it."""
    chunks = [chunk for chunk in draw(st.lists(VALUES, max_size=5)) if chunk]
    body = b""
    for chunk in chunks:
        body += draw(SIZES)(len(chunk)) + draw(extensions) + b"\r\n" + chunk + b"\r\n"
    body += draw(SIZES)(0) + draw(extensions) + b"\r\n"
    body += b"".join(line + b"\r\n" for line in draw(TRAILERS)) + b"\r\n"
    return b"".join(chunks), body


@st.composite
def changed_bodies(draw):
    """Draws a right body in which one byte is missing, added or another one."""
    _, body = draw(right_bodies())
    place = draw(st.integers(0, len(body)))
    put = draw(st.sampled_from([b"", *(bytes([byte]) for byte in b"01f\r\n +-_;x\x00")]))
    return body[:place] + put + body[place + draw(st.integers(0, 1)) :]


@settings(max_examples=MORE_EXAMPLES)
@given(right_bodies(), SPLITS)
def test_a_right_chunked_body_is_read_in_all_its_forms(right, splits):
    value, body = right
    assert expected(body) == (Verdict.COMPLETE, value)
    assert judge_with_h11(HEAD + body) == (Verdict.COMPLETE, value)
    assert receive(HEAD + body, splits) == (Verdict.COMPLETE, value)


@given(right_bodies(EXTENSIONS_WITH_SPACES), SPLITS)
def test_white_space_in_extensions_is_read_though_h11_refuses_it(right, splits):
    # RFC 9112, 7.1.1: chunk-ext = *( BWS ";" BWS chunk-ext-name [ BWS "=" BWS chunk-ext-val ] )
    value, body = right
    assert expected(body) == (Verdict.COMPLETE, value)
    assert receive(HEAD + body, splits) == (Verdict.COMPLETE, value)


@settings(max_examples=MORE_EXAMPLES)
@given(changed_bodies(), SPLITS)
# Guards against bytes behind a chunk that are taken for a size, or passed over: the value was served longer
# or shorter than it is.
@example(b"6\r\n12.90\r\n0\r\n\r\n", [])
@example(b"7\r\n12.90\r\n0\r\n\r\n", [])
@example(b"4\r\n12.90\r\n0\r\n\r\n", [])
@example(b"5\r\n12.90\r\n\r\n\r\n0\r\n\r\n", [])
@example(b"+5\r\n12.90\r\n0\r\n\r\n", [])
@example(b"0x5\r\n12.90\r\n0\r\n\r\n", [])
@example(b"0_5\r\n12.90\r\n0\r\n\r\n", [])
@example(b" 5\r\n12.90\r\n0\r\n\r\n", [])
@example(b"\n5\r\n12.90\r\n0\r\n\r\n", [])
@example(b"5\r\n12.90\r\n0\r\nno trailer\r\n\r\n", [])
def test_a_changed_chunked_body_is_judged_as_by_the_grammar(body, splits):
    assert receive(HEAD + body, splits) == expected(body)


def allowed_difference(body):
    """Returns the sentence of RFC 9112 by which h11 may judge another way than the proxy; "" for none."""
    if b"\n" in body.replace(b"\r\n", b""):
        return "2.2: a recipient MAY recognize a single LF as a line terminator"
    if re.search(rb"[ \t]:", body):
        return "5.1: a proxy MUST remove any such whitespace from a response message"
    if re.search(rb"[0-9a-fA-F][ \t]+;", body):
        return "7.1.1: chunk-ext = *( BWS ';' ..., where h11 takes no white space in front"
    if any(not SIZE_LINE.fullmatch(line) for line in size_lines(body)):
        return "7.1: chunk = chunk-size [ chunk-ext ] CRLF, where h11 takes any bytes for the extension"
    if any(len(line.partition(b";")[0]) > MAX_H11_SIZE_DIGITS for line in size_lines(body)):
        return "7.1: chunk-size = 1*HEXDIG, of which h11 takes 20 and the proxy up to 1 MiB"
    return ""


def size_lines(body):
    """Returns the lines at the places of chunk sizes, as far as their sizes can be read."""
    lines, position = [], 0
    while (end := body.find(b"\r\n", position)) >= 0:
        lines.append(body[position:end])
        digits = re.match(rb"[0-9a-fA-F]*", lines[-1])[0]
        if not digits or not int(digits, 16):
            break
        position = end + 2 + int(digits, 16) + 2
    return lines


@settings(max_examples=MORE_EXAMPLES)
@given(changed_bodies())
def test_h11_serves_the_same_changed_bodies(body):
    verdict, value = receive(HEAD + body)
    their_verdict, their_value = judge_with_h11(HEAD + body)
    served = verdict is Verdict.COMPLETE
    if served != (their_verdict is Verdict.COMPLETE) or (served and value != their_value):
        assert allowed_difference(body)


@pytest.mark.parametrize("chunk_bytes", [1, 2, 7, 4096])
def test_a_value_in_many_small_chunks_is_read(chunk_bytes):
    value = bytes(range(256)) * 32
    chunks = [value[start : start + chunk_bytes] for start in range(0, len(value), chunk_bytes)]
    body = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"
    assert receive(HEAD + body, range(0, len(body), 1000)) == (Verdict.COMPLETE, value)


@pytest.mark.parametrize(
    "body", [b"5;%s\r\nvalue\r\n0\r\n\r\n" % (b"a" * 8192), b"0\r\n" + b"a: b\r\n" * 1000 + b"\r\n"]
)
def test_framing_without_end_is_refused(body):
    # Guards against a size line or a trailer that a node can send without end.
    assert receive(HEAD + body, range(0, len(body), 500)) == (Verdict.MALFORMED, b"")


@pytest.mark.parametrize("trailer", [b"Transfer-Encoding: gzip", b"Content-Length: 1"])
def test_a_trailer_does_not_change_the_framing(trailer):
    # RFC 9110, 6.5.1: a recipient MUST NOT merge a trailer field unless it knows that this is safe.
    assert receive(HEAD + b"5\r\n12.90\r\n0\r\n%s\r\n\r\n" % trailer) == (Verdict.COMPLETE, b"12.90")


@pytest.mark.parametrize("line_bytes", [MAX_FRAMING_LINE_BYTES + extra for extra in (-1, 0, 1, 2, 1000)])
@pytest.mark.parametrize("place", ["size", "trailer"])
def test_a_line_is_as_long_as_it_may_be_under_any_split(line_bytes, place):
    # Guards against a limit that holds only for a line which arrives in parts.
    if place == "size":
        line = b"5;" + b"a" * (line_bytes - 4)
        body, first = line + b"\r\n12.90\r\n0\r\n\r\n", 0
    else:
        line = b"a:" + b"b" * (line_bytes - 4)
        body, first = b"5\r\n12.90\r\n0\r\n" + line + b"\r\n\r\n", len(b"5\r\n12.90\r\n0\r\n")
    served = line_bytes <= MAX_FRAMING_LINE_BYTES
    wanted = (Verdict.COMPLETE, b"12.90") if served else (Verdict.MALFORMED, b"")
    end = len(HEAD) + first + line_bytes
    for splits in ([], [end - 1000], [end - 3], [end - 2], [end - 1], [end], range(0, len(HEAD + body), 100)):
        assert receive(HEAD + body, splits) == wanted


def test_a_size_with_many_zeros_in_front_is_read():
    # RFC 9112, 7.1: chunk-size = 1*HEXDIG.
    body = b"%s5\r\n12.90\r\n%s\r\n\r\n" % (b"0" * 500, b"0" * 500)
    assert receive(HEAD + body, [100, 700]) == (Verdict.COMPLETE, b"12.90")


def test_a_chunk_of_three_gigabytes_is_refused_at_its_size():
    assert receive(HEAD + b"C0000000\r\n") == (Verdict.MALFORMED, b"")
