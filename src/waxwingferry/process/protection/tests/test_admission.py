"""Tests admission: limit, fair queue, deadlines and estimates."""

import random

import anyio
import pytest

from waxwingferry import invariants
from waxwingferry.process.protection import admission as admissions
from waxwingferry.process.protection import limit as limits
from waxwingferry.process.protection import stated_limit
from waxwingferry.request import calls
from waxwingferry.request import outcome

Ending = admissions.Ending
State = admissions.State


class FakeClock:
    """Clock that the test advances."""

    def __init__(self):
        self.now_s = 1000.0

    def __call__(self) -> float:
        """Returns the time."""
        return self.now_s


def make_warm_admission(
    slots: int, clock: FakeClock, **options
) -> admissions.Admission:
    """Returns an admission whose limit already equals its slots."""
    admission = admissions.Admission(slots, clock=clock, **options)
    admission.limit.value = slots
    return admission


def find_refusal_reason(permit: admissions.Permit) -> outcome.Reason | None:
    """Returns the reason of a refusal, or None."""
    return permit.refusal.reason if permit.refusal else None


@pytest.mark.anyio
@pytest.mark.parametrize("cancel_first", [True, False])
async def test_waiter_cancelled_as_it_is_woken_gives_place_back(
    cancel_first: bool,
) -> None:
    """A waiter cancelled right after its wakeup must not keep the slot."""
    admission = admissions.Admission(slots=1)
    deadline = calls.make_deadline(60)
    first = await admission.acquire("a", deadline)
    assert isinstance(first, admissions.Permit)

    async def run_waiter() -> None:
        permit = await admission.acquire("a", deadline)
        assert isinstance(permit, admissions.Permit)
        admission.release(permit, Ending.ANSWERED)

    async with anyio.create_task_group() as group:
        group.start_soon(run_waiter)
        await anyio.wait_all_tasks_blocked()
        if cancel_first:
            group.cancel_scope.cancel()
        admission.release(first, Ending.ANSWERED)
        group.cancel_scope.cancel()
    assert admission.in_flight == 0


def test_queued_attempt_is_refused_at_its_deadline() -> None:
    """Expired attempts must not fill the queue."""
    clock = FakeClock()
    admission = make_warm_admission(1, clock)
    admission.submit("a", clock.now_s + 9)
    late = admission.submit("a", clock.now_s + 1)
    clock.now_s += 1.5
    admission.advance()
    assert find_refusal_reason(late) is outcome.Reason.DEADLINE_TOO_SHORT
    assert len(admission.queue) == 0


def test_outdated_estimate_does_not_refuse_forever() -> None:
    """Refusals by an old estimate must not prevent its correction.

    If all requests of a route are refused, no answer can update its estimate.
    So one trial request per interval is let through.
    """
    clock = FakeClock()
    admission = make_warm_admission(2, clock)
    for _ in range(20):
        permit = admission.submit("a", clock.now_s + 9, "r")
        clock.now_s += 0.5
        admission.release(permit, Ending.ANSWERED)
    assert find_refusal_reason(admission.submit("a", clock.now_s + 0.1, "r"))
    run = 0
    for _ in range(300):
        clock.now_s += 0.01
        permit = admission.submit("a", clock.now_s + 0.1, "r")
        if permit.state is State.RUNNING:
            run += 1
            admission.release(permit, Ending.ANSWERED)
    assert 1 <= run <= 3


def test_slow_route_does_not_cause_refusals_of_a_fast_one() -> None:
    """Each route needs its own estimate."""
    clock = FakeClock()
    admission = make_warm_admission(2, clock)
    for route, service_s in [("long", 0.5), ("short", 0.002)] * 10:
        permit = admission.submit("a", clock.now_s + 9, route)
        clock.now_s += service_s
        admission.release(permit, Ending.ANSWERED)
    permit = admission.submit("a", clock.now_s + 0.02, "short")
    assert permit.state is State.RUNNING


