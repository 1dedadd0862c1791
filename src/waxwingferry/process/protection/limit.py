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

INITIAL_LIMIT = 1
# The median of so many answers is above three times the baseline by chance
# less than once in a million windows, if service times are exponential.
SLOWDOWN_WINDOW = 32
SLOWDOWN_FACTOR = 3.0
STEP_SLOWDOWN_FACTOR = 2.5
# How long baseline medians and false alarms are remembered, so that a neighbour
# that comes and goes causes one reset and not one each time.
BASELINE_RETENTION_S = 30.0
BASELINE_INTERVAL_S = 0.25
TOLERANCE_FACTOR = 1.5
# A limit that took no step for this long is as high as the traffic asks for.
STABLE_AFTER_S = 2.0
# Each step that made answers slow doubles the evidence for the next one.
MAX_EVIDENCE_FACTOR = 16
INITIAL_CEILING_HOLD_S = 1.0
MAX_CEILING_HOLD_S = 8.0


class ResetCause(enum.Enum):
    """Why the limit went back to cold.

    A reset for SLOW becomes a FALSE_ALARM once the limit has grown back.
    """

    START = "start"
    INCARNATION = "incarnation"
    SHED = "shed"
    REFUSED = "refused"
    LOST = "lost"
    SLOW = "slow"
    FALSE_ALARM = "false_alarm"


# Causes after which the target may be as cold as after a start. The others
# leave the target process in place, and only evidence is asked for.
COLD_START_CAUSES = frozenset(
    {
        ResetCause.START,
        ResetCause.INCARNATION,
        ResetCause.SHED,
        ResetCause.REFUSED,
    }
)


@dataclasses.dataclass(slots=True, frozen=True)
class GrowthRule:
    """How the limit grows from cold to the slots.

    Attributes:
        window: Answers that a step rests on, if the target may have just
            started; None takes as many as the limit.
        warm_window: The same for a target whose process was warm before.
        double_up_to: Share of the slots up to which a step doubles the
            limit; later steps add 1.
        step_interval_s: Least time between two steps of a target that may
            have just started.
    """

    window: int | None = 20
    warm_window: int | None = 8
    double_up_to: float = 0.0
    step_interval_s: float = 0.0


