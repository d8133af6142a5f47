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
    "balancer": r"(?i)olivestair|decide\.py|decide\._",
    "gossip, proxy, timer wheel (modules)": r"cloverwell[./](peers|service|wheel)(?![a-z_])|peer_view",
    "membership update": r"(?i)rumour",
    "indirect probe": r"(?i)(?<![a-z])errands?(?![a-z])",
    "request handler": r"(?<![A-Za-z])[Dd]esks?(?![a-z])",
    "machine type statistics": r"(?<![A-Za-z])[Kk]in(?![a-z])",
    "connection-refused rate": r"(?i)crammed",
    "client connection state": r"(?<![A-Za-z])[Gg]uests?(?![a-z])",
    "TimerWheel": r"(?<![A-Za-z])Wheel(?![a-z])",
    "ejected": r"missed_ms",
    "CancelAttempt, CloseConnections": r"CallOff|HangUp|CALLED_OFF",
    "EndpointUpdate, EndpointUpdateFailed": r"(?<![A-Za-z])(NoNews|News)(?![A-Za-z])",
    "AttemptCount": r"(?<![A-Za-z])Tally(?![a-z])",
    "expired subscribers": r"(?i)strays",
    "return to the local control node": r"go_home",
    "BackoffPort": r"RestingPort",
    "Simulation, ClientPopulation, SimulatedClient, PlannedRequest": (
        r"(?<![A-Za-z])(Play|People|Till|Wish)(?=[(\].,:`]|$)"
    ),
    "InvariantChecker": r"(?<![A-Za-z])Judge(?![a-z])",
}
# What holds a withdrawn word and stays, each with its reason: the on-call page has old names beside new ones.
EXCEPTIONS: tuple[str, ...] = ("python -m olivestair.simhost",)


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
        "from olivestair import api",
        "from cloverwell.peers.view import View",
        "rumours: tuple[Rumour, ...]",
        "self._errands",
        "class Desk(Protocol):",
        "kin: Pace",
        "self._crammed",
        "def closed(self, guest):",
        "Wheel(reactor)",
        "server.missed_ms",
        "case f.CallOff(name, number):",
        "told: f.News | f.NoNews",
        "Tally()",
        "the strays of a control node",
        "self._go_home()",
        "class RestingPort:",
        "Play(load(name), seed)",
        "Judge(limits)",
    ],
)
def test_a_withdrawn_word_is_found(line):
    assert withdrawn(line)


@pytest.mark.parametrize("line", ['part.get("inbox")', "a legacy client", "elegance", "declarations"])
def test_other_words_are_let_be(line):
    assert withdrawn(line) == []
