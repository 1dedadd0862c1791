"""Load balancing among the targets of a service at the entry node.

No single signal decides. Load reports may be wrong or stale, so the entry node
combines them with its own in-flight counts, the latencies and errors that it
observed itself, and refusals for overload. The target's node enforces the
concurrency limit in any case.
"""

from collections.abc import Callable
import dataclasses
import enum
import math
import random
import time

from waxwingferry import invariants
from waxwingferry.process.choice import cost
from waxwingferry.process.choice import known_target
from waxwingferry.process.choice import load_stats
from waxwingferry.process.choice import outliers
from waxwingferry.process.protection import usual_speed

REFUSAL_COOLDOWN_S = 1.0
STALE_REPORT_S = 1.0

# Work per slot below which a target gets a retry after queue_full. It is 3 at a
# target whose queue is full for one of several members, since a member queues
# two requests per slot, and 5 if the whole queue is full.
RETRY_MAX_UTILISATION = 2.0

# Targets first seen within this time of the entry's start may have been running
# for long; targets first seen later are taken for cold.
STARTUP_GRACE_S = 5.0

# Targets sampled in the own failure domain and in others, where the nodes are
# asked for their load before each choice.
NEAR_SAMPLE_SIZE = 4
FAR_SAMPLE_SIZE = 4

# Candidates sampled besides the local target. If every entry compared all
# candidates, all entries would choose the same one by the same stale reports.
SAMPLE_SIZE = 3

LoadReport = load_stats.LoadReport
TargetStats = load_stats.TargetStats
parse_load = load_stats.parse_load


class Policy(enum.Enum):
    """Policies for choosing among the usable targets.

    WEIGHTED is the default, and STATED is for nodes that push their load; the
    others are for comparison in experiments.

    Attributes:
        RANDOM: Uniform random choice.
        ROUND_ROBIN: Each target in turn.
        LEAST_REPORTED: Lowest reported load per slot.
        TWO_CHOICES: Less loaded of two random targets, by known load per slot.
        WEIGHTED_TWO: Cheaper of two random targets.
        WEIGHTED: Cheapest of a random sample and the local target.
        STATED: Cheapest of all targets, by loads that their nodes push.
    """

    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    LEAST_REPORTED = "least_reported"
    TWO_CHOICES = "two_choices"
    WEIGHTED_TWO = "weighted_two"
    WEIGHTED = "weighted"
    STATED = "stated"


class Result(enum.Enum):
    """Result of an attempt, as load balancing distinguishes it."""

    ANSWERED = "answered"
    FAILED = "failed"
    OVERLOADED = "overloaded"
    UNAVAILABLE = "unavailable"
    ABANDONED = "abandoned"


@dataclasses.dataclass(slots=True, frozen=True)
class Explanation:
    """Why a target would or would not be chosen for a request.

    Attributes:
        node: Name of the target's node.
        excluded_by: Why the target is not eligible; empty if it is.
        cost: Cost of the target and its components.
        report_age_ms: Age of the target's load report; None without a report.
    """

    node: str
    excluded_by: str
    cost: cost.Cost
    report_age_ms: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class Sample:
    """Random usable targets of a service.

    Attributes:
        near: Targets of the own failure domain, with the local one if usable.
        far: Targets of other failure domains.
    """

    near: list[known_target.Candidate]
    far: list[known_target.Candidate]