def test_contended_place_goes_to_work_that_can_end_in_time() -> None:
    """A slot must not go to an attempt likely to miss its deadline."""
    clock = FakeClock()
    admission = make_warm_admission(1, clock)
    for service_s in (0.01, 0.02, 0.03, 0.04) * 4:
        permit = admission.submit("a", clock.now_s + 9, "r")
        clock.now_s += service_s
        admission.release(permit, Ending.ANSWERED)
    first = admission.submit("a", clock.now_s + 9, "r")
    late = admission.submit("a", clock.now_s + 0.09, "r")
    other = admission.submit("a", clock.now_s + 9, "r")
    clock.now_s += 0.065
    admission.release(first, Ending.ANSWERED)
    assert find_refusal_reason(late) is outcome.Reason.DEADLINE_TOO_SHORT
    assert other.state is State.RUNNING


def test_attempts_within_their_objective_go_first() -> None:
    """Under overload, a first-in first-out queue would answer all late."""
    clock = FakeClock()
    admission = make_warm_admission(1, clock)
    for _ in range(4):
        permit = admission.submit("a", clock.now_s + 9, "r")
        clock.now_s += 0.1
        admission.release(permit, Ending.ANSWERED)
    now_s = clock.now_s
    running = admission.submit("a", now_s + 9, "r")
    missed = admission.submit("a", now_s + 9, "r", now_s + 0.15)
    useful = admission.submit("a", now_s + 9, "r", now_s + 0.5)
    clock.now_s += 0.1
    admission.release(running, Ending.ANSWERED)
    assert useful.state is State.RUNNING
    assert missed.state is State.QUEUED
    clock.now_s += 0.1
    admission.release(useful, Ending.ANSWERED)
    assert missed.state is State.RUNNING


def test_higher_priority_goes_first() -> None:
    """With equal objectives, the priority must decide."""
    clock = FakeClock()
    admission = make_warm_admission(1, clock)
    now_s = clock.now_s
    running = admission.submit("a", now_s + 9)
    plain = admission.submit("a", now_s + 9, "", now_s + 0.4, priority=2)
    urgent = admission.submit("a", now_s + 9, "", now_s + 0.4, priority=0)
    admission.release(running, Ending.ANSWERED)
    assert urgent.state is State.RUNNING
    assert plain.state is State.QUEUED


def test_rate_limit_wait_beyond_deadline_is_refused_at_once() -> None:
    """Calls must not wait for a slot that the rate limit gives too late."""
    clock = FakeClock()
    stated = stated_limit.StatedLimit(6, lambda: 4.0, clock)
    stated.set_warmup_left(3.0)
    admission = admissions.Admission(
        6, clock=clock, make_limit=lambda _: stated
    )
    for _ in range(4):
        permit = admission.submit("a", clock.now_s + 9, "r")
        clock.now_s += 0.01
        admission.release(permit, Ending.ANSWERED)
    now_s = clock.now_s
    waiting = [
        admission.submit("a", now_s + 9, "r", now_s + 0.5) for _ in range(8)
    ]
    assert all(item.state is State.QUEUED for item in waiting)
    short = admission.submit("a", now_s + 1.0, "r")
    assert find_refusal_reason(short) is outcome.Reason.DEADLINE_TOO_SHORT
    urgent = admission.submit("a", now_s + 1.0, "r", now_s + 0.3)
    assert urgent.state is State.QUEUED


