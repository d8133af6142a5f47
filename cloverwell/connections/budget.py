"""Divides one budget of file descriptors between the clients' side and the nodes' side.

Each side has a floor: a number of descriptors that the other side can never take. The descriptors beyond both
floors go to the side that asks first. A side that finds none available closes an idle connection of its own,
or asks the other side to close one that it holds beyond its floor. Two invariants hold at every change: the
descriptors that are held never exceed the total (except for a while after a smaller total has been set), and
each side can reach its floor whatever the other does.
"""

from enum import Enum

# The share of the descriptors that is the floor of each side. The nodes' floor is the smaller one, since
# attempts can queue and share connections when there are few.
NODES_FLOOR_SHARE = 0.35
CLIENTS_FLOOR_SHARE = 0.5
# The share of the descriptors that clients with an open request may hold. Requests of further clients are
# rejected, so that descriptors are left to serve the admitted ones.
ACTIVE_CLIENTS_SHARE = 0.45


class DescriptorSide(Enum):
    """One of the two sides that hold descriptors."""

    CLIENTS = "front"  # connections that clients have opened to the proxy
    NODES = "back"  # connections that the proxy has opened to cache nodes and the origin


def opposite(side: DescriptorSide) -> DescriptorSide:
    """Return the side other than `side`."""
    return DescriptorSide.NODES if side is DescriptorSide.CLIENTS else DescriptorSide.CLIENTS


class BudgetError(Exception):
    """A call that would break an invariant of the budget: a fault of the caller."""

    def __init__(self, side: DescriptorSide, reason: str) -> None:
        """Set up the message: `side` can't acquire or release a descriptor, for `reason`."""
        super().__init__(f"{side.value}: {reason}")
        self.side = side


class NoneAvailableError(BudgetError):
    """A side acquired a descriptor while none was available to it."""

    def __init__(self, side: DescriptorSide) -> None:
        """Set up the message; `side`: the one that acquired."""
        super().__init__(side, "no descriptor is available")


class NothingHeldError(BudgetError):
    """A side released a descriptor while it held none."""

    def __init__(self, side: DescriptorSide) -> None:
        """Set up the message; `side`: the one that released."""
        super().__init__(side, "no descriptor is held")


class DescriptorBudget:
    """Counts the descriptors that each side holds, and tells how many more it may acquire."""

    def __init__(
        self,
        total: int,
        clients_floor_share: float = CLIENTS_FLOOR_SHARE,
        nodes_floor_share: float = NODES_FLOOR_SHARE,
    ) -> None:
        """Start with no descriptor held.

        Args:
            total: the number of descriptors for both sides, at least 2.
            clients_floor_share: the share of the total that the nodes' side can't take, over 0.
            nodes_floor_share: the share of the total that the clients' side can't take, over 0. The sum of
                both shares is at most 1.

        Raises:
            ValueError: an argument is outside these limits.
        """
        if (
            total < 2
            or clients_floor_share + nodes_floor_share > 1.0
            or min(clients_floor_share, nodes_floor_share) <= 0.0
        ):
            raise ValueError(
                "the budget needs at least 2 descriptors, and floor shares over 0 whose sum is at most 1"
            )
        self._floor_shares = (clients_floor_share, nodes_floor_share)
        self.total = total
        self.floors = {
            DescriptorSide.CLIENTS: max(1, int(clients_floor_share * total)),
            DescriptorSide.NODES: max(1, int(nodes_floor_share * total)),
        }
        self.held = {DescriptorSide.CLIENTS: 0, DescriptorSide.NODES: 0}

    def resize(self, total: int) -> None:
        """Set another total with the same shares.

        Descriptors that are held beyond the new total (`excess`) are released later by their sides.
        """
        resized = DescriptorBudget(max(2, total), *self._floor_shares)
        self.total = resized.total
        self.floors = resized.floors

    @property
    def excess(self) -> int:
        """The number of descriptors that are held beyond the total."""
        return max(0, sum(self.held.values()) - self.total)

    @property
    def max_active_clients(self) -> int:
        """The number of clients that may have open requests at once."""
        return max(1, int(ACTIVE_CLIENTS_SHARE * self.total))

    def available(self, side: DescriptorSide) -> int:
        """Return how many more descriptors `side` may acquire now."""
        other_side = opposite(side)
        reserved = max(self.held[other_side], self.floors[other_side])
        return max(0, self.total - self.held[side] - reserved)

    def max_held(self, side: DescriptorSide) -> int:
        """Return the most descriptors that `side` can hold, which leaves the other side its floor."""
        return self.total - self.floors[opposite(side)]

    def acquire(self, side: DescriptorSide) -> None:
        """Count one more descriptor as held by `side`; raises `NoneAvailableError`."""
        if not self.available(side):
            raise NoneAvailableError(side)
        self.held[side] += 1

    def release(self, side: DescriptorSide) -> None:
        """Count one descriptor less as held by `side`; raises `NothingHeldError`."""
        if not self.held[side]:
            raise NothingHeldError(side)
        self.held[side] -= 1

    def other_can_release(self, side: DescriptorSide) -> bool:
        """Return whether the other side holds more than its floor, and can release one for `side`."""
        other_side = opposite(side)
        return self.held[other_side] > self.floors[other_side]