class Router:
    """Chooses the target of each attempt and learns from its result.

    Args:
        rng: Source of random choices.
        clock: Monotonic time in seconds.
        policy: Load balancing policy.
        location: Location of this entry node.
        request_probe: Called with a candidate whose load report is stale.
        on_ejection: Called with each target that is ejected.
        local_load: Returns the exact load of the local target, in the format
            of a load report.
    """

    def __init__(
        self,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        policy: Policy = Policy.WEIGHTED,
        location: cost.Location | None = None,
        request_probe: Callable[[known_target.Candidate], None] | None = None,
        on_ejection: Callable[[known_target.Candidate], None] | None = None,
        local_load: Callable[[], str] | None = None,
    ):
        self.rng = rng
        self.clock = clock
        self.policy = policy
        self.location = location or cost.Location()
        self.request_probe = request_probe
        self.on_ejection = on_ejection
        self.local_load = local_load
        self.started_s = clock()
        self.next_index: dict[str, int] = {}
        self.services: dict[str, load_stats.ServiceStats] = {}

    def choose(
        self,
        candidates: list[known_target.Candidate],
        domains_out: frozenset[str],
        excluded: set[str],
    ) -> known_target.Candidate | None:
        """Returns the target for an attempt, or None if no target is usable.

        Args:
            candidates: All targets of the service.
            domains_out: Failure domains that take no work.
            excluded: Nodes that this call has already tried.
        """
        now_s = self.clock()
        pool = self._find_pool(candidates, domains_out, excluded, now_s)
        if not pool:
            return None
        chosen = self._pick(pool, now_s)
        reason = _exclusion_reason(chosen, domains_out, excluded)
        invariants.require(not reason, "target_excluded", reason)
        return chosen

    def _find_pool(
        self,
        candidates: list[known_target.Candidate],
        domains_out: frozenset[str],
        excluded: set[str],
        now_s: float,
    ) -> list[known_target.Candidate]:
        self._register_new(candidates, now_s)
        usable = [
            item
            for item in candidates
            if not _exclusion_reason(item, domains_out, excluded)
        ]
        # Targets that are ejected or refused work recently are a last resort.
        return [
            item for item in usable if not _avoidance_reason(item, now_s)
        ] or usable

    def sample(
        self,
        candidates: list[known_target.Candidate],
        domains_out: frozenset[str],
        excluded: set[str],
    ) -> Sample:
        """Returns random targets to ask for their load; see choose."""
        local: list[known_target.Candidate] = []
        near: list[known_target.Candidate] = []
        far: list[known_target.Candidate] = []
        for item in candidates:
            if item.node == self.location.node:
                local.append(item)
            elif item.failure_domain == self.location.failure_domain:
                near.append(item)
            else:
                far.append(item)
        now_s = self.clock()
        sizes = ((local, 1), (near, NEAR_SAMPLE_SIZE), (far, FAR_SAMPLE_SIZE))
        local, near, far = (
            self._draw(group, size, domains_out, excluded, now_s)
            for group, size in sizes
        )
        for item in local:
            self._refresh_report(item, now_s)
        return Sample(local + near, far)

    def _draw(
        self,
        group: list[known_target.Candidate],
        size: int,
        domains_out: frozenset[str],
        excluded: set[str],
        now_s: float,
    ) -> list[known_target.Candidate]:
        """Returns up to size random usable targets of a group."""
        # Most targets are usable, so that not all have to be looked at.
        drawn = self._find_pool(
            self._sample(group, 2 * size), domains_out, excluded, now_s
        )
        if len(drawn) < size < len(group):
            pool = self._find_pool(group, domains_out, excluded, now_s)
            drawn = self._sample(pool, size)
        return drawn[:size]

    def update_usual_slowness(
        self, candidates: list[known_target.Candidate]
    ) -> None:
        """Updates what is_slow() compares all targets of a service with."""
        if candidates:
            service = self.service_stats(candidates[0].service)
            service.update_usual_slowness(candidates, self.clock())

    def is_slow(self, candidate: known_target.Candidate, now_s: float) -> bool:
        """Returns whether a target is much slower than the others' best."""
        slowness = cost.estimate_slowness(candidate.stats.load, now_s)
        usual = self.service_stats(candidate.service).usual_slowness
        return usual_speed.is_slow(slowness, usual)

    def is_free(self, candidate: known_target.Candidate) -> bool:
        """Returns whether a target has room and runs at its usual speed."""
        now_s = self.clock()
        load = candidate.stats.load
        service = self.service_stats(candidate.service)
        estimate = cost.compute_stated_cost(
            candidate, service, self.location, now_s
        )
        return (
            not load.busy
            and not self.is_slow(candidate, now_s)
            and not must_wait(candidate, now_s)
            and estimate.utilisation < cost.CROWDING_THRESHOLD
        )

    def _register_new(
        self, candidates: list[known_target.Candidate], now_s: float
    ) -> None:
        """Treats targets that appear while the entry runs as cold."""
        for item in candidates:
            stats = item.stats
            if stats.seen:
                continue
            stats.seen = True
            if now_s - self.started_s > STARTUP_GRACE_S:
                stats.load = load_stats.LoadReport(0, 0, 1, now_s)

    def _pick(
        self, pool: list[known_target.Candidate], now_s: float
    ) -> known_target.Candidate:
        match self.policy:
            case Policy.RANDOM:
                return self.rng.choice(pool)
            case Policy.ROUND_ROBIN:
                service = pool[0].service
                index = self.next_index.get(
                    service, self.rng.randrange(len(pool))
                )
                self.next_index[service] = index + 1
                return pool[index % len(pool)]
            case Policy.LEAST_REPORTED:
                return min(pool, key=_reported_load)
            case Policy.TWO_CHOICES:
                sampled = self._sample(pool, 2)
                return min(sampled, key=_known_load)
            case Policy.WEIGHTED_TWO:
                return self._pick_cheapest(pool, self._sample(pool, 2), now_s)
            case Policy.WEIGHTED:
                sampled = self._sample(pool, SAMPLE_SIZE) + self._find_local(
                    pool
                )
                return self._pick_cheapest(pool, sampled, now_s)
            case Policy.STATED:
                return self._pick_stated(pool, now_s)

    def _pick_stated(
        self, pool: list[known_target.Candidate], now_s: float
    ) -> known_target.Candidate:
        """Returns the cheapest of all targets, by the loads nodes push."""
        for item in self._find_local(pool):
            self._refresh_report(item, now_s)
        sampled = self.rng.sample(pool, len(pool))
        service = self.service_stats(pool[0].service)
        return min(
            sampled,
            key=lambda item: (
                cost.compute_stated_cost(
                    item, service, self.location, now_s
                ).total
            ),
        )

    def _sample(
        self, pool: list[known_target.Candidate], count: int
    ) -> list[known_target.Candidate]:
        return self.rng.sample(pool, min(count, len(pool)))

    def _find_local(
        self, pool: list[known_target.Candidate]
    ) -> list[known_target.Candidate]:
        """Returns the local target, whose load is known exactly."""
        return [item for item in pool if item.node == self.location.node]

    def _pick_cheapest(
        self,
        pool: list[known_target.Candidate],
        sampled: list[known_target.Candidate],
        now_s: float,
    ) -> known_target.Candidate:
        service = self.service_stats(pool[0].service)
        for item in sampled:
            self._refresh_report(item, now_s)
        costs = [
            (cost.compute_cost(item, service, self.location, now_s).total, item)
            for item in sampled
        ]
        lowest = min(value for value, _ in costs)
        # The random order of the sample breaks ties.
        return next(item for value, item in costs if value == lowest)

    def _refresh_report(
        self, item: known_target.Candidate, now_s: float
    ) -> None:
        """Updates the report of the local target; probes for others."""
        if item.node == self.location.node and self.local_load is not None:
            report = load_stats.parse_load(self.local_load(), now_s)
            if report is not None:
                item.load = report
            return
        stale = now_s - item.stats.load.at_s > STALE_REPORT_S
        if stale and self.request_probe is not None:
            self.request_probe(item)

    def service_stats(self, service: str) -> load_stats.ServiceStats:
        """Returns the statistics of a service over all its targets."""
        if service not in self.services:
            self.services[service] = load_stats.ServiceStats()
        return self.services[service]

    def has_capacity(self, candidate: known_target.Candidate) -> bool:
        """Returns whether a candidate's queue is estimated to be short."""
        service = self.service_stats(candidate.service)
        now_s = self.clock()
        estimate = cost.compute_cost(candidate, service, self.location, now_s)
        return estimate.utilisation < RETRY_MAX_UTILISATION

    def begin_attempt(self, candidate: known_target.Candidate) -> None:
        """Counts an attempt as in flight, before it is sent."""
        candidate.stats.in_flight += 1

    def finish_attempt(self, candidate: known_target.Candidate) -> None:
        """Removes an attempt from the in-flight count."""
        stats = candidate.stats
        invariants.require(
            stats.in_flight > 0, "target_in_flight", candidate.node
        )
        stats.in_flight -= 1

    def record_result(
        self,
        candidates: list[known_target.Candidate],
        candidate: known_target.Candidate,
        result: Result,
        latency_s: float,
    ) -> None:
        """Updates the statistics with the result of an attempt.

        Args:
            candidates: All targets of the service.
            candidate: Target of the attempt.
            result: Result of the attempt.
            latency_s: Time from sending to the first byte of the response.
        """
        now_s = self.clock()
        stats = candidate.stats
        service = self.service_stats(candidate.service)
        match result:
            case Result.ANSWERED:
                stats.add_latency(latency_s, now_s)
                service.add_latency(latency_s, now_s)
                stats.add_outcome(False, now_s)
            case Result.FAILED:
                stats.add_outcome(True, now_s)
            case Result.OVERLOADED:
                stats.add_overload(now_s)
            case Result.UNAVAILABLE:
                stats.refused_at_s = now_s
            case Result.ABANDONED:
                return
        service.add_utilisation(candidate, now_s)
        if result is not Result.FAILED:
            return
        ejected = outliers.eject(candidates, candidate, now_s)
        if ejected and self.on_ejection is not None:
            self.on_ejection(candidate)

    def explain(
        self,
        candidates: list[known_target.Candidate],
        domains_out: frozenset[str],
        excluded: set[str],
    ) -> list[Explanation]:
        """Returns an explanation per target, eligible and cheapest first."""
        now_s = self.clock()
        result = []
        for item in candidates:
            service = self.service_stats(item.service)
            result.append(
                Explanation(
                    item.node,
                    _exclusion_reason(item, domains_out, excluded)
                    or _avoidance_reason(item, now_s),
                    cost.compute_cost(item, service, self.location, now_s),
                    report_age_ms(item.stats.load, now_s),
                )
            )
        return sorted(result, key=lambda e: (bool(e.excluded_by), e.cost.total))


