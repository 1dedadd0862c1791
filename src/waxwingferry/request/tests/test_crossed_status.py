"""The status of an attempt that arrives in place of its answer."""

import anyio
import pytest

from waxwingferry.connection import exchange
from waxwingferry.connection import http1
from waxwingferry.connection import serve
from waxwingferry.process import metrics
from waxwingferry.process.choice import known_target
from waxwingferry.request import answering
from waxwingferry.request import calls
from waxwingferry.request import forward
from waxwingferry.request import outcome
from waxwingferry.request import resolve

HOST = "127.0.0.1"
INCARNATION = "node-1"
ATTEMPT_ID = "8049e97a781b5120.1"

pytestmark = pytest.mark.anyio


async def send_status(
    connection: http1.ServerConnection, head: http1.RequestHead
) -> None:
    """Sends the status of the attempt in response to every request."""
    headers = [
        (calls.INCARNATION_HEADER, INCARNATION),
        (calls.NODE_TIME_HEADER, "1"),
    ]
    if head.target != forward.NODE_TIME_PATH:
        is_resolve = head.target.endswith("/resolve")
        name = resolve.RESOLUTION_HEADER if is_resolve else resolve.SEEN_HEADER
        headers += [(calls.ATTEMPT_HEADER, ATTEMPT_ID), (name, "not_run")]
    await connection.send_head(200, headers, b"")


# Both name the attempt, so that the status was sent to the caller as an answer.
async def test_the_status_of_an_attempt_is_not_its_answer() -> None:
    """Guards against an empty success for a request that has not run."""
    server = serve.Server(send_status)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, HOST, 0)
        await server.listening.wait()
        candidate = known_target.Candidate(
            "n1", "registry", "v1", "r1", "d1", HOST, server.port,
            INCARNATION, "ready", 6,
        )  # fmt: skip
        attempt = calls.Attempt(
            ATTEMPT_ID, "registry", "GET", "/", [], calls.Body(b""),
            calls.make_deadline(5.0), "", 1, INCARNATION,
        )  # fmt: skip
        forwarder = forward.Forwarder(metrics.Metrics())
        async with forwarder.execute(candidate, attempt) as result:
            assert result == outcome.NotRun(outcome.Reason.ANSWER_MISMATCH)
        group.cancel_scope.cancel()


async def test_a_target_cannot_send_the_status_of_an_attempt() -> None:
    """Guards against an answer that its entry takes for a status."""
    target_head = http1.ResponseHead(
        200, [(resolve.SEEN_HEADER, "not_run"), ("etag", "1")]
    )
    answer = outcome.make_answer(target_head, b"whole")

    async def relay(
        connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        await answering.relay_answer(connection, answer, ATTEMPT_ID)

    server = serve.Server(relay)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, HOST, 0)
        await server.listening.wait()
        client = exchange.Client(HOST, server.port)
        reply = await client.request("GET", "/", 5.0)
        group.cancel_scope.cancel()
    assert http1.find_header(reply.headers, "etag") == "1"
    assert not http1.find_header(reply.headers, resolve.SEEN_HEADER)
