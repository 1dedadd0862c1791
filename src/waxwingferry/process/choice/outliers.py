"""Outlier ejection of targets with a far higher error rate than others."""

import math
import typing

from waxwingferry import deferred
from waxwingferry import invariants
from waxwingferry.process.choice import known_target

if typing.TYPE_CHECKING:
    import statistics
else:
    statistics = deferred.Module("statistics")

MAX_EJECTED_SHARE = 0.34
MIN_OUTCOMES = 5
MIN_ERROR_RATE = 0.4
MIN_EXCESS_OVER_MEDIAN = 0.3
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0


def eject(
    candidates: list[known_target.Candidate],
    candidate: known_target.Candidate,
    now_s: float,
) -> bool:
    """Ejects a candidate if it is an outlier; returns whether it did.

    A service that fails at all targets has no outliers: shifting work between
    targets does not remove the cause of such failures.
    """
    stats = candidate.stats
    if stats.ejected_until_s > now_s or stats.outcome_count < MIN_OUTCOMES:
        return False
    error_rate = stats.current_error_rate(now_s)
    if error_rate < MIN_ERROR_RATE:
        return False
    error_rates = [item.stats.current_error_rate(now_s) for item in candidates]
    if (
        not error_rates
        or error_rate < statistics.median(error_rates) + MIN_EXCESS_OVER_MEDIAN
    ):
        return False
    max_ejected = math.floor(MAX_EJECTED_SHARE * len(candidates))
    if count_ejected(candidates, now_s) >= max_ejected:
        return False
    duration_s = BASE_EJECTION_S * 2**stats.ejections
    stats.ejected_until_s = now_s + min(duration_s, MAX_EJECTION_S)
    stats.ejections = min(stats.ejections + 1, 10)
    invariants.require(
        count_ejected(candidates, now_s) <= max_ejected, "targets_ejected"
    )
    return True


def count_ejected(
    candidates: list[known_target.Candidate], now_s: float
) -> int:
    """Returns the number of candidates that are ejected."""
    return sum(item.stats.ejected_until_s > now_s for item in candidates)
