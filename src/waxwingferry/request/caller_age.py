"""Estimates how long a caller has waited before it sent a request.

Load pattern: a burst exceeds what the targets can take, and callers that were
refused come back. They can't get an answer within the objective any more, but
look like new requests, so that they take the place of some that still could.

A caller states how long it will still wait. Callers of one route start with
similar times, so one that states much less than others has tried before.
"""

from collections.abc import Callable
import time

# The longest time that callers of a route stated is taken from this span and
# the one before it, so that a change of the callers' settings is followed.
SPAN_S = 10.0
# Callers with at least this share of the longest time are taken for new ones,
# because their first times differ by some part.
NEW_CALLER_SHARE = 0.8
# Share of the longest time that a new caller states on average.
MEAN_SHARE = 0.9
# Routes that are tracked; further ones count all callers as new.
MAX_ROUTES = 4096


class CallerAges:
    """Longest times that callers stated, by route.

    Args:
        clock: Monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.span = 0
        self.longest_s: dict[str, float] = {}
        self.previous_longest_s: dict[str, float] = {}

    def estimate_age_s(self, route: str, left_s: float) -> float:
        """Records a caller's statement; returns how long it has waited.

        Args:
            route: Name of the route.
            left_s: Time that the caller will still wait, in seconds.

        Returns:
            0 for a caller that is probably new.
        """
        self._advance()
        longest_s = max(
            self.longest_s.get(route, 0.0),
            self.previous_longest_s.get(route, 0.0),
            left_s,
        )
        if route in self.longest_s or len(self.longest_s) < MAX_ROUTES:
            self.longest_s[route] = max(self.longest_s.get(route, 0.0), left_s)
        if left_s >= longest_s * NEW_CALLER_SHARE:
            return 0.0
        return longest_s * MEAN_SHARE - left_s

    def _advance(self) -> None:
        span = int(self.clock() / SPAN_S)
        if span == self.span:
            return
        is_next = span == self.span + 1
        self.previous_longest_s = self.longest_s if is_next else {}
        self.longest_s = {}
        self.span = span
