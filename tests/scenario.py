"""The scenario language: a statement a line, `PARTY VERB TEXT`, on a fake clock and string transports.

    client send mg k v O1 Pc=page,t=acme,d=900     bytes to the proxy; `|` is a line end, one is added
    s1 expect mg k v O1 *                          what the proxy wrote to it next (`*`: anything)
    s1 expect nothing | s1 expect end              no bytes | the proxy has closed it
    s1 close | s1 close orderly                    it breaks the connection, or refuses the one asked for
    proxy close                                    SIGTERM;  `proxy expect end`: the program has ended
    proxy send discovery2                          SIGHUP, with its file replaced (`nonsense`: by a bad one)
    wait 250                                       milliseconds

    operator send PUT /drain                       a caller's whole call; where it holds `|`, as it stands

Parties: `client`, the nodes `s1`, `s2`..., `origin`, `discovery` and `discovery2`; `client#2` is its second
connection. A node takes a connection when it first expects something. `origin` and `discovery` send HTTP:
`STATUS [Name: value;]... BODY` (`Until: close;` first: without a length), and `++ TEXT` behind it are further
bytes that come with it.
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

HTTP = ("origin", "discovery", "discovery2")
NOBODY = os.eventfd(0)  # a descriptor on which nothing ever happens
EPOCH_MS = -1.0e9  # the fake clock shows 0 then


class Transport(StringTransport):
    aborted = shut = False
    reactor = None
    unread = b""  # what the machine has not handed to the proxy yet

    def setTcpNoDelay(self, on):
        self.no_delay = on

    def abortConnection(self):
        self.aborted = True
        self.loseConnection()
        if self.reactor is not None:  # as the real one: with the next turn of the loop
            self.reactor.callLater(0, self.protocol.connectionLost, Failure(ConnectionAborted()))

    def loseWriteConnection(self):
        self.shut = True

    def connectionLost(self, reason):
        self.loseConnection()
        self.protocol.connectionLost(reason)

    @property
    def accepting(self):
        """As a listening port: it is not paused."""
        return self.producerState == "producing"

    def waits(self):
        """As a listening port: nobody waits to be accepted."""
        return False

    @property
    def ended(self):
        return self.disconnecting or self.aborted or self.shut

    def getHandle(self):
        return self

    def fileno(self):
        return NOBODY

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
    def __init__(self, nodes=1, sockets=1024, operator=False, settings=SETTINGS, epoch_ms=EPOCH_MS):
        self.epoch_ms = epoch_ms  # by a wall clock that a test may step
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
        self.connections = {}  # party -> its connections as (protocol, transport)
        self.requested_count = 0  # connections the proxy has asked for and a party has taken or refused
        self.pending_factories = {}  # party -> factories whose connection is asked for

    def now(self):
        return self.reactor.seconds() * 1000.0

    def play(self, text):
        for number, line in enumerate(text.splitlines(), 1):
            line = line.split("##")[0].strip()
            if line and not line.startswith("#"):
                try:
                    self.step(line)
                except AssertionError as error:
                    raise AssertionError(f"line {number}: {line}: {error}\n{self.log.getvalue()}") from None

    def step(self, line):
        party, verb, text = [*line.split(None, 2), "", ""][:3]
        if party == "wait":
            for _ in range(int(verb)):
                self.reactor.advance(0.001)
        elif party == "proxy":
            if verb == "send":
                self.service.reload(lambda: self.reread(text))
            else:
                self.service.stop() if verb == "close" else self.check(self.reactor.hasStopped, "still runs")
        else:
            name, _, place = party.partition("#")
            getattr(self, verb)(name, int(place or 1) - 1, text)

    def reread(self, text):
        if text not in self.ports:
            raise ConfigError("EDGE_CONFIG", "malformed")
        return msgspec.structs.replace(self.config, discovery=("127.0.0.9", self.ports[text]))

    @staticmethod
    def check(truth, reason):
        assert truth, reason

    def connection(self, name, place):
        """The party's connection of that number, taken now if it is asked for or is a client's."""
        held = self.connections.setdefault(name, [])
        while len(held) <= place:
            if name == "client":
                factory = self.reactor.tcpServers[0][1]
            elif name == "operator":
                factory = self.reactor.tcpServers[1][1]
            else:
                factory = self.next_requested_factory(name)
                assert factory is not None, "no connection was asked for"
            protocol = factory.buildProtocol(IPv4Address("TCP", "127.0.0.9", self.ports.get(name, 1)))
            transport = Transport()
            held.append((protocol, transport))
            transport.protocol, transport.reactor = protocol, self.reactor
            protocol.makeConnection(transport)
        return held[place]

    def next_requested_factory(self, name):
        for _, port, factory, *_ in self.reactor.tcpClients[self.requested_count :]:
            self.requested_count += 1
            owner = next(party for party, own in self.ports.items() if own == port)
            self.pending_factories.setdefault(owner, []).append(factory)
        return self.pending_factories[name].pop(0) if self.pending_factories.get(name) else None

    def send(self, name, place, text):
        protocol, _ = self.connection(name, place)
        text, _, more = text.partition(" ++ ")
        if name == "operator":  # the text is the call's first line, or with `|` its head
            text = text if "|" in text else f"{text} HTTP/1.1|Host: x|"
        data = text.replace("|", "\r\n") + "\r\n"
        if name in HTTP:
            *headers, body = text.split(" ", 1)[1].split("; ")
            ends = f"Content-Length: {len(body)}"
            if headers[:1] == ["Until: close"]:
                ends = "Connection: close"
            lines = [f"HTTP/1.1 {text.split()[0]} -", *headers, ends, "", body]
            data = "\r\n".join(lines)
        protocol.dataReceived((data + more.replace("|", "\r\n")).encode())

    def expect(self, name, place, text):
        if text == "nothing" and not self.connections.get(name):
            return self.check(self.next_requested_factory(name) is None, "a connection was asked for")
        _, transport = self.connection(name, place)
        written = transport.value().decode()
        if text == "end":
            return self.check(transport.ended, "not closed")
        if text == "nothing":
            return self.check(not written, repr(written))
        wanted = text.replace("|", "\r\n")
        # As many lines as are expected; of HTTP the whole, which is one message at a time.
        size = (
            len(written)
            if name in HTTP or name == "operator"
            else self.lines(written, wanted.count("\r\n") + 1)
        )
        transport.clear()
        transport.write(written[size:].encode())
        return self.check(fnmatch.fnmatchcase(written[:size].strip(), wanted.strip()), repr(written))

    @staticmethod
    def lines(text, number):
        place = 0
        for _ in range(number):
            place = text.find("\r\n", place) + 2 if "\r\n" in text[place:] else len(text)
        return place

    def close(self, name, place, text):
        held = self.connections.get(name, [])
        if len(held) > place:
            held[place][0].connectionLost(
                Failure(ConnectionDone() if text == "orderly" else ConnectionLost())
            )
        else:
            factory = self.next_requested_factory(name)
            assert factory is not None, "no connection was asked for"
            factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
