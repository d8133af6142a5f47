"""Control nodes and proxies as processes that are killed, paused and cut off while a change is made."""

import json
import signal
import socket

import pytest
from control_fleet_rig import (
    OWN_SETTINGS,
    Fleet,
    activated_versions,
    discovery_change,
    peers_total_change,
    version_log_lines,
)
from control_net_rig import frame

from cloverwell.control.entry import EntryKind
from cloverwell.control.messages import Propose
from cloverwell.control.net.framing import FrameDecoder
from cloverwell.control.net.wire import StatusAnswer, StatusRequest, decode_body
from lab.processes import PATIENCE_S


@pytest.fixture
def fleet(tmp_path):
    new_fleet = Fleet(tmp_path)
    yield new_fleet
    new_fleet.close()


def test_a_change_becomes_active_at_all_proxies_and_the_leader_counts_them(fleet):
    fleet.start()
    leader = fleet.nodes.leader()
    follower = fleet.nodes.others(leader)[0]
    version = fleet.commit(follower, discovery_change() | peers_total_change(480))
    for proxy in fleet.proxies:
        fields = proxy.wait_for_fields(version=version, position=version, refused=0, current="yes")
        proxy.process.wait_for_log(f"version: {version} active, digest {fields['digest']}")
        proxy.process.wait_for_log("480 proxies")
    assert len({proxy.configuration()["digest"] for proxy in fleet.proxies}) == 1
    answer = fleet.nodes.wait_for_status(
        leader, lambda a: a.activation is not None and a.activation.applied == 3, "active at three proxies"
    )
    assert answer.activation.refused == 0
    assert answer.activation.oldest_index == version
    # Bounds are divided by the number of live proxies once it is known, not by the 480 that may be alive.
    for proxy in fleet.proxies:
        proxy.wait_for_fields(divided_by=3)
        proxy.check_serves()


def test_each_proxy_follows_the_node_of_its_own_region(fleet):
    fleet.start()
    for proxy, node in zip(fleet.proxies, fleet.nodes.nodes, strict=True):
        proxy.wait_for_fields(node=node.name)


def test_a_change_committed_before_any_proxy_received_it_survives_its_leader(fleet):
    fleet.start()
    leader = fleet.nodes.leader()
    first = fleet.commit(leader, discovery_change())
    for proxy in fleet.proxies:
        proxy.wait_for_fields(version=first)
    # One follower and all proxies are paused. The leader and the other follower commit the change, and no
    # other process can have received it when the leader dies.
    paused, other = fleet.nodes.others(leader)
    paused.signal(signal.SIGSTOP)
    for proxy in fleet.proxies:
        proxy.process.popen.send_signal(signal.SIGSTOP)
    committed = fleet.commit(leader, discovery_change())
    leader.end(signal.SIGKILL)
    for proxy in fleet.proxies:
        assert not version_log_lines(proxy, f"version: {committed} active")
        proxy.process.popen.send_signal(signal.SIGCONT)
    paused.signal(signal.SIGCONT)
    fleet.nodes.leader([paused, other])
    later = fleet.commit(other, discovery_change())
    for proxy in fleet.proxies:
        proxy.wait_for_fields(version=later)
        assert activated_versions(proxy) == [first, committed, later]
        proxy.check_serves()


def propose_without_followers(leader, others, change):
    """Pauses the other nodes and proposes. Returns whether the leader has accepted the proposal.

    If it has not, the other nodes go on: on a slow machine the leader may have lost its quorum by then.
    """
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
            return True  # The proposal is pending: a refusal would have come before the status.
    for node in others:
        node.signal(signal.SIGCONT)
    return False


