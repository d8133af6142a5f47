"""Control nodes and proxies as processes, and what is forced on them between a proposal and its effect."""

import json
import signal
import socket

import pytest
from control_fleet_rig import OWN, Fleet, discovery, in_order, lines, peers
from control_net_rig import frame

from cloverwell.control.entry import EntryKind
from cloverwell.control.messages import Propose
from cloverwell.control.net.framing import FrameDecoder
from cloverwell.control.net.wire import StatusAnswer, StatusRequest, decode_body
from lab.processes import PATIENCE_S


@pytest.fixture
def fleet(tmp_path):
    made = Fleet(tmp_path)
    yield made
    made.close()


def test_a_change_is_in_force_at_all_proxies_and_the_nodes_know_it(fleet):
    fleet.start()
    leader = fleet.nodes.leader()
    follower = fleet.nodes.others(leader)[0]
    version = fleet.commit(follower, discovery() | peers(480))
    for proxy in fleet.proxies:
        fields = proxy.comes_to(version=version, position=version, refused=0, current="yes")
        proxy.process.wait_for_log(f"version: {version} in force, digest {fields['digest']}")
        proxy.process.wait_for_log("480 proxies")
    assert len({proxy.configuration()["digest"] for proxy in fleet.proxies}) == 1
    answer = fleet.nodes.wait_for_status(
        leader, lambda a: a.activation is not None and a.activation.applied == 3, "in force at three proxies"
    )
    assert answer.activation.refused == 0
    assert answer.activation.oldest_index == version
    # Bounds are divided by those that live, as soon as that is known, and not by the 480 there may be.
    for proxy in fleet.proxies:
        proxy.comes_to(divided_by=3)
        proxy.serves()


def test_each_proxy_follows_the_node_of_its_own_region(fleet):
    fleet.start()
    for proxy, node in zip(fleet.proxies, fleet.nodes.nodes, strict=True):
        proxy.comes_to(node=node.name)


def test_a_change_committed_before_any_proxy_had_it_outlives_its_leader(fleet):
    fleet.start()
    leader = fleet.nodes.leader()
    first = fleet.commit(leader, discovery())
    for proxy in fleet.proxies:
        proxy.comes_to(version=first)
    # One follower and all proxies are paused: leader and the other follower commit it, and nobody else can
    # have read it when the leader dies.
    paused, other = fleet.nodes.others(leader)
    paused.signal(signal.SIGSTOP)
    for proxy in fleet.proxies:
        proxy.process.popen.send_signal(signal.SIGSTOP)
    committed = fleet.commit(leader, discovery())
    leader.end(signal.SIGKILL)
    for proxy in fleet.proxies:
        assert not lines(proxy, f"version: {committed} in force")
        proxy.process.popen.send_signal(signal.SIGCONT)
    paused.signal(signal.SIGCONT)
    fleet.nodes.leader([paused, other])
    later = fleet.commit(other, discovery())
    for proxy in fleet.proxies:
        proxy.comes_to(version=later)
        assert in_order(proxy) == [first, committed, later]
        proxy.serves()


def proposed_and_waiting(leader, others, change):
    """Pauses the others and proposes; False, and they go on, where the leader did not take the proposal: on a
    machine that was held up, it may have missed its quorum by then."""
    with socket.create_connection(leader.address, PATIENCE_S) as connection:
        for node in others:
            node.signal(signal.SIGSTOP)
        propose = Propose("late", EntryKind.CONFIGURATION, json.dumps(change).encode())
        connection.sendall(frame(propose) + frame(StatusRequest()))
        decoder, bodies = FrameDecoder(), []
        while not bodies:
            piece = connection.recv(65536)
            assert piece, "the leader has closed the connection"
            bodies += decoder.feed(piece)
        if isinstance(decode_body(bodies[0]), StatusAnswer):
            return True  # there is no answer to the proposal before it
    for node in others:
        node.signal(signal.SIGCONT)
    return False


