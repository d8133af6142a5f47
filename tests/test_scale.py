"""The scale run's parts without processes: world files, lists, queues, links, measures and lines."""

import json
from itertools import pairwise
from random import Random
from types import SimpleNamespace

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from cloverwell.cli.main import cli
from cloverwell.membership.listing import Listing, Member
from lab.cli import lab
from lab.scale import plan
from lab.scale.call_queue import CallQueue
from lab.scale.faults import link_state
from lab.scale.measure import InForceMeasure, ProcessCost, delays_s, hollow_cost
from lab.scale.membership import KEPT_REMOVALS, MemberList, digest, next_change
from lab.scale.messages import Changed, FinalList, InForce, LinkWay
from lab.scale.relay import RETRANSMISSION_S, Pipe, Way
from lab.scale.slopes import FitError, fit, miss
from lab.scale.world import Fault, WorldError, load, shipped

cli.add_command(lab)

# World files -----------------------------------------------------------------------------------

BAD = {
    "hollow = 3": "$.hollow",
    "[hollow]\ncount = -1": "$.hollow.count",
    "[hollow]\nnumber = 1": "$.hollow",
    "[hollow]\ncount = 0\n[real]\ncount = 0": "hollow.count",
    "run_s = 0": "$.run_s",
    "regions = []": "regions",
    "[[regions]]\nname = 'a'\n[[regions]]\nname = 'a'": "regions[1].name",
    "[discovery]\nregion = 'moon'": "discovery.region",
    "[discovery]\ncalls_per_s = 0": "$.discovery.calls_per_s",
    "[[links]]\nbetween = ['east', 'moon']\ndelay_ms = 1.0": "links[0].between",
    "[nodes]\ncount = 3\n[changes]\nnodes = 4": "changes.nodes",
    "[[faults]]\nkind = 'melt'\nat_s = 1.0": "$.faults[0].kind",
    "[[faults]]\nkind = 'kill'\nat_s = 1.0": "faults[0].whom",
    "[[faults]]\nkind = 'kill'\nat_s = 1.0\nwhom = ['hollow-9']": "faults[0].whom",
    "[[faults]]\nkind = 'kill'\nat_s = 11.0\nwhom = ['discovery']": "faults[0].at_s",
    "[[faults]]\nkind = 'pause'\nat_s = 1.0\nwhom = ['discovery']": "faults[0].for_s",
    "[[faults]]\nkind = 'cut'\nat_s = 1.0\nfor_s = 1.0": "faults[0].between",
    "seed =": "bad.toml",
}


def call(*words):
    return CliRunner().invoke(cli, ["lab", "scale", *words])


@pytest.mark.parametrize("text", BAD)
def test_a_bad_world_ends_with_code_2_and_one_line_that_names_the_field(tmp_path, text):
    path = tmp_path / "bad.toml"
    path.write_text(text)
    told = call(str(path))
    assert told.exit_code == 2
    assert told.stderr.count("\n") == 1
    assert BAD[text] in told.stderr


def test_a_world_that_is_not_there_is_named():
    told = call("nowhere.toml")
    assert told.exit_code == 2 and "nowhere.toml" in told.stderr and told.stderr.count("\n") == 1


def test_a_world_too_large_for_the_machine_is_refused_before_anything_starts():
    world = load("fleet")
    plan.check_fits(world, 24_000.0, "fleet")
    with pytest.raises(WorldError, match=r"hollow\.count: about .* MB"):
        plan.check_fits(world, 2_000.0, "fleet")
    crowded = msgspec.structs.replace(world.hollow, count=2000, per_process=1)
    with pytest.raises(WorldError, match=r"hollow\.per_process"):
        plan.check_fits(msgspec.structs.replace(world, hollow=crowded), 1e9, "fleet")


def test_the_shipped_worlds_are_good_and_listed():
    told = call("worlds")
    assert told.exit_code == 0
    assert [line.split()[0] for line in told.stdout.splitlines()] == shipped() == ["fleet", "medium", "small"]
    assert load("fleet").hollow.count == 480


