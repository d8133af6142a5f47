"""The control plane's times and bounds, and how a lease is reckoned."""

from __future__ import annotations

import msgspec

# What a current position may be behind by at most: an entry is in force 8 s after it was committed wherever
# a proxy
# says that it is current. Longer than an election after a leader's loss, so that one leaves leases standing.
LEASE_MS = 7000.0
# How much faster than another a clock may run; quartz differs by 0.0001 at most.
CLOCK_DRIFT = 0.002


def lease_end(token: float, lease_ms: float) -> float:
    """When a lease ends by the clock that gave the token, were that clock slow by twice CLOCK_DRIFT."""
    return token + lease_ms * (1.0 - 2.0 * CLOCK_DRIFT)


class Timing(msgspec.Struct, frozen=True):
    """For control nodes up to 200 ms apart (round trip)."""

    heartbeat_ms: float = 250.0  # from the leader to the other control nodes
    election_min_ms: float = 1500.0  # without a leader for so long, at least, a node stands for election
    election_max_ms: float = 3000.0
    quorum_ms: float = 1500.0  # a leader that no quorum answered for so long takes no proposals
    step_down_ms: float = 3000.0  # and after so long it steps down
    snapshot_retry_ms: float = 2000.0  # between two tries to send a follower a snapshot
    append_entries: int = 256  # in one message, and so many bytes of payload
    append_bytes: int = 1024 * 1024
    proposal_ms: float = 5000.0  # after so long a proposal is answered `unknown`
    proposals: int = 256  # that may wait for their commit
    # Kept in the log, and twice as much at times: 20 minutes of 3.4 purges a second, days of configurations.
    keep_entries: int = 4096
    keep_bytes: int = 32 * 1024 * 1024
    report_ms: float = 500.0  # from a control node to the leader, and the leader's summary back


class FanoutTiming(msgspec.Struct, frozen=True):
    """Of a control node with its subscribers."""

    heartbeat_ms: float = 1000.0
    silence_ms: float = 5000.0  # a subscriber not heard of for so long is lost
    forget_ms: float = 1_800_000.0  # one lost without a goodbye counts as hidden for so long: the longest cut
    window_entries: int = 64  # sent and not acknowledged, and so many bytes of payload
    window_bytes: int = 256 * 1024
    tail_entries: int = 256  # a subscriber that is further behind gets a snapshot
    subscribers: int = 2048


class SubscriptionTiming(msgspec.Struct, frozen=True):
    """Of a proxy."""

    connect_ms: float = 1000.0  # without a connection for so long, the next control node is tried
    silence_ms: float = 3000.0  # likewise without a message
    round_ms: float = 200.0  # after all nodes have failed, doubled with each round up to the next
    round_max_ms: float = 5000.0
    lease_wait_ms: float = 3000.0  # a control node that gives no lease for so long is left for the next one
    acknowledge_ms: float = 1000.0
    # after half to all of this at another region's node the own region's are tried
    away_ms: float = 600_000.0
    wait_ms: float = 5000.0  # a starting proxy waits so long to be caught up, then it is ready without
