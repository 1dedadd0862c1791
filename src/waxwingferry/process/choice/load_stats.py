"""Load reports and load statistics of targets at an entry node."""

import dataclasses
import math

from waxwingferry import decoding

LATENCY_EWMA_WEIGHT = 0.2
MIN_SERVICE_EWMA_WEIGHT = 0.02
SERVICE_HALF_LIFE_S = 0.5
# The usual slowness of a service changes when its targets get warm; finding it
# takes a look at each target.
USUAL_SLOWNESS_INTERVAL_S = 0.1
# Slow phases last about half a second; older reports say little.
USUAL_SLOWNESS_AGE_S = 1.0
OUTCOME_EWMA_WEIGHT = 0.1
OVERLOAD_HALF_LIFE_S = 0.1
MAX_OVERLOAD = 4.0
ERROR_HALF_LIFE_S = 5.0


@dataclasses.dataclass(slots=True)
class LoadReport:
    """Load report of a target's node.

    Attributes:
        at_s: Monotonic time when the report was received.
        slowness: Service time relative to normal.
        ready_at_s: Monotonic time from which the rate that the target states
            allows another request; minus infinity if it states none.
        leaving_target: Incarnation of the target if it states that it leaves,
            otherwise empty.
        busy: Whether the target's node would refuse a request that may go
            elsewhere.
    """

    in_flight: int = 0
    queue: int = 0
    limit: int = 1
    at_s: float = -math.inf
    slowness: float = 1.0
    ready_at_s: float = -math.inf
    leaving_target: str = ""
    busy: bool = False

    def is_rate_limited(self) -> bool:
        """Returns whether the target states a rate limit."""
        return math.isfinite(self.ready_at_s)

    def find_wait_s(self, now_s: float) -> float:
        """Returns the time until the target takes another request."""
        return max(self.ready_at_s - now_s, 0.0)


def parse_load(text: str, now_s: float) -> LoadReport | None:
    """Parses an x-waxwing-load field, or returns None if it is malformed."""
    try:
        parts = dict(item.split("=", 1) for item in text.split(","))
    except ValueError:
        return None
    in_flight = decoding.parse_count(parts.get("in_flight", ""))
    queue = decoding.parse_count(parts.get("queue", ""))
    limit = decoding.parse_count(parts.get("limit", ""))
    slow_percent = decoding.parse_count(parts.get("slow", "100"))
    wait_ms = decoding.parse_count(parts.get("wait", "0"))
    if (
        in_flight is None
        or queue is None
        or limit is None
        or slow_percent is None
        or wait_ms is None
    ):
        return None
    slowness = slow_percent / 100
    wait_s = wait_ms / 1000 if "wait" in parts else -math.inf
    return LoadReport(
        in_flight,
        queue,
        max(limit, 1),
        now_s,
        max(slowness, 0.01),
        now_s + wait_s,
        parts.get("leaving", ""),
    )


def decay(age_s: float, half_life_s: float) -> float:
    """Returns the exponential decay factor at an age, from 1 down to 0."""
    return 0.5 ** (max(age_s, 0.0) / half_life_s)