def test_a_change_whose_leader_dies_before_it_could_commit_is_made_once(fleet):
    fleet.start()
    first = fleet.commit(fleet.nodes.leader(), discovery())
    for proxy in fleet.proxies:
        proxy.comes_to(version=first)
    leader = fleet.nodes.leader()
    others = fleet.nodes.others(leader)
    # The followers are paused: the entry stands in their machine's buffers, and the leader dies before it
    # could learn that they hold it, commit it or tell anyone.
    change = discovery()
    while not proposed_and_waiting(leader, others, change):
        leader = fleet.nodes.leader()
        others = fleet.nodes.others(leader)
    leader.end(signal.SIGKILL)
    for node in others:
        node.signal(signal.SIGCONT)
    new = fleet.nodes.leader(others)
    # Whether it was committed can't be known from outside: the same id makes it once in either case.
    code, output = fleet.propose(new, change, "--id", "late")
    assert code == 0, output
    version = int(output.split("version ")[1].split(",")[0])
    again = fleet.propose(new, change, "--id", "late")
    assert again[0] == 0
    assert f"version {version}," in again[1]
    for proxy in fleet.proxies:
        proxy.comes_to(version=version)
        proxy.serves()
    leader.start()
    fleet.nodes.wait_for_status(
        leader, lambda a: a.status.committed.index >= version, "the killed node is caught up"
    )


def test_a_paused_control_node_is_left_and_nothing_is_missed(fleet):
    fleet.start()
    leader = fleet.nodes.leader()
    paused = fleet.nodes.others(leader)[0]
    (proxy,) = [p for p, node in zip(fleet.proxies, fleet.nodes.nodes, strict=True) if node is paused]
    proxy.comes_to(node=paused.name)
    paused.signal(signal.SIGSTOP)
    versions = [fleet.commit(leader, discovery()) for _ in range(3)]
    for each in fleet.proxies:
        each.comes_to(version=versions[-1])
    assert proxy.configuration()["node"] not in (paused.name, "none")
    paused.signal(signal.SIGCONT)
    fleet.nodes.wait_for_status(
        paused, lambda a: a.status.committed.index >= versions[-1], "the paused node is caught up"
    )
    assert in_order(proxy) == versions


def test_a_paused_leader_is_replaced_and_takes_no_proposal_back(fleet):
    fleet.start()
    leader = fleet.nodes.leader()
    leader.signal(signal.SIGSTOP)
    new = fleet.nodes.leader(fleet.nodes.others(leader))
    version = fleet.commit(new, discovery())
    leader.signal(signal.SIGCONT)
    answer = fleet.nodes.wait_for_status(
        leader, lambda a: a.status.committed.index >= version, "the old leader is caught up"
    )
    assert answer.status.role != "leader"
    for proxy in fleet.proxies:
        proxy.comes_to(version=version)


def test_a_proxy_that_was_away_has_the_last_version_before_it_serves(fleet):
    fleet.start()
    away = fleet.proxies[0]
    leader = fleet.nodes.leader()
    first = fleet.commit(leader, discovery())
    away.comes_to(version=first)
    away.process.end(signal.SIGKILL)
    for _ in range(3):
        last = fleet.commit(leader, discovery())
    away.start()
    away.process.ready()
    assert away.configuration()["version"] == str(last)
    log = away.process.log.read_text()
    assert log.index("caught up") < log.index("serves on")
    away.serves()


def test_a_change_that_one_proxy_cannot_load_leaves_it_at_the_version_before(fleet):
    # Its own file has other classes, so what the entry brings is no change at run time for it.
    other = fleet.proxies[1]
    other.write(settings=OWN | {"granularity": 7})
    fleet.start()
    leader = fleet.nodes.leader()
    first = fleet.commit(leader, discovery())
    second = fleet.commit(leader, discovery() | peers(7))
    for proxy in fleet.proxies:
        if proxy is not other:
            proxy.comes_to(version=second, refused=0)
    other.comes_to(version=first, position=second, refused=second)
    assert len(lines(other, "settings.granularity: can't be changed at run time")) == 1
    answer = fleet.nodes.wait_for_status(
        leader,
        lambda a: a.activation is not None and (a.activation.refused, a.activation.applied) == (1, 2),
        "one refusal, and two in force",
    )
    assert answer.activation.refusals[0].reason == "settings.granularity: can't be changed at run time"
    other.serves()
    third = fleet.commit(leader, discovery())
    for proxy in fleet.proxies:
        proxy.comes_to(version=third, refused=0)


