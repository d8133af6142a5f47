"""Crossings have a price: keys stay at home as far as it has the capacity."""

import pytest

from balancer import api
from balancer.settings import read_settings
from tests.test_ring import KEYS, owners

EAST, WEST = 0, 1


def fleet(drive, zone, east=6, west=6, **settings):
    settings = {"peers_total": 40, "cross_zone_cost": 0.03, "zones": ("east", "west")} | settings
    d = drive(servers=0, zone=zone, **settings)
    entries = [api.ServerEntry(f"e{n}", zone=EAST) for n in range(east)]
    entries += [api.ServerEntry(f"w{n}", zone=WEST) for n in range(west)]
    d.list(
        api.ListKind.FULL, [*entries, api.ServerEntry("origin", machine_type=d.settings.origin_machine_type)]
    )
    return d


def part_at(owned, letter):
    return sum(owner[0] == letter for owner in owned.values()) / len(owned)


def test_keys_stay_at_home_where_zones_are_alike(drive):
    assert part_at(owners(fleet(drive, EAST)), "e") == 1.0
    assert part_at(owners(fleet(drive, WEST)), "w") == 1.0


def test_what_a_small_zone_cannot_carry_goes_where_the_others_ask_for_it(drive):
    # Seen: 45 nodes in one zone, 15 in the other, proxies even; each key crossed as often as not.
    west, east = owners(fleet(drive, WEST, east=9, west=3)), owners(fleet(drive, EAST, east=9, west=3))
    assert 0.42 < part_at(west, "w") < 0.58
    assert part_at(east, "e") == 1.0
    assert all(owner == east[key] for key, owner in west.items() if owner[0] == "e")


def test_one_ring_over_all_zones_where_crossings_are_free(drive):
    east, west = (owners(fleet(drive, zone, cross_zone_cost=0.0)) for zone in (EAST, WEST))
    assert east == west
    assert 0.3 < part_at(east, "e") < 0.7


def few(drive, zone, **more):
    three = {"peers_total": 3, "cross_zone_cost": 0.16, "zones": ("east", "west")} | more
    return fleet(drive, zone, **three)


def jam(d, zones, keys=KEYS[:300]):
    """The servers of these zones, by letter, answer so late that they are passed by; who was asked first."""
    asked = {}
    for key in keys:
        name = d.ask(key, cls=3)
        if name in d.sends:
            asked[key] = d.sends[name][0]
            d.serve(name, 450.0 if asked[key][0] in zones else 60.0)
    return asked


def test_few_balancers_keep_every_key_at_home(drive):
    east, west = few(drive, EAST), few(drive, WEST)
    assert part_at(owners(east), "e") == 1.0
    assert part_at(owners(west), "w") == 1.0


def test_what_a_jammed_home_leaves_goes_where_the_other_zone_keeps_it(drive):
    # Seen: all three balancers in one zone, 90% refused as crowded there while the other zones idled.
    own = owners(few(drive, WEST))
    d = few(drive, EAST)
    jam(d, "e")
    sent = jam(d, "e", KEYS)
    abroad = {key: server for key, server in sent.items() if server[0] == "w"}
    assert len(sent) > 0.95 * len(KEYS)
    assert len(abroad) > 0.2 * len(KEYS)
    assert all(server == own[key] for key, server in abroad.items())


def test_a_read_is_refused_as_crowded_only_where_every_zone_is(drive):
    d = few(drive, EAST)
    jam(d, "ew")
    names = [d.ask(key, cls=3) for key in KEYS]
    assert sum(name in d.ended for name in names) > 0.3 * len(KEYS)
    assert all(isinstance(d.ended[name], api.Reject) for name in names if name in d.ended)


def test_a_zone_that_comes_back_cold_gets_no_more_than_it_can_do(drive):
    # All of home is as cold: relative shares would have sent it the zone's whole traffic.
    d = few(drive, EAST, start_capacity=0.14, warm_up_ms=24_000.0)
    started = [api.ServerEntry(f"e{n}", zone=EAST, started_ms=d.now) for n in range(6)]
    d.list(api.ListKind.DELTA, started)
    assert 0.05 < part_at(owners(d), "e") < 0.3
    d.pass_time(12_000)
    assert 0.4 < part_at(owners(d), "e") < 0.75
    d.pass_time(13_000)
    assert part_at(owners(d), "e") == 1.0


def test_abroad_takes_over_when_home_is_gone_or_turns_away(drive):
    d = fleet(drive, EAST, east=2)
    full = d.ask("k")
    d.answer(full, api.Status.FULL)
    assert [name[0] for name in d.sends[full]] == ["e", "e"]
    for n in range(2):
        d.list(api.ListKind.DELTA, [api.ServerEntry(f"e{n}", api.ServerState.GONE, zone=EAST)])
    assert part_at(owners(d, KEYS[:50]), "w") == 1.0


def test_a_server_whose_zone_changes_leaves_one_ring(drive):
    moved, fresh = fleet(drive, EAST, east=2, west=2), fleet(drive, EAST, east=0, west=0)
    moved.list(api.ListKind.DELTA, [api.ServerEntry("e0", zone=WEST)])
    entries = [
        api.ServerEntry(name, zone=zone) for name, zone in (("e0", 1), ("e1", 0), ("w0", 1), ("w1", 1))
    ]
    fresh.list(api.ListKind.DELTA, entries)
    assert owners(moved) == owners(fresh)
    assert part_at(owners(moved), "e") < 1.0


def test_a_zone_out_of_range_is_named():
    raw = {"classes": [{"objective": 1.0, "deadline": 2.0}], "zones": ["east"], "zone": 1}
    with pytest.raises(ValueError, match="zone: "):
        read_settings(raw)
