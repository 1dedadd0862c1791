"""Claims of idempotency keys in the platform's table.

A key is claimed by inserting a row before the call is dispatched, and the row
is never taken over while it is in state "claimed". So a call with a key runs
at most once, whichever nodes its copies are sent to.
"""

import base64
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import hashlib
import random
import re
import time
from typing import Any
import urllib.parse

import anyio

from waxwingferry.connection import http1
from waxwingferry.process import background
from waxwingferry.process import metrics
from waxwingferry.process import platform
from waxwingferry.process.choice import budget
from waxwingferry.request import answer_recorder
from waxwingferry.request import call as calls
from waxwingferry.request import claim_results
from waxwingferry.request import outcome

PREFIX = "claims/"
REPLAYED_HEADER = "x-waxwing-replayed"
KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")

MIN_POLL_INTERVAL_S = 0.05
MAX_POLL_INTERVAL_S = 0.5
READ_BACK_ATTEMPTS = 3
READ_BACK_DELAY_S = 0.05
# After a failure, claims are refused this long without asking the platform,
# so that an outage leaves few claims of unknown fate behind.
OUTAGE_BACKOFF_S = 0.5
# The claim and its result.
WRITES_PER_CLAIM = 2
BUDGET_BURST_S = 2.0

Run = Callable[[Any, calls.Call], Awaitable[None]]
Refuse = Callable[
    [Any, outcome.NotRun | outcome.Unknown],
    Awaitable[None],
]


@dataclasses.dataclass(slots=True, frozen=True)
class StoredAnswer:
    """The answer that an earlier send of the same call got."""

    status: int
    headers: http1.Headers
    body: bytes


class _NotWrittenError(platform.PlatformError):
    """The platform answers, but a claim has not reached the table."""


class ClaimBudget:
    """A token bucket for the claim writes of one node.

    Args:
        rate: Returns the writes per second that this node may make now.
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
        """Takes the writes of one claim, or returns False."""
        rate = self.rate()
        self.bucket.set_rate(rate, max(rate * BUDGET_BURST_S, WRITES_PER_CLAIM))
        return self.bucket.spend(WRITES_PER_CLAIM)

    def refund(self, writes: int) -> None:
        """Returns writes that were not needed."""
        self.bucket.refund(writes)


class Claims:
    """Runs calls with an idempotency key at most once.

    Args:
        table: The platform's table.
        tasks: Where claimed calls run, so that a caller can go away.
        budget: Limits the claim writes.
        counters: Metrics of the node.
        rng: Source of claim identities.
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
        """Answers one call with a key.

        Args:
            connection: The caller's connection.
            call: The call.
            run: Runs the call and answers on the connection it is given.
            refuse: Sends a refusal on the connection it is given.
        """
        if call.body.rest is not None:
            # Its digest is needed before it is dispatched.
            reason = outcome.Reason.BODY_TOO_LARGE
            await refuse(connection, outcome.NotRun(reason, 413))
            return
        answer = answer_recorder.AnswerRecorder(
            connection.answers_head(), connection.takes_chunked()
        )
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
        assert not claim.started, "a claim runs once"
        claim.started = True
        try:
            # The process may have been stopped since it wrote the claim.
            if call.deadline.remaining_s() <= 0:
                reason = outcome.Reason.DEADLINE_TOO_SHORT
                await refuse(answer, outcome.NotRun(reason))
            else:
                await run(answer, call)
        except http1.HttpError:
            self.counters.events.inc({"event": "claim_answer_cut"})
        answer.finish()
        value = _make_result_row(claim, answer)
        if value is not None:
            await self.result_writer.write_or_defer(claim, value)

    async def _claim(
        self, call: calls.Call, answer: answer_recorder.AnswerRecorder
    ) -> claim_results.Claim | StoredAnswer | outcome.NotRun | outcome.Unknown:
        """Claims the key of a call, or returns what came of it before."""
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
            with anyio.fail_after(limit_s):
                found = await self._acquire(claim, call, answer)
        except (platform.PlatformError, TimeoutError) as error:
            if limit_s > OUTAGE_BACKOFF_S and not isinstance(
                error, _NotWrittenError
            ):
                self.backoff_until_s = time.monotonic() + OUTAGE_BACKOFF_S
            if claim.held_by_other:
                return outcome.Unknown(outcome.Reason.CLAIM_HELD, 504)
            if claim.maybe_written:
                # It was not run and never will be, but only this node knows.
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
        """Inserts the claim's row, or follows the row that is there."""
        row = await self._write_claim(claim, 0)
        delay_s = MIN_POLL_INTERVAL_S
        while row is not None:
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
        # The row was removed while this call waited: a new key.
        return outcome.Unknown(outcome.Reason.CLAIM_HELD, 504)

    async def _write_claim(
        self, claim: claim_results.Claim, if_version: int
    ) -> platform.Row | None:
        """Writes the claim if the row has the version; returns the row."""
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
        """Finds out whether a write whose answer was lost took effect.

        Raises:
            PlatformError: It can't be known, or it had no effect so far.
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
                # Any other row makes the condition of the write false.
                claim.maybe_written = _is_own(claim, row)
                return row
            break
        raise _NotWrittenError("the claim has not been written")

    async def _read_row(self, row_key: str) -> platform.Row | None:
        row = await self.table.read(row_key)
        return None if row is None or row.value is None else row


def _is_own(claim: claim_results.Claim, row: platform.Row | None) -> bool:
    if row is None or row.value is None:
        return False
    return row.value["claim_id"] == claim.claim_id


def _evaluate_row(
    claim: claim_results.Claim, row: platform.Row
) -> (
    claim_results.Claim | StoredAnswer | outcome.NotRun | outcome.Unknown | None
):
    """Returns what the row decides, None if it is held or released."""
    value = row.value
    assert value is not None
    if value["claim_id"] == claim.claim_id:
        assert value["state"] == claim_results.CLAIMED
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
    """Returns the row that records an outcome, None if it is unknown."""
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
    """Returns the idempotency key of a request, "" if it has none."""
    keys = [value for name, value in headers if name == calls.KEY_HEADER]
    if not keys:
        return ""
    if len(keys) > 1 or not KEY_PATTERN.fullmatch(keys[0]):
        return outcome.NotRun(outcome.Reason.BAD_KEY, 400)
    return keys[0]


def make_row_key(call: calls.Call) -> str:
    """Returns the key of a claim's row; its parts can't run together."""
    parts = (call.service, call.member, call.key)
    return PREFIX + "/".join(urllib.parse.quote(part, "") for part in parts)


def make_digest(call: calls.Call) -> str:
    """Returns a digest of what the caller asks for."""
    start = f"{call.method} {call.request_target}\n".encode()
    return hashlib.sha256(start + call.body.buffered).hexdigest()
