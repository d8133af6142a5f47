"""The operator's client of the control nodes. Each request and its answer have a connection of their own.

Every public function blocks until the answer is received or the timeout has passed.
"""

from __future__ import annotations

import socket
import time

from cloverwell.control.messages import MessageError, ProposalAnswer, ProposalOutcome, Propose
from cloverwell.control.net.address import Address
from cloverwell.control.net.errors import FramingError, NoAnswerError
from cloverwell.control.net.framing import FrameDecoder, encode_frame
from cloverwell.control.net.wire import StatusAnswer, StatusRequest, WireMessage, decode_body, encode_body
from cloverwell.membership.endpoint_list import split_address

RECEIVE_BYTES = 65536  # the most bytes that one recv call returns
MIN_TIMEOUT_S = 0.001  # a timeout of 0 would make the socket non-blocking
MAX_REDIRECTS = 3  # the leader may change between two requests


def request_status(address: Address, timeout_s: float) -> StatusAnswer:
    """Returns the status of the control node at an address. Raises `NoAnswerError`."""
    answer = send_request(address, StatusRequest(), timeout_s)
    if not isinstance(answer, StatusAnswer):
        raise _unexpected(answer)
    return answer


def propose_to_leader(address: Address, proposal: Propose, timeout_s: float) -> ProposalAnswer:
    """Sends a proposal to a control node, and on to the leader if the node at the address doesn't lead.

    Returns the answer of the leader, or that of the last node asked if no leader could be found. After a
    `NoAnswerError` the proposal may still have been committed.
    """
    deadline_s = time.monotonic() + timeout_s
    answer = _propose(address, proposal, timeout_s)
    for _ in range(MAX_REDIRECTS):
        if answer.outcome is not ProposalOutcome.NOT_LEADER:
            break
        status = request_status(address, deadline_s - time.monotonic())
        if not status.leader_address:
            break
        address = split_address(status.leader_address)
        answer = _propose(address, proposal, deadline_s - time.monotonic())
    return answer


def send_request(address: Address, request: WireMessage, timeout_s: float) -> WireMessage:
    """Sends a request, and returns the first message that is received. Raises `NoAnswerError`."""
    timeout_s = max(MIN_TIMEOUT_S, timeout_s)
    deadline_s = time.monotonic() + timeout_s
    try:
        with socket.create_connection(address, timeout_s) as connection:
            connection.sendall(encode_frame(encode_body(request)))
            answer = _receive(connection, deadline_s)
    except TimeoutError:
        raise NoAnswerError(f"no answer within {timeout_s:g} s", address) from None
    except (OSError, FramingError, MessageError) as error:
        raise NoAnswerError(str(error), address) from None
    if answer is None:
        raise NoAnswerError("the connection ended without an answer", address)
    return answer


def _propose(address: Address, proposal: Propose, timeout_s: float) -> ProposalAnswer:
    answer = send_request(address, proposal, timeout_s)
    if not isinstance(answer, ProposalAnswer):
        raise _unexpected(answer)
    return answer


def _unexpected(answer: WireMessage) -> NoAnswerError:
    """Returns the error for a message that doesn't answer the request."""
    return NoAnswerError(f"unexpected answer: {type(answer).__name__}")


def _receive(connection: socket.socket, deadline_s: float) -> WireMessage | None:
    """Returns the first message received; None if the connection ends before a whole message."""
    decoder = FrameDecoder()
    while True:
        connection.settimeout(max(MIN_TIMEOUT_S, deadline_s - time.monotonic()))
        piece = connection.recv(RECEIVE_BYTES)
        if not piece:
            return None
        for body in decoder.feed(piece):
            return decode_body(body)
