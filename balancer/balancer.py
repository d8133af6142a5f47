"""The balancer: turns events into actions, which other modules decide. See docs/design/overview.md."""

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from balancer import api, concurrency_limit, hot_keys, origin_slots
from balancer.admission import should_drop
from balancer.api import DedupScope, Idempotency, ListKind, Status
from balancer.attempt_evaluation import AttemptEvaluator
from balancer.key_order import KeyOrder
from balancer.latency import MIN_MEMORY_MS, UNCROWDED_SHARE, LatencyEstimate
from balancer.list_subscription import ListSubscription
from balancer.origin_fetch import OriginAdmission, OriginQueue, SingleFlight
from balancer.outlier_detection import SILENCE_FACTOR, OutlierDetector
from balancer.request_factory import RequestFactory
from balancer.request_state import RequestState, Server
from balancer.retry import DEADLINE_MARGIN_MS, HedgePolicy, RetryBudget, RetryPolicy
from balancer.server_selection import PREFERENCE_SET_SIZE, ServerSelector, is_in_dedup_scope
from balancer.server_set import ServerSet
from balancer.slow_start import SlowStart
from balancer.timers import Timers
from balancer.zone_rings import ZoneRings

RETRY_AFTER_MS = 50.0  # the Retry-After of a rejected request; MIN_MEMORY_MS is used if servers are crowded
WAKE_TOKEN, RESUBSCRIBE_TOKEN = 0, 1  # the tokens of the timers for scheduled calls and for list calls
CHECK_INTERVAL_MS = 25.0  # the time between two checks of a server with attempts in flight
CLOSE_AGAIN_SHARE = 0.8  # a removed server's connections are closed again at this share of `drain_close_ms`


