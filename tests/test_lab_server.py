"""The simulated nodes' servers and their cached keys, without I/O."""

from lab.server import Keys, Server


def test_a_server_takes_what_fits_and_turns_the_rest_away():
    server = Server(cores=2, speed=1.0, room=1)
    assert len(server.offer(0.0, "a", 1.0)) == 1
    assert len(server.offer(0.0, "b", 1.0)) == 1
    assert server.offer(0.0, "c", 1.0) == []
    assert server.offer(0.0, "d", 1.0) is None
    assert [job.name for job in server.finish(1.0, "a")] == ["c"]
    assert server.finish(1.0, "unknown") == []
    assert server.done_s == 1.0


def test_a_cold_server_is_slow_and_grows_warm():
    server = Server(cores=1, speed=2.0, room=0, born_s=10.0, cold_share=0.25, warm_s=8.0)
    assert server.pace(10.0) == 0.5
    assert server.pace(14.0) == 1.25
    assert server.pace(30.0) == 2.0


def test_keys_drop_what_was_used_longest_ago():
    keys = Keys(2)
    keys.store("a")
    keys.store("b")
    assert keys.hit("a")
    keys.store("c")
    assert keys.all() == ["a", "c"]
    assert not keys.hit("b")
