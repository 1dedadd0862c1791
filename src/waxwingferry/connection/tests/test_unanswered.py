"""A server reports the requests that it read and did not answer."""

import anyio
import pytest

from waxwingferry.connection import http1
from waxwingferry.connection import serve
from waxwingferry.connection.tests import wire

GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
CLOSING_GET = b"GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
TIMEOUT_S = 10.0

pytestmark = pytest.mark.anyio


class Reports:
    """A server whose requests to even targets are never answered.

    Attributes:
        found: Target and reason of each unanswered request.
    """

    def __init__(self):
        self.server = serve.Server(
            self.handle, may_overlap=lambda head: head.method == "GET"
        )
        self.server.on_unanswered = self.record
        self.found: list[tuple[str, serve.Unanswered]] = []
        self.started = 0
        self.cut_allowed = anyio.Event()

    def record(self, head: http1.RequestHead, reason: serve.Unanswered) -> None:
        """Records an unanswered request."""
        self.found.append((head.target, reason))

    async def handle(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Answers a request; cuts the answer of /3 and hangs at even ones."""
        self.started += 1
        if head.target in ("/2", "/4"):
            await anyio.sleep_forever()
        if head.target == "/3":
            await connection.send_head(200, [("content-length", "9")])
            await self.cut_allowed.wait()
            raise http1.ConnectionLostError("answer truncated by the target")
        await connection.send_head(200, [], b"whole")

    async def run(
        self, data: bytes, count: int, close: bool = False
    ) -> list[tuple[str, serve.Unanswered]]:
        """Sends requests and ends the server once so many have begun."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.server.serve, wire.HOST, 0)
            await self.server.listening.wait()
            with anyio.fail_after(TIMEOUT_S):
                await self._exchange(data, count, close, group.cancel_scope)
        return self.found

    async def _exchange(
        self, data: bytes, count: int, close: bool, scope: anyio.CancelScope
    ) -> None:
        port = self.server.port
        async with await anyio.connect_tcp(wire.HOST, port) as stream:
            await stream.send(data)
            while self.started < count:  # noqa: ASYNC110
                await anyio.sleep(0.01)
            if close:
                await stream.aclose()
                while not self.found:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
            if self.cut_allowed.is_set():
                await wire.read_all(stream)
            scope.cancel()
            # The client stays open until the server has ended the connection.
            with anyio.CancelScope(shield=True):
                await wire.read_all(stream)


async def test_answered_requests_are_not_reported() -> None:
    """Guards against reports that hide the unanswered requests."""
    data = GET % 1 + POST % 1 + CLOSING_GET
    assert await Reports().run(data, 3) == []


async def test_requests_of_a_server_that_ends_are_reported() -> None:
    """Guards against requests that an ending process drops without a trace."""
    reports = Reports()
    assert await reports.run(GET % 1 + GET % 2 + GET % 4, 3) == [
        ("/2", serve.Unanswered.CANCELLED),
        ("/4", serve.Unanswered.CANCELLED),
    ]


async def test_a_request_that_runs_alone_is_reported() -> None:
    """Guards against a report of overlapping requests only."""
    reports = Reports()
    assert await reports.run(POST % 2, 1) == [
        ("/2", serve.Unanswered.CANCELLED)
    ]


async def test_requests_behind_a_cut_answer_are_reported() -> None:
    """Guards against requests that an earlier one takes along unnoticed."""
    reports = Reports()
    reports.cut_allowed.set()
    assert await reports.run(GET % 3 + GET % 2, 1) == [
        ("/3", serve.Unanswered.ANSWER_CUT),
        ("/2", serve.Unanswered.ANSWER_CUT),
    ]


async def test_a_client_that_closes_is_told_apart() -> None:
    """Guards against a client's own close counted as a fault of the server."""
    reports = Reports()
    assert await reports.run(GET % 2, 1, close=True) == [
        ("/2", serve.Unanswered.CLIENT_CLOSED)
    ]


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"GET\r\n\r\n", (None, 400)),
        (
            b"POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"no length\r\n",
            ("/1", 400),
        ),
    ],
    ids=["head", "body"],
)
async def test_a_rejected_request_is_reported(data, expected):
    """Guards against requests that are rejected without a trace."""
    found = []

    async def handle(connection, head):
        while await connection.receive_chunk() is not None:
            pass

    server = serve.Server(handle)
    server.on_rejected = lambda head, error: found.append(
        (head.target if head else None, error.status)
    )
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, wire.HOST, 0)
        await server.listening.wait()
        with anyio.fail_after(TIMEOUT_S):
            answer = await wire.exchange(server.port, data)
        group.cancel_scope.cancel()
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert found == [expected]
