"""The settings object that a scenario's proxies are given, as a site states it."""

from typing import Any

from lab.scenario import Scenario

ORIGIN = "origin"


def proxy_settings(scenario: Scenario, number: int) -> dict[str, Any]:
    """The settings of one proxy; `number`: the proxy's own."""
    classes = [
        {
            "name": each.name,
            "objective": each.aim_ms,
            "deadline": each.deadline_ms,
            "effect": each.effect,
            "window": each.window_ms,
            "importance": each.worth,
            "late-value": each.late_worth,
            "group": "all",
        }
        for each in scenario.traffic.classes
    ]
    return {
        "classes": classes,
        "tenants": [{"name": tenant.name, "share": tenant.share} for tenant in scenario.traffic.tenants],
        "zones": [f"zone-{zone}" for zone in range(scenario.zones)],
        "machine-types": [model.name for model in scenario.nodes.models] + [ORIGIN],
        "peers-total": scenario.proxies_told or scenario.proxies,
        "my-number": number,
        "membership-mode": "on_request",
        "granularity": 5.0,
        "guarantees": {"ask-within": 10000.0, "cold": 1000.0 * scenario.nodes.warm_s,
                       "start-capacity": scenario.nodes.cold_share,
                       "drain-grace": 1000.0 * scenario.rules.drain_s,
                       "fall": 1000.0 * scenario.rules.fall_s, "fall-multiple": scenario.rules.fall_times},
        "limits": {"cancel": True, "second-copies": scenario.second_copies, "send-cap": 3,
                   "connect-timeout": 250.0, "idle-close": 1000.0 * scenario.nodes.idle_close_s,
                   "streams-per-conn": 8, "retry-after": True, "max-retry-after": 2000.0},
        "specifics": {"mode": "aside", "origin-kind": len(scenario.nodes.models)},
        "prices": {"cross-zone": scenario.cross_price},
    }  # fmt: skip
