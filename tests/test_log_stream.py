"""A log whose disk is full, or whose descriptor is closed or not read, changes nothing about the program."""

import os
import subprocess
import sys

import pytest

from cloverwell.log_stream import LineStream, standard_error_stream

FULL_DEVICE = "/dev/full"  # each write fails with ENOSPC
TIMEOUT_S = 30


def run(code, **streams):
    environ = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
    command = [sys.executable, *code]
    return subprocess.run(command, env=environ, timeout=TIMEOUT_S, **streams).returncode


def test_a_start_without_a_configuration_exits_with_2_when_its_log_is_full():
    with open(FULL_DEVICE, "w") as full:
        assert run(["-m", "cloverwell"], stderr=full) == 2


def test_a_program_whose_log_is_full_keeps_its_exit_code():
    code = "import sys; from cloverwell.log import Log; Log(lambda: 0.0).warn('a', 'b'); sys.exit(0)"
    with open(FULL_DEVICE, "w") as full:
        assert run(["-c", code], stderr=full) == 0


def test_a_log_that_nobody_reads_does_not_block_the_program():
    # The program writes more lines than the pipe holds, nobody reads them, and it must still end.
    code = (
        "from cloverwell.log import Log\n"
        "log = Log(lambda: 0.0)\n"
        "for number in range(400):\n"
        "    log.warn(f'kind {number}', 'x' * 1000)\n"
    )
    reader, writer = os.pipe()
    try:
        assert run(["-c", code], stderr=writer) == 0
    finally:
        os.close(reader)
        os.close(writer)


def test_lost_lines_are_counted_and_the_next_line_starts_on_a_new_line():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    stream = LineStream(writer)
    for _ in range(40):
        stream.write_line("x" * 3000)
    received = b""
    while data := _read(reader):
        received += data
    stream.write_line("after")
    written = _read(reader).decode()
    complete_lines = received.count(b"\n")
    assert 0 < complete_lines < 40
    assert written.lstrip("\n") == f"log: {40 - complete_lines} lines were lost before this one\nafter\n"
    assert written.startswith("\n") == (not received.endswith(b"\n"))
    os.close(reader)
    stream.write_line("nobody reads")  # EPIPE
    os.close(writer)


def _read(reader):
    try:
        return os.read(reader, 1 << 20)
    except BlockingIOError:
        return b""


@pytest.mark.parametrize("broken", [None, object()])
def test_without_a_standard_error_nothing_is_written(monkeypatch, broken):
    monkeypatch.setattr(sys, "stderr", broken)
    assert standard_error_stream() is None
