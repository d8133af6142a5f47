"""What simulated nodes read from a request's info, and how they write long answers."""

from __future__ import annotations

from collections.abc import Callable

from lab.connection_end import End
from lab.net import Net
from lab.scenario import CacheNodeFleet


def deadline_ms_of(info: str) -> float:
    """The time in ms that an attempt gives its node, from the names and values of its info."""
    values = dict(part.partition("=")[::2] for part in info.split(","))
    return float(values["d"])


def write_in_pieces(
    net: Net, settings: CacheNodeFleet, transport: End, data: bytes, done: Callable[[], None]
) -> None:
    """Writes a long answer piece by piece, as the settings say, and calls `done` after the last piece."""
    size = int(1024 * settings.piece_kb)
    if transport.closed:
        return
    transport.write(data[:size])
    if len(data) > size:
        wait_s = settings.piece_ms / 1000.0
        net.callLater(wait_s, write_in_pieces, net, settings, transport, data[size:], done)
    else:
        done()
