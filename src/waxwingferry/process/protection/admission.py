"""Admission control for one target: a concurrency limit and a fair queue."""

from collections.abc import Callable
import dataclasses
import enum
import math
import time

import anyio

from waxwingferry.process.protection import estimate as estimates
from waxwingferry.process.protection import fairness
from waxwingferry.process.protection import limit as limits
from waxwingferry.process.protection import rate_limit
from waxwingferry.request import calls
from waxwingferry.request import outcome

# Queue bounds per member and in total. One member can't fill the whole queue,
# so bursts of other members still fit while it floods the target.
MEMBER_QUEUE_PER_SLOT = 2
QUEUE_PER_SLOT = 4
# Each priority rank counts like this much extra time until the objective. That
# is about how far the objectives of neighbouring ranks of a service differ.
PRIORITY_STEP_S = 0.1
# Waiting attempts check this often whether the target still accepts work.
RECHECK_INTERVAL_S = 0.25
# Minimum cost of an attempt, so that fair shares also hold before the first
# answer.
MIN_COST_S = 1e-4


class Ending(enum.Enum):
    """Result of a dispatched attempt."""

    ANSWERED = "answered"
    SHED = "shed"
    REFUSED = "refused"
    LOST = "lost"
    ABANDONED = "abandoned"
    NOT_SENT = "not_sent"


