"""Only the files in `EXCEPTIONS` read the wall clock, or use the reactor that Twisted installs by default.

A wall clock may be stepped at any moment, by seconds or by an hour. Durations and deadlines are therefore
computed from the monotonic clock, and Twisted's default reactor, which runs its delayed calls by the wall
clock, is not used. docs/design/overview.md, "Unix time", says what each exception is for and which tests
cover it.
"""

from __future__ import annotations

import ast
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parent.parent
PACKAGES = ("cloverwell", "balancer", "lab", "examples", "benchmarks")


class Use(NamedTuple):
    """A file's use of a name in `FORBIDDEN`, `FORBIDDEN_WITHOUT_TIME` or `CLOCK_READERS`."""

    file: str
    name: str


DEFAULT_REACTOR = "twisted.internet.reactor"

# The uses that are allowed, each with its reason. The test also fails for one that no longer occurs.
EXCEPTIONS = {
    Use("cloverwell/unix_time.py", "time.time"): "nodes' starts are in Unix time; see node_starts.py",
    Use("examples/toy_server.py", DEFAULT_REACTOR): "a separate program, which runs without this package",
}

# Names that give access to the wall clock, whether they are called or passed on.
FORBIDDEN = {
    "time.time",
    "time.time_ns",
    "time.CLOCK_REALTIME",
    "time.CLOCK_TAI",
    "datetime.datetime.now",
    "datetime.datetime.utcnow",
    "datetime.datetime.today",
    "datetime.date.today",
    "twisted.python.runtime.seconds",
    "uuid.uuid1",
    DEFAULT_REACTOR,
}
# Functions that read the wall clock unless a time is passed to them, with the index of that argument.
FORBIDDEN_WITHOUT_TIME = {
    "time.localtime": 0,
    "time.gmtime": 0,
    "time.ctime": 0,
    "time.asctime": 0,
    "time.strftime": 1,
}
# Functions that read the clock whose number is passed. A literal number may be the wall clock's, 0, so the
# argument must be a name.
CLOCK_READERS = {"time.clock_gettime", "time.clock_gettime_ns"}


class ClockUses(ast.NodeVisitor):
    """Collects the forbidden names that one source uses, whatever they are imported as.

    Names that are only composed at run time, for example by `getattr` with a string, are not found.
    """

    def __init__(self, tree: ast.Module) -> None:
        self.found: set[str] = set()
        self._full_names: dict[str, str] = {}  # a name in this source -> the full name of what it stands for
        self._calls_with_time: set[int] = set()  # ids of the function nodes of calls that pass a time
        for node in ast.walk(tree):  # all imports first: a function may stand above the import that it uses
            if isinstance(node, ast.Import):
                self._import(node)
            elif isinstance(node, ast.ImportFrom):
                self._import_from(node)
        self.visit(tree)

    def _import(self, node: ast.Import) -> None:
        for alias in node.names:
            self._check_name(alias.name)
            top = alias.name.partition(".")[0]
            self._full_names[alias.asname or top] = alias.name if alias.asname else top

    def _import_from(self, node: ast.ImportFrom) -> None:
        module = str(node.module)
        self._check_name(module)
        for alias in node.names:
            name = f"{module}.{alias.name}"
            self._full_names[alias.asname or alias.name] = name
            if alias.name == "*":  # it may import any of the module's names
                self.found |= {forbidden for forbidden in FORBIDDEN if forbidden.startswith(f"{module}.")}
            self._check_name(name)

    def visit_Call(self, node: ast.Call) -> None:
        name = self._name_of(node.func)
        time_index = FORBIDDEN_WITHOUT_TIME.get(name)
        if time_index is not None and len(node.args) > time_index:
            self._calls_with_time.add(id(node.func))
        if name in CLOCK_READERS and not (node.args and self._name_of(node.args[0])):
            self.found.add(name)
        self.generic_visit(node)

    def visit_Attribute(self, node: ast.Attribute) -> None:
        self._check_use(node)
        self.generic_visit(node)

    def visit_Name(self, node: ast.Name) -> None:
        self._check_use(node)

    def _name_of(self, node: ast.expr) -> str:
        """Returns the full name that a dotted expression stands for, or "" for any other expression."""
        if isinstance(node, ast.Name):
            return self._full_names.get(node.id, "")
        if isinstance(node, ast.Attribute) and (base := self._name_of(node.value)):
            return f"{base}.{node.attr}"
        return ""

    def _check_name(self, name: str) -> None:
        if name in FORBIDDEN:
            self.found.add(name)

    def _check_use(self, node: ast.expr) -> None:
        name = self._name_of(node)
        self._check_name(name)
        if name in FORBIDDEN_WITHOUT_TIME and id(node) not in self._calls_with_time:
            self.found.add(name)


