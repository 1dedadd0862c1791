"""Draining a server interrupts no request."""

from collections.abc import AsyncIterator
import contextlib
import os

import anyio
import anyio.abc
import anyio.lowlevel
import pytest

from waxwingferry.connection import http1
from waxwingferry.connection import serve

REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
PART = b"x" * 100_000
PARTS = 20
TIMEOUT_S = 10.0


class RunningServer:
    """A server on a free port that can delay its responses."""

    def __init__(self):
        self.server = serve.Server(self.handle)
        self.answer_allowed = anyio.Event()
        self.request_received = anyio.Event()
        self.first_part_sent = anyio.Event()
        self.address = ("127.0.0.1", 0)

    async def handle(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Responds at once, after answer_allowed is set, or in parts."""
        self.request_received.set()
        if head.target == "/later":
            await self.answer_allowed.wait()
        if head.target != "/parts":
            await connection.send_head(200, [], b"whole")
            return
        await connection.send_head(200, [])
        for _ in range(PARTS):
            await connection.send_chunk(PART)
            self.first_part_sent.set()
        await connection.send_end()

    async def wait_until_stopping(self) -> None:
        """Returns once the server has begun to drain."""
        with anyio.fail_after(TIMEOUT_S):
            while not self.server.stopping:
                await anyio.lowlevel.checkpoint()

    async def connect(self) -> anyio.abc.SocketStream:
        """Opens a connection to the server."""
        return await anyio.connect_tcp(*self.address)


@contextlib.asynccontextmanager
async def run_server() -> AsyncIterator[RunningServer]:
    """Runs a server while the context is active."""
    running = RunningServer()
    async with anyio.create_task_group() as group:
        group.start_soon(running.server.serve, "127.0.0.1", 0)
        await running.server.listening.wait()
        running.address = ("127.0.0.1", running.server.port)
        yield running
        group.cancel_scope.cancel()


async def read_body_size(stream: anyio.abc.ByteStream) -> int:
    """Requests a response in parts and returns the size of its body."""
    client = http1.ClientConnection(stream)
    await client.send_request("GET", "/parts", [])
    await client.receive_head(5)
    size = 0
    while part := await client.receive_chunk(5):
        size += len(part)
    return size


@pytest.mark.anyio
async def test_request_sent_before_the_drain_is_answered() -> None:
    """Guards against closing a connection with an unread request."""
    async with run_server() as running:
        async with await running.connect() as stream:
            await stream.send(REQUEST)
            assert b"whole" in await stream.receive()
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            os.write(raw.fileno(), REQUEST)
            await running.server.drain()
            answer = await stream.receive()
            assert b"whole" in answer
            assert b"connection: close" in answer


@pytest.mark.anyio
async def test_answer_during_the_drain_ends_its_connection() -> None:
    """Guards against a client reusing a connection that is about to close."""
    async with run_server() as running:
        async with await running.connect() as stream:
            await stream.send(REQUEST.replace(b"/ ", b"/later "))
            await running.request_received.wait()
            async with anyio.create_task_group() as group:
                group.start_soon(running.server.drain)
                await running.wait_until_stopping()
                running.answer_allowed.set()
            assert b"connection: close" in await stream.receive()


@pytest.mark.anyio
async def test_no_connection_is_accepted_after_the_drain() -> None:
    """Guards against requests that begin just before the process exits."""
    async with run_server() as running:
        await running.server.drain()
        with pytest.raises(OSError, match="refused|failed"):
            await running.connect()


# While one request ran, others started on idle connections until the
# process was killed, and were cut off.
@pytest.mark.anyio
async def test_no_request_starts_on_an_idle_connection_during_a_long_one() -> (
    None
):
    """Guards against requests that begin just before the process is killed."""
    async with run_server() as running:
        async with await running.connect() as idle:
            await idle.send(REQUEST)
            assert b"whole" in await idle.receive()
            async with await running.connect() as busy:
                await busy.send(REQUEST.replace(b"/ ", b"/later "))
                async with anyio.create_task_group() as group:
                    group.start_soon(running.server.drain)
                    await running.wait_until_stopping()
                    with anyio.fail_after(TIMEOUT_S / 2):
                        with pytest.raises(anyio.EndOfStream):
                            await idle.receive()
                    assert running.server.active
                    running.answer_allowed.set()
                assert b"connection: close" in await busy.receive()


@pytest.mark.anyio
async def test_streamed_answer_outlives_the_drain() -> None:
    """Guards against truncating a response that is still being sent."""
    async with run_server() as running:
        async with await running.connect() as stream:
            async with anyio.create_task_group() as group:
                sizes: list[int] = []

                async def read() -> None:
                    sizes.append(await read_body_size(stream))

                group.start_soon(read)
                await running.first_part_sent.wait()
                await running.server.drain()
    assert sizes == [PARTS * len(PART)]
