"""The log line that tells what the event loop did while it stalled."""

from rig import read


def test_a_stall_is_logged_with_the_commands_and_the_client_that_sent_most_of_them(rig):
    proxy = rig()
    proxy.stop_clock()  # A pause of the test's own process is no stall.
    conn = proxy.client()
    proxy.advance_clock(10)
    assert "stall" not in proxy.log.getvalue()
    conn.sendall(b"".join(read(number) for number in range(5)))
    proxy.run_until(lambda: proxy.service.dispatcher.open_count == 5)
    proxy.stall(400.0)
    proxy.run_iterations()
    (line,) = [line for line in proxy.log.getvalue().splitlines() if " warn stall: " in line]
    host, port = conn.getsockname()
    assert "5 commands, 0 attempts ended" in line
    assert line.endswith(f"most commands in a row: 5 of {host}:{port}")


def test_the_counts_of_one_stall_do_not_enter_the_next(rig):
    proxy = rig()
    proxy.stop_clock()  # A pause of the test's own process is no stall.
    conn = proxy.client(b"mn\r\n" * 3)
    proxy.receive_until(conn, b"MN", 3)
    proxy.advance_clock(10)
    work = proxy.service.timer_wheel.work
    proxy.run_until(lambda: not work.commands, "no tick came behind the commands")
    proxy.stall(400.0)
    proxy.run_iterations()
    (line,) = [line for line in proxy.log.getvalue().splitlines() if " warn stall: " in line]
    assert "0 commands" in line
    assert "most commands" not in line
