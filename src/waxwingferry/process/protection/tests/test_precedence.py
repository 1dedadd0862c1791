"""Tests the order of dispatch and eviction among waiting attempts."""

import collections
from collections.abc import Callable
import functools
import heapq
import itertools
import random

import pytest

from waxwingferry.process.protection import admission as admissions
from waxwingferry.process.protection import precedence
from waxwingferry.process.protection import stated_limit
from waxwingferry.process.protection.tests import test_admission
from waxwingferry.request import outcome

Ending = admissions.Ending
State = admissions.State
find_refusal_reason = test_admission.find_refusal_reason


def make_admission(slots: int, **options) -> admissions.Admission:
    """Returns an admission without warm-up."""
    return test_admission.make_warm_admission(
        slots, test_admission.FakeClock(), **options
    )


def run_attempts(admission: admissions.Admission, times_s, route="r") -> None:
    """Runs one attempt after the other, to fill the estimate."""
    for service_s in times_s:
        permit = admission.submit("warm", admission.clock() + 99, route)
        admission.clock.now_s += service_s  # type: ignore[attr-defined]
        admission.release(permit, Ending.ANSWERED)


def test_urgent_attempt_goes_before_those_of_other_members() -> None:
    """Load pattern: 82 members queue at once, each with one attempt or two.

    The earliest virtual start decided, so priority had no effect.
    """
    admission = make_admission(41)
    now_s = admission.clock()
    running = [admission.submit("x", now_s + 9) for _ in range(41)]
    for number in range(82):
        admission.submit(f"m{number}", now_s + 9, "", now_s + 0.5, 2)
    urgent = admission.submit("late", now_s + 9, "", now_s + 0.5, 0)
    admission.release(running[0], Ending.ANSWERED)
    assert urgent.state is State.RUNNING


def test_nested_call_goes_before_urgent_external_ones() -> None:
    """Load pattern: external bursts, in which parents' work would be lost."""
    admission = make_admission(1)
    now_s = admission.clock()
    running = admission.submit("a", now_s + 9)
    external = admission.submit("a", now_s + 9, "", now_s + 0.2, 0)
    nested = admission.submit("b", now_s + 9, "", now_s + 5, 3, depth=2)
    admission.release(running, Ending.ANSWERED)
    assert nested.state is State.RUNNING
    assert external.state is State.QUEUED


def test_shorter_work_goes_first_at_equal_urgency() -> None:
    """Load pattern: a burst of requests of different work."""
    admission = make_admission(1)
    run_attempts(admission, [0.1] * 5, "long")
    run_attempts(admission, [0.01] * 5, "short")
    now_s = admission.clock()
    running = admission.submit("a", now_s + 9)
    step_s = precedence.URGENCY_STEP_S
    due_s = (now_s + 1) // step_s * step_s
    admission.submit("a", now_s + 9, "long", due_s + 0.01)
    short = admission.submit("a", now_s + 9, "short", due_s + 0.02)
    admission.release(running, Ending.ANSWERED)
    assert short.state is State.RUNNING


def test_full_queue_refuses_the_least_urgent_attempt() -> None:
    """Load pattern: a burst fills the queue before urgent requests arrive.

    The newest attempt was refused, whatever its urgency.
    """
    admission = make_admission(1)
    now_s = admission.clock()
    admission.submit("a", now_s + 9)
    queued = [
        admission.submit("a", now_s + 9, "", now_s + 1, 1 + (number == 2))
        for number in range(4)
    ]
    # The least urgent attempt is the only one, and the floor share is its.
    admission.order.served.shares = {1: 0.5, 2: 0.9}
    urgent = admission.submit("a", now_s + 9, "", now_s + 1, 0, 1, "id7")
    assert urgent.state is State.QUEUED
    assert find_refusal_reason(queued[2]) is outcome.Reason.DISPLACED
    assert queued[2].refusal is not None
    assert queued[2].refusal.details["displaced_by"] == "id7"
    assert queued[2].refusal.details["priority"] == 2
    later = admission.submit("a", now_s + 9, "", now_s + 3, 2)
    assert find_refusal_reason(later) is outcome.Reason.QUEUE_FULL


