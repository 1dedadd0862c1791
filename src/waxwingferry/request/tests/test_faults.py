"""Faults of single attempts and calls that run in background tasks."""

import contextlib
import random

import anyio
import pytest

from waxwingferry.connection import http1
from waxwingferry.process import attempts
from waxwingferry.process import background
from waxwingferry.process import metrics
from waxwingferry.process.tests import fakes
from waxwingferry.request import answer_recorder
from waxwingferry.request import attempt_runner
from waxwingferry.request import calls
from waxwingferry.request import claim
from waxwingferry.request import outcome
from waxwingferry.request.tests import test_receive

pytestmark = pytest.mark.anyio

HEAD = http1.ResponseHead(200, [("content-length", "9")])


class FaultyExecutor:
    """Fails at one step of an attempt.

    Args:
        step: "before" or "after" the dispatch, or "answer" in its body.
    """

    def __init__(self, step: str):
        self.step = step

    @contextlib.asynccontextmanager
    async def execute(self, attempt: calls.Attempt):
        """Runs an attempt until its step."""
        if self.step == "before":
            raise AssertionError("test")
        assert attempt.on_dispatch is not None
        attempt.on_dispatch()
        if self.step == "after":
            raise AssertionError("test")
        parts = [b"part"]

        async def receive_chunk() -> bytes | None:
            if not parts:
                raise AssertionError("test")
            return parts.pop()

        yield outcome.Answer(HEAD, receive_chunk)


def make_attempt(keyed: bool) -> calls.Attempt:
    """Returns an attempt."""
    return calls.Attempt(
        "a.1",
        "desk",
        "POST",
        "/",
        [],
        calls.Body(b""),
        calls.make_deadline(5.0),
        member="",
        depth=1,
        incarnation="",
        keyed=keyed,
    )


@contextlib.asynccontextmanager
async def run_attempt(step: str):
    """Runs a keyed attempt that fails; yields its result and the runner."""
    faults: list[BaseException] = []
    tasks = background.Background(faults.append)
    runner = attempt_runner.AttemptRunner(
        FaultyExecutor(step), attempts.Attempts(), tasks, metrics.Metrics()
    )
    async with anyio.create_task_group() as group:
        group.start_soon(tasks.run)
        await anyio.wait_all_tasks_blocked()
        async with runner.execute_local(make_attempt(keyed=True)) as result:
            yield result
        assert len(faults) == 1
        assert tasks.active_count == 0
        group.cancel_scope.cancel()


async def test_fault_after_the_dispatch_is_not_reported_as_not_run() -> None:
    """Guards against a second run of an attempt that a fault ended.

    An attempt without an outcome counted as fenced, which proves that the
    target did not get it.
    """
    async with run_attempt("after") as result:
        assert result == outcome.Unknown(outcome.Reason.INTERNAL_ERROR, 500)
    async with run_attempt("before") as result:
        assert result == outcome.NotRun(outcome.Reason.INTERNAL_ERROR, 500)


async def test_answer_that_a_fault_cuts_is_not_complete() -> None:
    """Guards against a part of an answer that is passed on as the whole."""
    async with run_attempt("answer") as result:
        assert isinstance(result, outcome.Answer)
        assert await result.receive_chunk() == b"part"
        with pytest.raises(outcome.AnswerCutError):
            await result.receive_chunk()


def make_call() -> calls.Call:
    """Returns a call with an idempotency key."""
    return calls.Call(
        call_id="a",
        service="desk",
        method="POST",
        request_target="/",
        headers=[],
        body=calls.Body(b""),
        deadline=calls.make_deadline(5.0),
        member="",
        depth=1,
        idempotent=False,
        key="k",
    )


@pytest.mark.parametrize(
    ("has_run", "kind", "state"),
    [(True, "unknown", "claimed"), (False, "not-run", "released")],
)
async def test_fault_of_a_claimed_call_ends_that_call(
    has_run: bool, kind: str, state: str
) -> None:
    """Guards against a call with a key whose fault ends the process.

    Its key stays claimed unless the call certainly did not run.
    """
    faults: list[BaseException] = []
    tasks = background.Background(faults.append)
    table = fakes.Table()
    claims = claim.Claims(
        table,
        tasks,
        claim.ClaimBudget(lambda: 100.0),
        metrics.Metrics(),
        random.Random(1),
    )

    async def run(answer: answer_recorder.AnswerRecorder, call) -> None:
        answer.may_have_run = has_run
        raise AssertionError("test")

    async def refuse(answer, refusal) -> None:
        raise NotImplementedError

    answer = answer_recorder.AnswerRecorder()
    async with anyio.create_task_group() as group:
        group.start_soon(tasks.run)
        await anyio.wait_all_tasks_blocked()
        tasks.start_soon(claims._run, answer, make_call(), run, refuse)
        await answer.head_ready.wait()
        await tasks.drain(5.0)
        group.cancel_scope.cancel()
    assert answer.status == 500
    assert ("x-waxwing-outcome", kind) in answer.headers
    (row,) = table.rows.values()
    assert row.value is not None
    assert row.value["state"] == state
    assert len(faults) == 1


@pytest.mark.parametrize("failing_check", [1, 2, 3])
async def test_fault_gives_the_slot_back(failing_check: int) -> None:
    """Guards against slots that faults of requests use up.

    A receiver checks whether it takes an attempt before and after the wait.
    """
    fixture = test_receive.ReceiverFixture()
    fixture.release.set()
    receiver = fixture.receiver
    check = receiver.check
    checks = 0

    def check_or_fail(attempt: calls.Attempt) -> outcome.NotRun | None:
        nonlocal checks
        checks += 1
        if checks == failing_check:
            raise KeyError("test")
        return check(attempt)

    receiver.check = check_or_fail  # type: ignore[method-assign]
    results: dict = {}
    with pytest.raises(KeyError):
        await fixture.run("a", results)
    assert receiver.admission is not None
    assert receiver.admission.in_flight == 0
    assert not receiver.admission.queue
    assert not receiver.running.parents
    await fixture.run("b", results)
    assert results == {"b": "answered"}
    assert fixture.sent == ["b"]
