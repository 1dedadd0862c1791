"""Tests the rate limit that a target states."""

import heapq
import random

import pytest
import structlog.testing

from waxwingferry.process.protection import admission as admissions
from waxwingferry.process.protection import stated_limit
from waxwingferry.process.tests import fakes

WINDOW_S = 4.0
# The operators' bound: one and a half times the stated rate in any window, and
# five requests, from three seconds after the first statement. A request counts
# if it is sent half a second after the statement was passed on, or later.
MAX_EXCESS_FACTOR = 1.5
MAX_EXCESS_REQUESTS = 5
SETTLING_S = 3.0
NOTICE_S = 0.5


class Load:
    """Requests that arrive at random at one target's admission.

    Attributes:
        sent_s: Times at which requests were sent to the target.
    """

    def __init__(self, seed: int, slots: int = 6):
        self.rng = random.Random(seed)
        self.clock = fakes.Clock(0.0)
        self.admission = admissions.Admission(
            slots,
            clock=self.clock,
            make_limit=lambda slots: stated_limit.StatedLimit(
                slots, lambda: 7.0, self.clock
            ),
        )
        self.sent_s: list[float] = []
        self.seen: set[int] = set()
        self.waiting: list[admissions.Permit] = []
        self.endings: list[tuple[float, int, admissions.Permit]] = []

    def run(self, duration_s: float, arrivals_per_s: float) -> None:
        """Lets requests arrive for some time."""
        end_s = self.clock.now_s + duration_s
        next_s = self.clock.now_s
        while self.clock.now_s < end_s:
            self.clock.now_s += 0.01
            while self.endings and self.endings[0][0] <= self.clock.now_s:
                _, _, permit = heapq.heappop(self.endings)
                self.admission.release(permit, admissions.Ending.ANSWERED)
            self.admission.advance()
            while next_s <= self.clock.now_s:
                next_s += self.rng.expovariate(arrivals_per_s)
                self.waiting.append(
                    self.admission.submit("", self.clock.now_s + 2.0)
                )
            self._record_dispatched()

    def _record_dispatched(self) -> None:
        still_waiting = []
        for permit in self.waiting:
            if permit.state is admissions.State.RUNNING:
                self.sent_s.append(self.clock.now_s)
                ends_s = self.clock.now_s + self.rng.uniform(0.05, 0.4)
                item = (ends_s, len(self.sent_s), permit)
                heapq.heappush(self.endings, item)
            elif permit.state is admissions.State.QUEUED:
                still_waiting.append(permit)
        self.waiting = still_waiting

    def find_busiest_window(self, stated_s: float) -> int:
        """Returns the most requests counted in one window."""
        counted = [t for t in self.sent_s if t >= stated_s + NOTICE_S]
        ends = [t for t in counted if t >= stated_s + SETTLING_S]
        return max(
            (sum(end - WINDOW_S < t <= end for t in counted) for end in ends),
            default=0,
        )


# A target that states a rate got what arrived, up to its slots.
@pytest.mark.parametrize("rate_per_s", [0.5, 2.1, 3.5, 8.0])
def test_a_target_gets_no_more_than_the_rate_that_it_states(rate_per_s):
    """Guards against more requests than the target says that it takes."""
    allowed = MAX_EXCESS_FACTOR * rate_per_s * WINDOW_S + MAX_EXCESS_REQUESTS
    for seed in range(1, 7):
        load = Load(seed)
        load.run(6.0, 15.0)
        load.admission.rate_limit.record_statement(rate_per_s)
        load.run(20.0, 15.0)
        busiest = load.find_busiest_window(stated_s=6.0)
        assert busiest <= allowed, f"seed {seed}"


@pytest.mark.parametrize("rate_per_s", [0.5, 2.1, 3.5, 8.0])
def test_a_target_gets_most_of_the_rate_that_it_states(rate_per_s):
    """Guards against a limit that wastes what the target would take."""
    for seed in range(1, 7):
        load = Load(seed)
        load.admission.rate_limit.record_statement(rate_per_s)
        load.run(20.0, 15.0)
        assert len(load.sent_s) >= 0.8 * rate_per_s * 20.0, f"seed {seed}"


def test_the_end_of_the_statement_ends_the_limit():
    """Guards against holding back requests that the target takes again."""
    load = Load(1)
    load.admission.rate_limit.record_statement(0.5)
    load.run(5.0, 15.0)
    load.admission.rate_limit.record_statement(None)
    before = len(load.sent_s)
    load.run(4.0, 15.0)
    assert len(load.sent_s) - before >= 40


def test_a_target_that_takes_nothing_gets_only_rare_requests():
    """Guards against never learning that the limit has ended."""
    load = Load(1)
    load.admission.rate_limit.record_statement(0.0)
    load.run(20.0, 15.0)
    assert 1 <= len(load.sent_s) <= MAX_EXCESS_REQUESTS


def test_a_changed_statement_does_not_refill_the_burst():
    """Guards against a burst each time that the stated rate changes."""
    load = Load(1)
    load.run(2.0, 1.0)
    load.sent_s.clear()
    for step in range(100):
        load.admission.rate_limit.record_statement(3.0 + 0.1 * (step % 2))
        load.run(0.1, 30.0)
    assert len(load.sent_s) <= 3.1 * 10.0 + 3.1


def test_a_rate_that_falls_is_not_reported_as_excess():
    """Guards against a warning about requests that the earlier rate allowed."""
    load = Load(1)
    load.admission.rate_limit.record_statement(8.0)
    load.run(10.0, 15.0)
    with structlog.testing.capture_logs() as logs:
        load.admission.rate_limit.record_statement(1.0)
        load.run(10.0, 15.0)
    assert [entry["event"] for entry in logs] == ["target states a rate limit"]


def test_a_request_that_can_not_be_sent_in_time_is_refused_at_once():
    """Guards against queueing behind a rate that is too low until a timeout."""
    load = Load(1)
    load.clock.now_s += stated_limit.RATE_WINDOW_S
    for _ in range(20):
        permit = load.admission.submit("", load.clock.now_s + 2.0)
        load.clock.now_s += 0.1
        load.admission.release(permit, admissions.Ending.ANSWERED)
    load.admission.rate_limit.record_statement(0.5)
    permits = [
        load.admission.submit("", load.clock.now_s + 3.0) for _ in range(4)
    ]
    assert [permit.state for permit in permits] == [
        admissions.State.QUEUED,
        admissions.State.ENDED,
        admissions.State.ENDED,
        admissions.State.ENDED,
    ]
