"""Budgets for work that the system causes itself, such as retries and probes.

Each budget asserts its own bound, so that a process that would exceed one stops
instead of continuing.
"""

from collections.abc import Callable
import time

from waxwingferry import invariants

WINDOW_S = 10.0
WINDOW_SLICES = 10
ROUNDING_TOLERANCE = 1e-6


class TokenBucket:
    """Token bucket; spends at most rate x time + burst in any interval.

    Args:
        rate_per_s: Tokens added per second.
        burst: Capacity of the bucket, and its level at the start.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.clock = clock
        self.level = burst
        self.updated_s = clock()
        self.spent = 0.0
        self.granted = burst

    def set_rate(self, rate_per_s: float, burst: float) -> None:
        """Changes the rate and burst; tokens already spent stay spent."""
        self._refill()
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._cap_level()

    def _refill(self) -> None:
        now_s = self.clock()
        added = max(now_s - self.updated_s, 0.0) * self.rate_per_s
        self.updated_s = now_s
        self.level += added
        self.granted += added
        self._cap_level()

    def _cap_level(self) -> None:
        excess = max(self.level - self.burst, 0.0)
        self.level -= excess
        self.granted -= excess

    def available(self, amount: float = 1.0) -> bool:
        """Returns whether the amount could be spent now."""
        self._refill()
        return self.level >= amount

    def spend(self, amount: float = 1.0) -> bool:
        """Spends the amount if available; returns whether it did."""
        if not self.available(amount):
            return False
        self.level -= amount
        self.spent += amount
        self._check_bound()
        return True

    def refund(self, amount: float) -> None:
        """Refunds part of an amount that was spent in advance."""
        invariants.require(amount >= 0, "budget_refund", amount)
        self._refill()
        self.level += amount
        self.spent -= amount
        self._cap_level()
        self._check_bound()

    def charge(self, amount: float) -> None:
        """Spends a cost after the fact; the level may become negative."""
        self._refill()
        self.level -= amount
        self.spent += amount

    def _check_bound(self) -> None:
        slack = ROUNDING_TOLERANCE * max(self.granted, 1.0)
        if self.spent > self.granted + slack:
            detail = f"{self.spent} of {self.granted}"
            raise invariants.BrokenInvariantError("budget_exceeded", detail)


class RatioBudget:
    """Limits events to a ratio of calls over a sliding window.

    Args:
        ratio: Events allowed per call; 0 allows none.
        min_events: Events allowed in a window regardless of the calls.
        clock: Monotonic time in seconds.
        window_s: Length of the window in seconds.

    Attributes:
        slack: Events allowed in a window in addition to the ratio.
    """

    def __init__(
        self,
        ratio: float,
        clock: Callable[[], float] = time.monotonic,
        window_s: float = WINDOW_S,
        min_events: float = 0.0,
    ):
        self.ratio = ratio
        self.clock = clock
        self.min_events = min_events
        self.slack = 0.0
        self.slice_s = window_s / WINDOW_SLICES
        self.calls = [0] * WINDOW_SLICES
        self.events = [0] * WINDOW_SLICES
        self.position = int(clock() / self.slice_s)
        self.total_calls = 0
        self.total_events = 0

    def _advance(self) -> int:
        position = int(self.clock() / self.slice_s)
        steps = min(position - self.position, WINDOW_SLICES)
        for step in range(max(steps, 0)):
            self._clear((position - step) % WINDOW_SLICES)
        self.position = max(position, self.position)
        return self.position % WINDOW_SLICES

    def _clear(self, index: int) -> None:
        self.total_calls -= self.calls[index]
        self.total_events -= self.events[index]
        self.calls[index] = 0
        self.events[index] = 0

    def count_call(self) -> None:
        """Counts one call, which raises the number of allowed events."""
        index = self._advance()
        self.calls[index] += 1
        self.total_calls += 1

    def _allowed(self) -> float:
        allowed = self.ratio * self.total_calls + self.slack
        return max(allowed, self.min_events) if self.ratio else 0.0

    def available(self, share: float = 1.0) -> bool:
        """Returns whether one more event stays within a share of the budget."""
        self._advance()
        return self._has_room(share)

    def _has_room(self, share: float) -> bool:
        allowed = self._allowed()
        limit = max(allowed * share, min(allowed, self.min_events))
        return self.total_events + 1 <= limit

    def spend(self, share: float = 1.0) -> bool:
        """Spends one event if that stays within a share of the budget."""
        # The calls that allow the event may leave the window meanwhile.
        index = self._advance()
        if not self._has_room(share):
            return False
        self.events[index] += 1
        self.total_events += 1
        if self.total_events > self._allowed():
            detail = f"{self.total_events} of {self._allowed()}"
            raise invariants.BrokenInvariantError("retry_budget", detail)
        return True
