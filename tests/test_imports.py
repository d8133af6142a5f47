"""Modules import only lower layers, without cycles, and the proxy itself needs only Twisted and msgspec."""

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

# The layers from the lowest to the highest. A module may import modules of its own layer and of lower ones;
# the longest matching prefix decides. A new package has to be added here, see docs/design/overview.md.
LAYERS = (
    ("balancer",),
    (
        "cloverwell.descriptors",
        "cloverwell.log_stream",
        "cloverwell.memory_budget",
        "cloverwell.process_memory",
        "cloverwell.system_calls",
        "cloverwell.unused_modules",
    ),
    ("cloverwell.monotonic_reactor",),
    (
        "cloverwell.timer_wheel",
        "cloverwell.turn_queue",
        "cloverwell.loop_work",
        "cloverwell.log",
        "cloverwell.counters",
        "cloverwell.streamed_value",
        "cloverwell.serving",
    ),
    ("cloverwell.unix_time", "cloverwell.id_claims"),
    ("cloverwell.codec", "cloverwell.store"),
    ("cloverwell.connections", "cloverwell.gossip", "cloverwell.limits"),
    ("cloverwell.placement", "cloverwell.recovery"),
    ("cloverwell.facade",),
    ("cloverwell.request",),
    ("cloverwell.membership.endpoint_list",),
    ("cloverwell.back",),
    ("cloverwell.request_log", "cloverwell.dispatcher", "cloverwell.membership"),
    ("cloverwell.front",),
    ("cloverwell.config", "cloverwell.memory_monitor"),
    ("cloverwell.control", "cloverwell.handover"),
    ("cloverwell.assembly", "cloverwell.client_port", "cloverwell.metrics_log"),
    ("cloverwell.graceful_shutdown", "cloverwell.handover_coordinator"),
    ("cloverwell.proxy",),
    ("cloverwell.program",),
    ("cloverwell.__main__",),
    ("cloverwell.cli",),
    ("lab",),
)
# The `__init__` modules of these packages may import, and be imported by, modules of any layer.
UNRESTRICTED_PACKAGES = ("cloverwell", "balancer", "lab")


def modules() -> dict[str, Path]:
    """Returns the path of each module and package, by its dotted name."""
    found = {}
    for package in PACKAGES:
        for path in sorted((ROOT / package).rglob("*.py")):
            parts = path.relative_to(ROOT).with_suffix("").parts
            found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def imported(source: str, known: set[str]) -> set[str]:
    """Returns which of the known modules a source imports, also in functions and under TYPE_CHECKING."""
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


def import_graph() -> dict[str, set[str]]:
    paths = modules()
    return {name: imported(path.read_text(), set(paths)) for name, path in paths.items()}


def find_cycle(edges: dict[str, set[str]]) -> list[str]:
    """Returns the modules of one import cycle, or an empty list."""
    try:
        TopologicalSorter(edges).prepare()
    except CycleError as error:
        return list(error.args[1])
    return []


def layer_of(module: str) -> int:
    matching = [
        (len(prefix), layer)
        for layer, prefixes in enumerate(LAYERS)
        for prefix in prefixes
        if module == prefix or module.startswith(prefix + ".")
    ]
    assert matching, f"{module} is in no layer of LAYERS"
    return max(matching)[1]


def upward_imports(edges: dict[str, set[str]]) -> list[str]:
    return [
        f"{module} imports {other}"
        for module, others in sorted(edges.items())
        for other in sorted(others)
        if module not in UNRESTRICTED_PACKAGES
        and other not in UNRESTRICTED_PACKAGES
        and layer_of(other) > layer_of(module)
    ]


def test_imports_have_no_cycle():
    assert find_cycle(import_graph()) == []


def test_no_module_imports_a_higher_layer():
    assert upward_imports(import_graph()) == []


def test_only_lab_imports_lab():
    found = [
        f"{module} imports {other}"
        for module, others in import_graph().items()
        for other in others
        if not module.startswith("lab") and (other == "lab" or other.startswith("lab."))
    ]
    assert found == []


def test_the_checks_can_fail():
    known = {"cloverwell.back.pool", "cloverwell.request", "cloverwell.front.port"}
    hidden = "if TYPE_CHECKING:\n    from cloverwell.back.pool import Pool\n"
    assert imported(hidden, known) == {"cloverwell.back.pool"}
    assert imported("def late():\n    from cloverwell.back import pool\n", known) == {"cloverwell.back.pool"}
    assert find_cycle({"a": {"b"}, "b": {"a"}})
    edges = {"cloverwell.request": {"cloverwell.back.pool"}, "cloverwell.front.port": {"cloverwell.request"}}
    assert upward_imports(edges) == ["cloverwell.request imports cloverwell.back.pool"]
    with pytest.raises(AssertionError):
        layer_of("cloverwell.unheard_of")


# Packages that `run` loads -------------------------------------------------------------------------

LIST_LOADED = """
import sys
from importlib.metadata import packages_distributions
before = set(sys.modules)
import cloverwell.program
tops = {name.partition(".")[0] for name in set(sys.modules) - before}
owners = packages_distributions()
for top in sorted(tops - set(sys.stdlib_module_names)):
    print(top, *sorted(set(owners.get(top, []))))
"""


def installed_requires(name: str) -> list[str]:
    """Returns the requirements of a distribution; none if a marker kept it from being installed here."""
    try:
        return requires(name) or []
    except PackageNotFoundError:
        return []


def required_by(names: set[str]) -> set[str]:
    """Returns the distributions and all that they require, directly or not, without extras."""
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
                end = next(
                    (i for i, char in enumerate(requirement) if not (char.isalnum() or char in "-_.")), None
                )
                queue.append(requirement[:end])
    return found


def unexpected_modules(listing: str, allowed: set[str]) -> list[str]:
    """Returns the lines `module distribution...` that belong to none of the allowed distributions."""
    found = []
    for line in listing.splitlines():
        top, *owners = line.split()
        names = {owner.lower().replace("_", "-").replace(".", "-") for owner in owners}
        if top not in ("cloverwell", "balancer") and not names & allowed:
            found.append(line)
    return found


def test_run_loads_only_twisted_and_msgspec():
    loaded = subprocess.run(
        [sys.executable, "-c", LIST_LOADED], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout
    assert "twisted" in loaded
    assert "msgspec" in loaded
    assert unexpected_modules(loaded, required_by({"Twisted", "msgspec"})) == []
    assert unexpected_modules("click click\nlab\n", required_by({"Twisted", "msgspec"})) == [
        "click click",
        "lab",
    ]


# Modules that `run` does without -------------------------------------------------------------------

UNUSED = ("asyncio", "concurrent", "email", "http.client", "ssl", "_hashlib", "subprocess", "urllib.request")
LIST_UNUSED = f"""
import sys, types
from cloverwell.unused_modules import exclude_unused_modules
exclude_unused_modules()
import cloverwell.program
from cloverwell.front import operators
loaded = [name for name in {UNUSED} if getattr(sys.modules.get(name), "__spec__", None) is not None]
print(*loaded)
"""


def test_run_loads_no_module_that_only_twisted_imports():
    # The fault: they took 9 of the 35 MB of a process at rest, and 32 MB may be told.
    def loaded(script):
        command = [sys.executable, "-c", script]
        return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout.split()

    assert loaded(LIST_UNUSED) == []
    assert "asyncio" in loaded(LIST_UNUSED.replace("exclude_unused_modules()", ""))