@pytest.mark.parametrize("seed", range(5))
def test_attempt_is_rejected_by_the_number_ahead_of_it(seed: int) -> None:
    """The shorter check of a long deadline must not decide otherwise."""
    rng = random.Random(seed)
    clock = FakeClock()
    admission = make_warm_admission(2, clock)
    permits = [
        admission.submit(f"m{number % 3}", clock.now_s + 60, "r")
        for number in range(6)
    ]
    decisions = set()
    for _ in range(300):
        # The queue stays long, as one attempt arrives for each that ends.
        clock.now_s += rng.uniform(0.02, 0.1)
        for permit in permits:
            if permit.state is State.RUNNING:
                admission.release(permit, Ending.ANSWERED)
                break
        member = f"m{rng.randrange(3)}"
        permits.append(admission.submit(member, clock.now_s + 60, "r"))
        items = [*admission.queue]
        assert items
        items.append(
            admissions.Permit(
                "r",
                clock.now_s + rng.uniform(-0.1, 0.6),
                clock.now_s,
                clock.now_s + 0.3,
                rng.randrange(3),
                member_queue=admission.queue.find_member_queue("m1"),
            )
        )
        ranks = admission.order.make_ranks(items, clock.now_s)
        wait_s = admission._estimate_wait_s(
            admission.order.count_ahead(items, ranks)
        )
        expected = admission._will_miss_deadline(
            items[-1], clock.now_s, wait_s, False
        )
        decision = admission._should_reject(items, ranks, clock.now_s)
        assert decision is expected
        decisions.add(decision)
    assert decisions == {True, False}


def test_only_the_flooding_member_is_refused() -> None:
    """A flooding member must not take the queue slots of others."""
    clock = FakeClock()
    admission = make_warm_admission(2, clock)
    flood = [admission.submit("flood", clock.now_s + 9) for _ in range(50)]
    light = [admission.submit("light", clock.now_s + 9) for _ in range(2)]
    assert all(permit.refusal is None for permit in light)
    refused = [permit for permit in flood if permit.refusal]
    assert {find_refusal_reason(p) for p in refused} == {
        outcome.Reason.QUEUE_FULL
    }
    for permit in flood[:2]:
        clock.now_s += 0.1
        admission.release(permit, Ending.ANSWERED)
    assert any(permit.state is State.RUNNING for permit in light)


def test_service_time_shares_follow_weights() -> None:
    """Shares must count service time, not requests."""
    clock = FakeClock()
    weights = {"a": 3.0}
    admission = make_warm_admission(
        4, clock, weight=lambda name: weights.get(name, 1.0)
    )
    service_s = {"a": 0.01, "b": 0.04}
    used_s = {"a": 0.0, "b": 0.0}
    open_permits: list[tuple[float, str, admissions.Permit]] = []
    for _ in range(4000):
        for name in service_s:
            while True:
                permit = admission.submit(name, clock.now_s + 60)
                if permit.refusal:
                    break
                open_permits.append((0.0, name, permit))
        now_s = clock.now_s
        open_permits = [
            (permit.started_s + service_s[name], name, permit)
            for _, name, permit in open_permits
            if permit.refusal is None
        ]
        running = [p for p in open_permits if p[2].state is State.RUNNING]
        first = min(running, key=lambda item: item[0])
        clock.now_s = max(now_s, first[0])
        open_permits.remove(first)
        used_s[first[1]] += service_s[first[1]]
        admission.release(first[2], Ending.ANSWERED)
    assert used_s["a"] / used_s["b"] == pytest.approx(3.0, rel=0.1)


def test_number_of_member_queues_is_bounded() -> None:
    """Forged member names must not exhaust memory."""
    clock = FakeClock()
    admission = make_warm_admission(1, clock)
    for number in range(5000):
        permit = admission.submit(f"m{number}", clock.now_s + 1)
        clock.now_s += 0.3
        if permit.state is State.RUNNING:
            admission.release(permit, Ending.ANSWERED)
    assert len(admission.queue.member_queues) <= 257