def test_sole_member_fills_the_queue_and_gives_places_back() -> None:
    """Load pattern: all external requests of a service are of one member.

    Half of its queue was never used. Other members must still fit. Without an
    objective, the longer queue answered fewer requests in time.
    """
    admission = make_admission(3)
    now_s = admission.clock()
    permits = [admission.submit("a", now_s + 9) for _ in range(9)]
    refused = admission.submit("a", now_s + 9)
    assert find_refusal_reason(refused) is outcome.Reason.QUEUE_FULL
    permits += [
        admission.submit("a", now_s + 9, "", now_s + 8) for _ in range(6)
    ]
    assert len(admission.queue) == 12
    later = admission.submit("a", now_s + 9, "", now_s + 8.5)
    assert find_refusal_reason(later) is None
    others = [admission.submit(f"b{i}", now_s + 9) for i in range(6)]
    assert all(other.state is State.QUEUED for other in others)
    assert len(admission.queue) == 12
    permits.append(later)
    reasons = collections.Counter(map(find_refusal_reason, permits))
    # One attempt was displaced by a more urgent one of its own member.
    assert reasons[outcome.Reason.DISPLACED] == 1
    assert reasons[outcome.Reason.QUEUE_FULL] == 6


def test_member_within_its_share_is_not_evicted_for_one_over_it() -> None:
    """Load pattern: a member floods with urgent and nested requests."""
    admission = make_admission(2)
    run_attempts(admission, [0.1] * 5)
    now_s = admission.clock()
    running = [admission.submit("flood", now_s + 9) for _ in range(4)]
    light = [
        admission.submit(f"m{i}", now_s + 9, "", now_s + 5, 3) for i in "abcdef"
    ]
    admission.queue.member_queues["flood"].virtual_start += 9
    flood = [
        admission.submit("flood", now_s + 9, "", now_s + 1, 0, 2)
        for _ in range(9)
    ]
    assert all(permit.state is State.QUEUED for permit in light)
    assert all(permit.refusal for permit in flood[2:])
    admission.release(running[0], Ending.ANSWERED)
    assert any(permit.state is State.RUNNING for permit in light)


class Model:
    """Poisson arrivals of several kinds at a target with 3 slots."""

    def __init__(self, kinds: list[tuple], load: float, seconds: float = 60.0):
        """Runs the model.

        Args:
            kinds: Member, share of the arrivals, service time, priority and
                objective of each kind.
            load: Arrivals relative to the capacity.
            seconds: Length of the run.
        """
        self.clock = test_admission.FakeClock()
        self.admission = admissions.Admission(
            3,
            clock=self.clock,
            make_limit=lambda n: stated_limit.StatedLimit(
                n, lambda: 1e9, self.clock
            ),
        )
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.open: list[tuple[int, admissions.Permit]] = []
        self.kinds = kinds
        self.arrived = [0] * len(kinds)
        self.served = [0] * len(kinds)
        rng = random.Random(7)
        mean_s = sum(kind[1] * kind[2] for kind in kinds)
        now_s = self.clock()
        while now_s < 1000 + seconds:
            now_s += rng.expovariate(load * 3 / mean_s)
            index = rng.choices(range(len(kinds)), [kind[1] for kind in kinds])[
                0
            ]
            self.at(now_s, functools.partial(self.arrive, index))
        while self.events:
            self.clock.now_s, _, action = heapq.heappop(self.events)
            action()
            self.start_dispatched()

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        heapq.heappush(self.events, (at_s, next(self.sequence), action))

    def arrive(self, index: int) -> None:
        """Submits an attempt of a kind."""
        member, _, _, priority, objective_s = self.kinds[index]
        now_s = self.clock()
        self.arrived[index] += 1
        permit = self.admission.submit(
            member, now_s + 1.5, f"r{index}", now_s + objective_s, priority
        )
        self.open.append((index, permit))

    def start_dispatched(self) -> None:
        """Starts the dispatched attempts."""
        for index, permit in self.open:
            if permit.state is State.RUNNING:
                self.served[index] += 1
                end_s = self.clock() + self.kinds[index][2]
                self.at(end_s, functools.partial(self.finish, permit))
        self.open = [
            item for item in self.open if item[1].state is State.QUEUED
        ]

    def finish(self, permit: admissions.Permit) -> None:
        """Ends an attempt that was answered."""
        self.admission.release(permit, Ending.ANSWERED)

    def find_shares(self) -> list[float]:
        """Returns the served share of each kind."""
        return [
            served / arrived
            for served, arrived in zip(self.served, self.arrived, strict=True)
        ]


