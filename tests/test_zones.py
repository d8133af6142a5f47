"""Crossings have a price: keys stay at home as far as it has the capacity."""

import pytest

from olivestair import api
from olivestair.settings import read_settings
from tests.test_ring import KEYS, owners

EAST, WEST = 0, 1


def fleet(drive, zone, east=6, west=6, **settings):
    settings = {"peers_total": 40, "cross_price": 0.03, "zones": ("east", "west")} | settings
    d = drive(servers=0, zone=zone, **settings)
    entries = [api.ServerEntry(f"e{n}", zone=EAST) for n in range(east)]
    entries += [api.ServerEntry(f"w{n}", zone=WEST) for n in range(west)]
    d.list(api.ListKind.FULL, [*entries, api.ServerEntry("origin", kind=d.settings.origin_kind)])
    return d


def part_at(owned, letter):
    return sum(owner[0] == letter for owner in owned.values()) / len(owned)


def test_keys_stay_at_home_where_zones_are_alike(drive):
    assert part_at(owners(fleet(drive, EAST)), "e") == 1.0
    assert part_at(owners(fleet(drive, WEST)), "w") == 1.0


def test_what_a_small_zone_cannot_carry_goes_where_the_others_ask_for_it(drive):
    # Seen: 45 boxes in one zone, 15 in the other, proxies even; each key crossed as often as not.
    west, east = owners(fleet(drive, WEST, east=9, west=3)), owners(fleet(drive, EAST, east=9, west=3))
    assert 0.42 < part_at(west, "w") < 0.58
    assert part_at(east, "e") == 1.0
    assert all(owner == east[key] for key, owner in west.items() if owner[0] == "e")


def test_one_ring_over_all_zones_where_crossings_are_free(drive):
    east, west = (owners(fleet(drive, zone, cross_price=0.0)) for zone in (EAST, WEST))
    assert east == west and 0.3 < part_at(east, "e") < 0.7


def test_few_balancers_keep_half_at_home_and_the_rest_once_on_one_ring(drive):
    # One that dies doubles a zone's traffic, and copies in every zone leave the origin more misses.
    east, west = (owners(fleet(drive, zone, peers_total=2)) for zone in (EAST, WEST))
    same = sum(east[key] == west[key] for key in east) / len(east)
    assert 0.6 < part_at(east, "e") < 0.9 and 0.6 < part_at(west, "w") < 0.9
    assert 0.35 < same < 0.65


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
    assert owners(moved) == owners(fresh) and part_at(owners(moved), "e") < 1.0


def test_a_zone_out_of_range_is_named():
    raw = {"classes": [{"objective": 1.0, "deadline": 2.0}], "zones": ["east"], "zone": 1}
    with pytest.raises(ValueError, match="zone: "):
        read_settings(raw)
