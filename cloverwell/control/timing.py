"""Timeouts, intervals and bounds of the control log, and how the end of a lease is computed."""

from __future__ import annotations

import msgspec

# How far behind a position that counts as current may be: a proxy that says that it is current has applied
# each entry within 8 s of its commit. Longer than an election, so that leases outlast a leader's loss.
LEASE_MS = 7000.0
# The fraction by which one clock may run faster than another; quartz clocks differ by 0.0001 at most.
CLOCK_DRIFT = 0.002


def lease_end_ms(token: float, lease_ms: float) -> float:
    """Returns the time in ms at which a lease ends, by the clock that gave the token.

    The lease is shortened by 2 * CLOCK_DRIFT, as much as that clock may be slow.
    """
    return token + lease_ms * (1.0 - 2.0 * CLOCK_DRIFT)


class ControlNodeTiming(msgspec.Struct, frozen=True):
    """Timeouts and bounds of a control node, for nodes up to 200 ms apart (round trip)."""

    heartbeat_interval_ms: float = 250.0  # from the leader to the other control nodes
    min_election_timeout_ms: float = 1500.0  # the election timeout is drawn between the two
    max_election_timeout_ms: float = 3000.0
    quorum_timeout_ms: float = 1500.0  # a leader that no quorum has answered for so long refuses proposals
    step_down_timeout_ms: float = 3000.0  # a leader that no quorum has answered for so long steps down
    snapshot_retry_interval_ms: float = 2000.0  # between two snapshots to one follower
    max_append_entries: int = 256  # in one message
    max_append_bytes: int = 1024 * 1024  # of payload in one message
    proposal_timeout_ms: float = 5000.0  # a proposal not committed by then is answered `unknown`
    max_pending_proposals: int = 256
    # Compaction keeps so many entries, 20 minutes at 3.4 purges a second, and so many bytes of payload. It
    # starts once the log holds twice as much of either.
    keep_entries: int = 4096
    keep_bytes: int = 32 * 1024 * 1024
    report_interval_ms: float = 500.0  # of the reports to the leader, and of its summaries


class FanoutTiming(msgspec.Struct, frozen=True):
    """Timeouts and bounds of a control node towards its subscribers."""

    heartbeat_interval_ms: float = 1000.0  # to each subscriber
    silence_timeout_ms: float = 5000.0  # a subscriber without contact for so long is lost
    # A subscriber lost without a goodbye counts as hidden for so long: the longest partition to be expected.
    forget_after_ms: float = 1_800_000.0
    window_entries: int = 64  # in flight to one subscriber
    window_bytes: int = 256 * 1024  # of payload in flight to one subscriber
    max_entries_behind: int = 256  # a subscriber that is further behind gets a snapshot
    max_subscribers: int = 2048


class SubscriptionTiming(msgspec.Struct, frozen=True):
    """Timeouts and intervals of a proxy."""

    connect_timeout_ms: float = 1000.0  # without a connection for so long, the next control node is tried
    silence_timeout_ms: float = 3000.0  # without a message for so long, the next one is tried
    lease_timeout_ms: float = 3000.0  # without a lease for so long, the next one is tried
    # The first backoff after all nodes have failed; it doubles with each round, up to the maximum.
    initial_backoff_ms: float = 200.0
    max_backoff_ms: float = 5000.0
    acknowledge_interval_ms: float = 1000.0  # between two acknowledgements without progress
    # After half to all of this at a node of another region, the local region's nodes are tried again.
    remote_stay_ms: float = 600_000.0
    catch_up_timeout_ms: float = 5000.0  # a starting proxy waits at most so long to be caught up
