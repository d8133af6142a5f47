"""Defects that are put into a proxy to see that the soak finds them, by name."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

LATE_MS = 2000.0


def put_in_drain_without_end() -> None:
    """A drain closes connections between requests, and has no instant for all others."""
    from cloverwell import serving

    endless = dict.fromkeys(
        (
            "reject_ms",
            "close_mid_command_ms",
            "answer_deadline_ms",
            "half_close_ms",
            "close_ms",
            "close_stream_ms",
        ),
        float("inf"),
    )
    serving.DRAIN_SCHEDULE = replace(serving.DRAIN_SCHEDULE, **endless)


def put_in_flush_past_the_kill() -> None:
    """A stopping process gives its clients time beyond the kill to read and close."""
    from cloverwell import serving

    real = serving.shutdown_schedule

    def late(longest_deadline_ms: float, handed_over: bool) -> serving.DrainSchedule:
        """Return the schedule with each last instant behind the kill."""
        schedule = real(longest_deadline_ms, handed_over)
        bounds = {
            name: getattr(schedule, name) + LATE_MS
            for name in ("half_close_ms", "close_ms", "close_stream_ms", "close_all_ms", "linger_ms")
        }
        return replace(schedule, **bounds)

    serving.shutdown_schedule = late


def put_in_attempt_after_leave() -> None:
    """A client's close is not told to the dispatcher, so that its requests are sent and retried on."""
    from cloverwell.dispatcher import Dispatcher
    from cloverwell.request import Request

    def ignore(_dispatcher: Dispatcher, _requests: list[Request]) -> None:
        """Do nothing."""

    Dispatcher.client_disconnected = ignore  # type: ignore


def put_in_memory_without_bound() -> None:
    """The budget of memory grants whatever is asked for."""
    from cloverwell.memory_budget import MemoryBudget

    def ignore(budget: MemoryBudget, _limit_bytes: float, _rest_bytes: float) -> None:
        """Set no bound."""
        budget.set_total(float("inf"))

    MemoryBudget.resize = ignore  # type: ignore


def put_in_chunk_end_unchecked() -> None:
    """Whatever stands behind the data of a chunk is passed over, up to the end of its line."""
    from cloverwell.codec.chunked_body import ChunkedBodyDecoder, ChunkedState
    from cloverwell.codec.http_grammar import CRLF

    def skip_line(decoder: ChunkedBodyDecoder, data: bytes, start: int) -> int:
        """Go on behind the next line end."""
        decoder.state = ChunkedState.SIZE
        return data.find(CRLF, start) + len(CRLF)

    ChunkedBodyDecoder._read_data_end = skip_line  # type: ignore # noqa: SLF001


DEFECTS: dict[str, Callable[[], None]] = {
    "drain-without-end": put_in_drain_without_end,
    "flush-past-kill": put_in_flush_past_the_kill,
    "attempt-after-leave": put_in_attempt_after_leave,
    "chunk-end-unchecked": put_in_chunk_end_unchecked,
    "memory-without-bound": put_in_memory_without_bound,
}
