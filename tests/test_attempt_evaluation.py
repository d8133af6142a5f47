"""What a broken connection says of its server."""

from balancer_helpers import warm_up

from balancer import api
from balancer.api import Status


def test_a_connection_that_broke_unused_marks_nobody_and_the_next_is_fresh(drive):
    # buc-preturi big-1: 6071 resets on connections unused for 2.7 s and more, each a mark and a try.
    d = drive(idle_timeout_ms=10_000.0)
    warm_up(d)
    owner = d.owner("k")
    d.pass_time(6000)
    name = d.ask("k")
    d.answer(name, Status.RESET, after=2.0)
    assert not d.logs
    assert d.sends[name] == [owner, owner]
    d.serve(name, 60.0)
    d.pass_time(6000)
    assert d.owner("k") == owner
    assert d.closes[-1] == (d.now - 1.0, owner)


def test_connections_are_given_up_after_use_while_tables_are_full(drive):
    # bauakte-bayern big-1: 15,084 refused connects, the tables full of connections that idled.
    d = drive(may_probe=True)
    warm_up(d)
    for i in range(3):
        name = d.ask(f"k{i}")
        d.answer(name, Status.CONNECT_FAILED, after=1.0)
        d.handle(api.ProbeEnded(d.sends[name][0], Status.OK, 1.0))
        d.serve(name, 60.0)
    assert d.closes[-1][1] == d.sends[name][-1]
    warm_up(d)
    closed = len(d.closes)
    d.owner("k")
    assert len(d.closes) == closed
