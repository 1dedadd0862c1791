"""Adaptive concurrency limit of a target.

The limit starts low. It grows when requests that ran while the limit was
reached were answered and were not slower than before. It does not grow while
the traffic stays below it, because that shows nothing about a higher limit.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum
import math
import time
import typing

from waxwingferry import deferred

if typing.TYPE_CHECKING:
    import statistics
else:
    statistics = deferred.Module("statistics")

INITIAL_LIMIT = 1
# With exponential service times, the median of this many answers exceeds three
# times the baseline by chance in fewer than one of a million windows.
SLOWDOWN_WINDOW = 32
SLOWDOWN_FACTOR = 3.0
STEP_SLOWDOWN_FACTOR = 2.5
# How long baseline medians and false alarms are kept, so that a noisy neighbour
# that is active on and off causes one reset instead of one each time.
BASELINE_RETENTION_S = 30.0
BASELINE_INTERVAL_S = 0.25
TOLERANCE_FACTOR = 1.5
# A limit that did not change for this long is as high as the traffic needs.
STABLE_AFTER_S = 2.0
# Each step that made answers slow doubles the answers needed for the next step.
MAX_EVIDENCE_FACTOR = 16
INITIAL_CEILING_HOLD_S = 1.0
MAX_CEILING_HOLD_S = 8.0


class ResetCause(enum.Enum):
    """Reason of a reset of the limit.

    SLOW becomes FALSE_ALARM once the limit has grown back without slow steps.
    """

    START = "start"
    INCARNATION = "incarnation"
    SHED = "shed"
    REFUSED = "refused"
    LOST = "lost"
    SLOW = "slow"
    FALSE_ALARM = "false_alarm"


# Causes after which the target may need to warm up as after a start. After the
# other causes the same process runs on, so the limit may grow back faster.
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
    """Rule by which the limit grows from its initial value to the slots.

    Attributes:
        window: Answers per step for a target that may have just started. None
            uses the current limit.
        warm_window: Answers per step for a target that was warm before.
        double_up_to: Fraction of the slots up to which a step doubles the
            limit; later steps add 1.
        step_interval_s: Minimum time between two steps of a target that may
            have just started.
    """

    window: int | None = 20
    warm_window: int | None = 8
    double_up_to: float = 0.0
    step_interval_s: float = 0.0


DEFAULT_RULE = GrowthRule()


class Limit:
    """Concurrency limit of one target, at most its slots.

    Args:
        slots: Number of requests that the target can process concurrently.
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

    def is_cold(self) -> bool:
        """Returns whether the target has stated that it warms up."""
        return False

    def find_max_rate_per_s(self) -> float:
        """Returns the requests per second that the rate limit allows."""
        return math.inf

    def estimate_rate_limit_wait_s(self, ahead: int) -> float:
        """Returns the wait due to the rate limit behind queued attempts."""
        return 0.0

    def record_dispatch(self) -> None:
        """Records the dispatch of a request."""

    def resize(self, slots: int) -> None:
        """Sets the number of slots."""
        self.slots = slots
        self.value = min(self.value, slots)

    def reset(self, cause: ResetCause) -> None:
        """Resets the limit; requests in flight continue."""
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
        """Records that the target shed a request; returns whether it reset.

        Args:
            reset_count: Value of reset_count at the dispatch.
            in_flight: Requests in flight after the dispatch.
        """
        if reset_count != self.reset_count:
            return False
        now_s = self.clock()
        if now_s - self.ceiling_until_s > MAX_CEILING_HOLD_S:
            self.ceiling_hold_s = INITIAL_CEILING_HOLD_S
        self.reset(ResetCause.SHED)
        # A target that sheds even a single request does so for another reason
        # than concurrency.
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
        """Records a complete answer; returns whether the limit was reset.

        Args:
            reset_count: Value of reset_count at the dispatch.
            service_s: Service time in seconds.
            in_flight: Requests in flight after the dispatch.
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
        """Returns whether answers are far slower than their baseline.

        Skipped while the limit grows: then each step compares service times.
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
        """Returns whether the limit is as high as the traffic needs."""
        waited_s = self.clock() - self.last_step_s
        return self.value == self.slots or waited_s > STABLE_AFTER_S

    def _find_tolerated_median_s(self) -> float:
        """Returns the service time found harmless by a recent false alarm."""
        is_recent = self.clock() - self.tolerated_at_s < BASELINE_RETENTION_S
        return self.tolerated_median_s if is_recent else 0.0

    def _detect_false_alarm(self) -> None:
        """Marks a SLOW reset as false if no later step made answers slow."""
        if self.cause is ResetCause.SLOW and not self.had_slow_step:
            self.cause = ResetCause.FALSE_ALARM
            self.tolerated_median_s = self.alarm_median_s * TOLERANCE_FACTOR
            self.tolerated_at_s = self.clock()

    def _find_max(self) -> int:
        if self.clock() < self.ceiling_until_s:
            return min(self.ceiling, self.slots)
        return self.slots

    def _try_step(self) -> None:
        """Raises or lowers the limit once the window has enough answers."""
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
        # Answers that are slow at the minimum limit are not slow because of
        # concurrency: the load of a neighbour must not hold the limit down.
        self.last_median_s = median_s
        self.value = self._find_next_value()

    def _find_next_value(self) -> int:
        doubled = min(self.value * 2, int(self.slots * self.rule.double_up_to))
        new = max(self.value + 1, doubled)
        return min(new, self._find_max())
