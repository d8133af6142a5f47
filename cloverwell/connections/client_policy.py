"""Decides which clients' connections are kept, and which are closed to make room. No I/O.

The caller reports what happens to each connection and closes those that `choose_expired`,
`choose_to_make_room` and `choose_to_admit_requests` return. It may find that one can't be closed (a request
is unread in the socket's buffer) and then calls `record_close_failed`. Times are milliseconds of one clock
that never goes back.

A close between requests loses nothing, since the client repeats a request that crosses the close, but it
costs the client a handshake. So the client that is least likely to send a request soon is closed first. That
is estimated from two observations of all clients:

- how long after the accept a client sends its first request: a client that is silent far beyond that time
  probably never sends any;
- how often a client that has sent one request, or a few, or many, sends another one (`IdleStatistics`).

A client that has not taken all bytes of its responses is not idle, whoever holds the rest: it is closed once
it has taken nothing for too long (`ResponseDelivery`).
"""

from __future__ import annotations

import math
import sys
from dataclasses import dataclass
from typing import Generic, NamedTuple

from cloverwell.connections.client_states import ClientStage, ClientStates, ClientT, idle_group
from cloverwell.connections.close_reason import CloseReason
from cloverwell.connections.idle_statistics import ArrivalRate, IdleStatistics, PeakEstimate
from cloverwell.connections.response_delivery import ResponseDelivery

__all__ = ["ClientConnectionPolicy", "ClientStage", "CloseClient", "CloseReason"]

# Timeouts after which a connection is closed, even if descriptors are available.
FIRST_REQUEST_TIMEOUT_MS = 1900.0  # The platform's limit for a silent connection is 2 s.
PARTIAL_COMMAND_TIMEOUT_MS = 2400.0  # A client may take 2 s for a command, and must get an error within 3 s.
IDLE_TIMEOUT_MS = 10_000.0  # the time after which a client without an open request is disconnected
NOT_READING_TIMEOUT_MS = 10_000.0  # the time after which a client that takes none of its responses is closed
# The same while no descriptor is available, if the kernel has all that is left of the responses.
NOT_READING_UNDER_PRESSURE_MS = 2000.0
CLOSE_TIMEOUT_MS = 1000.0  # the time that a client has to close its side once the proxy's side is closed
CLOSE_TIMEOUT_UNDER_PRESSURE_MS = 100.0  # that time while no descriptor is available

# Ages below which a connection is never closed to make room.
MIN_FIRST_REQUEST_GRACE_MS = 40.0
MAX_FIRST_REQUEST_GRACE_MS = 400.0
INITIAL_FIRST_REQUEST_GRACE_MS = 150.0  # the grace until the first requests have been observed
GRACE_FACTOR = 3.0  # the grace is this multiple of the time in which 95% of clients send a first request
PARTIAL_COMMAND_GRACE_MS = 500.0
RESPONSE_DELIVERY_MS = 20.0  # the time for which a response may still be on its way to its client
# The time after which a client that seems idle is observed for undelivered bytes. A client that soon sends
# its next request costs no observation.
IDLE_OBSERVATION_MS = 250.0

# The share of the clients' descriptors above which connections without a request get the shortest grace.
MAX_SILENT_SHARE = 0.5
RESERVE_WINDOW_MS = 150.0  # Descriptors are reserved for the clients that arrive within this time.
ARRIVAL_RATE_WINDOW_MS = 300.0
# The most connections accepted in one iteration of the event loop. Requests on other connections wait
# meanwhile.
MAX_ACCEPTS_PER_ITERATION = 32


class ReserveLimits(NamedTuple):
    """The limits of the number of descriptors that are kept free for clients that will connect."""

    min_count: int
    max_share: float  # as a share of the clients' descriptors


RESERVE = ReserveLimits(min_count=4, max_share=0.25)


@dataclass(slots=True, frozen=True)
class CloseClient(Generic[ClientT]):
    """A connection to close.

    `abort`: the descriptor is freed at once, without waiting until the client closes its side.
    """

    client: ClientT
    reason: CloseReason
    abort: bool = False


