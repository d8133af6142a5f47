"""docs/architecture.md names what there is: its modules, functions, log sources and links."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "architecture.md").read_text()
ROOTS = (ROOT, ROOT / "cloverwell", ROOT / "balancer")
SOURCES = [path for package in ("cloverwell", "balancer") for path in sorted((ROOT / package).rglob("*.py"))]
CODE = "\n".join(path.read_text() for path in SOURCES)

# The page gives a module's path from the root, from `cloverwell/` or, in the text on decisions, `balancer/`.
MODULES = sorted(set(re.findall(r"(?<![\w/.*])((?:\w+/)*\w+\.py)\b", PAGE)))
PACKAGES = sorted(set(re.findall(r"`((?:\w+/)+)`", PAGE)))
OWNERS = "dispatcher|Facade|Balancer|Proxy|Request|Attempt|Pool|Serving"
FUNCTIONS = sorted(set(re.findall(rf"\b(?:{OWNERS})\.(?!py\b)(\w+)", PAGE)))
LINKS = sorted(set(re.findall(r"\]\(([^)#]+)\)", PAGE)))


def first_cells(heading: str) -> list[str]:
    """The first cells of the rows of the table whose first column has that heading."""
    _, _, table = PAGE.partition(f"\n| {heading} |")
    rows = table.partition("\n\n")[0].splitlines()[2:]
    return [row.split("|")[1] for row in rows]


def log_sources() -> set[str]:
    """The first argument of each call of the log."""
    return set(re.findall(r'(?:log|_log)\.(?:info|warn)\(\s*"([\w ]+)"', CODE)) | {"fault"}


def test_the_page_is_read():
    assert len(MODULES) > 40
    assert len(FUNCTIONS) > 8
    assert len(LINKS) > 3
    assert len(first_cells("source")) > 15


@pytest.mark.parametrize("module", MODULES)
def test_each_module_exists(module):
    # A bare name in a diagram may stand in any package.
    found = any((root / module).exists() for root in ROOTS)
    assert found or ("/" not in module and any(path.name == module for path in SOURCES))


@pytest.mark.parametrize("package", PACKAGES)
def test_each_package_exists(package):
    assert any((root / package).is_dir() for root in ROOTS)


@pytest.mark.parametrize("function", FUNCTIONS)
def test_each_function_exists(function):
    assert re.search(rf"def {function}\b", CODE)


@pytest.mark.parametrize("link", LINKS)
def test_each_link_leads_to_a_page(link):
    assert (ROOT / "docs" / link).exists()


def test_the_log_sources_of_the_page_are_those_of_the_code():
    named = {name for cell in first_cells("source") for name in re.findall(r"`(\w+)`", cell)}
    assert named == log_sources()


def test_each_counter_of_the_code_is_on_the_page():
    literal = set(re.findall(r'(?:counts|counters)\.(?:add|highest)\(\s*"([\w.]+)"', CODE))
    assert literal
    assert {name for name in literal if f"`{name}`" not in PAGE} == set()
