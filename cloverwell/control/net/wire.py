"""The encoding of all messages that a control node's port receives and sends as frame bodies. No I/O.

Besides the messages of the log itself, these are the messages that concern connections only: the hello of a
control node that has connected, and an operator's request for the status of a node.
"""

from __future__ import annotations

from typing import cast

import msgspec

from cloverwell.control.control_node import NodeStatus
from cloverwell.control.fleet import ActivationCount
from cloverwell.control.messages import VERSION, Message, MessageError, SubscriberReport, encode


class PeerHello(msgspec.Struct, frozen=True, tag=True):
    """The first message of a control node that has connected to another: its name, and the log it serves."""

    node: str
    log: str


class StatusRequest(msgspec.Struct, frozen=True, tag=True):
    """An operator's request for a `StatusAnswer`."""


class StatusAnswer(msgspec.Struct, frozen=True, tag=True):
    """The status of one control node.

    `leader_address` is HOST:PORT, or "" if no leader is known. `own` counts the proxies that are subscribed
    to this node. `activation` tells how many proxies of the fleet have applied the last committed entry; it
    is None on a node that doesn't lead.
    """

    node: str
    status: NodeStatus
    leader_address: str
    own: SubscriberReport
    activation: ActivationCount | None = msgspec.field(name="in_force", default=None)


WireMessage = Message | PeerHello | StatusRequest | StatusAnswer

_decoder = msgspec.msgpack.Decoder(WireMessage)


def encode_body(message: WireMessage) -> bytes:
    """Returns the frame body that holds this message."""
    # The type of `encode` names the log's own messages only, but it encodes the other messages as well.
    return encode(cast(Message, message))


def decode_body(body: bytes) -> WireMessage:
    """Returns the message in a frame's body. Raises `MessageError`."""
    if not body:
        raise MessageError("frame body is empty")
    if body[0] != VERSION:
        raise MessageError(f"unsupported message version {body[0]}, expected {VERSION}")
    try:
        return _decoder.decode(memoryview(body)[1:])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MessageError(f"malformed message: {error}") from None
