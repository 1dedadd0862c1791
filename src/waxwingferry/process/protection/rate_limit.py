"""Rate limit that a target states in its responses."""

import collections
from collections.abc import Callable
import time

import structlog

# Span over which the requests are counted.
WINDOW_S = 4.0
# Requests beyond the stated rate that may reach the target in one window.
SLACK = 1.0

log = structlog.get_logger()


class RateLimit:
    """Rate of requests that the local target takes from all nodes together.

    Args:
        clock: Monotonic time in seconds.

    Attributes:
        rate_per_s: Stated requests per second, or None if any number is taken.
        stated_s: Monotonic time since which a rate is stated.
        dispatch_times_s: Monotonic times of the dispatches in the last window.
        excess_logged_s: Monotonic time of the last warning about an excess.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.rate_per_s: float | None = None
        self.stated_s = clock()
        self.dispatch_times_s: collections.deque[float] = collections.deque()
        self.excess_logged_s = clock() - WINDOW_S

    def record_statement(self, rate_per_s: float | None) -> None:
        """Records the rate that the newest response states."""
        previous = self.rate_per_s
        if rate_per_s == previous:
            return
        self.rate_per_s = rate_per_s
        if previous is None:
            self.stated_s = self.clock()
        log.info(
            "target states a rate limit",
            max_rate_per_s=rate_per_s,
            previous_per_s=previous,
            dispatched=self.count_dispatches(),
            window_s=WINDOW_S,
        )

    def count_dispatches(self) -> int:
        """Returns the number of dispatches in the last window."""
        oldest_s = self.clock() - WINDOW_S
        while self.dispatch_times_s and self.dispatch_times_s[0] <= oldest_s:
            self.dispatch_times_s.popleft()
        return len(self.dispatch_times_s)

    def record_dispatch(self) -> None:
        """Records a dispatch; warns if there are more than stated."""
        now_s = self.clock()
        self.dispatch_times_s.append(now_s)
        count = self.count_dispatches()
        rate_per_s = self.rate_per_s
        if rate_per_s is None or now_s - self.stated_s < WINDOW_S:
            return
        if count <= rate_per_s * WINDOW_S + max(rate_per_s, SLACK):
            return
        if now_s - self.excess_logged_s >= WINDOW_S:
            self.excess_logged_s = now_s
            log.warning(
                "target gets more requests than it states",
                max_rate_per_s=rate_per_s,
                dispatched=count,
                window_s=WINDOW_S,
            )