def test_proxies_are_spread_over_all_zones():
    world = load("fleet")
    places = plan.place_proxies(world, "hollow", world.hollow.count)
    zones = {zone for _, zone in plan.zones(world)}
    assert len(zones) == 24
    assert {zone: sum(place.zone == zone for place in places) for zone in zones} == dict.fromkeys(zones, 20)
    assert sum(len(group) for group in plan.hollow_groups(world)) == 480


# Discovery's list ------------------------------------------------------------------------------


def some_list(nodes=6):
    return MemberList(1, [Member(f"node-{n}", f"127.0.0.1:{1 + n}", flavor="large") for n in range(nodes)])


def changed_list(changes, seed=1, nodes=6):
    members = some_list(nodes)
    for _ in range(changes):
        members.apply(members.revision + 1, next_change(members, seed, 2))
    return members


@given(st.integers(0, 40), st.integers(0, 40), st.integers(0, 9))
def test_what_changed_after_a_revision_leads_from_it_to_the_list_as_it_is(before, further, seed):
    members = changed_list(before, seed)
    held = MemberList(members.revision, members.members.values())
    for _ in range(further):
        members.apply(members.revision + 1, next_change(members, seed, 2))
    listing = members.listing(held.revision)
    assert not listing.complete
    kept = {member.id: member for member in held.members.values()}
    kept |= {member.id: member for member in listing.members}
    kept = [member for member in kept.values() if member.phase != "terminated"]
    assert digest(kept) == digest(members.members.values())


def test_changes_are_drawn_from_the_seed_and_go_on_alike_after_a_restart():
    whole = changed_list(9)
    assert digest(whole.members.values()) == digest(changed_list(9).members.values())
    assert digest(whole.members.values()) != digest(changed_list(9, seed=2).members.values())
    listing = changed_list(5).listing()
    again = MemberList(listing.revision, listing.members)
    for _ in range(4):
        again.apply(again.revision + 1, next_change(again, 1, 2))
    assert digest(again.members.values()) == digest(whole.members.values())


def test_changes_keep_the_number_of_nodes():
    assert len(changed_list(50).members) == 6


def test_who_is_behind_more_removals_than_are_kept_is_told_the_whole_list():
    members = changed_list(KEPT_REMOVALS + 4)  # two nodes go with every second change
    assert members.listing(1).complete
    assert not members.listing(members.revision - 2).complete
    assert members.listing(members.revision + 5).complete


def test_a_revision_that_does_not_follow_is_refused():
    with pytest.raises(ValueError, match="does not follow"):
        some_list().apply(3, [])


@given(st.lists(st.floats(0.0, 2.0), max_size=60))
def test_calls_are_answered_in_turn_at_the_rate_and_the_queue_has_its_bound(gaps):
    queue, now, answers = CallQueue(10.0, 5), 0.0, []
    for gap in gaps:
        now += gap
        due_s = queue.offer(now)
        if due_s is None:
            assert queue.waiting(now) == 5
        else:
            answers.append(due_s)
    assert all(later - earlier >= 0.1 - 1e-9 for earlier, later in pairwise(answers))
    assert queue.longest <= 5


def test_an_answer_to_a_watch_is_never_refused():
    queue = CallQueue(10.0, 2)
    assert [queue.offer(0.0) for _ in range(3)] == [pytest.approx(0.1), pytest.approx(0.2), None]
    assert queue.put(0.0) == pytest.approx(0.3)


# Links -----------------------------------------------------------------------------------------


def fault(kind, way="both", between=("east", "west"), **more):
    return Fault(kind, 0.0, 1.0, between=between, way=way, **more)


def test_a_cut_way_is_cut_as_its_regions_are_named():
    cut = LinkWay(cut=True)
    there = link_state("west", "east", [fault("cut", "there")])
    assert (there.there, there.back) == (LinkWay(), cut)  # from east, where discovery is, to the proxies
    named_otherwise = link_state("west", "east", [fault("cut", "there", ("west", "east"))])
    assert (named_otherwise.there, named_otherwise.back) == (cut, LinkWay())
    both = link_state("west", "east", [fault("cut")])
    assert (both.there, both.back) == (cut, cut)
    assert link_state("north", "east", [fault("cut")]).there == LinkWay()


