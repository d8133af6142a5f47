"""A client that takes bytes only when a test lets it, and cache nodes that answer when the test says so."""

import itertools

from scenario import Player

from cloverwell.back.attempt_writer import MAX_READ_BYTES
from cloverwell.back.node_connection import LATE_DATA_MS, STREAM_READ_BYTES

LINE_END = b"\r\n"


class HeldTransport:
    """Replaces the sending side of a memory transport: it takes only as many bytes as `read` has allowed."""

    def __init__(self, transport):
        self.transport, self.room, self.received = transport, 0, bytearray()
        transport.send, transport.write = self.send, self.write
        self.unsent = bytearray()

    def send(self, data):
        taken = bytes(data[: self.room])
        if not taken:
            raise BlockingIOError
        self.room -= len(taken)
        self.received += taken
        return len(taken)

    def write(self, data):
        self.unsent += data

    def read(self, number):
        """Lets the client read `number` bytes."""
        while number and self.unsent:
            taken = self.unsent[:number]
            del self.unsent[: len(taken)]
            self.received += taken
            number -= len(taken)
            if not self.unsent:
                self.transport.protocol.resumeProducing()
        self.room += number


class Answer:
    """The answer to one read, which its node gives in pieces."""

    def __init__(self, name, protocol, transport, answer, from_origin=False):
        self.name, self.protocol, self.transport, self.rest = name, protocol, transport, memoryview(answer)
        self.from_origin = from_origin
        self._read_any = False

    @property
    def may_give(self):
        """Whether the node has more to give, and the proxy reads it."""
        return bool(self.rest) and self.transport.producerState == "producing"

    def give(self, byte_count=MAX_READ_BYTES):
        """Has the proxy read some of the answer, at most as much as it reads at once."""
        count = min(byte_count, STREAM_READ_BYTES if self._read_any else MAX_READ_BYTES)
        self._read_any = True
        piece, self.rest = bytes(self.rest[:count]), self.rest[count:]
        self.protocol.dataReceived(piece)


class HeldClient:
    """A proxy, a client with many open reads on one connection, and the nodes that they reach."""

    def __init__(self, player=None):
        self.player = player or Player()
        self.connection, transport = self.player.connection("client", 0)
        self.client = HeldTransport(transport)
        self.answers = []
        self.expected = b""

    @property
    def is_open(self):
        """Whether the proxy has neither reset nor closed the connection."""
        return not self.client.transport.ended

    def ask(self, value, from_origin=False):
        """Sends a read, and returns the answer that its node is to give."""
        name = f"O{len(self.answers) + 1}"
        self.connection.dataReceived(f"mg k{name} v {name} Pc=page,t=acme,d=1900\r\n".encode())
        protocol, transport = self._reached("s1", f" {name} ")
        head = f"VA {len(value)} {name}\r\n".encode()
        self.expected += head + value + LINE_END
        answer = head + value + LINE_END
        if from_origin:
            protocol.dataReceived(f"EN {name}\r\n".encode())
            self._let_origin_be_usable()
            protocol, transport = self._reached("origin", f"GET /k{name} ")
            answer = f"HTTP/1.1 200 OK\r\nContent-Length: {len(value)}\r\n\r\n".encode() + value
        self.answers.append(Answer(name, protocol, transport, answer, from_origin))
        return self.answers[-1]

    def ask_and_answer(self, value, from_origin=False):
        """Sends a read whose node gives all that the proxy reads."""
        answer = self.ask(value, from_origin)
        while answer.may_give:
            answer.give()
        return answer

    def _let_origin_be_usable(self):
        """Lets the time pass for which a connection to the origin is not used behind an answer."""
        for answer in self.answers:
            while answer.may_give and answer.protocol in answer.protocol._pool.partial_answers:
                answer.give()  # An answer that has begun is given up if it does not go on.
        self.player.play(f"wait {int(LATE_DATA_MS) + 5}")

    def ask_at_once(self, command, response):
        """Sends a command that the proxy answers itself."""
        self.connection.dataReceived(command)
        self.expected += response

    def _reached(self, server, wanted):
        """Returns the server's end of the connection to which a request was written, whichever it is."""
        for index in itertools.count():
            protocol, transport = self.player.connection(server, index)
            if wanted.encode() in transport.value():
                transport.clear()
                return protocol, transport
        raise AssertionError(f"nothing with {wanted!r} was sent")

    def read_all(self, step_bytes=50_000):
        """Reads all answers in steps, while the nodes give what the proxy reads of them."""
        steps_left = 10 + 2 * len(self.expected) // step_bytes
        while self.is_open and len(self.client.received) < len(self.expected) and steps_left:
            steps_left -= 1
            for answer in self.answers:
                if answer.may_give:
                    answer.give()
            self.client.read(step_bytes)
        return bytes(self.client.received)
