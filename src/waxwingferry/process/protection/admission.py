"""Admission control for one target: a concurrency limit and a fair queue."""

from collections.abc import Callable
import math
import time

import anyio

from waxwingferry import invariants
from waxwingferry.process.protection import admission_defaults as defaults
from waxwingferry.process.protection import decision_clock
from waxwingferry.process.protection import dispatch_check
from waxwingferry.process.protection import estimate as estimates
from waxwingferry.process.protection import fairness
from waxwingferry.process.protection import limit as limits
from waxwingferry.process.protection import load_shedding
from waxwingferry.process.protection import permits
from waxwingferry.process.protection import precedence
from waxwingferry.process.protection import rate_limit
from waxwingferry.process.protection import waiting_order
from waxwingferry.request import calls
from waxwingferry.request import outcome

# Waiting attempts check this often whether the target still accepts work.
RECHECK_INTERVAL_S = 0.25

Ending = permits.Ending
State = permits.State
Permit = permits.Permit

_DEFAULT_URGENCY = calls.Urgency()


class Admission:
    """Queues attempts and dispatches them to the target.

    The invariant in_flight <= limit <= slots is checked at each dispatch.
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
        clock: Returns the monotonic time in seconds. A decision reads it once.
        find_slowness: Returns the target's present service time relative to
            normal, 1 if it is not known.
    """

    def __init__(
        self,
        slots: int,
        weight: Callable[[str], float] = defaults.equal_weight,
        find_closed_reason: Callable[
            [], outcome.Reason | None
        ] = defaults.never_closed,
        on_reset: Callable[[limits.ResetCause], None] = defaults.ignore_reset,
        rule: limits.GrowthRule = limits.DEFAULT_RULE,
        clock: Callable[[], float] = time.monotonic,
        make_limit: Callable[[int], limits.Limit] | None = None,
        find_slowness: Callable[[], float] = defaults.report_normal_speed,
    ):
        self.find_closed_reason = find_closed_reason
        self.on_reset = on_reset
        self.clock = clock
        self.now = decision_clock.DecisionClock(clock)
        self.limit = (
            make_limit(slots)
            if make_limit
            else limits.Limit(slots, rule, clock)
        )
        if self.limit.clock is clock:
            self.limit.clock = self.now
        self.queue: fairness.FairQueue[Permit] = fairness.FairQueue(weight)
        self.running = 0
        self.abandoned_until_s: list[float] = []
        # Lower bound of the queued deadlines; saves most scans of the queue.
        self.earliest_deadline_s = math.inf
        self.find_slowness = find_slowness
        self.checked_slowness = 1.0
        self.estimate = estimates.Estimate(
            self.now, find_slowness=find_slowness
        )
        self.order = waiting_order.WaitingOrder(
            self.queue, self.estimate, self.limit
        )
        self.rate_limit = rate_limit.RateLimit(self.now)

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
        depth: int = 1,
        request_id: str = "",
    ) -> Permit | outcome.NotRun:
        """Waits for a free slot; returns a refusal if there is none in time.

        The deadline may move during the wait.
        """
        # Deadlines use the boot clock, the queue uses the monotonic clock.
        now_s = self.now()
        end_s = deadline.end_s
        objective = urgency.objective
        permit = self.submit(
            member,
            now_s + deadline.remaining_s(),
            route,
            now_s + objective.remaining_s() if objective else math.inf,
            urgency.priority,
            depth,
            request_id,
        )
        try:
            while permit.state is State.QUEUED:
                permit.event = anyio.Event()
                with anyio.move_on_after(self.find_wait_s(permit)):
                    await permit.event.wait()
                if deadline.end_s != end_s:
                    end_s = deadline.end_s
                    self.move_deadline(
                        permit, self.now() + deadline.remaining_s()
                    )
                self.advance()
        except BaseException:
            self.withdraw(permit)
            raise
        return permit.get_result()

    @decision_clock.decision
    def submit(
        self,
        member: str,
        deadline_s: float,
        route: str = "",
        objective_s: float = math.inf,
        priority: int = 0,
        depth: int = 1,
        request_id: str = "",
    ) -> Permit:
        """Queues an attempt and dispatches whatever fits; never waits.

        Args:
            member: Member that the caller belongs to.
            deadline_s: Monotonic time of the deadline.
            route: Route of the attempt.
            objective_s: Monotonic time of the latency objective.
            priority: Rank of the route; 0 is the most urgent.
            depth: Depth of the call; more than 1 for a nested call.
            request_id: ID of the request for log lines.
        """
        self.advance()
        permit = Permit(
            self.estimate.find_route_key(route),
            deadline_s,
            self.now(),
            min(objective_s, deadline_s),
            priority,
            depth,
            request_id,
            member_queue=self.queue.find_member_queue(member),
        )
        self._refuse_or_make_room(permit)
        if permit.state is State.ENDED:
            return permit
        permit.member_queue = self.queue.push(member, permit)
        self.earliest_deadline_s = min(self.earliest_deadline_s, deadline_s)
        self._dispatch_queued()
        fits = len(self.queue) <= precedence.QUEUE_PER_SLOT * self.limit.slots
        if not fits:
            self.withdraw(permit)
        invariants.require(fits, "queue_length", len(self.queue))
        return permit

    @decision_clock.decision
    def move_deadline(self, permit: Permit, deadline_s: float) -> None:
        """Moves the deadline of an attempt that waits.

        Load pattern: an entry node stops, and the process is killed before the
        deadlines of its calls. Those that can be served in time keep their
        places; the others are refused now, so that they can turn elsewhere.
        """
        if permit.state is not State.QUEUED:
            return
        permit.move_deadline(deadline_s)
        self.earliest_deadline_s = min(self.earliest_deadline_s, deadline_s)
        now_s = self.now()
        items = [item for item in self.queue if item is not permit] + [permit]
        ranks = self.order.make_ranks(items, now_s)
        if self._should_reject(items, ranks, now_s):
            self._refuse_queued([permit], outcome.Reason.DEADLINE_TOO_SHORT)

    def withdraw(self, permit: Permit) -> None:
        """Cancels an attempt that was not sent to the target."""
        if permit.state is State.QUEUED:
            self._remove_from_queue(permit)
            permit.state = State.ENDED
        elif permit.state is State.RUNNING:
            self.release(permit, Ending.NOT_SENT)

    @decision_clock.decision
    def release(self, permit: Permit, ending: Ending) -> None:
        """Frees the slot of an attempt and updates the limit and estimate."""
        invariants.require(permit.state is State.RUNNING, "permit_released")
        assert permit.member_queue is not None
        permit.state = State.ENDED
        self.running -= 1
        used_s = self.now() - permit.started_s
        unsent = ending in (Ending.NOT_SENT, Ending.SHED, Ending.REFUSED)
        cost_s = 0.0 if unsent else used_s
        self.queue.finish(permit.member_queue, permit.charged_s, cost_s)
        self._record_result(permit, ending, used_s)
        self.advance()

    @decision_clock.decision
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

    @decision_clock.decision
    def advance(self) -> None:
        """Refuses expired attempts, then dispatches queued ones."""
        now_s = self.now()
        if self.abandoned_until_s:
            self.abandoned_until_s = [
                until_s for until_s in self.abandoned_until_s if until_s > now_s
            ]
        self._refuse_expired(now_s)
        slowness = self.find_slowness()
        if slowness > self.checked_slowness:
            self._refuse_too_late(now_s)
        self.checked_slowness = slowness
        self._dispatch_queued()

    @decision_clock.decision
    def find_wait_s(self, permit: Permit) -> float:
        """Returns how long a queued attempt can wait until advance()."""
        wake_times_s = [permit.deadline_s, *self.abandoned_until_s]
        dispatch_time_s = self.find_dispatch_time_s()
        if math.isfinite(dispatch_time_s):
            wake_times_s.append(dispatch_time_s)
        return min(max(min(wake_times_s) - self.now(), 0.0), RECHECK_INTERVAL_S)

    @decision_clock.decision
    def can_dispatch(self) -> bool:
        """Returns whether one more request can be sent to the target now."""
        if self.in_flight >= self.limit.value:
            return False
        return self.find_dispatch_time_s() <= self.now()

    def find_capacity(self) -> load_shedding.Capacity:
        """Returns what the target can take now."""
        return load_shedding.Capacity(
            self.limit.find_max_rate_per_s(), self.limit.value
        )

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
            cost_s = max(self.estimate.find_mean_s(), waiting_order.MIN_COST_S)
            now_s = self.now()
            permit = self.order.choose(now_s)
            assert permit.member_queue is not None
            self.queue.take(permit.member_queue, permit, cost_s)
            if self._will_miss_deadline(permit, now_s, 0.0, bool(self.queue)):
                self.queue.finish(permit.member_queue, cost_s, 0.0)
                self._refuse(permit, outcome.Reason.DEADLINE_TOO_SHORT)
                continue
            try:
                self._dispatch(permit, now_s, cost_s)
            except invariants.BrokenInvariantError as error:
                # Another request may have caused the dispatch.
                self.queue.finish(permit.member_queue, cost_s, 0.0)
                permit.fail(error)
                continue
            self._refuse_too_late(now_s)

    def _refuse_too_late(self, now_s: float) -> None:
        """Refuses queued attempts that would miss their deadline if sent now.

        Their callers learn it as soon as it is known, and their places go to
        attempts that can be served.
        """
        safe_s: dict[str, float] = {}
        too_late = []
        for permit in self.queue:
            if permit.route not in safe_s:
                safe_s[permit.route] = self.estimate.find_safe_s(permit.route)
            left_s = permit.deadline_s - now_s
            if left_s < safe_s[permit.route] and self._will_miss_deadline(
                permit, now_s, 0.0, True
            ):
                too_late.append(permit)
        self._refuse_queued(too_late, outcome.Reason.DEADLINE_TOO_SHORT)

    def _dispatch(self, permit: Permit, now_s: float, cost_s: float) -> None:
        limit = self.limit
        in_flight = self.in_flight + 1
        closed_reason = self.find_closed_reason()
        dispatch_check.check(permit, in_flight, limit, closed_reason, now_s)
        self.rate_limit.record_dispatch()
        self.running += 1
        permit.state = State.RUNNING
        permit.reset_count = limit.reset_count
        permit.in_flight = self.in_flight
        permit.started_s = now_s
        permit.charged_s = cost_s
        permit.slowness = self.find_slowness()
        if permit.depth <= 1:
            self.order.served.record(permit.priority, True)
        limit.record_dispatch()
        permit.wake()

    def _record_result(
        self, permit: Permit, ending: Ending, used_s: float
    ) -> None:
        # The speed may have changed while the attempt ran.
        slowness = (permit.slowness + self.find_slowness()) / 2
        match ending:
            case Ending.ANSWERED:
                self.estimate.record(permit.route, used_s, slowness)
                head_received_s = permit.head_received_s or self.now()
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
                    cause = limits.ResetCause.REFUSED
                    if ending is Ending.LOST:
                        cause = limits.ResetCause.LOST
                    self.reset(cause)
            case Ending.ABANDONED:
                self._abandon(permit, used_s, slowness)

    def _abandon(self, permit: Permit, used_s: float, slowness: float) -> None:
        """Keeps the slot taken while the target may still be working."""
        delay_s = self.estimate.find_cancel_delay_s(
            permit.route, used_s, slowness
        )
        self.abandoned_until_s.append(self.now() + delay_s)
        self.estimate.record_abandoned(permit.route, used_s, slowness)

    def _refuse_or_make_room(self, permit: Permit) -> None:
        """Refuses a new attempt, or makes room for it in the queue."""
        now_s = self.now()
        rank = None
        reason = self.find_closed_reason()
        if reason is None and self.can_dispatch() and not self.queue:
            if self._will_miss_deadline(permit, now_s, 0.0, False):
                reason = outcome.Reason.DEADLINE_TOO_SHORT
        elif reason is None:
            items = [*self.queue, permit]
            ranks = self.order.make_ranks(items, now_s)
            rank = ranks[-1]
            if self._should_reject(items, ranks, now_s):
                reason = outcome.Reason.DEADLINE_TOO_SHORT
            elif not self._make_room(items, ranks, now_s):
                reason = outcome.Reason.QUEUE_FULL
        if reason is not None:
            self._refuse(permit, reason, rank=rank)

    def _should_reject(
        self,
        items: list[Permit],
        ranks: list[precedence.Rank],
        now_s: float,
    ) -> bool:
        """Returns whether a new attempt is unlikely to finish in time."""
        permit = items[-1]
        left_s = permit.deadline_s - now_s
        # Counting the attempts ahead takes long and is seldom necessary.
        longest_s = self._estimate_wait_s(len(items) - 1)
        if left_s > 0 and not self.estimate.should_refuse(
            permit.route, left_s - longest_s, permit.lifetime_s, False
        ):
            return False
        wait_s = self._estimate_wait_s(self.order.count_ahead(items, ranks))
        return self._will_miss_deadline(permit, now_s, wait_s, False)

    def _estimate_wait_s(self, ahead: int) -> float:
        return max(
            (ahead + 1) * self.estimate.find_mean_s() / self.limit.value,
            self.limit.estimate_rate_limit_wait_s(ahead),
            self.rate_limit.estimate_wait_s(ahead),
        )

    def _will_miss_deadline(
        self, permit: Permit, now_s: float, wait_s: float, contended: bool
    ) -> bool:
        left_s = permit.deadline_s - now_s
        if left_s <= 0:
            return True
        if permit.is_trial:
            return False
        if not self.estimate.should_refuse(
            permit.route, left_s - wait_s, permit.lifetime_s, contended
        ):
            return False
        permit.is_trial = self.estimate.try_take_trial(permit.route)
        return not permit.is_trial

    def _make_room(
        self,
        items: list[Permit],
        ranks: list[precedence.Rank],
        now_s: float,
    ) -> bool:
        """Makes room for a new attempt; returns whether there is any."""
        permit = items[-1]
        arriving = permit.member_queue
        assert arriving is not None
        slots = self.limit.slots
        bound = precedence.find_member_bound(
            len(arriving.items) == len(self.queue),
            permit.objective_s < permit.deadline_s,
            slots,
        )
        if len(arriving.items) >= bound:
            own = [i for i, p in enumerate(items) if p.member_queue is arriving]
            items = [items[i] for i in own]
            ranks = [ranks[i] for i in own]
        elif len(self.queue) < precedence.QUEUE_PER_SLOT * slots:
            return True
        evicted = self.order.choose_evicted(items, ranks, now_s)
        if evicted is permit:
            return False
        self._evict(evicted, permit)
        return True

    def _evict(self, evicted: Permit, displacing: Permit) -> None:
        member_queue = evicted.member_queue
        assert member_queue is not None
        # A member that was alone may have filled more of the queue than it may
        # hold beside others. It gives such places back as refused for room.
        bound = precedence.MEMBER_QUEUE_PER_SLOT * self.limit.slots
        is_other = member_queue is not displacing.member_queue
        is_returned = is_other and len(member_queue.items) > bound
        reason = (
            outcome.Reason.QUEUE_FULL
            if is_returned
            else outcome.Reason.DISPLACED
        )
        self.queue.remove(member_queue, evicted)
        self._refuse(evicted, reason, displacing.request_id)

    def _trim_queue(self) -> None:
        """Evicts attempts that a queue with fewer slots has no room for."""
        while len(self.queue) > precedence.QUEUE_PER_SLOT * self.limit.slots:
            now_s = self.now()
            items = list(self.queue)
            ranks = self.order.make_ranks(items, now_s)
            evicted = self.order.choose_evicted(items, ranks, now_s)
            self._remove_from_queue(evicted)
            self._refuse(evicted, outcome.Reason.QUEUE_FULL)

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
            self._refuse(permit, reason)

    def _remove_from_queue(self, permit: Permit) -> None:
        assert permit.member_queue is not None
        self.queue.remove(permit.member_queue, permit)

    def _refuse(
        self,
        permit: Permit,
        reason: outcome.Reason,
        displaced_by: str = "",
        rank: precedence.Rank | None = None,
    ) -> None:
        now_s = self.now()
        rank = rank or self.order.make_ranks([permit], now_s)[0]
        permit.refuse(reason, rank, now_s, displaced_by)
        # Attempts without time for their work say nothing about the capacity.
        # They are often repeats of a request that was refused before.
        had_time = permit.deadline_s - permit.submitted_s >= rank.work_s
        if (
            reason in permits.CAPACITY_REASONS
            and permit.depth <= 1
            and had_time
        ):
            self.order.served.record(permit.priority, False)