def forbidden_names(source: str) -> set[str]:
    """Returns the forbidden names that a source uses."""
    return ClockUses(ast.parse(source)).found


def all_uses() -> set[Use]:
    return {
        Use(path.relative_to(ROOT).as_posix(), name)
        for package in PACKAGES
        for path in sorted((ROOT / package).rglob("*.py"))
        for name in forbidden_names(path.read_text())
    }


def test_the_wall_clock_is_read_only_in_the_excepted_files():
    assert sorted(all_uses() - set(EXCEPTIONS)) == []


def test_every_exception_still_occurs():
    assert sorted(set(EXCEPTIONS) - all_uses()) == []


def test_every_package_has_files_to_search():
    for package in PACKAGES:
        assert any((ROOT / package).rglob("*.py")), package


@pytest.mark.parametrize(
    ("source", "name"),
    [
        ("import time\ntime.time()", "time.time"),
        ("import time\ntime.time_ns()", "time.time_ns"),
        ("import time as t\nnow = t.time", "time.time"),
        ("from time import time", "time.time"),
        ("from time import time_ns as stamp\nstamp()", "time.time_ns"),
        ("from time import *", "time.time"),
        ("def late():\n    from time import time\n    return time()", "time.time"),
        ("def now():\n    return time.time()\nimport time", "time.time"),
        ("import time\ntime.clock_gettime(time.CLOCK_REALTIME)", "time.CLOCK_REALTIME"),
        ("import time\ntime.clock_gettime(0)", "time.clock_gettime"),
        ("from time import clock_gettime_ns\nclock_gettime_ns(0)", "time.clock_gettime_ns"),
        ("import datetime\ndatetime.datetime.now()", "datetime.datetime.now"),
        ("from datetime import datetime\ndatetime.now(tz=None)", "datetime.datetime.now"),
        ("from datetime import datetime as moment\nmoment.utcnow()", "datetime.datetime.utcnow"),
        ("import datetime as d\nd.datetime.today()", "datetime.datetime.today"),
        ("from datetime import date\ndate.today()", "datetime.date.today"),
        ("import time\ntime.localtime()", "time.localtime"),
        ("from time import gmtime\ngmtime()", "time.gmtime"),
        ("import time\ntime.ctime()", "time.ctime"),
        ("import time\ntime.strftime('%H')", "time.strftime"),
        ("import time\nstamp = time.strftime", "time.strftime"),
        ("from twisted.internet import reactor", DEFAULT_REACTOR),
        ("from twisted.internet import defer, reactor as loop", DEFAULT_REACTOR),
        ("import twisted.internet.reactor", DEFAULT_REACTOR),
        ("import twisted.internet.reactor as loop", DEFAULT_REACTOR),
        ("from twisted.internet.reactor import callLater", DEFAULT_REACTOR),
        ("import twisted.internet\ntwisted.internet.reactor.run()", DEFAULT_REACTOR),
        ("def late():\n    from twisted.internet import reactor", DEFAULT_REACTOR),
        ("from twisted.python import runtime\nruntime.seconds()", "twisted.python.runtime.seconds"),
    ],
)
def test_a_forbidden_use_is_found(source, name):
    assert name in forbidden_names(source)


@pytest.mark.parametrize(
    "source",
    [
        "import time\ntime.monotonic()\ntime.sleep(1)\ntime.perf_counter()",
        "import time\ntime.clock_gettime(time.CLOCK_MONOTONIC)",
        "import time\ntime.strftime('%H', time.gmtime(5.0))\ntime.localtime(0)\ntime.ctime(0)",
        "from time import strftime, gmtime\nstrftime('%H', gmtime(5.0))",
        "from datetime import datetime, timedelta\ndatetime.fromtimestamp(5.0) + timedelta(1)",
        "from twisted.internet import defer, task\nfrom twisted.internet.epollreactor import EPollReactor",
        "class Clock:\n    def time(self):\n        return self.now\nClock().time()\nreactor = Clock()",
    ],
)
def test_a_source_that_does_not_read_the_wall_clock_passes(source):
    assert forbidden_names(source) == set()