class Balancer:
    """Turns events into actions, without I/O: the same settings, seed and events give the same actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Creates the parts; `seed` is the seed of all random draws."""
        self._settings = settings
        self._random = Random(seed)
        self._actions: list[api.Action] = []  # the actions for the current event, in order
        self._rings = ZoneRings(settings)
        self._requests: dict[str, RequestState] = {}
        self._fetches = SingleFlight()
        self._key_order = KeyOrder()
        self._origin_queue = OriginQueue()
        self._timers = Timers()
        self._hedges = HedgePolicy()
        self._hot_keys = hot_keys.HotKeys()
        self._retry_budget = RetryBudget(settings)
        # The caller's clock advances in ticks, so an event and the response to it may each be one tick late.
        self._margin_ms = DEADLINE_MARGIN_MS + 2 * settings.granularity_ms
        self._request_factory = RequestFactory(settings, self._random, self._margin_ms)
        self._retry_policy = RetryPolicy(settings, self._retry_budget, self._margin_ms)
        # The latency objectives of the classes that have not had a write so far, by class number.
        self._read_objectives_ms = {i: cls.latency_objective_ms for i, cls in enumerate(settings.classes)}
        self._objective_ms = min(self._read_objectives_ms.values())
        self._read_objective_ms = self._objective_ms  # the shortest objective of requests to caches
        self._latency = LatencyEstimate(self._objective_ms * UNCROWDED_SHARE)  # of all cache servers
        self._type_latencies: dict[int, LatencyEstimate] = {}  # the latency of cache servers by machine type
        self._slow_start = SlowStart(settings, self._latency, self._type_latencies, self._objective_ms)
        self._origin_latency = LatencyEstimate(self._objective_ms * UNCROWDED_SHARE / 2)
        self._origin_admission = OriginAdmission(
            settings, self._random, self._origin_latency, self._objective_ms
        )
        self._server_set = ServerSet(
            settings.origin_machine_type,
            settings.peers_total,
            self._latency,
            self._origin_latency,
            self._type_latencies,
        )
        self._servers = self._server_set.by_name
        self._origins = self._server_set.origins
        self._outliers = OutlierDetector(settings, self._latency, self._retry_budget, self._actions)
        self._evaluator = AttemptEvaluator(
            settings, self._latency, self._objective_ms, self._slow_start, self._outliers, self._actions
        )
        self._selector = ServerSelector(self._random, self._rings, self._slow_start, self._outliers)
        self._subscription = ListSubscription(settings, self._random)
        self._handlers = self._event_handlers()

    def _event_handlers(self) -> dict[type[Any], Callable[[float, Any], None]]:
        return {
            api.Request: self._on_request,
            api.AttemptEnded: self._on_attempt_ended,
            api.ProbeEnded: self._on_probe_ended,
            api.TimerDue: self._on_timer,
            api.EndpointListChanged: self._on_endpoint_list,
            api.ClientGone: self._on_client_gone,
            api.StreamStarted: self._on_stream_started,
        }

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Handles an event that happened at `now_ms`; returns the actions to carry out, in this order."""
        del self._actions[:]
        self._handlers[type(event)](now_ms, event)
        return self._actions + [api.SetTimer(delay, WAKE_TOKEN) for delay in self._timers.new_delays(now_ms)]

    def resize(self, peers_total: int) -> None:
        """Adapts this balancer's part of all limits to the number of balancers that share the servers."""
        self._server_set.resize(peers_total)
        self._settings = replace(self._settings, peers_total=peers_total)
        self._rings.resize(self._settings)

    def _on_timer(self, now: float, event: api.TimerDue) -> None:
        if event.token == RESUBSCRIBE_TOKEN:
            self._actions.append(api.Subscribe())
        for callback, argument in self._timers.pop_due(now):
            callback(now, argument)

    def _on_endpoint_list(self, now: float, event: api.EndpointListChanged) -> None:
        if event.kind is ListKind.CACHED and not self._settings.is_list_pushed:
            delay_ms = self._subscription.initial_delay_ms(self._settings.peers_total)
            self._actions.append(api.SetTimer(delay_ms, RESUBSCRIBE_TOKEN))
        if event.kind is ListKind.FAILED:  # The current list stays in use.
            self._actions.append(api.SetTimer(self._subscription.record_failure(), RESUBSCRIBE_TOKEN))
            return
        self._subscription.record_success()
        changed = self._server_set.apply(event.entries, complete=event.kind is not ListKind.DELTA)
        for server in changed.removed:
            self._close_removed(now, server)
        self._rings.update(changed.removed_cache_servers, changed.cache_servers)
        self._fill_origin_slots(now)  # The origin may be back, with requests that have waited for it.

    def _close_removed(self, now: float, server: Server) -> None:
        """Closes a removed server's idle connections now, and later those that are opening or in use now."""
        if self._settings.drain_close_ms:
            self._evaluator.close_idle(now, server)
            self._timers.schedule(
                now + CLOSE_AGAIN_SHARE * self._settings.drain_close_ms, self._evaluator.close_idle, server
            )

    def _on_request(self, now: float, event: api.Request) -> None:
        self._retry_budget.request_times_ms.append(now)
        self._hedges.record_request()
        if event.write and self._origins:
            self._exclude_from_reads(event.class_number)
        request = self._request_factory.make(now, event, self._settings.peers_total)
        self._requests[request.id] = request
        if request.request_class.is_ordered and event.key is not None:
            self._key_order.enqueue(event.key, request)
        if event.key is not None and not event.write:
            request.key_load = self._hot_keys.record_read(event.key, len(self._rings))
        is_dropped = self._should_drop(now, request)
        if request.useful_until_ms <= now:
            self._reject(now, request, "late", MIN_MEMORY_MS)
        elif is_dropped:
            self._reject(now, request, "crowded", MIN_MEMORY_MS)
        else:
            self._route(now, request)

    def _should_drop(self, now: float, request: RequestState) -> bool:
        """Decides at random whether to drop the request because the cache servers as a whole are crowded."""
        # With few balancers the load differs from zone to zone, so each preferred server is checked instead.
        if request.write or self._rings.has_few_balancers:
            return False
        return should_drop(self._random, now, self._latency, self._read_objective_ms, request.over_quota)

    def _exclude_from_reads(self, class_number: int) -> None:
        """Removes the objective of a class with writes from those of reads, since writes go to the origin."""
        if self._read_objectives_ms.pop(class_number, 0.0):
            objectives_ms = self._read_objectives_ms.values()
            self._read_objective_ms = min(objectives_ms, default=self._objective_ms)

    def _route(self, now: float, request: RequestState) -> None:
        """Sends the request to the server that is selected for it, or makes it wait, or rejects it."""
        # All requests pass here before their first attempt, so none overtakes an earlier one for its key.
        if request.key_queue is not None and not request.attempts:
            queue = request.key_queue
            request.queued_for_key = queue.requests[0] is not request or not queue.is_settled(now)
            if request.queued_for_key:
                self._wait(now, request, queue.requests.index(request))
                return
        if request.write and self._settings.is_cache_aside:
            self._ask_origin(now, request)
            return
        if not self._retry_policy.permits(now, request):
            self._reject(now, request, "spent")
            return
        if request.key is not None and request.key in self._fetches.waiting_by_key and not request.write:
            self._await_fetch(now, request.key, request)
            return
        server = self._selector.select(now, request, self._read_objective_ms)
        if server is None:
            # While some servers are cold, the others may lack capacity: the origin then serves the request.
            if all(self._slow_start.is_warm(now, s) for s in self._servers.values()) and len(self._rings):
                self._reject(now, request, "bounds", MIN_MEMORY_MS)
            else:
                self._ask_origin(now, request)
            return
        # If cancels are permitted, `_check_server` cancels attempts at silent servers, and the long timeout
        # keeps busy servers from doing work twice. Otherwise half of the time is left for a retry.
        parts = 1 if self._settings.may_cancel else 2
        self._send(now, request, server, (request.useful_until_ms - now) / parts)

    def _send(self, now: float, request: RequestState, server: Server, timeout_ms: float) -> None:
        """Sends an attempt to the server, or rejects the request if no further attempt is permitted."""
        if not self._retry_policy.permits(now, request) or not is_in_dedup_scope(request, server):
            self._reject(now, request, "spent")
            return
        if request.attempts and not request.follows_miss:
            self._retry_budget.retry_times_ms.append(now)
        request.follows_miss = False
        request.in_flight[request.attempts] = (server, now)
        request.attempts += 1
        request.is_waiting = False
        if not server.in_flight:
            server.last_response_ms = now
            self._evaluator.close_untrusted(now, server)
        server.in_flight[request.id, request.attempts - 1] = (request, now)
        if not server.check_scheduled:
            server.check_scheduled = True
            self._timers.schedule(now + SILENCE_FACTOR * self._latency.mean_ms, self._check_server, server)
        self._actions.append(
            api.Send(request.id, server.entry.name, max(timeout_ms, self._settings.granularity_ms))
        )

    def _reject(
        self, now: float, request: RequestState, reason: str, retry_after_ms: float = RETRY_AFTER_MS
    ) -> None:
        """Ends the request: rejects it if the client may safely retry it, and fails it otherwise."""
        class_ = request.request_class
        # No attempt is in flight by now. If all servers share their idempotency keys, each detects a repeat.
        is_recognised = class_.idempotency is Idempotency.KEYED and class_.dedup_scope is DedupScope.ALL
        if request.possible_run_ms is None or class_.idempotency is Idempotency.SAFE or is_recognised:
            wait_ms = min(retry_after_ms, self._settings.max_retry_after_ms)
            self._actions.append(api.Reject(request.id, wait_ms, reason))
        else:
            self._actions.append(api.Fail(request.id, reason))
        self._end(now, request)

    def _end(self, now: float, request: RequestState) -> None:
        """Ends the request; its key and its fetch are released once all its attempts have ended too."""
        request.done = True
        if request.in_flight:
            return
        self._requests.pop(request.id, None)
        queue = request.key_queue
        if request.key is not None and queue is not None and request in queue.requests:
            queue.requests.remove(request)
            self._resume_next(now, request.key)
        if request.key is not None and request.is_fetching:
            # The requests that waited for its fetch are sent to the server that has the value now.
            for other in self._fetches.end(request.key, request):
                self._resume(now, other)

    def _resume_next(self, now: float, key: str) -> None:
        """Resumes the next request for a key whose requests are sent one at a time."""
        request_or_time = self._key_order.next_request(now, key)
        if isinstance(request_or_time, RequestState):
            self._resume(now, request_or_time)
        elif request_or_time is not None:
            self._timers.schedule(request_or_time, self._resume_next, key)

    def _on_client_gone(self, now: float, event: api.ClientGone) -> None:
        request = self._requests.get(event.request_id)
        if request is not None:
            self._end(now, request)

    def _on_stream_started(self, now: float, event: api.StreamStarted) -> None:
        request = self._requests.get(event.request_id)
        if request is not None and event.attempt in request.in_flight:
            request.stream_started = True
            self._outliers.record_response(now, request.in_flight[event.attempt][0])

    def _on_attempt_ended(self, now: float, event: api.AttemptEnded) -> None:
        request = self._requests.get(event.request_id)
        if request is None or event.attempt not in request.in_flight:
            return
        server, sent_ms = request.in_flight.pop(event.attempt)
        server.in_flight.pop((request.id, event.attempt), None)
        if server.removed:
            self._close_removed(now, server)
        if request.hedge_number and event.status in (Status.OK, Status.MISS):
            self._settle_hedge(request, event.attempt)
        if event.status not in api.NEVER_RAN and (
            request.possible_run_ms is None or sent_ms < request.possible_run_ms
        ):
            request.possible_run_ms, request.possible_run_server = sent_ms, server
        if request.key_queue is not None and self._settings.in_doubt_hold_ms and event.status in api.IN_DOUBT:
            request.key_queue.settled_at_ms = now + self._settings.in_doubt_hold_ms + DEADLINE_MARGIN_MS
        request.follows_miss |= event.status is Status.MISS
        can_retry_there = self._evaluator.evaluate(now, server, event.status, sent_ms, request)
        if event.request_over or request.done:
            self._end(now, request)
        elif not request.in_flight:
            self._retry(now, request, server, can_retry_there)
        if server.is_origin:
            self._fill_origin_slots(now)

    def _retry(self, now: float, request: RequestState, server: Server, can_retry_there: bool) -> None:
        """Sends the request again after its attempt at the server has failed or missed."""
        # The last attempt goes to the origin, since a third cache server would probably miss too.
        is_last_attempt = request.attempts == self._settings.max_attempts - 1
        if server.is_origin or (self._origins and (request.follows_miss or is_last_attempt)):
            self._ask_origin(now, request)
            return
        if not can_retry_there:
            request.tried_servers.append(server)
        if len(request.tried_servers) >= PREFERENCE_SET_SIZE:
            self._reject(now, request, "tried")
        else:
            self._route(now, request)

    def _ask_origin(self, now: float, request: RequestState) -> None:
        """Sends the request to the origin, makes it wait for a slot or for another fetch, or rejects it."""
        if self._settings.is_cache_aside and not self._origins:
            self._reject(now, request, "no_origin")
            return
        if not self._retry_policy.permits(now, request) or not any(
            is_in_dedup_scope(request, origin) for origin in self._origins
        ):
            self._reject(now, request, "spent")  # For example, the deadline may have passed.
            return
        if request.key is not None and not request.write and not request.is_fetching:
            if request.key in self._fetches.waiting_by_key:
                self._await_fetch(now, request.key, request)
                return
            self._fetches.begin(request.key, request)
        if self._origin_admission.should_drop(now, request):
            self._reject(now, request, "origin", MIN_MEMORY_MS)
            return
        ahead_count = self._origin_queue.push(now, request, self._origin_admission.priority(request))
        self._fill_origin_slots(now)
        if not request.in_flight and not request.done:
            self._wait(now, request, ahead_count / sum(origin.limit for origin in self._origins))

    def _await_fetch(self, now: float, key: str, request: RequestState) -> None:
        """Makes the request wait for another request's fetch; it then asks the server that has the value."""
        self._fetches.waiting_by_key[key].append(request)
        self._wait(now, request)

    def _wait(self, now: float, request: RequestState, ahead_count: float = 0.0) -> None:
        """Makes a request wait, at most until its response would come too late."""
        request.is_waiting = True
        wait_end_ms = self._origin_admission.latest_wait_end_ms(now, request, ahead_count)
        if wait_end_ms is None:
            self._reject(now, request, "queue")
        else:
            self._timers.schedule(wait_end_ms, self._end_wait, request)

    def _end_wait(self, now: float, request: RequestState) -> None:
        """Rejects a request that still waits when its wait is over."""
        if request.is_waiting and not request.done:
            self._reject(now, request, "waited")

    def _fill_origin_slots(self, now: float) -> None:
        """Sends queued requests to the origin while it has free slots."""
        while self._origin_queue and self._origins:
            origin = origin_slots.select_origin(self._origins, self._origin_latency.mean_ms, now)
            if origin is None:
                return
            request = self._origin_queue.pop()
            if request.done:
                continue
            if self._origin_admission.is_too_late(now, request):
                self._reject(now, request, "origin", MIN_MEMORY_MS)
            else:
                self._send(now, request, origin, request.deadline_ms - now)

    def _resume(self, now: float, request: RequestState) -> None:
        if request.is_waiting and not request.done:
            self._route(now, request)

    def _check_server(self, now: float, server: Server) -> None:
        """Checks a server with attempts in flight: hedges overdue reads, and ejects a silent server."""
        server.check_scheduled = bool(server.in_flight) and server.ejected_at_ms is None
        if not server.check_scheduled:
            return
        self._timers.schedule(now + CHECK_INTERVAL_MS, self._check_server, server)
        if self._settings.may_hedge:
            self._hedge_overdue(now, server)
        concurrency_limit.check_attempt_ages(server, now, self._objective_ms)
        if server.is_origin:
            self._fill_origin_slots(now)  # An attempt that hangs gives its slot back after some time.
            return
        self._outliers.check_silence(now, server, self._servers.values(), len(self._rings))

    def _hedge_overdue(self, now: float, server: Server) -> None:
        """Hedges reads whose connection may be dead while the server answers over other connections."""
        for (request_id, attempt), (request, sent_ms) in list(server.in_flight.items()):
            class_latency = self._origin_latency if server.is_origin else request.latency
            usual_ms = max(server.latency.mean_ms, class_latency.mean_ms)
            is_due = self._hedges.is_due(now, request, sent_ms, usual_ms, server.newest_answered_sent_ms)
            if is_due and self._retry_policy.permits(now, request):
                self._hedges.tokens -= 1.0
                del server.in_flight[request_id, attempt]  # This attempt no longer counts against the limit.
                request.hedge_number = request.attempts
                self._send(now, request, server, request.useful_until_ms - now)

    def _settle_hedge(self, request: RequestState, attempt: int) -> None:
        """Cancels the other attempt of a hedged request after an answer, and adapts the hedging delay."""
        self._hedges.record_result(attempt == request.hedge_number)
        self._actions += [api.Cancel(request.id, number) for number in request.in_flight]
        request.hedge_number = 0

    def _on_probe_ended(self, now: float, event: api.ProbeEnded) -> None:
        server = self._servers.get(event.server)
        if server is not None:
            self._outliers.record_probe(now, server, event.status, event.latency_ms)
