"""Every source file is short enough to be read at one sitting."""

from __future__ import annotations

from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGES = ("balancer", "benchmarks", "cloverwell", "examples", "lab", "tests")
MAX_LINES = 400
SOURCES = sorted(path for package in PACKAGES for path in (ROOT / package).rglob("*.py"))


def line_count(source: str) -> int:
    """The number of lines of a source text."""
    return source.count("\n")


def test_sources_of_each_package_are_found():
    assert {path.relative_to(ROOT).parts[0] for path in SOURCES} == set(PACKAGES)


@pytest.mark.parametrize("package", PACKAGES)
def test_no_source_file_has_over_400_lines(package):
    sizes = {
        path.relative_to(ROOT).as_posix(): line_count(path.read_text())
        for path in SOURCES
        if path.relative_to(ROOT).parts[0] == package
    }
    assert {name: size for name, size in sizes.items() if size > MAX_LINES} == {}


def test_a_longer_file_would_be_found():
    assert line_count("x = 1\n" * (MAX_LINES + 1)) > MAX_LINES
