"""What nodes read from a request's names and values, and how they write long answers."""

from __future__ import annotations

from typing import Any

from lab.node_environment import NodeEnvironment


def told_ms(info: str) -> float:
    """The time that an attempt's names and values tell: those of `P`, or of `Request-Info`."""
    values = dict(part.partition("=")[::2] for part in info.split(","))
    return float(values["d"])


def in_pieces(play: NodeEnvironment, transport: Any, data: bytes, done: Any) -> None:
    """A long answer, a piece now and then."""
    size = int(1024 * play.world.nodes.piece_kb)
    if transport.closed:
        return
    transport.write(data[:size])
    if len(data) > size:
        play.net.callLater(play.world.nodes.piece_ms / 1000.0, in_pieces, play, transport, data[size:], done)
    else:
        done()