def test_faults_of_one_link_add_up():
    faults = [fault("delay", extra_ms=5.0), fault("delay", extra_ms=7.0), fault("loss", share=0.5)]
    state = link_state("west", "east", [*faults, fault("loss", share=0.5)])
    assert state.there == state.back == LinkWay(False, 12.0, 0.75)


class Transport:
    """Keeps what is written, and when."""

    def __init__(self, clock):
        self.clock = clock
        self.written = []
        self.paused = False

    def write(self, data):
        self.written.append((round(self.clock.seconds(), 3), data))

    def loseConnection(self):
        self.written.append((round(self.clock.seconds(), 3), None))

    def pauseProducing(self):
        self.paused = True

    def resumeProducing(self):
        self.paused = False


def a_pipe(delay_s=0.04):
    clock = Clock()
    source, sink = (SimpleNamespace(transport=Transport(clock), up=True) for _ in range(2))
    way = Way(delay_s, Random(1))
    return clock, way, Pipe(clock, clock.seconds, way, source, sink), source, sink


def test_a_link_delays_each_piece_and_the_close_in_order():
    clock, _, pipe, _, sink = a_pipe()
    pipe.put(b"one")
    clock.advance(0.01)
    pipe.put(b"two")
    pipe.put(None)
    clock.pump([0.01] * 10)
    assert sink.transport.written == [(0.04, b"one"), (0.05, b"two"), (0.05, None)]


def test_what_a_cut_way_held_back_comes_once_it_is_whole():
    clock, way, pipe, _, sink = a_pipe()
    way.state = LinkWay(cut=True)
    pipe.put(b"one")
    clock.pump([0.01] * 100)
    assert sink.transport.written == []
    way.state = LinkWay()
    pipe.move()
    assert [data for _, data in sink.transport.written] == [b"one"]


def test_a_lost_piece_comes_a_retransmission_later_and_holds_back_what_follows():
    clock, way, pipe, _, sink = a_pipe()
    way.state = LinkWay(loss=1.0)
    pipe.put(b"one")
    way.state = LinkWay()
    pipe.put(b"two")
    clock.pump([0.01] * 50)
    due_s = pytest.approx(0.04 + RETRANSMISSION_S, abs=0.011)
    assert sink.transport.written == [(due_s, b"one"), (due_s, b"two")]


def test_a_sender_waits_while_too_much_is_on_a_cut_way():
    _, way, pipe, source, _ = a_pipe(0.0)
    way.state = LinkWay(cut=True)
    pipe.put(b"x" * 2 * 1024 * 1024)
    assert source.transport.paused
    way.state = LinkWay()
    pipe.move()
    assert not source.transport.paused


# Measures --------------------------------------------------------------------------------------


def row(revision, at_s, lines=1, proxy="p", incarnation=0, complete=False):
    return InForce(proxy, incarnation, revision, at_s, complete, lines, held=revision == 1)


CHANGES = [Changed(2, 10.0, []), Changed(3, 11.0, []), Changed(4, 12.0, [])]


def test_a_change_is_in_force_with_the_first_list_that_has_it():
    delays, missing = delays_s(CHANGES, [row(1, 0.0), row(2, 10.5), row(4, 12.25)])
    assert delays == [0.5, 1.25, 0.25] and missing == 0


def test_changes_before_a_proxys_start_are_none_to_it_and_those_it_never_had_are_missing():
    assert delays_s(CHANGES, [row(2, 10.9), row(3, 11.5)]) == ([0.5], 1)


def orders_of(rows, final=None):
    measure = InForceMeasure()
    for change in CHANGES:
        measure.changed(change)
    for taken in rows:
        measure.took(taken)
    final = FinalList("p", 4, "same") if final is None else final
    return measure.compare({final.proxy: final}, 4, "same")


def test_a_run_in_order_has_nothing_to_tell():
    histogram, orders = orders_of([row(1, 0.0), row(2, 10.5), row(2, 10.9, lines=0), row(4, 12.25)])
    assert orders.kept and (orders.taken, orders.merged) == (2, 1)
    assert histogram.get_total_count() == 3
    assert histogram.get_max_value() == pytest.approx(1.25e6, rel=0.001)


