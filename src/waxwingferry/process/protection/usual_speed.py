"""Tells whether a target is slower than it usually is at present.

Load pattern: all targets of a service start at once, such as after a loss of
power of a whole cluster. Until they are warm, each runs at the same part of
its speed. If that alone counted as congestion, idle targets would refuse
requests as busy while the requests wait in the queues of others.

A target that is slower than that, because of a neighbour on its machine, is
congested in its warm-up as well.
"""

import math

# A target this many times slower than usual is a worse choice than any other
# target with a free slot: the machines of targets differ by less in the steady
# state.
SLOW_FACTOR = 2.0


def is_slow(slowness: float, usual: float) -> bool:
    """Returns whether a target is much slower than usual."""
    return slowness >= SLOW_FACTOR * usual


class WarmupSlowness:
    """The slowness of one target that its warm-up explains.

    Attributes:
        least: Least slowness stated in the present warm-up.
    """

    def __init__(self):
        self.least = math.inf

    def record(self, slowness: float, is_cold: bool) -> None:
        """Records a stated slowness.

        Args:
            slowness: Service time relative to that of the warm target.
            is_cold: Whether the target has stated that it warms up.
        """
        self.least = min(self.least, slowness) if is_cold else math.inf

    def find_usual(self, is_cold: bool) -> float:
        """Returns the slowness that is usual now, at least 1."""
        if not is_cold or math.isinf(self.least):
            return 1.0
        return max(self.least, 1.0)
