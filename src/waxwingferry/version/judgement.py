"""Statistical comparison of a new version with the old one."""

import dataclasses
import math
from typing import Annotated

import msgspec

# Fewer bad responses than this are attributed to chance.
MIN_BAD_RESPONSES = 2
# Responses more than this many histogram buckets above the old version's median
# are bad. A bucket spans a factor of 2.
SLOW_BUCKET_OFFSET = 2
BUCKET_COUNT = 14
# Failure rates that a bad version may have in excess of the old one, assumed to
# be equally likely. A version with less than a seventh passes as good.
EXCESS_FAILURE_RATES = (0.15, 0.25, 0.35, 0.5, 0.65)
# Prior probability that a new version is bad.
PRIOR_BAD_PROBABILITY = 0.5
FIRST_BUCKET_S = 0.002
TAIL_PRECISION = 1e-16
# exp() of a larger negation would exceed the range of a float.
MIN_LOG_ODDS = -700.0

Count = Annotated[int, msgspec.Meta(ge=0, le=10**7)]


@dataclasses.dataclass(slots=True, frozen=True)
class _Sample:
    """Responses of both versions for one route, or for all routes."""

    route: str
    bad: int
    total: int
    old_bad: int
    old_total: int

    @property
    def baseline_failure_rate(self) -> float:
        """Failure rate of the old version, with Laplace smoothing.

        Without the smoothing, a few good responses would yield a rate of 0.
        """
        return (self.old_bad + 1) / (self.old_total + 2)


class RouteCount(msgspec.Struct, array_like=True):
    """Responses of one target for one route since the rollout order.

    Attributes:
        failed: Failed responses, and attempts without a response.
        steps: Latency histogram of the other responses, in buckets that span a
            factor of 2.
    """

    route: str
    failed: Count = 0
    steps: Annotated[
        list[Count],
        msgspec.Meta(min_length=BUCKET_COUNT, max_length=BUCKET_COUNT),
    ] = msgspec.field(default_factory=lambda: [0] * BUCKET_COUNT)

    @property
    def total(self) -> int:
        """Number of all responses."""
        return self.failed + sum(self.steps)


def find_bucket(service_s: float) -> int:
    """Returns the histogram bucket of a service time."""
    if service_s <= FIRST_BUCKET_S:
        return 0
    return min(int(math.log2(service_s / FIRST_BUCKET_S)), BUCKET_COUNT - 1)


def find_regression(
    old: dict[str, RouteCount], new: dict[str, RouteCount], p_value: float
) -> str:
    """Returns why a version is significantly worse, or an empty text.

    Args:
        old: Counts of the old version by route.
        new: Counts of the new version by route.
        p_value: Probability below which that many bad responses are not
            attributed to chance.
    """
    samples = _compare(old, new)
    overall = _Sample(
        "all routes",
        sum(item.bad for item in samples),
        sum(item.total for item in samples),
        sum(item.old_bad for item in samples),
        sum(item.old_total for item in samples),
    )
    for item in (*samples, overall):
        if _is_worse(item, p_value):
            return (
                f"{item.route}: {item.bad} of {item.total} bad, "
                f"old {item.old_bad} of {item.old_total}"
            )
    return ""


def estimate_bad_probability(
    old: dict[str, RouteCount], new: dict[str, RouteCount]
) -> float:
    """Returns the posterior probability that a version is bad.

    A bad version is bad on all routes or on a single one. Unlike a
    significance test, this accounts for too few responses, even if all of them
    were good.

    Args:
        old: Counts of the old version by route.
        new: Counts of the new version by route.
    """
    if not new:
        return PRIOR_BAD_PROBABILITY
    samples = _compare(old, new)
    log_likelihoods = []
    for excess in EXCESS_FAILURE_RATES:
        log_ratios = [_log_likelihood_ratio(item, excess) for item in samples]
        log_likelihoods += [sum(log_ratios), _log_mean_exp(log_ratios)]
    prior_odds = PRIOR_BAD_PROBABILITY / (1 - PRIOR_BAD_PROBABILITY)
    log_odds = math.log(prior_odds) + _log_mean_exp(log_likelihoods)
    return 1 / (1 + math.exp(-max(log_odds, MIN_LOG_ODDS)))


def _compare(
    old: dict[str, RouteCount], new: dict[str, RouteCount]
) -> list[_Sample]:
    """Returns the samples of the routes that the new version has served."""
    samples = []
    for route, item in new.items():
        base = old.get(route, RouteCount(route))
        median = _median_bucket(base)
        samples.append(
            _Sample(
                route,
                _count_bad(item, median),
                item.total,
                _count_bad(base, median),
                base.total,
            )
        )
    return samples


def _log_likelihood_ratio(item: _Sample, excess: float) -> float:
    """Returns the log likelihood ratio of an excess failure rate to none."""
    baseline = item.baseline_failure_rate
    bad_rate = baseline + (1 - baseline) * excess
    good = item.total - item.bad
    return item.bad * math.log(bad_rate / baseline) + good * math.log(
        (1 - bad_rate) / (1 - baseline)
    )


def _log_mean_exp(values: list[float]) -> float:
    """Returns the logarithm of the mean of exp(value), without overflow."""
    largest = max(values)
    total = sum(math.exp(value - largest) for value in values)
    return largest + math.log(total / len(values))


def _is_worse(item: _Sample, p_value: float) -> bool:
    if item.bad < MIN_BAD_RESPONSES:
        return False
    if item.bad <= item.total * item.baseline_failure_rate:
        return False
    return (
        _binomial_tail(item.bad, item.total, item.baseline_failure_rate)
        < p_value
    )


def _binomial_tail(least: int, total: int, share: float) -> float:
    """Returns the probability of at least `least` events out of total.

    The terms are computed as logarithms, because the binomial coefficients
    of more than 1029 events exceed the range of a float.
    """
    tail = 0.0
    for n in range(least, total + 1):
        term = math.exp(
            math.lgamma(total + 1)
            - math.lgamma(n + 1)
            - math.lgamma(total - n + 1)
            + n * math.log(share)
            + (total - n) * math.log1p(-share)
        )
        tail += term
        # Beyond the mean the terms decrease.
        if n > total * share and term <= tail * TAIL_PRECISION:
            break
    return tail


def _median_bucket(item: RouteCount) -> int:
    half = sum(item.steps) / 2
    if not half:
        return BUCKET_COUNT
    cumulative = 0
    for bucket, number in enumerate(item.steps):
        cumulative += number
        if cumulative >= half:
            return bucket
    return BUCKET_COUNT


def _count_bad(item: RouteCount, median: int) -> int:
    return item.failed + sum(item.steps[median + SLOW_BUCKET_OFFSET + 1 :])
