"""Attempts in other zones have a cost, so keys stay in the local zone as far as it has the capacity."""

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


def share_in_zone(owner_by_key, letter):
    """Returns the share of the keys whose owner is in the zone whose servers' names begin with the letter."""
    return sum(owner[0] == letter for owner in owner_by_key.values()) / len(owner_by_key)


def test_all_keys_stay_in_the_local_zone_where_zones_are_alike(drive):
    assert share_in_zone(owners(fleet(drive, EAST)), "e") == 1.0
    assert share_in_zone(owners(fleet(drive, WEST)), "w") == 1.0


def test_keys_beyond_a_small_zones_capacity_go_to_their_owners_in_the_other_zone(drive):
    # With 45 servers in one zone, 15 in the other and as many balancers in each, half of the requests for
    # every key went to the other zone.
    west, east = owners(fleet(drive, WEST, east=9, west=3)), owners(fleet(drive, EAST, east=9, west=3))
    assert 0.42 < share_in_zone(west, "w") < 0.58
    assert share_in_zone(east, "e") == 1.0
    assert all(owner == east[key] for key, owner in west.items() if owner[0] == "e")


def test_one_ring_holds_all_zones_where_cross_zone_attempts_are_free(drive):
    east, west = (owners(fleet(drive, zone, cross_zone_cost=0.0)) for zone in (EAST, WEST))
    assert east == west
    assert 0.3 < share_in_zone(east, "e") < 0.7


def one_of_three(drive, zone, **more):
    """Returns the driver of a balancer in that zone, one of three in all."""
    settings = {"peers_total": 3, "cross_zone_cost": 0.16, "zones": ("east", "west")} | more
    return fleet(drive, zone, **settings)


def crowd(d, zones, keys=KEYS[:300]):
    """Sends a request for each key; servers of the zones, given by letter, answer late and become crowded.

    Returns the first server of each key.
    """
    first_servers = {}
    for key in keys:
        name = d.ask(key, cls=3)
        if name in d.sends:
            first_servers[key] = d.sends[name][0]
            d.serve(name, 450.0 if first_servers[key][0] in zones else 60.0)
    return first_servers


def test_with_few_balancers_every_key_stays_in_the_local_zone(drive):
    east, west = one_of_three(drive, EAST), one_of_three(drive, WEST)
    assert share_in_zone(owners(east), "e") == 1.0
    assert share_in_zone(owners(west), "w") == 1.0


def test_keys_of_crowded_local_servers_go_to_their_owners_in_the_other_zone(drive):
    # With all three balancers in one zone, 90% of the requests were refused since the servers there were
    # crowded, while the servers of the other zones were idle.
    west_owners = owners(one_of_three(drive, WEST))
    d = one_of_three(drive, EAST)
    crowd(d, "e")
    sent = crowd(d, "e", KEYS)
    sent_west = {key: server for key, server in sent.items() if server[0] == "w"}
    assert len(sent) > 0.95 * len(KEYS)
    assert len(sent_west) > 0.2 * len(KEYS)
    assert all(server == west_owners[key] for key, server in sent_west.items())


def test_a_read_is_refused_as_crowded_only_if_every_zone_is_crowded(drive):
    d = one_of_three(drive, EAST)
    crowd(d, "ew")
    names = [d.ask(key, cls=3) for key in KEYS]
    assert sum(name in d.ended for name in names) > 0.3 * len(KEYS)
    assert all(isinstance(d.ended[name], api.Reject) for name in names if name in d.ended)


def test_a_zone_that_comes_back_cold_gets_only_the_keys_that_it_can_serve(drive):
    # All servers of the local zone are equally cold. If only their shares relative to each other counted,
    # they would get the zone's whole traffic.
    d = one_of_three(drive, EAST, start_capacity=0.14, warm_up_ms=24_000.0)
    restarted = [api.ServerEntry(f"e{n}", zone=EAST, started_ms=d.now) for n in range(6)]
    d.list(api.ListKind.DELTA, restarted)
    assert 0.05 < share_in_zone(owners(d), "e") < 0.3
    d.pass_time(12_000)
    assert 0.4 < share_in_zone(owners(d), "e") < 0.75
    d.pass_time(13_000)
    assert share_in_zone(owners(d), "e") == 1.0


def test_keys_leave_the_local_zone_only_when_its_servers_are_gone(drive):
    d = fleet(drive, EAST, east=2)
    refused = d.ask("k")
    d.answer(refused, api.Status.FULL)
    assert [name[0] for name in d.sends[refused]] == ["e", "e"]
    for n in range(2):
        d.list(api.ListKind.DELTA, [api.ServerEntry(f"e{n}", api.ServerState.GONE, zone=EAST)])
    assert share_in_zone(owners(d, KEYS[:50]), "w") == 1.0


def test_a_server_whose_zone_changes_moves_to_the_other_ring(drive):
    moved, new = fleet(drive, EAST, east=2, west=2), fleet(drive, EAST, east=0, west=0)
    moved.list(api.ListKind.DELTA, [api.ServerEntry("e0", zone=WEST)])
    entries = [
        api.ServerEntry(name, zone=zone) for name, zone in (("e0", 1), ("e1", 0), ("w0", 1), ("w1", 1))
    ]
    new.list(api.ListKind.DELTA, entries)
    assert owners(moved) == owners(new)
    assert share_in_zone(owners(moved), "e") < 1.0


def test_an_error_names_a_zone_that_is_out_of_range():
    raw = {"classes": [{"objective": 1.0, "deadline": 2.0}], "zones": ["east"], "zone": 1}
    with pytest.raises(ValueError, match="zone: "):
        read_settings(raw)
