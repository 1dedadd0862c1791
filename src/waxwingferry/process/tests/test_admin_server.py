"""Tests of the bounds on clients of the administration API."""

import contextlib

import anyio
import pytest
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from waxwingferry.connection import budget
from waxwingferry.connection.tests import wire
from waxwingferry.process import admin_server

pytestmark = pytest.mark.anyio

BODY_BYTES = 1000
CONNECTIONS = 4
GET = b"GET /x HTTP/1.1\r\nhost: a\r\n"
PUT = b"PUT /x HTTP/1.1\r\nhost: a\r\n"
CHUNKED = PUT + b"transfer-encoding: chunked\r\n\r\n"


class Harness:
    """A server of an application whose changes wait until they are allowed.

    Attributes:
        began: Set once a change has begun.
        allowed: Set by a test to let changes end.
        changes: Number of changes that have ended.
        reasons: Reasons why connections were limited, in order.
    """

    def __init__(self):
        self.began = anyio.Event()
        self.allowed = anyio.Event()
        self.changes = 0
        self.reasons: list[str] = []
        connections = budget.Budget(4 * budget.MIB, CONNECTIONS)
        connections.on_limited = self.reasons.append
        route = starlette.routing.Route
        app = starlette.applications.Starlette(
            routes=[
                route("/x", self.put, methods=["PUT"]),
                route("/x", self.get),
                route("/fault", self.fail),
            ]
        )
        self.admin = admin_server.AdminServer(app, connections, BODY_BYTES)

    async def get(self, request: starlette.requests.Request):
        """Returns the path and the query."""
        text = f"{request.url.path}?{request.url.query}"
        return starlette.responses.PlainTextResponse(text)

    async def fail(self, request: starlette.requests.Request):
        """Raises an unexpected error."""
        raise ValueError("fault of the application")

    async def put(self, request: starlette.requests.Request):
        """Reads the body and makes a change."""
        body = await request.body()
        self.began.set()
        await self.allowed.wait()
        self.changes += 1
        return starlette.responses.PlainTextResponse(f"{len(body)} bytes")

    async def exchange(self, data: bytes) -> bytes:
        """Sends bytes and returns all that is answered."""
        return await wire.exchange(self.admin.server.port, data)


@contextlib.asynccontextmanager
async def run_server():
    """Runs a server until the context ends."""
    harness, stop = Harness(), anyio.Event()
    with anyio.fail_after(20):
        async with anyio.create_task_group() as group:
            group.start_soon(harness.admin.run, wire.HOST, 0, stop.wait)
            await harness.admin.server.listening.wait()
            yield harness
            stop.set()


async def test_requests_reach_the_application() -> None:
    """Guards against parts of a request that the application does not get."""
    async with run_server() as harness:
        harness.allowed.set()
        reply = await harness.exchange(
            GET.replace(b"/x", b"/%78?a=b%20c") + b"connection: close\r\n\r\n"
        )
        assert reply.startswith(b"HTTP/1.1 200 ")
        assert reply.endswith(b"/x?a=b%20c")
        reply = await harness.exchange(
            PUT
            + b"content-length: 1000\r\nconnection: close\r\n\r\n"
            + b"x" * 1000
        )
        assert reply.endswith(b"1000 bytes")
        assert harness.reasons == []


async def test_a_fault_of_the_application_is_answered() -> None:
    """Guards against a fault that ends the process or has no response."""
    async with run_server() as harness:
        request = GET.replace(b"/x", b"/fault") + b"connection: close\r\n\r\n"
        assert (await harness.exchange(request)).startswith(b"HTTP/1.1 500 ")
        request = GET + b"connection: close\r\n\r\n"
        assert (await harness.exchange(request)).startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize(
    ("data", "status", "reason"),
    [
        (GET + b"a: " + b"v" * 30_000, 431, "head_too_large"),
        (GET + b"a:\r\n" * 7000, 431, "head_too_large"),
        (GET + b"a:\r\n" * 4500 + b"\r\n", 431, "head_too_large"),
        (PUT + b"content-length: 1001\r\n\r\n", 413, "body_too_large"),
        (CHUNKED + b"3e9\r\n" + b"x" * 1001, 413, "body_too_large"),
        (CHUNKED + b"1\r\nx\r\n" * 1001, 413, "body_too_large"),
        (CHUNKED + b"1;" + b"e" * 90_000, 431, "head_too_large"),
    ],
)
async def test_what_exceeds_a_bound_is_refused_before_its_end(
    data, status, reason
) -> None:
    """Guards against heads and bodies that are collected without a bound."""
    async with run_server() as harness:
        reply = await harness.exchange(data)
        assert reply.startswith(b"HTTP/1.1 %d " % status)
        assert harness.reasons == [reason]
        assert not harness.began.is_set()


