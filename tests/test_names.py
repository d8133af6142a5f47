"""The words of the field, and no others for the same things: a newcomer reads `request`, never two names."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PLACES = ("cloverwell", "lab", "tests", "docs", "balancer", "benchmarks", "examples", "README.md")
SUFFIXES = (".py", ".md", ".toml", ".txt", ".json")

# Each word that was once used, by the one that stands for it now. Parts of names count: `next_leg`.
WITHDRAWN = {
    "request": r"(?i)authoris",
    "client connection": r"(?i)acquirer",
    "attempt": r"(?<![A-Za-z])(legs?(?![a-z])|Legs?(?![a-z])|LEGS?(?![A-Z]))",
    "refusal": r"(?i)(?<![a-z])declin(?!ation)",
    "cache node": r"(?<![A-Za-z])(box(es|s)?(?![a-z])|Box|BOX)",
    "server list": r"(?i)routing.?table|TableError",
    "handover state, successor": r"(?<![A-Za-z])([Ee]state|[Hh]eirs?|_will|[Bb]equeath|[Bb]ereft)(?![a-z])",
}
# Somebody else's words that hold a withdrawn one, each with its reason. Today there are none: the settings'
# `streams-per-conn` is `attempts_per_connection` here, and `inbox`, on the simulator's wire, is no box.
EXCEPTIONS: tuple[str, ...] = ()


def withdrawn(text: str) -> list[str]:
    """The lines that hold a withdrawn word, each with what should stand there."""
    found = []
    for number, line in enumerate(text.split("\n"), 1):
        shown = line
        for word in EXCEPTIONS:
            shown = shown.replace(word, "")
        found += [
            f"{number}: {word}: {line.strip()}" for word, old in WITHDRAWN.items() if re.search(old, shown)
        ]
    return found


def files() -> list[Path]:
    found = []
    for place in PLACES:
        paths = [ROOT / place] if (ROOT / place).is_file() else sorted((ROOT / place).rglob("*"))
        found += [path for path in paths if path.suffix in SUFFIXES and path != Path(__file__)]
    return found


def test_no_withdrawn_word_is_left():
    paths = files()
    assert len(paths) > 100
    found = []
    for path in paths:
        name = path.relative_to(ROOT).as_posix()
        found += [f"{name}: its name: {line}" for line in withdrawn(name)]
        found += [f"{name}:{line}" for line in withdrawn(path.read_text())]
    assert found == []


@pytest.mark.parametrize(
    "line",
    [
        "class Authorisation:",
        "def next_leg(self) -> None:",
        "# A leg that is out",
        "the acquirer side",
        'counts.add("declined.open")',
        "BoxConnection, ON_BOXES, self._boxes",
        "def test_a_boxs_refusal():",
        "RoutingTable and the routing table",
        "self._heir_serves = self.bequeath()",
    ],
)
def test_a_withdrawn_word_is_found(line):
    assert withdrawn(line)


@pytest.mark.parametrize("line", ['part.get("inbox")', "a legacy client", "elegance", "declarations"])
def test_other_words_are_let_be(line):
    assert withdrawn(line) == []
