"""What every simulated node needs of the simulation that it is part of."""

from __future__ import annotations

from typing import Protocol

from lab.invariant_checker import InvariantChecker
from lab.net import Net
from lab.scenario import Scenario


class NodeEnvironment(Protocol):
    """What every node needs: the network, the scenario's settings, and the invariant checker."""

    net: Net
    scenario: Scenario
    checker: InvariantChecker
