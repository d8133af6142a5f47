"""Bad clients: each sends hundreds of reads at once, reads all answers, and sends the same again.

Usage: flood.py PORT CLIENTS COMMANDS
"""

from __future__ import annotations

import asyncio
import sys

HOST = "127.0.0.1"
WAIT_MS = 600


async def bad_client(port: int, number: int, commands: int) -> None:
    """Send and read until the connection ends."""
    reader, writer = await asyncio.open_connection(HOST, port)
    sent = 0
    while True:
        lines = (
            f"mg k{index} v Ob{number}x{sent + index} Pc=price-check,t=far-north,d={WAIT_MS}\r\n"
            for index in range(commands)
        )
        writer.write("".join(lines).encode())
        sent += commands
        answered = 0
        while answered < commands:
            data = await reader.read(65536)
            if not data:
                return
            answered += data.count(b"SERVER_ERROR") + data.count(b"VA ")


async def main(port: int, clients: int, commands: int) -> None:
    """Run all clients until the process is ended."""
    await asyncio.gather(
        *(bad_client(port, number, commands) for number in range(clients)), return_exceptions=True
    )


if __name__ == "__main__":
    asyncio.run(main(*(int(word) for word in sys.argv[1:4])))
