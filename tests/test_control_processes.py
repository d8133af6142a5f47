"""Control nodes and proxies as processes, and what is forced on them between a proposal and its effect."""

import json
import signal
import subprocess
from http.client import HTTPConnection

import pytest

from lab.control_node_processes import COMMAND, ControlNodes
from lab.processes import PATIENCE_S, ROOT, Clients, Place, free_port, wait_for
from lab.proxy import SETTINGS

REGIONS = ("north", "south", "west")
OWN = SETTINGS | {"peers-total": 40}  # the settings in the proxies' own files


class Proxy:
    """One proxy in a region, and the processes that have been it."""

    def __init__(self, folder, name, nodes, region):
        folder.mkdir()
        self.name = name
        self.place = Place(folder)
        self.nodes = nodes
        self.write(control=nodes.section(region), name=name, settings=OWN)
        self.process = None

    def write(self, **more):
        self.place.config.write_text(json.dumps(json.loads(self.place.config.read_text()) | more))

    def start(self):
        self.process = self.place.start()
        return self

    def told(self):
        """The fields of `GET /configuration`."""
        connection = HTTPConnection(*self.process.operator, timeout=PATIENCE_S)
        try:
            connection.request("GET", "/configuration")
            return dict(field.split("=") for field in connection.getresponse().read().decode().split())
        finally:
            connection.close()

    def comes_to(self, **fields):
        last = [{}]

        def so():
            last[0] = self.told()
            return all(last[0][name] == str(value) for name, value in fields.items())

        try:
            wait_for(so, f"{self.name} at {fields}")
        except AssertionError as error:
            raise AssertionError(f"{error}: {last[0]}\n{self.process.log.read_text()}") from None
        return last[0]

    def serves(self):
        clients = Clients(self.place.listen, 2)
        clients.more(10)
        clients.stop()


class Fleet:
    def __init__(self, folder):
        self.folder = folder
        self.nodes = ControlNodes(folder, REGIONS)
        self.proxies = [Proxy(folder / f"proxy-{r}", f"proxy-{r}", self.nodes, r) for r in REGIONS]

    def start(self):
        self.nodes.start()
        for proxy in self.proxies:
            proxy.start()
        for proxy in self.proxies:
            proxy.process.ready()
        return self

    def propose(self, to, change, *options):
        """Exit code and what was printed."""
        file = self.folder / "change.json"
        file.write_text(json.dumps(change))
        done = subprocess.run(
            [*COMMAND, "propose", str(file), "--to", to.at, *options],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        return done.returncode, done.stdout + done.stderr

    def commit(self, to, change):
        """The version that it became."""
        code, told = self.propose(to, change)
        assert code == 0, told
        return int(told.split("version ")[1].split(",")[0])

    def close(self):
        self.nodes.close()
        for proxy in self.proxies:
            proxy.place.close()


def discovery():
    return {"discovery": f"127.0.0.1:{free_port()}"}


def peers(number):
    return {"settings": OWN | {"peers-total": number}}


def lines(proxy, text):
    """Of its log, on versions."""
    return [
        line for line in proxy.process.log.read_text().splitlines() if " version: " in line and text in line
    ]


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
        told = proxy.comes_to(version=version, position=version, refused=0, current="yes")
        proxy.process.says(f"version: {version} in force, digest {told['digest']}")
        proxy.process.says("480 proxies")
    assert len({proxy.told()["digest"] for proxy in fleet.proxies}) == 1
    answer = fleet.nodes.wait_for_status(
        leader, lambda a: a.in_force is not None and a.in_force.applied == 3, "in force at three proxies"
    )
    assert answer.in_force.refused == 0 and answer.in_force.oldest_index == version
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


def in_order(proxy):
    """The versions that the proxy has put in force."""
    return [int(line.split("version: ")[1].split()[0]) for line in lines(proxy, "in force, digest")]


def test_a_change_whose_leader_dies_before_it_could_commit_is_made_once(fleet):
    fleet.start()
    first = fleet.commit(fleet.nodes.leader(), discovery())
    for proxy in fleet.proxies:
        proxy.comes_to(version=first)
    leader = fleet.nodes.leader()
    others = fleet.nodes.others(leader)
    # The followers are paused: the entry stands in their machine's buffers, and the leader dies before it
    # could learn that they hold it, commit it or tell anyone.
    for node in others:
        node.signal(signal.SIGSTOP)
    file = fleet.folder / "late.json"
    file.write_text(json.dumps(discovery()))
    asked = subprocess.Popen(
        [*COMMAND, "propose", str(file), "--to", leader.at, "--id", "late"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )
    fleet.nodes.wait_for_status(leader, lambda a: "late" in leader.log.read_text(), "the proposal")
    leader.end(signal.SIGKILL)
    for node in others:
        node.signal(signal.SIGCONT)
    _, told = asked.communicate(timeout=PATIENCE_S)
    assert asked.returncode == 3 and "repeat it with --id late" in told
    new = fleet.nodes.leader(others)
    # Whether it was committed can't be known from outside: the same id makes it once in either case.
    code, told = fleet.propose(new, json.loads(file.read_text()), "--id", "late")
    assert code == 0, told
    version = int(told.split("version ")[1].split(",")[0])
    again = fleet.propose(new, json.loads(file.read_text()), "--id", "late")
    assert again[0] == 0 and f"version {version}," in again[1]
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
    assert proxy.told()["node"] not in (paused.name, "none")
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
    assert away.told()["version"] == str(last)
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
        lambda a: a.in_force is not None and (a.in_force.refused, a.in_force.applied) == (1, 2),
        "one refusal, and two in force",
    )
    assert answer.in_force.refusals[0].reason == "settings.granularity: can't be changed at run time"
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
    code, told = fleet.propose(leader, discovery())
    assert code == 1 and "no quorum" in told
    for proxy in fleet.proxies:
        proxy.comes_to(version=first, current="no", divided_by=OWN["peers-total"])
        proxy.serves()
    # One that starts now waits for a bounded time, and serves by its own file.
    alone = fleet.proxies[2]
    alone.process.end(signal.SIGKILL)
    alone.start()
    alone.process.ready()
    alone.process.says("serves without being caught up")
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
