"""Distribution of recent service times."""

import bisect
import collections
from collections.abc import Callable
import math
import time

MAX_SAMPLES = 128
MAX_AGE_S = 10.0


class ServiceTimes:
    """Sliding window of service times, bounded in number and age.

    Args:
        clock: Returns the monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.samples: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self.ordered: list[float] = []
        self.total_s = 0.0
        self.newest_s = -math.inf

    def __len__(self) -> int:
        """Returns the number of samples in the window."""
        self._drop_old()
        return len(self.ordered)

    def record(self, service_s: float) -> None:
        """Adds a service time in seconds."""
        self.newest_s = self.clock()
        if len(self.samples) == MAX_SAMPLES:
            self._drop_first()
        self.samples.append((self.newest_s, service_s))
        bisect.insort(self.ordered, service_s)
        self.total_s += service_s
        self._drop_old()

    def quantile(self, fraction: float) -> float:
        """Returns the given quantile in seconds, 0 without samples."""
        self._drop_old()
        if not self.ordered:
            return 0.0
        return self.ordered[int(fraction * (len(self.ordered) - 1))]

    def fraction_within(self, service_s: float) -> float:
        """Returns the fraction of samples up to a time, 0 without samples."""
        self._drop_old()
        if not self.ordered:
            return 0.0
        return bisect.bisect_right(self.ordered, service_s) / len(self.ordered)

    def mean(self) -> float:
        """Returns the mean in seconds, 0 without samples."""
        self._drop_old()
        if not self.ordered:
            return 0.0
        return self.total_s / len(self.ordered)

    def clear(self) -> None:
        """Removes all samples."""
        self.samples.clear()
        self.ordered.clear()
        self.total_s = 0.0

    def _drop_old(self) -> None:
        oldest_s = self.clock() - MAX_AGE_S
        while self.samples and self.samples[0][0] < oldest_s:
            self._drop_first()

    def _drop_first(self) -> None:
        _, value = self.samples.popleft()
        del self.ordered[bisect.bisect_left(self.ordered, value)]
        self.total_s -= value
