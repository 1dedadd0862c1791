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
PACE_WINDOW_S = 1.0
# Requests a second that a cold target is given if its rate is not known.
LEAST_COLD_PER_S = 1.0


class StatedLimit(limit.Limit):
    """The slots of a target, and its pace while it is cold.

    A process does not know what its predecessor sent within the last second,
    so a new limit is cold for one window.

    Args:
        slots: Requests that the target can work on at a time.
        cold_per_s: Returns the requests per second that it bears while cold.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        slots: int,
        cold_per_s: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
    ):
        super().__init__(slots, clock=clock)
        self.cold_per_s = cold_per_s
        self.value = slots
        self.cold_until_s = clock() + PACE_WINDOW_S
        self.starts: collections.deque[float] = collections.deque()

    def resize(self, slots: int) -> None:
        """Takes a new number of slots."""
        self.slots = slots
        self.value = slots

    def reset(self, cause: limit.Cause) -> None:
        """Starts a new epoch; the limit itself is stated by the target."""
        self.epoch += 1
        self.cause = cause

    def record_shed(self, epoch: int, in_flight: int) -> bool:
        """Learns nothing: a stated limit is not inferred."""
        return False

    def record_answer(
        self, epoch: int, service_s: float, in_flight: int
    ) -> bool:
        """Learns nothing: a stated limit is not inferred."""
        return False

    def set_cold(self, left_s: float) -> None:
        """Takes the time for which the target still is cold."""
        self.cold_until_s = self.clock() + left_s

    def is_cold(self) -> bool:
        """Tells whether the pace is bounded now."""
        return self.clock() < self.cold_until_s

    def find_start_s(self) -> float:
        """Returns the earliest monotonic time for the next request."""
        now_s = self.clock()
        while self.starts and self.starts[0] <= now_s - PACE_WINDOW_S:
            self.starts.popleft()
        if not self.is_cold():
            return -math.inf
        most = max(int(self.cold_per_s()), int(LEAST_COLD_PER_S))
        if len(self.starts) < most:
            return -math.inf
        return self.starts[-most] + PACE_WINDOW_S

    def find_pace_wait_s(self, ahead: int) -> float:
        """Returns how long the pace holds up one behind so many others."""
        cold_s = self.cold_until_s - self.clock()
        if cold_s <= 0:
            return 0.0
        return min(ahead / max(self.cold_per_s(), LEAST_COLD_PER_S), cold_s)

    def note_start(self) -> None:
        """Counts a request that is sent now."""
        self.starts.append(self.clock())
