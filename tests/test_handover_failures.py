"""Faults of the handover's folder and socket: the proxy goes on serving, and logs one line."""

import errno
import os
import socket

import pytest
from control_net_rig import RecordingLog
from twisted.internet import unix

from cloverwell.handover import sockets, successor
from cloverwell.handover.predecessor import SuccessorListener
from cloverwell.handover.successor import request_handover

LISTEN = ("127.0.0.1", 1)
ERRORS = [errno.ENOSPC, errno.EIO, errno.EROFS, errno.EACCES, errno.EMFILE]
# Too long for a Unix socket's address: the path goes through a descriptor of its folder.
TOO_LONG = "x" * 120


class Reactor:
    def addReader(self, reader):
        raise AssertionError("no port may listen")


def failing(error_number):
    def fail(*_arguments, **_named):
        raise OSError(error_number, os.strerror(error_number))

    return fail


def successor_listener(path, lines):
    return SuccessorListener(Reactor(), str(path), LISTEN, None, None, lines)


def check_one_warning(lines, error_number):
    (line,) = lines.lines
    assert line.startswith("warn handover: can't listen for a successor")
    assert os.strerror(error_number) in line


@pytest.mark.parametrize("error_number", ERRORS)
@pytest.mark.parametrize("call", ["bind", "chmod", "socket"])
def test_a_socket_that_cannot_be_created_is_logged_in_one_line(tmp_path, monkeypatch, call, error_number):
    class Socket(socket.socket):
        bind = failing(error_number)

    if call == "bind":
        monkeypatch.setattr(unix.Port, "createInternetSocket", lambda _: Socket(socket.AF_UNIX))
    elif call == "chmod":
        monkeypatch.setattr(unix.os, "chmod", failing(error_number))
    else:
        monkeypatch.setattr(sockets.socket, "socket", failing(error_number))
    lines = RecordingLog()
    listener = successor_listener(tmp_path / "s", lines)
    listener.open()
    monkeypatch.undo()
    check_one_warning(lines, error_number)
    listener.close()  # Closing raises nothing although no port listens.


@pytest.mark.parametrize("error_number", ERRORS)
def test_a_folder_that_cannot_be_opened_is_logged_in_one_line(tmp_path, monkeypatch, error_number):
    path = tmp_path / TOO_LONG / "s"
    monkeypatch.setattr(sockets.os, "open", failing(error_number))
    lines = RecordingLog()
    successor_listener(path, lines).open()
    monkeypatch.undo()
    check_one_warning(lines, error_number)


@pytest.mark.parametrize("error_number", ERRORS)
def test_a_successor_that_cannot_create_a_socket_starts_without_a_handover(
    tmp_path, monkeypatch, error_number
):
    monkeypatch.setattr(successor.socket, "socket", failing(error_number))
    lines = RecordingLog()
    assert request_handover(str(tmp_path / "s"), LISTEN, lines) is None
    monkeypatch.undo()
    (line,) = lines.lines
    assert line.startswith("warn handover: the handover failed")
    assert os.strerror(error_number) in line


@pytest.mark.parametrize("error_number", ERRORS)
def test_a_stale_socket_that_cannot_be_removed_is_logged_in_one_line(tmp_path, monkeypatch, error_number):
    path = tmp_path / "s"
    with socket.socket(socket.AF_UNIX) as stale:
        stale.bind(str(path))
    monkeypatch.setattr(sockets.os, "unlink", failing(error_number))
    lines = RecordingLog()
    listener = successor_listener(path, lines)
    listener.open()
    monkeypatch.undo()
    check_one_warning(lines, errno.EADDRINUSE)
    listener.close()