DEFAULT_RULE = GrowthRule()


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
        self.value = min(INITIAL_LIMIT, slots)
        self.reset_count = 0
        self.cause = ResetCause.START
        self.last_step_s = clock()
        self.ceiling = slots
        self.ceiling_until_s = -math.inf
        self.ceiling_hold_s = INITIAL_CEILING_HOLD_S
        self.window: list[float] = []
        self.last_median_s = math.inf
        self.evidence_factor = 1
        self.had_slow_step = False
        self.alarm_median_s = 0.0
        self.tolerated_median_s = 0.0
        self.tolerated_at_s = -math.inf
        self.recent: list[float] = []
        self.baselines: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def find_dispatch_time_s(self) -> float:
        """Returns the earliest monotonic time for the next request."""
        return -math.inf

    def estimate_rate_limit_wait_s(self, ahead: int) -> float:
        """Returns how long the pace holds up one behind so many others."""
        return 0.0

    def record_dispatch(self) -> None:
        """Counts a request that is sent now."""

    def resize(self, slots: int) -> None:
        """Takes a new number of slots."""
        self.slots = slots
        self.value = min(self.value, slots)

    def reset(self, cause: ResetCause) -> None:
        """Goes back to cold; work in flight goes on."""
        self.reset_count += 1
        self.cause = cause
        self.value = min(INITIAL_LIMIT, self.slots)
        self.last_step_s = self.clock()
        self.window.clear()
        self.recent.clear()
        self.last_median_s = math.inf
        self.evidence_factor = 1
        self.had_slow_step = False
        if cause in COLD_START_CAUSES and cause is not ResetCause.SHED:
            self.baselines.clear()
            self.ceiling_until_s = -math.inf
            self.ceiling_hold_s = INITIAL_CEILING_HOLD_S

    def record_shed(self, reset_count: int, in_flight: int) -> bool:
        """Learns that the target refused work; tells whether it reset.

        Args:
            reset_count: Value of reset_count when the work was dispatched.
            in_flight: Work in flight at that time, this work included.
        """
        if reset_count != self.reset_count:
            return False
        now_s = self.clock()
        if now_s - self.ceiling_until_s > MAX_CEILING_HOLD_S:
            self.ceiling_hold_s = INITIAL_CEILING_HOLD_S
        self.reset(ResetCause.SHED)
        # A target that refuses even one request at a time refuses for
        # another reason than their number.
        if in_flight > INITIAL_LIMIT:
            self.ceiling = in_flight - 1
            self.ceiling_until_s = now_s + self.ceiling_hold_s
            self.ceiling_hold_s = min(
                self.ceiling_hold_s * 2, MAX_CEILING_HOLD_S
            )
        return True

    def record_answer(
        self, reset_count: int, service_s: float, in_flight: int
    ) -> bool:
        """Learns from a whole answer; tells whether the limit was reset.

        Args:
            reset_count: Value of reset_count when the work was dispatched.
            service_s: Time that the target took.
            in_flight: Work in flight at the dispatch, this work included.
        """
        if reset_count != self.reset_count:
            return False
        if self._is_slowdown(service_s):
            self.reset(ResetCause.SLOW)
            return True
        if in_flight == self.value:
            self.window.append(service_s)
            self._try_step()
        return False

    def _is_slowdown(self, service_s: float) -> bool:
        """Tells whether answers are far slower than they usually are.

        While the limit grows, the steps judge the answers.
        """
        if not self._is_stable():
            self.recent.clear()
            return False
        self._detect_false_alarm()
        self.recent.append(service_s)
        if len(self.recent) < max(SLOWDOWN_WINDOW, 2 * self.slots):
            return False
        median_s = statistics.median(self.recent)
        self.recent.clear()
        now_s = self.clock()
        while (
            len(self.baselines) > 1
            and self.baselines[0][0] < now_s - BASELINE_RETENTION_S
        ):
            self.baselines.popleft()
        medians_s = [value for _, value in self.baselines]
        if medians_s and median_s > SLOWDOWN_FACTOR * statistics.median(
            medians_s
        ):
            if median_s > self._find_tolerated_median_s():
                self.alarm_median_s = median_s
                return True
        else:
            self._record_baseline(now_s, median_s)
        return False

    def _record_baseline(self, now_s: float, median_s: float) -> None:
        if (
            not self.baselines
            or now_s - self.baselines[-1][0] >= BASELINE_INTERVAL_S
        ):
            self.baselines.append((now_s, median_s))

    def _is_stable(self) -> bool:
        """Tells whether the limit is as high as the traffic asks for."""
        waited_s = self.clock() - self.last_step_s
        return self.value == self.slots or waited_s > STABLE_AFTER_S

    def _find_tolerated_median_s(self) -> float:
        """Returns the median that lately turned out to be harmless."""
        is_recent = self.clock() - self.tolerated_at_s < BASELINE_RETENTION_S
        return self.tolerated_median_s if is_recent else 0.0

    def _detect_false_alarm(self) -> None:
        """Takes an alarm as false if no step up made answers slow."""
        if self.cause is ResetCause.SLOW and not self.had_slow_step:
            self.cause = ResetCause.FALSE_ALARM
            self.tolerated_median_s = self.alarm_median_s * TOLERANCE_FACTOR
            self.tolerated_at_s = self.clock()

    def _find_max(self) -> int:
        if self.clock() < self.ceiling_until_s:
            return min(self.ceiling, self.slots)
        return self.slots

    def _try_step(self) -> None:
        """Takes a step up or down if the window holds enough evidence."""
        if self.value >= self._find_max():
            self.window.clear()
            return
        cold_start = self.cause in COLD_START_CAUSES
        needed = self.rule.window if cold_start else self.rule.warm_window
        if len(self.window) < (needed or self.value) * self.evidence_factor:
            return
        now_s = self.clock()
        waited_s = now_s - self.last_step_s
        if cold_start and waited_s < self.rule.step_interval_s:
            return
        median_s = statistics.median(self.window)
        self.window.clear()
        self.last_step_s = now_s
        min_limit = min(INITIAL_LIMIT, self.slots)
        slow = median_s > STEP_SLOWDOWN_FACTOR * self.last_median_s
        if slow and self.value > min_limit:
            self.had_slow_step = True
            self.value = max(self.value // 2, min_limit)
            self.evidence_factor = min(
                self.evidence_factor * 2, MAX_EVIDENCE_FACTOR
            )
            return
        if not slow:
            self.evidence_factor = max(self.evidence_factor // 2, 1)
        # What is slow one at a time is not slow because of the limit: a
        # neighbour's load must not hold it down.
        self.last_median_s = median_s
        self.value = self._find_next_value()

    def _find_next_value(self) -> int:
        doubled = min(self.value * 2, int(self.slots * self.rule.double_up_to))
        new = max(self.value + 1, doubled)
        return min(new, self._find_max())
