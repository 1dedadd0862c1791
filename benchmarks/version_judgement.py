"""Measures how often rollouts are judged correctly, with random answers.

Prints the share of seeds in which the rollout of a good version, and of bad
ones of three kinds, would be completed, for several numbers of answers of the
new version. A share of the requests fails at both versions from other causes.
"""

import random

from waxwingferry.version import judgement
from waxwingferry.version import rollout

SEEDS = 400
OLD_ANSWERS = 550
ROUTES = {"r1": 0.7, "r2": 0.3}
ANSWER_COUNTS = (10, 20, 40, 60)
BASELINE_FAILURE_RATES = (0.02, 0.06, 0.15)
FAILURES_BY_KIND: dict[str, dict[str, float]] = {
    "good": {},
    "fails 0.4 of all": {"r1": 0.4, "r2": 0.4},
    "fails 0.5 of the large route": {"r1": 0.5},
    "fails 0.5 of the small route": {"r2": 0.5},
}


def draw(
    rng: random.Random, answers: int, baseline: float, failing: dict[str, float]
) -> dict[str, judgement.RouteCount]:
    """Returns random answers with baseline failures and those of a version."""
    counts = {route: judgement.RouteCount(route) for route in ROUTES}
    names, weights = zip(*ROUTES.items(), strict=True)
    for route in rng.choices(names, weights, k=answers):
        share = failing.get(route, 0.0)
        if rng.random() < baseline + (1 - baseline) * share:
            counts[route].failed += 1
        else:
            counts[route].steps[6] += 1
    return counts


def is_completed(
    old: dict[str, judgement.RouteCount], new: dict[str, judgement.RouteCount]
) -> bool:
    """Returns whether these answers would complete the rollout."""
    if judgement.find_regression(old, new, rollout.EARLY_ROLLBACK_P_VALUE):
        return False
    return (
        judgement.estimate_bad_probability(old, new)
        <= rollout.MAX_BAD_PROBABILITY
    )


def main() -> None:
    """Prints the table."""
    print(f"share of {SEEDS} seeds completed at the end of the rollout")
    heading = "".join(f"{kind:>30}" for kind in FAILURES_BY_KIND)
    print(f"{'usual':>6}{'answers':>8}{heading}")
    for baseline in BASELINE_FAILURE_RATES:
        for answers in ANSWER_COUNTS:
            cells = ""
            for failing in FAILURES_BY_KIND.values():
                done = 0
                for seed in range(SEEDS):
                    rng = random.Random(seed)
                    old = draw(rng, OLD_ANSWERS, baseline, {})
                    new = draw(rng, answers, baseline, failing)
                    done += is_completed(old, new)
                cells += f"{done / SEEDS:>30.3f}"
            print(f"{baseline:>6}{answers:>8}{cells}")


if __name__ == "__main__":
    main()
