"""Whether a version answers worse than the one before it."""

import math

import msgspec

# Fewer bad answers than this are chance.
LEAST_BAD = 2
# Times above this factor of the old version's median are bad answers. A step
# of the histogram is a factor of 2.
SLOW_STEPS = 2
STEPS = 14
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
