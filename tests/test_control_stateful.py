"""The control log under any mixture of delays, losses, partitions, crashes and restarts, in virtual time.

`ControlInvariants` are checked at every event, leases at every step. At the end all partitions are healed,
all processes run, and all must agree.
"""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from cloverwell.control.entry import EntryKind, LogState, Position, Snapshot
from cloverwell.control.messages import ProposalOutcome, Propose
from cloverwell.control.timing import ControlNodeTiming, FanoutTiming
from lab.control_world import ControlWorld

NODES = {"n1": "north", "s1": "south", "w1": "west"}
PROXIES = {"p1": "north", "p2": "south", "p3": "west"}
SMALL_LOG = ControlNodeTiming(keep_entries=4, max_append_entries=3)
SMALL_WINDOW = FanoutTiming(window_entries=2, max_entries_behind=6)


class ControlLog(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**16), drift=st.sampled_from([0.0, 0.002]))
    def begin(self, seed, drift):
        self.world = ControlWorld(NODES, PROXIES, seed, drift, SMALL_LOG, SMALL_WINDOW)
        self.saved_snapshots = {name: None for name in PROXIES}
        self.proposed = 0
        self.requests = []  # (node, its run, request, proposal) of each

    # Time and the network

    @rule(ms=st.sampled_from([1.0, 30.0, 200.0, 1_000.0, 4_000.0, 15_000.0]))
    def wait(self, ms):
        self.world.run(ms)

    @rule(events=st.integers(1, 40))
    def step(self, events):
        for _ in range(events):
            self.world.step()

    @rule(one=st.sampled_from([*NODES, *PROXIES]), other=st.sampled_from([*NODES]))
    def cut(self, one, other):
        if one != other:
            self.world.cut(one, other)

    @rule(region=st.sampled_from(["north", "south", "west"]))
    def cut_off(self, region):
        self.world.cut_off(region)

    @rule()
    def mend(self):
        self.world.mend()

    @rule(loss=st.sampled_from([0.0, 0.1, 0.5]))
    def set_peer_loss(self, loss):
        self.world.network.peer_loss = loss

    # Processes

    @rule(name=st.sampled_from([*NODES]), machine=st.booleans())
    def kill_node(self, name, machine):
        if self.world.nodes[name].up:
            self.world.kill_node(name, machine)

    @rule(name=st.sampled_from([*NODES]))
    def start_node(self, name):
        if not self.world.nodes[name].up:
            self.world.start_node(name)

    @rule(name=st.sampled_from([*PROXIES]), graceful=st.booleans())
    def end_proxy(self, name, graceful):
        process = self.world.proxies[name]
        if process.up:
            state = LogState()
            for entry in process.serving.values():
                state = state.after(entry)
            self.saved_snapshots[name] = Snapshot.of(process.subscription.position, 1, state)
            (self.world.stop_proxy if graceful else self.world.kill_proxy)(name)

    @rule(name=st.sampled_from([*PROXIES]), saved=st.sampled_from(["nothing", "own", "damaged", "foreign"]))
    def start_proxy(self, name, saved):
        if self.world.proxies[name].up:
            return
        saved_snapshot = self.saved_snapshots[name]
        if saved_snapshot is None or saved == "nothing":
            self.world.start_proxy(name)
        elif saved == "own":
            self.world.start_proxy(name, saved_snapshot)
        elif saved == "damaged":
            self.world.start_proxy(
                name, Snapshot(saved_snapshot.position, 2, saved_snapshot.state, saved_snapshot.checksum)
            )
        else:
            self.world.start_proxy(name, Snapshot.of(Position(1, b"another log"), 1, LogState()))

    @rule(name=st.sampled_from([*PROXIES]), load_ms=st.sampled_from([0.0, 100.0, 2_000.0]))
    def load_slowly(self, name, load_ms):
        self.world.proxies[name].load_ms = load_ms

    # Changes

    @rule(
        name=st.sampled_from([*NODES]),
        kind=st.sampled_from(["configuration", "purge"]),
        repeated=st.booleans(),
    )
    def propose(self, name, kind, repeated):
        process = self.world.nodes[name]
        if process.up:
            self.proposed += not repeated or not self.proposed
            proposal = f"change-{self.proposed}"
            request = self.world.propose(name, Propose(proposal, kind, proposal.encode()))
            self.requests.append((name, process.run, request, proposal))

    @rule(name=st.sampled_from([*PROXIES]), refuses=st.booleans())
    def refuse(self, name, refuses):
        reason = "cannot" if refuses else None
        self.world.proxies[name].load = lambda entry: reason

    # What must hold

    @precondition(lambda self: hasattr(self, "world"))
    @invariant()
    def leases_hold(self):
        self.world.check_leases()

    @precondition(lambda self: hasattr(self, "world"))
    @invariant()
    def committed_answers_match_the_log(self):
        for name, _, request, proposal in self.requests:
            answer = self.world.nodes[name].answers.get(request)
            if answer is not None and answer.outcome is ProposalOutcome.COMMITTED:
                assert self.world.rules.log[answer.index - 1].proposal == proposal

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.mend()
        self.world.network.peer_loss = 0.0
        for name in NODES:
            self.start_node(name)
        for name, process in self.world.proxies.items():
            process.load_ms, process.load = 0.0, lambda entry: None
            self.start_proxy(name, "own")
        self.world.run_until(lambda: self.world.leader() is not None, 60_000)
        last_request = self.world.change(self.world.leader().name, "the last")
        leader = self.world.leader()
        self.world.run_until(lambda: last_request in leader.answers, 10_000)
        self.world.run(30_000)
        assert leader.answers[last_request].outcome is ProposalOutcome.COMMITTED
        position = self.world.rules.positions[-1]
        for process in self.world.proxies.values():
            assert process.subscription.position == position, process.name
            assert process.subscription.is_current(process.clock.at(self.world.now))
            assert process.serving[EntryKind.CONFIGURATION].proposal == "the last"
        for process in self.world.nodes.values():
            assert process.node.consensus.log.committed == position
        answerable_requests = {
            request for name, run, request, _ in self.requests if self.world.nodes[name].run == run
        }
        assert all(
            request in self.world.nodes[name].answers
            for name, _, request, _ in self.requests
            if request in answerable_requests
        )


TestControlLog = ControlLog.TestCase
TestControlLog.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)


def test_a_world_without_running_processes_has_no_events_to_handle():
    world = ControlWorld(NODES, PROXIES)
    for name in NODES:
        world.kill_node(name)
    for _ in range(100):
        world.step()
    assert all(process.node is None for process in world.nodes.values())
