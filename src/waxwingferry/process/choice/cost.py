"""Cost model of the load balancing policies."""

import dataclasses
import math

from waxwingferry.process.choice import known_target
from waxwingferry.process.choice import load_stats

# Work of the next request, in requests. As it is below 1, an idle cold target
# costs less than a full warm one and gets the requests that warm it up.
NEXT_REQUEST_WORK = 0.5
REMOTE_LOAD_HALF_LIFE_S = 0.05
LIMIT_GROWTH_PER_S = 1.0
LATENCY_HALF_LIFE_S = 0.5
MIN_LATENCY_FACTOR = 0.5
MAX_LATENCY_FACTOR = 2.0
ERROR_WEIGHT = 4.0
# Most of the work in a pushed report has ended after twice this time.
STATED_HALF_LIFE_S = 0.3
# Slow phases of the users' machines last half a second to a second.
SLOWNESS_HALF_LIFE_S = 0.7
# Weight of the utilisation relative to the service time. A machine with half of
# its slots taken costs as much as an idle one in another failure domain.
UTILISATION_COST = 0.25
# Machines slow down above this share of slots taken.
CROWDING_THRESHOLD = 0.75
CROWDING_COST = 2.0
# A request that has to wait for a slot waits for about one service time.
BUSY_COST = 1.0

# A target that states a rate limit gets requests once the others have few free
# slots. What its rate allows is then left for the time when they are slow.
RATE_LIMIT_COST = 0.5
# Service time that a wait is compared with before the first answer.
DEFAULT_SERVICE_TIME_S = 0.1

# Costs of distance in units of utilisation. A farther target is chosen if its
# utilisation is lower by more than this, so that near ones aren't overloaded.
OTHER_NODE_COST = 0.1
OTHER_DOMAIN_COST = 0.13
OTHER_REGION_COST = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class Location:
    """Location of a node."""

    node: str = ""
    region: str = ""
    failure_domain: str = ""


@dataclasses.dataclass(slots=True)
class Cost:
    """Cost of a target and its components.

    Attributes:
        utilisation: Work per slot of the limit, including the next request.
        latency_factor: Latency of the target relative to that of the service;
            slowness of its machine for loads that nodes push.
        penalty: Factor for errors and refusals for overload.
        distance: Cost of the distance.
        wait: Cost of the rate limit that the target states: the time until it
            allows a request, in service times, and RATE_LIMIT_COST.
        total: utilisation x latency_factor x penalty + distance + wait; for
            loads that nodes push, see compute_stated_cost.
    """

    utilisation: float
    latency_factor: float
    penalty: float
    distance: float
    wait: float
    total: float


def compute_cost(
    candidate: known_target.Candidate,
    service: load_stats.ServiceStats,
    location: Location,
    now_s: float,
) -> Cost:
    """Returns the cost of sending the next request to a candidate."""
    stats = candidate.stats
    limit = estimate_limit(candidate, now_s)
    remote_load = _estimate_remote_load(candidate, service, limit, now_s)
    utilisation = (stats.in_flight + remote_load + NEXT_REQUEST_WORK) / limit
    factor = _latency_factor(stats, service, now_s)
    error_rate = stats.current_error_rate(now_s)
    penalty = 1.0 + ERROR_WEIGHT * error_rate + stats.current_overload(now_s)
    distance_cost = distance(candidate, location)
    wait = _compute_wait(stats.load, service, now_s)
    total = utilisation * factor * penalty + distance_cost + wait
    return Cost(utilisation, factor, penalty, distance_cost, wait, total)


