"""Requests whose handler fails, beside others of the same server."""

import anyio
import pytest

from waxwingferry.connection import http1
from waxwingferry.connection import serve
from waxwingferry.connection.tests import wire

pytestmark = pytest.mark.anyio

GET = b"GET %s HTTP/1.1\r\nHost: a\r\n\r\n"
CLOSING_GET = b"GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


class FaultyHandler:
    """Fails for some targets.

    Attributes:
        may_end: Lets the request to /long end.
        began: Set when the request to /long has begun.
    """

    def __init__(self, error: Exception):
        self.error = error
        self.may_end = anyio.Event()
        self.began = anyio.Event()

    async def handle(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Answers with the target, or fails before or within the answer."""
        match head.target:
            case "/long":
                self.began.set()
                await self.may_end.wait()
            case "/not-run":
                connection.may_have_run = False
                raise self.error
            case "/fault":
                raise self.error
            case "/cut":
                await connection.send_head(200, [("content-length", "9")])
                await connection.send_chunk(b"part")
                raise self.error
        await connection.send_head(200, [], head.target.encode())


@pytest.fixture(params=[AssertionError, KeyError, ValueError])
def handler(request) -> FaultyHandler:
    """A handler that fails with a broken invariant or another error."""
    return FaultyHandler(request.param("test"))


async def test_fault_ends_no_other_request(handler: FaultyHandler) -> None:
    """Guards against one broken invariant that ends all requests.

    The error of a handler ended the process with every request in it.
    """
    async with wire.run_server(handler.handle) as port:
        async with await anyio.connect_tcp(wire.HOST, port) as stream:
            await stream.send(CLOSING_GET % b"/long")
            await handler.began.wait()
            failed = await wire.exchange(port, GET % b"/fault")
            assert failed.startswith(b"HTTP/1.1 500 ")
            assert b"x-waxwing-outcome: unknown\r\n" in failed
            assert b"x-waxwing-reason: internal_error\r\n" in failed
            not_run = await wire.exchange(port, GET % b"/not-run")
            assert not_run.startswith(b"HTTP/1.1 500 ")
            assert b"x-waxwing-outcome: not-run\r\n" in not_run
            cut = await wire.exchange(port, GET % b"/cut")
            assert cut.endswith(b"part")
            handler.may_end.set()
            assert (await wire.read_all(stream)).endswith(b"/long")


async def test_fault_leaves_overlapping_requests(
    handler: FaultyHandler,
) -> None:
    """Guards against a fault that takes along requests of its connection.

    The answer that fails in part has not been sent, as it waits for its turn.
    """
    faults: list[BaseException] = []
    server = serve.Server(handler.handle, may_overlap=lambda head: True)
    server.on_fault = faults.append
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, wire.HOST, 0)
        await server.listening.wait()
        async with await anyio.connect_tcp(wire.HOST, server.port) as stream:
            targets = (b"/long", b"/fault", b"/a", b"/cut", b"/b")
            await stream.send(b"".join(GET % target for target in targets))
            while len(faults) < 2:  # noqa: ASYNC110
                await anyio.sleep(0.01)
            handler.may_end.set()
            await stream.send_eof()
            data = await wire.read_until(stream, b"/b")
        group.cancel_scope.cancel()
    answers = data.split(b"HTTP/1.1 ")[1:]
    assert [answer[:3] for answer in answers] == [
        b"200",
        b"500",
        b"200",
        b"500",
        b"200",
    ]
    assert answers[4].endswith(b"/b")
    assert server.failures == 2
