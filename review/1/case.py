"""Usual clients lose their requests while ten bad clients send hundreds of commands at once."""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from world import HOST, Record, World, has_trouble, run_case, settings  # noqa: E402

BAD_CLIENTS = 10
COMMANDS_AT_ONCE = 900
USUAL_REQUESTS = 60
INTERVAL_S = 0.25
WAIT_MS = 600  # 40% of the class's give-up time: the shortest try of a usual client
LATE_S = 0.5  # an answer may come so late and only earns nothing
SLACK_S = 0.05  # of the rules on sockets
GIVES_UP_S = 10.0


@dataclass
class Lag:
    """How late this process itself has been, which is not the proxy's fault."""

    most_s: float = 0.0

    async def watch(self) -> None:
        """Measure for ever."""
        while True:
            began_s = time.monotonic()
            await asyncio.sleep(0.01)
            self.most_s = max(self.most_s, time.monotonic() - began_s - 0.01)


async def usual_request(port: int, number: int, record: Record) -> tuple[str, float, bytes]:
    """Send one read on a new connection; return its id, the time to the last byte, and the answer."""
    request_id = f"u{number}"
    reader, writer = await asyncio.open_connection(HOST, port)
    began_s = time.monotonic()
    writer.write(f"mg key{number} v O{request_id} Pc=price-check,t=far-north,d={WAIT_MS}\r\n".encode())
    record.line(f"{request_id} sent, d={WAIT_MS}")
    line = b""
    with contextlib.suppress(TimeoutError, ConnectionError):
        line = await asyncio.wait_for(reader.readline(), GIVES_UP_S)
        if line.startswith(b"VA"):
            await reader.readexactly(int(line.split()[1]) + 2)
    took_s = time.monotonic() - began_s
    writer.close()
    record.line(f"{request_id} after {took_s:.3f} s: {line.decode().strip() or 'no answer'}")
    return request_id, took_s, line


async def case(record: Record) -> list[str]:
    """Send requests as usual clients do, with bad clients beside them; return those that were lost."""
    lag = Lag()
    async with World(record, nodes=3) as world:
        proxy = await world.start_proxy(settings(), sockets=1024)
        watching = asyncio.create_task(lag.watch())
        command = [sys.executable, str(FOLDER / "flood.py"), str(proxy.port)]
        bad: subprocess.Popen[bytes] | None = None
        try:
            if has_trouble():
                bad = subprocess.Popen([*command, str(BAD_CLIENTS), str(COMMANDS_AT_ONCE)])
                record.line(
                    f"{BAD_CLIENTS} bad clients send {COMMANDS_AT_ONCE} reads at once, time and again"
                )
                await asyncio.sleep(1.0)
            requests = []
            for number in range(USUAL_REQUESTS):
                requests.append(asyncio.create_task(usual_request(proxy.port, number, record)))
                await asyncio.sleep(INTERVAL_S)
            answers = await asyncio.gather(*requests)
        finally:
            watching.cancel()
            if bad is not None:
                bad.kill()
                bad.wait()
        record.line(f"this process was late by {lag.most_s:.3f} s at most")
        bound_s = WAIT_MS / 1000.0 + LATE_S + SLACK_S + lag.most_s
        return [
            f"{request_id}: {line.decode().strip() or 'no answer'} after {took_s:.3f} s (bound {bound_s:.3f})"
            for request_id, took_s, line in answers
            if took_s > bound_s or not line
        ]


def main() -> int:
    """Play the case; return the exit code of its script."""
    return run_case(FOLDER, case)


if __name__ == "__main__":
    sys.exit(main())
