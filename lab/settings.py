"""The settings object that a world's proxies are told, as a site states it."""

from typing import Any

from lab.scenario import Scenario

ORIGIN = "origin"


def proxy_settings(world: Scenario, number: int) -> dict[str, Any]:
    """`number`: the proxy's own."""
    classes = [
        {
            "name": c.name,
            "objective": c.aim_ms,
            "deadline": c.deadline_ms,
            "effect": c.effect,
            "window": c.window_ms,
            "importance": c.worth,
            "late-value": c.late_worth,
            "group": "all",
        }
        for c in world.traffic.classes
    ]
    return {
        "classes": classes,
        "tenants": [{"name": t.name, "share": t.share} for t in world.traffic.tenants],
        "zones": [f"zone-{zone}" for zone in range(world.zones)],
        "machine-types": [model.name for model in world.nodes.models] + [ORIGIN],
        "peers-total": world.proxies_told or world.proxies,
        "my-number": number,
        "membership-mode": "on_request",
        "granularity": 5.0,
        "guarantees": {"ask-within": 10000.0, "cold": 1000.0 * world.nodes.warm_s,
                       "start-capacity": world.nodes.cold_share,
                       "drain-grace": 1000.0 * world.rules.drain_s,
                       "fall": 1000.0 * world.rules.fall_s, "fall-multiple": world.rules.fall_times},
        "limits": {"cancel": True, "second-copies": world.second_copies, "send-cap": 3,
                   "connect-timeout": 250.0, "idle-close": 1000.0 * world.nodes.idle_close_s,
                   "streams-per-conn": 8, "retry-after": True, "max-retry-after": 2000.0},
        "specifics": {"mode": "aside", "origin-kind": len(world.nodes.models)},
        "prices": {"cross-zone": world.cross_price},
    }  # fmt: skip
