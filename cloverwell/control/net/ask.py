"""An operator's question to a control node, asked and answered over a connection of its own. Blocks."""

from __future__ import annotations

import socket
import time

from cloverwell.control.messages import MessageError
from cloverwell.control.net.framing import FrameDecoder, FramingError, encode_frame
from cloverwell.control.net.wire import WireMessage, decode_body, encode_body

PIECE_BYTES = 65536
MIN_WAIT_S = 0.001  # 0 would be a socket that does not wait


class NoAnswerError(Exception):
    """The node can't be reached, or gave no answer; the text says why."""


def ask(address: tuple[str, int], question: WireMessage, wait_s: float) -> WireMessage:
    """The first message that comes back. Raises `NoAnswerError`."""
    wait_s = max(MIN_WAIT_S, wait_s)
    until = time.monotonic() + wait_s
    host, port = address
    try:
        with socket.create_connection(address, wait_s) as connection:
            connection.sendall(encode_frame(encode_body(question)))
            return _answer(connection, until)
    except TimeoutError:
        raise NoAnswerError(f"{host}:{port}: no answer within {wait_s:g} s") from None
    except (OSError, FramingError, MessageError) as error:
        raise NoAnswerError(f"{host}:{port}: {error}") from None


def _answer(connection: socket.socket, until: float) -> WireMessage:
    decoder = FrameDecoder()
    while True:
        connection.settimeout(max(MIN_WAIT_S, until - time.monotonic()))
        piece = connection.recv(PIECE_BYTES)
        if not piece:
            raise MessageError("the connection ended without an answer")
        for body in decoder.feed(piece):
            return decode_body(body)
