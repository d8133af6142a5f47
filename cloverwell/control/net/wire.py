"""All messages that a control node's port takes and gives, as bodies of frames. No I/O.

To the messages of the log itself this adds what belongs to connections alone: who a control node is that has
connected, and an operator's question about the state of a node.
"""

from __future__ import annotations

import msgspec

from cloverwell.control.control_node import NodeStatus
from cloverwell.control.fleet import ActivationCount
from cloverwell.control.messages import VERSION, Message, MessageError, SubscriberReport, encode


class PeerHello(msgspec.Struct, frozen=True, tag=True):
    """The first message of a control node that has connected to another: its name, and the log it serves."""

    node: str
    log: str


class StatusRequest(msgspec.Struct, frozen=True, tag=True):
    """An operator asks for a `StatusAnswer`."""


class StatusAnswer(msgspec.Struct, frozen=True, tag=True):
    """What one control node knows.

    `leader_address`: "" where no leader is known. `own`: the proxies at this node. `in_force`: where the last
    committed entry is in force, None on a node that doesn't lead.
    """

    node: str
    status: NodeStatus
    leader_address: str
    own: SubscriberReport
    in_force: ActivationCount | None = None


WireMessage = Message | PeerHello | StatusRequest | StatusAnswer

_decoder = msgspec.msgpack.Decoder(WireMessage)


def encode_body(message: WireMessage) -> bytes:
    """The body of a frame with this message."""
    return encode(message)


def decode_body(body: bytes) -> WireMessage:
    """The message of a frame's body. Raises `MessageError`."""
    if not body:
        raise MessageError("empty")
    if body[0] != VERSION:
        raise MessageError(f"version {body[0]}, not {VERSION}")
    try:
        return _decoder.decode(memoryview(body)[1:])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MessageError(f"malformed: {error}") from None
