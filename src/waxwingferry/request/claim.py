"""Claims idempotency keys in the platform's table.

A key is claimed by inserting a row before the call is dispatched. A row in
state "claimed" is never taken over. A call with a key therefore runs at most
once, no matter which nodes receive copies of it.
"""

import base64
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
import re
import time
import typing
from typing import Any

import anyio

from waxwingferry import deferred
from waxwingferry import invariants
from waxwingferry.connection import closing
from waxwingferry.connection import http1
from waxwingferry.process import background
from waxwingferry.process import metrics
from waxwingferry.process import platform
from waxwingferry.process.choice import budget
from waxwingferry.request import answer_recorder
from waxwingferry.request import calls
from waxwingferry.request import claim_results
from waxwingferry.request import outcome

if typing.TYPE_CHECKING:
    import hashlib
    from urllib import parse as url_parsing
else:
    hashlib = deferred.Module("hashlib")
    url_parsing = deferred.Module("urllib.parse")

PREFIX = "claims/"
REPLAYED_HEADER = "x-waxwing-replayed"
KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")

MIN_POLL_INTERVAL_S = 0.05
MAX_POLL_INTERVAL_S = 0.5
READ_BACK_ATTEMPTS = 3
READ_BACK_DELAY_S = 0.05
# After a failure, claims are refused for this time without contacting the
# platform, so that an outage leaves few claims whose write is in doubt.
OUTAGE_BACKOFF_S = 0.5
# One write for the claim and one for its result.
WRITES_PER_CLAIM = 2
BUDGET_BURST_S = 2.0

Run = Callable[[Any, calls.Call], Awaitable[None]]
Refuse = Callable[
    [Any, outcome.NotRun | outcome.Unknown],
    Awaitable[None],
]


@dataclasses.dataclass(slots=True, frozen=True)
class StoredAnswer:
    """The recorded answer to an earlier copy of the same call."""

    status: int
    headers: http1.Headers
    body: bytes


class _NotWrittenError(platform.PlatformError):
    """The platform responds, but the claim is not in the table."""


