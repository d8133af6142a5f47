"""One budget of descriptors over the clients' side and the nodes' side.

Each side has a floor, which the other can never take; all between the floors goes to whoever asks first. A
side that finds no room closes what is idle: its own, or what the other holds beyond its floor (`lender`).
The invariant, checked at every change: what is held never passes the total (but for a while after a smaller
one has been set), and each side can reach its floor whatever the other does.
"""

from enum import Enum

BACK_FLOOR = 0.35  # of the descriptors: attempts queue and share connections when there are fewer
FRONT_FLOOR = 0.5
WORK_SHARE = 0.45  # clients with requests in hand beyond that are refused: there is room left to do it in


class DescriptorSide(Enum):
    CLIENTS = "front"
    NODES = "back"


def other(side: DescriptorSide) -> DescriptorSide:
    return DescriptorSide.NODES if side is DescriptorSide.CLIENTS else DescriptorSide.CLIENTS


class BudgetError(Exception):
    """More was taken than there is, or given back than was held: a fault of the caller."""


class DescriptorBudget:
    def __init__(self, total: int, front_floor: float = FRONT_FLOOR, back_floor: float = BACK_FLOOR) -> None:
        """`total`: descriptors for both sides; the floors are shares of it and may not pass 1 together."""
        if total < 2 or front_floor + back_floor > 1.0 or min(front_floor, back_floor) <= 0.0:
            raise ValueError("a budget needs two descriptors, and floors over 0 that do not pass 1")
        self._shares = (front_floor, back_floor)
        self.total = total
        self.floors = {
            DescriptorSide.CLIENTS: max(1, int(front_floor * total)),
            DescriptorSide.NODES: max(1, int(back_floor * total)),
        }
        self.held = {DescriptorSide.CLIENTS: 0, DescriptorSide.NODES: 0}

    def resize(self, total: int) -> None:
        """Another total, with the same shares; what is held beyond it is given back by and by (`over`)."""
        fresh = DescriptorBudget(max(2, total), *self._shares)
        self.total, self.floors = fresh.total, fresh.floors

    @property
    def over(self) -> int:
        """So many more are held than there are to hold."""
        return max(0, sum(self.held.values()) - self.total)

    @property
    def work_cap(self) -> int:
        """So many clients may have requests in hand."""
        return max(1, int(WORK_SHARE * self.total))

    def room(self, side: DescriptorSide) -> int:
        """How many more `side` may hold now."""
        theirs = other(side)
        kept = max(self.held[theirs], self.floors[theirs])
        return max(0, self.total - self.held[side] - kept)

    def most(self, side: DescriptorSide) -> int:
        """What `side` could hold at the best."""
        return self.total - self.floors[other(side)]

    def take(self, side: DescriptorSide) -> None:
        if not self.room(side):
            raise BudgetError(f"{side.value}: no room")
        self.held[side] += 1

    def give_back(self, side: DescriptorSide) -> None:
        if not self.held[side]:
            raise BudgetError(f"{side.value}: nothing is held")
        self.held[side] -= 1

    def lender(self, side: DescriptorSide) -> bool:
        """Whether the other side holds more than its floor: one closed there makes room here."""
        theirs = other(side)
        return self.held[theirs] > self.floors[theirs]
