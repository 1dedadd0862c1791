"""Tests of load shedding by parent, with targets that have no network."""

import random

from waxwingferry.process.protection import load_shedding

RATE_PER_S = 17.0
TARGETS = 19
RATE = load_shedding.Capacity(RATE_PER_S)


class Clock:
    """A clock that the test advances."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self) -> float:
        """Returns the time."""
        return self.now_s


def _serve_parents(demand: float, seed: int, by_parent: bool) -> float:
    """Returns the share of parents of which both calls are served.

    Args:
        demand: Calls per second, as a multiple of what the targets take.
        seed: Seed of the random choices.
        by_parent: Whether calls are refused by parent, or by a random draw of
            the same probability at each target.
    """
    rng = random.Random(seed)
    clock = Clock()
    targets = [load_shedding.LoadShedding(clock) for _ in range(TARGETS)]
    parents_per_s = demand * RATE_PER_S * TARGETS / 2
    counted = served = 0
    for number in range(int(3 * parents_per_s)):
        clock.now_s += 1 / parents_per_s
        parent_id = f"{rng.getrandbits(64):016x}"
        refused = False
        for _ in range(2):
            if not by_parent:
                parent_id = f"{rng.getrandbits(64):016x}"
            target = rng.choice(targets)
            target.record(2)
            refused |= target.should_refuse(parent_id, 2, RATE)
        if number > parents_per_s:
            counted += 1
            served += not refused
    return served / counted


def test_both_calls_of_a_parent_are_served_or_refused_together():
    """Independent refusals at each target waste most parents' work."""
    for seed in range(5):
        by_parent = _serve_parents(1.6, seed, True)
        independent = _serve_parents(1.6, seed, False)
        assert by_parent > 0.5
        assert by_parent > independent + 0.1


def test_nothing_is_refused_below_capacity():
    """Random arrivals below the capacity must not be refused."""
    for seed in range(5):
        assert _serve_parents(0.6, seed, True) > 0.99


def test_served_calls_stay_close_to_the_capacity():
    """Refusing more than necessary would leave permitted requests unused."""
    rng = random.Random(1)
    clock = Clock()
    target = load_shedding.LoadShedding(clock)
    served = 0
    for _ in range(40 * 10):
        clock.now_s += 1 / 40
        parent_id = f"{rng.getrandbits(64):016x}"
        target.record(2)
        served += not target.should_refuse(parent_id, 2, RATE)
    assert 0.85 * RATE_PER_S < served / 10 < 1.15 * RATE_PER_S


def test_more_urgent_attempts_leave_the_rest_of_the_capacity():
    """Calls that wait behind more urgent attempts would miss their deadline."""
    rng = random.Random(1)
    clock = Clock()
    target = load_shedding.LoadShedding(clock)
    served = urgent_refused = 0
    for number in range(40 * 10):
        clock.now_s += 1 / 40
        parent_id = f"{rng.getrandbits(64):016x}"
        priority = 1 if number % 4 == 0 else 2
        target.record(priority)
        refused = target.should_refuse(parent_id, priority, RATE)
        if priority == 1:
            urgent_refused += refused
        else:
            served += not refused
    assert urgent_refused == 0
    assert 0.75 * 7 < served / 10 < 1.25 * 7


def test_window_forgets_arrivals():
    """After a burst has ended, calls must be served again."""
    clock = Clock()
    target = load_shedding.LoadShedding(clock)
    for _ in range(100):
        target.record(0)
    clock.now_s += load_shedding.WINDOW_S
    target.record(0)
    assert not target.should_refuse("p", 0, load_shedding.Capacity(5.0))
    assert target.counts == {0: 1}


def _count_refused(work_s: float, slots: int) -> int:
    """Returns how many of 100 calls in 2 s are refused beside long requests.

    The requests take half of the slots.
    """
    rng = random.Random(1)
    clock = Clock()
    target = load_shedding.LoadShedding(clock)
    refused = 0
    for number in range(100):
        clock.now_s += 0.02
        if number % 10 == 0:
            target.record(1, 0.1 * slots)
        target.record(2, work_s)
        refused += target.should_refuse(
            f"{rng.getrandbits(64):016x}",
            2,
            load_shedding.Capacity(slots=slots),
        )
    return refused


def test_short_calls_are_not_refused_for_the_time_of_long_requests():
    """By the mean of all kinds, most calls that fit would be refused.

    The calls arrive at 50 per second and find 1.5 slots free.
    """
    assert _count_refused(0.02, 3) == 0
    assert _count_refused(0.2, 3) > 60


def test_work_is_forgotten_with_its_arrivals():
    """A rest of old work would refuse calls without end."""
    clock = Clock()
    target = load_shedding.LoadShedding(clock)
    for _ in range(100):
        target.record(0, 0.1)
        target.record(1, 0.1)
    clock.now_s += load_shedding.WINDOW_S
    target.record(1, 0.1)
    assert target.works_s == {1: 0.1}
    capacity = load_shedding.Capacity(slots=3)
    assert not target.should_refuse("p", 1, capacity)
