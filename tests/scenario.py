"""Runs scenarios: texts of one statement a line, on a whole proxy with a fake clock and fake transports.

A statement is `PARTY VERB TEXT`:

    client send mg k v O1 Pc=page,t=acme,d=900     sends bytes to the proxy; `|` is a line end, one is added
    s1 expect mg k v O1 *                          checks what the proxy wrote to it next; `*` is any text
    s1 expect nothing                              checks that the proxy wrote nothing more to it
    s1 expect end                                  checks that the proxy has closed the connection
    s1 close                                       breaks its connection, or refuses one that is requested
    s1 close orderly                               closes its connection without an error
    proxy close                                    asks the proxy to end, as SIGTERM does
    proxy expect end                               checks that the program has ended
    proxy send discovery2                          reloads a configuration with this address of discovery, as
                                                   SIGHUP does; `nonsense` is a malformed configuration
    wait 250                                       advances the clock by so many milliseconds
    operator send PUT /drain                       sends a whole HTTP call; with `|` it is sent as it stands

The parties are `client`, `operator`, the nodes `s1`, `s2` and so on, `origin`, `discovery` and `discovery2`;
`client#2` is the client's second connection. A node takes a connection that the proxy has requested when a
statement first refers to it. `origin` and `discovery` send HTTP responses: `STATUS [NAME: VALUE;]... BODY`.
The first header `Until: close;` stands for a body without a length, which ends with the connection. `++ TEXT`
at the end adds bytes behind the response. Comments begin with `#`, or with `##` behind a statement.
"""

import fnmatch
import io
import os
import socket

import msgspec
from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from balancer.settings import read_settings
from cloverwell.config import Config, ConfigError, Limits
from cloverwell.log import Log
from cloverwell.membership.endpoint_list import Endpoint, EndpointList
from cloverwell.proxy import Proxy
from lab.proxy_testbed import SETTINGS

HTTP_PARTIES = ("origin", "discovery", "discovery2")
IDLE_DESCRIPTOR = os.eventfd(0)  # a descriptor on which no event ever occurs
EPOCH_MS = -1.0e9  # what the fake clock showed at Unix time 0


class Transport(StringTransport):
    """A transport that records what the proxy writes, and stands in for its own socket.

    As the proxy's listening port, it only shows whether accepting is paused.
    """

    aborted = shut = False
    reactor = None
    unread = b""  # bytes in the socket's buffer, which the proxy has not read yet

    def setTcpNoDelay(self, on):
        self.no_delay = on

    def abortConnection(self):
        self.aborted = True
        self.loseConnection()
        if self.reactor is not None:  # like a real transport, in the next turn of the event loop
            self.reactor.callLater(0, self.protocol.connectionLost, Failure(ConnectionAborted()))

    def loseWriteConnection(self):
        self.shut = True

    def connectionLost(self, reason):
        self.loseConnection()
        self.protocol.connectionLost(reason)

    @property
    def accepting(self):
        """Returns whether this listening port is not paused."""
        return self.producerState == "producing"

    def waits(self):
        """Returns whether connections wait to be accepted at this listening port: never."""
        return False

    @property
    def ended(self):
        return self.disconnecting or self.aborted or self.shut

    def getHandle(self):
        return self

    def fileno(self):
        return IDLE_DESCRIPTOR

    def send(self, data):
        self.write(data)
        return len(data)

    def shutdown(self, how):
        self.shut = True

    def getsockopt(self, *option):
        raise OSError

    def recv(self, number, flags=0):
        if not self.unread:
            raise BlockingIOError
        data = self.unread[:number]
        if not flags & socket.MSG_PEEK:
            self.unread = self.unread[number:]
        return data


