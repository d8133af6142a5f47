"""The balancer: events in, actions out, over the parts that decide. docs/design.md gives the reasons."""

import math
from dataclasses import replace
from random import Random

from balancer import api, concurrency_limit, hot_keys, origin_slots
from balancer.admission import drops_early
from balancer.api import Group, Idempotency, ListKind, ServerState, Status
from balancer.hash_ring import point
from balancer.key_order import KeyOrder
from balancer.latency import (
    FRESH,
    RATE_MS,
    UNCROWDED_SHARE,
    USUAL_TIMEOUT_VOTES,
    LatencyEstimate,
    UsualTimeout,
)
from balancer.origin_fetch import OriginQueue, SingleFlight
from balancer.outlier_detection import SILENCE_FACTOR, OutlierDetector
from balancer.request_state import RequestState, Server
from balancer.retry import DEADLINE_MARGIN_MS, HedgePolicy, RetryBudget
from balancer.server_selection import PREFERENCE_SET_SIZE, ServerSelector, recognises_repeat
from balancer.slow_start import SlowStart
from balancer.tenant_quota import TenantQuotas
from balancer.timers import Timers
from balancer.zone_rings import ZoneRings

SLACK_MS = 50.0  # kept between a wait's end and the last use of the answer: timers come late
WAKE, RESUBSCRIBE = 0, 1  # timer tokens
CHECK_INTERVAL_MS = 25.0  # time between the checks of a server that has been silent so long
AGE_ORIGIN = 0.5  # of a crowded latency, for the mean age of what is out there: it is about half done
JAM_CAP = 3.0  # times the mean latency: what a time-out teaches at most, since a connection may be at fault
BREAKS = 2  # resets without an answer between them that mark: one may be its connection's alone
TORN, TORN_WEIGHT = 0.05, 0.01  # a share of resets from which on it takes one more: they befall all alike
LIST_PACE_MS = 20.0  # between the first calls of all balancers: the list is one service of fixed capacity
IDLE_GROWTH = 1.01  # an answer, of the time that unused connections are trusted: halved when one broke
STALE = 0.25  # of the mean latency: a reset that fast on an unused connection tells of no server's death
CRAMMED = 0.1  # share of attempts refused a connection at once from which on they are given up after use
HANG_UP_AGAIN = 0.8  # of the time stated for it: a connection may have been opening when the first came
RESUBSCRIBE_MS, RESUBSCRIBE_MAX_MS = 400.0, 8000.0  # first and longest wait before the list is asked again
MAX_QUEUED_AHEAD = 100  # a request with more of them ahead in the queue for the origin is rejected