def test_a_change_whose_leader_dies_before_the_commit_is_made_once(fleet):
    fleet.start()
    first = fleet.commit(fleet.nodes.leader(), discovery_change())
    for proxy in fleet.proxies:
        proxy.wait_for_fields(version=first)
    leader = fleet.nodes.leader()
    others = fleet.nodes.others(leader)
    # The followers are paused, so the entry waits in their socket buffers. The leader dies before it can
    # learn that they have the entry, commit it or tell any other process.
    change = discovery_change()
    while not propose_without_followers(leader, others, change):
        leader = fleet.nodes.leader()
        others = fleet.nodes.others(leader)
    leader.end(signal.SIGKILL)
    for node in others:
        node.signal(signal.SIGCONT)
    new = fleet.nodes.leader(others)
    # A client can't know whether the change was committed. With the same id it is made once in either case.
    code, output = fleet.propose(new, change, "--id", "late")
    assert code == 0, output
    version = int(output.split("version ")[1].split(",")[0])
    repeated = fleet.propose(new, change, "--id", "late")
    assert repeated[0] == 0
    assert f"version {version}," in repeated[1]
    for proxy in fleet.proxies:
        proxy.wait_for_fields(version=version)
        proxy.check_serves()
    leader.start()
    fleet.nodes.wait_for_status(
        leader, lambda a: a.status.committed.index >= version, "the killed node has caught up"
    )


def test_a_proxy_leaves_a_paused_control_node_and_misses_no_version(fleet):
    fleet.start()
    leader = fleet.nodes.leader()
    paused = fleet.nodes.others(leader)[0]
    (proxy,) = [p for p, node in zip(fleet.proxies, fleet.nodes.nodes, strict=True) if node is paused]
    proxy.wait_for_fields(node=paused.name)
    paused.signal(signal.SIGSTOP)
    versions = [fleet.commit(leader, discovery_change()) for _ in range(3)]
    for each in fleet.proxies:
        each.wait_for_fields(version=versions[-1])
    assert proxy.configuration()["node"] not in (paused.name, "none")
    paused.signal(signal.SIGCONT)
    fleet.nodes.wait_for_status(
        paused, lambda a: a.status.committed.index >= versions[-1], "the paused node has caught up"
    )
    assert activated_versions(proxy) == versions


def test_a_paused_leader_is_replaced_and_does_not_undo_a_later_commit(fleet):
    fleet.start()
    leader = fleet.nodes.leader()
    leader.signal(signal.SIGSTOP)
    new = fleet.nodes.leader(fleet.nodes.others(leader))
    version = fleet.commit(new, discovery_change())
    leader.signal(signal.SIGCONT)
    answer = fleet.nodes.wait_for_status(
        leader, lambda a: a.status.committed.index >= version, "the old leader has caught up"
    )
    assert answer.status.role != "leader"
    for proxy in fleet.proxies:
        proxy.wait_for_fields(version=version)


def test_a_restarted_proxy_has_the_latest_version_before_it_serves(fleet):
    fleet.start()
    restarted = fleet.proxies[0]
    leader = fleet.nodes.leader()
    first = fleet.commit(leader, discovery_change())
    restarted.wait_for_fields(version=first)
    restarted.process.end(signal.SIGKILL)
    for _ in range(3):
        last = fleet.commit(leader, discovery_change())
    restarted.start()
    restarted.process.ready()
    assert restarted.configuration()["version"] == str(last)
    log = restarted.process.log.read_text()
    assert log.index("caught up") < log.index("serves on")
    restarted.check_serves()


def test_a_proxy_that_cannot_load_a_change_stays_at_the_version_before(fleet):
    # This proxy's own file has another granularity, and an entry can't change that at run time.
    other = fleet.proxies[1]
    other.write_config(settings=OWN_SETTINGS | {"granularity": 7})
    fleet.start()
    leader = fleet.nodes.leader()
    first = fleet.commit(leader, discovery_change())
    second = fleet.commit(leader, discovery_change() | peers_total_change(7))
    for proxy in fleet.proxies:
        if proxy is not other:
            proxy.wait_for_fields(version=second, refused=0)
    other.wait_for_fields(version=first, position=second, refused=second)
    assert len(version_log_lines(other, "settings.granularity: can't be changed at run time")) == 1
    answer = fleet.nodes.wait_for_status(
        leader,
        lambda a: a.activation is not None and (a.activation.refused, a.activation.applied) == (1, 2),
        "refused by one proxy and active at two",
    )
    assert answer.activation.refusals[0].reason == "settings.granularity: can't be changed at run time"
    other.check_serves()
    third = fleet.commit(leader, discovery_change())
    for proxy in fleet.proxies:
        proxy.wait_for_fields(version=third, refused=0)


