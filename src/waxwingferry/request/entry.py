"""The entry node: one call from its caller to a target and back."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import random
import time

from waxwingferry.connection import http1
from waxwingferry.process import members
from waxwingferry.process import metrics
from waxwingferry.process import routing
from waxwingferry.request import call
from waxwingferry.request import claim
from waxwingferry.request import forward
from waxwingferry.request import hop
from waxwingferry.request import outcome
from waxwingferry.request import retry
from waxwingferry.request import running
from waxwingferry.version import document

MAX_IN_FLIGHT = 1000
MAX_COLLECTED_BYTES = 1024 * 1024

# Calls from outside leave places for nested ones: a nested call that finds
# no place wastes what the calls above it have done already.
OUTSIDE_SHARE = 0.8

_REPLACED = frozenset(
    {call.ATTEMPT_HEADER, call.LOAD_HEADER, outcome.OUTCOME_HEADER}
)


class Entry:
    """Answers callers.

    Args:
        node: Name of this node.
        revision: Returns the newest document known, or None.
        known: The targets known.
        router: Chooses targets.
        forwarder: Sends attempts to other nodes.
        runner: Runs attempts at the node's own target.
        claims: Claims of idempotency keys.
        counters: Metrics of the node.
        rng: Source of call identities.
        max_in_flight: Calls in flight at a time; more are refused.
    """

    def __init__(
        self,
        node: str,
        revision: Callable[[], document.Revision | None],
        known: members.Members,
        router: routing.Router,
        forwarder: forward.Forwarder,
        runner: running.AttemptRunner,
        claims: claim.Claims,
        counters: metrics.Metrics,
        rng: random.Random,
        max_in_flight: int = MAX_IN_FLIGHT,
    ):
        self.node = node
        self.revision = revision
        self.known = known
        self.router = router
        self.forwarder = forwarder
        self.runner = runner
        self.claims = claims
        self.counters = counters
        self.rng = rng
        self.max_in_flight = max_in_flight
        self.in_flight = 0
        self.retries = retry.RetryPolicy(self._retry_ratio)

    def _retry_ratio(self) -> float:
        revision = self.revision()
        return revision.document.budgets.retry_ratio if revision else 0.0

    async def handle(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Answers one request of a caller."""
        try:
            place = hop.parse_hop(head.headers)
        except http1.HttpError:
            refusal = outcome.NotRun(outcome.Reason.BAD_REQUEST, 400)
            await self._refuse(connection, refusal)
            return
        if not self._has_place(place.depth):
            refusal = outcome.NotRun(outcome.Reason.ENTRY_FULL)
            await self._refuse(connection, refusal)
            return
        self.in_flight += 1
        try:
            made = await self._make_call(connection, head, place)
            if isinstance(made, outcome.NotRun):
                await self._refuse(connection, made)
                return
            self.retries.count_call(made)
            await self._run_keyed(connection, made)
        finally:
            self.in_flight -= 1
            assert 0 <= self.in_flight <= self.max_in_flight

    def _has_place(self, depth: int) -> bool:
        share = 1.0 if depth else OUTSIDE_SHARE
        return self.in_flight < self.max_in_flight * share

    async def _run_keyed(
        self, connection: http1.ServerConnection, made: call.Call
    ) -> None:
        if made.deadline.remaining_s() <= 0:
            # A slow body used up the time; an attempt would end as unknown.
            late = outcome.NotRun(outcome.Reason.DEADLINE_TOO_SHORT)
            await self._refuse(connection, late)
            return
        if made.key:
            await self.claims.run(connection, made, self._run, self._refuse)
            return
        try:
            await self._run(connection, made)
        except call.BodyError as error:
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
        place: hop.Hop,
    ) -> call.Call | outcome.NotRun:
        revision = self.revision()
        if revision is None:
            return outcome.NotRun(outcome.Reason.NO_DOCUMENT)
        match = revision.match_route(head.method, head.target)
        if match is None:
            return outcome.NotRun(outcome.Reason.NO_ROUTE, 404)
        service, route = match
        find = http1.find_header
        if place.depth >= call.MAX_DEPTH:
            return outcome.NotRun(outcome.Reason.TOO_DEEP)
        key = "" if route.idempotent else claim.read_key(head.headers)
        if isinstance(key, outcome.NotRun):
            return key
        deadline_ms = route.deadline_ms
        if place.deadline_ms is not None:
            deadline_ms = min(deadline_ms, place.deadline_ms)
        # The time that the body takes counts as well.
        deadline = call.make_deadline(deadline_ms / 1000)
        return call.Call(
            call_id=f"{self.rng.getrandbits(64):016x}",
            service=service.name,
            method=head.method,
            target=head.target,
            headers=http1.end_to_end_headers(head.headers),
            body=await read_body(connection),
            deadline=deadline,
            member=find(head.headers, service.member_header, ""),
            depth=place.depth + 1,
            idempotent=route.idempotent,
            is_retry=place.is_retry,
            key=key,
        )

    async def _run(
        self, connection: http1.ServerConnection, made: call.Call
    ) -> None:
        tried: set[str] = set()
        newest: outcome.NotRun | outcome.Unknown | None = None
        last: outcome.NotRun | outcome.Unknown = outcome.NotRun(
            outcome.Reason.NO_TARGET
        )
        if made.deadline.remaining_s() <= call.RETURN_RESERVE_S:
            last = outcome.NotRun(outcome.Reason.DEADLINE_TOO_SHORT)
            await self._refuse(connection, last)
            return
        for number in range(1, retry.MAX_ATTEMPTS + 1):
            candidate = self._choose(made, tried)
            if newest and not self._pay_retry(made, newest, candidate):
                break
            if candidate is None:
                break
            tried.add(candidate.node)
            attempt = call.make_attempt(made, number, candidate.incarnation)
            async with self._execute(candidate, attempt) as result:
                if isinstance(result, outcome.Answer):
                    cut = await relay_answer(
                        connection, result, attempt.attempt_id
                    )
                    if cut is None:
                        self.counters.calls.inc({"outcome": "answered"})
                        return
                    result = cut
                newest = result
                last = outcome.combine(last, newest)
            if not self._may_retry(made, newest, number):
                break
        await self._refuse(connection, last)

    def _choose(
        self, made: call.Call, tried: set[str]
    ) -> routing.Candidate | None:
        revision = self.revision()
        if revision is None:
            # The process was paused, and what it knows may be out of date.
            return None
        return self.router.choose(
            self.known.by_service.get(made.service, []),
            revision.domains_out,
            tried,
        )

    def _may_retry(
        self,
        made: call.Call,
        last: outcome.NotRun | outcome.Unknown,
        attempts: int,
    ) -> bool:
        latency_s = self.router.service_stats(made.service).latency_s
        denial = self.retries.check(made, last, attempts, latency_s)
        return self._count_denial(denial)

    def _pay_retry(
        self,
        made: call.Call,
        last: outcome.NotRun | outcome.Unknown,
        candidate: routing.Candidate | None,
    ) -> bool:
        if candidate is None:
            return self._count_denial(retry.Denial.NO_TARGET)
        has_room = self.router.has_room(candidate)
        denial = self.retries.spend(made, last, has_room)
        if denial is None:
            self.counters.retries.inc({"reason": last.reason.value})
        return self._count_denial(denial)

    def _count_denial(self, denial: retry.Denial | None) -> bool:
        if denial is None:
            return True
        self.counters.retry_denials.inc({"reason": denial.value})
        return False

    @contextlib.asynccontextmanager
    async def _execute(
        self, candidate: routing.Candidate, attempt: call.Attempt
    ) -> AsyncIterator[outcome.Outcome]:
        own = candidate.node == self.node
        executor = (
            self.runner.execute_own(attempt)
            if own
            else self.forwarder.execute(candidate, attempt)
        )
        self.router.begin(candidate)
        began_s = time.monotonic()
        try:
            async with executor as result:
                self.router.observe(
                    self.known.by_service.get(candidate.service, []),
                    candidate,
                    retry.judge(result),
                    time.monotonic() - began_s,
                )
                yield result
        finally:
            self.router.finish(candidate)

    async def _refuse(
        self,
        connection: http1.ServerConnection,
        refusal: outcome.NotRun | outcome.Unknown,
    ) -> None:
        kind = "not_run" if isinstance(refusal, outcome.NotRun) else "unknown"
        self.counters.refusals.inc(
            {"kind": kind, "reason": refusal.reason.value}
        )
        self.counters.calls.inc({"outcome": kind})
        await send_refusal(connection, refusal)


