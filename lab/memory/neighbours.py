"""Cache nodes and an origin that serve values of any size: the key `size60000-1` has 60,000 bytes.

Keys that begin with `miss` are served by the origin alone, in chunks of two bytes if `chunk2` stands in them.

They run in processes of their own, `python -m lab.memory.neighbours NODES [origin]`, so that what one of them
does for a crowd delays neither the others nor the usual clients.
"""

from __future__ import annotations

import asyncio
import re
import sys
from functools import cache

from lab.loopback.answer_forms import in_chunks
from lab.loopback.event_time import EventTime
from lab.loopback.nodes import StandIn, read_head

SIZE = re.compile(r"size(\d+)")
CHUNK = re.compile(r"chunk(\d+)")
SHORT_VALUE = b"value"


def value_of(key: str) -> bytes:
    """Return the value of a key."""
    found = SIZE.search(key)
    return _value(int(found[1])) if found else SHORT_VALUE


@cache
def _value(size_bytes: int) -> bytes:
    return b"v" * size_bytes


_in_chunks = cache(in_chunks)  # Many clients ask for the same value.


class SizedCacheNode(StandIn):
    """Answers each read with its key's value; keys that begin with `hang` are never answered."""

    def __init__(self) -> None:
        """Listen nowhere before `start`."""
        super().__init__(EventTime())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the reads of a connection in their order."""
        while line := await reader.readline():
            words = line.decode().split()
            if words[1].startswith("hang"):
                await reader.read(1)
                return
            opaque = next(word for word in words if word.startswith("O"))
            if words[1].startswith("miss"):
                writer.write(f"EN {opaque}\r\n".encode())
                continue
            value = value_of(words[1])
            writer.write(f"VA {len(value)} {opaque}\r\n".encode() + value + b"\r\n")
            await writer.drain()


class SizedOrigin(StandIn):
    """Takes writes, and serves reads with their key's value."""

    def __init__(self) -> None:
        """Listen nowhere before `start`."""
        super().__init__(EventTime())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of a connection in their order."""
        while True:
            method, target, headers = await read_head(reader)
            await reader.readexactly(int(headers.get("content-length", 0)))
            body = b"receipt" if method == "PUT" else value_of(target)
            framing = f"Content-Length: {len(body)}"
            if chunk := CHUNK.search(target):
                body = _in_chunks(body, int(chunk[1]))
                framing = "Transfer-Encoding: chunked"
            head = f"HTTP/1.1 200 OK\r\n{framing}\r\nRequest-Id: {headers['request-id']}\r\n"
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()


async def _serve_until_told(nodes: int, with_origin: bool) -> None:
    stand_ins: list[StandIn] = [SizedCacheNode() for _ in range(nodes)]
    if with_origin:
        stand_ins.append(SizedOrigin())
    for stand_in in stand_ins:
        await stand_in.start()
    print(*(f"{host}:{port}" for host, port in (one.address[:2] for one in stand_ins)), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


def main() -> None:
    """Serve so many nodes, and an origin if a second word is given; print their addresses in one line."""
    asyncio.run(_serve_until_told(int(sys.argv[1]), len(sys.argv) > 2))


if __name__ == "__main__":
    main()