def _exclusion_reason(
    item: known_target.Candidate,
    domains_out: frozenset[str],
    excluded: set[str],
) -> str:
    if item.state != "ready":
        return item.state
    if item.failure_domain in domains_out:
        return "domain_out"
    return "tried" if item.node in excluded else ""


def _avoidance_reason(item: known_target.Candidate, now_s: float) -> str:
    if now_s - item.stats.refused_at_s < REFUSAL_COOLDOWN_S:
        return "refused"
    return "ejected" if item.stats.ejected_until_s > now_s else ""


def must_wait(item: known_target.Candidate, now_s: float) -> bool:
    """Returns whether the target's stated rate allows no request now."""
    return item.stats.load.find_wait_s(now_s) > 0


def report_age_ms(load: load_stats.LoadReport, now_s: float) -> int | None:
    """Returns the age of a load report in milliseconds, None without one."""
    age_s = now_s - load.at_s
    return round(age_s * 1000) if math.isfinite(age_s) else None


def _reported_load(item: known_target.Candidate) -> float:
    report = item.stats.load
    return (report.in_flight + report.queue) / max(report.limit, 1)


def _known_load(item: known_target.Candidate) -> float:
    report = item.stats.load
    reported = report.in_flight + report.queue
    return (max(item.in_flight, reported) + 1) / max(report.limit, 1)