def test_without_a_quorum_nothing_is_taken_and_proxies_serve_on(fleet):
    fleet.start()
    leader = fleet.nodes.leader()
    first = fleet.commit(leader, discovery())
    for proxy in fleet.proxies:
        proxy.comes_to(version=first)
    for node in fleet.nodes.others(leader):
        node.end(signal.SIGKILL)
    fleet.nodes.wait_for_status(leader, lambda a: not a.status.has_quorum, "no quorum")
    code, output = fleet.propose(leader, discovery())
    assert code == 1
    assert "no quorum" in output
    for proxy in fleet.proxies:
        proxy.comes_to(version=first, current="no", divided_by=OWN["peers-total"])
        proxy.serves()
    # One that starts now waits for a bounded time, and serves by its own file.
    alone = fleet.proxies[2]
    alone.process.end(signal.SIGKILL)
    alone.start()
    alone.process.ready()
    alone.process.wait_for_log("serves without being caught up")
    alone.serves()
    for node in fleet.nodes.others(leader):
        node.start()
    version = fleet.commit(fleet.nodes.leader(), discovery())
    for proxy in fleet.proxies:
        proxy.comes_to(version=version, current="yes")


def test_what_was_committed_outlives_all_control_nodes(fleet):
    fleet.start()
    version = fleet.commit(fleet.nodes.leader(), discovery())
    for node in fleet.nodes.nodes:
        node.end(signal.SIGKILL)
    with (fleet.nodes.nodes[0].folder / fleet.nodes.nodes[0].name / "control.log").open("ab") as file:
        file.write(b"\0\0\1\0torn")  # as a crash in the middle of a write would leave it
    fleet.nodes.start()
    assert "a torn record of 8 bytes was dropped" in fleet.nodes.nodes[0].log.read_text()
    answer = fleet.nodes.leader().status()
    assert answer.status.committed.index >= version
    later = fleet.commit(fleet.nodes.leader(), discovery())
    assert later > version
    for proxy in fleet.proxies:
        proxy.comes_to(version=later)


def test_a_planned_end_takes_leave_and_a_kill_does_not(fleet):
    fleet.start()
    leader = fleet.nodes.leader()
    for proxy in fleet.proxies:
        proxy.comes_to(divided_by=3)
    fleet.proxies[0].process.end(signal.SIGTERM)
    fleet.nodes.wait_for_status(
        leader, lambda a: (a.status.fleet.alive, a.status.fleet.hidden) == (2, 0), "one has taken leave"
    )
    fleet.proxies[1].process.end(signal.SIGKILL)
    fleet.nodes.wait_for_status(
        leader, lambda a: (a.status.fleet.alive, a.status.fleet.hidden) == (1, 1), "one may still live"
    )
    assert fleet.proxies[2].comes_to(divided_by=2)


def test_a_proxy_that_another_process_replaces_counts_once(fleet):
    fleet.start()
    leader = fleet.nodes.leader()
    first = fleet.commit(leader, discovery())
    replaced = fleet.proxies[0]
    replaced.comes_to(version=first)
    before = replaced.process
    replaced.start()
    replaced.process.ready()
    assert replaced.configuration()["version"] == str(first)
    before.wait_for_log("the successor serves")
    assert before.end(signal.SIGTERM) == 0
    replaced.process.wait_for_log("the predecessor has exited")
    last = fleet.commit(fleet.nodes.leader(), discovery())
    for proxy in fleet.proxies:
        proxy.comes_to(version=last)
    fleet.nodes.wait_for_status(
        fleet.nodes.leader(),
        lambda a: (a.status.fleet.alive, a.status.fleet.hidden) == (3, 0),
        "three proxies, and none hidden",
    )
    replaced.serves()
