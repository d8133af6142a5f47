"""Imports run downwards, in no circle, and the platform's bare start needs Twisted and msgspec alone."""

from __future__ import annotations

import ast
import subprocess
import sys
from graphlib import CycleError, TopologicalSorter
from importlib.metadata import PackageNotFoundError, requires
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGES = ("cloverwell", "balancer", "lab")

# From the bottom up. A module may import what stands in its own line or below; the longest prefix counts.
# A new package is put where it belongs here, see docs/design/overview.md.
LEVELS = (
    ("balancer",),
    ("cloverwell.descriptors", "cloverwell.log_stream", "cloverwell.system_calls"),
    ("cloverwell.monotonic_reactor",),
    (
        "cloverwell.timer_wheel",
        "cloverwell.log",
        "cloverwell.counters",
        "cloverwell.streamed_value",
        "cloverwell.serving",
    ),
    ("cloverwell.unix_time",),
    ("cloverwell.codec", "cloverwell.store"),
    ("cloverwell.connections", "cloverwell.gossip", "cloverwell.limits"),
    ("cloverwell.placement", "cloverwell.recovery"),
    ("cloverwell.facade",),
    ("cloverwell.request",),
    ("cloverwell.membership.endpoint_list",),
    ("cloverwell.back",),
    ("cloverwell.dispatcher", "cloverwell.membership"),
    ("cloverwell.front",),
    ("cloverwell.config",),
    ("cloverwell.control", "cloverwell.handover"),
    ("cloverwell.assembly", "cloverwell.client_port", "cloverwell.metrics_log"),
    ("cloverwell.graceful_shutdown", "cloverwell.handover_coordinator"),
    ("cloverwell.proxy",),
    ("cloverwell.__main__",),
    ("cloverwell.cli",),
    ("lab",),
)
# What the packages' own `__init__` imports stands with its package.
OPEN_ROOTS = ("cloverwell", "balancer", "lab")


def modules() -> dict[str, Path]:
    """Each module by its name; a package by its own."""
    found = {}
    for package in PACKAGES:
        for path in sorted((ROOT / package).rglob("*.py")):
            parts = path.relative_to(ROOT).with_suffix("").parts
            found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def imported(source: str, known: set[str]) -> set[str]:
    """What of the known a source imports, anywhere in it: in functions and under TYPE_CHECKING too."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert not node.level, "relative imports are not used here"
            for alias in node.names:
                inner = f"{node.module}.{alias.name}"
                found.add(inner if inner in known else str(node.module))
    return found & known


def graph() -> dict[str, set[str]]:
    paths = modules()
    return {name: imported(path.read_text(), set(paths)) for name, path in paths.items()}


def circle(edges: dict[str, set[str]]) -> list[str]:
    """The modules of one circle, or none."""
    try:
        TopologicalSorter(edges).prepare()
    except CycleError as error:
        return list(error.args[1])
    return []


def level(module: str) -> int:
    fitting = [
        (len(prefix), number)
        for number, prefixes in enumerate(LEVELS)
        for prefix in prefixes
        if module == prefix or module.startswith(prefix + ".")
    ]
    assert fitting, f"{module} stands in no line of LEVELS"
    return max(fitting)[1]


def upwards(edges: dict[str, set[str]]) -> list[str]:
    return [
        f"{module} imports {other}"
        for module, others in sorted(edges.items())
        for other in sorted(others)
        if module not in OPEN_ROOTS and other not in OPEN_ROOTS and level(other) > level(module)
    ]


def test_no_module_imports_itself_by_way_of_others():
    assert circle(graph()) == []


def test_imports_run_downwards():
    assert upwards(graph()) == []


def test_only_lab_imports_lab():
    found = [
        f"{module} imports {other}"
        for module, others in graph().items()
        for other in others
        if not module.startswith("lab") and (other == "lab" or other.startswith("lab."))
    ]
    assert found == []


def test_the_checks_can_fail():
    known = {"cloverwell.back.pool", "cloverwell.request", "cloverwell.front.port"}
    hidden = "if TYPE_CHECKING:\n    from cloverwell.back.pool import Pool\n"
    assert imported(hidden, known) == {"cloverwell.back.pool"}
    assert imported("def late():\n    from cloverwell.back import pool\n", known) == {"cloverwell.back.pool"}
    assert circle({"a": {"b"}, "b": {"a"}})
    edges = {"cloverwell.request": {"cloverwell.back.pool"}, "cloverwell.front.port": {"cloverwell.request"}}
    assert upwards(edges) == ["cloverwell.request imports cloverwell.back.pool"]
    with pytest.raises(AssertionError):
        level("cloverwell.unheard_of")


# What `run` loads ----------------------------------------------------------------------------------

LIST_LOADED = """
import sys
from importlib.metadata import packages_distributions
before = set(sys.modules)
import cloverwell.__main__
tops = {name.partition(".")[0] for name in set(sys.modules) - before}
owners = packages_distributions()
for top in sorted(tops - set(sys.stdlib_module_names)):
    print(top, *sorted(set(owners.get(top, []))))
"""


def installed_requires(name: str) -> list[str]:
    """Requirements of a distribution; none where its marker kept it from this machine."""
    try:
        return requires(name) or []
    except PackageNotFoundError:
        return []


def needed_by(names: set[str]) -> set[str]:
    """The distributions, and what they need in turn, extras left out."""
    found: set[str] = set()
    queue = list(names)
    while queue:
        name = queue.pop().lower().replace("_", "-").replace(".", "-")
        if name in found:
            continue
        found.add(name)
        for line in installed_requires(name):
            requirement, _, marker = line.partition(";")
            if "extra" not in marker:
                end = next((at for at, c in enumerate(requirement) if not (c.isalnum() or c in "-_.")), None)
                queue.append(requirement[:end])
    return found


def strangers(listing: str, allowed: set[str]) -> list[str]:
    """Of lines `module distribution...`, those that belong to none of the allowed."""
    found = []
    for line in listing.splitlines():
        top, *owners = line.split()
        names = {owner.lower().replace("_", "-").replace(".", "-") for owner in owners}
        if top not in ("cloverwell", "balancer") and not names & allowed:
            found.append(line)
    return found


def test_run_loads_twisted_and_msgspec_alone():
    loaded = subprocess.run(
        [sys.executable, "-c", LIST_LOADED], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout
    assert "twisted" in loaded
    assert "msgspec" in loaded
    assert strangers(loaded, needed_by({"Twisted", "msgspec"})) == []
    assert strangers("click click\nlab\n", needed_by({"Twisted", "msgspec"})) == ["click click", "lab"]
