"""Updates of the endpoint list, and events that come early, late or twice."""

from balancer_helpers import list_timers

from balancer import api
from balancer.api import Status
from balancer.balancer import RESUBSCRIBE, Balancer


def test_list_is_asked_for_once_and_again_with_backoff(drive):
    d = drive()
    assert len(list_timers(d.first_actions)) == 1
    waits = []
    for _ in range(6):
        assert [type(a) for a in d.handle(api.TimerDue(RESUBSCRIBE))] == [api.Subscribe]
        (wait,) = list_timers(d.list(api.ListKind.FAILED))
        waits.append(wait)
    assert waits[-1] > 3 * waits[0]
    assert d.owner("k") in d.names


def test_first_calls_of_hundreds_are_spread_but_in_time_to_be_told(drive):
    # Hundreds that called at their start failed together.
    waits = [list_timers(drive(seed=i, peers_total=400).first_actions)[0] for i in range(400)]
    assert max(waits) <= 5000.0
    assert all(sum(1 for w in waits if start <= w < start + 500) < 70 for start in range(0, 5000, 500))
    assert list_timers(drive(peers_total=2).first_actions)[0] <= 40.0


def test_pushed_lists_are_not_asked_for(drive):
    assert not any(isinstance(a, api.Subscribe) for a in drive(is_list_pushed=True).first_actions)


def test_unknown_requests_and_repeated_outcomes_are_ignored(drive):
    d = drive()
    assert d.handle(api.AttemptEnded("nobody", "s0", 0, Status.OK, 1.0, True)) == []
    name = d.ask()
    d.serve(name)
    assert d.handle(api.AttemptEnded(name, d.sends[name][0], 0, Status.OK, 1.0, True)) == []


def test_before_the_first_list_a_request_is_refused():
    b = Balancer(api.Settings(classes=(api.RequestClass(500.0, 2000.0),)), 1)
    assert [type(a) for a in b.handle(0.0, api.Request("r", 0, 2000.0, "k"))] == [api.Reject]


def test_a_timer_called_a_microsecond_early_loses_nothing(drive):
    # The clock is in whole microseconds: a timer taken for overtaken was the last one.
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


def test_no_timer_while_nothing_is_out(drive):
    d = drive()
    d.owner("k")
    d.pass_time(2000)
    assert not d.timers


def test_a_ring_changed_by_many_lists_is_the_ring_of_the_last(drive):
    # Incident if53bd4: 808 balancers sorted all tokens of 191 servers for each list; now changes are merged.
    d, fresh = drive(servers=0), drive(servers=0)
    for round_ in range(4):
        entries = [api.ServerEntry(f"s{i}") for i in range(round_, round_ + 6)]
        d.list(api.ListKind.FULL, entries)
    fresh.list(api.ListKind.FULL, entries)
    keys = [f"k{i}" for i in range(100)]
    assert [d.owner(key) for key in keys] == [fresh.owner(key) for key in keys]
