"""Updates of the endpoint list, and events that arrive early, late or twice."""

from balancer_helpers import list_call_delays_ms

from balancer import api
from balancer.api import Status
from balancer.balancer import RESUBSCRIBE_TOKEN, Balancer


def test_the_list_is_fetched_once_and_again_with_backoff_after_failures(drive):
    d = drive()
    assert len(list_call_delays_ms(d.first_actions)) == 1
    delays_ms = []
    for _ in range(6):
        assert [type(a) for a in d.handle(api.TimerDue(RESUBSCRIBE_TOKEN))] == [api.Subscribe]
        (delay_ms,) = list_call_delays_ms(d.list(api.ListKind.FAILED))
        delays_ms.append(delay_ms)
    assert delays_ms[-1] > 3 * delays_ms[0]
    assert d.owner("k") in d.names


def test_first_list_calls_of_hundreds_of_balancers_are_spread_over_five_seconds(drive):
    # Calls that hundreds of balancers made as soon as they started failed together.
    delays_ms = [list_call_delays_ms(drive(seed=i, peers_total=400).first_actions)[0] for i in range(400)]
    assert max(delays_ms) <= 5000.0
    assert all(
        sum(1 for delay_ms in delays_ms if start <= delay_ms < start + 500) < 70
        for start in range(0, 5000, 500)
    )
    assert list_call_delays_ms(drive(peers_total=2).first_actions)[0] <= 40.0


def test_a_list_that_is_pushed_is_not_fetched(drive):
    assert not any(isinstance(a, api.Subscribe) for a in drive(is_list_pushed=True).first_actions)


def test_outcomes_of_unknown_and_of_ended_requests_are_ignored(drive):
    d = drive()
    assert d.handle(api.AttemptEnded("nobody", "s0", 0, Status.OK, 1.0, True)) == []
    name = d.ask()
    d.serve(name)
    assert d.handle(api.AttemptEnded(name, d.sends[name][0], 0, Status.OK, 1.0, True)) == []


def test_a_request_before_the_first_list_is_rejected():
    balancer = Balancer(api.Settings(classes=(api.RequestClass(500.0, 2000.0),)), 1)
    assert [type(a) for a in balancer.handle(0.0, api.Request("r", 0, 2000.0, "k"))] == [api.Reject]


def test_a_timer_reported_a_microsecond_early_is_handled(drive):
    # A clock that counts whole microseconds reports a timer slightly early, and only once. The balancer
    # ignored such a timer as not yet due, and so missed its last one.
    d = drive()
    first = d.ask("hot")
    d.answer(first, Status.MISS)
    waiter = d.ask("hot")
    while waiter not in d.ended and d.timers:
        when, token = min(d.timers)
        d.timers.remove((when, token))
        d.now = max(d.now, when - 0.001)
        d.handle(api.TimerDue(token))
    assert waiter in d.ended


def test_no_timer_is_set_while_no_attempt_is_in_flight(drive):
    d = drive()
    d.owner("k")
    d.pass_time(2000)
    assert not d.timers


def test_a_ring_updated_by_several_lists_equals_one_built_from_the_last(drive):
    # Sorting the tokens of all servers again for each list was too slow with hundreds of balancers, so
    # changes are merged into the ring; the result has to be the same.
    d, rebuilt = drive(servers=0), drive(servers=0)
    for first in range(4):
        entries = [api.ServerEntry(f"s{i}") for i in range(first, first + 6)]
        d.list(api.ListKind.FULL, entries)
    rebuilt.list(api.ListKind.FULL, entries)
    keys = [f"k{i}" for i in range(100)]
    assert [d.owner(key) for key in keys] == [rebuilt.owner(key) for key in keys]
