"""Timeouts, intervals and bounds of the control log, and how the end of a lease is computed."""

from __future__ import annotations

import msgspec

# How far behind a position that counts as current may be: where a proxy says that it is current, an entry is
# applied at most 8 s after it was committed. Longer than an election, so that leases outlast a leader's loss.
LEASE_MS = 7000.0
# How much faster than another one a clock may run, as a fraction; quartz clocks differ by 0.0001 at most.
CLOCK_DRIFT = 0.002


def lease_end(token: float, lease_ms: float) -> float:
    """Returns when a lease ends by the clock that gave the token, even if it is slow by 2 * CLOCK_DRIFT."""
    return token + lease_ms * (1.0 - 2.0 * CLOCK_DRIFT)


class ControlNodeTiming(msgspec.Struct, frozen=True):
    """Timeouts and bounds of a control node, for nodes up to 200 ms apart (round trip)."""

    heartbeat_interval_ms: float = 250.0  # interval from the leader to the other control nodes
    min_election_timeout_ms: float = 1500.0  # the election timeout is drawn between these two
    max_election_timeout_ms: float = 3000.0
    quorum_timeout_ms: float = 1500.0  # a leader that no quorum has answered for so long refuses proposals
    step_down_timeout_ms: float = 3000.0  # and after so long it steps down
    snapshot_retry_interval_ms: float = 2000.0  # between two attempts to send a follower a snapshot
    max_append_entries: int = 256  # entries in one message, and bytes of payload
    max_append_bytes: int = 1024 * 1024
    proposal_timeout_ms: float = 5000.0  # after so long a proposal is answered `unknown`
    max_pending_proposals: int = 256
    # Compaction keeps this much and starts at twice of it: 20 minutes at 3.4 purges a second.
    keep_entries: int = 4096
    keep_bytes: int = 32 * 1024 * 1024
    report_interval_ms: float = 500.0  # interval of the reports to the leader, and of its summaries


class FanoutTiming(msgspec.Struct, frozen=True):
    """Timeouts and bounds of a control node towards its subscribers."""

    heartbeat_interval_ms: float = 1000.0  # interval to each subscriber
    silence_timeout_ms: float = 5000.0  # a subscriber without contact for so long is lost
    # A subscriber lost without a goodbye counts as hidden for so long, the longest partition to be expected.
    forget_after_ms: float = 1_800_000.0
    window_entries: int = 64  # entries sent and not acknowledged, and bytes of their payload
    window_bytes: int = 256 * 1024
    max_entries_behind: int = 256  # a subscriber that is further behind gets a snapshot
    max_subscribers: int = 2048


class SubscriptionTiming(msgspec.Struct, frozen=True):
    """Timeouts and intervals of a proxy."""

    connect_timeout_ms: float = 1000.0  # without a connection for so long, the next control node is tried
    silence_timeout_ms: float = 3000.0  # likewise without a message
    lease_timeout_ms: float = 3000.0  # likewise without a lease
    # The first backoff after all nodes have failed; it doubles with each round, up to the maximum.
    initial_backoff_ms: float = 200.0
    max_backoff_ms: float = 5000.0
    acknowledge_interval_ms: float = 1000.0  # interval of acknowledgements
    # After half to all of this at a node of another region, the local region's nodes are tried again.
    remote_stay_ms: float = 600_000.0
    catch_up_timeout_ms: float = 5000.0  # a starting proxy waits at most so long to be caught up
