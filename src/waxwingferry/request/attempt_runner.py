"""Runs attempts at the target's node and records their state.

An attempt without an idempotency key is bound to the connection it arrived
on: closing the connection cancels it. An attempt with a claimed key continues
in the background once it is dispatched, so that its answer is retained for the
entry node to fetch.
"""

from collections.abc import AsyncIterator
import contextlib
from typing import Protocol

import anyio
import anyio.abc

from waxwingferry.connection import http1
from waxwingferry.process import attempts
from waxwingferry.process import background
from waxwingferry.process import metrics
from waxwingferry.request import calls
from waxwingferry.request import outcome

MAX_CHUNKS_AHEAD = 4


class Executor(Protocol):
    """Admits an attempt and sends it to the target."""

    def execute(
        self, attempt: calls.Attempt
    ) -> contextlib.AbstractAsyncContextManager[outcome.Outcome]:
        """Runs one attempt; the answer can be read inside the context."""


class AttemptRunner:
    """Runs attempts and keeps a record of each.

    Args:
        executor: Admits an attempt and sends it to the target.
        records: Records of the attempts of this node process.
        tasks: Background tasks, in which attempts with a key run.
        counters: Metrics of the node.
    """

    def __init__(
        self,
        executor: Executor,
        records: attempts.Attempts,
        tasks: background.Background,
        counters: metrics.Metrics,
    ):
        self.executor = executor
        self.records = records
        self.tasks = tasks
        self.counters = counters

    @contextlib.asynccontextmanager
    async def execute(
        self, attempt: calls.Attempt
    ) -> AsyncIterator[outcome.Outcome]:
        """Runs one attempt; the answer can be read inside the context."""
        record = self.records.register(attempt.attempt_id, attempt.node_time_ms)
        if not isinstance(record, attempts.Record):
            self.counters.events.inc({"event": record.reason.value})
            yield record
            return
        record.deadline = attempt.deadline
        attempt.on_dispatch = lambda: self.records.dispatch(record)
        run = self._run_detached if attempt.keyed else self._run_attached
        async with run(attempt, record) as result:
            if result == outcome.Unknown(outcome.Reason.ANSWER_MISMATCH):
                self.counters.events.inc({"event": "answer_mismatch"})
            yield result

    @contextlib.asynccontextmanager
    async def execute_local(
        self, attempt: calls.Attempt
    ) -> AsyncIterator[outcome.Outcome]:
        """Runs an attempt whose entry is this node process."""
        attempt.node_time_ms = self.records.now_ms()
        async with self.execute(attempt) as result:
            yield result

    @contextlib.asynccontextmanager
    async def _run_attached(
        self, attempt: calls.Attempt, record: attempts.Record
    ) -> AsyncIterator[outcome.Outcome]:
        not_run = False
        yielded = False
        try:
            with anyio.CancelScope() as record.scope:
                async with self.executor.execute(attempt) as result:
                    not_run = isinstance(result, outcome.NotRun)
                    yielded = True
                    yield result
        finally:
            self.records.finish(record, not_run=not_run)
        if not yielded:
            yield outcome.NotRun(outcome.Reason.FENCED)

    @contextlib.asynccontextmanager
    async def _run_detached(
        self, attempt: calls.Attempt, record: attempts.Record
    ) -> AsyncIterator[outcome.Outcome]:
        pipe = _Pipe()
        self.tasks.start_soon(self._run_in_background, attempt, record, pipe)
        try:
            yield await pipe.receive_outcome()
        finally:
            pipe.close_receiver()
            self.records.withdraw(record)

    async def _run_in_background(
        self,
        attempt: calls.Attempt,
        record: attempts.Record,
        pipe: "_Pipe",
    ) -> None:
        answer: attempts.RetainedAnswer | None = None
        not_run = False
        try:
            with anyio.CancelScope() as record.scope:
                if record.state is attempts.State.FENCED:
                    return
                async with self.executor.execute(attempt) as result:
                    not_run = isinstance(result, outcome.NotRun)
                    pipe.set_outcome(result)
                    if isinstance(result, outcome.Answer):
                        answer = await _read_answer(result, pipe)
        except outcome.AnswerCutError as error:
            pipe.error = error
        except Exception as error:
            pipe.fail(record.dispatched)
            self.tasks.on_fault(error)
        finally:
            pipe.close_sender()
            self.records.finish(record, answer, not_run)


class _Pipe:
    """Transfers an outcome and its body from a background task to a handler."""

    def __init__(self):
        self.sender, self.receiver = anyio.create_memory_object_stream[bytes](
            MAX_CHUNKS_AHEAD
        )
        self.result: outcome.Outcome = outcome.NotRun(outcome.Reason.FENCED)
        self.outcome_ready = anyio.Event()
        self.error: outcome.AnswerCutError | None = None

    def set_outcome(self, result: outcome.Outcome) -> None:
        self.result = result
        if isinstance(result, outcome.Answer):
            self.result = outcome.Answer(result.head, self.receive_chunk)
        self.outcome_ready.set()

    def fail(self, was_dispatched: bool) -> None:
        """Ends the outcome, or the answer, that a fault has interrupted."""
        self.error = outcome.AnswerCutError("the attempt failed")
        if self.outcome_ready.is_set():
            return
        reason = outcome.Reason.INTERNAL_ERROR
        self.result = (
            outcome.Unknown(reason, 500)
            if was_dispatched
            else outcome.NotRun(reason, 500)
        )

    async def receive_outcome(self) -> outcome.Outcome:
        await self.outcome_ready.wait()
        return self.result

    async def send_chunk(self, chunk: bytes) -> None:
        # Without a handler, reading goes on for the retained answer only.
        with contextlib.suppress(anyio.BrokenResourceError):
            await self.sender.send(chunk)

    async def receive_chunk(self) -> bytes | None:
        try:
            return await self.receiver.receive()
        except anyio.EndOfStream:
            if self.error is not None:
                raise self.error from None
            return None

    def close_receiver(self) -> None:
        """Called when the handler stops reading."""
        self.receiver.close()

    def close_sender(self) -> None:
        """Called when the background task has sent all chunks."""
        self.outcome_ready.set()
        self.sender.close()


async def _read_answer(
    result: outcome.Answer, pipe: _Pipe
) -> attempts.RetainedAnswer | None:
    """Reads an answer; returns it unless it is too large to retain."""
    parts: list[bytes] = []
    size = 0
    while (chunk := await result.receive_chunk()) is not None:
        size += len(chunk)
        if size <= attempts.MAX_ANSWER_BYTES:
            parts.append(chunk)
        await pipe.send_chunk(chunk)
    if size > attempts.MAX_ANSWER_BYTES:
        return None
    headers = http1.end_to_end_headers(result.head.headers)
    return attempts.RetainedAnswer(result.head.status, headers, b"".join(parts))
