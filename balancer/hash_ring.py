"""The ring's arithmetic: tokens in order, who owns them, and the way clockwise. It decides nothing."""

from bisect import bisect_left, insort
from collections.abc import Hashable, Iterable, Iterator
from hashlib import blake2b, shake_128
from itertools import chain
from struct import unpack
from typing import Generic, TypeVar

Owner = TypeVar("Owner", bound=Hashable)
BUCKET_BITS = 8  # first bits of a token, which name its bucket
BUCKET_SHIFT = 64 - BUCKET_BITS
MANY = 8  # tokens a bucket, over which it costs less to sort than to find the place of each


def ring_position(name: str) -> int:
    """The ring's hash: the same in every process and at every start."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def tokens(name: str, number: int) -> list[int]:
    """The tokens of a server of that name, in order: all from one long digest, as ketama takes several."""
    return sorted(unpack(f">{number}Q", shake_128(name.encode()).digest(8 * number)))


class Ring(Generic[Owner]):
    """All tokens in order, in buckets by their first bits: a change costs its own tokens, not all of them.

    Tokens are hashes, so buckets fill evenly: at 1,000 owners with 128 tokens each holds some 500."""

    def __init__(self) -> None:
        """The ring has no owners yet."""
        self._buckets: list[list[int]] = [[] for _ in range(1 << BUCKET_BITS)]
        self._owners: dict[int, Owner] = {}
        self._tokens: dict[Owner, list[int]] = {}

    def __len__(self) -> int:
        """How many owners have tokens."""
        return len(self._tokens)

    def __contains__(self, owner: object) -> bool:
        """Whether the owner has tokens."""
        return owner in self._tokens

    def add(self, owner: Owner, name: str, number: int) -> None:
        """Gives the owner that many tokens; nothing changes if it has them."""
        self.add_all([(owner, name, number)])

    def add_all(self, wanted: Iterable[tuple[Owner, str, int]]) -> None:
        """The same for several owners, each there once: at a start that is a whole fleet."""
        added: list[int] = []
        for owner, name, number in wanted:
            if len(self._tokens.get(owner, ())) != number:
                self.remove(owner)
                mine = self._tokens[owner] = tokens(name, number)
                self._owners.update(dict.fromkeys(mine, owner))
                added += mine
        if len(added) > MANY * len(self._buckets):
            for token in added:
                self._buckets[token >> BUCKET_SHIFT].append(token)
            for bucket in self._buckets:
                bucket.sort()
        else:
            for token in added:
                insort(self._buckets[token >> BUCKET_SHIFT], token)

    def remove(self, owner: Owner) -> None:
        """Takes the owner's tokens, if it has any."""
        for token in self._tokens.pop(owner, ()):
            del self._owners[token]
            bucket = self._buckets[token >> BUCKET_SHIFT]
            del bucket[bisect_left(bucket, token)]

    def clockwise(self, place: int) -> Iterator[tuple[int, Owner]]:
        """All tokens with their owners, from the first at or after the place, wrapping to zero."""
        first = place >> BUCKET_SHIFT
        begun = self._buckets[first]
        start = bisect_left(begun, place)
        buckets = chain(self._buckets[first + 1 :], self._buckets[:first])
        for token in chain(begun[start:], chain.from_iterable(buckets), begun[:start]):
            yield token, self._owners[token]
