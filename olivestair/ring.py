"""The ring's arithmetic: tokens in order, who owns them, and the way clockwise. It decides nothing."""

from bisect import bisect_left
from collections.abc import Hashable, Iterator
from hashlib import blake2b, shake_128
from struct import unpack
from typing import Generic, TypeVar

Owner = TypeVar("Owner", bound=Hashable)


def point(name: str) -> int:
    """The ring's hash: the same in every process and at every start."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def tokens(name: str, number: int) -> list[int]:
    """The tokens of a server of that name, in order: all from one long digest, as ketama takes several."""
    return sorted(unpack(f">{number}Q", shake_128(name.encode()).digest(8 * number)))


class Ring(Generic[Owner]):
    """Changes gather until `settle`, so that a list with many entries sorts the tokens once."""

    def __init__(self) -> None:
        self._order: list[int] = []
        self._added: list[int] = []
        self._removed = False
        self._owners: dict[int, Owner] = {}
        self._tokens: dict[Owner, list[int]] = {}

    def __len__(self) -> int:
        """How many owners have tokens."""
        return len(self._tokens)

    def __contains__(self, owner: object) -> bool:
        return owner in self._tokens

    def put(self, owner: Owner, name: str, number: int) -> None:
        """Gives the owner that many tokens; nothing changes if it has them."""
        if len(self._tokens.get(owner, ())) != number:
            self.remove(owner)
            self._tokens[owner] = tokens(name, number)
            self._added += self._tokens[owner]
            self._owners.update(dict.fromkeys(self._tokens[owner], owner))

    def remove(self, owner: Owner) -> None:
        for token in self._tokens.pop(owner, ()):
            del self._owners[token]
            self._removed = True

    def settle(self) -> None:
        """Merges what was added into the order: a whole sort for each list cost a large fleet its CPU."""
        if self._removed:
            self._order = [token for token in self._order if token in self._owners]
            # A token may have gone and come back within one list.
            self._added = list(set(self._added).intersection(self._owners).difference(self._order))
        if self._added:
            self._order += self._added
            self._order.sort()
        self._added, self._removed = [], False

    def clockwise(self, place: int) -> Iterator[tuple[int, Owner]]:
        """All tokens with their owners, from the first at or after the place, wrapping to zero."""
        start, size = bisect_left(self._order, place), len(self._order)
        for step in range(start, start + size):
            token = self._order[step % size]
            yield token, self._owners[token]
