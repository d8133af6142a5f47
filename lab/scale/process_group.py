"""The processes of a run: started, sent messages, and ended by their ids, whatever happens.

Each is the leader of a process group, so that Ctrl-C reaches the parent alone, and is tethered to the parent.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from lab.scale import machine, messages
from lab.scale.errors import ProcessEndedError

END_TIMEOUT_S = 5.0  # the time that a process has to end after `Finish`
MAX_LINE_BYTES = 64 * 1024 * 1024


class ChildProcess:
    """One process; a child process with a role reports over a pipe, a real proxy has none."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, reports: bool) -> None:
        """Wraps a process that was started; `reports` tells whether it has a pipe."""
        self.name = name
        self.process = process
        self.reports = reports
        self.ready = asyncio.Event()
        self.totals: messages.Totals | None = None
        self.may_end = False  # while it is False, the end of the process is a crash

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    @property
    def ended(self) -> bool:
        """Whether the process has ended."""
        return self.process.returncode is not None

    def send(self, message: messages.Command) -> None:
        """Sends a message; does nothing if the process has ended or has no pipe."""
        if not self.ended and self.process.stdin is not None:
            self.process.stdin.write(messages.encode(message))

    def signal(self, number: int) -> None:
        """Sends a signal to this process alone; does nothing if it has ended."""
        if not self.ended:
            self.process.send_signal(number)


class ProcessGroup:
    """All processes of a run, by name; a name that is started again has a new process."""

    def __init__(self, folder: Path, on_report: Callable[[ChildProcess, messages.Report], None]) -> None:
        """Processes run and log in `folder`; `on_report` gets all reports but `Ready` and totals."""
        self.children: dict[str, ChildProcess] = {}
        self.crash: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._folder = folder
        self._on_report = on_report
        self._started: list[ChildProcess] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start_child(self, name: str, start: messages.Start) -> ChildProcess:
        """Starts a process of `lab.scale.child`, and sends it its first message."""
        command = [sys.executable, "-m", "lab.scale.child", name, str(os.getpid())]
        child = await self._start(name, command, {}, reports=True)
        child.send(start)
        return child

    async def start_proxy(self, name: str, config: Path) -> ChildProcess:
        """Starts `python -m cloverwell` as in production."""
        proxy = [sys.executable, "-m", "cloverwell"]
        command = [sys.executable, "-m", "lab.scale.tether", str(os.getpid()), *proxy]
        return await self._start(name, command, {"EDGE_CONFIG": str(config)}, reports=False)

    async def _start(
        self, name: str, command: list[str], environ: dict[str, str], reports: bool
    ) -> ChildProcess:
        pipe = asyncio.subprocess.PIPE if reports else asyncio.subprocess.DEVNULL
        with (self._folder / f"{name}.log").open("a") as log:
            process = await asyncio.create_subprocess_exec(
                *command,
                cwd=self._folder,
                env=_base_environment() | environ,
                stdin=pipe,
                stdout=pipe,
                stderr=log,
                limit=MAX_LINE_BYTES,
                process_group=0,
            )
        child = self.children[name] = ChildProcess(name, process, reports)
        self._started.append(child)
        self._tasks.append(asyncio.create_task(self._follow(child)))
        return child

    async def _follow(self, child: ChildProcess) -> None:
        try:
            if child.process.stdout is not None:
                async for line in child.process.stdout:
                    self._handle_report(child, messages.decode_report(line))
            code = await child.process.wait()
        except Exception as error:
            self._set_crash(ProcessEndedError(child.name, f": {error!r}"))
            return
        if not child.may_end:
            last_line = self._last_log_line(child)
            self._set_crash(ProcessEndedError(child.name, f" ended by itself, with code {code}{last_line}"))

    def _set_crash(self, error: ProcessEndedError) -> None:
        if not self.crash.done():
            self.crash.set_exception(error)

    def _last_log_line(self, child: ChildProcess) -> str:
        text = (self._folder / f"{child.name}.log").read_text(errors="replace").strip()
        return f": {text.splitlines()[-1]}" if text else ""

    def _handle_report(self, child: ChildProcess, report: messages.Report) -> None:
        match report:
            case messages.Ready():
                child.ready.set()
            case messages.RevisionPublished() | messages.ChangesEnded() | messages.ActivationBatch():
                self._on_report(child, report)
            case _:
                child.totals = report

    async def finish(self, name: str) -> messages.Totals | None:
        """Asks a process for its totals and waits for its end; returns None if it ended without totals."""
        child = self.children[name]
        child.may_end = True
        child.send(messages.Finish())
        try:
            await asyncio.wait_for(child.process.wait(), END_TIMEOUT_S)
        except TimeoutError:
            child.signal(signal.SIGKILL)
        return child.totals

    async def end_all(self) -> None:
        """Ends all processes that still run, by their ids, and waits for them."""
        for child in self._started:
            child.may_end = True
            child.signal(signal.SIGKILL)
        for child in self._started:
            await child.process.wait()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.crash.done():
            self.crash.exception()  # marks it as retrieved: the caller has it, or the run was interrupted
        else:
            self.crash.cancel()


def _base_environment() -> dict[str, str]:
    """Returns this process's environment without proxy settings, and with the packages on the path."""
    path = os.pathsep.join(filter(None, (str(machine.ROOT), os.environ.get("PYTHONPATH"))))
    inherited = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
    return inherited | {"PYTHONPATH": path}