def test_without_a_quorum_proposals_are_refused_and_proxies_go_on_serving(fleet):
    fleet.start()
    leader = fleet.nodes.leader()
    first = fleet.commit(leader, discovery_change())
    for proxy in fleet.proxies:
        proxy.wait_for_fields(version=first)
    for node in fleet.nodes.others(leader):
        node.end(signal.SIGKILL)
    fleet.nodes.wait_for_status(leader, lambda a: not a.status.has_quorum, "no quorum")
    code, output = fleet.propose(leader, discovery_change())
    assert code == 1
    assert "no quorum" in output
    for proxy in fleet.proxies:
        proxy.wait_for_fields(version=first, current="no", divided_by=OWN_SETTINGS["peers-total"])
        proxy.check_serves()
    # A proxy that starts now waits for a bounded time, and then serves with the settings in its own file.
    restarted = fleet.proxies[2]
    restarted.process.end(signal.SIGKILL)
    restarted.start()
    restarted.process.ready()
    restarted.process.wait_for_log("not caught up with the control log in time, serving at index")
    restarted.check_serves()
    for node in fleet.nodes.others(leader):
        node.start()
    version = fleet.commit(fleet.nodes.leader(), discovery_change())
    for proxy in fleet.proxies:
        proxy.wait_for_fields(version=version, current="yes")


def test_committed_entries_survive_a_kill_of_all_control_nodes(fleet):
    fleet.start()
    version = fleet.commit(fleet.nodes.leader(), discovery_change())
    for node in fleet.nodes.nodes:
        node.end(signal.SIGKILL)
    with (fleet.nodes.nodes[0].folder / fleet.nodes.nodes[0].name / "control.log").open("ab") as file:
        file.write(b"\0\0\1\0torn")  # This is how a crash in the middle of a write leaves the file.
    fleet.nodes.start()
    assert "a torn record of 8 bytes was dropped" in fleet.nodes.nodes[0].log.read_text()
    answer = fleet.nodes.leader().status()
    assert answer.status.committed.index >= version
    later = fleet.commit(fleet.nodes.leader(), discovery_change())
    assert later > version
    for proxy in fleet.proxies:
        proxy.wait_for_fields(version=later)


def test_a_stopped_proxy_no_longer_counts_and_a_killed_one_counts_as_hidden(fleet):
    fleet.start()
    leader = fleet.nodes.leader()
    for proxy in fleet.proxies:
        proxy.wait_for_fields(divided_by=3)
    fleet.proxies[0].process.end(signal.SIGTERM)
    fleet.nodes.wait_for_status(
        leader,
        lambda a: (a.status.fleet.alive, a.status.fleet.hidden) == (2, 0),
        "one proxy has said goodbye",
    )
    fleet.proxies[1].process.end(signal.SIGKILL)
    fleet.nodes.wait_for_status(
        leader,
        lambda a: (a.status.fleet.alive, a.status.fleet.hidden) == (1, 1),
        "one proxy may still be alive",
    )
    assert fleet.proxies[2].wait_for_fields(divided_by=2)


def test_a_proxy_that_hands_over_to_another_process_counts_once(fleet):
    fleet.start()
    leader = fleet.nodes.leader()
    first = fleet.commit(leader, discovery_change())
    replaced = fleet.proxies[0]
    replaced.wait_for_fields(version=first)
    predecessor = replaced.process
    replaced.start()
    replaced.process.ready()
    assert replaced.configuration()["version"] == str(first)
    predecessor.wait_for_log("the successor serves")
    assert predecessor.end(signal.SIGTERM) == 0
    replaced.process.wait_for_log("the predecessor has exited")
    last = fleet.commit(fleet.nodes.leader(), discovery_change())
    for proxy in fleet.proxies:
        proxy.wait_for_fields(version=last)
    fleet.nodes.wait_for_status(
        fleet.nodes.leader(),
        lambda a: (a.status.fleet.alive, a.status.fleet.hidden) == (3, 0),
        "three proxies and none hidden",
    )
    replaced.check_serves()
