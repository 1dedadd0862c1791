"""Limit of a target that reports its slots, load and warm-up time.

Nothing is inferred from answers of such a target: the limit equals its slots,
and the rate of new requests is limited during warm-up.
"""

import collections
from collections.abc import Callable
import math
import time

import structlog

from waxwingferry.process.protection import limit

# The rate limit holds over every interval of this length.
RATE_WINDOW_S = 1.0
# Minimum rate in warm-up, used if the rate of the target is not known.
MIN_WARMUP_RATE_PER_S = 1.0

log = structlog.get_logger()


class StatedLimit(limit.Limit):
    """Concurrency limit stated by the target, with a rate limit in warm-up.

    Until the target has stated whether it is cold, a new limit applies the
    warm-up rate for one window. An earlier process of the node may have used up
    the rate of the window in which it ended. A cold target therefore gets
    nothing until that window is over.

    Args:
        slots: Number of requests that the target can process concurrently.
        warmup_rate_per_s: Returns the requests per second during warm-up.
        clock: Monotonic time in seconds.
        earlier_until_s: Monotonic time until which an earlier process may have
            sent requests to the target.
    """

    def __init__(
        self,
        slots: int,
        warmup_rate_per_s: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
        earlier_until_s: float = -math.inf,
    ):
        super().__init__(slots, clock=clock)
        self.warmup_rate_per_s = warmup_rate_per_s
        self.value = slots
        self.warmup_until_s = clock() + RATE_WINDOW_S
        self.cold_until_s = -math.inf
        self.unknown_until_s = earlier_until_s + RATE_WINDOW_S
        self.wait_logged = False
        self.dispatch_times_s: collections.deque[float] = collections.deque()

    def resize(self, slots: int) -> None:
        """Sets the number of slots."""
        self.slots = slots
        self.value = slots

    def reset(self, cause: limit.ResetCause) -> None:
        """Counts a reset; the value of the limit stays as stated."""
        self.reset_count += 1
        self.cause = cause

    def record_shed(self, reset_count: int, in_flight: int) -> bool:
        """Does nothing: the limit does not depend on results."""
        return False

    def record_answer(
        self, reset_count: int, service_s: float, in_flight: int
    ) -> bool:
        """Does nothing: the limit does not depend on results."""
        return False

    def set_warmup_left(self, left_s: float) -> None:
        """Sets the remaining warm-up time in seconds."""
        self.warmup_until_s = self.cold_until_s = self.clock() + left_s
        wait_s = self._find_unknown_wait_s()
        if wait_s > 0 and not self.wait_logged:
            self.wait_logged = True
            log.info(
                "cold target waits out what an earlier process may have sent",
                cold_s=left_s,
                wait_s=round(wait_s, 3),
            )

    def is_cold(self) -> bool:
        """See limit.Limit."""
        return self.clock() < self.cold_until_s

    def _find_unknown_wait_s(self) -> float:
        """Returns the time until the dispatches of a whole window are known."""
        return self.unknown_until_s - self.clock() if self.is_cold() else 0.0

    def is_warming_up(self) -> bool:
        """Returns whether the rate is limited now."""
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
        if self._find_unknown_wait_s() > 0:
            return self.unknown_until_s
        max_dispatches = max(
            int(self.warmup_rate_per_s()), int(MIN_WARMUP_RATE_PER_S)
        )
        if len(self.dispatch_times_s) < max_dispatches:
            return -math.inf
        return self.dispatch_times_s[-max_dispatches] + RATE_WINDOW_S

    def find_max_rate_per_s(self) -> float:
        """See limit.Limit."""
        if not self.is_warming_up():
            return math.inf
        return max(self.warmup_rate_per_s(), MIN_WARMUP_RATE_PER_S)

    def estimate_rate_limit_wait_s(self, ahead: int) -> float:
        """Returns the wait due to the rate limit behind queued attempts."""
        warmup_left_s = self.warmup_until_s - self.clock()
        if warmup_left_s <= 0:
            return 0.0
        rate_per_s = max(self.warmup_rate_per_s(), MIN_WARMUP_RATE_PER_S)
        unknown_wait_s = max(self._find_unknown_wait_s(), 0.0)
        return min(unknown_wait_s + ahead / rate_per_s, warmup_left_s)

    def record_dispatch(self) -> None:
        """Records the dispatch of a request."""
        self.dispatch_times_s.append(self.clock())