class ClientConnectionPolicy(Generic[ClientT]):
    """Decides which clients' connections to close, from the events that are recorded."""

    def __init__(self, max_clients: int, max_requesting: int, now: float) -> None:
        """Start without connections.

        Args:
            max_clients: the most connections that clients can hold.
            max_requesting: the most connections that clients open in order to send requests. While so many
                connections that have sent requests are open, clients open no other one for a further
                request, even if descriptors are available.
            now: the time in ms.
        """
        self.max_clients = max_clients
        self.max_requesting = max_requesting
        self.states: ClientStates[ClientT] = ClientStates()
        self.delivery: ResponseDelivery[ClientT] = ResponseDelivery()
        self._idle_observed_until_ms = now  # Clients that became idle until then have been observed.
        self._idle_statistics = [IdleStatistics(0.3), IdleStatistics(0.7), IdleStatistics(0.9)]
        self._first_request_ms = PeakEstimate(INITIAL_FIRST_REQUEST_GRACE_MS / GRACE_FACTOR)
        self._arrivals = ArrivalRate(ARRIVAL_RATE_WINDOW_MS, now)

    # Events -------------------------------------------------------------------------------------

    def record_opened(self, client: ClientT, now: float, source: str = "") -> None:
        """Record that a connection has been accepted; `source` is the client's host."""
        self.states.add(client, source, now)
        self._arrivals.count(now)

    def record_request_started(self, client: ClientT, now: float) -> None:
        """Record that the client has sent a request."""
        state = self.states.by_client.get(client)
        if state is None or state.stage is ClientStage.CLOSING:
            return
        if not state.request_count:
            self._first_request_ms.learn(now - state.since_ms)
        elif state.stage is ClientStage.IDLE or state.stage is ClientStage.RECEIVING:
            self._idle_statistics[idle_group(state.request_count)].learn(True)
        self.states.move(client, state, ClientStage.ACTIVE, now)
        # The count gives the idle group that the client leaves, so that it changes only after the move.
        state.request_count += 1

    def record_no_open_request(
        self, client: ClientT, now: float, partial_command: bool, first_byte_ms: float = math.inf
    ) -> None:
        """Record that no request of the client is open.

        Args:
            client: the connection.
            now: the time in ms.
            partial_command: whether a part of a command has come.
            first_byte_ms: when the first byte of that part came, which may be before the last response.
        """
        state = self.states.by_client.get(client)
        if state is None or state.stage is ClientStage.CLOSING:
            return
        if partial_command:
            stage = ClientStage.PARTIAL_COMMAND
        elif client in self.delivery.clients:
            stage = ClientStage.RECEIVING
        else:
            stage = ClientStage.IDLE if state.request_count else ClientStage.NEW
        if stage is state.stage:
            # The time in the stage is not reset, so that a malformed command does not extend a timeout.
            return
        self.states.move(client, state, stage, now)
        if partial_command and first_byte_ms < now:
            self.states.backdate_partial_command(state, first_byte_ms)

    def record_partial_command_bytes(self, client: ClientT, now: float) -> None:
        """Record that more bytes of a partial command have come."""
        if (state := self.states.by_client.get(client)) is not None:
            state.last_bytes_ms = now

    def record_closing(self, client: ClientT, now: float) -> None:
        """Record that the proxy has closed its side of the connection."""
        state = self.states.by_client.get(client)
        if state is None or state.stage is ClientStage.CLOSING:
            return
        if state.stage is ClientStage.IDLE:
            self._idle_statistics[idle_group(state.request_count)].learn(False)
        self.states.move(client, state, ClientStage.CLOSING, now)

    def record_delivery(
        self, client: ClientT, acknowledged_bytes: int, undelivered_bytes: int, now: float
    ) -> None:
        """Record how many bytes the client has acknowledged since the beginning, and how many it has to take.

        The caller observes the clients of `delivery.clients` every now and then, and those that
        `choose_to_observe` returns.
        """
        if (state := self.states.by_client.get(client)) is None:
            return
        # Of a client that seemed idle until now, it is not known whether it has taken bytes meanwhile.
        since_ms = state.since_ms if state.stage is ClientStage.IDLE else now
        self.delivery.observe(client, acknowledged_bytes, undelivered_bytes, now, since_ms)
        if state.stage is ClientStage.IDLE and undelivered_bytes:
            self.states.move(client, state, ClientStage.RECEIVING, now)
        elif state.stage is ClientStage.RECEIVING and not undelivered_bytes:
            self.states.move(client, state, ClientStage.IDLE, now)

    def record_closed(self, client: ClientT) -> None:
        """Record that the connection is closed on both sides."""
        self.states.remove(client)
        self.delivery.forget(client)

    def record_close_failed(self, client: ClientT, now: float) -> None:
        """Record that a close failed, since bytes are unread; the connection is kept for a while."""
        if (state := self.states.by_client.get(client)) is not None:
            state.keep_until_ms = now + RESPONSE_DELIVERY_MS

    # Estimates ----------------------------------------------------------------------------------

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self.states.by_client)

    @property
    def active_count(self) -> int:
        """Return the number of connections with an open request."""
        return self.states.active_count

    def stage_of(self, client: ClientT) -> ClientStage | None:
        """Return the stage of the client's connection, or None if the client is unknown."""
        state = self.states.by_client.get(client)
        return None if state is None else state.stage

    def first_request_grace_ms(self) -> float:
        """Return the ms for which a connection without a request is kept even if its descriptor is needed."""
        usual_ms = GRACE_FACTOR * self._first_request_ms.value
        return min(max(MIN_FIRST_REQUEST_GRACE_MS, usual_ms), MAX_FIRST_REQUEST_GRACE_MS)

    def reserve_count(self, now: float) -> int:
        """Return how many descriptors to keep free for clients that connect before the next check."""
        wanted = math.ceil(self._arrivals.per_ms(now) * RESERVE_WINDOW_MS)
        return int(min(max(RESERVE.min_count, wanted), max(1.0, RESERVE.max_share * self.max_clients)))

    def is_mostly_silent(self) -> bool:
        """Return whether so many connections are without a request that they probably never send one."""
        return len(self.states.new) > MAX_SILENT_SHARE * self.max_clients

    def choose_to_observe(self, now: float, min_idle_ms: float) -> list[ClientT]:
        """Return the clients that have seemed idle for so long, and were not returned before."""
        until_ms = now - min_idle_ms
        found = self.states.idle_since(self._idle_observed_until_ms, until_ms)
        self._idle_observed_until_ms = max(until_ms, self._idle_observed_until_ms)
        return found

    # Choices of connections to close ------------------------------------------------------------

    def choose_expired(self, now: float) -> list[CloseClient[ClientT]]:
        """Return the connections whose timeout is over, even if descriptors are available."""
        states = self.states
        limits = [
            (states.new, FIRST_REQUEST_TIMEOUT_MS, CloseReason.SILENT),
            (states.partial, PARTIAL_COMMAND_TIMEOUT_MS, CloseReason.PARTIAL_COMMAND),
            *((clients, IDLE_TIMEOUT_MS, CloseReason.IDLE) for clients in states.idle),
        ]
        found: list[CloseClient[ClientT]] = []
        for clients, timeout_ms, reason in limits:
            found += [CloseClient(client, reason) for client in states.older_than(clients, now, timeout_ms)]
        found += self._choose_not_reading(now, NOT_READING_TIMEOUT_MS)
        return found + self._choose_not_closed_by_client(now, CLOSE_TIMEOUT_MS)

    def choose_to_make_room(self, now: float, wanted: int, available: int) -> list[CloseClient[ClientT]]:
        """Return connections to close, those least likely to send a request first.

        They are up to twice `wanted` idle ones, and behind them all clients that take nothing.

        `wanted` descriptors are needed, and `available` are free. Connections that are closing free their
        descriptors within moments, so they count as free; they are aborted only if no descriptor is free.
        """
        found: list[CloseClient[ClientT]] = []
        abort = available <= 0
        if abort:
            found += self._choose_not_closed_by_client(now, CLOSE_TIMEOUT_UNDER_PRESSURE_MS, wanted)
        else:
            wanted -= len(self.states.closing)
        limit = 2 * wanted
        if len(found) < limit:
            found += self._choose_silent(now, limit - len(found), abort)
        if len(found) < limit:
            found += self._choose_stalled_partial_commands(now, limit - len(found))
        if len(found) < limit:
            found += self._choose_idle(now, limit - len(found), abort)
        found = found[: max(0, limit)]
        if abort:
            # All of them, since the caller can't close those for which the process still buffers bytes.
            found += self._choose_stalled_receivers(now)
        return found

    def choose_to_admit_requests(self, now: float) -> list[CloseClient[ClientT]]:
        """Return the connections to close so that clients can open new ones for further requests.

        These are needed if the connections of clients that send requests come close to `max_requesting`.
        """
        slow_writers = [client for client in self.states.partial if self._writes_slowly(client)]
        idle_count = sum(len(clients) for clients in self.states.idle)
        used = self.active_count + self.states.receiving_count + idle_count + len(slow_writers)
        free = self.max_requesting - used
        wanted = min(self.reserve_count(now), self.max_requesting // 2) - free
        found = self._choose_idle(now, max(0, wanted), abort=False)
        # If few connections are left, each one that holds a slow partial command could serve many clients.
        wanted = RESERVE.min_count - free - len(found)
        old = [client for client in slow_writers if self._age_ms(client, now) >= PARTIAL_COMMAND_GRACE_MS]
        return found + [CloseClient(client, CloseReason.PARTIAL_COMMAND) for client in old[: max(0, wanted)]]

    def _age_ms(self, client: ClientT, now: float) -> float:
        """Return how long in ms the client has been in its stage."""
        return now - self.states.by_client[client].since_ms

    def _writes_slowly(self, client: ClientT) -> bool:
        """Return whether a partial command has come in several pieces, so that a request will follow."""
        state = self.states.by_client[client]
        return state.last_bytes_ms > state.since_ms

    def _choose_not_reading(self, now: float, timeout_ms: float) -> list[CloseClient[ClientT]]:
        """Return the clients that have taken nothing for so long of what there is to take."""
        return [
            CloseClient(client, CloseReason.NOT_READING, abort=True)
            for client in self.delivery.stalled(now, timeout_ms)
            if self.stage_of(client) is not ClientStage.CLOSING
        ]

    def _choose_not_closed_by_client(
        self, now: float, timeout_ms: float, limit: int = sys.maxsize
    ) -> list[CloseClient[ClientT]]:
        late = [
            client
            for client in self.states.older_than(self.states.closing, now, timeout_ms)
            if not self._still_reads(client, now)
        ]
        return [CloseClient(client, CloseReason.CLOSE_TIMEOUT, abort=True) for client in late[:limit]]

    def _still_reads(self, client: ClientT, now: float) -> bool:
        """Return whether the client has responses to take, and has not yet taken nothing for too long."""
        return self.delivery.stalled_ms(client, now) < NOT_READING_TIMEOUT_MS

    def _choose_silent(self, now: float, limit: int, abort: bool) -> list[CloseClient[ClientT]]:
        # If most connections are silent, other clients wait to be accepted, so the grace is the shortest one.
        grace_ms = MIN_FIRST_REQUEST_GRACE_MS if self.is_mostly_silent() else self.first_request_grace_ms()
        old = self.states.older_than(self.states.new, now, grace_ms)
        count_by_source = self.states.new_by_source
        if len(count_by_source) > 1:
            # Connections of the source with most silent ones come first, the oldest of each source in front.
            old.sort(key=lambda client: -count_by_source[self.states.by_client[client].source])
        return [CloseClient(client, CloseReason.SILENT, abort) for client in old[:limit]]

    def stalled_partial_commands(self, now: float, stalled_ms: float) -> list[ClientT]:
        """Return the clients of whose partial commands nothing has come for so long, the longest first."""
        # The time of the last bytes counts too: by age alone, a client that writes slowly would be closed
        # before its command is complete.
        old = self.states.older_than(self.states.partial, now, stalled_ms)
        last_bytes_ms = {client: self.states.by_client[client].last_bytes_ms for client in old}
        stalled = [client for client in old if now - last_bytes_ms[client] >= stalled_ms]
        stalled.sort(key=last_bytes_ms.__getitem__)
        return stalled

    def _choose_stalled_partial_commands(self, now: float, limit: int) -> list[CloseClient[ClientT]]:
        stalled = self.stalled_partial_commands(now, PARTIAL_COMMAND_GRACE_MS)
        return [CloseClient(client, CloseReason.PARTIAL_COMMAND) for client in stalled[:limit]]

    def _choose_idle(self, now: float, limit: int, abort: bool) -> list[CloseClient[ClientT]]:
        """Return up to `limit` idle clients to close, longest idle first.

        The idle time is weighted, so that a client of a group that seldom sends another request comes sooner.
        """
        ranked: list[tuple[float, int, ClientT]] = []
        for clients, statistics in zip(self.states.idle, self._idle_statistics, strict=True):
            weight = 1.05 - statistics.share
            for client in self.states.older_than(clients, now, RESPONSE_DELIVERY_MS, limit):
                ranked.append((-self._age_ms(client, now) * weight, len(ranked), client))
        ranked.sort()
        return [
            CloseClient(client, CloseReason.MAKE_ROOM, abort and self._had_time_to_read(client, now))
            for _, _, client in ranked[:limit]
        ]

    def _choose_stalled_receivers(self, now: float) -> list[CloseClient[ClientT]]:
        """Return the clients without an open request that take nothing, the longest stalled one first.

        The kernel goes on delivering what it has taken. A client for which the process still buffers bytes is
        not closed by the caller.
        """
        return [
            CloseClient(client, CloseReason.MAKE_ROOM, abort=True)
            for client in self.delivery.stalled(now, NOT_READING_UNDER_PRESSURE_MS)
            if self.stage_of(client) is ClientStage.RECEIVING
        ]

    def _had_time_to_read(self, client: ClientT, now: float) -> bool:
        """Return whether the client has had time to read its response; an abort discards unread bytes."""
        return self._age_ms(client, now) >= CLOSE_TIMEOUT_UNDER_PRESSURE_MS