async def relay_answer(
    connection: http1.ServerConnection,
    answer: outcome.Answer,
    attempt_id: str,
    extra: http1.Headers | None = None,
) -> outcome.Unknown | None:
    """Passes an answer on chunk by chunk.

    A length that the target gave is kept; otherwise a body of one chunk gets
    a length and a longer one chunked coding. HTTP/1.0 callers can't read
    that, and a body that ends with the connection can't be told from a cut
    one, so for them it is collected, up to MAX_COLLECTED_BYTES.

    Returns:
        None if the answer was passed on, or why nothing of it was.

    Raises:
        http1.HttpError: The answer was cut short after its start was sent.
            The connection must end before the end of the message, so that
            nobody takes the answer for whole.
    """
    head = answer.head
    headers = [item for item in head.headers if item[0] not in _REPLACED]
    headers.append((outcome.OUTCOME_HEADER, "answered"))
    headers.append((call.ATTEMPT_HEADER, attempt_id))
    headers += extra or []
    try:
        parts, whole = await _read_start(connection, answer)
    except outcome.AnswerCutError:
        return outcome.Unknown(outcome.Reason.ANSWER_CUT)
    if not whole and not _can_stream(connection, headers):
        return outcome.Unknown(outcome.Reason.ANSWER_CUT)
    if connection.answers_head():
        await connection.send_head(head.status, headers)
        return None
    if whole:
        await connection.send_head(head.status, headers, b"".join(parts))
        return None
    await connection.send_head(head.status, headers)
    for part in parts:
        await connection.send_chunk(part)
    try:
        while (chunk := await answer.receive_chunk()) is not None:
            await connection.send_chunk(chunk)
    except outcome.AnswerCutError as error:
        raise http1.ConnectionLostError("answer cut short") from error
    await connection.send_end()
    return None


