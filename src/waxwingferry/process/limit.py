"""How many requests a target is given at a time.

The limit begins low and grows on evidence: requests that ran while the limit
was reached, were answered, and were not slower than before. A limit that
nothing has reached proves nothing and does not grow.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum
import math
import statistics
import time

COLD_LIMIT = 1
# Fewest answers that a step may rest on.
MIN_WINDOW = 4
MAX_WINDOW = 64
# The median of so many answers is above three times the usual one by chance
# less than once in a million windows, if service times are exponential.
JUMP_WINDOW = 32
JUMP_FACTOR = 3.0
GROW_FACTOR = 2.0
# A median seen in this time counts as usual, so that a neighbour that comes
# and goes causes one reset and not one each time.
USUAL_MEMORY_S = 30.0
# A limit that took no step for this long is as high as the traffic asks for.
SETTLED_S = 2.0
FIRST_HOLD_S = 1.0
MAX_HOLD_S = 60.0


class Cause(enum.Enum):
    """Why the limit went back to cold."""

    START = "start"
    INCARNATION = "incarnation"
    SHED = "shed"
    REFUSED = "refused"
    LOST = "lost"
    SLOW = "slow"


# Causes after which the target may be as cold as after a start. The others
# leave the target process in place, and only evidence is asked for.
PACED = frozenset({Cause.START, Cause.INCARNATION, Cause.SHED, Cause.REFUSED})


@dataclasses.dataclass(slots=True, frozen=True)
class GrowthRule:
    """How the limit grows from cold to the slots.

    Attributes:
        double_up_to: Share of the slots up to which a step doubles the
            limit; later steps add 1.
        step_interval_s: Least time between two steps of a target that may
            have just started.
    """

    double_up_to: float
    step_interval_s: float


DEFAULT_RULE = GrowthRule(double_up_to=0.5, step_interval_s=0.25)


class Limit:
    """The limit of one target, between cold and its slots.

    Args:
        slots: Requests that the target can work on at a time.
        rule: How the limit grows.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        slots: int,
        rule: GrowthRule = DEFAULT_RULE,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.slots = slots
        self.rule = rule
        self.clock = clock
        self.value = min(COLD_LIMIT, slots)
        self.epoch = 0
        self.cause = Cause.START
        self.stepped_s = clock()
        self.ceiling = slots
        self.ceiling_until_s = -math.inf
        self.hold_s = FIRST_HOLD_S
        self.window: collections.deque[float] = collections.deque(
            maxlen=MAX_WINDOW
        )
        self.level_s = math.inf
        self.recent: list[float] = []
        self.usual: collections.deque[tuple[float, float]] = collections.deque()

    def resize(self, slots: int) -> None:
        """Takes a new number of slots."""
        self.slots = slots
        self.value = min(self.value, slots)

    def reset(self, cause: Cause) -> None:
        """Goes back to cold; work in flight goes on."""
        self.epoch += 1
        self.cause = cause
        self.value = min(COLD_LIMIT, self.slots)
        self.stepped_s = self.clock()
        self.window.clear()
        self.recent.clear()
        self.level_s = math.inf
        if cause in PACED and cause is not Cause.SHED:
            self.usual.clear()
            self.ceiling_until_s = -math.inf
            self.hold_s = FIRST_HOLD_S

    def record_shed(self, epoch: int, in_flight: int) -> bool:
        """Learns that the target refused work; tells whether it reset.

        Args:
            epoch: The epoch in which the work was dispatched.
            in_flight: Work in flight at that time, this work included.
        """
        if epoch != self.epoch:
            return False
        now_s = self.clock()
        if now_s - self.ceiling_until_s > MAX_HOLD_S:
            self.hold_s = FIRST_HOLD_S
        self.ceiling = max(in_flight - 1, COLD_LIMIT)
        self.ceiling_until_s = now_s + self.hold_s
        self.hold_s = min(self.hold_s * 2, MAX_HOLD_S)
        self.reset(Cause.SHED)
        return True

    def record_answer(
        self, epoch: int, service_s: float, saturated: bool
    ) -> bool:
        """Learns from a whole answer; tells whether the limit was reset.

        Args:
            epoch: The epoch in which the work was dispatched.
            service_s: Time that the target took.
            saturated: Whether the limit was reached at the dispatch.
        """
        if epoch != self.epoch:
            return False
        if self._is_jump(service_s):
            self.reset(Cause.SLOW)
            return True
        if saturated:
            self.window.append(service_s)
            self._try_step()
        return False

    def _is_jump(self, service_s: float) -> bool:
        self.recent.append(service_s)
        if len(self.recent) < max(JUMP_WINDOW, 2 * self.slots):
            return False
        median_s = statistics.median(self.recent)
        self.recent.clear()
        now_s = self.clock()
        while len(self.usual) > 1 and self._is_old(self.usual[0][0]):
            self.usual.popleft()
        usual_s = max((value for _, value in self.usual), default=math.inf)
        if self.value == self.slots or self._is_settled():
            self.usual.append((now_s, median_s))
        return median_s > JUMP_FACTOR * usual_s

    def _is_old(self, at_s: float) -> bool:
        return at_s < self.clock() - USUAL_MEMORY_S

    def _is_settled(self) -> bool:
        return self.clock() - self.stepped_s > SETTLED_S

    def _find_top(self) -> int:
        if self.clock() < self.ceiling_until_s:
            return min(self.ceiling, self.slots)
        return self.slots

    def _try_step(self) -> None:
        """Takes a step up or down if the window holds enough evidence."""
        if self.value >= self._find_top():
            self.window.clear()
            return
        if len(self.window) < max(self.value, MIN_WINDOW):
            return
        now_s = self.clock()
        waited_s = now_s - self.stepped_s
        if self.cause in PACED and waited_s < self.rule.step_interval_s:
            return
        median_s = statistics.median(self.window)
        self.window.clear()
        self.stepped_s = now_s
        if median_s > GROW_FACTOR * self.level_s:
            # Moves the comparison towards what is seen now, so that a
            # neighbour's load doesn't hold the limit down for long.
            self.level_s = math.sqrt(self.level_s * median_s)
            self.value = max(self.value // 2, min(COLD_LIMIT, self.slots))
            return
        self.level_s = median_s
        self.value = self._find_next()

    def _find_next(self) -> int:
        doubling = max(int(self.slots * self.rule.double_up_to), 1)
        if self.value < doubling:
            new = min(self.value * 2, doubling)
        else:
            new = self.value + 1
        return min(new, self._find_top())
