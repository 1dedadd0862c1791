"""Error rates of the final judgement of a version."""

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
