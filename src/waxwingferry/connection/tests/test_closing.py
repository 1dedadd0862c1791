"""The end of a connection takes no response along that was sent on it."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
import time

import anyio
import anyio.to_thread
import pytest

from waxwingferry.connection import closing
from waxwingferry.connection import http1
from waxwingferry.connection import message
from waxwingferry.connection import serve
from waxwingferry.connection import tcp
from waxwingferry.connection.tests import wire

GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
CLOSING_GET = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
# More than a client with a small receive buffer takes, and less than the
# system buffers for the server.
BODY = bytes(1_000_000)
RECEIVE_BUFFER_BYTES = 65536
TIMEOUT_S = 20.0

pytestmark = pytest.mark.anyio


class Recorder:
    """A server, and the state of its handler."""

    def __init__(self):
        self.server = serve.Server(self.handle)
        self.respond: Callable[[http1.ServerConnection], Awaitable[None]] = (
            self._respond_with_body
        )
        self.answered = anyio.Event()

    async def handle(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Answers a request."""
        await self.respond(connection)
        self.answered.set()

    async def _respond_with_body(
        self, connection: http1.ServerConnection
    ) -> None:
        await connection.send_head(200, [], BODY)


async def connect_accepted(raw: socket.socket) -> tcp.TcpStream:
    """Returns the stream of a socket that a listener accepted."""
    raw.setblocking(False)
    _, stream = await asyncio.get_running_loop().create_connection(
        tcp.TcpStream, sock=raw.dup()
    )
    return stream


async def connect_slow_reader(raw: socket.socket, port: int) -> None:
    """Opens a connection with a small receive buffer."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    await anyio.to_thread.run_sync(raw.connect, (wire.HOST, port))


def read_all(raw: socket.socket) -> bytes:
    """Returns all bytes until the connection ends, by a reset as well."""
    data = b""
    with contextlib.suppress(ConnectionError):
        while part := raw.recv(65536):
            data += part
    return data


# The socket was closed as soon as the system had taken the response. Data that
# arrives at a closed socket resets the connection, and what is not sent yet is
# lost.
async def test_a_request_behind_a_closing_response_does_not_cut_it() -> None:
    """Guards against a response lost to a request sent before it was read."""
    recorder = Recorder()
    async with anyio.create_task_group() as group:
        group.start_soon(recorder.server.serve, wire.HOST, 0)
        await recorder.server.listening.wait()
        with anyio.fail_after(TIMEOUT_S):
            with socket.socket() as raw:
                await connect_slow_reader(raw, recorder.server.port)
                raw.sendall(CLOSING_GET)
                await recorder.answered.wait()
                await anyio.sleep(0.1)
                raw.sendall(GET % 2)
                await anyio.sleep(0.1)
                data = await anyio.to_thread.run_sync(read_all, raw)
        group.cancel_scope.cancel()
    assert data.endswith(BODY)


async def test_a_request_that_meets_an_idle_close_cuts_no_response() -> None:
    """Guards against a response lost to a close of its idle connection."""
    recorder = Recorder()
    async with anyio.create_task_group() as group:
        group.start_soon(recorder.server.serve, wire.HOST, 0)
        await recorder.server.listening.wait()
        with anyio.fail_after(TIMEOUT_S):
            with socket.socket() as raw:
                await connect_slow_reader(raw, recorder.server.port)
                raw.sendall(GET % 1)
                await recorder.answered.wait()
                group.start_soon(recorder.server.drain)
                await anyio.sleep(3 * serve.DRAIN_GRACE_S)
                raw.sendall(GET % 2)
                await anyio.sleep(0.1)
                data = await anyio.to_thread.run_sync(read_all, raw)
        group.cancel_scope.cancel()
    assert data.endswith(BODY)


# 2 s after the response the socket was closed, however much of it the client
# had still to receive. A request that arrived then reset the connection.
async def test_a_request_does_not_cut_a_response_that_is_read_slowly(
    monkeypatch,
) -> None:
    """Guards against a response lost because its client reads it slowly."""
    monkeypatch.setattr(closing, "LINGERING_CLOSE_S", 0.2)
    recorder = Recorder()

    def read_slowly(raw: socket.socket) -> bytes:
        data = b""
        with contextlib.suppress(ConnectionError):
            while part := raw.recv(RECEIVE_BUFFER_BYTES):
                data += part
                raw.sendall(GET % 2)
                time.sleep(0.1)
        return data

    async with anyio.create_task_group() as group:
        group.start_soon(recorder.server.serve, wire.HOST, 0)
        await recorder.server.listening.wait()
        with anyio.fail_after(TIMEOUT_S):
            with socket.socket() as raw:
                await connect_slow_reader(raw, recorder.server.port)
                raw.sendall(CLOSING_GET)
                data = await anyio.to_thread.run_sync(read_slowly, raw)
        group.cancel_scope.cancel()
    assert data.endswith(BODY)


@pytest.mark.parametrize("stopping", [False, True])
async def test_a_client_that_takes_no_response_is_not_waited_for(
    stopping,
) -> None:
    """Guards against a drain, or a connection, without end."""
    with socket.create_server((wire.HOST, 0)) as listener:
        port = listener.getsockname()[1]
        client = await anyio.to_thread.run_sync(
            socket.create_connection, (wire.HOST, port)
        )
        accepted, _ = listener.accept()
    with client, accepted, anyio.fail_after(TIMEOUT_S):
        stream = await connect_accepted(accepted)
        connection = http1.ServerConnection(
            stream, message.Limits(send_s=0.3 if not stopping else 1000.0)
        )
        await stream.send(bytes(100_000))
        stream.count_unacknowledged_bytes = lambda: 100_000  # type: ignore[method-assign]
        await closing.close_lingering(connection, lambda: stopping)
        await stream.aclose()


# The drain ended with the last call, and the process ended with the drain.
async def test_a_drain_waits_until_a_refusal_has_been_received() -> None:
    """Guards against a refusal lost with the unread rest of its request."""
    recorder = Recorder()

    async def refuse(connection: http1.ServerConnection) -> None:
        await connection.send_head(503, [], BODY)

    recorder.respond = refuse
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"
    received: list[bytes] = []
    raw = socket.socket()

    async def send_rest() -> None:
        await anyio.sleep(3 * serve.DRAIN_GRACE_S)
        with contextlib.suppress(ConnectionError):
            raw.sendall(bytes(100_000))
        received.append(await anyio.to_thread.run_sync(read_all, raw))

    with raw, anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as client_group:
            async with anyio.create_task_group() as group:
                group.start_soon(recorder.server.serve, wire.HOST, 0)
                await recorder.server.listening.wait()
                await connect_slow_reader(raw, recorder.server.port)
                raw.sendall(head)
                await recorder.answered.wait()
                client_group.start_soon(send_rest)
                await recorder.server.drain()
                # The process ends with the drain.
                group.cancel_scope.cancel()
    assert received[0].endswith(BODY)
