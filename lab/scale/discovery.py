"""The stand-in for discovery, as a process: its list by HTTP, whole or as a watch, at a bounded rate."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import msgspec
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from lab.scale import messages
from lab.scale.call_queue import CallQueue
from lab.scale.http_server import HttpConnection
from lab.scale.membership import MemberList, next_change

MOST_WAIT_S = 60.0  # that a watch may ask for
BACKLOG = 2048


class Watch:
    """A call that waits for a revision after `after`."""

    def __init__(self, connection: HttpConnection, after: int) -> None:
        self.connection = connection
        self.after = after


class Tally:
    """What is counted, from an instant on."""

    def __init__(self) -> None:
        self._since_s = time.monotonic()
        self.calls_by_s: Counter[int] = Counter()
        self.refused = self.answers = self.bytes_in = self.bytes_out = 0

    def totals(self, longest_queue: int) -> messages.DiscoveryTotals:
        """Up to now."""
        return messages.DiscoveryTotals(
            seconds=time.monotonic() - self._since_s,
            calls=sum(self.calls_by_s.values()),
            most_calls=max(self.calls_by_s.values(), default=0),
            refused=self.refused,
            answers=self.answers,
            bytes_in=self.bytes_in,
            bytes_out=self.bytes_out,
            longest_queue=longest_queue,
        )


class Discovery(Factory):
    """All answers take their turn in one queue; those to waiting watches are never refused."""

    noisy = False

    def __init__(
        self, reactor: object, start: messages.StartDiscovery, report: Callable[[messages.Report], None]
    ) -> None:
        self._reactor = reactor
        self._start = start
        self._report = report
        self._list = MemberList(start.known.revision, start.known.members)
        self._queue = CallQueue(start.calls_per_s, start.queue)
        self._watches: dict[Watch, object] = {}  # to the delayed call that ends its wait
        self._tally = Tally()
        self._totals: messages.DiscoveryTotals | None = None  # once the changes have ended
        self._changing: object | None = None
        reactor.listenTCP(start.port, self, backlog=BACKLOG, interface="127.0.0.1")
        report(messages.Ready())

    def buildProtocol(self, addr: IAddress) -> HttpConnection:
        return HttpConnection(self._asked, self._count_bytes)

    def _count_bytes(self, bytes_in: int, bytes_out: int) -> None:
        self._tally.bytes_in += bytes_in
        self._tally.bytes_out += bytes_out

    # Calls -------------------------------------------------------------------------------------

    def _asked(self, connection: HttpConnection, method: str, target: str) -> None:
        now = time.monotonic()
        self._tally.calls_by_s[int(now)] += 1
        url = urlsplit(target)
        if method != "GET" or url.path != "/v1/servers":
            return connection.answer(404, b"")
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        if "after" not in query:
            return self._call(connection, None, now)
        after = int(query["after"])
        wait_s = min(MOST_WAIT_S, int(query.get("wait_ms", "0")) / 1000.0)
        if after != self._list.revision or not wait_s:
            return self._call(connection, after, now)
        watch = Watch(connection, after)
        self._watches[watch] = self._reactor.callLater(wait_s, self._waited, watch)
        return None

    def _call(self, connection: HttpConnection, after: int | None, now: float) -> None:
        due_s = self._queue.offer(now)
        if due_s is None:
            self._tally.refused += 1
            connection.answer(503, b"")
        else:
            self._reactor.callLater(due_s - now, self._answer, connection, after)

    def _waited(self, watch: Watch) -> None:
        del self._watches[watch]
        if watch.connection.connected_now:
            self._answer_watch(watch, time.monotonic())

    def _answer_watch(self, watch: Watch, now: float) -> None:
        due_s = self._queue.put(now)
        self._reactor.callLater(due_s - now, self._answer, watch.connection, watch.after)

    def _answer(self, connection: HttpConnection, after: int | None) -> None:
        self._tally.answers += 1
        connection.answer(200, msgspec.json.encode(self._list.listing(after)))

    # Changes -----------------------------------------------------------------------------------

    def command(self, command: messages.Command) -> None:
        """Changes begin, or end; what is counted does so with them."""
        if isinstance(command, messages.SwitchChanges):
            self._begin() if command.on else self._end()

    def _begin(self) -> None:
        self._tally = Tally()
        self._queue.longest = 0
        if self._start.changes.per_s:
            self._change()

    def _end(self) -> None:
        self._totals = self._tally.totals(self._queue.longest)
        if self._changing is not None:
            self._changing.cancel()
            self._changing = None
        self._report(messages.ChangesEnded())

    def _change(self) -> None:
        self._changing = self._reactor.callLater(1.0 / self._start.changes.per_s, self._change)
        changed = next_change(self._list, self._start.seed, self._start.changes.nodes)
        now = time.monotonic()
        self._list.apply(self._list.revision + 1, changed)
        self._report(messages.Changed(self._list.revision, now, changed))
        watches, self._watches = self._watches, {}
        for watch, end_of_wait in watches.items():
            end_of_wait.cancel()
            if watch.connection.connected_now:
                self._answer_watch(watch, now)

    def finish(self) -> messages.DiscoveryTotals:
        """The totals from the first change to the last."""
        return self._totals or self._tally.totals(self._queue.longest)
