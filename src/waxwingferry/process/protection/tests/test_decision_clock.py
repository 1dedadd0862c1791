"""Admission while the clock moves on between any two readings.

A deadline that passed between two readings once ended processes.
"""

import hypothesis
from hypothesis import strategies
import pytest

from waxwingferry.process.protection import admission as admissions
from waxwingferry.process.protection import stated_limit
from waxwingferry.request import outcome

Ending = admissions.Ending
State = admissions.State

LEFT_S = (-1e9, -1.0, -1e-3, 0.0, 1e-4, 1e-3, 5e-3, 0.01, 1.0, 1e12)
PAUSES_S = (0.0, 1e-9, 1e-4, 3e-3, 0.011, 0.3, 10.0, 3600.0)
RATES_PER_S = (None, 0.0, 0.3, 7.0, 1 / 3, 1e6)


class PausingClock:
    """Clock that moves on before each reading, as a paused process sees it.

    Attributes:
        readings: Number of readings.
    """

    def __init__(self, pauses_s: list[float]):
        self.now_s = 1000.0
        self.pauses_s = pauses_s
        self.readings = 0

    def __call__(self) -> float:
        """Returns the time."""
        self.now_s += self.pauses_s[self.readings % len(self.pauses_s)]
        self.readings += 1
        return self.now_s


def make_admission(
    clock: PausingClock, slots: int, is_stated: bool
) -> admissions.Admission:
    """Returns an admission whose decisions all use the clock."""

    def make_limit(slots: int) -> stated_limit.StatedLimit:
        return stated_limit.StatedLimit(slots, lambda: 7.0, clock)

    return admissions.Admission(
        slots, clock=clock, make_limit=make_limit if is_stated else None
    )


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["submit"] * 4 + ["release", "advance", "rate", "resize", "warm"]
        ),
        strategies.integers(0, 1000),
    ),
    min_size=5,
    max_size=60,
)


@hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    STEPS,
    strategies.lists(
        strategies.sampled_from(PAUSES_S), min_size=1, max_size=30
    ),
    strategies.booleans(),
)
def test_no_pause_breaks_an_invariant(
    steps: list[tuple[str, int]], pauses_s: list[float], is_stated: bool
) -> None:
    """Guards against a decision that a later reading contradicts."""
    clock = PausingClock(pauses_s)
    admission = make_admission(clock, 2, is_stated)
    permits: list[admissions.Permit] = []
    for name, number in steps:
        running = [item for item in permits if item.state is State.RUNNING]
        match name:
            case "submit":
                left_s = LEFT_S[number % len(LEFT_S)]
                route = "r" if number % 2 else "s"
                permits.append(
                    admission.submit("m", clock.now_s + left_s, route)
                )
            case "release" if running:
                ending = list(Ending)[number % len(Ending)]
                admission.release(running[number % len(running)], ending)
            case "advance":
                admission.advance()
            case "rate":
                rate_per_s = RATES_PER_S[number % len(RATES_PER_S)]
                admission.rate_limit.record_statement(rate_per_s)
            case "resize":
                admission.resize(1 + number % 4)
            case "warm" if is_stated:
                assert isinstance(admission.limit, stated_limit.StatedLimit)
                admission.limit.set_warmup_left(number / 100)
        for permit in permits:
            # Raises the error of a broken invariant.
            permit.get_result()
            if permit.state is State.RUNNING:
                assert permit.started_s < permit.deadline_s
        running = [item for item in permits if item.state is State.RUNNING]
        assert admission.running == len(running)


@pytest.mark.parametrize("is_stated", [False, True])
@pytest.mark.parametrize("left_s", LEFT_S)
def test_a_decision_reads_the_clock_once(
    is_stated: bool, left_s: float
) -> None:
    """Guards against a decision whose parts go by different times."""
    clock = PausingClock([1e-3])
    admission = make_admission(clock, 1, is_stated)
    admission.rate_limit.record_statement(5.0)
    clock.now_s += 60.0
    permits: list[admissions.Permit] = []

    def submit(member: str, left_s: float) -> None:
        permits.append(admission.submit(member, clock.now_s + left_s, "r"))

    def release() -> None:
        for permit in permits:
            if permit.state is State.RUNNING:
                admission.release(permit, Ending.ANSWERED)
                return
        clock()

    for call in (
        lambda: submit("m", left_s),
        lambda: submit("n", 5.0),
        lambda: submit("n", 5.0),
        admission.advance,
        admission.can_dispatch,
        lambda: admission.resize(1),
        release,
    ):
        clock.readings = 0
        call()
        assert clock.readings == 1


def test_attempt_is_refused_if_its_deadline_passes_before_the_decision() -> (
    None
):
    """Guards against a dispatch after the deadline."""
    clock = PausingClock([0.011])
    admission = make_admission(clock, 1, False)
    permit = admission.submit("m", clock.now_s + 0.01)
    assert permit.refusal == outcome.NotRun(outcome.Reason.DEADLINE_TOO_SHORT)
    assert admission.in_flight == 0
