"""Discovery's list with its revisions, and the seeded changes of it. No I/O."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from random import Random

import msgspec

from cloverwell.membership.endpoint_list import Endpoint, EndpointList
from lab.scale.plan import CACHE_NODE

KEPT_REMOVALS = 1000  # a watch that is behind more of them is told the whole list
IN_SERVICE, DRAINING, REMOVED = "in_service", "terminating", "terminated"


class MemberList:
    """The members as they are now, and the revision that last changed each."""

    def __init__(self, revision: int, members: Iterable[Endpoint]) -> None:
        self.revision = revision
        self.members = {member.id: member for member in members}
        self._changed = dict.fromkeys(self.members, revision)
        self._removed: OrderedDict[str, tuple[int, Endpoint]] = OrderedDict()
        self._whole_before = revision  # who knows an older one is told the whole list

    def apply(self, revision: int, changed: Iterable[Endpoint]) -> None:
        """Takes a change; `revision` must be the next one."""
        if revision != self.revision + 1:
            raise ValueError(f"revision {revision} does not follow {self.revision}")
        self.revision = revision
        for member in changed:
            self._removed.pop(member.id, None)
            if member.phase == REMOVED:
                self.members.pop(member.id, None)
                self._changed.pop(member.id, None)
                self._removed[member.id] = (revision, member)
            else:
                self.members[member.id] = member
                self._changed[member.id] = revision
        while len(self._removed) > KEPT_REMOVALS:
            self._whole_before, _ = self._removed.popitem(last=False)[1]

    def listing(self, after: int | None = None) -> EndpointList:
        """The whole list, or what changed after that revision."""
        if after is None or after < self._whole_before or after > self.revision:
            return EndpointList(self.revision, True, list(self.members.values()))
        changed = [self.members[name] for name, revision in self._changed.items() if revision > after]
        removed = [member for revision, member in self._removed.values() if revision > after]
        return EndpointList(self.revision, False, removed + changed)


def digest(members: Iterable[Endpoint]) -> str:
    """A short text that is equal for equal lists, whatever their order."""
    rows = sorted((member.id, member.host_port, member.phase) for member in members)
    return hashlib.sha256(msgspec.json.encode(rows)).hexdigest()[:16]


def next_change(members: MemberList, seed: int, nodes: int) -> list[Endpoint]:
    """What the next revision changes: nodes that drain are replaced, else others are told to drain.

    It is drawn from the seed and the revision alone, so that a discovery that was restarted goes on alike.
    """
    draining = [member for member in members.members.values() if member.phase == DRAINING]
    if draining:
        return _replaced(draining, members.revision + 1)
    serving = sorted(member.id for member in members.members.values() if member.flavor == CACHE_NODE)
    drawn = Random(f"change {seed} {members.revision}").sample(serving, min(nodes, len(serving)))
    return [msgspec.structs.replace(members.members[name], phase=DRAINING) for name in drawn]


def _replaced(draining: list[Endpoint], revision: int) -> list[Endpoint]:
    changed = []
    for place, member in enumerate(draining):
        changed.append(msgspec.structs.replace(member, phase=REMOVED))
        successor = f"node-r{revision}-{place}"
        changed.append(msgspec.structs.replace(member, id=successor, phase=IN_SERVICE))
    return changed
