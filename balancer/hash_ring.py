"""A consistent-hashing ring: positions of keys, tokens of owners, and the walk clockwise."""

from bisect import bisect_left, insort
from collections.abc import Hashable, Iterable, Iterator
from hashlib import blake2b, shake_128
from itertools import chain
from struct import unpack
from typing import Generic, TypeVar

Owner = TypeVar("Owner", bound=Hashable)
BUCKET_BITS = 8  # the number of leading bits of a token that select its bucket
BUCKET_SHIFT = 64 - BUCKET_BITS
# From this many new tokens per bucket on, sorting the buckets is faster than inserting each token in order.
SORT_THRESHOLD = 8


def ring_position(name: str) -> int:
    """Returns the position of a key on the ring, a 64-bit hash that is the same in every process."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def tokens(name: str, count: int) -> list[int]:
    """Returns the sorted tokens of the server with that name; all are parts of one digest, as in ketama."""
    return sorted(unpack(f">{count}Q", shake_128(name.encode()).digest(8 * count)))


class Ring(Generic[Owner]):
    """A ring that keeps all tokens sorted, in buckets by their leading bits.

    Thanks to the buckets, an update costs as much as its own tokens, whatever the size of the ring. Tokens
    are hashes, so the buckets fill evenly: with 1,000 owners of 128 tokens each, a bucket holds about 500.
    """

    def __init__(self) -> None:
        """Makes a ring without owners."""
        self._buckets: list[list[int]] = [[] for _ in range(1 << BUCKET_BITS)]
        self._owners: dict[int, Owner] = {}
        self._tokens: dict[Owner, list[int]] = {}

    def __len__(self) -> int:
        """Returns the number of owners that have tokens."""
        return len(self._tokens)

    def __contains__(self, owner: object) -> bool:
        """Returns whether the owner has tokens."""
        return owner in self._tokens

    def add(self, owner: Owner, name: str, count: int) -> None:
        """Gives the owner `count` tokens derived from `name`; an owner that has as many keeps them."""
        self.add_all([(owner, name, count)])

    def add_all(self, items: Iterable[tuple[Owner, str, int]]) -> None:
        """Adds several distinct owners, as `add` adds one; at a start these are the whole fleet."""
        added: list[int] = []
        for owner, name, count in items:
            if len(self._tokens.get(owner, ())) != count:
                self.remove(owner)
                owner_tokens = self._tokens[owner] = tokens(name, count)
                self._owners.update(dict.fromkeys(owner_tokens, owner))
                added += owner_tokens
        if len(added) > SORT_THRESHOLD * len(self._buckets):
            for token in added:
                self._buckets[token >> BUCKET_SHIFT].append(token)
            for bucket in self._buckets:
                bucket.sort()
        else:
            for token in added:
                insort(self._buckets[token >> BUCKET_SHIFT], token)

    def remove(self, owner: Owner) -> None:
        """Removes the owner's tokens, if it has any."""
        for token in self._tokens.pop(owner, ()):
            del self._owners[token]
            bucket = self._buckets[token >> BUCKET_SHIFT]
            del bucket[bisect_left(bucket, token)]

    def clockwise(self, position: int) -> Iterator[tuple[int, Owner]]:
        """Yields all tokens with their owners, clockwise from the first token at or after the position."""
        first_index = position >> BUCKET_SHIFT
        first_bucket = self._buckets[first_index]
        start = bisect_left(first_bucket, position)
        other_buckets = chain(self._buckets[first_index + 1 :], self._buckets[:first_index])
        for token in chain(first_bucket[start:], chain.from_iterable(other_buckets), first_bucket[:start]):
            yield token, self._owners[token]
