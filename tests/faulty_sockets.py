"""Sockets whose system calls fail, or transfer only a part of the data, as a test plans it.

`CallFaults` holds the planned results of one kind of call, in order: an error number, or `None` for a call
that succeeds. After the last one, every call succeeds, or fails with the error number `always`.
"""

import os
import socket

from twisted.internet import tcp

REAL_SOCKET = socket.socket


class CallFaults:
    """The planned faults of one kind of system call; with `most`, a call transfers at most so many bytes."""

    def __init__(self, *faults, always=None, most=None):
        self.faults, self.always, self.most = list(faults), always, most
        self.count = 0  # calls that were made
        self.failed = 0  # calls that failed

    def fault(self):
        """Counts a call, and returns the error number with which it fails, or None."""
        self.count += 1
        number = self.faults.pop(0) if self.faults else self.always
        self.failed += number is not None
        return number

    def check(self):
        """Counts a call, and raises its error if it is planned to fail."""
        if (number := self.fault()) is not None:
            raise OSError(number, os.strerror(number))


class FaultySocket(REAL_SOCKET):
    """A socket whose calls fail as the `CallFaults` of their kind says; `None` is no fault.

    A `peek` is a `recv` with flags, which leaves the data in the socket. An `error` is the result of a
    connect in progress, which is read with SO_ERROR.
    """

    recv_calls = peek_calls = send_calls = connect_calls = error_calls = None

    def recv(self, size, flags=0):
        calls = self.peek_calls if flags else self.recv_calls
        if calls is not None:
            calls.check()
            if calls.most:
                size = min(size, calls.most)
        return super().recv(size, flags)

    def send(self, data, flags=0):
        calls = self.send_calls
        if calls is not None:
            calls.check()
            if calls.most:
                data = bytes(data[: calls.most])
        return super().send(data, flags)

    def connect_ex(self, address):
        number = None if self.connect_calls is None else self.connect_calls.fault()
        return super().connect_ex(address) if number is None else number

    def getsockopt(self, level, option, *more):
        number = None
        if self.error_calls is not None and (level, option) == (socket.SOL_SOCKET, socket.SO_ERROR):
            number = self.error_calls.fault()
        return super().getsockopt(level, option, *more) if number is None else number


class OutgoingSockets:
    """The sockets of the connections that the proxy opens, by the address to which they are opened."""

    def __init__(self, monkeypatch):
        monkeypatch.setattr(tcp.Client, "createInternetSocket", lambda client: self.make(client))
        self.socket_calls = {}  # the faults of the calls that make a socket, by address
        self.plan = {}  # the faults of the calls of each kind, by address
        self.made = {}  # the sockets that were made, by address

    def plan_calls(self, address, **calls):
        """Plans the faults of the sockets that are opened to the address from now on."""
        self.plan[address] = calls
        return calls

    def fail_socket(self, address, *faults, always=None):
        """Plans faults of the calls that make sockets for the address."""
        calls = self.socket_calls[address] = CallFaults(*faults, always=always)
        return calls

    def make(self, client):
        if (calls := self.socket_calls.get(client.addr)) is not None:
            calls.check()
        made = FaultySocket(client.addressFamily, client.socketType)
        made.setblocking(False)
        for name, calls in self.plan.get(client.addr, {}).items():
            setattr(made, f"{name}_calls", calls)
        self.made.setdefault(client.addr, []).append(made)
        return made


class FaultyListeningSocket:
    """A listening socket whose `accept` fails as `calls` has planned.

    The sockets that it accepts have the faults `accepted`, by kind of call.
    """

    def __init__(self, listening, calls=None, **accepted):
        self.listening, self.calls, self.accepted = listening, calls or CallFaults(), accepted

    def accept(self):
        self.calls.check()
        accepted_socket, address = self.listening.accept()
        made = FaultySocket(fileno=accepted_socket.detach())
        for name, calls in self.accepted.items():
            setattr(made, f"{name}_calls", calls)
        return made, address

    def __getattr__(self, name):
        return getattr(self.listening, name)


def inject_accept_faults(port, calls=None, **accepted):
    """Replaces the port's listening socket by one with these faults, and returns it."""
    port.socket._listening_socket = made = FaultyListeningSocket(
        port.socket._listening_socket, calls, **accepted
    )
    return made


def cancel_watch(proxy):
    """Cancels the poll of discovery that the start may have begun before the test has planned its faults."""
    endpoint_discovery = proxy.service.endpoint_discovery
    endpoint_discovery._cancel_pending_poll()
    endpoint_discovery._close_connection()
