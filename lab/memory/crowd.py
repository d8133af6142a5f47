"""A crowd of hostile clients, in a process of its own.

    python -m lab.memory.crowd PORT PAUSE_S KIND:NUMBER...

Each client connects again PAUSE_S after the end of its connection. The crowd ends with its standard input.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

CONNECT_TIMEOUT_S = 5.0
VALUE_BYTES = 65_536  # the largest value of a write
SLOW_WRITE_BYTES = 60_000  # sent at once by a client that then goes on byte by byte
SLOW_WRITE_INTERVAL_S = 0.5
MISSING_BYTES = 10  # that a stopped write lacks
UNREAD_VALUES = 30
UNREAD_VALUE_BYTES = 60_000
LONG_VALUE_BYTES = 4_000_000
LARGEST_CHUNKED_BYTES = 1024 * 1024  # the longest value in chunks that a proxy accepts
SLOW_READ_BYTES_PER_S = 20_000
SLOW_READ_INTERVAL_S = 0.1
SMALL_RECEIVE_BUFFER = 4096
FIELDS_PER_HEAD = 900  # short flags in one line, close to the longest line
OPEN_COMMANDS = 64  # that a client which asks for hanging keys has open
FLOOD_COMMANDS = 500  # that a flooding client sends at once

_numbers = itertools.count(1)


@dataclass(frozen=True)
class Stream:
    """One client's connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def until_closed(self) -> None:
        """Read and drop what comes until the proxy ends the connection."""
        while await self.reader.read(65_536):
            pass

    async def until_answered(self) -> None:
        """Read until an answer or the end comes."""
        with contextlib.suppress(OSError):
            await self.reader.read(65_536)


def _read(key: str, wait_ms: int = 2000) -> bytes:
    return f"mg {key} v Oh{next(_numbers)} Pc=page,t=acme,d={wait_ms}\r\n".encode()


def _reads(prefix: str, number: int) -> bytes:
    return b"".join(_read(f"{prefix}{next(_numbers)}") for _ in range(number))


def _write_head() -> bytes:
    number = next(_numbers)
    return f"ms w{number} {VALUE_BYTES} Oh{number} Pc=adjust,t=acme,d=2000,k=a{number}\r\n".encode()


async def slow_write(stream: Stream) -> None:
    """Send most of a large write at once, then a byte now and then."""
    stream.writer.write(_write_head() + b"x" * SLOW_WRITE_BYTES)
    answered = asyncio.ensure_future(stream.until_answered())
    while not answered.done():
        stream.writer.write(b"x")
        await asyncio.wait([answered], timeout=SLOW_WRITE_INTERVAL_S)


async def stopped_write(stream: Stream) -> None:
    """Send a large write but for its last bytes, and stop."""
    stream.writer.write(_write_head() + b"x" * (VALUE_BYTES - MISSING_BYTES))
    await stream.until_answered()


async def read_nothing(stream: Stream) -> None:
    """Ask for many values, and read none."""
    stream.writer.transport.pause_reading()  # type: ignore[attr-defined]
    stream.writer.write(b"".join(_read(f"size{UNREAD_VALUE_BYTES}-{n}") for n in range(UNREAD_VALUES)))
    await asyncio.sleep(3600.0)


async def slow_read(stream: Stream) -> None:
    """Read a long value steadily and slowly."""
    while True:
        stream.writer.write(_read(f"size{LONG_VALUE_BYTES}"))
        read = 0
        while read < LONG_VALUE_BYTES:
            data = await stream.reader.read(int(SLOW_READ_BYTES_PER_S * SLOW_READ_INTERVAL_S))
            if not data:
                return
            if data.startswith(b"SERVER_ERROR"):
                await asyncio.sleep(SLOW_READ_INTERVAL_S)
                break
            read += len(data)
            await asyncio.sleep(SLOW_READ_INTERVAL_S)


async def half_line(stream: Stream) -> None:
    """Send half a line, and stop."""
    stream.writer.write(b"mg half v Oh1 Pc=pa")
    await stream.until_answered()


async def long_line(stream: Stream) -> None:
    """Send nearly the longest line, without its end."""
    stream.writer.write(b"mg " + b"k" * 2000)
    await stream.until_answered()


async def _send_again_and_again(stream: Stream, make: Callable[[], bytes], pause_s: float = 0.0) -> None:
    """Send what `make` returns, read some answers, and send again."""
    while True:
        stream.writer.write(make())
        await stream.writer.drain()
        if not await stream.reader.read(65_536):
            return
        await asyncio.sleep(pause_s)