class State(enum.Enum):
    """Admission state of an attempt."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@dataclasses.dataclass(slots=True, eq=False)
class Permit:
    """An attempt in the queue or at the target.

    Attributes:
        route: Key of the route for the service time estimate.
        deadline_s: Monotonic time of the deadline.
        submitted_s: Monotonic time of the submission.
        objective_s: Monotonic time of the latency objective.
        priority: Rank of the route; 0 is the most urgent.
        refusal: Reason of the refusal, or None.
        member_queue: Queue of the attempt's member.
        reset_count: Resets of the limit before the dispatch.
        is_trial: Whether it is sent although the estimate is against it.
        in_flight: Attempts in flight just after the dispatch.
        started_s: Monotonic time of the dispatch.
        head_received_s: Monotonic time of the answer's head, 0 if none.
        charged_s: Estimated cost charged to the member at the dispatch.
        event: Set when the state changes.
    """

    route: str
    deadline_s: float
    submitted_s: float
    objective_s: float
    priority: int = 0
    state: State = State.QUEUED
    refusal: outcome.NotRun | None = None
    member_queue: "fairness.MemberQueue[Permit] | None" = None
    reset_count: int = 0
    is_trial: bool = False
    in_flight: int = 0
    started_s: float = 0.0
    head_received_s: float = 0.0
    charged_s: float = 0.0
    event: anyio.Event | None = None

    def record_head(self, now_s: float) -> None:
        """Records when the answer's head came; excludes slow readers' time."""
        self.head_received_s = now_s

    def wake(self) -> None:
        """Wakes the task waiting for this permit."""
        if self.event is not None:
            self.event.set()


_DEFAULT_URGENCY = calls.Urgency()


def _never_closed() -> outcome.Reason | None:
    return None


def _equal_weight(member: str) -> float:
    return 1.0


def _ignore_reset(cause: limits.ResetCause) -> None:
    pass


class Admission:
    """Queues attempts and dispatches them to the target.

    The invariant in_flight <= limit <= slots is asserted at each dispatch.
    An abandoned attempt keeps its slot for a short time, because the target
    works on until it notices the closed connection.

    Args:
        slots: Number of requests that the target can process concurrently.
        weight: Returns the weight of a member.
        find_closed_reason: Returns why the target takes no work, or None.
        on_reset: Called when the limit was reset.
        rule: Growth rule of the default limit.
        make_limit: Creates the limit for a number of slots. Defaults to a
            limit.Limit with the rule.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        slots: int,
        weight: Callable[[str], float] = _equal_weight,
        find_closed_reason: Callable[[], outcome.Reason | None] = _never_closed,
        on_reset: Callable[[limits.ResetCause], None] = _ignore_reset,
        rule: limits.GrowthRule = limits.DEFAULT_RULE,
        clock: Callable[[], float] = time.monotonic,
        make_limit: Callable[[int], limits.Limit] | None = None,
    ):
        self.find_closed_reason = find_closed_reason
        self.on_reset = on_reset
        self.clock = clock
        self.limit = (
            make_limit(slots)
            if make_limit
            else limits.Limit(slots, rule, clock)
        )
        self.queue: fairness.FairQueue[Permit] = fairness.FairQueue(weight)
        self.running = 0
        self.abandoned_until_s: list[float] = []
        # Lower bound of the queued deadlines; saves most scans of the queue.
        self.earliest_deadline_s = math.inf
        self.estimate = estimates.Estimate(clock)
        self.rate_limit = rate_limit.RateLimit(clock)

    @property
    def in_flight(self) -> int:
        """Number of slots in use at the target."""
        return self.running + len(self.abandoned_until_s)

    async def acquire(
        self,
        member: str,
        deadline: calls.Deadline,
        route: str = "",
        urgency: calls.Urgency = _DEFAULT_URGENCY,
    ) -> Permit | outcome.NotRun:
        """Waits for a free slot; returns a refusal if there is none in time."""
        # Deadlines use the boot clock, the queue uses the monotonic clock.
        now_s = self.clock()
        objective = urgency.objective or deadline
        permit = self.submit(
            member,
            now_s + deadline.remaining_s(),
            route,
            now_s + objective.remaining_s(),
            urgency.priority,
        )
        try:
            while permit.state is State.QUEUED:
                permit.event = anyio.Event()
                with anyio.move_on_after(self.find_wait_s(permit)):
                    await permit.event.wait()
                self.advance()
        except BaseException:
            self.withdraw(permit)
            raise
        return permit.refusal or permit

    def submit(
        self,
        member: str,
        deadline_s: float,
        route: str = "",
        objective_s: float = math.inf,
        priority: int = 0,
    ) -> Permit:
        """Queues an attempt and dispatches whatever fits; never waits.

        Args:
            member: Member that the caller belongs to.
            deadline_s: Monotonic time of the deadline.
            route: Route of the attempt.
            objective_s: Monotonic time of the latency objective.
            priority: Rank of the route; 0 is the most urgent.
        """
        self.advance()
        permit = Permit(
            self.estimate.find_route_key(route),
            deadline_s,
            self.clock(),
            min(objective_s, deadline_s),
            priority,
        )
        reason = self.find_closed_reason()
        if reason is None and self._should_reject(permit, member):
            reason = outcome.Reason.DEADLINE_TOO_SHORT
        if reason is None and not self._make_room(member):
            reason = outcome.Reason.QUEUE_FULL
        if reason is not None:
            _refuse(permit, reason)
            return permit
        permit.member_queue = self.queue.push(member, permit)
        self.earliest_deadline_s = min(self.earliest_deadline_s, deadline_s)
        self._dispatch_queued()
        assert len(self.queue) <= QUEUE_PER_SLOT * self.limit.slots
        return permit

    def withdraw(self, permit: Permit) -> None:
        """Cancels an attempt that was not sent to the target."""
        if permit.state is State.QUEUED:
            self._remove_from_queue(permit)
            permit.state = State.ENDED
        elif permit.state is State.RUNNING:
            self.release(permit, Ending.NOT_SENT)

    def release(self, permit: Permit, ending: Ending) -> None:
        """Frees the slot of an attempt and updates the limit and estimate."""
        assert permit.state is State.RUNNING
        assert permit.member_queue is not None
        permit.state = State.ENDED
        self.running -= 1
        used_s = self.clock() - permit.started_s
        unsent = ending in (Ending.NOT_SENT, Ending.SHED, Ending.REFUSED)
        cost_s = 0.0 if unsent else used_s
        self.queue.finish(permit.member_queue, permit.charged_s, cost_s)
        self._record_result(permit, ending, used_s)
        self.advance()

    def resize(self, slots: int) -> None:
        """Sets the number of slots; attempts in flight continue."""
        self.limit.resize(slots)
        self._trim_queue()
        self.advance()

    def reset(self, cause: limits.ResetCause) -> None:
        """Resets the limit; attempts in flight continue."""
        self.limit.reset(cause)
        if cause in limits.COLD_START_CAUSES:
            self.estimate.clear()
        if cause is limits.ResetCause.INCARNATION:
            self.rate_limit.record_statement(None)
        self.on_reset(cause)

    def advance(self) -> None:
        """Refuses expired attempts, then dispatches queued ones."""
        now_s = self.clock()
        if self.abandoned_until_s:
            self.abandoned_until_s = [
                until_s for until_s in self.abandoned_until_s if until_s > now_s
            ]
        self._refuse_expired(now_s)
        self._dispatch_queued()

    def find_wait_s(self, permit: Permit) -> float:
        """Returns how long a queued attempt can wait until advance()."""
        wake_times_s = [permit.deadline_s, *self.abandoned_until_s]
        dispatch_time_s = self.find_dispatch_time_s()
        if math.isfinite(dispatch_time_s):
            wake_times_s.append(dispatch_time_s)
        return min(
            max(min(wake_times_s) - self.clock(), 0.0), RECHECK_INTERVAL_S
        )

    def can_dispatch(self) -> bool:
        """Returns whether one more request can be sent to the target now."""
        if self.in_flight >= self.limit.value:
            return False
        return self.find_dispatch_time_s() <= self.clock()

    def estimate_capacity_per_s(self) -> float:
        """Returns how many requests per second the target can take now."""
        mean_s = max(self.estimate.all.mean(), MIN_COST_S)
        return min(self.limit.value / mean_s, self.limit.find_max_rate_per_s())

    def find_dispatch_time_s(self) -> float:
        """Returns the earliest time that the rate limits allow a request."""
        return max(
            self.limit.find_dispatch_time_s(),
            self.rate_limit.find_dispatch_time_s(),
        )

    def _dispatch_queued(self) -> None:
        while self.queue:
            reason = self.find_closed_reason()
            if reason is not None:
                self._refuse_queued(list(self.queue), reason)
                return
            if not self.can_dispatch():
                return
            cost_s = max(self.estimate.all.mean(), MIN_COST_S)
            permit = self.queue.pop(cost_s, self._rank)
            # The deadline may pass between two readings of the clock.
            now_s = self.clock()
            if self._will_miss_deadline(permit, now_s, 0.0, bool(self.queue)):
                assert permit.member_queue is not None
                self.queue.finish(permit.member_queue, cost_s, 0.0)
                _refuse(permit, outcome.Reason.DEADLINE_TOO_SHORT)
                continue
            self._dispatch(permit, now_s, cost_s)
            self._refuse_overtaken(permit)

    def _refuse_overtaken(self, dispatched: Permit) -> None:
        """Refuses earlier attempts that are unlikely to finish in time."""
        assert dispatched.member_queue is not None
        now_s = self.clock()
        overtaken = [
            permit
            for permit in dispatched.member_queue.items
            if permit.submitted_s <= dispatched.submitted_s
            and self._will_miss_deadline(permit, now_s, 0.0, True)
        ]
        self._refuse_queued(overtaken, outcome.Reason.DEADLINE_TOO_SHORT)

    def _rank(self, permit: Permit) -> tuple[bool, float]:
        """Returns the sort key of an attempt in its member's queue.

        Attempts that can still meet their objective go first, the most urgent
        before the others. The rest gets the remaining slots.
        """
        due_s = permit.objective_s + permit.priority * PRIORITY_STEP_S
        left_s = permit.objective_s - self.clock()
        return not self.estimate.is_likely_within(permit.route, left_s), due_s

    def _dispatch(self, permit: Permit, now_s: float, cost_s: float) -> None:
        self.running += 1
        limit = self.limit
        assert self.in_flight <= limit.value <= limit.slots
        assert self.find_closed_reason() is None
        assert permit.state is State.QUEUED
        assert permit.deadline_s > now_s
        permit.state = State.RUNNING
        permit.reset_count = limit.reset_count
        permit.in_flight = self.in_flight
        permit.started_s = now_s
        permit.charged_s = cost_s
        limit.record_dispatch()
        self.rate_limit.record_dispatch()
        permit.wake()

    def _record_result(
        self, permit: Permit, ending: Ending, used_s: float
    ) -> None:
        match ending:
            case Ending.ANSWERED:
                self.estimate.record(permit.route, used_s)
                head_received_s = permit.head_received_s or self.clock()
                if self.limit.record_answer(
                    permit.reset_count,
                    head_received_s - permit.started_s,
                    permit.in_flight,
                ):
                    self.on_reset(limits.ResetCause.SLOW)
            case Ending.SHED:
                if self.limit.record_shed(permit.reset_count, permit.in_flight):
                    self.on_reset(limits.ResetCause.SHED)
            case Ending.REFUSED | Ending.LOST:
                if permit.reset_count == self.limit.reset_count:
                    lost = ending is Ending.LOST
                    self.reset(
                        limits.ResetCause.LOST
                        if lost
                        else limits.ResetCause.REFUSED
                    )
            case Ending.ABANDONED:
                self._abandon(permit, used_s)

    def _abandon(self, permit: Permit, used_s: float) -> None:
        """Keeps the slot taken while the target may still be working."""
        delay_s = self.estimate.find_cancel_delay_s(permit.route, used_s)
        self.abandoned_until_s.append(self.clock() + delay_s)
        self.estimate.record_abandoned(permit.route, used_s)

    def _should_reject(self, permit: Permit, member: str) -> bool:
        """Returns whether a new attempt is unlikely to finish in time."""
        now_s = self.clock()
        if self.can_dispatch() and not self.queue:
            return self._will_miss_deadline(permit, now_s, 0.0, False)
        mean_s = self.estimate.all.mean()
        member_queue = self.queue.find_member_queue(member)
        ahead = self.queue.count_ahead(member_queue, max(mean_s, MIN_COST_S))
        rank = self._rank(permit)
        ahead -= sum(self._rank(other) > rank for other in member_queue.items)
        wait_s = (ahead + 1) * mean_s / self.limit.value
        wait_s = max(
            wait_s,
            self.limit.estimate_rate_limit_wait_s(ahead),
            self.rate_limit.estimate_wait_s(ahead),
        )
        return self._will_miss_deadline(permit, now_s, wait_s, False)

    def _will_miss_deadline(
        self, permit: Permit, now_s: float, wait_s: float, contended: bool
    ) -> bool:
        left_s = permit.deadline_s - now_s
        if left_s <= 0:
            return True
        if permit.is_trial:
            return False
        initial_s = permit.deadline_s - permit.submitted_s
        if not self.estimate.should_refuse(
            permit.route, left_s - wait_s, initial_s, contended
        ):
            return False
        permit.is_trial = self.estimate.try_take_trial(permit.route)
        return not permit.is_trial

    def _make_room(self, member: str) -> bool:
        """Makes room for one more attempt; returns whether there is any."""
        if self.can_dispatch() and not self.queue:
            return True
        arriving = self.queue.find_member_queue(member)
        if len(arriving.items) >= MEMBER_QUEUE_PER_SLOT * self.limit.slots:
            return False
        if len(self.queue) < QUEUE_PER_SLOT * self.limit.slots:
            return True
        largest = self.queue.find_largest(arriving)
        if largest is arriving:
            return False
        self._evict_newest(largest)
        return True

    def _evict_newest(
        self, member_queue: "fairness.MemberQueue[Permit]"
    ) -> None:
        newest = member_queue.items[-1]
        self.queue.remove(member_queue, newest)
        _refuse(newest, outcome.Reason.QUEUE_FULL)

    def _trim_queue(self) -> None:
        while len(self.queue) > QUEUE_PER_SLOT * self.limit.slots:
            member_queue = next(iter(self.queue)).member_queue
            assert member_queue is not None
            self._evict_newest(self.queue.find_largest(member_queue))

    def _refuse_expired(self, now_s: float) -> None:
        if now_s < self.earliest_deadline_s:
            return
        expired = [p for p in self.queue if p.deadline_s <= now_s]
        self._refuse_queued(expired, outcome.Reason.DEADLINE_TOO_SHORT)
        self.earliest_deadline_s = min(
            (permit.deadline_s for permit in self.queue), default=math.inf
        )

    def _refuse_queued(
        self, permits: list[Permit], reason: outcome.Reason
    ) -> None:
        for permit in permits:
            self._remove_from_queue(permit)
            _refuse(permit, reason)

    def _remove_from_queue(self, permit: Permit) -> None:
        assert permit.member_queue is not None
        self.queue.remove(permit.member_queue, permit)


def _refuse(permit: Permit, reason: outcome.Reason) -> None:
    permit.state = State.ENDED
    permit.refusal = outcome.NotRun(reason)
    permit.wake()
