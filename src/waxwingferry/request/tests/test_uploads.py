"""Bodies that are streamed are sent whole or not at all."""

from collections.abc import AsyncIterator
import contextlib
import random
from typing import Any
from typing import cast

import pytest

from waxwingferry.connection import http1
from waxwingferry.process import metrics
from waxwingferry.process.choice import routing
from waxwingferry.process.spreading import members
from waxwingferry.process.tests import fakes
from waxwingferry.request import calls
from waxwingferry.request import entry
from waxwingferry.request import outcome
from waxwingferry.request.tests import test_entry_limits
from waxwingferry.version import revision

pytestmark = pytest.mark.anyio

START = b"x" * 70_000
CHUNKS = [b"y" * 30_000] * 8
WHOLE = START + b"".join(CHUNKS)


async def iterate(chunks: list[bytes]) -> AsyncIterator[bytes]:
    """Yields the chunks."""
    for chunk in chunks:
        yield chunk


class FakeForwarder:
    """Nodes that read a part of a body before they respond.

    Args:
        reads: Chunks of the rest that each attempt reads; None reads all.
        results: What each attempt gets; a status is an answer.

    Attributes:
        received: The bodies that were received, complete or not.
    """

    def __init__(
        self, reads: list[int | None], results: list[outcome.NotRun | int]
    ):
        self.reads = reads
        self.results = results
        self.received: list[bytes] = []

    @contextlib.asynccontextmanager
    async def execute(self, candidate, attempt):
        """See forward.Forwarder."""
        body = attempt.body.buffered
        count = self.reads[len(self.received)]
        if attempt.body.rest is not None and count != 0:
            number = 0
            async for chunk in attempt.body.rest:
                body += chunk
                number += 1
                if number == count:
                    break
        self.received.append(body)
        result = self.results[len(self.received) - 1]
        if isinstance(result, int):
            head = http1.ResponseHead(result, [])
            yield outcome.make_answer(head, b"")
        else:
            yield result


async def upload(
    forwarder: FakeForwarder, idempotent: bool = False
) -> tuple[int, metrics.Metrics]:
    """Returns the status that a client gets for an upload, and the metrics."""
    membership = members.Membership("entry", fakes.Clock())
    for number in range(4):
        membership.apply(fakes.make_row(number))
    document = revision.Revision(1, {}, [], {})
    counters = metrics.Metrics()
    node = entry.EntryHandler(
        "entry",
        lambda: document,
        membership,
        routing.Router(random.Random(1)),
        cast(Any, forwarder),
        cast(Any, None),
        counters,
        random.Random(1),
    )
    call = calls.Call(
        call_id="c1",
        service="desk",
        method="POST",
        request_target="/",
        headers=[],
        body=calls.Body(START, calls.BodyStream(iterate(CHUNKS))),
        deadline=calls.make_deadline(5.0),
        member="",
        depth=1,
        idempotent=idempotent,
    )
    connection = test_entry_limits.FakeConnection()
    connection.is_head_request = lambda: False  # type: ignore[attr-defined]
    connection.supports_chunked = lambda: True  # type: ignore[attr-defined]
    await node._run_call(cast(Any, connection), call)
    return connection.status, counters


REFUSALS = (
    outcome.Reason.BUSY,
    outcome.Reason.LEAVING,
    outcome.Reason.DOMAIN_OUT,
    outcome.Reason.QUEUE_FULL,
    outcome.Reason.DISPLACED,
    outcome.Reason.TARGET_REFUSED,
    outcome.Reason.WRONG_TARGET,
    outcome.Reason.WRONG_INCARNATION,
    outcome.Reason.CRASHES_TARGETS,
    outcome.Reason.FENCED,
    outcome.Reason.CONNECTION_LOST,
    outcome.Reason.DEADLINE_TOO_SHORT,
)


@pytest.mark.parametrize("idempotent", [False, True])
@pytest.mark.parametrize("reason", REFUSALS)
async def test_an_upload_that_was_partly_sent_is_not_sent_again(
    reason, idempotent
):
    """Guards against targets that run a request with a part of its body.

    A node refused an upload as busy after a part of it; the next one got the
    start of the body and its end, ran it, and the client got status 200.
    """
    forwarder = FakeForwarder([2, None], [outcome.NotRun(reason), 200])
    status, _ = await upload(forwarder, idempotent)
    assert status == 503
    assert len(forwarder.received) == 1


async def test_an_upload_that_was_not_begun_is_sent_to_another_node():
    """Guards against refusals of uploads that no node has read from."""
    refusal = outcome.NotRun(outcome.Reason.CONNECTION_REFUSED)
    forwarder = FakeForwarder([0, None], [refusal, 200])
    status, _ = await upload(forwarder)
    assert status == 200
    assert forwarder.received[1] == WHOLE


async def test_a_second_reader_of_a_body_gets_an_error():
    """Guards against an end of a body that its client did not send."""
    body = calls.Body(START, calls.BodyStream(iterate(CHUNKS)))
    assert body.can_be_sent()
    assert body.rest is not None
    async for _ in body.rest:
        break
    assert not body.can_be_sent()
    with pytest.raises(calls.BodyError):
        _ = [chunk async for chunk in body.rest]