@pytest.mark.parametrize("data", [GET, CHUNKED], ids=["head", "body"])
async def test_what_stays_unfinished_is_refused(data, monkeypatch) -> None:
    """Guards against connections that are held by sending nothing more."""
    monkeypatch.setattr(admin_server, "HEAD_S", 0.1)
    monkeypatch.setattr(admin_server, "BODY_GRACE_S", 0.1)
    async with run_server() as harness:
        reply = await harness.exchange(data)
        assert reply.startswith(b"HTTP/1.1 408 ")
        assert harness.reasons == ["too_slow"]


async def test_pipelined_requests_are_bounded() -> None:
    """Guards against one client that keeps the process busy."""
    async with run_server() as harness:
        reply = await harness.exchange((GET + b"\r\n") * 1000)
        assert reply.count(b"HTTP/1.1 200 ") == admin_server.MAX_PIPELINED
        assert reply.count(b"connection: close") == 1
        assert harness.reasons == ["pipelined"]


async def test_requests_one_after_the_other_are_not_limited() -> None:
    """Guards against a bound on what a connection may send in its life."""
    async with run_server() as harness:
        stream = await anyio.connect_tcp(wire.HOST, harness.admin.server.port)
        async with stream:
            for _ in range(admin_server.MAX_PIPELINED * 2):
                await stream.send(GET + b"\r\n")
                assert b"connection: close" not in await stream.receive()


async def test_connections_are_bounded() -> None:
    """Guards against connections without end; idle ones make room."""
    async with run_server() as harness, contextlib.AsyncExitStack() as stack:
        for _ in range(CONNECTIONS * 3):
            port = harness.admin.server.port
            stream = await anyio.connect_tcp(wire.HOST, port)
            await stack.enter_async_context(stream)
        request = GET + b"connection: close\r\n\r\n"
        assert (await harness.exchange(request)).startswith(b"HTTP/1.1 200 ")
        assert set(harness.reasons) == {budget.IDLE_CLOSED}
        assert len(harness.admin.connections.accounts) <= CONNECTIONS


async def test_a_connection_is_refused_if_all_others_are_in_use() -> None:
    """Guards against a request that is cut off for a new connection."""
    async with run_server() as harness, contextlib.AsyncExitStack() as stack:
        for _ in range(CONNECTIONS):
            port = harness.admin.server.port
            stream = await anyio.connect_tcp(wire.HOST, port)
            await stack.enter_async_context(stream)
            await stream.send(PUT + b"content-length: 1\r\n\r\nx")
        while len(harness.admin.scopes) < CONNECTIONS:  # noqa: ASYNC110
            await anyio.sleep(0.01)
        reply = await harness.exchange(GET + b"\r\n")
        assert reply.startswith(b"HTTP/1.1 503 ")
        assert harness.reasons == [budget.CONNECTIONS]
        harness.allowed.set()


async def test_a_change_is_not_cut_off_by_its_client() -> None:
    """Guards against a change that is half made because its client left."""
    async with run_server() as harness:
        port = harness.admin.server.port
        async with await anyio.connect_tcp(wire.HOST, port) as stream:
            await stream.send(PUT + b"content-length: 1\r\n\r\nx")
            await harness.began.wait()
        # Longer than it takes to detect the end of the connection.
        await anyio.sleep(0.3)
        harness.allowed.set()
        while not harness.changes:  # noqa: ASYNC110
            await anyio.sleep(0.01)


async def test_a_stop_does_not_wait_for_a_change_that_hangs(
    monkeypatch,
) -> None:
    """Guards against a process that does not end."""
    monkeypatch.setattr(admin_server, "STOP_GRACE_S", 0.2)
    async with run_server() as harness:
        port = harness.admin.server.port
        stream = await anyio.connect_tcp(wire.HOST, port)
        await stream.send(PUT + b"content-length: 1\r\n\r\nx")
        await harness.began.wait()
    assert harness.changes == 0
    await stream.aclose()
