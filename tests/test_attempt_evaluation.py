"""What a broken or refused connection shows about its server."""

from balancer_helpers import warm_up

from balancer import api
from balancer.api import Status


def test_a_reset_of_an_idle_connection_ejects_no_server_and_is_retried_there(drive):
    # Servers close connections that have been idle for some seconds. Each reset of such a connection ejected
    # its server and used up an attempt.
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


def test_connections_are_closed_after_use_while_servers_refuse_connections(drive):
    # The connection tables of the servers were full of idle connections, and most connects were refused.
    d = drive(may_probe=True)
    warm_up(d)
    for i in range(3):
        name = d.ask(f"k{i}")
        d.answer(name, Status.CONNECT_FAILED, after=1.0)
        d.handle(api.ProbeEnded(d.sends[name][0], Status.OK, 1.0))
        d.serve(name, 60.0)
    assert d.closes[-1][1] == d.sends[name][-1]
    warm_up(d)
    close_count = len(d.closes)
    d.owner("k")
    assert len(d.closes) == close_count
