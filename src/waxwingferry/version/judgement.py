"""Whether a version answers worse than the one before it."""

import math

import msgspec

# Fewer bad answers than this are chance.
LEAST_BAD = 2
# Times above this factor of the old version's median are bad answers. A step
# of the histogram is a factor of 2.
SLOW_STEPS = 2
STEPS = 14
# Shares of its requests that a bad version fails, as the final judgement
# weighs them, all alike; figures below a seventh pass for good.
BAD_SHARES = (0.15, 0.25, 0.35, 0.5, 0.65)
# Probability, before any answer, that a new version is bad.
PRIOR_BAD = 0.5
FIRST_STEP_S = 0.002


class RouteCount(msgspec.Struct, array_like=True):
    """Answers of one route by one target since the order.

    Attributes:
        failed: Answers that were failures, and attempts without an answer.
        steps: Other answers by the time they took, in steps of a factor 2.
    """

    route: str
    failed: int = 0
    steps: list[int] = msgspec.field(default_factory=lambda: [0] * STEPS)

    @property
    def total(self) -> int:
        """Number of all answers."""
        return self.failed + sum(self.steps)


def find_step(used_s: float) -> int:
    """Returns the step of a time in the histogram."""
    if used_s <= FIRST_STEP_S:
        return 0
    return min(int(math.log2(used_s / FIRST_STEP_S)), STEPS - 1)


def find_bad(
    old: dict[str, RouteCount], new: dict[str, RouteCount], chance: float
) -> str:
    """Returns why a version is worse than the old one, or an empty text.

    Args:
        old: Counts of the old version by route.
        new: Counts of the new version by route.
        chance: Probability below which that many bad answers are no chance.
    """
    all_bad = all_total = 0
    old_bad = old_total = 0
    for route, item in new.items():
        base = old.get(route, RouteCount(route))
        median = _median_step(base)
        bad = _count_bad(item, median)
        base_bad = _count_bad(base, median)
        all_bad += bad
        all_total += item.total
        old_bad += base_bad
        old_total += base.total
        if _is_worse(bad, item.total, base_bad, base.total, chance):
            return (
                f"{route}: {bad} of {item.total} bad, "
                f"old {base_bad} of {base.total}"
            )
    if _is_worse(all_bad, all_total, old_bad, old_total, chance):
        return (
            f"all routes: {all_bad} of {all_total} bad, "
            f"old {old_bad} of {old_total}"
        )
    return ""


def weigh_doubt(
    old: dict[str, RouteCount], new: dict[str, RouteCount]
) -> float:
    """Returns the probability that a version is bad on all routes or on one.

    Few answers leave a doubt even if all of them were good, which a test
    against chance doesn't tell.

    Args:
        old: Counts of the old version by route.
        new: Counts of the new version by route.
    """
    if not new:
        return PRIOR_BAD
    samples = []
    for route, item in new.items():
        base = old.get(route, RouteCount(route))
        median = _median_step(base)
        usual = (_count_bad(base, median) + 1) / (base.total + 2)
        samples.append((_count_bad(item, median), item.total, usual))
    on_all = on_one = 0.0
    for share in BAD_SHARES:
        ratios = [_find_ratio(*sample, share) for sample in samples]
        on_all += math.prod(ratios) / len(BAD_SHARES)
        on_one += sum(ratios) / len(ratios) / len(BAD_SHARES)
    odds = PRIOR_BAD / (1 - PRIOR_BAD) * (on_all + on_one) / 2
    return odds / (1 + odds)


def _find_ratio(bad: int, total: int, usual: float, share: float) -> float:
    """Returns how much likelier the answers are if so many more fail."""
    raised = usual + (1 - usual) * share
    good = total - bad
    return (raised / usual) ** bad * ((1 - raised) / (1 - usual)) ** good


def _is_worse(
    bad: int, total: int, old_bad: int, old_total: int, chance: float
) -> bool:
    if bad < LEAST_BAD:
        return False
    # One bad answer more keeps few old answers from proving a rate of 0.
    base = (old_bad + 1) / (old_total + 2)
    return _binomial_tail(bad, total, base) < chance


def _binomial_tail(least: int, total: int, share: float) -> float:
    """Returns the probability of at least so many of total."""
    return sum(
        math.comb(total, n) * share**n * (1 - share) ** (total - n)
        for n in range(least, total + 1)
    )


def _median_step(item: RouteCount) -> int:
    half = sum(item.steps) / 2
    if not half:
        return STEPS
    seen = 0
    for step, number in enumerate(item.steps):
        seen += number
        if seen >= half:
            return step
    return STEPS


def _count_bad(item: RouteCount, median: int) -> int:
    return item.failed + sum(item.steps[median + SLOW_STEPS + 1 :])
