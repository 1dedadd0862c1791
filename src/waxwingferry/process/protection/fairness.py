"""A queue shared by members in proportion to their weights.

Start-time fair queueing: each member has a virtual time at which its next
item may start. The item with the earliest start goes first, and its member's
start moves on by the item's cost divided by the member's weight. Costs are
service times, so the shares are shares of the target's time. The cost charged
at the start is an estimate; finish() corrects it when the item has ended.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import math
from typing import Any
from typing import Generic
from typing import TypeVar

# Members beyond this number share one state, so that made-up member names
# can't use up memory.
MAX_MEMBERS = 256
OTHER_MEMBERS = "(other)"

Item = TypeVar("Item")


@dataclasses.dataclass(slots=True, eq=False)
class Share(Generic[Item]):
    """One member's part of the queue.

    Attributes:
        member: Name of the member.
        weight: Weight of the member.
        start: Virtual time at which its next item may start.
        items: Its queued items, oldest first.
        running: Its items that were taken and have not ended.
    """

    member: str
    weight: float
    start: float
    items: collections.deque[Item] = dataclasses.field(
        default_factory=collections.deque
    )
    running: int = 0


class FairQueue(Generic[Item]):
    """Items of several members, taken in the order of their fair shares.

    Args:
        weight: Returns the weight of a member.
    """

    def __init__(self, weight: Callable[[str], float]):
        self.weight = weight
        self.shares: dict[str, Share[Item]] = {}
        self.now = 0.0
        self.size = 0

    def __len__(self) -> int:
        """Returns the number of queued items."""
        return self.size

    def __iter__(self) -> Iterator[Item]:
        """Iterates over the queued items member by member."""
        for share in self.shares.values():
            yield from share.items

    def find_share(self, member: str) -> Share[Item]:
        """Returns the state of a member."""
        share = self.shares.get(member)
        if share is None:
            if len(self.shares) >= MAX_MEMBERS:
                self._forget_idle()
            if len(self.shares) >= MAX_MEMBERS:
                member = OTHER_MEMBERS
            share = self.shares.get(member)
        if share is None:
            share = Share(member, self.weight(member), self.now)
            self.shares[member] = share
        return share

    def push(self, member: str, item: Item) -> Share[Item]:
        """Adds an item at the end of its member's part."""
        share = self.find_share(member)
        if not share.items:
            # The weight may have changed with the document.
            share.weight = self.weight(share.member)
            share.start = max(share.start, self.now)
        share.items.append(item)
        self.size += 1
        return share

    def pop(
        self, cost_s: float, order: Callable[[Item], Any] | None = None
    ) -> Item:
        """Takes the item that is next, and charges its member.

        Args:
            cost_s: Estimated cost of the item.
            order: Key by which a member's items go, the least one first, or
                None for the order in which they came.
        """
        share = min(
            (item for item in self.shares.values() if item.items),
            key=lambda item: item.start,
        )
        self.now = max(self.now, share.start)
        share.start += cost_s / share.weight
        share.running += 1
        self.size -= 1
        if order is None:
            return share.items.popleft()
        item = min(share.items, key=order)
        share.items.remove(item)
        return item

    def finish(
        self, share: Share[Item], charged_s: float, used_s: float
    ) -> None:
        """Ends a taken item: replaces its estimated cost by the real one."""
        share.running -= 1
        assert share.running >= 0
        share.start += (used_s - charged_s) / share.weight

    def remove(self, share: Share[Item], item: Item) -> None:
        """Removes a queued item."""
        share.items.remove(item)
        self.size -= 1

    def find_largest(self, arriving: Share[Item]) -> Share[Item]:
        """Returns the member with the most items for its weight.

        Args:
            arriving: Member that has one more item at the door.
        """
        queued = [item for item in self.shares.values() if item.items]
        return max(
            [arriving, *queued],
            key=lambda item: (
                (len(item.items) + (item is arriving)) / item.weight
            ),
        )

    def count_ahead(self, share: Share[Item], cost_s: float) -> int:
        """Returns how many queued items go before a new one of a member."""
        start = max(share.start, self.now) if not share.items else share.start
        own_start = start + len(share.items) * cost_s / share.weight
        ahead = len(share.items)
        for other in self.shares.values():
            if other is share or other.start >= own_start:
                continue
            step = cost_s / other.weight
            before = math.ceil((own_start - other.start) / step)
            ahead += min(len(other.items), before)
        return ahead

    def _forget_idle(self) -> None:
        """Drops members that have no items and no debt."""
        for name, share in list(self.shares.items()):
            idle = not share.items and not share.running
            if idle and share.start <= self.now:
                del self.shares[name]
