"""One client's connection, in the memcache meta commands."""

from __future__ import annotations

import contextlib
import socket
from collections import deque
from functools import partial

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from cloverwell.codec.lines import MAX_LINE, MAX_WRITE, PEEK, RingLineReceiver, hung_up
from cloverwell.codec.meta import CommandError, read_fields
from cloverwell.codec.steady_socket import TryAgainError
from cloverwell.connections.arrival import Arrival
from cloverwell.front.connection_owner import ConnectionOwner
from cloverwell.front.meta_answers import BUSY, DRAINING, FAILED, SERVING, encode_answer
from cloverwell.front.pending_response import PendingResponse
from cloverwell.request import FinalAnswer, Rejected, Request, Served
from cloverwell.streamed_value import StreamedValue, StreamStage
from cloverwell.timer_wheel import STALL_MS

AHEAD = 64  # commands of one connection in hand at once: a client that pipelines more is not read for a while
MAX_PASSED = 1024 * 1024  # a longer value is not passed over: its client is told, and the connection closed
FREE_ERRORS, MAX_ERRORS = 8, 24  # malformed commands in a row that cost no pause, and that close a connection
ERROR_PAUSE_MS = 50.0  # what each of the others costs: the connection is not read for so long
FIRST_REQUEST_MS = 250.0  # what a new connection's first request may take to come, when this process empties
PASS_PAUSE_MS = 5.0  # nor behind each piece of what is thrown away once framing is lost
FLOW_PIECE = 32 * 1024  # of what goes out: the transport holds so much while its client does not read


