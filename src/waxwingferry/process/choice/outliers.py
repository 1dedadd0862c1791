"""Ejection of targets whose attempts fail far more often than others'."""

import math
import statistics

from waxwingferry.process.choice import known_target

MOST_EJECTED_SHARE = 0.34
LEAST_OUTCOMES = 5
LEAST_ERROR_SHARE = 0.4
ABOVE_MEDIAN = 0.3
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0


def eject(
    candidates: list[known_target.Candidate],
    candidate: known_target.Candidate,
    now_s: float,
) -> bool:
    """Ejects a candidate if it is an outlier; tells whether it did.

    A service that fails everywhere has no outliers: the failures then have
    a cause that moving work around does not remove.
    """
    stats = candidate.stats
    if stats.ejected_until_s > now_s or stats.outcomes < LEAST_OUTCOMES:
        return False
    share = stats.error_share(now_s)
    if share < LEAST_ERROR_SHARE:
        return False
    known = [item.stats.error_share(now_s) for item in candidates]
    if not known or share < statistics.median(known) + ABOVE_MEDIAN:
        return False
    most = math.floor(MOST_EJECTED_SHARE * len(candidates))
    if count_ejected(candidates, now_s) >= most:
        return False
    length_s = FIRST_EJECTION_S * 2**stats.ejections
    stats.ejected_until_s = now_s + min(length_s, LONGEST_EJECTION_S)
    stats.ejections = min(stats.ejections + 1, 10)
    assert count_ejected(candidates, now_s) <= most
    return True


def count_ejected(
    candidates: list[known_target.Candidate], now_s: float
) -> int:
    """Returns how many of the candidates are ejected."""
    return sum(item.stats.ejected_until_s > now_s for item in candidates)