class ClaimBudget:
    """Limits the claim writes of one node with a token bucket.

    Args:
        rate: Returns the current limit of this node in writes per second.
        clock: Monotonic clock in seconds.
    """

    def __init__(
        self,
        rate: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.rate = rate
        self.bucket = budget.TokenBucket(0.0, WRITES_PER_CLAIM, clock)

    def try_spend(self) -> bool:
        """Takes tokens for the writes of one claim; False if there are none."""
        rate = self.rate()
        self.bucket.set_rate(rate, max(rate * BUDGET_BURST_S, WRITES_PER_CLAIM))
        return self.bucket.spend(WRITES_PER_CLAIM)

    def refund(self, writes: int) -> None:
        """Gives back tokens for writes that were not made."""
        self.bucket.refund(writes)


class Claims:
    """Runs calls with an idempotency key at most once.

    Args:
        table: The platform's table.
        tasks: Background tasks, in which claimed calls run, so that they
            outlive the caller's connection.
        budget: Limits the claim writes.
        counters: Metrics of the node.
        rng: Random source for claim ids.
    """

    def __init__(
        self,
        table: platform.Table,
        tasks: background.Background,
        budget: ClaimBudget,
        counters: metrics.Metrics,
        rng: random.Random,
    ):
        self.table = table
        self.tasks = tasks
        self.budget = budget
        self.counters = counters
        self.rng = rng
        self.result_writer = claim_results.ResultWriter(table, counters)
        self.backoff_until_s = 0.0

    async def run(
        self,
        connection: http1.ServerConnection,
        call: calls.Call,
        run: Run,
        refuse: Refuse,
    ) -> None:
        """Handles one call with an idempotency key.

        Args:
            connection: The caller's connection.
            call: The call.
            run: Runs the call and answers on the given connection.
            refuse: Sends a refusal on the given connection.
        """
        if call.body.rest is not None:
            # The digest of the whole body is needed before dispatch.
            reason = outcome.Reason.BODY_TOO_LARGE
            await refuse(connection, outcome.NotRun(reason, 413))
            return
        answer = answer_recorder.AnswerRecorder(
            connection.is_head_request(), connection.supports_chunked()
        )
        # From here on, only the answer tells whether the call has run.
        connection.may_have_run = True
        self.tasks.start_soon(self._run, answer, call, run, refuse)
        await answer.forward_to(connection)

    async def _run(
        self,
        answer: answer_recorder.AnswerRecorder,
        call: calls.Call,
        run: Run,
        refuse: Refuse,
    ) -> None:
        try:
            found = await self._claim(call, answer)
            match found:
                case claim_results.Claim():
                    await self._run_claimed(found, answer, call, run, refuse)
                case StoredAnswer():
                    self.counters.events.inc({"event": "claim_replayed"})
                    self.counters.calls.inc({"outcome": "replayed"})
                    headers = [*found.headers, (REPLAYED_HEADER, "true")]
                    await answer.send_head(found.status, headers, found.body)
                case outcome.NotRun() | outcome.Unknown():
                    await refuse(answer, found)
        except Exception as error:
            self.tasks.on_fault(error)
            await _answer_fault(answer)
        finally:
            answer.finish()

    async def _run_claimed(
        self,
        claim: claim_results.Claim,
        answer: answer_recorder.AnswerRecorder,
        call: calls.Call,
        run: Run,
        refuse: Refuse,
    ) -> None:
        self.counters.events.inc({"event": "claim_won"})
        # A claimed call must be started only once.
        invariants.require_promise(not claim.started, "claim_started_once")
        claim.started = True
        try:
            # The process may have been suspended since it wrote the claim.
            if call.deadline.remaining_s() <= 0:
                reason = outcome.Reason.DEADLINE_TOO_SHORT
                await refuse(answer, outcome.NotRun(reason))
            else:
                await run(answer, call)
        except http1.HttpError:
            self.counters.events.inc({"event": "claim_answer_cut"})
        except Exception as error:
            self.tasks.on_fault(error)
            await _answer_fault(answer)
        answer.finish()
        value = _make_result_row(claim, answer)
        if value is not None:
            await self.result_writer.write_or_defer(claim, value)

    async def _claim(
        self, call: calls.Call, answer: answer_recorder.AnswerRecorder
    ) -> claim_results.Claim | StoredAnswer | outcome.NotRun | outcome.Unknown:
        """Claims the key of a call, or returns the result of another claim."""
        if time.monotonic() < self.backoff_until_s:
            return outcome.NotRun(outcome.Reason.CLAIM_UNAVAILABLE)
        if not self.budget.try_spend():
            return outcome.NotRun(outcome.Reason.CLAIM_BUDGET)
        claim = claim_results.Claim(
            make_row_key(call),
            f"{self.rng.getrandbits(128):032x}",
            make_digest(call),
        )
        limit_s = max(call.deadline.remaining_s(), 0)
        try:
            with call.deadline.enforce():
                found = await self._acquire(claim, call, answer)
        except (platform.PlatformError, TimeoutError) as error:
            if limit_s > OUTAGE_BACKOFF_S and not isinstance(
                error, _NotWrittenError
            ):
                self.backoff_until_s = time.monotonic() + OUTAGE_BACKOFF_S
            if claim.held_by_other:
                return outcome.Unknown(outcome.Reason.CLAIM_HELD, 504)
            if claim.maybe_written:
                # Only this node knows that the call did not run and won't run.
                self.result_writer.defer(
                    claim, claim.make_row_value(claim_results.RELEASED)
                )
            return outcome.NotRun(outcome.Reason.CLAIM_UNAVAILABLE)
        if not isinstance(found, claim_results.Claim):
            self.budget.refund(1)
        return found

    async def _acquire(
        self,
        claim: claim_results.Claim,
        call: calls.Call,
        answer: answer_recorder.AnswerRecorder,
    ) -> claim_results.Claim | StoredAnswer | outcome.NotRun | outcome.Unknown:
        """Inserts the claim's row, or waits on the row that is present."""
        row = await self._write_claim(claim, 0)
        delay_s = MIN_POLL_INTERVAL_S
        while row is not None:
            if not claim_results.is_claim(row):
                # Nobody can tell whether a call with the key was run.
                claim.held_by_other = True
                return outcome.Unknown(outcome.Reason.CLAIM_HELD, 504)
            found = _evaluate_row(claim, row)
            if found is not None:
                return found
            assert row.value is not None
            if row.value["state"] == claim_results.RELEASED:
                claim.held_by_other = False
                row = await self._write_claim(claim, row.version)
                continue
            claim.held_by_other = True
            left_s = call.deadline.remaining_s()
            if left_s <= delay_s or answer.abandoned:
                return outcome.Unknown(outcome.Reason.CLAIM_HELD, 504)
            await anyio.sleep(delay_s * self.rng.uniform(0.5, 1.0))
            delay_s = min(delay_s * 2, MAX_POLL_INTERVAL_S)
            row = await self._read_row(claim.row_key)
        # The row was removed during the wait, so the key counts as unused.
        return outcome.Unknown(outcome.Reason.CLAIM_HELD, 504)

    async def _write_claim(
        self, claim: claim_results.Claim, if_version: int
    ) -> platform.Row | None:
        """Writes the claim if the row has this version; returns the row."""
        value = claim.make_row_value(claim_results.CLAIMED)
        write = platform.Write(claim.row_key, value, if_version)
        claim.if_version = if_version
        claim.maybe_written = True
        try:
            versions = await self.table.transact([write])
        except platform.ConflictError as conflict:
            row = conflict.row
            claim.maybe_written = _is_own(claim, row)
            return row
        except platform.PlatformError:
            return await self._read_back(claim)
        return platform.Row(claim.row_key, value, versions[0])

    async def _read_back(
        self, claim: claim_results.Claim
    ) -> platform.Row | None:
        """Checks whether a write whose response was lost took effect.

        Raises:
            PlatformError: Its effect is unknown, or it had none so far.
        """
        self.counters.events.inc({"event": "claim_read_back"})
        for attempt in range(READ_BACK_ATTEMPTS):
            try:
                row = await self.table.read(claim.row_key)
            except platform.PlatformError:
                if attempt + 1 == READ_BACK_ATTEMPTS:
                    raise
                await anyio.sleep(READ_BACK_DELAY_S)
                continue
            if row is None or row.value is None:
                break
            if row.version != claim.if_version:
                # With any other version the write's condition is false.
                claim.maybe_written = _is_own(claim, row)
                return row
            break
        raise _NotWrittenError("claim is not in the table after its write")

    async def _read_row(self, row_key: str) -> platform.Row | None:
        row = await self.table.read(row_key)
        return None if row is None or row.value is None else row


async def _answer_fault(answer: answer_recorder.AnswerRecorder) -> None:
    if not answer.answer_started:
        await closing.send_fault_response(answer)


def _is_own(claim: claim_results.Claim, row: platform.Row | None) -> bool:
    if row is None or row.value is None or not claim_results.is_claim(row):
        return False
    return row.value["claim_id"] == claim.claim_id


def _evaluate_row(
    claim: claim_results.Claim, row: platform.Row
) -> (
    claim_results.Claim | StoredAnswer | outcome.NotRun | outcome.Unknown | None
):
    """Returns the result that the row gives; None if it is held or released."""
    value = row.value
    assert value is not None
    if value["claim_id"] == claim.claim_id:
        invariants.require(
            value["state"] == claim_results.CLAIMED, "claim_state"
        )
        claim.version = row.version
        return claim
    if value["digest"] != claim.digest:
        return outcome.NotRun(outcome.Reason.KEY_MISMATCH, 422)
    if value["state"] != claim_results.DONE:
        return None
    answer = value["answer"]
    if answer["body"] is None:
        return outcome.Unknown(outcome.Reason.ANSWER_NOT_KEPT)
    headers = [(name, text) for name, text in answer["headers"]]
    return StoredAnswer(
        answer["status"], headers, base64.b64decode(answer["body"])
    )


def _make_result_row(
    claim: claim_results.Claim, answer: answer_recorder.AnswerRecorder
) -> dict[str, Any] | None:
    """Returns the row value that records an outcome, None if unknown."""
    outcome_name = http1.find_header(answer.headers, outcome.OUTCOME_HEADER)
    if outcome_name == "not-run":
        return claim.make_row_value(claim_results.RELEASED)
    if outcome_name != "answered" or not answer.complete:
        return None
    value = claim.make_row_value(claim_results.DONE)
    body = answer.body()
    encoded = None if body is None else base64.b64encode(body).decode("ascii")
    value["answer"] = {
        "status": answer.status,
        "headers": http1.end_to_end_headers(answer.headers),
        "body": encoded,
    }
    return value


def read_key(headers: http1.Headers) -> str | outcome.NotRun:
    """Returns the idempotency key of a request, or "" without one."""
    keys = [value for name, value in headers if name == calls.KEY_HEADER]
    if not keys:
        return ""
    if len(keys) > 1 or not KEY_PATTERN.fullmatch(keys[0]):
        return outcome.NotRun(outcome.Reason.BAD_KEY, 400)
    return keys[0]


def make_row_key(call: calls.Call) -> str:
    """Returns the key of a claim's row; quoting makes it unambiguous."""
    parts = (call.service, call.member, call.key)
    return PREFIX + "/".join(url_parsing.quote(part, "") for part in parts)


def make_digest(call: calls.Call) -> str:
    """Returns a digest of the method, target and body of a call."""
    start = f"{call.method} {call.request_target}\n".encode()
    return hashlib.sha256(start + call.body.buffered).hexdigest()
