"""The origin's places: which attempts hold one, and when a silent origin gets a trial beyond its bound.

An attempt whose connection has died without a word is out until its own deadline, many seconds for a write.
A few of them hold every place, and nothing is sent that could show that the origin is well. Two things tell
them from the work of a slow origin:

- a later attempt was answered long ago: the origin is at work, the connection is lost, the place is free;
- nothing has been answered for so long that a working origin would have answered by now: one attempt at a
  time is sent beyond the bound, as a trial. A slow origin answers at its pace, so it gets no trials.

All times are milliseconds of one clock; `usual_ms` is the mean latency of the origin's answers.
"""

from balancer.request_state import Server

OVERDUE = 4.0  # mean latencies, in which a working origin answers: of exponential ones, all but one in fifty
TRIAL_MS = 500.0  # least time between two trials


def held(server: Server, usual_ms: float, now: float) -> int:
    """The places that are taken: of the attempts out, those that are not lost."""
    lost = min(server.newest_answered_sent_ms - usual_ms, now - OVERDUE * usual_ms)
    return sum(sent >= lost for _, sent in server.in_flight.values())


def silent(server: Server, usual_ms: float, now: float) -> bool:
    """Whether the origin, or the way there, may be dead.

    The gap between two answers of a working origin is at most the latency of the later one, so one that has
    grown slow is silent only until its mean has followed."""
    return bool(server.in_flight) and now - server.last_response_ms >= OVERDUE * usual_ms


def vacant(origins: list[Server], usual_ms: float, now: float) -> Server | None:
    """The origin to send one more attempt to, that with the fewest places taken; None if it has to wait."""
    origin = min(origins, key=lambda server: held(server, usual_ms, now))
    return origin if may_take(origin, usual_ms, now) else None


def may_take(server: Server, usual_ms: float, now: float) -> bool:
    """Whether one more attempt may be sent now; `next_probe_ms` of the server paces the trials."""
    if held(server, usual_ms, now) < server.limit:
        return True
    if now < server.next_probe_ms or not silent(server, usual_ms, now):
        return False
    latest = max(sent for _, sent in server.in_flight.values())
    if now - latest < OVERDUE * usual_ms:  # a trial, or another young attempt, may still be answered
        return False
    server.next_probe_ms = now + TRIAL_MS
    return True
