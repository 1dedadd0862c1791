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
class MemberQueue(Generic[Item]):
    """One member's part of the queue.

    Attributes:
        member: Name of the member.
        weight: Weight of the member.
        virtual_start: Virtual time at which its next item may start.
        items: Its queued items, oldest first.
        running: Its items that were taken and have not ended.
    """

    member: str
    weight: float
    virtual_start: float
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
        self.member_queues: dict[str, MemberQueue[Item]] = {}
        self.virtual_time = 0.0
        self.size = 0

    def __len__(self) -> int:
        """Returns the number of queued items."""
        return self.size

    def __iter__(self) -> Iterator[Item]:
        """Iterates over the queued items member by member."""
        for queue in self.member_queues.values():
            yield from queue.items

    def find_member_queue(self, member: str) -> MemberQueue[Item]:
        """Returns the state of a member."""
        queue = self.member_queues.get(member)
        if queue is None:
            if len(self.member_queues) >= MAX_MEMBERS:
                self._drop_idle()
            if len(self.member_queues) >= MAX_MEMBERS:
                member = OTHER_MEMBERS
            queue = self.member_queues.get(member)
        if queue is None:
            queue = MemberQueue(member, self.weight(member), self.virtual_time)
            self.member_queues[member] = queue
        return queue

    def push(self, member: str, item: Item) -> MemberQueue[Item]:
        """Adds an item at the end of its member's part."""
        queue = self.find_member_queue(member)
        if not queue.items:
            # The weight may have changed with the document.
            queue.weight = self.weight(queue.member)
            queue.virtual_start = max(queue.virtual_start, self.virtual_time)
        queue.items.append(item)
        self.size += 1
        return queue

    def pop(
        self, cost_s: float, key: Callable[[Item], Any] | None = None
    ) -> Item:
        """Takes the item that is next, and charges its member.

        Args:
            cost_s: Estimated cost of the item.
            key: Key by which a member's items go, the least one first, or
                None for the order in which they came.
        """
        queue = min(
            (item for item in self.member_queues.values() if item.items),
            key=lambda item: item.virtual_start,
        )
        self.virtual_time = max(self.virtual_time, queue.virtual_start)
        queue.virtual_start += cost_s / queue.weight
        queue.running += 1
        self.size -= 1
        if key is None:
            return queue.items.popleft()
        item = min(queue.items, key=key)
        queue.items.remove(item)
        return item

    def finish(
        self, queue: MemberQueue[Item], charged_s: float, used_s: float
    ) -> None:
        """Ends a taken item: replaces its estimated cost by the real one."""
        queue.running -= 1
        assert queue.running >= 0
        queue.virtual_start += (used_s - charged_s) / queue.weight

    def remove(self, queue: MemberQueue[Item], item: Item) -> None:
        """Removes a queued item."""
        queue.items.remove(item)
        self.size -= 1

    def find_largest(self, arriving: MemberQueue[Item]) -> MemberQueue[Item]:
        """Returns the member with the most items for its weight.

        Args:
            arriving: Member that has one more item at the door.
        """
        queued = [item for item in self.member_queues.values() if item.items]
        return max(
            [arriving, *queued],
            key=lambda item: (
                (len(item.items) + (item is arriving)) / item.weight
            ),
        )

    def count_ahead(self, queue: MemberQueue[Item], cost_s: float) -> int:
        """Returns how many queued items go before a new one of a member."""
        start = (
            max(queue.virtual_start, self.virtual_time)
            if not queue.items
            else queue.virtual_start
        )
        own_start = start + len(queue.items) * cost_s / queue.weight
        ahead = len(queue.items)
        for other in self.member_queues.values():
            if other is queue or other.virtual_start >= own_start:
                continue
            step = cost_s / other.weight
            preceding = math.ceil((own_start - other.virtual_start) / step)
            ahead += min(len(other.items), preceding)
        return ahead

    def _drop_idle(self) -> None:
        """Drops members that have no items and no debt."""
        for name, queue in list(self.member_queues.items()):
            idle = not queue.items and not queue.running
            if idle and queue.virtual_start <= self.virtual_time:
                del self.member_queues[name]
