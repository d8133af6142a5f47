"""The endpoint list of discovery's stand-in with its revisions, and its seeded changes. No I/O."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

import msgspec

from cloverwell.membership.endpoint_list import Endpoint, EndpointList
from lab.scale.plan import CACHE_NODE

KEPT_REMOVALS = 1000  # a watch that is behind more of them gets the whole list
IN_SERVICE, DRAINING, REMOVED = "in_service", "terminating", "terminated"
DIGEST_CHARACTERS = 16


@dataclass(frozen=True, slots=True)
class Removal:
    """A member that was removed, and the revision that removed it."""

    revision: int
    member: Endpoint


class MemberList:
    """The members as they are now, and the revision that last changed each."""

    def __init__(self, revision: int, members: Iterable[Endpoint]) -> None:
        """Begins with these members, all of them as of `revision`."""
        self.revision = revision
        self.members = {member.id: member for member in members}
        self._changed_in = dict.fromkeys(self.members, revision)  # id to revision
        self._removals: OrderedDict[str, Removal] = OrderedDict()
        self._oldest_known_revision = revision  # changes after an older one are not known completely

    def apply(self, revision: int, changed: Iterable[Endpoint]) -> None:
        """Applies a change. Raises ValueError unless `revision` is the next one."""
        if revision != self.revision + 1:
            raise ValueError(f"revision {revision} does not follow {self.revision}")
        self.revision = revision
        for member in changed:
            self._removals.pop(member.id, None)
            if member.phase == REMOVED:
                self._remove(member)
            else:
                self.members[member.id] = member
                self._changed_in[member.id] = revision
        while len(self._removals) > KEPT_REMOVALS:
            _, oldest = self._removals.popitem(last=False)
            self._oldest_known_revision = oldest.revision

    def _remove(self, member: Endpoint) -> None:
        self.members.pop(member.id, None)
        self._changed_in.pop(member.id, None)
        self._removals[member.id] = Removal(self.revision, member)

    def listing(self, after: int | None = None) -> EndpointList:
        """Returns what changed after the revision `after`, or the whole list where that is not known."""
        if after is None or after < self._oldest_known_revision or after > self.revision:
            return EndpointList(self.revision, True, list(self.members.values()))
        changed = [self.members[name] for name, revision in self._changed_in.items() if revision > after]
        removed = [removal.member for removal in self._removals.values() if removal.revision > after]
        return EndpointList(self.revision, False, removed + changed)


def digest(members: Iterable[Endpoint]) -> str:
    """Returns a short text that is equal for equal lists, in whatever order their members are."""
    rows = sorted((member.id, member.host_port, member.phase) for member in members)
    return hashlib.sha256(msgspec.json.encode(rows)).hexdigest()[:DIGEST_CHARACTERS]


def next_change(members: MemberList, seed: int, nodes: int) -> list[Endpoint]:
    """Returns the members that the next revision changes, as they are then.

    Draining nodes are replaced by new ones; if there are none, `nodes` others begin to drain. These are drawn
    from the seed and the revision alone, so that a restarted discovery continues in the same way.
    """
    draining = [member for member in members.members.values() if member.phase == DRAINING]
    if draining:
        return _replace_all(draining, members.revision + 1)
    serving = sorted(member.id for member in members.members.values() if member.flavor == CACHE_NODE)
    drawn = Random(f"change {seed} {members.revision}").sample(serving, min(nodes, len(serving)))
    return [msgspec.structs.replace(members.members[name], phase=DRAINING) for name in drawn]


def _replace_all(draining: list[Endpoint], revision: int) -> list[Endpoint]:
    changed = []
    for index, member in enumerate(draining):
        changed.append(msgspec.structs.replace(member, phase=REMOVED))
        successor = f"node-r{revision}-{index}"
        changed.append(msgspec.structs.replace(member, id=successor, phase=IN_SERVICE))
    return changed
