"""Tests of the estimate how long callers have waited, with a given clock."""

import random

from waxwingferry.request import caller_age


class Clock:
    """A clock that the test sets."""

    now_s = 100.0

    def __call__(self) -> float:
        """Returns the time."""
        return self.now_s


def test_callers_that_come_back_in_a_burst_are_told_from_new_ones():
    """Returning callers must not count as able to meet their objective."""
    rng = random.Random(1)
    ages = caller_age.CallerAges(Clock())
    for _ in range(200):
        ages.estimate_age_s("route", 1.5 * rng.uniform(0.87, 1.0))
    for _ in range(200):
        start_s = 1.5 * rng.uniform(0.87, 1.0)
        assert ages.estimate_age_s("route", start_s) == 0.0
        waited_s = rng.uniform(0.35, 1.0)
        age_s = ages.estimate_age_s("route", start_s - waited_s)
        assert abs(age_s - waited_s) <= 1.5 * 0.1 + 0.01


def test_routes_and_first_callers_are_independent():
    """A route with long waits must not make other callers look old."""
    ages = caller_age.CallerAges(Clock())
    assert ages.estimate_age_s("slow", 10.0) == 0.0
    assert ages.estimate_age_s("fast", 1.0) == 0.0


def test_longest_time_is_forgotten_when_callers_change():
    """Callers with shorter waits since a change count as new after a while."""
    clock = Clock()
    ages = caller_age.CallerAges(clock)
    ages.estimate_age_s("route", 10.0)
    clock.now_s += caller_age.SPAN_S
    assert ages.estimate_age_s("route", 1.0) > 0
    clock.now_s += 2 * caller_age.SPAN_S
    assert ages.estimate_age_s("route", 1.0) == 0.0


def test_number_of_routes_is_bounded():
    """Names of routes must not fill the memory."""
    ages = caller_age.CallerAges(Clock())
    for number in range(caller_age.MAX_ROUTES + 10):
        ages.estimate_age_s(f"route-{number}", 1.0)
    assert len(ages.longest_s) == caller_age.MAX_ROUTES
