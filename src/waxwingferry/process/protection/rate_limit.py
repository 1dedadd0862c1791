"""Rate limit that a target states in its responses.

The limit holds for all nodes together. The target's node is the only sender to
its target, so it enforces the limit alone.
"""

import collections
from collections.abc import Callable
import math
import time

import structlog

from waxwingferry import invariants
from waxwingferry.process.choice import budget

# Span over which the requests are counted for logs and metrics.
WINDOW_S = 4.0
# Requests may be sent in bursts of what the rate allows in this time.
BURST_S = 2.0
# Lower bounds of burst and rate. A target that takes nothing still gets an
# occasional request, because its answer tells when the limit has ended.
MIN_BURST = 1.0
MIN_RATE_PER_S = 0.25

log = structlog.get_logger()


class RateLimit:
    """Rate of requests that the local target takes from all nodes together.

    Args:
        clock: Monotonic time in seconds.

    Attributes:
        rate_per_s: Stated requests per second, or None if any number is taken.
        lowered_s: Monotonic time since which the rate has not fallen. Until a
            window later, the window may hold more requests than it allows.
        bucket: Token bucket of the stated rate, or None without a rate.
        dispatch_times_s: Monotonic times of the dispatches in the last window.
        excess_logged_s: Monotonic time of the last warning about an excess.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.rate_per_s: float | None = None
        self.bucket: budget.TokenBucket | None = None
        self.lowered_s = clock()
        self.dispatch_times_s: collections.deque[float] = collections.deque()
        self.excess_logged_s = clock() - WINDOW_S

    def record_statement(self, rate_per_s: float | None) -> None:
        """Records the rate that the newest response states."""
        previous = self.rate_per_s
        if rate_per_s == previous:
            return
        self.rate_per_s = rate_per_s
        if rate_per_s is not None and (
            previous is None or rate_per_s < previous
        ):
            self.lowered_s = self.clock()
        self._update_bucket()
        log.info(
            "target states a rate limit",
            max_rate_per_s=rate_per_s,
            previous_per_s=previous,
            dispatched=self.count_dispatches(),
            window_s=WINDOW_S,
        )

    def _update_bucket(self) -> None:
        if self.rate_per_s is None:
            self.bucket = None
            return
        rate_per_s = max(self.rate_per_s, MIN_RATE_PER_S)
        burst = max(rate_per_s * BURST_S, MIN_BURST)
        if self.bucket is not None:
            self.bucket.set_rate(rate_per_s, burst)
            return
        self.bucket = budget.TokenBucket(rate_per_s, burst, self.clock)
        # The target may have had more than the rate just before it stated it.
        self.bucket.spend(burst)

    def estimate_wait_s(self, ahead: int = 0) -> float:
        """Returns the time until a request may be sent.

        Args:
            ahead: Number of queued attempts that will be sent before it.
        """
        if self.bucket is None or self.bucket.available(ahead + 1.0):
            return 0.0
        missing = ahead + 1.0 - self.bucket.level
        return missing / self.bucket.rate_per_s

    def find_dispatch_time_s(self) -> float:
        """Returns the earliest monotonic time for the next request."""
        wait_s = self.estimate_wait_s()
        return self.clock() + wait_s if wait_s else -math.inf

    def count_dispatches(self) -> int:
        """Returns the number of dispatches in the last window."""
        oldest_s = self.clock() - WINDOW_S
        while self.dispatch_times_s and self.dispatch_times_s[0] <= oldest_s:
            self.dispatch_times_s.popleft()
        return len(self.dispatch_times_s)

    def record_dispatch(self) -> None:
        """Spends one request of the rate; warns if there were more."""
        now_s = self.clock()
        # A request is sent only if the stated rate allows it.
        invariants.require(
            self.bucket is None or self.bucket.spend(), "stated_rate"
        )
        self.dispatch_times_s.append(now_s)
        count = self.count_dispatches()
        if self.bucket is None:
            return
        if now_s - self.lowered_s < WINDOW_S:
            return
        if count <= self.bucket.rate_per_s * WINDOW_S + self.bucket.burst:
            return
        if now_s - self.excess_logged_s >= WINDOW_S:
            self.excess_logged_s = now_s
            log.warning(
                "target gets more requests than it states",
                max_rate_per_s=self.rate_per_s,
                dispatched=count,
                window_s=WINDOW_S,
            )
