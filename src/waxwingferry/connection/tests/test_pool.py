"""Reused connections are open and have no unread data.

Otherwise a call on them would have an unknown outcome.
"""

import anyio
import pytest

from waxwingferry.connection import http1
from waxwingferry.connection import pool
from waxwingferry.connection.tests import wire

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Target:
    """A server that responds to each request with prepared bytes.

    Attributes:
        answers: Bytes sent for each request; the connection is closed when
            none are left.
        opened: Number of connections accepted.
    """

    def __init__(self, *answers: bytes):
        self.answers = list(answers)
        self.opened = 0

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Serves one connection."""
        self.opened += 1
        async with stream:
            try:
                while self.answers:
                    await wire.read_until(stream, b"\r\n\r\n")
                    await stream.send(self.answers.pop(0))
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return


async def call(client_pool: pool.Pool) -> http1.ClientConnection:
    """Sends one request and releases its connection."""
    connection = await client_pool.acquire()
    await connection.send_request("GET", "/", [])
    await connection.receive_head(5)
    await connection.receive_chunk(5)
    await client_pool.release(connection)
    return connection


async def wait_for_activity(connection: http1.ClientConnection) -> None:
    """Waits until data or a close by the peer has arrived."""
    with anyio.fail_after(5):
        # A socket that isn't being read signals no events.
        while connection.is_open_and_idle():  # noqa: ASYNC110
            await anyio.sleep(0.001)


@pytest.mark.anyio
async def test_clean_connection_is_used_again() -> None:
    """Guards against a check that closes usable connections."""
    target = Target(ANSWER, ANSWER, ANSWER)
    async with wire.run_raw_server(target.serve) as port:
        client_pool = pool.Pool(wire.HOST, port)
        connections = {await call(client_pool) for _ in range(2)}
        await client_pool.close()
    assert len(connections) == 1
    assert target.opened == 1


@pytest.mark.anyio
async def test_connection_closed_by_the_other_end_is_not_used() -> None:
    """Guards against sending a request on a closed connection."""
    target = Target(ANSWER)
    async with wire.run_raw_server(target.serve) as port:
        client_pool = pool.Pool(wire.HOST, port)
        await wait_for_activity(await call(client_pool))
        target.answers.append(ANSWER)
        await call(client_pool)
        await client_pool.close()
    assert target.opened == 2


@pytest.mark.anyio
async def test_connection_with_a_late_second_answer_is_not_used() -> None:
    """Guards against matching a response with the wrong request."""
    late = anyio.Event()
    answers = [ANSWER, ANSWER]

    async def serve(stream) -> None:
        await wire.read_until(stream, b"\r\n\r\n")
        await stream.send(answers.pop())
        if answers:
            await late.wait()
            await stream.send(ANSWER)
        await wire.read_all(stream)

    async with wire.run_raw_server(serve) as port:
        client_pool = pool.Pool(wire.HOST, port)
        first = await call(client_pool)
        late.set()
        await wait_for_activity(first)
        assert await call(client_pool) is not first
        await client_pool.close()


@pytest.mark.anyio
async def test_cancelled_call_closes_its_connection() -> None:
    """Guards against reuse while a response is still on its way."""
    gone = anyio.Event()

    async def serve(stream) -> None:
        await wire.read_all(stream)
        gone.set()

    async with wire.run_raw_server(serve) as port:
        client_pool = pool.Pool(wire.HOST, port)
        connection = await client_pool.acquire()
        await connection.send_request("GET", "/", [])
        await client_pool.release(connection)
        assert not client_pool.idle
        with anyio.fail_after(5):
            await gone.wait()


@pytest.mark.anyio
async def test_idle_connections_are_closed_in_time() -> None:
    """Guards against connections of a burst that stay open forever."""
    now_s = 0.0
    streams = []

    async def connect(host: str, port: int) -> wire.ScriptedStream:
        streams.append(wire.ScriptedStream())
        return streams[-1]

    client_pool = pool.Pool("a", 1, connect, lambda: now_s)  # type: ignore[arg-type]
    burst = [await client_pool.acquire() for _ in range(3)]
    for connection in burst:
        await client_pool.release(connection)
    now_s = pool.IDLE_TIMEOUT_S - 1
    await client_pool.release(await client_pool.acquire())
    assert not any(stream.closed for stream in streams)
    now_s = pool.IDLE_TIMEOUT_S + 1
    await client_pool.release(await client_pool.acquire())
    assert [stream.closed for stream in streams] == [True, True, False]


@pytest.mark.anyio
async def test_sending_on_a_reset_connection_fails_at_once() -> None:
    """Guards against a sender that blocks the event loop."""

    async def reset(stream) -> None:
        await stream.aclose()

    async with wire.run_raw_server(reset) as port:
        connection = await pool.Pool(wire.HOST, port).acquire()
        await wait_for_activity(connection)
        stream = connection.stream
        sent = 0
        with pytest.raises(anyio.BrokenResourceError):
            while sent < 1000:
                await stream.send(b"x")
                sent += 1
        assert sent < 1000


@pytest.mark.parametrize(
    ("host", "port"),
    [("a..b", 80), ("a\x00b", 80), ("127.0.0.1", 70_000), ("127.0.0.1", -1)],
)
async def test_an_invalid_address_is_a_connect_error(host, port):
    """Guards against a background task that ends by an address it was told."""
    with pytest.raises(pool.ConnectError):
        await pool.connect_tcp(host, port)
