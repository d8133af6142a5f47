"""The origin's slots: which attempts occupy one, and when a silent origin gets an attempt beyond its limit.

An attempt whose connection has died without a reset stays in flight until its own deadline, which for a
write is many seconds. A few such attempts occupy every slot, and then nothing is sent that could show that
the origin has recovered. Two rules tell such attempts from the work of a slow origin:

- If an attempt that was sent later was answered long ago, the origin is working and the connection of the
  earlier attempt is dead, so its slot is free again.
- If nothing has been answered for so long that a working origin would have answered by now, one attempt at a
  time is sent beyond the limit, as a trial. A slow origin keeps answering at its own pace, so it gets no
  trials.

All times are milliseconds of one clock; `usual_ms` is the mean latency of the origin's responses.
"""

from balancer.request_state import Server

# The number of mean latencies within which a working origin answers: with exponentially distributed
# latencies, 98% of its responses come sooner.
OVERDUE_FACTOR = 4.0
# The shortest time between two trial attempts.
TRIAL_INTERVAL_MS = 500.0


def slots_in_use(server: Server, usual_ms: float, now: float) -> int:
    """Returns the number of occupied slots: all attempts in flight except those that must be lost."""
    lost_before_ms = min(server.newest_answered_sent_ms - usual_ms, now - OVERDUE_FACTOR * usual_ms)
    return sum(sent_ms >= lost_before_ms for _, sent_ms in server.in_flight.values())


def is_silent(server: Server, usual_ms: float, now: float) -> bool:
    """Returns whether the origin, or the network path to it, may be dead.

    The gap between two responses of a working origin is no longer than the latency of the later one. An
    origin that has become slow therefore counts as silent only until its mean latency has risen.
    """
    return bool(server.in_flight) and now - server.last_response_ms >= OVERDUE_FACTOR * usual_ms


def select_origin(origins: list[Server], usual_ms: float, now: float) -> Server | None:
    """Returns the origin with the fewest slots in use, or None if no attempt may be sent to it now."""
    origin = min(origins, key=lambda server: slots_in_use(server, usual_ms, now))
    return origin if can_send(origin, usual_ms, now) else None


def can_send(server: Server, usual_ms: float, now: float) -> bool:
    """Returns whether one more attempt may be sent now.

    The server's `next_probe_ms` is the earliest time of the next trial; each trial postpones it.
    """
    if slots_in_use(server, usual_ms, now) < server.limit:
        return True
    if now < server.next_probe_ms or not is_silent(server, usual_ms, now):
        return False
    newest_sent_ms = max(sent_ms for _, sent_ms in server.in_flight.values())
    # A trial or another new attempt may still be answered.
    if now - newest_sent_ms < OVERDUE_FACTOR * usual_ms:
        return False
    server.next_probe_ms = now + TRIAL_INTERVAL_MS
    return True
