"""Which attempts the target's node records as usage."""

import contextlib

import pytest

from waxwingferry.connection import http1
from waxwingferry.process.usage import records
from waxwingferry.request import calls
from waxwingferry.request import outcome
from waxwingferry.request.tests import test_receive


async def execute(
    result: outcome.Outcome, workspace: str = "a", depth: int = 1
) -> records.Records:
    """Runs one attempt with an outcome; returns the records."""
    fixture = test_receive.ReceiverFixture()
    kept = fixture.receiver.usage = records.Records()

    @contextlib.asynccontextmanager
    async def send(attempt):
        yield result

    fixture.receiver.link.execute = send  # type: ignore
    attempt = calls.Attempt(
        "1",
        "s",
        "GET",
        "/",
        [],
        calls.Body(b""),
        calls.make_deadline(60),
        "m",
        depth,
        "n1",
        workspace=workspace,
    )
    async with fixture.receiver.execute(attempt):
        pass
    return kept


@pytest.mark.parametrize(
    "result",
    [
        outcome.make_answer(http1.ResponseHead(200, []), b""),
        outcome.make_answer(http1.ResponseHead(500, []), b""),
        outcome.Unknown(outcome.Reason.CONNECTION_LOST),
        outcome.Unknown(outcome.Reason.TIMEOUT, 504),
    ],
)
async def test_each_run_counts(result):
    """Guards against runs that are lost because their answer is."""
    assert (await execute(result)).count(10, -1) == {"a": 1}


async def test_a_refused_request_does_not_count():
    """Guards against usage for what the target did not run."""
    refused = outcome.NotRun(outcome.Reason.TARGET_REFUSED)
    assert (await execute(refused)).count(10, -1) == {}


@pytest.mark.parametrize(("workspace", "depth"), [("", 1), ("a", 2)])
async def test_requests_without_a_workspace_do_not_count(workspace, depth):
    """Guards against usage for nested calls and anonymous requests."""
    answer = outcome.make_answer(http1.ResponseHead(200, []), b"")
    kept = await execute(answer, workspace, depth)
    assert len(kept.times_s) == 0