class Balancer:
    """Sans-I/O and deterministic: the same settings, seed and events give the same actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._set = settings
        self._rng = Random(seed)
        self._acts: list[api.Action] = []  # of the event in hand; the parts add theirs in order
        self._servers: dict[str, Server] = {}
        self._rings = ZoneRings(settings)
        self._origins: list[Server] = []
        self._records: dict[str, RequestState] = {}
        self._fetches = SingleFlight()
        self._key_order = KeyOrder()
        self._queue = OriginQueue()
        self._timers = Timers()
        self._quotas = TenantQuotas(settings.tenants)
        self._idle_ms = settings.idle_close_ms  # connections unused for longer are not trusted
        self._crammed = self._torn = 0.0  # shares of attempts: refused, broken
        self._spans = [UsualTimeout() for _ in settings.classes]
        self._paces = [LatencyEstimate(cls.aim_ms * UNCROWDED_SHARE) for cls in settings.classes]
        self._hedges = HedgePolicy()
        self._hot_keys = hot_keys.HotKeys()
        self._retry_budget = RetryBudget(settings)
        self._margin_ms = DEADLINE_MARGIN_MS + 2 * settings.granularity_ms  # two rounds of the wire
        self._reads = {number: c.aim_ms for number, c in enumerate(settings.classes)}  # no write seen of it
        self._aim_ms = self._read_ms = min(self._reads.values())  # the shortest, and of what caches answer
        self._pace = LatencyEstimate(self._aim_ms * UNCROWDED_SHARE)  # of answers at cache servers
        self._kinds: dict[int, LatencyEstimate] = {}  # the same by kind of machine
        self._slow_start = SlowStart(settings, self._pace, self._kinds, self._aim_ms)
        self._origin_pace = LatencyEstimate(self._aim_ms * UNCROWDED_SHARE / 2)
        self._probe_pace = LatencyEstimate(self._aim_ms * UNCROWDED_SHARE)
        self._outliers = OutlierDetector(
            settings, self._pace, self._probe_pace, self._retry_budget, self._acts
        )
        self._selector = ServerSelector(self._rng, self._rings, self._slow_start, self._outliers)
        self._backoff_ms = RESUBSCRIBE_MS
        self._handlers = {
            api.Request: self._on_request,
            api.AttemptEnded: self._on_outcome,
            api.Probed: self._on_probed,
            api.TimerDue: self._on_timer,
            api.EndpointListChanged: self._on_list,
            api.ClientGone: lambda now, e: (
                e.request in self._records and self._end(now, self._records[e.request])
            ),
            api.StreamBegun: self._on_stream,
        }

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        self._acts.clear()
        self._handlers[type(event)](now_ms, event)
        return self._acts + [api.SetTimer(delay, WAKE) for delay in self._timers.to_set(now_ms)]

    def resize(self, peers_total: int) -> None:
        """So many balancers share the servers from now on: this one's part of all bounds follows."""
        for server in self._servers.values():
            least = concurrency_limit.minimum(server.origin, peers_total)
            server.resize(self._set.peers_total / peers_total, least)
        self._set = replace(self._set, peers_total=peers_total)
        self._rings.resize(self._set)

    def _on_timer(self, now: float, event: api.TimerDue) -> None:
        if event.token == RESUBSCRIBE:
            self._acts.append(api.Subscribe())
        for what, whom in self._timers.due(now):
            what(now, whom)

    def _on_list(self, now: float, event: api.EndpointListChanged) -> None:
        if event.kind is ListKind.CACHED and not self._set.list_pushed:
            # Hundreds that begin at once would fail together: the first calls are spread out.
            spread = min(self._set.ask_within_ms / 2, LIST_PACE_MS * self._set.peers_total)
            self._acts.append(api.SetTimer(spread * self._rng.random(), RESUBSCRIBE))
        if event.kind is ListKind.FAILED:
            # The held list stays in use; the jitter keeps balancers from asking again in step.
            self._acts.append(api.SetTimer(self._backoff_ms * (0.5 + self._rng.random()), RESUBSCRIBE))
            self._backoff_ms = min(2 * self._backoff_ms, RESUBSCRIBE_MAX_MS, self._set.ask_within_ms)
            return
        self._backoff_ms = RESUBSCRIBE_MS
        told = {entry.server: entry for entry in event.entries}  # told twice, the last counts
        ready = {name: entry for name, entry in told.items() if entry.state is ServerState.READY}
        lost = self._servers if event.kind is not ListKind.DELTA else told
        gone: list[Server] = []
        for name in [name for name in lost if name in self._servers and name not in ready]:
            gone.append(server := self._servers.pop(name))
            self._leave(now, server)
        for entry in ready.values():
            self._keep(now, entry)
        self._origins = [server for server in self._origins if not server.left]
        kept = [self._servers[name] for name in ready]
        self._rings.change([s for s in gone if not s.origin], [s for s in kept if not s.origin])

    def _keep(self, now: float, entry: api.ServerEntry) -> None:
        server = self._servers.get(entry.server)
        started = server is None or entry.started_ms > server.entry.started_ms
        if server is None:
            origin = entry.kind == self._set.origin_kind
            least = concurrency_limit.minimum(origin, self._set.peers_total)
            limit = concurrency_limit.initial(least, self._set.peers_total)
            pace = self._origin_pace if origin else LatencyEstimate(self._pace.mean_ms)
            machine_type_latency = self._kinds.setdefault(entry.kind, LatencyEstimate(self._pace.mean_ms))
            server = Server(entry, origin, pace, machine_type_latency, limit, least)
            self._servers[entry.server] = server
            self._origins += [server] * origin
        if started:  # it is cold, unless that is long ago, and worth a try at once
            server.warm_from_ms = entry.started_ms or -math.inf
            server.ejected_ms, server.probed_ms = None, None
        server.entry = entry

    def _leave(self, now: float, server: Server) -> None:
        """Closes at a notice and each later outcome, and again for what was opening or called off then."""
        server.left = True
        if self._set.hang_up_within_ms:
            self._close(now, server)
            self._timers.at(now + HANG_UP_AGAIN * self._set.hang_up_within_ms, self._close, server)

    def _on_request(self, now: float, event: api.Request) -> None:
        self._retry_budget.requests.append(now)
        if event.write and self._origins and self._reads.pop(event.request_class, None):
            self._read_ms = min(self._reads.values(), default=self._aim_ms)
        cls = self._set.classes[event.request_class]
        place = point(event.key) if event.key is not None else self._rng.getrandbits(64)
        deadline = now + event.left_ms - self._margin_ms
        excess = self._quotas.exceeded(now, event.tenant, self._set.peers_total)
        aim = now + cls.aim_ms - self._spent(event) - self._margin_ms
        use = deadline if cls.late_worth or event.write else min(aim, deadline)
        excess, pace = excess or aim < now, self._paces[event.request_class]
        request = RequestState(event.request, cls, event.key, place, event.write, use, deadline, excess, pace)
        self._hedges.record_request()
        self._records[request.id] = request
        if cls.in_turn and event.key is not None:
            self._key_order.enqueue(event.key, request)
        if event.key is not None and not event.write:
            request.hot_key_load = self._hot_keys.record(event.key, len(self._rings))
        # With few balancers zones differ, so each member of the preference set is judged instead.
        crowded = not (event.write or self._rings.few) and drops_early(
            self._rng, now, self._pace, self._read_ms, request.excess
        )
        if use <= now or crowded:
            return self._finish(now, request, "late" if use <= now else "crowded", RATE_MS)
        self._route(now, request)

    def _spent(self, event: api.Request) -> float:
        """What the client's earlier tries took: a try has the usual time of its class, or what is left."""
        usual = self._spans[event.request_class].is_usual(event.left_ms, SLACK_MS / 2, USUAL_TIMEOUT_VOTES)
        return 0.0 if usual else max(0.0, self._set.classes[event.request_class].deadline_ms - event.left_ms)

    def _route(self, now: float, request: RequestState) -> None:
        """Sends a request to whom the ring names, or holds or ends it."""
        # Every request comes by here before its first attempt, so none with its key overtakes another.
        if request.turn is not None and not request.attempts:
            request.held = request.turn.line[0] is not request or now < request.turn.rest_ms
            if request.held:
                return self._wait(now, request, request.turn.line.index(request))
        if request.write and self._origins:
            return self._ask_origin(now, request)
        if not self._may_send(now, request):
            return self._finish(now, request, "spent")
        if request.key in self._fetches.waiting and not request.write:
            return self._park(now, request)
        server = self._selector.select(now, request, self._read_ms)
        if server is None:
            # Cold servers leave the others too much: the origin's queue takes it, as far as it may.
            full = all(self._slow_start.is_warm(now, s) for s in self._servers.values()) and len(self._rings)
            return self._finish(now, request, "bounds", RATE_MS) if full else self._ask_origin(now, request)
        # Where cancels are permitted `_check` frees it, and a busy server does no work twice.
        self._send(now, request, server, (request.use_ms - now) / (1 if self._set.may_cancel else 2))

    def _may_send(self, now: float, request: RequestState) -> bool:
        paid = not request.attempts or request.prepaid or self._retry_budget.available(now) >= 1
        if not paid or request.attempts >= self._set.max_attempts or now >= request.use_ms or request.begun:
            return False
        if request.ran_ms is None or request.cls.effect is Idempotency.SAFE:
            return True
        # A keyed repeat is dropped only while the servers remember the first; leave two rounds for the way.
        return (
            request.cls.effect is Idempotency.KEYED
            and now - request.ran_ms + self._margin_ms < request.cls.window_ms
        )

    def _send(self, now: float, request: RequestState, server: Server, timeout: float) -> None:
        if not (
            self._may_send(now, request) and recognises_repeat(request, server)
        ):  # the one gate of all sends
            return self._finish(now, request, "spent")
        if request.attempts and not request.prepaid:
            self._retry_budget.retries.append(now)
        request.prepaid = False
        request.out[request.attempts] = (server, now)
        request.attempts += 1
        request.waiting = False
        if not server.out:
            server.last_response_ms = now
            if server.used_ms + self._idle_ms < now < server.used_ms + self._set.idle_close_ms:
                self._close(now, server)
        server.out[request.id, request.attempts - 1] = (request, now)
        if not server.watched:
            server.watched = True
            self._timers.at(now + SILENCE_FACTOR * self._pace.mean_ms, self._check, server)
        self._acts.append(api.Send(request.id, server.entry.server, max(timeout, self._set.granularity_ms)))

    def _finish(self, now: float, request: RequestState, why: str, retry_after: float = SLACK_MS) -> None:
        """The single final answer: a refusal where the rules permit it, since a client may then try again."""
        dropped = (
            request.cls.effect is Idempotency.KEYED and request.cls.group is Group.ALL
        )  # a repeat is, by all servers
        harmless = (
            request.ran_ms is None or request.cls.effect is Idempotency.SAFE or dropped
        )  # nothing is out by now
        wait = min(retry_after, self._set.max_retry_after_ms)
        self._acts.append(api.Reject(request.id, wait, why) if harmless else api.Fail(request.id, why))
        self._end(now, request)

    def _end(self, now: float, request: RequestState) -> None:
        request.done = True
        if not request.out:
            self._records.pop(request.id, None)
            if request.turn is not None and request in request.turn.line:
                request.turn.line.remove(request)
                self._resume_next(now, request.key)
        if not request.out and request.fetching:
            # Those who waited for its fetch ask the server that now keeps the key.
            for other in self._fetches.end(request.key, request):
                self._resume(now, other)

    def _resume_next(self, now: float, key: str) -> None:
        """Resumes the next request of a key whose requests run one at a time."""
        following = self._key_order.next(now, key)
        if isinstance(following, RequestState):
            self._resume(now, following)
        elif following is not None:
            self._timers.at(following, self._resume_next, key)

    def _on_stream(self, now: float, event: api.StreamBegun) -> None:
        request = self._records.get(event.request)
        if request is not None and event.attempt in request.out:
            request.begun = True
            self._outliers.record_response(now, request.out[event.attempt][0])

    def _on_outcome(self, now: float, event: api.AttemptEnded) -> None:
        request = self._records.get(event.request)
        if request is None or event.attempt not in request.out:
            return
        server, sent = request.out.pop(event.attempt)
        server.out.pop((request.id, event.attempt), None)
        if server.left:
            self._leave(now, server)
        if request.hedge_number and event.status in (Status.OK, Status.MISS):
            self._settle_copies(request, event.attempt)
        if event.status not in api.NEVER_RAN and (request.ran_ms is None or sent < request.ran_ms):
            request.ran_ms, request.ran_at = sent, server
        if request.turn is not None and self._set.settle_ms and event.status in api.IN_DOUBT:
            request.turn.rest_ms = now + self._set.settle_ms + DEADLINE_MARGIN_MS
        request.prepaid |= event.status is Status.MISS
        stale = self._judge(now, server, event.status, sent, request)
        last = (
            request.attempts == self._set.max_attempts - 1
        )  # a third node would rather miss, and leave none
        if event.closed or request.done:
            self._end(now, request)
        elif not request.out and (server.origin or (self._origins and (request.prepaid or last))):
            self._ask_origin(now, request)
        elif not request.out:
            request.tried += [server] * (not stale)  # a fresh connection will do
            if len(request.tried) >= PREFERENCE_SET_SIZE:
                self._finish(now, request, "tried")
            else:
                self._route(now, request)
        if server.origin:
            self._fill_origin(now)

    def _close(self, now: float, server: Server) -> None:
        server.used_ms = -math.inf
        self._acts.append(api.Close(server.entry.server))

    def _judge(self, now: float, server: Server, status: Status, sent: float, request: RequestState) -> bool:
        """Health and load from outcomes; tells whether just a connection broke that had not been used."""
        took, unused = now - sent, sent - server.used_ms
        # It was dropped on the way, no server died. Harm: handshakes after a death within a few ms of a send.
        if status is Status.RESET and took < STALE * self._pace.mean_ms and took < unused < math.inf:
            self._idle_ms = min(self._idle_ms, unused) / 2
            return True
        server.breaks += status is Status.RESET
        self._torn += TORN_WEIGHT * ((status is Status.RESET) - self._torn)
        if status in api.ANSWERS:
            self._outliers.record_response(now, server)
            server.used_ms, server.breaks = now, 0
            server.overtaken_ms = max(server.overtaken_ms, sent)
            self._idle_ms = min(self._idle_ms * IDLE_GROWTH, self._set.idle_close_ms)
        # Where full tables refuse connections at once, one that idles is another balancer's want.
        at_once = status is Status.CONNECT_FAILED and took < self._pace.mean_ms
        self._slow_start.full_rate += FRESH * ((status is Status.FULL) - self._slow_start.full_rate)
        self._crammed += FRESH * (at_once - self._crammed)
        if self._crammed > CRAMMED and not server.out:
            self._close(now, server)
        # In an overload attempts time out at servers that answer others: that is no death.
        # One that was given less time than answers take, or that later ones overtook, tells nothing of it.
        usual = SILENCE_FACTOR * max(server.pace.mean_ms, self._pace.mean_ms)
        alone = status is Status.TIMEOUT and (took < usual or sent + usual < server.overtaken_ms)
        silent = status is Status.TIMEOUT and not (server.origin or alone) and server.last_response_ms <= sent
        breaks = 1 if self._set.may_probe else BREAKS + (self._torn > TORN)
        broken = status is Status.CONNECT_FAILED or (status is Status.RESET and server.breaks >= breaks)
        if not server.origin and (silent or broken):
            self._outliers.eject(now, server, silent)
            if status is Status.RESET or at_once:  # an answer lost, a full table, or a death: a probe tells
                self._outliers.probe(now, server)
        # A time-out or a full server would have taken longer.
        took = max(took, {Status.FULL: self._aim_ms, Status.TIMEOUT: server.pace.mean_ms}.get(status, 0.0))
        if status is Status.TIMEOUT:  # of many in a row the mean rises all the same
            took = min(took, JAM_CAP * max(self._pace.mean_ms, server.origin * server.pace.mean_ms))
        if status in (Status.OK, Status.MISS, Status.FULL, Status.TIMEOUT) and not (request.write or silent):
            server.pace.learn(now, took)
        if status in (Status.OK, Status.TIMEOUT) and not server.origin:  # in a jam few answers come
            self._pace.learn(now, took)
            server.machine_type_latency.learn(now, took)
            request.pace.learn(now, took)
        if status in (Status.OK, Status.FULL, Status.TIMEOUT) and not alone:
            crowded_ms = concurrency_limit.crowded_latency_ms
            crowded = status is not Status.OK or server.pace.mean_ms > crowded_ms(server, self._aim_ms)
            concurrency_limit.adjust(server, now, crowded, self._aim_ms)
        return status is Status.RESET and not broken  # its server still answers others

    def _ask_origin(self, now: float, request: RequestState) -> None:
        if not self._may_send(now, request) or not any(
            recognises_repeat(request, origin) for origin in self._origins
        ):
            return self._finish(now, request, "spent")  # also after a time-out at the deadline
        if request.key is not None and not request.write and not request.fetching:
            if request.key in self._fetches.waiting:
                return self._park(now, request)
            self._fetches.begin(request.key, request)
        if (
            request.cls.late_worth
            and not request.write
            and drops_early(self._rng, now, self._origin_pace, self._aim_ms, request.excess)
        ):
            return self._finish(now, request, "origin", RATE_MS)  # the queue alone holds it till its deadline
        worth = request.cls.worth * (self._set.over_share_worth if request.excess else 1.0)
        worth *= 1.0 + hot_keys.FETCH_PRIORITY * request.hot_key_load  # what is fetched serves those after it
        ahead = self._queue.push(now, request, worth)
        self._fill_origin(now)
        if not request.out and not request.done:
            self._wait(now, request, ahead / sum(origin.limit for origin in self._origins))

    def _park(self, now: float, request: RequestState) -> None:
        """Another request's fetch of the key is out: waits for it, then asks the server that keeps it."""
        self._fetches.waiting[request.key].append(request)
        self._wait(now, request)

    def _wait(self, now: float, request: RequestState, ahead: float = 0.0) -> None:
        """Holds a request, at most until waiting on would make its answer worthless."""
        request.waiting = True
        until = request.use_ms - self._origin_pace.mean_ms - SLACK_MS
        if (
            ahead > MAX_QUEUED_AHEAD or until <= now + ahead * self._origin_pace.mean_ms
        ):  # its turn comes too late
            return self._finish(now, request, "queue")
        self._timers.at(until, self._expire, request)

    def _expire(self, now: float, request: RequestState) -> None:
        if request.waiting and not request.done:
            self._finish(now, request, "waited")

    def _fill_origin(self, now: float) -> None:
        while self._queue and self._origins:
            origin = origin_slots.vacant(self._origins, self._origin_pace.mean_ms, now)
            if origin is None:
                return
            request = self._queue.pop()
            # What would come too late keeps the origin from what it can still do in time.
            left = min(request.use_ms - now, math.inf if request.cls.late_worth else request.cls.aim_ms)
            if not request.done and left < self._origin_pace.fading_ms(now):
                self._finish(now, request, "origin", RATE_MS)
            elif not request.done:
                self._send(now, request, origin, request.deadline_ms - now)

    def _resume(self, now: float, request: RequestState) -> None:
        if request.waiting and not request.done:
            self._route(now, request)

    def _check(self, now: float, server: Server) -> None:
        """Sends again what is long overdue, and marks a server that gives no sign of life."""
        server.watched = bool(server.out) and server.ejected_ms is None
        if not server.watched:
            return
        self._timers.at(now + CHECK_INTERVAL_MS, self._check, server)
        if self._set.may_copy:
            self._send_again(now, server)
        # In a jam the answers that come tell of long ago; the age of what is out tells of now.
        ages = [now - sent for _, sent in server.out.values() if sent >= server.overtaken_ms]
        age = AGE_ORIGIN if server.origin else 1.0
        if len(ages) > 1 and sum(ages) / len(ages) > age * concurrency_limit.crowded_latency_ms(
            server, self._aim_ms
        ):
            concurrency_limit.adjust(server, now, True, self._aim_ms)
        if server.origin:
            return self._fill_origin(now)  # what hangs gives way in time
        self._outliers.check_silence(now, server, self._servers.values(), len(self._rings))

    def _send_again(self, now: float, server: Server) -> None:
        """A connection may fall silent while its server answers others on theirs: a read goes there again."""
        for (name, number), (request, sent) in list(server.out.items()):
            usual = max(
                server.pace.mean_ms, self._origin_pace.mean_ms if server.origin else request.pace.mean_ms
            )
            overdue = sent + usual < server.overtaken_ms and now - sent > self._hedges.delay * usual
            alone = len(request.out) == 1 and not (request.done or request.begun or request.write)
            safe = request.cls.effect is Idempotency.SAFE  # a read may be of any effect
            if overdue and alone and safe and self._hedges.tokens >= 1.0 and self._may_send(now, request):
                self._hedges.tokens -= 1.0
                del server.out[name, number]  # it holds no place that others could have
                request.hedge_number = request.attempts
                self._send(now, request, server, request.use_ms - now)

    def _settle_copies(self, request: RequestState, attempt: int) -> None:
        """One copy has its answer: the other is called off, and tells whether to ask sooner or later next."""
        self._hedges.record_result(attempt == request.hedge_number)
        self._acts += [api.Cancel(request.id, number) for number in request.out]
        request.hedge_number = 0

    def _on_probed(self, now: float, event: api.Probed) -> None:
        server = self._servers.get(event.server)
        if server is not None and event.status is Status.OK:
            self._probe_pace.learn(now, event.latency_ms)
            self._outliers.record_response(now, server)
        elif server is not None and event.status in (Status.RESET, Status.CONNECT_FAILED):
            self._outliers.eject(now, server)
