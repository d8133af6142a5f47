"""Keeps the state of each client's connection, and the connections of each stage in order of age. No I/O."""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

ClientT = TypeVar("ClientT", bound=Hashable)

IDLE_GROUPS = 3  # the number of groups that `idle_group` tells apart


class ClientStage(Enum):
    """The stage of a client's connection."""

    NEW = 0  # The client has sent no request yet.
    PARTIAL_COMMAND = 1  # The client has sent a part of a command, and has no open request.
    ACTIVE = 2  # The client has an open request.
    IDLE = 3  # The client has sent requests, none is open, and it has taken all responses.
    CLOSING = 4  # The proxy has closed its side of the connection.
    RECEIVING = 5  # The client has no open request, and has not taken all bytes of its responses.


@dataclass(slots=True)
class ClientState:
    """The state of one client's connection; times in ms."""

    source: str  # the client's host
    stage: ClientStage
    since_ms: float  # when the connection entered this stage
    last_bytes_ms: float = 0.0  # when bytes of a partial command came last
    request_count: int = 0
    keep_until_ms: float = 0.0  # after a close that failed, the connection is not chosen again before then


def idle_group(request_count: int) -> int:
    """Return the group of a client that has sent one request (0), a few (1) or many (2)."""
    if request_count <= 1:
        return 0
    return 1 if request_count < 4 else 2


class ClientStates(Generic[ClientT]):
    """The state table of the clients' connections.

    Each stage except ACTIVE and RECEIVING has an ordered dict of its clients, in which the client that
    entered the stage first comes first; IDLE has one dict for each idle group. The policy reads the dicts;
    only this class changes them.
    """

    def __init__(self) -> None:
        """Start with no clients."""
        self.by_client: dict[ClientT, ClientState] = {}
        self.new: OrderedDict[ClientT, None] = OrderedDict()
        self.partial: OrderedDict[ClientT, None] = OrderedDict()
        self.idle: list[OrderedDict[ClientT, None]] = [OrderedDict() for _ in range(IDLE_GROUPS)]
        self.closing: OrderedDict[ClientT, None] = OrderedDict()
        self.active_count = 0
        self.receiving_count = 0
        self.new_by_source: Counter[str] = Counter()

    def add(self, client: ClientT, source: str, now: float) -> None:
        """Add a connection that has just been accepted."""
        self.by_client[client] = ClientState(source, ClientStage.NEW, now)
        self.new[client] = None
        self.new_by_source[source] += 1

    def remove(self, client: ClientT) -> None:
        """Remove a connection that is closed; one that is not in the table is ignored."""
        state = self.by_client.pop(client, None)
        if state is not None:
            self._leave_stage(client, state)

    def move(self, client: ClientT, state: ClientState, stage: ClientStage, now: float) -> None:
        """Move the client, whose state is `state`, to the end of another stage."""
        self._leave_stage(client, state)
        state.stage = stage
        state.since_ms = state.last_bytes_ms = now
        state.keep_until_ms = 0.0
        if stage is ClientStage.ACTIVE:
            self.active_count += 1
            return
        if stage is ClientStage.RECEIVING:
            self.receiving_count += 1
            return
        if stage is ClientStage.NEW:
            self.new_by_source[state.source] += 1
        self._clients_in_stage_of(state)[client] = None

    def backdate_partial_command(self, state: ClientState, first_byte_ms: float) -> None:
        """Set the time at which a partial command began, and keep that stage in the order of these times."""
        state.since_ms = first_byte_ms
        for other in [client for client in self.partial if self.by_client[client].since_ms > first_byte_ms]:
            self.partial.move_to_end(other)

    def older_than(
        self, clients: OrderedDict[ClientT, None], now: float, age_ms: float, limit: float = math.inf
    ) -> list[ClientT]:
        """Return up to `limit` of the clients of one stage that have been in it for `age_ms`, oldest first.

        Clients whose close failed a moment ago are left out.
        """
        found: list[ClientT] = []
        for client in clients:
            state = self.by_client[client]
            if now - state.since_ms < age_ms or len(found) >= limit:
                break
            if state.keep_until_ms <= now:
                found.append(client)
        return found

    def idle_since(self, after_ms: float, until_ms: float) -> list[ClientT]:
        """Return the idle clients that became idle after `after_ms`, and no later than `until_ms`."""
        found: list[ClientT] = []
        for clients in self.idle:
            for client in reversed(clients):
                since_ms = self.by_client[client].since_ms
                if since_ms <= after_ms:
                    break
                if since_ms <= until_ms:
                    found.append(client)
        return found

    def _leave_stage(self, client: ClientT, state: ClientState) -> None:
        if state.stage is ClientStage.ACTIVE:
            self.active_count -= 1
            return
        if state.stage is ClientStage.RECEIVING:
            self.receiving_count -= 1
            return
        if state.stage is ClientStage.NEW:
            self.new_by_source[state.source] -= 1
            if not self.new_by_source[state.source]:
                del self.new_by_source[state.source]
        self._clients_in_stage_of(state).pop(client, None)

    def _clients_in_stage_of(self, state: ClientState) -> OrderedDict[ClientT, None]:
        match state.stage:
            case ClientStage.NEW:
                return self.new
            case ClientStage.PARTIAL_COMMAND:
                return self.partial
            case ClientStage.IDLE:
                return self.idle[idle_group(state.request_count)]
        return self.closing
