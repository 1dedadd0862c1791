"""Admits attempts at the target's node and sends them to the target."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import functools
import math

import anyio
import msgspec
import structlog

from waxwingferry.connection import http1
from waxwingferry.process import metrics
from waxwingferry.process import target
from waxwingferry.process.protection import admission
from waxwingferry.process.protection import crash_suspects
from waxwingferry.process.protection import limit as limits
from waxwingferry.process.protection import load_shedding
from waxwingferry.process.protection import stated_limit
from waxwingferry.process.protection import usual_speed
from waxwingferry.process.usage import records
from waxwingferry.request import calls
from waxwingferry.request import fingerprint
from waxwingferry.request import outcome
from waxwingferry.request import running
from waxwingferry.version import revision as revisions

log = structlog.get_logger()

# Limits the wait for requests that are blamed for the same end. Few of them are
# the cause, and a request must not wait for one that waits for its answer.
MAX_SEPARATION_S = 0.3
# Phases of slowness last about half a second. An older report says little about
# the present speed.
MAX_SLOWNESS_AGE_S = 0.2

OnAnswer = Callable[[str, str, str, bool, float], None]


def ignore_answer(*_: object) -> None:
    """Default for Receiver.on_answer: does nothing."""


class Receiver:
    """Controls admission to the node's local target.

    Args:
        incarnation: Random id of this node process.
        domain_is_out: Tells whether the node's failure domain is out.
        revision: Returns the newest known document revision, or None.
        counters: Metrics of the node.
        target_protocol: Protocol between the node and its target.
        make_limit: Returns the limit of a target with the given slots.
        suspects: The requests that are suspected of ending targets.

    Attributes:
        running: Requests that the target is running.
        sample: The newest load report of the target, or None.
        sampled_s: Monotonic time of that report.
        on_sample: Called after each report.
        leaving_target: Incarnation of the target that stated that it leaves,
            or an empty string.
        on_leaving: Called when the target first states that it leaves.
        on_answer: Called with service, version and route of each answer,
            whether it was a failure, and its service time.
        usage: Records of the runs by workspace, or None if they are not
            reported.
        leaving: Whether the node has announced that it is leaving. Other
            nodes send work until they have received the announcement.
        closed: Whether new work is refused because the node is leaving.
        unreported: Whether the target gets no work until it reports, because
            only an earlier process of this node knew that it takes work.
    """

    def __init__(
        self,
        incarnation: str,
        domain_is_out: Callable[[], bool],
        revision: Callable[[], revisions.Revision | None],
        counters: metrics.Metrics,
        target_protocol: target.TargetProtocol | None = None,
        make_limit: Callable[[int], limits.Limit] | None = None,
        suspects: crash_suspects.CrashSuspects | None = None,
    ):
        self.running = running.RunningRequests()
        self.load_shedding = load_shedding.LoadShedding()
        self.suspects = suspects or crash_suspects.CrashSuspects()
        self.separator = crash_suspects.Separator()
        self.target_protocol = target_protocol
        self.make_limit = make_limit
        self.sample: target.TargetLoad | None = None
        self.sampled_s = -math.inf
        self.leaving_target = ""
        self.on_leaving: Callable[[], None] = lambda: None
        self.on_sample: Callable[[], None] = lambda: None
        self.on_answer: OnAnswer = ignore_answer
        self.usage: records.Records | None = None
        self.incarnation = incarnation
        self.domain_is_out = domain_is_out
        self.revision = revision
        self.counters = counters
        self.link: target.TargetClient | None = None
        self.replaced_links: list[target.TargetClient] = []
        self.admission: admission.Admission | None = None
        self.warmup_slowness = usual_speed.WarmupSlowness()
        self.leaving = False
        self.closed = False
        self.unreported = False

    def apply_announcement(self, announcement: target.Announcement) -> bool:
        """Applies an announcement; returns whether it changed anything."""
        if announcement.incarnation == self.leaving_target:
            # Announcements are sent at intervals and may be older than the
            # responses of the target.
            announcement = msgspec.structs.replace(
                announcement, state="draining"
            )
        old = self.link.announcement if self.link else None
        if old == announcement:
            return False
        if self.link is None or self.admission is None or old is None:
            self.link = self._make_link(announcement)
            self.admission = self._make_admission(announcement.slots)
            return True
        if _target_identity(old) != _target_identity(announcement):
            self.link.record_successor()
            self.replaced_links.append(self.link)
            self.link = self._make_link(announcement)
            self.sample = None
            self.warmup_slowness = usual_speed.WarmupSlowness()
            self.admission.reset(limits.ResetCause.INCARNATION)
        self.link.announcement = announcement
        self.admission.resize(announcement.slots)
        return True

    def _make_link(
        self, announcement: target.Announcement
    ) -> target.TargetClient:
        return target.TargetClient(
            announcement,
            self.target_protocol,
            self.record_sample,
            self.record_statement,
            on_end=functools.partial(self._record_end, announcement),
            find_refusal=self._find_quarantine_reason,
        )

    def _find_quarantine_reason(
        self, attempt: calls.Attempt
    ) -> outcome.Reason | None:
        # Most of the time there are no suspects, and nothing is hashed.
        if self.suspects.suspects and self.suspects.is_quarantined(
            fingerprint.compute_fingerprint(attempt)
        ):
            return outcome.Reason.CRASHES_TARGETS
        return None

    def _record_end(
        self,
        announcement: target.Announcement,
        in_flight: list[calls.Attempt],
    ) -> set[str]:
        """Records that the target ended, and under which requests.

        Returns:
            The IDs of the attempts that are the likely cause; none if it
            could be any of several requests.
        """
        protocol = self.target_protocol or target.TargetProtocol()
        fingerprints = {
            item.attempt_id: fingerprint.compute_fingerprint(item)
            for item in in_flight
        }
        blamed = self.suspects.record_end(
            fingerprint.hash_incarnation(
                announcement.host, announcement.port, announcement.incarnation
            ),
            fingerprints.values(),
        )
        log.warning(
            "target ended under requests",
            target=announcement.incarnation,
            requests=[protocol.get_correlation_id(item) for item in in_flight],
            fingerprints=[
                fingerprint.format_fingerprint(value)
                for value in fingerprints.values()
            ],
            blamed=[
                fingerprint.format_fingerprint(value)
                for value in sorted(blamed)
            ],
        )
        self.counters.events.inc({"event": "target_ended"})
        if len(blamed) > 1:
            return set()
        return {name for name, value in fingerprints.items() if value in blamed}

    def record_statement(
        self, incarnation: str, statement: target.Statement
    ) -> None:
        """Records what the target states about itself in a response."""
        if self.link is None or self.admission is None:
            return
        if incarnation != self.link.announcement.incarnation:
            return
        self.admission.rate_limit.record_statement(statement.max_rate_per_s)
        if statement.leaving and incarnation != self.leaving_target:
            self._record_leaving(incarnation)

    def _record_leaving(self, incarnation: str) -> None:
        """Sends the target nothing more; it won't take the statement back."""
        assert self.link is not None
        assert self.admission is not None
        log.info("target states that it leaves", target=incarnation)
        self.counters.events.inc({"event": "target_states_leaving"})
        self.leaving_target = incarnation
        self.apply_announcement(self.link.announcement)
        self.admission.advance()
        self.on_leaving()

    def record_sample(self, sample: target.TargetLoad) -> None:
        """Records a load report, unless it is of another incarnation."""
        if self.link is None or self.admission is None:
            return
        incarnation = sample.incarnation
        if incarnation and incarnation != self.link.announcement.incarnation:
            return
        self.sample = sample
        self.sampled_s = self.admission.clock()
        limit = self.admission.limit
        if sample.warmup_left_s is not None and isinstance(
            limit, stated_limit.StatedLimit
        ):
            limit.set_warmup_left(sample.warmup_left_s)
        if sample.statement is not None:
            self.record_statement(
                self.link.announcement.incarnation, sample.statement
            )
        self.warmup_slowness.record(sample.slowness, limit.is_cold())
        # Attempts that can't be served at the present speed are refused now.
        self.admission.advance()
        self.on_sample()

    def is_congested(self) -> bool:
        """Tells whether a new attempt would wait or run slowly here."""
        state = self.admission
        if state is None:
            return True
        return (
            bool(state.queue)
            or not state.can_dispatch()
            or usual_speed.is_slow(
                self.slowness(),
                self.warmup_slowness.find_usual(state.limit.is_cold()),
            )
        )

    def slowness(self) -> float:
        """Returns the target's current service time relative to normal."""
        return self.sample.slowness if self.sample is not None else 1.0

    def find_present_slowness(self) -> float:
        """Returns the slowness in a recent load report, 1 without one."""
        if self.sample is None or self.admission is None:
            return 1.0
        age_s = self.admission.now() - self.sampled_s
        if age_s > MAX_SLOWNESS_AGE_S:
            return 1.0
        return max(self.sample.slowness, 1.0)

    def close(self) -> None:
        """Refuses all new and queued work from now on."""
        self.closed = True
        if self.admission is not None:
            self.admission.advance()

    def find_closed_reason(self) -> outcome.Reason | None:
        """Returns why the target accepts no work, or None."""
        if self.link is None:
            return outcome.Reason.NO_TARGET
        is_draining = self.link.announcement.state == "draining"
        if self.closed or is_draining or self.unreported:
            return outcome.Reason.LEAVING
        if self.domain_is_out():
            return outcome.Reason.DOMAIN_OUT
        return None

    def check(self, attempt: calls.Attempt) -> outcome.NotRun | None:
        """Returns why an attempt is refused before admission, or None."""
        if attempt.incarnation != self.incarnation:
            return outcome.NotRun(outcome.Reason.WRONG_INCARNATION)
        if self.link is None:
            return outcome.NotRun(outcome.Reason.NO_TARGET)
        if self.link.announcement.service != attempt.service:
            return outcome.NotRun(outcome.Reason.NO_TARGET)
        reason = self.find_closed_reason()
        if reason is not None:
            return outcome.NotRun(reason)
        current = self.link.announcement.incarnation
        if attempt.target_incarnation and attempt.target_incarnation != current:
            return outcome.NotRun(outcome.Reason.WRONG_TARGET)
        if attempt.deadline.remaining_s() <= 0:
            return outcome.NotRun(outcome.Reason.DEADLINE_TOO_SHORT)
        reason = self._find_quarantine_reason(attempt)
        return outcome.NotRun(reason) if reason is not None else None

    @contextlib.asynccontextmanager
    async def execute(
        self, attempt: calls.Attempt
    ) -> AsyncIterator[outcome.Outcome]:
        """Runs one attempt; the answer can be read inside the context."""
        while self.replaced_links:
            await self.replaced_links.pop().pool.close()
        refusal = self.check(attempt)
        if refusal is None and attempt.reroutable and self.is_congested():
            refusal = outcome.NotRun(outcome.Reason.BUSY)
        blamed_ends = refusal or await self._separate(attempt)
        if isinstance(blamed_ends, outcome.NotRun):
            self._log_refusal(attempt, blamed_ends)
            self._count_refusal(blamed_ends)
            yield blamed_ends
            return
        try:
            async with self._execute_separated(attempt) as result:
                yield result
        finally:
            self.separator.leave(blamed_ends)

    async def _separate(
        self, attempt: calls.Attempt
    ) -> set[int] | outcome.NotRun:
        """Waits for other requests that are blamed for the same end.

        Returns:
            The ends that the request is blamed for, or a refusal.
        """
        # The request still needs time to run.
        wait_s = min(MAX_SEPARATION_S, attempt.deadline.remaining_s() / 2)
        waits_until_s = anyio.current_time() + wait_s
        while self.suspects.suspects:
            ends = self.suspects.find_blamed_ends(
                fingerprint.compute_fingerprint(attempt)
            )
            if self.separator.try_enter(ends):
                return ends
            if attempt.reroutable:
                return outcome.NotRun(outcome.Reason.BUSY)
            left_s = waits_until_s - anyio.current_time()
            if left_s <= 0:
                return set()
            with anyio.move_on_after(left_s):
                await self.separator.changed.wait()
        return set()

    @contextlib.asynccontextmanager
    async def _execute_separated(
        self, attempt: calls.Attempt
    ) -> AsyncIterator[outcome.Outcome]:
        permit = await self._admit(attempt)
        if isinstance(permit, outcome.NotRun):
            self._log_refusal(attempt, permit)
            self._count_refusal(permit)
            yield permit
            return
        assert self.link is not None
        assert self.admission is not None
        ending = admission.Ending.ABANDONED
        initial_slowness = self.slowness()
        try:
            link = self.link
            with self._track(attempt):
                run_handle = self._record_run(attempt)
                async with link.execute(attempt) as result:
                    self._remove_run(run_handle, result)
                    self._count_refusal(result)
                    permit.record_head(self.admission.clock())
                    ending = _classify_ending(result, finished=False)
                    self._count_answer(
                        attempt, permit, result, initial_slowness
                    )
                    if isinstance(result, outcome.Answer):
                        result = self._record_end_of_answer(
                            attempt, link, result
                        )
                    yield result
                    ending = _classify_ending(result, finished=True)
        finally:
            self.admission.release(permit, ending)

    def _track(
        self, attempt: calls.Attempt
    ) -> contextlib.AbstractContextManager[None]:
        """Tracks an attempt at the target, to recognise its nested calls."""
        parent = running.Parent(
            attempt.member, attempt.urgency.priority, attempt.depth
        )
        return self.running.track(self._find_request_id(attempt), parent)

    def _record_run(self, attempt: calls.Attempt) -> int | None:
        """Records that a run begins, if it counts as usage."""
        if self.usage is None or not attempt.workspace or attempt.depth > 1:
            return None
        return self.usage.record(attempt.workspace)

    def _remove_run(self, handle: int | None, result: outcome.Outcome) -> None:
        """Removes the record of a run that proved not to have begun."""
        if (
            handle is not None
            and self.usage is not None
            and isinstance(result, outcome.NotRun)
        ):
            self.usage.remove(handle)

    def _record_end_of_answer(
        self,
        attempt: calls.Attempt,
        link: target.TargetClient,
        answer: outcome.Answer,
    ) -> outcome.Answer:
        """Returns an answer that clears its request once read completely."""

        async def receive_chunk() -> bytes | None:
            chunk = await answer.receive_chunk()
            if chunk is None and self.suspects.suspects and not link.ended:
                self.suspects.record_completion(
                    fingerprint.compute_fingerprint(attempt)
                )
            return chunk

        return outcome.Answer(answer.head, receive_chunk)

    def _log_refusal(
        self, attempt: calls.Attempt, refusal: outcome.NotRun
    ) -> None:
        state = self.admission
        now_s = state.clock() if state else 0.0
        log.info(
            "attempt refused",
            request=self._find_request_id(attempt),
            reason=refusal.reason.value,
            in_flight=state.in_flight if state else None,
            queue=len(state.queue) if state else None,
            limit=state.limit.value if state else None,
            paced=bool(state and state.find_dispatch_time_s() > now_s),
            slowness=self.slowness(),
            sample_age_ms=(
                round((now_s - self.sampled_s) * 1000) if self.sample else None
            ),
            left_ms=round(attempt.deadline.remaining_s() * 1000),
            **{
                "priority": attempt.urgency.priority,
                "depth": attempt.depth,
                **refusal.details,
            },
        )

    def _find_request_id(self, attempt: calls.Attempt) -> str:
        protocol = self.target_protocol or target.TargetProtocol()
        return protocol.get_correlation_id(attempt)

    def _count_answer(
        self,
        attempt: calls.Attempt,
        permit: admission.Permit,
        result: outcome.Outcome,
        slowness: float,
    ) -> None:
        """Reports an answer to on_answer, which judges version rollouts."""
        if isinstance(result, outcome.NotRun) or self.link is None:
            return
        failed = isinstance(result, outcome.Unknown)
        if isinstance(result, outcome.Answer):
            failed = result.head.status >= 500
        used_s = permit.head_received_s - permit.started_s
        announcement = self.link.announcement
        self.on_answer(
            announcement.service,
            announcement.version,
            permit.route,
            failed,
            used_s / max(slowness, self.slowness(), 1.0),
        )

    def _record_demand(self, attempt: calls.Attempt) -> None:
        """Records an attempt for the decisions on nested calls."""
        assert self.admission is not None
        estimate = self.admission.estimate
        self.load_shedding.record(
            attempt.urgency.priority,
            estimate.find_route_mean_s(
                estimate.find_route_key(self._find_route(attempt))
            ),
        )

    def _shed(self, attempt: calls.Attempt) -> outcome.NotRun | None:
        """Returns the refusal of a nested call for lack of capacity, or None.

        A call that can be sent at once is not refused.
        """
        state = self.admission
        if state is None or attempt.depth <= 1:
            return None
        priority = attempt.urgency.priority
        self._record_demand(attempt)
        if state.can_dispatch() and not state.queue:
            return None
        protocol = self.target_protocol or target.TargetProtocol()
        parent_id = protocol.find_parent_id(attempt)
        capacity = state.find_capacity()
        if not parent_id or not self.load_shedding.should_refuse(
            parent_id, priority, capacity
        ):
            return None
        return outcome.NotRun(
            outcome.Reason.LOAD_SHED,
            details=self.load_shedding.describe(parent_id, capacity),
        )

    async def _admit(
        self, attempt: calls.Attempt
    ) -> admission.Permit | outcome.NotRun:
        """Waits for a slot at the current target, or refuses."""
        shed = self._shed(attempt)
        if shed is not None:
            return shed
        while True:
            refusal = self.check(attempt)
            if refusal is not None:
                return refusal
            assert self.admission is not None
            permit = await self.admission.acquire(
                attempt.member,
                attempt.deadline,
                self._find_route(attempt),
                attempt.urgency,
                attempt.depth,
                self._find_request_id(attempt),
            )
            if isinstance(permit, outcome.NotRun):
                return permit
            # The target or the state of its domain may have changed during
            # the wait, and a slot granted before a reset is not valid at the
            # cold target.
            try:
                refusal = self.check(attempt)
            except BaseException:
                self.admission.withdraw(permit)
                raise
            if (
                refusal is None
                and permit.reset_count == self.admission.limit.reset_count
            ):
                if attempt.depth <= 1:
                    self._record_demand(attempt)
                return permit
            self.admission.withdraw(permit)

    def format_load(self) -> str:
        """Returns the value of the x-waxwing-load header."""
        state = self.admission
        if state is None:
            return "in_flight=0,queue=0,limit=0"
        percent = round(self.slowness() * 100)
        text = (
            f"in_flight={state.in_flight},queue={len(state.queue)},"
            f"limit={state.limit.value},slow={percent}"
        )
        wait_ms = self.find_rate_limit_wait_ms()
        if wait_ms is not None:
            text = f"{text},wait={wait_ms}"
        if self.is_target_leaving():
            text = f"{text},leaving={self.leaving_target}"
        return text

    def is_target_leaving(self) -> bool:
        """Returns whether the current target stated that it leaves."""
        if self.link is None or not self.leaving_target:
            return False
        return self.link.announcement.incarnation == self.leaving_target

    def find_rate_limit_wait_ms(self) -> int | None:
        """Returns the time until the stated rate allows another request.

        Attempts that are already queued go first.

        Returns:
            None if the target states no rate.
        """
        state = self.admission
        if state is None or state.rate_limit.rate_per_s is None:
            return None
        return math.ceil(
            state.rate_limit.estimate_wait_s(len(state.queue)) * 1000
        )

    def update_gauges(self) -> None:
        """Updates the admission gauges."""
        state = self.admission
        if state is None:
            return
        state.advance()
        gauge = self.counters.admission
        gauge.set({"value": "in_flight"}, state.in_flight)
        gauge.set({"value": "queue"}, len(state.queue))
        gauge.set({"value": "limit"}, state.limit.value)
        gauge.set({"value": "slots"}, state.limit.slots)
        rate_per_s = state.rate_limit.rate_per_s
        gauge.set(
            {"value": "max_rate_per_s"},
            math.inf if rate_per_s is None else rate_per_s,
        )
        gauge.set({"value": "dispatched"}, state.rate_limit.count_dispatches())

    def _make_admission(self, slots: int) -> admission.Admission:
        return admission.Admission(
            slots,
            weight=self._find_weight,
            find_closed_reason=self.find_closed_reason,
            on_reset=self._count_reset,
            make_limit=self.make_limit,
            find_slowness=self.find_present_slowness,
        )

    def _find_weight(self, member: str) -> float:
        revision = self.revision()
        if revision is None or self.link is None:
            return 1.0
        service = revision.services.get(self.link.announcement.service)
        return service.member_weights.get(member, 1.0) if service else 1.0

    def _find_route(self, attempt: calls.Attempt) -> str:
        revision = self.revision()
        if revision is None:
            return ""
        host = http1.find_header(attempt.headers, "host")
        route = revision.match_route(
            attempt.method, attempt.request_target, host
        )
        return route.name if route else ""

    def _count_refusal(self, result: outcome.Outcome) -> None:
        if isinstance(result, outcome.Answer):
            return
        kind = "not_run" if isinstance(result, outcome.NotRun) else "unknown"
        self.counters.receive_refusals.inc(
            {"kind": kind, "reason": result.reason.value}
        )

    def _count_reset(self, cause: limits.ResetCause) -> None:
        self.counters.limit_resets.inc({"cause": cause.value})


def _target_identity(announcement: target.Announcement) -> tuple[str, int, str]:
    return announcement.host, announcement.port, announcement.incarnation


def _classify_ending(
    result: outcome.Outcome, finished: bool
) -> admission.Ending:
    match result:
        case outcome.Answer():
            if finished:
                return admission.Ending.ANSWERED
        case outcome.NotRun(outcome.Reason.TARGET_REFUSED):
            return admission.Ending.SHED
        case outcome.NotRun():
            return admission.Ending.REFUSED
        case outcome.Unknown(
            outcome.Reason.CONNECTION_LOST
            | outcome.Reason.TARGET_ENDED
            | outcome.Reason.ENDED_TARGET
        ):
            return admission.Ending.LOST
    return admission.Ending.ABANDONED
