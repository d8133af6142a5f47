"""The scale run's parts without processes: world files, discovery's list, its queue."""

from itertools import pairwise

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverwell.cli.main import cli
from cloverwell.membership.endpoint_list import Endpoint, EndpointList
from lab.cli import lab
from lab.scale import plan
from lab.scale.call_queue import CallQueue
from lab.scale.membership import KEPT_REMOVALS, MemberList, digest, next_change
from lab.scale.scenario import ScaleScenarioError, load, shipped

cli.add_command(lab)

# ScaleScenario files ----------------------------------------------------------------------------------

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
    result = call(str(path))
    assert result.exit_code == 2
    assert result.stderr.count("\n") == 1
    assert BAD[text] in result.stderr


def test_a_world_that_is_not_there_is_named():
    result = call("nowhere.toml")
    assert result.exit_code == 2
    assert "nowhere.toml" in result.stderr
    assert result.stderr.count("\n") == 1


@pytest.mark.parametrize("words", [("--nodes", "0"), ("--hollow", "2001")])
def test_a_size_out_of_range_is_refused_as_in_a_file(words):
    result = call("small", *words)
    field = {"--nodes": "$.nodes.count", "--hollow": "$.hollow.count"}[words[0]]
    assert result.exit_code == 2
    assert field in result.stderr
    assert result.stderr.count("\n") == 1


def test_results_with_no_folder_to_go_to_are_refused_before_anything_starts(tmp_path):
    result = call("small", "--out", str(tmp_path / "missing" / "out.jsonl"))
    assert result.exit_code == 2
    assert "--out" in result.stderr
    assert result.stderr.count("\n") == 1


def test_a_world_too_large_for_the_machine_is_refused_before_anything_starts():
    world = load("fleet")
    plan.check_fits(world, 24_000.0, "fleet")
    with pytest.raises(ScaleScenarioError, match=r"hollow\.count: about .* MB"):
        plan.check_fits(world, 2_000.0, "fleet")
    crowded = msgspec.structs.replace(world.hollow, count=2000, per_process=1)
    with pytest.raises(ScaleScenarioError, match=r"hollow\.per_process"):
        plan.check_fits(msgspec.structs.replace(world, hollow=crowded), 1e9, "fleet")


def test_the_shipped_worlds_are_good_and_listed():
    result = call("worlds")
    assert result.exit_code == 0
    assert (
        [line.split()[0] for line in result.stdout.splitlines()] == shipped() == ["fleet", "medium", "small"]
    )
    assert load("fleet").hollow.count == 480


def test_proxies_are_spread_over_all_zones():
    world = load("fleet")
    places = plan.place_proxies(world, "hollow", world.hollow.count)
    zones = {zone for _, zone in plan.zones(world)}
    assert len(zones) == 24
    assert {zone: sum(place.zone == zone for place in places) for zone in zones} == dict.fromkeys(zones, 20)
    assert sum(len(group) for group in plan.hollow_groups(world)) == 480


# Discovery's list -----------------------------------------------------------------------------


def some_list(nodes=6):
    return MemberList(1, [Endpoint(f"node-{n}", f"127.0.0.1:{1 + n}", flavor="large") for n in range(nodes)])


def changed_list(changes, seed=1, nodes=6):
    members = some_list(nodes)
    for _ in range(changes):
        members.apply(members.revision + 1, next_change(members, seed, 2))
    return members


@settings(deadline=None)
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


@settings(deadline=None)
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


def test_a_listing_is_what_the_proxy_reads():
    listing = changed_list(3).listing(1)
    assert msgspec.json.decode(msgspec.json.encode(listing), type=EndpointList) == listing
