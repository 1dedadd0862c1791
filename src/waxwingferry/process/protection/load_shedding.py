"""Refuses nested calls of the same parents at all targets of a service.

Load pattern: nested calls arrive faster than the targets of their service can
take them, such as when a whole cluster restarts and its targets are in warm-up.
A request with two calls ends well only if both are served. If each target
chooses among the calls independently, a share p of them is served but only
p x p of the parents. If all targets prefer the same parents, a share p of the
parents ends well, and the calls of the others don't wait in queues.

The targets don't talk to each other: each compares a hash of the parent's ID
with the share of the calls that it can serve. H. Zhou et al., "Overload Control
for Scaling WeChat Microservices" (SoCC 2018) describe such hashing for users.
"""

import collections
from collections.abc import Callable
import dataclasses
import math
import time
from typing import Any

import xxhash

# Span over which arrivals are counted. A target in warm-up takes some tens of
# requests within it; over a shorter span, random arrivals below its capacity
# would often look like more.
WINDOW_S = 2.0
# After a pause or a restart the window isn't full; the rate is then taken over
# the time since the first arrival, but at least over this time.
MIN_SPAN_S = 0.5
# With fewer arrivals in the window, their rate is not known well enough.
MIN_ARRIVALS = 6
_HASH_RANGE = 2.0**64


def compute_level(parent_id: str) -> float:
    """Returns a number in [0, 1) that all nodes compute alike."""
    return xxhash.xxh3_64_intdigest(parent_id.encode()) / _HASH_RANGE


@dataclasses.dataclass(slots=True, frozen=True)
class Capacity:
    """What a target can take.

    Attributes:
        rate_per_s: Attempts per second that its rate limit allows.
        slots: Attempts that it can run at the same time.
    """

    rate_per_s: float = math.inf
    slots: float = math.inf


class LoadShedding:
    """Decides which nested calls a target refuses for lack of capacity.

    The rate limit counts attempts, and slots are taken for as long as an
    attempt runs. A nested call often takes a tenth of the time of the other
    requests of its target, so many more of them fit than by their mean.

    Args:
        clock: Monotonic time in seconds.

    Attributes:
        arrivals: Time, priority and work of each attempt that was recorded in
            the last window.
        counts: Number of these attempts, by priority.
        works_s: Sum of their work, by priority.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.arrivals: collections.deque[tuple[float, int, float]] = (
            collections.deque()
        )
        self.counts: collections.Counter[int] = collections.Counter()
        self.works_s: dict[int, float] = collections.defaultdict(float)

    def record(self, priority: int, work_s: float = 0.0) -> None:
        """Records the arrival of a nested call, or the dispatch of a request.

        Other requests than nested calls are recorded only if they get a slot,
        because those that are refused arrive at several targets.

        Args:
            priority: Priority of the attempt; 0 is the highest.
            work_s: Time for which it probably takes a slot.
        """
        now_s = self.clock()
        self._drop_old(now_s)
        self.arrivals.append((now_s, priority, work_s))
        self.counts[priority] += 1
        self.works_s[priority] += work_s

    def _drop_old(self, now_s: float) -> None:
        oldest_s = now_s - WINDOW_S
        while self.arrivals and self.arrivals[0][0] <= oldest_s:
            _, priority, work_s = self.arrivals.popleft()
            self.counts[priority] -= 1
            self.works_s[priority] -= work_s
            if not self.counts[priority]:
                del self.counts[priority]
                del self.works_s[priority]

    def should_refuse(
        self, parent_id: str, priority: int, capacity: Capacity
    ) -> bool:
        """Returns whether a nested call, which was recorded, is refused.

        The capacity for it is what more urgent nested calls, and more urgent
        requests that got a slot, leave.

        Args:
            parent_id: ID of the request that makes the call.
            priority: Priority of the call; 0 is the highest.
            capacity: What the target can take.
        """
        competing = self.counts[priority]
        left = self._find_capacity_left(priority, capacity)
        # Random arrivals vary by about the square root of their mean; the
        # queue takes such a short excess.
        expected = left + math.sqrt(left)
        if competing < MIN_ARRIVALS or competing <= expected:
            return False
        return compute_level(parent_id) >= left / competing

    def describe(self, parent_id: str, capacity: Capacity) -> dict[str, Any]:
        """Returns the facts of a decision for the log."""
        rate_per_s = capacity.rate_per_s
        return {
            "parent": parent_id,
            # JSON has no infinity.
            "rate_per_s": rate_per_s if math.isfinite(rate_per_s) else None,
            "slots": capacity.slots,
            "recorded": dict(self.counts),
            "work_ms": {
                rank: round(work_s * 1000)
                for rank, work_s in self.works_s.items()
            },
            "window_s": WINDOW_S,
        }

    def _find_capacity_left(self, priority: int, capacity: Capacity) -> float:
        """Returns how many calls fit beside what is more urgent."""
        span_s = max(self.clock() - self.arrivals[0][0], MIN_SPAN_S)
        urgent = sum(
            count for rank, count in self.counts.items() if rank < priority
        )
        left = max(capacity.rate_per_s * span_s - urgent, 0.0)
        mean_s = self.works_s[priority] / self.counts[priority]
        if mean_s <= 0:
            return left
        urgent_s = sum(
            work_s for rank, work_s in self.works_s.items() if rank < priority
        )
        free_s = max(capacity.slots * span_s - urgent_s, 0.0)
        return min(left, free_s / mean_s)
