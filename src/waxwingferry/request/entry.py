"""Handles callers' requests at their entry node."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import functools
import random
import time

import structlog

from waxwingferry import invariants
from waxwingferry.connection import http1
from waxwingferry.process import metrics
from waxwingferry.process.choice import budget
from waxwingferry.process.choice import known_target
from waxwingferry.process.choice import routing
from waxwingferry.process.protection import crash_suspects
from waxwingferry.process.spreading import load_queries
from waxwingferry.process.spreading import members
from waxwingferry.request import answering
from waxwingferry.request import attempt_history
from waxwingferry.request import attempt_runner
from waxwingferry.request import call_context
from waxwingferry.request import caller_age
from waxwingferry.request import calls
from waxwingferry.request import claim
from waxwingferry.request import fingerprint
from waxwingferry.request import forward
from waxwingferry.request import keys
from waxwingferry.request import outcome
from waxwingferry.request import overlapping
from waxwingferry.request import retry
from waxwingferry.request import running
from waxwingferry.version import revision as revisions
from waxwingferry.version import rollout
from waxwingferry.version import traffic_split

MAX_IN_FLIGHT = 1000

# Part of MAX_IN_FLIGHT that external calls may use. The rest is reserved for
# nested calls: refusing one wastes the work already done for those above it.
EXTERNAL_SHARE = 0.8
# Part of its share of the retry slack that a node may use in the first window.
# Documents state 0.7 of the slack that is allowed, so that the share of an
# earlier process and this part stay below it.
STARTING_SLACK_SHARE = 0.4
# Characters of a host or path in the log line of a refused request.
MAX_LOGGED_LENGTH = 80

_WRONG_INCARNATION = outcome.NotRun(outcome.Reason.WRONG_INCARNATION)
_QUARANTINED = outcome.NotRun(outcome.Reason.CRASHES_TARGETS)

log = structlog.get_logger()


class EntryHandler:
    """Runs the calls of callers and sends them the answers.

    Args:
        node: Name of this node.
        revision: Returns the newest document known, or None.
        membership: The known targets.
        router: Chooses targets.
        forwarder: Sends attempts to other nodes.
        runner: Runs attempts at the node's local target.
        counters: Metrics of the node.
        rng: Source of call identifiers.
        protocol: Header fields exchanged with callers.
        max_in_flight: Limit of concurrent calls; more are refused.
        suspects: The requests that are suspected of ending targets.
        running_requests: Requests that the local target is running.
        clock: Monotonic time in seconds.

    Attributes:
        claims: Claims of idempotency keys, or None if keys are not supported.
        traffic_splitter: Chooses a service for each call of a route with
            several.
        rollouts: Version rollouts, or None if they are not supported.
        load_queries: Asks nodes for their load before a choice, or None if
            loads are learned in other ways.
        cutoff: Time by which calls must end because the process is killed
            soon after.
        draining: Whether calls that could last longer than the process are
            refused. Before that, callers can't know of the stop yet.
    """

    def __init__(
        self,
        node: str,
        revision: Callable[[], revisions.Revision | None],
        membership: members.Membership,
        router: routing.Router,
        forwarder: forward.Forwarder,
        runner: attempt_runner.AttemptRunner,
        counters: metrics.Metrics,
        rng: random.Random,
        protocol: call_context.CallerProtocol = call_context.DEFAULT_PROTOCOL,
        max_in_flight: int = MAX_IN_FLIGHT,
        suspects: crash_suspects.CrashSuspects | None = None,
        running_requests: running.RunningRequests | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.running = running_requests or running.RunningRequests()
        self.suspects = suspects or crash_suspects.CrashSuspects()
        self.node = node
        self.revision = revision
        self.membership = membership
        self.router = router
        self.forwarder = forwarder
        self.runner = runner
        self.claims: claim.Claims | None = None
        self.counters = counters
        self.rng = rng
        self.protocol = protocol
        self.traffic_splitter = traffic_split.TrafficSplitter(rng)
        self.rollouts: rollout.RolloutController | None = None
        self.load_queries: load_queries.LoadQueries | None = None
        self.cutoff = calls.Cutoff()
        self.draining = False
        self.caller_ages = caller_age.CallerAges()
        self.overlaps = overlapping.Overlaps(
            revision,
            on_long=lambda: counters.events.inc({"event": "long_answers"}),
        )
        self.max_in_flight = max_in_flight
        self.in_flight = 0
        self.clock = clock
        self.started_s = clock()
        self.retry_policy = retry.RetryPolicy(
            self._retry_ratio, slack=self._retry_slack
        )

    def _retry_ratio(self) -> float:
        revision = self.revision()
        return revision.budgets.retry_ratio if revision else 0.0

    def _retry_slack(self) -> float:
        """Returns this node's part of the retries allowed besides the ratio."""
        revision = self.revision()
        if revision is None or not revision.budgets.retry_slack:
            return 0.0
        share = 1 / self.membership.count_members()
        if self.clock() - self.started_s < budget.WINDOW_S:
            # An earlier process may have spent its whole share in this window.
            share *= STARTING_SLACK_SHARE
        return revision.budgets.retry_slack * share

    async def handle(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Handles one request of a caller."""
        workspace = keys.check(head, self.revision())
        if isinstance(workspace, outcome.NotRun):
            await self._refuse_early(connection, head, workspace)
            return
        try:
            context = self.protocol.parse_context(head.headers)
        except http1.HttpError:
            refusal = outcome.NotRun(outcome.Reason.BAD_REQUEST, 400)
            await self._refuse_early(connection, head, refusal)
            return
        parent = self.running.find_parent(
            self.protocol.find_request_id(head.headers)
        )
        if parent is not None and not context.depth:
            context = dataclasses.replace(context, depth=parent.depth)
        if not self._has_capacity(context.depth):
            refusal = outcome.NotRun(outcome.Reason.ENTRY_FULL)
            await self._refuse_early(connection, head, refusal)
            return
        self.in_flight += 1
        try:
            call = await self._make_call(
                connection, head, context, parent, workspace
            )
            if isinstance(call, outcome.NotRun):
                await self._refuse_early(connection, head, call)
                return
            self.retry_policy.count_call(call)
            started_s = time.monotonic()
            await self._run_call(connection, call)
            self.counters.latency.observe(
                {"service": call.service}, time.monotonic() - started_s
            )
        finally:
            self.in_flight -= 1
            invariants.require(self.in_flight >= 0, "entry_in_flight")

    def _has_capacity(self, depth: int) -> bool:
        share = 1.0 if depth else EXTERNAL_SHARE
        return self.in_flight < self.max_in_flight * share

    async def _run_call(
        self, connection: http1.ServerConnection, call: calls.Call
    ) -> None:
        if call.deadline.remaining_s() <= 0:
            # Reading the body took too long; an attempt would time out and
            # its outcome would be unknown.
            refusal = outcome.NotRun(outcome.Reason.DEADLINE_TOO_SHORT)
            await self._refuse(connection, refusal, call)
            return
        if call.key and self.claims is not None:
            await self.claims.run(
                connection,
                call,
                self._run_attempts,
                functools.partial(self._refuse, call=call),
            )
            return
        try:
            await self._run_attempts(connection, call)
        except calls.BodyError as error:
            reason = outcome.Reason.BAD_REQUEST
            if error.status == 413:
                reason = outcome.Reason.BODY_TOO_LARGE
            await self._refuse(
                connection, outcome.Unknown(reason, error.status), call
            )

    async def _make_call(
        self,
        connection: http1.ServerConnection,
        head: http1.RequestHead,
        context: call_context.CallContext,
        parent: running.Parent | None,
        workspace: revisions.Workspace | None,
    ) -> calls.Call | outcome.NotRun:
        revision = self.revision()
        if revision is None:
            return outcome.NotRun(outcome.Reason.NO_DOCUMENT)
        find = http1.find_header
        route = revision.match_route(
            head.method, head.target, find(head.headers, "host")
        )
        if route is None:
            return outcome.NotRun(outcome.Reason.NO_ROUTE, 404)
        service = revision.services.get(self.traffic_splitter.choose(route))
        if service is None:
            return outcome.NotRun(outcome.Reason.NO_TARGET)
        if context.depth >= calls.MAX_DEPTH:
            return outcome.NotRun(outcome.Reason.TOO_DEEP)
        key: str | outcome.NotRun = ""
        if self.claims is not None and not route.idempotent:
            key = claim.read_key(head.headers)
        if isinstance(key, outcome.NotRun):
            return key
        deadline_s = route.deadline_s
        caller_deadline = None
        if context.deadline_ms is not None:
            caller_deadline = calls.make_deadline(context.deadline_ms / 1000)
            deadline_s = min(deadline_s, context.deadline_ms / 1000)
        # Set before the body is read, so that this time counts as well.
        deadline = calls.make_deadline(deadline_s, self.cutoff)
        if self.draining and deadline.is_cut_off():
            return outcome.NotRun(outcome.Reason.LEAVING)
        body = await _read_body(connection, head, deadline)
        if isinstance(body, outcome.NotRun):
            return body
        headers = http1.end_to_end_headers(head.headers)
        if revision.workspaces:
            headers = keys.remove_fields(
                headers, self.protocol.workspace_header
            )
        member = find(head.headers, service.member_header, "")
        if workspace is not None:
            member = workspace.name
        if parent is not None:
            member = parent.member or member
        return calls.Call(
            call_id=f"{self.rng.getrandbits(64):016x}",
            service=service.name,
            method=head.method,
            request_target=head.target,
            headers=self.protocol.prepare_request_headers(headers),
            body=body,
            deadline=deadline,
            member=member,
            depth=context.depth + 1,
            idempotent=route.idempotent,
            is_retry=context.is_retry,
            key=key,
            max_attempts=route.max_attempts,
            request_id=self.protocol.find_request_id(head.headers),
            route=route.name,
            caller_deadline=caller_deadline,
            canary=bool(
                self.rollouts and self.rollouts.select_canary(service.name)
            ),
            urgency=self._find_urgency(route, context, parent, workspace),
            workspace=workspace.name if workspace is not None else "",
        )

    def _find_urgency(
        self,
        route: revisions.Route,
        context: call_context.CallContext,
        parent: running.Parent | None,
        workspace: revisions.Workspace | None,
    ) -> calls.Urgency:
        """Returns the urgency of a call; callers that waited have less time."""
        objective_s = route.objective_s
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        if parent is not None:
            # The call is worth as much as the request that needs it.
            priority = parent.priority
        elif context.deadline_ms and self.protocol.states_total_wait:
            objective_s -= self.caller_ages.estimate_age_s(
                route.name, context.deadline_ms / 1000
            )
        return calls.Urgency(calls.make_deadline(objective_s), priority)

    async def _run_attempts(
        self, connection: http1.ServerConnection, call: calls.Call
    ) -> None:
        if call.deadline.remaining_s() <= calls.RETURN_RESERVE_S:
            refusal = outcome.NotRun(outcome.Reason.DEADLINE_TOO_SHORT)
            await self._refuse(connection, refusal, call)
            return
        history = attempt_history.AttemptHistory()
        while True:
            if self._is_quarantined(call):
                history.call_outcome = outcome.combine(
                    history.call_outcome, _QUARANTINED
                )
                break
            candidate = await self._choose_reporting(call, history)
            if candidate is None:
                candidate = self._choose(
                    call, history, self._list_allowed(call, history)
                )
            if history.latest_result and not self._spend_retry(
                call, history, candidate
            ):
                break
            if candidate is None:
                break
            history.attempts_made += 1
            attempt = calls.make_attempt(
                call,
                history.attempts_made,
                candidate.incarnation,
                candidate.target,
            )
            attempt.reroutable = history.may_reroute()
            history.record_choice(candidate.stats.load, self.router.clock())
            connection.may_have_run = True
            async with self._execute(candidate, attempt) as result:
                if isinstance(result, outcome.Answer):
                    cut = await self._relay(connection, call, result, attempt)
                    if cut is None:
                        self._log_answer(call, candidate, history, result)
                        return
                    result = cut
                history.add_result(candidate, result)
            self._log_attempt(call, candidate, history, result)
            if not call.body.can_be_sent():
                self._count_denial(retry.Denial.BODY_STREAMED)
                break
            if history.retry_is_free:
                continue
            if not self._may_retry(call, history):
                break
        await self._refuse(connection, history.call_outcome, call)

    def _is_quarantined(self, call: calls.Call) -> bool:
        # Most of the time there are no suspects, and nothing is hashed.
        return bool(self.suspects.suspects) and self.suspects.is_quarantined(
            fingerprint.compute_fingerprint(call)
        )

    async def _relay(
        self,
        connection: http1.ServerConnection,
        call: calls.Call,
        answer: outcome.Answer,
        attempt: calls.Attempt,
    ) -> outcome.Unknown | None:
        whole = False

        def record_forward() -> None:
            attempt.answer_forwarded = True

        try:
            cut = await answering.relay_answer(
                connection,
                answer,
                attempt.attempt_id,
                protocol=self.protocol,
                on_forward=record_forward,
            )
            whole = cut is None
        finally:
            self.overlaps.record_answer(call, connection, whole)
        if cut is None:
            self.counters.calls.inc({"outcome": "answered"})
        return cut

    def _list_allowed(
        self, call: calls.Call, history: attempt_history.AttemptHistory
    ) -> list[known_target.Candidate]:
        """Returns the targets that a version rollout allows for a call."""
        targets = self.membership.by_service.get(call.service, [])
        self.router.update_usual_slowness(targets)
        if self.rollouts is None:
            return targets
        canary = call.canary and not history.attempts_made
        return self.rollouts.filter_targets(call.service, targets, canary)

    async def _choose_reporting(
        self, call: calls.Call, history: attempt_history.AttemptHistory
    ) -> known_target.Candidate | None:
        """Returns the cheapest of a few targets that report their load.

        Targets of the own failure domain are preferred while one of them has
        a free slot and runs at its usual speed.

        Returns:
            None if none reports, or nodes need not be asked.
        """
        queries = self.load_queries
        revision = self.revision()
        if queries is None or revision is None or not queries.is_needed():
            return None
        sample = self.router.sample(
            self._list_allowed(call, history),
            revision.domains_out,
            history.tried | history.busy,
        )
        reporting = await queries.find_reporting(sample.near)
        if not any(map(self.router.is_free, reporting)):
            reporting += await queries.find_reporting(sample.far)
            if reporting and not any(map(self.router.is_free, reporting)):
                # Each refusal as busy would only cost another round trip.
                history.accept_busy()
        # Meanwhile a target may have gone, or may not be allowed any more.
        allowed = self._list_allowed(call, history)
        known = {id(item) for item in reporting}
        return self._choose(
            call, history, [item for item in allowed if id(item) in known]
        )

    def _choose(
        self,
        call: calls.Call,
        history: attempt_history.AttemptHistory,
        allowed: list[known_target.Candidate],
    ) -> known_target.Candidate | None:
        """Returns the cheapest of the allowed targets, or None."""
        revision = self.revision()
        if revision is None:
            # The process was suspended; its document and targets may be
            # outdated.
            return None
        while True:
            excluded = history.tried | history.busy
            chosen = self.router.choose(allowed, revision.domains_out, excluded)
            if not history.busy:
                return chosen
            now_s = self.router.clock()
            if (
                chosen is not None
                and not self.router.is_slow(chosen, now_s)
                and not routing.must_wait(chosen, now_s)
            ):
                return chosen
            # All other targets are busy, slow or at their rate limit: choose
            # among the busy ones as well, and let the call wait in a queue.
            history.accept_busy()

    def _may_retry(
        self,
        call: calls.Call,
        history: attempt_history.AttemptHistory,
    ) -> bool:
        latency_s = self.router.service_stats(call.service).latency_s
        assert history.latest_result is not None
        denial = self.retry_policy.check(
            call, history.latest_result, history.target_attempts, latency_s
        )
        return self._count_denial(denial)

    def _spend_retry(
        self,
        call: calls.Call,
        history: attempt_history.AttemptHistory,
        candidate: known_target.Candidate | None,
    ) -> bool:
        if history.retry_is_free:
            # The attempt reached no target and costs no retry budget.
            return True
        if candidate is None:
            return self._count_denial(retry.Denial.NO_TARGET)
        has_capacity = self.router.has_capacity(candidate)
        assert history.latest_result is not None
        denial = self.retry_policy.spend(
            call, history.latest_result, has_capacity
        )
        if denial is None:
            self.counters.retries.inc(
                {"reason": history.latest_result.reason.value}
            )
        return self._count_denial(denial)

    def _count_denial(self, denial: retry.Denial | None) -> bool:
        if denial is not None:
            self.counters.retry_denials.inc({"reason": denial.value})
        return denial is None

    @contextlib.asynccontextmanager
    async def _execute(
        self, candidate: known_target.Candidate, attempt: calls.Attempt
    ) -> AsyncIterator[outcome.Outcome]:
        executor = (
            self.runner.execute_local(attempt)
            if candidate.node == self.node
            else self.forwarder.execute(candidate, attempt)
        )
        self.router.begin_attempt(candidate)
        started_s = time.monotonic()
        try:
            async with executor as result:
                self.router.record_result(
                    self.membership.by_service.get(candidate.service, []),
                    candidate,
                    retry.classify_for_routing(result),
                    time.monotonic() - started_s,
                )
                if result == _WRONG_INCARNATION:
                    candidate.mark_replaced()
                self.membership.record_leaving(candidate.load.leaving_target)
                yield result
        finally:
            self.router.finish_attempt(candidate)

    async def _refuse_early(
        self,
        connection: http1.ServerConnection,
        head: http1.RequestHead,
        refusal: outcome.NotRun,
    ) -> None:
        """Refuses a request that was not made a call."""
        revision = self.revision()
        log.info(
            "request refused",
            request=self.protocol.find_request_id(head.headers),
            reason=refusal.reason.value,
            status=refusal.status,
            host=http1.find_header(head.headers, "host")[:MAX_LOGGED_LENGTH],
            path=head.target.partition("?")[0][:MAX_LOGGED_LENGTH],
            revision=revision.number if revision else 0,
        )
        await self._send_refusal(connection, refusal)

    async def _refuse(
        self,
        connection: http1.ServerConnection,
        refusal: outcome.NotRun | outcome.Unknown,
        call: calls.Call,
    ) -> None:
        log.info(
            "request refused",
            request=call.request_id,
            service=call.service,
            reason=refusal.reason.value,
            status=refusal.status,
        )
        await self._send_refusal(connection, refusal, call.find_caller_left_s())

    async def _send_refusal(
        self,
        connection: http1.ServerConnection,
        refusal: outcome.NotRun | outcome.Unknown,
        left_s: float = 0.0,
    ) -> None:
        kind = "not_run" if isinstance(refusal, outcome.NotRun) else "unknown"
        self.counters.refusals.inc(
            {"kind": kind, "reason": refusal.reason.value}
        )
        self.counters.calls.inc({"outcome": kind})
        await answering.send_refusal(connection, refusal, left_s=left_s)

    def _log_attempt(
        self,
        call: calls.Call,
        candidate: known_target.Candidate,
        history: attempt_history.AttemptHistory,
        result: outcome.NotRun | outcome.Unknown,
    ) -> None:
        log.info(
            "attempt ended without an answer",
            request=call.request_id,
            route=call.route,
            node=candidate.node,
            number=history.attempts_made,
            reason=result.reason.value,
            not_run=isinstance(result, outcome.NotRun),
            left_ms=round(call.deadline.remaining_s() * 1000),
            load_age_ms=history.load_age_ms,
            slowness=history.slowness,
        )

    def _log_answer(
        self,
        call: calls.Call,
        candidate: known_target.Candidate,
        history: attempt_history.AttemptHistory,
        answer: outcome.Answer,
    ) -> None:
        log.info(
            "request answered",
            request=call.request_id,
            route=call.route,
            node=candidate.node,
            version=candidate.version,
            number=history.attempts_made,
            status=answer.head.status,
            left_ms=round(call.deadline.remaining_s() * 1000),
            load_age_ms=history.load_age_ms,
            slowness=history.slowness,
        )


async def _read_body(
    connection: http1.ServerConnection,
    head: http1.RequestHead,
    deadline: calls.Deadline,
) -> calls.Body | outcome.NotRun:
    """Reads the start of a body, or refuses if its client is too slow."""
    if not head.has_body or connection.is_request_received():
        return await answering.read_body(connection)
    try:
        with deadline.enforce():
            return await answering.read_body(connection)
    except TimeoutError:
        if deadline.is_cut_off():
            return outcome.NotRun(outcome.Reason.LEAVING)
        return outcome.NotRun(outcome.Reason.DEADLINE_TOO_SHORT)
