"""Follows the endpoint list: one poll of discovery after another, each waiting for the next change."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from balancer.api import Settings
from cloverwell.back.pools import NodePools
from cloverwell.counters import Counters
from cloverwell.facade import EndpointUpdate, EndpointUpdateFailed
from cloverwell.log import Log
from cloverwell.membership.endpoint_list import EndpointList, EndpointListError
from cloverwell.membership.endpoint_table import EndpointTable
from cloverwell.membership.node_starts import KnownStarts
from cloverwell.membership.poll_backoff import RETRY_TIMEOUT_MS, PollBackoff
from cloverwell.membership.watch_connection import TcpReactor, WatchConnection, WatchConnector
from cloverwell.timer_wheel import Timer, TimerWheel

# A change that a silent watch did not report counts as known 6 s after it, or 2 s after the end of the poll's
# wait if that is earlier; soon after that a draining node must get no new request. The silence is therefore
# detected before that time, and the poll is sent again. Where lists may be 10 s old this happens after 5.2 s,
# which leaves time for a slow discovery.
WAIT_SHARE = 0.4  # how long a poll waits for a change, as a share of `ask-within`
MAX_WAIT_MS = 60_000.0  # the longest wait that discovery accepts
LONG_POLL_GRACE_MS = 1200.0  # how long after its wait a long poll without an answer is sent again
ANSWER_TIMEOUT_MS = 1900.0  # the longest time for the answer to a poll that does not wait
RECONNECT_DELAY_MS = 50.0  # the delay before another attempt, if this machine could not begin a connection

SERVERS_TARGET = "/v1/servers"
HTTP_OK = 200


@dataclass(slots=True)
class PendingPoll:
    """A poll that has not been answered yet. A long poll waits for a change, so a late answer is normal."""

    timeout: Timer
    started_ms: float
    is_long_poll: bool


class EndpointDiscovery:
    """Polls discovery, applies its lists to the connection pools, and reports them to the balancer.

    `on_update` is called with each update, and with each failure. It is to be set before `start`.
    """

    def __init__(
        self,
        reactor: TcpReactor,
        timer_wheel: TimerWheel,
        settings: Settings,
        pools: NodePools,
        log: Log,
        discovery: tuple[str, int],
        read_epoch_ms: Callable[[], float],
        counters: Counters,
        seed: int,
    ) -> None:
        """Set up an empty table; nothing is polled before `start`.

        Args:
            reactor: opens the connections to discovery.
            timer_wheel: the monotonic clock, and the timers on it.
            settings: the balancer's settings.
            pools: the connection pools, one for each node.
            log: where failures are reported.
            discovery: discovery's host and port.
            read_epoch_ms: returns the reading of the wheel's clock at Unix time 0, by the wall clock now.
            counters: counts polls, failures and listed endpoints.
            seed: the seed of the backoff's random numbers, different for each proxy.

        """
        self.on_update: Callable[[EndpointUpdate | EndpointUpdateFailed], None] = lambda _update: None
        self.memory = pools.memory
        self.call_in_next_turn = timer_wheel.call_in_next_turn
        self._reactor = reactor
        self._timer_wheel = timer_wheel
        self._settings = settings
        self._log = log
        self._discovery = discovery
        self._counters = counters
        self._table = EndpointTable(settings, pools, timer_wheel, read_epoch_ms)
        self._revision: int | None = None  # of the last list; None: the next poll asks for the complete list
        self._last_answer_ms = timer_wheel.now()
        self._pending: PendingPoll | None = None
        self._connector: WatchConnector | None = None
        self._connection: WatchConnection | None = None
        self._backoff = PollBackoff(settings, seed)
        self._backoff_timer: Timer | None = None
        self._stopped = False

    def start(self, known: EndpointList, inherited: KnownStarts | None = None) -> None:
        """Apply the list from the configuration or from a predecessor; where lists are pushed, begin to poll.

        `inherited`: the nodes' starts as a predecessor knows them, which reads the same clock.
        """
        if inherited is not None:
            self._table.inherit_starts(inherited)
        self.apply(known, predates_process=True)
        if not known.members:
            # Discovery might let a poll for changes since an empty list wait, so the complete list is polled.
            self._revision = None
        if self._settings.is_list_pushed:
            # From its start on the proxy counts as knowing all that its agent has. The balancer does not
            # request this poll, because in the simulator pushed lists arrive without one.
            self._poll()

    def stop(self) -> None:
        """Abandon the pending poll, close the connection, and poll no more."""
        self._stopped = True
        self._cancel_pending_poll()
        self._close_connection()

    def request_poll(self) -> None:
        """Poll at the balancer's request, unless a poll is pending or a backoff is running.

        The balancer has a backoff of its own, which grows longer than a change may stay unknown. A poll at
        the end of each backoff would multiply the polls.
        """
        if self._backoff_timer is None:
            self._poll()

    def change_address(self, discovery: tuple[str, int]) -> None:
        """Poll discovery at another host and port from now on, beginning with its complete list."""
        if discovery == self._discovery:
            return
        self._discovery = discovery
        self._revision = None  # revisions of one discovery mean nothing to another
        self._backoff.reset()
        self._cancel_pending_poll()
        self._close_connection()
        self._poll()

    def current_list(self) -> EndpointList:
        """Return the complete list as it is known now."""
        return self._table.current_list()

    def node_starts(self) -> KnownStarts:
        """Return when the nodes started, for a successor on this machine."""
        return self._table.node_starts()

    def last_answer_age_ms(self) -> float:
        """Return the time in ms since discovery's last answer, or since the start before the first answer."""
        return self._timer_wheel.now() - self._last_answer_ms

    def apply(self, endpoint_list: EndpointList, predates_process: bool = False) -> None:
        """Apply a list and report it to the balancer.

        `predates_process`: the list was known before this process began, so it may be of any age.

        Raises:
            EndpointListError: the list is unusable. Nothing of it has been applied then.

        """
        update = self._table.apply(endpoint_list, predates_process)
        # Set before `on_update`, which may begin a poll for changes after this revision.
        self._revision = endpoint_list.revision
        self.on_update(update)
        self._table.drain_pools(update)

    # Sending a poll ----------------------------------------------------------------------------------

    def _poll(self, immediate: bool = False) -> None:
        """Begin a poll unless one is pending. An `immediate` one does not wait for a change."""
        self._cancel_backoff()
        if self._pending is not None or self._stopped:
            return
        self._counters.add("list.whole" if self._revision is None else "list.watch")
        wait_ms = self._wait_ms(immediate)
        now = self._timer_wheel.now()
        due_ms = now + wait_ms + self._answer_timeout_ms(wait_ms)
        timeout = self._timer_wheel.call_not_before(due_ms, self._timed_out)
        self._pending = PendingPoll(timeout, now, is_long_poll=wait_ms > 0.0)
        self._send(self._target(wait_ms))

    def _wait_ms(self, immediate: bool) -> float:
        """Return how long the poll waits for a change, 0 if it does not."""
        if immediate or self._revision is None:
            return 0.0
        if self._backoff.is_failing and not self._settings.is_list_pushed:
            # While discovery fails, a poll that waits would hide for too long that it will not be answered.
            return 0.0
        return min(MAX_WAIT_MS, WAIT_SHARE * self._settings.max_poll_interval_ms)

    def _answer_timeout_ms(self, wait_ms: float) -> float:
        """Return how long the answer may take after the poll's wait."""
        if wait_ms:
            return LONG_POLL_GRACE_MS
        if self._backoff.is_failing or self._table.is_empty:
            # A discovery with too many clients is slow, and polls that are given up early add to its work.
            return RETRY_TIMEOUT_MS
        return ANSWER_TIMEOUT_MS

    def _target(self, wait_ms: float) -> str:
        if self._revision is None:
            return SERVERS_TARGET
        return f"{SERVERS_TARGET}?after={self._revision}&wait_ms={int(wait_ms)}"

    def _send(self, target: str) -> None:
        if self._connection is not None and not self._connection.ended:
            self._connection.poll(target)
        else:
            self._connect(target)

    def _connect(self, target: str) -> None:
        host, port = self._discovery
        self._connector = WatchConnector(self, target)
        # A connection that takes longer would leave its poll no time for the answer.
        timeout_ms = min(self._settings.connect_timeout_ms, ANSWER_TIMEOUT_MS)
        self._reactor.connectTCP(host, port, self._connector, timeout=timeout_ms / 1000.0)

    # Reports of the connection -----------------------------------------------------------------------

    def is_current(self, source: WatchConnection | WatchConnector) -> bool:
        """Return whether the source is the one in use; reports of an abandoned one must be ignored."""
        return source in (self._connection, self._connector)

    def connection_opened(self, connection: WatchConnection) -> None:
        """Use the connection that has been established."""
        self._connection = connection
        self._connector = None

    def connect_not_started(self, connector: WatchConnector) -> None:
        """Connect again soon, as long as the poll is pending. This machine failed, and not discovery."""
        self._counters.add("list.not_opened")
        due_ms = self._timer_wheel.now() + RECONNECT_DELAY_MS
        self._timer_wheel.call_not_before(due_ms, lambda: self._reconnect(connector))

    def _reconnect(self, connector: WatchConnector) -> None:
        if self._connector is connector and self._pending is not None:
            self._connect(connector.target)

    def connection_closed_idle(self, target: str) -> None:
        """Send the pending poll on a new connection; its timeout stays the same."""
        self._connection = None
        if self._pending is not None:
            self._connect(target)

    def poll_answered(self, status: int, body: bytes) -> None:
        """Apply the list in the answer, and poll for the next change at once, so that none is known late."""
        if self._pending is None:
            return
        if status != HTTP_OK:
            self.poll_failed(f"status {status}")
            return
        try:
            endpoint_list = msgspec.json.decode(body, type=EndpointList)
            self.apply(endpoint_list)
        except (msgspec.MsgspecError, EndpointListError, UnicodeDecodeError) as error:
            self.poll_failed(f"malformed: {error}")
            return
        self._last_answer_ms = self._timer_wheel.now()
        self._backoff.reset()
        self._counters.add("list.lines", len(endpoint_list.members))
        self._cancel_pending_poll()
        self._poll()

    def poll_failed(self, reason: str) -> None:
        """Keep the list, and poll again after a backoff."""
        if self._pending is None:
            return
        elapsed_ms = self._timer_wheel.now() - self._pending.started_ms
        self._cancel_pending_poll()
        self._close_connection()
        self._counters.add("list.failed")
        self._log.warn("discovery", f"call failed: {reason}")
        due_ms = self._timer_wheel.now() + self._backoff.record_failure(elapsed_ms)
        self._backoff_timer = self._timer_wheel.call_not_before(due_ms, self._poll)
        self.on_update(EndpointUpdateFailed())

    def _timed_out(self) -> None:
        if self._pending is None or not self._pending.is_long_poll:
            self.poll_failed("no answer in time")
            return
        # The connection seems to be dead. A backoff as after a failure would take too long.
        self._counters.add("list.silent")
        self._log.warn(
            "discovery", "the long poll got no answer in time, and is repeated on a new connection"
        )
        self._cancel_pending_poll()
        self._close_connection()
        self._poll(immediate=True)

    # Ending polls and connections --------------------------------------------------------------------

    def _close_connection(self) -> None:
        """Close the connection, or abandon the attempt to open it."""
        connection = self._connection
        self._connection = self._connector = None
        if connection is not None:
            connection.end(abort=True)

    def _cancel_pending_poll(self) -> None:
        """Forget the pending poll."""
        if self._pending is not None:
            self._pending.timeout.cancel()
            self._pending = None

    def _cancel_backoff(self) -> None:
        if self._backoff_timer is not None:
            self._backoff_timer.cancel()
            self._backoff_timer = None
