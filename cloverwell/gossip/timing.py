"""The timing and fan-out parameters of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class GossipTiming:
    """Parameters of SWIM; the defaults suit datagrams that take up to 17 ms one way.

    `protocol_period_ms`: one member is probed in each period (SWIM, section 3.1).
    `ping_timeout_ms`: a ping without an ack for this long is followed by indirect probes.
    `indirect_probes`: how many other members get a ping-req (the `k` of section 3.1).
    `suspicion_timeout_ms`: a suspect that has not refuted for this long is declared dead (section 4.2).
    `reconnect_interval_ms`: time between two rounds of pings to dead or unknown members.
    `reconnect_pings`: how many of these members are pinged in one round.
    `suspect_pings`: how many pings a suspect gets from the whole tier, on average, in each `ping_timeout_ms`.
    """

    protocol_period_ms: float = 200.0
    ping_timeout_ms: float = 80.0
    indirect_probes: int = 3
    suspicion_timeout_ms: float = 600.0
    reconnect_interval_ms: float = 1000.0
    reconnect_pings: int = 16
    suspect_pings: int = 16
