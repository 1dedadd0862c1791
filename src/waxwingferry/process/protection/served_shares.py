"""Counts how often attempts of each priority are served."""

import collections

# Decisions after which all counts are halved. With 512, a kind with 3% of the
# requests had too few decisions to be compared.
WINDOW = 2048
# With fewer decisions, the share of a kind is not known.
MIN_DECISIONS = 8
# Less urgent priorities are counted together.
MAX_PRIORITY = 15


class ServedShares:
    """Recent dispatches and refusals for lack of capacity, by priority.

    Attributes:
        shares: Share of attempts that were dispatched, by priority.
    """

    def __init__(self):
        self.served: dict[int, float] = collections.defaultdict(float)
        self.decided: dict[int, float] = collections.defaultdict(float)
        self.total = 0.0
        self.shares: dict[int, float] = {}

    def record(self, priority: int, served: bool) -> None:
        """Records a dispatch or a refusal."""
        priority = min(priority, MAX_PRIORITY)
        self.decided[priority] += 1
        self.served[priority] += served
        self.total += 1
        if self.total >= WINDOW:
            self._halve()
        if self.decided[priority] >= MIN_DECISIONS:
            self.shares[priority] = (
                self.served[priority] / self.decided[priority]
            )

    def _halve(self) -> None:
        self.total /= 2
        for counts in (self.served, self.decided):
            for priority in counts:
                counts[priority] /= 2
        for priority in list(self.shares):
            if self.decided[priority] < MIN_DECISIONS:
                del self.shares[priority]