class ClientConnection(RingLineReceiver):
    """One client's connection: commands become requests, answers leave in the order of the commands."""

    in_bytes = MAX_WRITE + 2 * MAX_LINE
    piece_bytes = FLOW_PIECE

    def __init__(self, side: ConnectionOwner) -> None:
        super().__init__()
        self._side = side
        self._turns: deque[PendingResponse] = deque()
        self._write: PendingResponse | None = None  # its request waits for the value
        self._skip = 0  # bytes to pass over, of a value that is not wanted
        self._error = ""  # what is wrong with the command whose value is passed over
        self._errors = 0  # malformed commands in a row
        self._paused = False  # for a while, behind an error
        self._first = True  # nothing has been read yet
        self._begun = False  # a command has begun and is not whole
        self._flow: StreamedValue | None = None  # the long value that is on its way out
        self._arrival = Arrival()
        self._made_ms = self.shut_ms = side.timer_wheel.now()  # when our side was closed

    def waited(self, since_ms: float) -> None:
        """It waited to be accepted: what it has sent may have come since then."""
        self._arrival.accepted(since_ms)

    def connectionMade(self) -> None:
        super().connectionMade()
        self._look_behind()

    def dataReceived(self, data: bytes) -> None:
        if self.ended or self._lost:
            # Read on, so that the client reads its answer rather than a reset; but at no cost to the others.
            self._pause(PASS_PAUSE_MS)
            return
        # It may have waited to be let in, or for a loop that was held up, and its client have left since: the
        # close stands behind what is read now.
        unread_delay_ms = self._side.timer_wheel.unread_delay_ms
        old, self._first = self._first or unread_delay_ms > STALL_MS, False
        if old and hung_up([self._socket]):
            self._side.have_left([self])
            return
        if not self._held:  # else it stands behind what came before
            self._arrival.read(
                self._side.timer_wheel.now(), not (len(self._in) or self._wanted), unread_delay_ms
            )
            self._look_behind()
        super().dataReceived(data)
        begun, self._begun = self._begun, self.halfway
        if self._begun and not begun:
            self._side.quiet(self)  # its time runs from the first byte on: a byte now and then wins nothing
        elif begun:
            self._side.more(self)

    def hold(self) -> None:
        super().hold()
        self._side.not_read[self] = None
        self._arrival.not_read(self._side.timer_wheel.now())

    def release(self) -> None:
        self._side.not_read.pop(self, None)
        if self._held:
            self._look_behind()
        super().release()

    def _look_behind(self) -> None:
        if self._arrival.behind and not self._unread():
            self._arrival.nothing_there()

    @property
    def waits(self) -> bool:
        """A request of it is open."""
        return any(turn.request is not None for turn in self._turns)

    def leave(self) -> list[Request]:
        """Its client has gone, and all that waits here is nobody's: hands over what is open, for its end."""
        self.end(abort=True)
        turns, self._turns = self._turns, deque()
        if self._flow is not None:
            self._end_flow()
        for turn in turns:
            if turn.flow is not None:
                turn.flow.drop()
        return [turn.request for turn in turns if turn.request is not None]

    @property
    def begun_ms(self) -> float:
        """When the first byte of the command in hand was read."""
        return self._arrival.seen_ms

    def _pause(self, wait_ms: float) -> None:
        if not self._paused:
            self._paused = True
            self.transport.pauseProducing()
            timer_wheel = self._side.timer_wheel
            timer_wheel.not_before(timer_wheel.now() + wait_ms, self._go_on)

    def _go_on(self) -> None:
        self._paused = False
        if self.ended or self._lost:
            self.transport.resumeProducing()
        else:
            self._flush()

    # Commands ----------------------------------------------------------------------------------

    def lineReceived(self, line: bytes) -> None:
        if not line.isascii():
            return self._reject("not ASCII")
        words = line.decode().split(" ")
        match words[0]:
            case "mn" if len(words) == 1:
                self._errors = 0
                self._side.busy(self)
                self._say(SERVING if self._side.serving.wanted else DRAINING)
            case "mg":
                self._read(words)
            case "ms":
                self._store(words)
            case _:
                self._reject("unknown command")
        return None if self._wanted else self._arrival.ended()

    def _read(self, words: list[str]) -> None:
        try:
            if len(words) < 3 or words[2] != "v":
                raise CommandError("mg needs a key and v")
            turn = self._parse_request(words[1], words[3:], write=False)
        except CommandError as error:
            return self._reject(str(error))
        return self._take(turn)

    def _store(self, words: list[str]) -> None:
        length = words[2] if len(words) > 2 else ""
        if not length.isdigit() or len(length) > 9:
            return self._lose("ms needs a key and a length")
        number = int(length)
        if number > MAX_PASSED:
            return self._lose("value too large")
        try:
            if number > MAX_WRITE:
                raise CommandError("value too large")
            self._write = self._parse_request(words[1], words[3:], write=True)
        except CommandError as error:
            # The length is known: the value is passed over, and the connection stays in step.
            self._error, self._skip = str(error), number + 2
            return self._pass_over()
        return self.expect_value(number + 2)

    def _pass_over(self) -> None:
        piece = min(self._skip, MAX_WRITE)
        self._skip -= piece
        self.expect_value(piece)

    def valueReceived(self, data: bytes) -> None:
        if self._error:
            if self._skip:
                return self._pass_over()
            error, self._error = self._error, ""
            return self._reject(error)
        turn, self._write = self._write, None
        if not data.endswith(b"\r\n"):
            return self._lose("bad data chunk")
        turn.request.value = data[:-2]
        self._take(turn)
        self._arrival.ended()
        return None

    def _parse_request(self, key: str, flags: list[str], write: bool) -> PendingResponse:
        fields = read_fields(key, flags, self._side.classes, self._side.tenants)
        turn = PendingResponse()
        turn.request = Request(
            id=fields.id,
            class_number=fields.class_number,
            tenant=fields.tenant,
            key=fields.key,
            write=write,
            left_ms=fields.wait_ms,
            value=b"",
            info=fields.info,
            answer=partial(self._give, turn),
        )
        return turn

    def _give(self, turn: PendingResponse, request: Request, answer: FinalAnswer) -> None:
        turn.request = None  # each knows the other: a cycle for every request is work for the collector
        turn.data = encode_answer(request, answer)
        if isinstance(answer, Served) and isinstance(answer.body, StreamedValue):
            turn.flow = answer.body
            turn.flow.wanted = True
        self._flush()

    def _take(self, turn: PendingResponse) -> None:
        self._errors = 0
        # `d` counts from its first byte, which may have lain unread, or come long before a slow last one.
        turn.request.left_ms = self._arrival.left_ms(self._side.timer_wheel.now(), turn.request.left_ms)
        self._turns.append(turn)
        self._side.busy(self)
        if len(self._turns) >= AHEAD:
            self.hold()
        if self._side.crowded():
            turn.request.finish(Rejected(self._side.busy_ms))
        else:
            self._side.dispatcher.take(turn.request)

    def _reject(self, reason: str) -> None:
        self._errors += 1
        if self._errors >= MAX_ERRORS:
            return self._lose(reason)
        if self._errors > FREE_ERRORS:
            # One that sends the like again as soon as it is turned away must not take the others' time.
            self.hold()
            self._pause(ERROR_PAUSE_MS)
        return self._say(f"CLIENT_ERROR {reason}\r\n".encode())

    def _lose(self, reason: str) -> None:
        """Framing is lost: the answers that are owed still leave, and this one is the last."""
        self._say_last(f"CLIENT_ERROR {reason}\r\n".encode())

    def _say_last(self, words: bytes) -> None:
        self._lost = True
        self._in.clear()
        self.hold()
        self._say(words)

    def framingLost(self, reason: str) -> None:
        self._lose(reason)

    # Answers -----------------------------------------------------------------------------------

    def _say(self, data: bytes) -> None:
        self._turns.append(PendingResponse(data))
        self._flush()

    def _flush(self) -> None:
        """Sends the answers whose turn it is, as far as there is room."""
        while self._turns and self._turns[0].data is not None:
            turn = self._turns[0]
            if (
                turn.flow is not None and turn.flow.stage is StreamStage.ENDED
            ):  # it broke before its turn came
                turn.data, turn.flow = FAILED, None
            if not self.put(turn.data):
                break
            if turn.flow is not None:
                turn.data = None
                self._begin(turn.flow)
            else:
                self._turns.popleft()
        if not self._turns:
            self._side.quiet(self)
            if self._lost:
                return self._close_behind()
            # Who asks again at once would never be seen idle. More may have been read than is handed on yet.
            if not (self._parsing or self.awaits_first) and self._side.lets_go():
                self.let_go()
        if len(self._turns) >= AHEAD:
            self.hold()
        elif not self._lost and not self._paused:
            self.release()
        return None

    def roomMade(self) -> None:
        if self._flow is not None and len(self._out) <= self._side.ahead() // 2:
            self._flow.go_on()
        self._flush()

    def _begin(self, flow: StreamedValue) -> None:
        self._flow = flow
        self._side.flows += 1
        flow.open(self._pass_on, self._passed)

    def _pass_on(self, data: bytes) -> None:
        if not self.put(data):
            self._end_flow().drop()
            self.end(abort=True)
        elif len(self._out) > self._side.ahead():
            self._flow.hold()

    def _passed(self, whole: bool) -> None:
        self._end_flow()
        self._turns.popleft()
        if whole:
            self.put(b"\r\n")  # there is room: the ring is larger than what flows are ahead by
            self._flush()
        else:
            self.end()  # behind a part of the value: its client can tell

    def _end_flow(self) -> StreamedValue:
        flow, self._flow = self._flow, None
        self._side.flows -= 1
        return flow

    # The end -----------------------------------------------------------------------------------

    @property
    def between_requests(self) -> bool:
        return not self._turns and not len(self._in) and not self._wanted

    def _close_behind(self) -> None:
        """Closes our side behind the last answer. To close both with bytes unread would be a reset, and the
        client might never read that answer."""
        if not self.ended:
            self.end(only_ours=True)
            self.transport.resumeProducing()
            self._side.closing(self)

    @property
    def halfway(self) -> bool:
        return not self._turns and not self.between_requests

    @property
    def unread(self) -> bool:
        """Its client has not read all of its answers."""
        return self._writing

    @property
    def awaits_first(self) -> bool:
        """Its first request may be on the way: closed now, it would be read and get no answer."""
        return self._first and self._side.timer_wheel.now() - self._made_ms < FIRST_REQUEST_MS

    def time_out(self) -> bool:
        """It has had no open request for long enough: tells of half a command, and closes."""
        if not self.halfway:
            return self.let_go()
        if self.ended or self._lost or self._paused or self._unread():
            return False
        self._lose("half a command")
        return True

    def let_go(self, cut: bool = False) -> bool:
        """Closes between requests, if this is such a moment; `cut`: a part of a request is none.

        What stands behind malformed commands, until the pause for them is over, may be whole requests."""
        if self.ended or self._turns or self._writing or self._paused:
            return False
        if (not cut and not self.between_requests) or self._unread():
            return False
        if self.halfway:
            # What comes of it yet would be a request that was taken, and is owed a line.
            self._say_last(BUSY)
            return True
        self.ended = True
        self._side.closing(self)
        # At once, not with the reactor's next turn: a request that comes before it would be lost. The client
        # sees the end, closes, and sends what crossed it elsewhere.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)
        return True

    def _unread(self) -> bool:
        """A request may stand in the machine's buffer: that one is taken, and a close would lose it."""
        try:
            return bool(self._socket.recv(1, PEEK))
        except TryAgainError:
            return True  # nobody knows
        except OSError:
            return False

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        super().connectionLost(reason)
        if self._turns:
            self._side.have_left([self])
        self._side.closed(self)
