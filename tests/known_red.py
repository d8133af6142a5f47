"""Tests that fail for a known fault, by KNOWN-RED.txt: they run, may fail, and are printed at the end.

Each line of that file is `TEST | CAUSE | ISSUE`, and stands for one fault. A listed test that passes fails
the run: its line has to go with the mend. Only a test that fails now and then may pass; its cause begins with
`now and then: `.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
PATH = ROOT / "KNOWN-RED.txt"
FIELDS = 3
NAMED_TEST = re.compile(r"\.py::")
INTERMITTENT = "now and then: "  # the beginning of the cause of a test that fails in some runs only


class KnownRedError(Exception):
    """The file is malformed, or has two faults in a line."""


@dataclass(frozen=True)
class KnownRed:
    """One line of the file; `test` is its id, `tests/FILE.py::NAME`, with or without parameters."""

    test: str
    cause: str
    issue: str

    @property
    def is_intermittent(self) -> bool:
        """Whether the test fails in some runs only."""
        return self.cause.startswith(INTERMITTENT)

    def covers(self, node_id: str) -> bool:
        """Whether a test of that id is meant: whatever its parameters, if the line names none."""
        return self.test in (node_id, node_id.partition("[")[0])


def parse(text: str) -> list[KnownRed]:
    """The lines of the file; raises `KnownRedError`."""
    lines = [line for line in text.splitlines() if line.strip()]
    found = []
    for line in lines:
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELDS or not all(fields):
            raise KnownRedError(f"not TEST | CAUSE | ISSUE: {line}")
        if NAMED_TEST.search(fields[1]):
            raise KnownRedError(f"a second test in one line: {line}")
        found.append(KnownRed(*fields))
    return found


def read_known_red() -> list[KnownRed]:
    """The tests that are listed now; none where there is no file."""
    return parse(PATH.read_text()) if PATH.exists() else []