class Player:
    """A whole proxy on a fake clock, and the parties of a scenario, whose statements it runs."""

    def __init__(self, nodes=1, sockets=1024, operator=False, settings=SETTINGS, epoch_ms=EPOCH_MS):
        self.epoch_ms = epoch_ms  # a test changes it to step the wall clock
        self.reactor = MemoryReactorClock()
        self.reactor.advance(100.0)
        self.log = io.StringIO()
        self.ports = {"discovery": 100, "discovery2": 101, "origin": 200}
        self.ports |= {f"s{number}": 200 + number for number in range(1, nodes + 1)}
        members = [Endpoint(name, f"127.0.0.9:{port}") for name, port in self.ports.items() if name[0] == "s"]
        members.append(Endpoint("origin", "127.0.0.9:200", flavor="origin"))
        config = self.config = Config(
            "p",
            ("127.0.0.1", 11211),
            ("127.0.0.9", 100),
            1,
            Limits(sockets=sockets),
            EndpointList(41, True, members),
            read_settings(settings),
            ("127.0.0.1", 11212) if operator else None,
        )
        self.service = Proxy(self.reactor, config, Log(self.now, self.log), self.now, lambda: self.epoch_ms)
        self.service.start()
        self.connections = {}  # party -> its connections, each as (protocol, transport)
        self.requested_count = 0  # of the reactor's outgoing connections, how many have been sorted by party
        # party -> the factories of requested connections that it has neither taken nor refused
        self.pending_factories = {}

    def now(self):
        return self.reactor.seconds() * 1000.0

    def play(self, text):
        """Runs the statements of a scenario; a failed check names its line and shows the proxy's log."""
        for number, line in enumerate(text.splitlines(), 1):
            line = line.split("##")[0].strip()
            if line and not line.startswith("#"):
                try:
                    self.step(line)
                except AssertionError as error:
                    raise AssertionError(f"line {number}: {line}: {error}\n{self.log.getvalue()}") from None

    def step(self, line):
        party, command, text = [*line.split(None, 2), "", ""][:3]
        if party == "wait":
            for _ in range(int(command)):
                self.reactor.advance(0.001)
        elif party == "proxy":
            if command == "send":
                self.service.reload(lambda: self.read_replaced_config(text))
            else:
                self.service.stop() if command == "close" else self.check(
                    self.reactor.hasStopped, "the program still runs"
                )
        else:
            name, _, number = party.partition("#")
            getattr(self, command)(name, int(number or 1) - 1, text)

    def read_replaced_config(self, text):
        if text not in self.ports:
            raise ConfigError("EDGE_CONFIG", "malformed")
        return msgspec.structs.replace(self.config, discovery=("127.0.0.9", self.ports[text]))

    @staticmethod
    def check(condition, failure):
        assert condition, failure

    def connection(self, name, index):
        """Returns the party's connection of that index, counted from 0.

        One that is not there yet is made now: a client connects, a node takes a connection that the proxy has
        requested.
        """
        made = self.connections.setdefault(name, [])
        while len(made) <= index:
            if name == "client":
                factory = self.reactor.tcpServers[0][1]
            elif name == "operator":
                factory = self.reactor.tcpServers[1][1]
            else:
                factory = self.next_requested_factory(name)
                assert factory is not None, "the proxy requested no connection"
            protocol = factory.buildProtocol(IPv4Address("TCP", "127.0.0.9", self.ports.get(name, 1)))
            transport = Transport()
            made.append((protocol, transport))
            transport.protocol, transport.reactor = protocol, self.reactor
            protocol.makeConnection(transport)
        return made[index]

    def next_requested_factory(self, name):
        """Takes the oldest connection that the proxy has requested from the party, or returns None."""
        for _, port, factory, *_ in self.reactor.tcpClients[self.requested_count :]:
            self.requested_count += 1
            owner = next(party for party, party_port in self.ports.items() if party_port == port)
            self.pending_factories.setdefault(owner, []).append(factory)
        return self.pending_factories[name].pop(0) if self.pending_factories.get(name) else None

    def send(self, name, index, text):
        protocol, _ = self.connection(name, index)
        text, _, surplus = text.partition(" ++ ")
        if name == "operator":  # the text is the call's request line, or the whole head if it contains `|`
            text = text if "|" in text else f"{text} HTTP/1.1|Host: x|"
        data = text.replace("|", "\r\n") + "\r\n"
        if name in HTTP_PARTIES:
            *headers, body = text.split(" ", 1)[1].split("; ")
            framing = f"Content-Length: {len(body)}"
            if headers[:1] == ["Until: close"]:
                framing = "Connection: close"
            lines = [f"HTTP/1.1 {text.split()[0]} -", *headers, framing, "", body]
            data = "\r\n".join(lines)
        protocol.dataReceived((data + surplus.replace("|", "\r\n")).encode())

    def expect(self, name, index, text):
        if text == "nothing" and not self.connections.get(name):
            return self.check(self.next_requested_factory(name) is None, "the proxy requested a connection")
        _, transport = self.connection(name, index)
        written = transport.value().decode()
        if text == "end":
            return self.check(transport.ended, "not closed")
        if text == "nothing":
            return self.check(not written, repr(written))
        expected = text.replace("|", "\r\n")
        # Of memcache commands, as many lines are compared as the statement has. An HTTP message is compared
        # whole.
        size = (
            len(written)
            if name in HTTP_PARTIES or name == "operator"
            else self.size_of_lines(written, expected.count("\r\n") + 1)
        )
        transport.clear()
        transport.write(written[size:].encode())
        return self.check(fnmatch.fnmatchcase(written[:size].strip(), expected.strip()), repr(written))

    @staticmethod
    def size_of_lines(text, number):
        """Returns the length of the text's first `number` lines."""
        end = 0
        for _ in range(number):
            end = text.find("\r\n", end) + 2 if "\r\n" in text[end:] else len(text)
        return end

    def close(self, name, index, text):
        made = self.connections.get(name, [])
        if len(made) > index:
            made[index][0].connectionLost(
                Failure(ConnectionDone() if text == "orderly" else ConnectionLost())
            )
        else:
            factory = self.next_requested_factory(name)
            assert factory is not None, "the proxy requested no connection"
            factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
