"""The limit of a target that tells its slots, its load and its cold time.

Where a target states these, nothing has to be inferred from answers: its limit
is its slots, and while it is cold the rate of new requests is bounded.
"""

import collections
from collections.abc import Callable
import math
import time

from waxwingferry.process.protection import limit

# The rate bound holds over every span of this length, in seconds.
RATE_WINDOW_S = 1.0
# Requests a second that a cold target is given if its rate is not known.
MIN_WARMUP_RATE_PER_S = 1.0


class StatedLimit(limit.Limit):
    """The slots of a target, and its pace while it is cold.

    A process does not know what its predecessor sent within the last second,
    so a new limit is cold for one window.

    Args:
        slots: Requests that the target can work on at a time.
        warmup_rate_per_s: Returns the requests per second during warm-up.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        slots: int,
        warmup_rate_per_s: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
    ):
        super().__init__(slots, clock=clock)
        self.warmup_rate_per_s = warmup_rate_per_s
        self.value = slots
        self.warmup_until_s = clock() + RATE_WINDOW_S
        self.dispatch_times_s: collections.deque[float] = collections.deque()

    def resize(self, slots: int) -> None:
        """Takes a new number of slots."""
        self.slots = slots
        self.value = slots

    def reset(self, cause: limit.ResetCause) -> None:
        """Counts a reset; the limit itself is stated by the target."""
        self.reset_count += 1
        self.cause = cause

    def record_shed(self, reset_count: int, in_flight: int) -> bool:
        """Learns nothing: a stated limit is not inferred."""
        return False

    def record_answer(
        self, reset_count: int, service_s: float, in_flight: int
    ) -> bool:
        """Learns nothing: a stated limit is not inferred."""
        return False

    def set_warmup_left(self, left_s: float) -> None:
        """Takes the time for which the target still is cold."""
        self.warmup_until_s = self.clock() + left_s

    def is_warming_up(self) -> bool:
        """Tells whether the pace is bounded now."""
        return self.clock() < self.warmup_until_s

    def find_dispatch_time_s(self) -> float:
        """Returns the earliest monotonic time for the next request."""
        now_s = self.clock()
        while (
            self.dispatch_times_s
            and self.dispatch_times_s[0] <= now_s - RATE_WINDOW_S
        ):
            self.dispatch_times_s.popleft()
        if not self.is_warming_up():
            return -math.inf
        max_dispatches = max(
            int(self.warmup_rate_per_s()), int(MIN_WARMUP_RATE_PER_S)
        )
        if len(self.dispatch_times_s) < max_dispatches:
            return -math.inf
        return self.dispatch_times_s[-max_dispatches] + RATE_WINDOW_S

    def estimate_rate_limit_wait_s(self, ahead: int) -> float:
        """Returns how long the pace holds up one behind so many others."""
        warmup_left_s = self.warmup_until_s - self.clock()
        if warmup_left_s <= 0:
            return 0.0
        return min(
            ahead / max(self.warmup_rate_per_s(), MIN_WARMUP_RATE_PER_S),
            warmup_left_s,
        )

    def record_dispatch(self) -> None:
        """Counts a request that is sent now."""
        self.dispatch_times_s.append(self.clock())
