"""Weighted fair queue over members.

Implements start-time fair queueing: each member has a virtual time at which
its next item may start, which advances by the cost of each item taken divided
by the member's weight. Costs are service times, so members share the target's
time. The caller chooses the item; how far a member is ahead of the one with the
earliest virtual start tells whether it is over its fair share.
The cost charged at the start is an estimate; finish() corrects it afterwards.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import math
from typing import Generic
from typing import TypeVar

from waxwingferry import invariants

# Further members share one queue, so that forged member names can't exhaust
# memory.
MAX_MEMBERS = 256
OTHER_MEMBERS = "(other)"

Item = TypeVar("Item")


@dataclasses.dataclass(slots=True, eq=False)
class MemberQueue(Generic[Item]):
    """Queue of one member.

    Attributes:
        member: Name of the member.
        weight: Weight of the member.
        virtual_start: Virtual time at which the next item may start.
        items: Queued items, oldest first.
        running: Number of items that were taken and have not finished.
    """

    member: str
    weight: float
    virtual_start: float
    items: collections.deque[Item] = dataclasses.field(
        default_factory=collections.deque
    )
    running: int = 0


class FairQueue(Generic[Item]):
    """Queue whose items are taken by weighted fair shares of the members.

    Args:
        weight: Returns the weight of a member.
    """

    def __init__(self, weight: Callable[[str], float]):
        self.weight = weight
        self.member_queues: dict[str, MemberQueue[Item]] = {}
        # The members with queued items.
        self.active: dict[str, MemberQueue[Item]] = {}
        self.virtual_time = 0.0
        self.size = 0

    def __len__(self) -> int:
        """Returns the number of queued items."""
        return self.size

    def __iter__(self) -> Iterator[Item]:
        """Iterates over the queued items, one member after the other."""
        for queue in self.active.values():
            yield from queue.items

    def find_member_queue(self, member: str) -> MemberQueue[Item]:
        """Returns the queue of a member; creates it if needed."""
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
        """Appends an item to the queue of its member."""
        queue = self.find_member_queue(member)
        if not queue.items:
            # A new document may have changed the weight.
            queue.weight = self.weight(queue.member)
            queue.virtual_start = max(queue.virtual_start, self.virtual_time)
            self.active[queue.member] = queue
        queue.items.append(item)
        self.size += 1
        return queue

    def take(self, queue: MemberQueue[Item], item: Item, cost_s: float) -> None:
        """Removes a queued item to run it, and charges its member.

        Args:
            queue: Queue of the item's member.
            item: The item.
            cost_s: Estimated cost of the item.
        """
        # Items may be taken out of the fair order. The virtual time follows the
        # member that got least, so that it is known how far others are ahead.
        self.virtual_time = self.find_least_start()
        queue.virtual_start += cost_s / queue.weight
        queue.running += 1
        self.remove(queue, item)

    def find_least_start(self) -> float:
        """Returns the least virtual start of the members with queued items."""
        least = min(
            (queue.virtual_start for queue in self.active.values()),
            default=self.virtual_time,
        )
        return max(self.virtual_time, least)

    def finish(
        self, queue: MemberQueue[Item], charged_s: float, used_s: float
    ) -> None:
        """Replaces the estimated cost of a taken item by its actual cost."""
        invariants.require(queue.running > 0, "member_running")
        queue.running -= 1
        queue.virtual_start += (used_s - charged_s) / queue.weight

    def remove(self, queue: MemberQueue[Item], item: Item) -> None:
        """Removes a queued item."""
        queue.items.remove(item)
        self.size -= 1
        if not queue.items:
            del self.active[queue.member]

    def count_ahead(self, queue: MemberQueue[Item], cost_s: float) -> int:
        """Returns how many queued items precede a new item of a member."""
        start = (
            max(queue.virtual_start, self.virtual_time)
            if not queue.items
            else queue.virtual_start
        )
        own_start = start + len(queue.items) * cost_s / queue.weight
        ahead = len(queue.items)
        for other in self.active.values():
            if other is queue or other.virtual_start >= own_start:
                continue
            step = cost_s / other.weight
            preceding = math.ceil((own_start - other.virtual_start) / step)
            ahead += min(len(other.items), preceding)
        return ahead

    def _drop_idle(self) -> None:
        """Drops idle members whose virtual start has passed."""
        for name, queue in list(self.member_queues.items()):
            idle = not queue.items and not queue.running
            if idle and queue.virtual_start <= self.virtual_time:
                del self.member_queues[name]
