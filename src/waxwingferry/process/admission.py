"""Admission to one target: an exact limit and a bounded queue."""

import collections
import dataclasses

import anyio

from waxwingferry.request import call
from waxwingferry.request import outcome

COLD_LIMIT = 1
QUEUE_PER_SLOT = 2


@dataclasses.dataclass(slots=True)
class Permit:
    """The right to send one attempt to the target."""

    member: str


class Admission:
    """Decides which attempts go to the target, and when.

    The invariant in_flight <= limit <= slots is asserted at each dispatch.

    Args:
        slots: Requests that the target can work on at a time.
    """

    def __init__(self, slots: int):
        self.slots = slots
        self.limit = min(COLD_LIMIT, slots)
        self.in_flight = 0
        self.successes = 0
        self.waiting: collections.deque[anyio.Event] = collections.deque()

    async def acquire(
        self, member: str, deadline: call.Deadline
    ) -> Permit | outcome.NotRun:
        """Waits for a free place, or refuses."""
        if self.in_flight < self.limit and not self.waiting:
            return self._dispatch(member)
        if len(self.waiting) >= QUEUE_PER_SLOT * self.slots:
            return outcome.NotRun(outcome.Reason.QUEUE_FULL)
        event = anyio.Event()
        self.waiting.append(event)
        try:
            with anyio.move_on_after(max(deadline.remaining_s(), 0)):
                await event.wait()
        finally:
            if not event.is_set():
                self.waiting.remove(event)
        if not event.is_set():
            return outcome.NotRun(outcome.Reason.DEADLINE_TOO_SHORT)
        return Permit(member)

    def _dispatch(self, member: str) -> Permit:
        self.in_flight += 1
        assert self.in_flight <= self.limit <= self.slots
        return Permit(member)

    def release(self, permit: Permit, succeeded: bool) -> None:
        """Gives a place back and learns from how the attempt ended."""
        self.in_flight -= 1
        if succeeded:
            self._grow()
        while self.waiting and self.in_flight < self.limit:
            self.in_flight += 1
            assert self.in_flight <= self.limit <= self.slots
            self.waiting.popleft().set()

    def _grow(self) -> None:
        self.successes += 1
        if self.successes >= self.limit and self.limit < self.slots:
            self.successes = 0
            self.limit = min(self.limit * 2, self.slots)

    def reset_cold(self) -> None:
        """Starts again at the cold limit; work in flight goes on."""
        self.limit = min(COLD_LIMIT, self.slots)
        self.successes = 0