@pytest.mark.parametrize(("used_s", "held_s"), [(0.001, 0.009), (0.02, 0.1)])
def test_abandoned_work_keeps_its_place_a_while(
    used_s: float, held_s: float
) -> None:
    """The target works on until it notices that the attempt was abandoned."""
    clock = FakeClock()
    admission = make_warm_admission(1, clock)
    for service_s in (0.01, 0.01, 0.01):
        permit = admission.submit("a", clock.now_s + 9)
        clock.now_s += service_s
        admission.release(permit, Ending.ANSWERED)
    first = admission.submit("a", clock.now_s + 9)
    second = admission.submit("a", clock.now_s + 9)
    clock.now_s += used_s
    admission.release(first, Ending.ABANDONED)
    clock.now_s += held_s * 0.99
    admission.advance()
    assert second.state is State.QUEUED
    clock.now_s += 0.2
    admission.advance()
    assert second.state is State.RUNNING


class RandomOperations:
    """Random operations on an admission, which asserts its invariants."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.clock = FakeClock()
        self.reason: outcome.Reason | None = None
        self.admission = admissions.Admission(
            self.rng.randint(1, 9),
            weight=lambda name: {"m0": 3.0}.get(name, 1.0),
            find_closed_reason=lambda: self.reason,
            clock=self.clock,
        )
        self.permits: list[admissions.Permit] = []

    def step(self) -> None:
        """Performs a random operation."""
        rng = self.rng
        self.clock.now_s += rng.expovariate(200)
        operations = [self.submit] * 8 + [self.release] * 7 + [self.cancel]
        rare = [
            self.reset,
            self.resize,
            self.toggle_closed,
            self.admission.advance,
        ]
        rng.choice(rare if rng.random() < 0.05 else operations)()
        self.permits = [p for p in self.permits if p.state is not State.ENDED]
        self.check()

    def check(self) -> None:
        """Checks that no slot is lost or given out twice."""
        states = [permit.state for permit in self.permits]
        assert states.count(State.RUNNING) == self.admission.running
        assert states.count(State.QUEUED) == len(self.admission.queue)
        if self.reason is None and not self.admission.abandoned_until_s:
            idle = self.admission.in_flight < self.admission.limit.value
            self.admission.advance()
            assert not (
                idle and self.admission.running == 0 and self.admission.queue
            )

    def submit(self) -> None:
        """Submits an attempt."""
        rng = self.rng
        self.permits.append(
            self.admission.submit(
                f"m{rng.randrange(5)}",
                self.clock.now_s + rng.choice([0.0, 0.02, 0.2, 2.0]),
                f"r{rng.randrange(3)}",
            )
        )

    def release(self) -> None:
        """Ends an attempt in flight."""
        running = [p for p in self.permits if p.state is State.RUNNING]
        if running:
            normal = self.rng.random() < 0.9
            ending = (
                Ending.ANSWERED if normal else self.rng.choice(list(Ending))
            )
            self.admission.release(self.rng.choice(running), ending)

    def cancel(self) -> None:
        """Cancels an attempt in any state."""
        if self.permits:
            self.admission.withdraw(self.rng.choice(self.permits))

    def reset(self) -> None:
        """Resets the limit for a random cause."""
        self.admission.reset(self.rng.choice(list(limits.ResetCause)))

    def resize(self) -> None:
        """Changes the number of slots."""
        self.admission.resize(self.rng.randint(1, 9))

    def toggle_closed(self) -> None:
        """Closes or reopens the target."""
        self.reason = self.rng.choice(
            [None, outcome.Reason.DOMAIN_OUT, outcome.Reason.LEAVING]
        )


@pytest.mark.parametrize("seed", range(40))
def test_random_interleavings_keep_the_invariants(seed: int) -> None:
    """in_flight <= limit <= slots must hold under any order of events."""
    run = RandomOperations(seed)
    for _ in range(1500):
        run.step()
    run.reason = None
    for permit in run.permits:
        run.admission.withdraw(permit)
    run.clock.now_s += 1
    run.admission.advance()
    assert run.admission.in_flight == 0
    assert len(run.admission.queue) == 0


@pytest.mark.anyio
@pytest.mark.parametrize("seed", range(5))
async def test_random_cancellations_lose_no_place(seed: int) -> None:
    """A task may be cancelled at any point while it waits."""
    rng = random.Random(seed)
    admission = make_warm_admission(3, FakeClock())

    async def run_one(scope: anyio.CancelScope) -> None:
        with scope:
            permit = await admission.acquire("a", calls.make_deadline(1000.0))
            if isinstance(permit, outcome.NotRun):
                return
            try:
                await anyio.lowlevel.checkpoint()
            finally:
                admission.release(permit, Ending.ANSWERED)

    scopes: list[anyio.CancelScope] = []
    async with anyio.create_task_group() as group:
        for _ in range(400):
            scopes.append(anyio.CancelScope())
            group.start_soon(run_one, scopes[-1])
            if rng.random() < 0.4:
                rng.choice(scopes[-10:]).cancel()
            if rng.random() < 0.3:
                await anyio.lowlevel.checkpoint()
    assert admission.in_flight == 0
    assert len(admission.queue) == 0


@pytest.mark.anyio
async def test_deadline_is_converted_to_the_monotonic_clock() -> None:
    """The boot and monotonic clocks differ once a VM was suspended."""
    admission = make_warm_admission(1, FakeClock())
    await admission.acquire("a", calls.make_deadline(1.0))
    async with anyio.create_task_group() as group:
        group.start_soon(admission.acquire, "a", calls.make_deadline(1.0))
        await anyio.lowlevel.checkpoint()
        (permit,) = admission.queue
        assert 0.9 < permit.deadline_s - admission.clock() <= 1.0
        group.cancel_scope.cancel()


class PassingClock:
    """Clock that advances by a millisecond at each reading."""

    def __init__(self):
        self.now_s = 1000.0

    def __call__(self) -> float:
        """Returns the time."""
        self.now_s += 0.001
        return self.now_s


@pytest.mark.parametrize("readings", range(-2, 40))
@pytest.mark.parametrize("queued", [False, True])
def test_a_deadline_that_passes_during_a_decision_ends_no_process(
    readings: int, queued: bool
) -> None:
    """Guards against an assertion that ends a process with all its requests.

    A deadline passed between the check that there is time left and the
    assertion of it. The end of a process took up to 9 requests along.
    """
    clock = PassingClock()
    admission = admissions.Admission(1, clock=clock)
    first = admission.submit("a", clock() + 60) if queued else None
    permit = admission.submit("a", clock.now_s + 0.001 * readings)
    if first is not None:
        admission.release(first, Ending.ANSWERED)
    admission.advance()
    assert permit.state in (State.RUNNING, State.QUEUED, State.ENDED)
    if permit.state is State.RUNNING:
        assert permit.deadline_s > permit.started_s
        admission.release(permit, Ending.NOT_SENT)
    assert admission.running == 0


def test_broken_invariant_ends_only_its_attempt() -> None:
    """Guards against a breach that ends the request which happens to find it.

    Attempts are dispatched when another one is released or submitted. The
    target is closed between the choice of an attempt and its dispatch here.
    """
    clock = FakeClock()
    reasons: list[outcome.Reason | None] = []
    admission = make_warm_admission(
        1, clock, find_closed_reason=lambda: reasons.pop() if reasons else None
    )
    running = admission.submit("a", clock.now_s + 9)
    broken = admission.submit("a", clock.now_s + 9)
    waiting = admission.submit("a", clock.now_s + 9)
    reasons += [outcome.Reason.LEAVING, None]
    admission.release(running, Ending.ANSWERED)
    with pytest.raises(invariants.BrokenInvariantError):
        broken.get_result()
    assert waiting.state is State.RUNNING
    assert admission.in_flight == 1
    admission.release(waiting, Ending.ANSWERED)
    assert admission.in_flight == 0
    assert not admission.queue
    with pytest.raises(invariants.BrokenInvariantError):
        admission.release(waiting, Ending.ANSWERED)
    assert admission.in_flight == 0
