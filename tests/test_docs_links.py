"""Links between the project's pages lead to pages, and to headings, that exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = sorted(
    [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md"), *(ROOT / "examples").rglob("*.md")],
)
LINK = re.compile(r"\[[^\]\n]*\]\(([^)\s]+)\)")
HEADING = re.compile(r"^#+ +(.*)$", re.MULTILINE)


def anchor(heading: str) -> str:
    """The anchor of a heading as a page viewer makes it: lower case, hyphens for spaces, no punctuation."""
    return re.sub(r"[^\w\- ]", "", heading.strip().lower()).replace(" ", "-")


def leads_somewhere(page: Path, fragment: str) -> bool:
    """Whether the linked file is there and, where a heading is named, that heading in it."""
    if not page.exists():
        return False
    return not fragment or fragment in map(anchor, HEADING.findall(page.read_text()))


def broken_links(page: Path, text: str) -> list[str]:
    """The relative links in a page's text that lead nowhere."""
    broken = []
    for target in LINK.findall(text):
        if re.match(r"[a-z]+:", target):
            continue
        path, _, fragment = target.partition("#")
        linked = (page.parent / path).resolve() if path else page
        if not leads_somewhere(linked, fragment):
            broken.append(target)
    return broken


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.relative_to(ROOT).as_posix())
def test_links_of_a_page_lead_somewhere(page):
    assert broken_links(page, page.read_text()) == []


def test_pages_are_found():
    assert len(PAGES) > 15


@pytest.mark.parametrize("target", ["no-such-page.md", "README.md#no-such-heading"])
def test_a_broken_link_is_found(target):
    assert broken_links(ROOT / "CHANGELOG.md", f"See [a page]({target}).") == [target]


def test_a_sound_link_is_let_pass():
    text = "[a page](README.md), [a heading](README.md#build-test-start), [elsewhere](https://example.org/x)"
    assert broken_links(ROOT / "CHANGELOG.md", text) == []
