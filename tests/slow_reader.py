"""A client that reads its responses steadily and slowly, for tests on real sockets with small buffers."""

import contextlib
import socket

STEP_MS = 100.0
SMALL_BUFFER = 2048  # the least that the kernel allows is a little more
LARGE_BUFFER = 4 << 20
VALUE = bytes(range(256)) * 274  # over 64 KiB, so that it is passed on while it arrives
SHORT_VALUE = b"s" * 60_000  # sent in one piece
BYTES_PER_S = 5000  # a long value takes 14 s


class Reader:
    """A client that reads steadily and slowly, its cache node or origin, and the proxy between them."""

    def __init__(self, proxy, sending_buffer=SMALL_BUFFER):
        self.proxy = proxy
        proxy.stop_clock()
        self.received = b""
        self.expected = b""
        self.ended = ""
        self.conn = socket.socket()
        self.conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        self.conn.connect(proxy.address)
        self.conn.setblocking(False)
        proxy.client_sockets.append(self.conn)
        (self.connection,) = proxy.run_until(lambda: list(proxy.service.client_connections.connections))
        self.connection._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, sending_buffer)
        self.node = None
        self.to_send = b""  # by the node

    def ask(self, number, value, from_origin=False, given_bytes=None):
        """Has the client ask for a value, which the node or the origin begins to give at once.

        `given_bytes`: how many bytes of its answer are given in all, if not all of them.
        """
        self.conn.sendall(f"mg k{number} v O{number} Pc=page,t=acme,d=2000\r\n".encode())
        self.node = self.receiver_of(self.proxy.nodes[0], b" ")
        head = f"VA {len(value)} O{number}\r\n".encode()
        self.expected += head + value + b"\r\n"
        if from_origin:
            self.node.sendall(f"EN O{number}\r\n".encode())
            self.node = self.receiver_of(self.proxy.origin, b"GET ")
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(value)}\r\n\r\n".encode()
            self.to_send += head + value
        else:
            self.to_send += head + value + b"\r\n"
        self.to_send = self.to_send[:given_bytes]
        self.give()

    @property
    def is_connected(self):
        """True while the proxy holds the connection."""
        return self.connection in self.proxy.service.client_connections.connections

    def receiver_of(self, server, wanted):
        """Returns the server's connection on which a command comes."""

        def find():
            server.accept_nowait()
            for conn in server.accepted:
                with contextlib.suppress(OSError):
                    if wanted in conn.recv(1 << 16):
                        return conn
            return None

        return self.proxy.run_until(find, "no command came")

    def give(self):
        """Has the node give as much as the proxy takes."""
        while self.to_send:
            try:
                self.to_send = self.to_send[self.node.send(self.to_send) :]
            except BlockingIOError:
                break
            self.proxy.run_iterations(1)

    def read(self, byte_count):
        """Reads up to so many bytes of what has come."""
        if self.ended or not byte_count:
            return
        try:
            data = self.conn.recv(byte_count)
        except BlockingIOError:
            return
        except ConnectionResetError:
            self.ended = "reset"
            return
        self.received += data
        self.ended = "" if data else "closed"

    def read_for(self, span_ms, bytes_per_s=BYTES_PER_S):
        """Reads at this rate while so much time passes, or until the connection ends."""
        end_ms = self.proxy.now() + span_ms
        while self.proxy.now() < end_ms and not self.ended:
            self.proxy.advance_clock(STEP_MS)
            self.give()
            self.read(int(bytes_per_s * STEP_MS / 1000.0))

    def read_to_the_end(self):
        """Reads all that is left at full speed."""

        def has_all():
            self.give()
            self.read(1 << 20)
            return self.ended or len(self.received) >= len(self.expected)

        self.proxy.run_until(has_all, "the rest did not come")
