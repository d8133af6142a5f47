"""Fetches from the origin: single flight, priority, and which requests are rejected instead of queued."""

from balancer_helpers import SLOW_CLASSES, slow_down_origin

from balancer import api
from balancer.api import Status


def test_requests_for_a_key_wait_for_its_fetch_and_then_ask_the_server_that_has_it(drive):
    d = drive()
    first = d.ask("hot")
    server = d.sends[first][0]
    d.answer(first, Status.MISS)
    waiters = [d.ask("hot") for _ in range(3)]
    assert not any(name in d.sends for name in waiters)
    d.serve(first)
    assert all(d.sends[name] == [server] for name in waiters)


def test_waiting_requests_are_rejected_in_time_when_the_fetch_never_ends(drive):
    d = drive()
    first = d.ask("hot")
    d.answer(first, Status.MISS)
    strict, lenient = d.ask("hot"), d.ask("hot", cls=3)
    d.pass_time(500)
    assert strict in d.ended
    assert lenient not in d.ended
    d.pass_time(1450)
    assert lenient in d.ended


def test_a_fetch_whose_client_disconnects_releases_the_waiting_requests(drive):
    d = drive()
    first = d.ask("hot")
    d.answer(first, Status.MISS)
    waiter = d.ask("hot")
    d.handle(api.ClientGone(first))
    d.handle(api.AttemptEnded(first, "origin", 1, Status.CANCELLED, 1.0, True))
    assert d.sends[waiter]


def test_the_origin_has_a_limit_and_serves_the_highest_priority_first(drive):
    important = api.RequestClass(latency_objective_ms=500.0, deadline_ms=2000.0, importance=8.0)
    ordinary = api.RequestClass(latency_objective_ms=500.0, deadline_ms=2000.0)
    d = drive(classes=(ordinary, important), peers_total=6)
    names = [d.ask(f"k{i}", write=True) for i in range(60)]
    sent = [name for name in names if name in d.sends]
    assert 0 < len(sent) < 60
    late_important = d.ask("w", cls=1, write=True)
    assert late_important not in d.sends
    d.serve(sent[0])
    assert late_important in d.sends


def test_varying_latencies_of_the_origin_do_not_lower_its_limit_to_one(drive):
    # The ordinary variation of its latencies was taken for crowding: the limit fell to one, too few values
    # were fetched, and the caches ran empty.
    d = drive(servers=4, peers_total=4)
    for i in range(60):
        d.serve(d.ask(f"w{i}", cls=0, write=True), 10.0)
        read = d.ask(f"k{i}")
        d.answer(read, Status.MISS, 1.0)
        d.serve(read, 60.0 if i % 3 else 350.0)
    names = [d.ask(f"x{i}", write=True) for i in range(4)]
    assert sum(name in d.sends for name in names) >= 4


def test_timeouts_at_the_origin_reduce_the_reads_sent_to_it(drive):
    # Every fetch was answered too late, so no value was cached and all reads missed.
    d = drive(servers=4, peers_total=40)
    fetch_count = 0
    for i in range(30):
        name = d.ask(f"k{i}")
        d.answer(name, Status.MISS, 1.0)
        if len(d.sends[name]) > 1:
            fetch_count += i >= 10
            d.answer(name, Status.TIMEOUT, 600.0)
    assert fetch_count < 12


def test_a_read_times_out_when_its_response_would_be_useless(drive):
    # A fifth of the responses came after the latency objective of their class, when they were worth nothing,
    # and the work for them kept the servers overloaded.
    d = drive()
    name, useful_late = d.ask("k"), d.ask("l", cls=3)
    assert d.timeouts_ms[name] < 500.0 < d.timeouts_ms[useful_late]
    d.answer(name, Status.TIMEOUT, after=d.timeouts_ms[name])
    assert isinstance(d.ended[name], api.Reject)


def test_writes_that_a_slow_origin_would_answer_too_late_leave_its_slots_to_reads(drive):
    # Writes have the highest priority. They occupied every slot and timed out, and no fetch got a slot for 35
    # s.
    d = drive(classes=SLOW_CLASSES)
    slow_down_origin(d)
    write, read = d.ask("w", cls=1, left=1000.0, write=True), d.ask("r")
    d.answer(read, Status.MISS, 1.0)
    assert isinstance(d.ended.get(write), api.Reject)
    assert write not in d.sends
    assert d.sends[read][-1] == "origin"
    d.pass_time(10_000)  # The latency estimate decays, so the origin is tried again.
    assert d.ask("w", cls=1, left=1000.0, write=True) in d.sends


def test_hot_keys_are_fetched_first(drive):
    # With an origin that serves a few fetches per second, hot keys waited behind keys that were read once.
    d = drive(classes=SLOW_CLASSES)
    for _ in range(30):  # The key is hot, and a cache server has its value.
        d.serve(d.ask("hot"), 1.0)
    once = [d.ask(f"once{i}") for i in range(60)]
    for name in once:
        d.answer(name, Status.MISS)
    waiting = [name for name in once if d.sends[name][-1] != "origin"]
    hot = d.ask("hot")
    d.answer(hot, Status.MISS)  # A write has invalidated the value.
    first = next(name for name in once if d.sends[name][-1] == "origin")
    assert len(waiting) > 5
    assert d.sends[hot][-1] != "origin"
    d.serve(first, 1.0)
    assert d.sends[hot][-1] == "origin"


def test_requests_that_could_not_be_fetched_in_time_are_rejected_at_once(drive):
    d = drive(classes=SLOW_CLASSES)
    slow_down_origin(d, 400.0, 10)
    names = [d.ask(f"k{i}") for i in range(200)]
    for name in [name for name in names if name in d.sends]:
        d.answer(name, Status.MISS)
    sent = [name for name in names if "origin" in d.sends.get(name, ())]
    rejected = [name for name in names if name in d.ended]
    assert 0 < len(sent) < 40
    assert len(rejected) > 50


def test_the_limit_of_the_origin_falls_before_late_responses_arrive(drive):
    # When the origin became slow, 18 attempts were in flight. Each was answered a second late, so for five
    # seconds no response came in time; the age of the attempts shows the slowness sooner than the responses.
    d = drive(classes=SLOW_CLASSES)
    origin = d.balancer._servers["origin"]
    names = [d.ask(f"k{i}") for i in range(20)]
    for name in names:
        d.answer(name, Status.MISS)
    limit_before = origin.limit
    d.pass_time(600)
    assert len(origin.in_flight) > 1
    assert origin.limit < 0.7 * limit_before
