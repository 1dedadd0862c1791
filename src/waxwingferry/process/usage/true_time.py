"""True time as the median of the nodes' wall clocks."""

from collections.abc import Callable
from collections.abc import Sequence
import statistics

import structlog

from waxwingferry import boot_clock

# With fewer clocks the median does not exclude one that has jumped.
MIN_CLOCKS = 3
# Correction by one new median. Clocks drift by far less between two windows;
# a larger difference shows that many clocks jumped together.
MAX_STEP_S = 0.2
# An offset that was not updated for longer is found anew. Boot clocks drift
# by up to 0.1 s in this time; a node may get the duty again after weeks.
MAX_AGE_S = 600.0

log = structlog.get_logger()


class TrueTime:
    """Offset of true time to this machine's boot clock.

    Args:
        clock: Returns the boot clock in seconds.

    Attributes:
        offset_s: True time less boot clock, or None if unknown.
        updated_s: Boot clock of the last update.
        has_median: Whether the offset is a median of enough clocks. The
            first such median replaces an offset of fewer clocks.
    """

    def __init__(self, clock: Callable[[], float] = boot_clock.read_s):
        self.clock = clock
        self.offset_s: float | None = None
        self.updated_s = 0.0
        self.has_median = False

    def forget_if_old(self) -> None:
        """Forgets an offset that may have drifted."""
        if self.clock() - self.updated_s > MAX_AGE_S:
            self.offset_s = None
            self.has_median = False

    def update(self, offsets_s: Sequence[float], node_count: int) -> None:
        """Takes in the offsets of nodes' wall clocks to this boot clock.

        Args:
            offsets_s: One offset for each node that answered.
            node_count: Live nodes. If these are fewer than MIN_CLOCKS and no
                offset is known, the clocks there are must do.
        """
        if not offsets_s:
            return
        if len(offsets_s) < MIN_CLOCKS and (
            self.offset_s is not None or node_count >= MIN_CLOCKS
        ):
            return
        # Of two clocks one is taken; their mean would be neither's time.
        median_s = statistics.median_low(offsets_s)
        self.updated_s = self.clock()
        is_median = len(offsets_s) >= MIN_CLOCKS
        if self.offset_s is None or not self.has_median:
            self.offset_s = median_s
            self.has_median = is_median
            log.info("true time known", clocks=len(offsets_s), nodes=node_count)
            return
        step_s = median_s - self.offset_s
        if abs(step_s) > MAX_STEP_S:
            log.warning("median of clocks moved", step_ms=round(step_s * 1000))
        self.offset_s += min(max(step_s, -MAX_STEP_S), MAX_STEP_S)

    def read_s(self) -> float | None:
        """Returns the time since the start of 1970, or None if unknown."""
        if self.offset_s is None:
            return None
        return self.clock() + self.offset_s