@pytest.mark.parametrize("load", [0.7, 1.2, 2.5])
@pytest.mark.parametrize(
    "kinds",
    [
        [(0.3, 0.2, 0, 0.3), (0.4, 0.015, 1, 0.4), (0.3, 0.015, 2, 0.5)],
        [(0.6, 0.05, 0, 0.3), (0.37, 0.05, 1, 0.4), (0.03, 0.01, 2, 0.5)],
        [(0.4, 0.05, 0, 1.0), (0.3, 0.05, 1, 0.5), (0.3, 0.05, 2, 0.3)],
    ],
    ids=["urgent long", "rare least urgent", "later objectives"],
)
def test_less_urgent_kind_is_not_served_more_often(kinds, load) -> None:
    """Load pattern: lasting overload by kinds of different work.

    Urgent long requests miss their objectives first, and starved.
    """
    shares = Model([("a", *kind) for kind in kinds], load).find_shares()
    for urgent, other in itertools.combinations(shares, 2):
        assert other - urgent < 0.05, shares


def test_least_urgent_kind_gets_the_floor_share() -> None:
    """Load pattern: lasting overload by an urgent kind alone."""
    kinds = [("a", 0.5, 0.05, 0, 0.3), ("a", 0.5, 0.05, 3, 0.3)]
    model = Model(kinds, 4.0)
    assert model.served[1] / sum(model.served) >= 0.05


def test_hopeless_attempts_do_not_count_against_a_kind() -> None:
    """Load pattern: repeats of urgent requests come with too little time.

    Less urgent attempts would come after all others although there is room.
    """
    admission = make_admission(2)
    run_attempts(admission, [0.05] * 20)
    for _ in range(20):
        now_s = admission.clock()
        admission.submit("a", now_s + 0.01, "r", now_s + 0.01, 0)
    assert admission.order.served.shares == {0: 1.0}


def test_flood_leaves_82_members_their_shares() -> None:
    """Load pattern: one member floods, a few are large and many are small.

    Eviction and order by urgency over all members must keep fair shares. The
    flooding member counts for the average.
    """
    kinds: list[tuple] = [("flood", 300.0, 0.05, 0, 0.3)]
    kinds += [(f"large{i}", 4.0, 0.05, 1, 0.4) for i in range(4)]
    kinds += [(f"m{i}", 1.0, 0.05, 2, 0.5) for i in range(77)]
    total = sum(kind[1] for kind in kinds)
    kinds = [(name, n / total, *rest) for name, n, *rest in kinds]
    shares = Model(kinds, 4.0, 100.0).find_shares()
    assert min(shares[1:]) > sum(shares) / len(shares) / 4


def test_slow_phase_leaves_no_wrong_estimate() -> None:
    """Load pattern: a machine that is 7 times slower for half a second."""
    slowness = [1.0]
    admission = make_admission(1, find_slowness=lambda: slowness[0])
    run_attempts(admission, [0.05] * 5)
    slowness[0] = 7.0
    run_attempts(admission, [0.35] * 8)
    slowness[0] = 1.0
    assert admission.estimate.find_work_s("r") == pytest.approx(0.05)


def test_attempt_without_enough_time_in_a_slow_phase_is_refused() -> None:
    """Load pattern: the target turns slow while attempts wait."""
    slowness = [1.0]
    admission = make_admission(1, find_slowness=lambda: slowness[0])
    run_attempts(admission, [0.05] * 5)
    now_s = admission.clock()
    admission.submit("a", now_s + 9, "r")
    short = admission.submit("a", now_s + 0.2, "r")
    other = admission.submit("a", now_s + 9, "r")
    slowness[0] = 7.0
    admission.advance()
    assert find_refusal_reason(short) is outcome.Reason.DEADLINE_TOO_SHORT
    assert other.state is State.QUEUED


def test_evicted_attempt_is_the_last_in_order() -> None:
    """Load pattern: a full queue; eviction must not contradict the order."""
    rng = random.Random(3)
    for _ in range(200):
        ranks = [
            precedence.make_rank(
                False,
                rng.choice([1, 2]),
                0,
                rng.random() < 0.5,
                precedence.find_due(rng.random(), rng.randrange(3)),
                rng.random(),
            )
            for _ in range(9)
        ]
        index = precedence.find_evicted(ranks, ["a"] * 9, {"a"})
        assert ranks[index] == max(ranks)
        assert ranks[precedence.find_first(ranks)] == min(ranks)
