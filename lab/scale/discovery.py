"""The stand-in for discovery, as a child process: it serves its list by HTTP, whole or as a watch.

It answers at a bounded rate, in the order of the calls.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import msgspec
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from lab.scale import messages
from lab.scale.call_queue import CallQueue
from lab.scale.http_server import HttpServerConnection
from lab.scale.membership import MemberList, next_change
from lab.scale.reactor import Report, ScaleReactor, ScheduledCall

LIST_PATH = "/v1/servers"
MAX_WAIT_S = 60.0  # the longest wait that a watch may ask for
BACKLOG = 2048


@dataclass(eq=False, slots=True)
class PendingWatch:
    """A call that waits for a revision after `after`, until its time is over."""

    connection: HttpServerConnection
    after: int


class DiscoveryCounters:
    """The counters of calls, answers and bytes since a common instant."""

    def __init__(self) -> None:
        """Begins at zero, now."""
        self._since_s = time.monotonic()
        self.calls_by_second: Counter[int] = Counter()
        self.refused = 0
        self.answers = 0
        self.bytes_in = 0
        self.bytes_out = 0

    def totals(self, longest_queue: int) -> messages.DiscoveryTotals:
        """Returns the totals up to now."""
        return messages.DiscoveryTotals(
            seconds=time.monotonic() - self._since_s,
            calls=sum(self.calls_by_second.values()),
            most_calls=max(self.calls_by_second.values(), default=0),
            refused=self.refused,
            answers=self.answers,
            bytes_in=self.bytes_in,
            bytes_out=self.bytes_out,
            longest_queue=longest_queue,
        )


class DiscoveryProcess(Factory):
    """The role of the process: all answers wait in one queue, and no pending watch is refused."""

    noisy = False

    def __init__(self, reactor: ScaleReactor, start: messages.StartDiscovery, report: Report) -> None:
        """Listens on the port of the start message, and reports that it is ready."""
        self._reactor = reactor
        self._start = start
        self._report = report
        self._list = MemberList(start.known.revision, start.known.members)
        self._queue = CallQueue(start.calls_per_s, start.queue)
        self._watches: dict[PendingWatch, ScheduledCall] = {}  # the value ends the watch's wait
        self._counters = DiscoveryCounters()
        self._totals: messages.DiscoveryTotals | None = None  # set once the changes have ended
        self._next_change: ScheduledCall | None = None
        reactor.listenTCP(start.port, self, backlog=BACKLOG, interface="127.0.0.1")
        report(messages.Ready())

    def buildProtocol(self, _address: IAddress | None) -> HttpServerConnection:
        """Returns the protocol of an accepted connection."""
        return HttpServerConnection(self._handle_request, self._count_bytes)

    def _count_bytes(self, bytes_in: int, bytes_out: int) -> None:
        self._counters.bytes_in += bytes_in
        self._counters.bytes_out += bytes_out

    # Calls -------------------------------------------------------------------------------------

    def _handle_request(self, connection: HttpServerConnection, method: str, target: str) -> None:
        now = time.monotonic()
        self._counters.calls_by_second[int(now)] += 1
        url = urlsplit(target)
        if method != "GET" or url.path != LIST_PATH:
            connection.answer(404, b"")
            return
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        after = int(query["after"]) if "after" in query else None
        wait_s = min(MAX_WAIT_S, int(query.get("wait_ms", "0")) / 1000.0)
        if after is None or after != self._list.revision or not wait_s:
            self._enqueue_call(connection, after, now)
            return
        watch = PendingWatch(connection, after)
        self._watches[watch] = self._reactor.callLater(wait_s, self._end_wait, watch)

    def _enqueue_call(self, connection: HttpServerConnection, after: int | None, now: float) -> None:
        due_s = self._queue.offer(now)
        if due_s is None:
            self._counters.refused += 1
            connection.answer(503, b"")
        else:
            self._reactor.callLater(due_s - now, self._answer, connection, after)

    def _end_wait(self, watch: PendingWatch) -> None:
        del self._watches[watch]
        if watch.connection.is_connected:
            self._enqueue_watch(watch, time.monotonic())

    def _enqueue_watch(self, watch: PendingWatch, now: float) -> None:
        due_s = self._queue.put(now)
        self._reactor.callLater(due_s - now, self._answer, watch.connection, watch.after)

    def _answer(self, connection: HttpServerConnection, after: int | None) -> None:
        self._counters.answers += 1
        connection.answer(200, msgspec.json.encode(self._list.listing(after)))

    # Changes -----------------------------------------------------------------------------------

    def command(self, command: messages.Command) -> None:
        """Begins or ends the changes, and the counters with them."""
        if not isinstance(command, messages.SwitchChanges):
            return
        if command.on:
            self._begin_changes()
        else:
            self._end_changes()

    def _begin_changes(self) -> None:
        self._counters = DiscoveryCounters()
        self._queue.longest = 0
        if self._start.changes.per_s:
            self._change()

    def _end_changes(self) -> None:
        self._totals = self._counters.totals(self._queue.longest)
        if self._next_change is not None:
            self._next_change.cancel()
            self._next_change = None
        self._report(messages.ChangesEnded())

    def _change(self) -> None:
        self._next_change = self._reactor.callLater(1.0 / self._start.changes.per_s, self._change)
        changed = next_change(self._list, self._start.seed, self._start.changes.nodes)
        now = time.monotonic()
        self._list.apply(self._list.revision + 1, changed)
        self._report(messages.RevisionPublished(self._list.revision, now, changed))
        watches, self._watches = self._watches, {}
        for watch, end_of_wait in watches.items():
            end_of_wait.cancel()
            if watch.connection.is_connected:
                self._enqueue_watch(watch, now)

    def finish(self) -> messages.DiscoveryTotals:
        """Returns the totals from the first change to the last."""
        return self._totals or self._counters.totals(self._queue.longest)