async def many_fields(stream: Stream) -> None:
    """Send heads of very many short fields, one after the other."""
    head = b"mg k v" + b" a" * FIELDS_PER_HEAD + b"\r\n"
    await _send_again_and_again(stream, lambda: head * 4)


async def open_commands(stream: Stream) -> None:
    """Keep many commands open whose nodes never answer."""
    await _send_again_and_again(stream, lambda: _reads("hang", OPEN_COMMANDS), 0.2)


async def flood(stream: Stream) -> None:
    """Send hundreds of commands under ever new names at once, and read their answers."""
    await _send_again_and_again(stream, lambda: _reads("size10-", FLOOD_COMMANDS))


async def probes(stream: Stream) -> None:
    """Ask at full speed whether the process serves."""
    await _send_again_and_again(stream, lambda: b"mn\r\n" * FLOOD_COMMANDS)


async def unknown_commands(stream: Stream) -> None:
    """Send commands at full speed that nobody knows."""
    await _send_again_and_again(stream, lambda: b"x\r\n" * FLOOD_COMMANDS)


async def new_names(stream: Stream) -> None:
    """Send reads of ever new keys, ids, classes and tenants, none of which is known."""

    def reads() -> bytes:
        numbers = [next(_numbers) for _ in range(FLOOD_COMMANDS)]
        return "".join(f"mg k{n} v On{n} Pc=class{n},t=tenant{n},d=2000\r\n" for n in numbers).encode()

    await _send_again_and_again(stream, reads)


async def unsound_writes(stream: Stream) -> None:
    """Send small writes at full speed whose values don't end where they should."""
    write = b"ms k 1 Ou1 Pc=adjust,t=acme,d=900,k=a\r\nabc\r\n"
    await _send_again_and_again(stream, lambda: write * FLOOD_COMMANDS)


async def tiny_chunks(stream: Stream) -> None:
    """Ask for values that the origin sends in chunks of two bytes, one after the other."""
    while True:
        number = next(_numbers)
        stream.writer.write(_read(f"miss-size{LARGEST_CHUNKED_BYTES}-chunk2-{number}"))
        head = await stream.reader.readline()
        if not head:
            return
        if head.startswith(b"VA "):
            await stream.reader.readexactly(LARGEST_CHUNKED_BYTES + 2)


async def silent(stream: Stream) -> None:
    """Say nothing."""
    await stream.until_answered()


KINDS: dict[str, Callable[[Stream], Awaitable[None]]] = {
    "slow_write": slow_write,
    "stopped_write": stopped_write,
    "read_nothing": read_nothing,
    "slow_read": slow_read,
    "half_line": half_line,
    "long_line": long_line,
    "many_fields": many_fields,
    "open_commands": open_commands,
    "flood": flood,
    "probes": probes,
    "unknown_commands": unknown_commands,
    "new_names": new_names,
    "unsound_writes": unsound_writes,
    "tiny_chunks": tiny_chunks,
    "silent": silent,
}


async def _connect(port: int, kind: str) -> Stream:
    handle = socket.socket()
    handle.setblocking(False)
    if kind in ("read_nothing", "slow_read"):
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
    try:
        loop = asyncio.get_running_loop()
        await asyncio.wait_for(loop.sock_connect(handle, ("127.0.0.1", port)), CONNECT_TIMEOUT_S)
    except (OSError, TimeoutError):
        handle.close()
        raise
    return Stream(*await asyncio.open_connection(sock=handle, limit=65_536))


async def _run_client(port: int, pause_s: float, kind: str) -> None:
    while True:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            stream = await _connect(port, kind)
            try:
                await KINDS[kind](stream)
            finally:
                stream.writer.transport.abort()
        await asyncio.sleep(pause_s)


async def _run(port: int, pause_s: float, numbers: dict[str, int]) -> None:
    clients = [
        asyncio.create_task(_run_client(port, pause_s, kind))
        for kind, number in numbers.items()
        for _ in range(number)
    ]
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)


def main() -> None:
    """Run the crowd that the command line describes."""
    numbers = {kind: int(number) for kind, _, number in (word.partition(":") for word in sys.argv[3:])}
    asyncio.run(_run(int(sys.argv[1]), float(sys.argv[2]), numbers))


if __name__ == "__main__":
    main()
