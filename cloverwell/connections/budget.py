"""One budget of descriptors, shared by the clients' side and the nodes' side.

Each side has a floor that the other can never take; what is between the floors goes to whoever asks first. A
side that finds no room closes an idle connection of its own, or asks the other to close one that it holds
beyond its floor. The invariant, kept at every change: what is held never exceeds the total (except for a
while after a smaller total has been set), and each side can reach its floor whatever the other does.
"""

from enum import Enum

NODES_FLOOR = 0.35  # of the descriptors: attempts queue and share connections when there are fewer
CLIENTS_FLOOR = 0.5
# Requests of more clients than that are rejected; descriptors to serve the others are left.
ACTIVE_CLIENTS_SHARE = 0.45


class DescriptorSide(Enum):
    """One of the two sides that hold descriptors."""

    CLIENTS = "front"
    NODES = "back"


def opposite(side: DescriptorSide) -> DescriptorSide:
    """Return the side that is not `side`."""
    return DescriptorSide.NODES if side is DescriptorSide.CLIENTS else DescriptorSide.CLIENTS


class BudgetError(Exception):
    """A change that breaks the invariant: a fault of the caller."""

    def __init__(self, side: DescriptorSide, reason: str) -> None:
        """Name the side that was to change, and the reason why it can't."""
        super().__init__(f"{side.value}: {reason}")
        self.side = side


class NoRoomError(BudgetError):
    """A descriptor was taken where there was no room."""

    def __init__(self, side: DescriptorSide) -> None:
        """Name the side that has no room."""
        super().__init__(side, "no room")


class NothingHeldError(BudgetError):
    """A descriptor was given back by a side that holds none."""

    def __init__(self, side: DescriptorSide) -> None:
        """Name the side that holds nothing."""
        super().__init__(side, "nothing is held")


class DescriptorBudget:
    """How many descriptors each side holds, and how many more it may."""

    def __init__(
        self, total: int, clients_floor: float = CLIENTS_FLOOR, nodes_floor: float = NODES_FLOOR
    ) -> None:
        """Start with nothing held.

        Args:
            total: descriptors for both sides, two at least.
            clients_floor: the share of the total that the nodes' side can't take, over 0.
            nodes_floor: the share that the clients' side can't take, over 0; together at most 1.

        Raises:
            ValueError: these limits don't hold.
        """
        if total < 2 or clients_floor + nodes_floor > 1.0 or min(clients_floor, nodes_floor) <= 0.0:
            raise ValueError("a budget needs two descriptors, and floors over 0 that do not pass 1")
        self._shares = (clients_floor, nodes_floor)
        self.total = total
        self.floors = {
            DescriptorSide.CLIENTS: max(1, int(clients_floor * total)),
            DescriptorSide.NODES: max(1, int(nodes_floor * total)),
        }
        self.held = {DescriptorSide.CLIENTS: 0, DescriptorSide.NODES: 0}

    def resize(self, total: int) -> None:
        """Set another total with the same shares; what is held beyond it is given back later (`excess`)."""
        resized = DescriptorBudget(max(2, total), *self._shares)
        self.total = resized.total
        self.floors = resized.floors

    @property
    def excess(self) -> int:
        """How many more descriptors are held than the total."""
        return max(0, sum(self.held.values()) - self.total)

    @property
    def max_active_clients(self) -> int:
        """How many clients may have open requests."""
        return max(1, int(ACTIVE_CLIENTS_SHARE * self.total))

    def available(self, side: DescriptorSide) -> int:
        """Return how many more descriptors `side` may hold now."""
        other_side = opposite(side)
        reserved = max(self.held[other_side], self.floors[other_side])
        return max(0, self.total - self.held[side] - reserved)

    def max_held(self, side: DescriptorSide) -> int:
        """Return how many descriptors `side` could hold at the best."""
        return self.total - self.floors[opposite(side)]

    def acquire(self, side: DescriptorSide) -> None:
        """Take a descriptor for `side`; raises `NoRoomError`."""
        if not self.available(side):
            raise NoRoomError(side)
        self.held[side] += 1

    def release(self, side: DescriptorSide) -> None:
        """Give back a descriptor of `side`; raises `NothingHeldError`."""
        if not self.held[side]:
            raise NothingHeldError(side)
        self.held[side] -= 1

    def other_can_release(self, side: DescriptorSide) -> bool:
        """Return whether the other side holds more than its floor: a close there makes room for `side`."""
        other_side = opposite(side)
        return self.held[other_side] > self.floors[other_side]
