"""Faults of machines, not of programs: stepped wall clocks, failing system calls, broken connections."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from lab.fault import Fault
from lab.net import Net
from lab.simulated_client import SimulatedClient
from lab.simulated_proxy import SimulatedProxy
from lab.wall_clock import WallClocks


class MachineEnvironment(Protocol):
    """What these faults need of the simulation."""

    net: Net
    proxies: list[SimulatedProxy]
    wall_clocks: WallClocks

    def note(self, text: str) -> None:
        """Adds a line to the notes of the summary."""


def inject_machine_fault(environment: MachineEnvironment, fault: Fault, machines: Sequence[str]) -> None:
    """Makes the fault happen now, on the machines of these names."""
    if fault.kind == "clock_step":
        step_s = environment.wall_clocks.step(machines, fault.by_s)
        environment.note(f"clock_step {step_s:+g} s {' '.join(machines)}")
        return
    environment.note(f"{fault.kind} {' '.join(machines)}")
    for proxy in [each for each in environment.proxies if each.name in machines]:
        if fault.kind == "connections_break":
            _break_connections(environment.net, proxy, fault)
        else:
            proxy.system_calls.begin(fault)
            environment.net.callLater(fault.for_s, proxy.system_calls.end, fault.kind)


def _break_connections(net: Net, proxy: SimulatedProxy, fault: Fault) -> None:
    """Breaks some of the proxy's connections, to clients and to nodes; the other sides are told nothing."""
    if proxy.process is None:
        return
    ends = net.ends_of(proxy.process.reactor)
    taken = [end for end in ends if end.other.protocol is not None]
    for place in proxy.system_calls.broken(len(taken), fault):
        end = taken[place]
        peer = end.other.protocol
        end.break_with(proxy.system_calls.break_error(fault))
        if isinstance(peer, SimulatedClient):
            peer.cut_off()