def test_lost_repeated_misplaced_and_wrong_are_told_apart():
    _, orders = orders_of([row(1, 0.0), row(3, 11.5), row(2, 11.6), row(2, 11.7)], FinalList("p", 2, "other"))
    assert (orders.out_of_order, orders.repeated, orders.lost) == (1, 1, 1)
    assert (orders.wrong_lists, orders.behind, orders.kept) == (1, ["p"], False)


def test_what_a_killed_proxy_never_had_is_not_lost():
    rows = [row(1, 0.0), row(2, 10.5), row(4, 13.0, incarnation=1)]
    _, orders = orders_of(rows)
    assert orders.kept and (orders.lost, orders.not_followed) == (0, 2)


def test_a_hollow_proxys_cost_is_the_difference_to_an_empty_process():
    empty = ProcessCost("hollow-empty", 0.5, 30.0)
    costs = [ProcessCost("hollow-0", 2.5, 50.0, 10), ProcessCost("hollow-1", 1.5, 40.0, 5), empty]
    cost = hollow_cost(costs, empty, 20.0)
    assert cost.cpu_percent == pytest.approx(100.0 * 3.0 / 20.0 / 15)
    assert cost.rss_mb == pytest.approx(2.0)
    assert hollow_cost([empty], empty, 20.0) is None


# Lines -----------------------------------------------------------------------------------------


@given(st.floats(-5.0, 5.0), st.floats(-100.0, 100.0))
def test_a_line_is_found_exactly(slope, start):
    line = fit([(size, start + slope * size) for size in (30.0, 60.0, 120.0, 240.0)])
    assert line.at(480.0) == pytest.approx(start + slope * 480.0, abs=1e-6)
    assert line.error_at(480.0) < 1e-6


def test_the_errors_of_a_fit_are_the_textbooks():
    line = fit([(1.0, 1.0), (2.0, 3.0), (3.0, 2.0), (4.0, 4.0)])
    assert (line.slope, line.start) == (pytest.approx(0.8), pytest.approx(0.5))
    assert line.residual**2 == pytest.approx(0.9)
    assert line.slope_error**2 == pytest.approx(0.9 / 5.0)
    assert line.start_error**2 == pytest.approx(0.9 * (1 / 4 + 6.25 / 5.0))


def test_a_line_needs_four_sizes():
    with pytest.raises(FitError, match="4 different sizes"):
        fit([(30.0, 1.0), (30.0, 2.0), (60.0, 1.0), (120.0, 1.0)])


def test_how_far_a_prediction_was_off():
    assert miss(125.0, 100.0) == pytest.approx(0.25)
    assert miss(0.0, 0.0) == 0.0


def write_run(path, hollow, value):
    head = {"kind": "run", "proxies": {"hollow": hollow, "real": 0}, "nodes": 24}
    summary = {"kind": "summary", "quantities": {"in_force_p50_ms": value}}
    path.write_text(json.dumps(head) + "\n" + json.dumps(summary) + "\n")
    return str(path)


def test_slopes_predict_compare_and_draw(tmp_path):
    files = [write_run(tmp_path / f"{size}.jsonl", size, 2.0 * size) for size in (30, 60, 120, 240)]
    measured = write_run(tmp_path / "480.jsonl", 480, 1200.0)
    words = ["--at", "480", "--measured", measured, "--charts", str(tmp_path / "charts"), "--json"]
    told = call("slopes", *files, *words)
    assert told.exit_code == 0, told.output
    line = json.loads(told.stdout)
    assert (line["slope"], line["predicted"], line["measured"], line["off"]) == (2.0, 960.0, 1200.0, -0.2)
    chart = (tmp_path / "charts" / "proxies-in_force_p50_ms.png").read_bytes()
    assert chart.startswith(b"\x89PNG")


def test_slopes_of_too_few_sizes_are_refused_in_one_line(tmp_path):
    told = call("slopes", write_run(tmp_path / "a.jsonl", 30, 1.0))
    assert told.exit_code == 2 and told.stderr.count("\n") == 1 and "4 different sizes" in told.stderr


def test_a_listing_is_what_the_proxy_reads():
    listing = changed_list(3).listing(1)
    assert msgspec.json.decode(msgspec.json.encode(listing), type=Listing) == listing
