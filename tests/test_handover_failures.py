"""The folder of the handover fails: the proxy serves on, and a line says that no successor can ask."""

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
TOO_LONG = "x" * 120  # for a Unix socket's address: the folder is opened


class Reactor:
    def addReader(self, reader):
        raise AssertionError("nothing listens")


def failing(number):
    def fail(*_arguments, **_named):
        raise OSError(number, os.strerror(number))

    return fail


def listener(path, lines):
    return SuccessorListener(Reactor(), str(path), LISTEN, None, None, lines)


def check_one_warning(lines, number):
    (line,) = lines.lines
    assert line.startswith("warn handover: no successor can ask")
    assert os.strerror(number) in line


@pytest.mark.parametrize("number", ERRORS)
@pytest.mark.parametrize("call", ["bind", "chmod", "socket"])
def test_a_socket_that_cannot_be_made_is_one_line(tmp_path, monkeypatch, call, number):
    class Socket(socket.socket):
        bind = failing(number)

    if call == "bind":
        monkeypatch.setattr(unix.Port, "createInternetSocket", lambda _: Socket(socket.AF_UNIX))
    elif call == "chmod":
        monkeypatch.setattr(unix.os, "chmod", failing(number))
    else:
        monkeypatch.setattr(sockets.socket, "socket", failing(number))
    lines = RecordingLog()
    opened = listener(tmp_path / "s", lines)
    opened.open()
    monkeypatch.undo()
    check_one_warning(lines, number)
    opened.close()  # and the end is as without it


@pytest.mark.parametrize("number", ERRORS)
def test_a_folder_that_cannot_be_opened_is_one_line(tmp_path, monkeypatch, number):
    path = tmp_path / TOO_LONG / "s"
    monkeypatch.setattr(sockets.os, "open", failing(number))
    lines = RecordingLog()
    listener(path, lines).open()
    monkeypatch.undo()
    check_one_warning(lines, number)


@pytest.mark.parametrize("number", ERRORS)
def test_a_successor_that_cannot_make_a_socket_takes_nothing_over_and_serves(tmp_path, monkeypatch, number):
    monkeypatch.setattr(successor.socket, "socket", failing(number))
    lines = RecordingLog()
    assert request_handover(str(tmp_path / "s"), LISTEN, lines) is None
    monkeypatch.undo()
    (line,) = lines.lines
    assert line.startswith("warn handover: nothing is taken over")
    assert os.strerror(number) in line


@pytest.mark.parametrize("number", ERRORS)
def test_a_stale_socket_that_cannot_be_removed_is_one_line(tmp_path, monkeypatch, number):
    path = tmp_path / "s"
    with socket.socket(socket.AF_UNIX) as stale:
        stale.bind(str(path))
    monkeypatch.setattr(sockets.os, "unlink", failing(number))
    lines = RecordingLog()
    opened = listener(path, lines)
    opened.open()
    monkeypatch.undo()
    check_one_warning(lines, errno.EADDRINUSE)
    opened.close()
