"""Scripted streams and loopback servers for tests."""

from collections.abc import AsyncIterator
import contextlib

import anyio
import anyio.abc

from waxwingferry.connection import http1
from waxwingferry.connection import message
from waxwingferry.connection import serve

HOST = "127.0.0.1"


class ScriptedStream:
    """A byte stream that returns the given parts and then ends."""

    def __init__(self, *parts: bytes):
        self.parts = list(parts)
        self.sent = b""
        self.closed = False

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Returns the next part."""
        if not self.parts:
            raise anyio.EndOfStream
        return self.parts.pop(0)

    async def send(self, data: bytes) -> None:
        """Records the sent data."""
        self.sent += data

    async def aclose(self) -> None:
        """Records that the stream was closed."""
        self.closed = True


def split_into_parts(data: bytes, size: int = 65536) -> list[bytes]:
    """Splits data into parts of the given size, as a socket returns them."""
    return [data[begin : begin + size] for begin in range(0, len(data), size)]


def make_server_connection(
    *parts: bytes, **limits
) -> tuple[http1.ServerConnection, ScriptedStream]:
    """Returns a connection whose client sends the given parts."""
    stream = ScriptedStream(*parts)
    connection = http1.ServerConnection(
        stream,  # type: ignore[arg-type]
        message.Limits(**limits),
    )
    return connection, stream


def make_client_connection(
    *parts: bytes,
) -> tuple[http1.ClientConnection, ScriptedStream]:
    """Returns a connection whose server sends the given parts."""
    stream = ScriptedStream(*parts)
    return http1.ClientConnection(stream), stream  # type: ignore[arg-type]


@contextlib.asynccontextmanager
async def run_server(
    handler: serve.Handler, interval_s: float | None = None, **limits
) -> AsyncIterator[int]:
    """Runs a server on a free loopback port and yields the port."""
    server = serve.Server(handler, interval_s, message.Limits(**limits))
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, HOST, 0)
        await server.listening.wait()
        yield server.port
        group.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def run_raw_server(handler) -> AsyncIterator[int]:
    """Runs a handler of raw streams on a free port and yields the port."""

    async def serve_raw(listener) -> None:
        await listener.serve(handler)

    async with run_listener(serve_raw) as port:
        yield port


@contextlib.asynccontextmanager
async def run_listener(run) -> AsyncIterator[int]:
    """Runs a function with a listener on a free port and yields the port."""
    listener = await anyio.create_tcp_listener(local_host=HOST, local_port=0)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(run, listener)
        yield port
        group.cancel_scope.cancel()


async def read_all(stream: anyio.abc.ByteReceiveStream) -> bytes:
    """Returns all bytes until the peer closes the connection."""
    data = b""
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            data += await stream.receive()
    return data


async def read_until(stream: anyio.abc.ByteReceiveStream, end: bytes) -> bytes:
    """Returns all bytes up to and including the given end."""
    data = b""
    while not data.endswith(end):
        data += await stream.receive()
    return data


async def exchange(port: int, data: bytes) -> bytes:
    """Sends bytes and returns everything that the server sends."""
    async with await anyio.connect_tcp(HOST, port) as stream:
        await stream.send(data)
        return await read_all(stream)
