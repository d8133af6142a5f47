"""A receiver of HTTP answers without a connection, and h11 as a judge of the same bytes."""

import itertools

import h11
from http_reference import Verdict
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from cloverwell.codec.http import HttpReceiver

CLOSE = Failure(ConnectionDone())
RESET = Failure(ConnectionLost())


class Receiver(HttpReceiver):
    """Keeps the bodies of the answers, and whether something malformed came."""

    def __init__(self, memory=None):
        super().__init__(memory)
        self.waiting_calls = []  # what it has the next turn of the event loop do
        self.transport = StringTransport()
        self.bodies = []
        self.is_malformed = False
        self.closes = []  # of each answer, whether the connection carries no further one

    def answer_received(self, _head, body, closes):
        self.bodies.append(body)
        self.closes.append(closes)

    def framingLost(self, _reason):
        self.is_malformed = True
        self.ended = True

    def memory_refused(self):
        raise AssertionError("there is no limit")

    def call_in_next_turn(self, call):
        self.waiting_calls.append(call)

    def take_turn(self):
        """Does what waits for the next turn; returns whether there was anything."""
        calls, self.waiting_calls = self.waiting_calls, []
        for call in calls:
            call()
        return bool(calls)

    def take_all_turns(self):
        while self.take_turn():
            pass


def pieces(message, splits):
    """Returns the message, split at these places, each modulo its length."""
    places = [0, *sorted(split % (len(message) + 1) for split in splits), len(message)]
    return [message[start:end] for start, end in itertools.pairwise(places)]


def receive(message, splits=(), end=None):
    """Returns what the proxy makes of the first answer in a message; `end`: how the connection ends then."""
    receiver = Receiver()
    for piece in pieces(message, splits):
        receiver.dataReceived(piece)
        receiver.take_all_turns()
        if receiver.bodies:
            return Verdict.COMPLETE, receiver.bodies[0]
    if end is not None:
        receiver.connectionLost(end)
    if receiver.bodies:
        return Verdict.COMPLETE, receiver.bodies[0]
    return (Verdict.MALFORMED if receiver.is_malformed else Verdict.INCOMPLETE), b""


def judge_with_h11(message, closed=False):
    """Returns what h11 makes of the first answer in a message; `closed`: the connection ends behind it."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/k", headers=[("Host", "origin")]))
    connection.send(h11.EndOfMessage())
    connection.receive_data(message)
    if closed:
        connection.receive_data(b"")
    body = b""
    try:
        while True:
            match connection.next_event():
                case h11.Data() as event:
                    body += bytes(event.data)
                case h11.EndOfMessage():
                    return Verdict.COMPLETE, body
                case h11.NEED_DATA:
                    return Verdict.INCOMPLETE, b""
    except h11.RemoteProtocolError:
        return Verdict.MALFORMED, b""
