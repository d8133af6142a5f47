"""What befalls a world's machines rather than its programs: stepped wall clocks, failing system calls."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from lab.client_population import ClientPopulation, SimulatedClient
from lab.net import Net
from lab.scenario import Fault
from lab.simulated_proxy import SimulatedProxy
from lab.wall_clock import WallClocks


class MachineEnvironment(Protocol):
    """What these faults need of the play."""

    net: Net
    proxies: list[SimulatedProxy]
    people: list[ClientPopulation]
    wall_clocks: WallClocks

    def note(self, text: str) -> None: ...


def befall(play: MachineEnvironment, fault: Fault, machines: Sequence[str]) -> None:
    """The fault happens now, on the machines of these names."""
    if fault.kind == "clock_step":
        step_s = play.wall_clocks.step(machines, fault.by_s)
        play.note(f"clock_step {step_s:+g} s {' '.join(machines)}")
        return
    play.note(f"{fault.kind} {' '.join(machines)}")
    for proxy in [one for one in play.proxies if one.name in machines]:
        if fault.kind == "connections_break":
            _break_connections(play, proxy, fault)
        else:
            proxy.system_calls.begin(fault)
            play.net.callLater(fault.for_s, proxy.system_calls.end, fault.kind)


def _break_connections(play: MachineEnvironment, proxy: SimulatedProxy, fault: Fault) -> None:
    """Some of the proxy's connections break, to its clients and to nodes; the other sides hear nothing."""
    if proxy.service is None:
        return
    ends = [end for end in play.net.ends_of(proxy.service.inside) if end.other.protocol is not None]
    for place in proxy.system_calls.broken(len(ends), fault):
        end = ends[place]
        till = end.other.protocol
        end.break_with(proxy.system_calls.break_error(fault))
        if isinstance(till, SimulatedClient):
            till.people.cut_off(till)
