"""Sockets whose system calls fail, or do a part of their work, as a test says.

`Calls` are the faults of one kind of call, in the order in which they come: error numbers, or `None` for a
call that does its work. Behind the last one all calls do it, unless `always` is set.
"""

import os
import socket

from twisted.internet import tcp

SOCKET = socket.socket


class Calls:
    def __init__(self, *faults, always=None, most=None):
        self.faults, self.always, self.most = list(faults), always, most
        self.count = 0  # calls that were made
        self.failed = 0

    def fault(self):
        """The error number of the call that is made now, or None."""
        self.count += 1
        number = self.faults.pop(0) if self.faults else self.always
        self.failed += number is not None
        return number

    def check(self):
        if (number := self.fault()) is not None:
            raise OSError(number, os.strerror(number))


class FaultySocket(SOCKET):
    """`recv`, `peek` (a `recv` that leaves all where it is), `send` and `connect` are `Calls`, or None."""

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


class Outgoing:
    """The sockets of the proxy's own connections, by the address that they lead to."""

    def __init__(self, monkeypatch):
        monkeypatch.setattr(tcp.Client, "createInternetSocket", lambda client: self.make(client))
        self.socket_calls = {}
        self.plan = {}  # address: attributes of its sockets
        self.made = {}

    def at(self, address, **calls):
        """What befalls the sockets to the address that are opened from now on."""
        self.plan[address] = calls
        return calls

    def fail_socket(self, address, *faults, always=None):
        calls = self.socket_calls[address] = Calls(*faults, always=always)
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


class Listening:
    """A listening socket: `accept` fails as `calls` has it, and gives sockets with `accepted` calls."""

    def __init__(self, listening, calls=None, **accepted):
        self.listening, self.calls, self.accepted = listening, calls or Calls(), accepted

    def accept(self):
        self.calls.check()
        plain, address = self.listening.accept()
        made = FaultySocket(fileno=plain.detach())
        for name, calls in self.accepted.items():
            setattr(made, f"{name}_calls", calls)
        return made, address

    def __getattr__(self, name):
        return getattr(self.listening, name)


def accepting(port, calls=None, **accepted):
    """Has the port's listening socket do so from now on."""
    port.socket._listening_socket = made = Listening(port.socket._listening_socket, calls, **accepted)
    return made


def take_watch_back(proxy):
    """Discovery has not been asked yet: the start may have begun a call before its faults are set."""
    endpoint_discovery = proxy.service.endpoint_discovery
    endpoint_discovery._cancel_pending_poll()
    endpoint_discovery._close_connection()