@dataclasses.dataclass(slots=True)
class TargetStats:
    """Statistics of one target process at this entry.

    Attributes:
        in_flight: Attempts of this entry that are in flight at the target.
        load: Newest load report.
        remote_load: Attempts of other entries in that report.
        latency_s: Moving average of the time to the first byte; 0 if none.
        error_rate: Moving average of the share of failed attempts, from 0 to
            1.
        outcome_count: Number of attempts in error_rate.
        overload: Number of refusals for overload, decayed over time.
        refused_at_s: Time when the target last refused all work.
        ejected_until_s: End of the ejection.
        ejections: Number of consecutive ejections.
        seen: Whether the router has seen the target.
        probe_pending: Whether a probe is queued or in flight.
        probe_after_s: Time before which no further probe is sent.
    """

    in_flight: int = 0
    load: LoadReport = dataclasses.field(default_factory=LoadReport)
    remote_load: float = 0.0
    latency_s: float = 0.0
    latency_at_s: float = -math.inf
    error_rate: float = 0.0
    outcome_count: int = 0
    outcome_at_s: float = -math.inf
    overload: float = 0.0
    overload_at_s: float = -math.inf
    refused_at_s: float = -math.inf
    ejected_until_s: float = -math.inf
    ejections: int = 0
    seen: bool = False
    probe_pending: bool = False
    probe_after_s: float = -math.inf

    def update_report(self, report: LoadReport) -> None:
        """Replaces the load report, unless a newer one is present."""
        if report.at_s < self.load.at_s:
            return
        self.load = report
        total = report.in_flight + report.queue
        self.remote_load = float(max(total - self.in_flight, 0))

    def add_latency(self, latency_s: float, now_s: float) -> None:
        """Adds the latency of one response to the moving average."""
        if not self.latency_s:
            self.latency_s = latency_s
        self.latency_s += LATENCY_EWMA_WEIGHT * (latency_s - self.latency_s)
        self.latency_at_s = now_s

    def add_outcome(self, failed: bool, now_s: float) -> None:
        """Adds one attempt to the error rate."""
        self.error_rate = self.current_error_rate(now_s)
        self.error_rate += OUTCOME_EWMA_WEIGHT * (
            float(failed) - self.error_rate
        )
        self.outcome_count += 1
        self.outcome_at_s = now_s
        if not failed and self.error_rate < OUTCOME_EWMA_WEIGHT:
            self.ejections = 0

    def current_error_rate(self, now_s: float) -> float:
        """Returns the error rate, which decays while nothing is sent."""
        age_s = now_s - self.outcome_at_s
        return self.error_rate * decay(age_s, ERROR_HALF_LIFE_S)

    def add_overload(self, now_s: float) -> None:
        """Adds one refusal for overload."""
        increased = self.current_overload(now_s) + 1.0
        self.overload = min(increased, MAX_OVERLOAD)
        self.overload_at_s = now_s

    def current_overload(self, now_s: float) -> float:
        """Returns the decayed number of refusals for overload."""
        age_s = now_s - self.overload_at_s
        return self.overload * decay(age_s, OVERLOAD_HALF_LIFE_S)


@dataclasses.dataclass(slots=True)
class ServiceStats:
    """Statistics of all targets of a service at this entry.

    Attributes:
        latency_s: Moving average of the time to the first byte; 0 if none.
        utilisation: Moving average of the work of other entries per slot.
        usual_slowness: Least slowness in recent reports of the targets.
    """

    latency_s: float = 0.0
    latency_at_s: float = -math.inf
    usual_slowness: float = 1.0
    usual_at_s: float = -math.inf
    utilisation: float = 0.0
    utilisation_at_s: float = -math.inf

    def add_latency(self, latency_s: float, now_s: float) -> None:
        """Adds the latency of one response to the moving average."""
        weight = _sample_weight(now_s - self.latency_at_s)
        self.latency_s += weight * (latency_s - self.latency_s)
        self.latency_at_s = now_s

    def add_utilisation(self, candidate, now_s: float) -> None:
        """Adds the newest report of a target to the moving average."""
        stats = candidate.stats
        value = stats.remote_load / max(stats.load.limit, 1)
        weight = _sample_weight(now_s - self.utilisation_at_s)
        self.utilisation += weight * (value - self.utilisation)
        self.utilisation_at_s = now_s

    def update_usual_slowness(self, candidates: list, now_s: float) -> None:
        """Finds the least slowness in recent reports, now and then.

        Load pattern: all targets of a service are in their warm-up. None is
        slow then, compared with what else the entry can choose.

        Args:
            candidates: All targets of the service.
            now_s: Monotonic time.
        """
        if now_s - self.usual_at_s < USUAL_SLOWNESS_INTERVAL_S:
            return
        self.usual_at_s = now_s
        self.usual_slowness = min(
            (
                max(item.stats.load.slowness, 1.0)
                for item in candidates
                if now_s - item.stats.load.at_s < USUAL_SLOWNESS_AGE_S
            ),
            default=1.0,
        )

    def current_utilisation(self, now_s: float) -> float:
        """Returns the average, which decays while there are no reports."""
        age_s = now_s - self.utilisation_at_s
        return self.utilisation * decay(age_s, SERVICE_HALF_LIFE_S)


def _sample_weight(gap_s: float) -> float:
    """Returns the weight of a sample gap_s after the previous one."""
    return max(1.0 - decay(gap_s, SERVICE_HALF_LIFE_S), MIN_SERVICE_EWMA_WEIGHT)
