"""Error rates of the final judgement of a version."""

import math
import random

import pytest

from waxwingferry.version import judgement

ROUTES = {"r1": 0.7, "r2": 0.3}
BASELINE_FAILURE_RATE = 0.06
SEEDS = 200


def draw(
    rng: random.Random, answers: int, failing: dict[str, float]
) -> dict[str, judgement.RouteCount]:
    """Returns responses, some of which fail in addition to the baseline."""
    counts = {}
    for route, part in ROUTES.items():
        item = counts[route] = judgement.RouteCount(route)
        for _ in range(round(answers * part)):
            if rng.random() < max(
                failing.get(route, 0.0), BASELINE_FAILURE_RATE
            ):
                item.failed += 1
            else:
                item.steps[6] += 1
    return counts


def find_rejected_share(answers: int, failing: dict[str, float]) -> float:
    """Returns the share of seeds for which the version is not completed."""
    rejected = 0
    for seed in range(SEEDS):
        rng = random.Random(seed)
        old = draw(rng, 500, {})
        new = draw(rng, answers, failing)
        rejected += judgement.estimate_bad_probability(old, new) > 0.15
    return rejected / SEEDS


@pytest.mark.parametrize(
    "failing", [{"r1": 0.4, "r2": 0.4}, {"r1": 0.5}, {"r2": 0.5}]
)
def test_bad_versions_are_not_completed_over_seeds(failing):
    """Guards against completing a bad version, or one with a bad route."""
    assert find_rejected_share(40, failing) > 0.97


def test_most_good_versions_pass_over_seeds():
    """Guards against a judgement that rejects every version."""
    assert find_rejected_share(60, {}) < 0.2


def test_no_responses_leave_the_prior():
    """Guards against a judgement without any responses."""
    assert (
        judgement.estimate_bad_probability({}, {})
        == judgement.PRIOR_BAD_PROBABILITY
    )


def _make_counts(failed: int, good: int) -> dict[str, judgement.RouteCount]:
    """Returns the counts of one route, all good ones in one bucket."""
    item = judgement.RouteCount("r1", failed)
    item.steps[6] = good
    return {"r1": item}


# The OverflowError ended the judging process, and then the next judge.
@pytest.mark.parametrize("total", [1029, 1100, 20_000, 10_000_000])
@pytest.mark.parametrize("bad_share", [0.0, 0.01, 0.2, 1.0])
def test_many_responses_are_judged(total, bad_share):
    """Guards against a process that ends by a rollout with many responses."""
    old = _make_counts(total // 100, total - total // 100)
    failed = round(total * bad_share)
    new = _make_counts(failed, total - failed)
    bad = bad_share > 0.1
    assert bool(judgement.find_regression(old, new, 0.01)) is bad
    probability = judgement.estimate_bad_probability(old, new)
    assert (probability > 0.99) is bad
    assert (probability < 0.01) is not bad


@pytest.mark.parametrize(
    ("least", "total", "share"),
    [(2, 10, 0.1), (7, 40, 0.05), (100, 1000, 0.08), (3, 3, 0.5)],
)
def test_the_binomial_tail_is_exact(least, total, share):
    """Guards against another verdict by the computation with logarithms."""
    expected = sum(
        math.comb(total, n) * share**n * (1 - share) ** (total - n)
        for n in range(least, total + 1)
    )
    found = judgement._binomial_tail(least, total, share)
    assert found == pytest.approx(expected, rel=1e-9)