async def _read_start(
    connection: http1.ServerConnection, answer: outcome.Answer
) -> tuple[list[bytes], bool]:
    """Reads as much of a body as must be known before its head is sent.

    Returns:
        The parts read, and whether they are the whole body.
    """
    enough = 1
    if not _can_stream(connection, answer.head.headers):
        enough = MAX_COLLECTED_BYTES
    parts: list[bytes] = []
    size = 0
    while (chunk := await answer.receive_chunk()) is not None:
        parts.append(chunk)
        size += len(chunk)
        if size > enough and len(parts) > 1:
            return parts, False
    return parts, True


def _can_stream(
    connection: http1.ServerConnection, headers: http1.Headers
) -> bool:
    return connection.takes_chunked() or bool(
        http1.find_header(headers, "content-length")
    )


async def send_refusal(
    connection: http1.ServerConnection,
    refusal: outcome.NotRun | outcome.Unknown,
    extra: http1.Headers | None = None,
) -> None:
    """Answers with a refusal and what it proves."""
    headers = outcome.refusal_headers(refusal) + (extra or [])
    body = f"{refusal.reason.value}\n".encode()
    await connection.send_head(refusal.status, headers, body)


async def read_body(connection: http1.ServerConnection) -> call.Body:
    """Buffers a small body; a larger one is streamed after its start.

    The rest of a larger body is read only as fast as it is sent on, and it
    can be read only once, so its call is not retried.

    Raises:
        http1.HttpError: The body failed, and nothing was sent on.
    """
    parts: list[bytes] = []
    size = 0
    while size <= call.MAX_BUFFERED_BODY_BYTES:
        chunk = await connection.receive_chunk()
        if chunk is None:
            return call.Body(b"".join(parts))
        parts.append(chunk)
        size += len(chunk)
    return call.Body(b"".join(parts), _iterate_body(connection))


async def _iterate_body(
    connection: http1.ServerConnection,
) -> AsyncIterator[bytes]:
    try:
        while (chunk := await connection.receive_chunk()) is not None:
            yield chunk
    except http1.HttpError as error:
        raise call.BodyError(str(error), error.status) from error
