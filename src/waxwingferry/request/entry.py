"""Handles callers' requests at their entry node."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import random
import time

import structlog

from waxwingferry.connection import http1
from waxwingferry.process import metrics
from waxwingferry.process.choice import known_target
from waxwingferry.process.choice import routing
from waxwingferry.process.spreading import members
from waxwingferry.request import answering
from waxwingferry.request import attempt_runner
from waxwingferry.request import call as calls
from waxwingferry.request import claim
from waxwingferry.request import forward
from waxwingferry.request import hop as call_context
from waxwingferry.request import outcome
from waxwingferry.request import retry
from waxwingferry.request import trail as trails
from waxwingferry.version import revision as revisions
from waxwingferry.version import rollout
from waxwingferry.version import traffic_split

MAX_IN_FLIGHT = 1000

# Part of MAX_IN_FLIGHT that external calls may use. The rest is reserved for
# nested calls: refusing one wastes the work already done for those above it.
OUTSIDE_SHARE = 0.8


_WRONG_INCARNATION = outcome.NotRun(outcome.Reason.WRONG_INCARNATION)

log = structlog.get_logger()


class EntryHandler:
    """Runs the calls of callers and sends them the answers.

    Args:
        node: Name of this node.
        revision: Returns the newest document known, or None.
        membership: The known targets.
        router: Chooses targets.
        forwarder: Sends attempts to other nodes.
        runner: Runs attempts at the node's own target.
        counters: Metrics of the node.
        rng: Source of call identifiers.
        protocol: Header fields exchanged with callers.
        max_in_flight: Limit of concurrent calls; more are refused.

    Attributes:
        claims: Claims of idempotency keys, or None if keys are not supported.
        traffic_splitter: Chooses a service for each call of a route with
            several.
        rollouts: Version rollouts, or None if they are not supported.
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
    ):
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
        self.max_in_flight = max_in_flight
        self.in_flight = 0
        self.retries = retry.RetryPolicy(
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
        return revision.budgets.retry_slack / max(
            len(self.membership.records), 1
        )

    async def handle(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Handles one request of a caller."""
        try:
            hop_fields = self.protocol.parse_context(head.headers)
        except http1.HttpError:
            refusal = outcome.NotRun(outcome.Reason.BAD_REQUEST, 400)
            await self._refuse(connection, refusal)
            return
        if not self._has_slot(hop_fields.depth):
            refusal = outcome.NotRun(outcome.Reason.ENTRY_FULL)
            await self._refuse(connection, refusal)
            return
        self.in_flight += 1
        try:
            made = await self._make_call(connection, head, hop_fields)
            if isinstance(made, outcome.NotRun):
                await self._refuse(connection, made)
                return
            self.retries.count_call(made)
            began_s = time.monotonic()
            await self._run_keyed(connection, made)
            self.counters.latency.observe(
                {"service": made.service}, time.monotonic() - began_s
            )
        finally:
            self.in_flight -= 1
            assert 0 <= self.in_flight <= self.max_in_flight

    def _has_slot(self, depth: int) -> bool:
        share = 1.0 if depth else OUTSIDE_SHARE
        return self.in_flight < self.max_in_flight * share

    async def _run_keyed(
        self, connection: http1.ServerConnection, made: calls.Call
    ) -> None:
        if made.deadline.remaining_s() <= 0:
            # Reading the body took too long; an attempt would time out and
            # its outcome would be unknown.
            late = outcome.NotRun(outcome.Reason.DEADLINE_TOO_SHORT)
            await self._refuse(connection, late)
            return
        if made.key and self.claims is not None:
            await self.claims.run(connection, made, self._run, self._refuse)
            return
        try:
            await self._run(connection, made)
        except calls.BodyError as error:
            reason = outcome.Reason.BAD_REQUEST
            if error.status == 413:
                reason = outcome.Reason.BODY_TOO_LARGE
            await self._refuse(
                connection, outcome.Unknown(reason, error.status)
            )

    async def _make_call(
        self,
        connection: http1.ServerConnection,
        head: http1.RequestHead,
        hop_fields: call_context.CallContext,
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
        if hop_fields.depth >= calls.MAX_DEPTH:
            return outcome.NotRun(outcome.Reason.TOO_DEEP)
        key: str | outcome.NotRun = ""
        if self.claims is not None and not route.idempotent:
            key = claim.read_key(head.headers)
        if isinstance(key, outcome.NotRun):
            return key
        deadline_s = route.deadline_s
        if hop_fields.deadline_ms is not None:
            deadline_s = min(deadline_s, hop_fields.deadline_ms / 1000)
        # Set before the body is read, so that this time counts as well.
        deadline = calls.make_deadline(deadline_s)
        headers = http1.end_to_end_headers(head.headers)
        return calls.Call(
            call_id=f"{self.rng.getrandbits(64):016x}",
            service=service.name,
            method=head.method,
            request_target=head.target,
            headers=self.protocol.prepare_request_headers(headers),
            body=await answering.read_body(connection),
            deadline=deadline,
            member=find(head.headers, service.member_header, ""),
            depth=hop_fields.depth + 1,
            idempotent=route.idempotent,
            is_retry=hop_fields.is_retry,
            key=key,
            max_attempts=route.max_attempts,
            name=self.protocol.find_request_id(head.headers),
            route=route.name,
            canary=bool(
                self.rollouts and self.rollouts.select_canary(service.name)
            ),
            urgency=calls.Urgency(
                calls.make_deadline(route.objective_s), route.priority
            ),
        )

    async def _run(
        self, connection: http1.ServerConnection, made: calls.Call
    ) -> None:
        if made.deadline.remaining_s() <= calls.RETURN_RESERVE_S:
            late = outcome.NotRun(outcome.Reason.DEADLINE_TOO_SHORT)
            await self._refuse(connection, late, made)
            return
        trail = trails.Trail()
        while True:
            candidate = self._choose(made, trail)
            if trail.newest and not self._pay_retry(made, trail, candidate):
                break
            if candidate is None:
                break
            trail.number += 1
            attempt = calls.make_attempt(
                made, trail.number, candidate.incarnation, candidate.target
            )
            attempt.reroutable = trail.may_move()
            trail.note_choice(candidate.stats.load, self.router.clock())
            async with self._execute(candidate, attempt) as result:
                if isinstance(result, outcome.Answer):
                    cut = await self._relay(connection, result, attempt)
                    if cut is None:
                        self._log_end(made, candidate, trail, result)
                        return
                    result = cut
                trail.add(candidate, result)
            self._log_attempt(made, candidate, trail, result)
            if trail.moved:
                continue
            if not self._may_retry(made, trail):
                break
        await self._refuse(connection, trail.last, made)

    async def _relay(
        self,
        connection: http1.ServerConnection,
        answer: outcome.Answer,
        attempt: calls.Attempt,
    ) -> outcome.Unknown | None:
        cut = await answering.relay_answer(
            connection, answer, attempt.attempt_id, protocol=self.protocol
        )
        if cut is None:
            self.counters.calls.inc({"outcome": "answered"})
        return cut

    def _choose(
        self, made: calls.Call, trail: trails.Trail
    ) -> known_target.Candidate | None:
        revision = self.revision()
        if revision is None:
            # The process was suspended; its document and targets may be
            # outdated.
            return None
        targets = self.membership.by_service.get(made.service, [])
        allowed = targets
        if self.rollouts is not None:
            canary = made.canary and not trail.number
            allowed = self.rollouts.filter_targets(
                made.service, targets, canary
            )
        while True:
            excluded = trail.tried | trail.busy
            chosen = self.router.choose(allowed, revision.domains_out, excluded)
            if not trail.busy:
                return chosen
            now_s = self.router.clock()
            if chosen is not None and not routing.is_slow(chosen, now_s):
                return chosen
            # No other target is free and fast: choose among all targets, and
            # let the call wait in a queue.
            trail.accept_busy()

    def _may_retry(
        self,
        made: calls.Call,
        trail: trails.Trail,
    ) -> bool:
        latency_s = self.router.service_stats(made.service).latency_s
        assert trail.newest is not None
        denial = self.retries.check(
            made, trail.newest, trail.target_attempts, latency_s
        )
        return self._count_denial(denial)

    def _pay_retry(
        self,
        made: calls.Call,
        trail: trails.Trail,
        candidate: known_target.Candidate | None,
    ) -> bool:
        if trail.moved:
            # The attempt reached no target and costs no retry budget.
            return True
        if candidate is None:
            return self._count_denial(retry.Denial.NO_TARGET)
        has_room = self.router.has_capacity(candidate)
        assert trail.newest is not None
        denial = self.retries.spend(made, trail.newest, has_room)
        if denial is None:
            self.counters.retries.inc({"reason": trail.newest.reason.value})
        return self._count_denial(denial)

    def _count_denial(self, denial: retry.Denial | None) -> bool:
        if denial is None:
            return True
        self.counters.retry_denials.inc({"reason": denial.value})
        return False

    @contextlib.asynccontextmanager
    async def _execute(
        self, candidate: known_target.Candidate, attempt: calls.Attempt
    ) -> AsyncIterator[outcome.Outcome]:
        own = candidate.node == self.node
        executor = (
            self.runner.execute_local(attempt)
            if own
            else self.forwarder.execute(candidate, attempt)
        )
        self.router.begin_attempt(candidate)
        began_s = time.monotonic()
        try:
            async with executor as result:
                self.router.record_result(
                    self.membership.by_service.get(candidate.service, []),
                    candidate,
                    retry.judge(result),
                    time.monotonic() - began_s,
                )
                if result == _WRONG_INCARNATION:
                    candidate.mark_replaced()
                yield result
        finally:
            self.router.finish_attempt(candidate)

    async def _refuse(
        self,
        connection: http1.ServerConnection,
        refusal: outcome.NotRun | outcome.Unknown,
        made: calls.Call | None = None,
    ) -> None:
        log.info(
            "request refused",
            request=made.name if made else "",
            service=made.service if made else "",
            reason=refusal.reason.value,
            status=refusal.status,
        )
        kind = "not_run" if isinstance(refusal, outcome.NotRun) else "unknown"
        self.counters.refusals.inc(
            {"kind": kind, "reason": refusal.reason.value}
        )
        self.counters.calls.inc({"outcome": kind})
        await answering.send_refusal(connection, refusal)

    def _log_attempt(
        self,
        made: calls.Call,
        candidate: known_target.Candidate,
        trail: trails.Trail,
        result: outcome.NotRun | outcome.Unknown,
    ) -> None:
        log.info(
            "attempt ended without an answer",
            request=made.name,
            route=made.route,
            node=candidate.node,
            number=trail.number,
            reason=result.reason.value,
            not_run=isinstance(result, outcome.NotRun),
            left_ms=round(made.deadline.remaining_s() * 1000),
            load_age_ms=trail.load_age_ms,
            slowness=trail.slowness,
        )

    def _log_end(
        self,
        made: calls.Call,
        candidate: known_target.Candidate,
        trail: trails.Trail,
        answer: outcome.Answer,
    ) -> None:
        log.info(
            "request answered",
            request=made.name,
            route=made.route,
            node=candidate.node,
            version=candidate.version,
            number=trail.number,
            status=answer.head.status,
            left_ms=round(made.deadline.remaining_s() * 1000),
            load_age_ms=trail.load_age_ms,
            slowness=trail.slowness,
        )
