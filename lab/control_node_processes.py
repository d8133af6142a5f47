"""Control nodes as processes on loopback, as in service. What waits, waits for an event with a timeout."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cloverwell.control.net.address import Address, format_address
from cloverwell.control.net.errors import NoAnswerError
from cloverwell.control.net.operator_client import request_status
from cloverwell.control.net.wire import StatusAnswer
from lab.processes import PATIENCE_S, ROOT, free_port, wait_for

ANSWER_TIMEOUT_S = 5.0
COMMAND = [sys.executable, "-c", "from cloverwell.cli.main import main; main()", "control"]


class ControlNodeProcess:
    """One control node. It may be killed, paused and started again over the same data."""

    def __init__(self, folder: Path, name: str, region: str, address: Address) -> None:
        """Starts nothing yet. The node's file, log and data are in `folder`."""
        self.folder = folder
        self.name = name
        self.region = region
        self.address = address
        self.file = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.command = COMMAND
        self.popen: subprocess.Popen[bytes] | None = None

    @property
    def at(self) -> str:
        """The node's address as HOST:PORT."""
        return format_address(self.address)

    def start(self) -> None:
        """Starts the process, and returns at once."""
        with self.log.open("a") as log:
            self.popen = subprocess.Popen([*self.command, "serve", str(self.file)], cwd=ROOT, stderr=log)

    def end(self, number: int) -> int:
        """Ends the process by a signal, and returns its exit code."""
        assert self.popen is not None
        self.popen.send_signal(number)
        return self.popen.wait(PATIENCE_S)

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.popen is not None
        self.popen.send_signal(number)

    def status(self, timeout_s: float = ANSWER_TIMEOUT_S) -> StatusAnswer | None:
        """Returns the status of the node; None where it does not answer."""
        try:
            return request_status(self.address, timeout_s)
        except NoAnswerError:
            return None


class ControlNodes:
    """The control nodes of one log."""

    def __init__(self, folder: Path, regions: tuple[str, ...] = ("north", "south", "west")) -> None:
        """Starts nothing yet. There is one node for each of the regions."""
        self.nodes = [
            ControlNodeProcess(folder, f"{region}-{number}", region, ("127.0.0.1", free_port()))
            for number, region in enumerate(regions)
        ]
        for node in self.nodes:
            node.file.write_text(self._file(node))

    def _file(self, node: ControlNodeProcess) -> str:
        lines = [f'name = "{node.name}"', f'data = "{node.name}"']
        for other in self.nodes:
            lines += ["[[nodes]]", f'name = "{other.name}"', f'address = "{other.at}"']
            lines.append(f'region = "{other.region}"')
        return "\n".join(lines) + "\n"

    def section(self, region: str, wait_ms: float = 5000.0) -> dict[str, Any]:
        """Returns the `control` section of the configuration of a proxy in a region."""
        nodes = [{"name": node.name, "address": node.at, "region": node.region} for node in self.nodes]
        return {"nodes": nodes, "region": region, "wait_ms": wait_ms}

    def start(self) -> ControlNodes:
        """Starts all nodes, and returns once there is a leader."""
        for node in self.nodes:
            node.start()
        self.leader()
        return self

    def leader(self, among: list[ControlNodeProcess] | None = None) -> ControlNodeProcess:
        """Waits for a node that takes proposals, and returns it."""
        found: list[ControlNodeProcess] = []

        def leads() -> bool:
            """Looks for a node that takes proposals, and keeps it."""
            for node in among or self.nodes:
                answer = node.status(1.0)
                if answer is not None and answer.status.has_quorum:
                    found.append(node)
            return bool(found)

        wait_for(leads, "a leader")
        return found[-1]

    def others(self, *nodes: ControlNodeProcess) -> list[ControlNodeProcess]:
        """Returns all nodes but these."""
        return [node for node in self.nodes if node not in nodes]

    def wait_for_status(
        self, node: ControlNodeProcess, wanted: Callable[[StatusAnswer], bool], what: str
    ) -> StatusAnswer:
        """Waits until the status of a node is as wanted, and returns it."""
        last: list[StatusAnswer | None] = [None]

        def is_as_wanted() -> bool:
            """Requests the status once more."""
            last[0] = node.status()
            return last[0] is not None and wanted(last[0])

        try:
            wait_for(is_as_wanted, what)
        except AssertionError:
            raise AssertionError(f"{what}: never came; {last[0]}\n{node.log.read_text()}") from None
        assert last[0] is not None
        return last[0]

    def close(self) -> None:
        """Kills all processes."""
        for node in self.nodes:
            if node.popen is not None:
                node.popen.kill()
                node.popen.wait()
