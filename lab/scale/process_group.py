"""The processes of a run: started, spoken to, and ended by their ids, whatever happens.

Each is its process group's leader, so that Ctrl-C reaches the parent alone, and is tethered to the parent.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from lab.scale import machine, messages

END_S = 5.0  # what a process may take to end by itself
MOST_LINE = 64 * 1024 * 1024


class ProcessEnded(Exception):
    """A process that should run has ended; the text says which, and how."""


class ChildProcess:
    """One process; those that report have a pipe, a real proxy has none."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, reports: bool) -> None:
        self.name = name
        self.process = process
        self.reports = reports
        self.ready = asyncio.Event()
        self.totals: messages.Totals | None = None
        self.may_end = False  # its end is no crash

    @property
    def pid(self) -> int:
        """Its process id."""
        return self.process.pid

    @property
    def ended(self) -> bool:
        """It runs no more."""
        return self.process.returncode is not None

    def send(self, message: messages.Command) -> None:
        """Nothing where it has ended."""
        if not self.ended:
            self.process.stdin.write(messages.encode(message))

    def signal(self, number: int) -> None:
        """To it alone."""
        if not self.ended:
            self.process.send_signal(number)


class ProcessGroup:
    """All processes of a run, by name; a name that is started again has a new process."""

    def __init__(self, folder: Path, report: Callable[[ChildProcess, messages.Report], None]) -> None:
        """`folder` is where they run and log; `report` gets all reports but `Ready` and totals."""
        self.children: dict[str, ChildProcess] = {}
        self.crash: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._folder = folder
        self._report = report
        self._all: list[ChildProcess] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start_child(self, name: str, start: messages.Start) -> ChildProcess:
        """Starts a process of `lab.scale.child`, and tells it what it is."""
        command = [sys.executable, "-m", "lab.scale.child", name, str(os.getpid())]
        child = await self._start(name, command, {}, reports=True)
        child.send(start)
        return child

    async def start_proxy(self, name: str, config: Path) -> ChildProcess:
        """Starts `python -m cloverwell` as in service."""
        proxy = [sys.executable, "-m", "cloverwell"]
        command = [sys.executable, "-m", "lab.scale.tether", str(os.getpid()), *proxy]
        return await self._start(name, command, {"EDGE_CONFIG": str(config)}, reports=False)

    async def _start(
        self, name: str, command: list[str], environ: dict[str, str], reports: bool
    ) -> ChildProcess:
        path = os.pathsep.join(filter(None, (str(machine.ROOT), os.environ.get("PYTHONPATH"))))
        kept = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        pipe = asyncio.subprocess.PIPE if reports else asyncio.subprocess.DEVNULL
        with (self._folder / f"{name}.log").open("a") as log:
            process = await asyncio.create_subprocess_exec(
                *command,
                cwd=self._folder,
                env=kept | {"PYTHONPATH": path} | environ,
                stdin=pipe,
                stdout=pipe,
                stderr=log,
                limit=MOST_LINE,
                process_group=0,
            )
        child = self.children[name] = ChildProcess(name, process, reports)
        self._all.append(child)
        self._tasks.append(asyncio.create_task(self._follow(child)))
        return child

    async def _follow(self, child: ChildProcess) -> None:
        try:
            if child.reports:
                async for line in child.process.stdout:
                    self._take(child, messages.decode_report(line))
            code = await child.process.wait()
        except Exception as error:
            self._crashed(ProcessEnded(f"{child.name}: {error!r}"))
            return
        if not child.may_end:
            words = self._last_words(child)
            self._crashed(ProcessEnded(f"{child.name} ended by itself, with code {code}{words}"))

    def _crashed(self, error: ProcessEnded) -> None:
        if not self.crash.done():
            self.crash.set_exception(error)

    def _last_words(self, child: ChildProcess) -> str:
        words = (self._folder / f"{child.name}.log").read_text(errors="replace").strip()
        return f": {words.splitlines()[-1]}" if words else ""

    def _take(self, child: ChildProcess, report: messages.Report) -> None:
        match report:
            case messages.Ready():
                child.ready.set()
            case messages.Changed() | messages.ChangesEnded() | messages.InForceBatch():
                self._report(child, report)
            case _:
                child.totals = report

    async def finish(self, name: str) -> messages.Totals | None:
        """Asks for the totals and waits for the end; None where it has ended before."""
        child = self.children[name]
        child.may_end = True
        child.send(messages.Finish())
        try:
            await asyncio.wait_for(child.process.wait(), END_S)
        except TimeoutError:
            child.signal(signal.SIGKILL)
        return child.totals

    async def end_all(self) -> None:
        """Ends whatever still runs, by its id, and waits for it."""
        for child in self._all:
            child.may_end = True
            child.signal(signal.SIGKILL)
        for child in self._all:
            await child.process.wait()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.crash.done():
            self.crash.exception()  # it has been told, or the run was stopped
        else:
            self.crash.cancel()