def compute_stated_cost(
    candidate: known_target.Candidate,
    service: load_stats.ServiceStats,
    location: Location,
    now_s: float,
) -> Cost:
    """Returns the cost of a candidate whose node pushes its load.

    The cost is the expected time on the machine at its current speed. It grows
    where the request has to queue and where a nearly full machine slows down.
    """
    stats = candidate.stats
    limit = max(stats.load.limit, 1)
    weight = load_stats.decay(now_s - stats.load.at_s, STATED_HALF_LIFE_S)
    remote_load = stats.remote_load * weight
    utilisation = (stats.in_flight + remote_load + NEXT_REQUEST_WORK) / limit
    queueing = max(utilisation - 1.0, 0.0)
    if stats.load.busy:
        queueing = max(queueing, BUSY_COST * weight)
    crowding = CROWDING_COST * max(utilisation - CROWDING_THRESHOLD, 0.0)
    error_rate = stats.current_error_rate(now_s)
    penalty = 1.0 + ERROR_WEIGHT * error_rate + stats.current_overload(now_s)
    distance_cost = distance(candidate, location)
    work = 1.0 + UTILISATION_COST * utilisation + queueing + crowding
    slowness = estimate_slowness(stats.load, now_s)
    wait = _compute_wait(stats.load, service, now_s)
    total = slowness * penalty * work + distance_cost + wait
    return Cost(utilisation, slowness, penalty, distance_cost, wait, total)


def _compute_wait(
    load: load_stats.LoadReport,
    service: load_stats.ServiceStats,
    now_s: float,
) -> float:
    """Returns the cost of the rate limit that a target states."""
    if not load.is_rate_limited():
        return 0.0
    service_time_s = service.latency_s or DEFAULT_SERVICE_TIME_S
    return RATE_LIMIT_COST + load.find_wait_s(now_s) / service_time_s


def estimate_slowness(load: load_stats.LoadReport, now_s: float) -> float:
    """Returns the slowness of a machine, decayed by the age of the report.

    A slow phase may have ended although its last report still shows it.
    """
    weight = load_stats.decay(now_s - load.at_s, SLOWNESS_HALF_LIFE_S)
    return 1.0 + (load.slowness - 1.0) * weight


def estimate_limit(candidate: known_target.Candidate, now_s: float) -> float:
    """Returns the estimated current concurrency limit of a target.

    The limit of a cold target grows with the work of all entries. An entry
    that kept an old low limit would never send it work, and so would never
    receive a report of the higher limit.
    """
    stats = candidate.stats
    age_s = max(now_s - stats.load.at_s, 0.0)
    if math.isinf(age_s):
        return float(max(candidate.slots, 1))
    limit = max(stats.load.limit, 1) + LIMIT_GROWTH_PER_S * age_s
    return max(min(limit, candidate.slots), 1.0)


def _estimate_remote_load(
    candidate: known_target.Candidate,
    service: load_stats.ServiceStats,
    limit: float,
    now_s: float,
) -> float:
    """Returns the work of other entries; old reports decay to the average.

    If they decayed to zero, the targets with the fewest reports would look
    idle and would get the work of all entries at once.
    """
    stats = candidate.stats
    weight = load_stats.decay(now_s - stats.load.at_s, REMOTE_LOAD_HALF_LIFE_S)
    average = service.current_utilisation(now_s) * limit
    return weight * stats.remote_load + (1.0 - weight) * average


def _latency_factor(
    stats: load_stats.TargetStats,
    service: load_stats.ServiceStats,
    now_s: float,
) -> float:
    if not stats.latency_s or not service.latency_s:
        return 1.0
    ratio = stats.latency_s / service.latency_s
    ratio = min(max(ratio, MIN_LATENCY_FACTOR), MAX_LATENCY_FACTOR)
    weight = load_stats.decay(now_s - stats.latency_at_s, LATENCY_HALF_LIFE_S)
    return math.pow(ratio, weight)


def distance(candidate: known_target.Candidate, location: Location) -> float:
    """Returns the cost of the distance to a candidate."""
    if not location.node or candidate.node == location.node:
        return 0.0
    if candidate.region != location.region:
        return OTHER_REGION_COST
    if candidate.failure_domain != location.failure_domain:
        return OTHER_DOMAIN_COST
    return OTHER_NODE_COST
