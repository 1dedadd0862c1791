"""Servers on loopback: keep-alive, timeouts and disconnected clients."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import pytest

from waxwingferry.connection import http1
from waxwingferry.connection import message
from waxwingferry.connection import serve
from waxwingferry.connection.tests import wire

GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
CLOSING_GET = b"GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: a\r\n"


async def echo(
    connection: http1.ServerConnection, head: http1.RequestHead
) -> None:
    """Responds with the request target and body."""
    body = head.target.encode() + b" "
    while (chunk := await connection.receive_chunk()) is not None:
        body += chunk
    await connection.send_head(200, [], body)


async def refuse(
    connection: http1.ServerConnection, head: http1.RequestHead
) -> None:
    """Responds without reading the body."""
    await connection.send_head(404, [], b"no route\n")


@pytest.mark.anyio
async def test_pipelined_requests_are_answered_in_order() -> None:
    """Guards against lost, repeated or swapped responses on a connection."""
    bodies = POST + b"Content-Length: 3\r\n\r\nabc"
    chunks = POST + b"Transfer-Encoding: chunked\r\n\r\n3\r\ndef\r\n0\r\n\r\n"
    async with wire.run_server(echo) as port:
        data = await wire.exchange(
            port, GET % 1 + bodies + GET % 2 + chunks + CLOSING_GET
        )
    answers = data.split(b"HTTP/1.1 200 OK\r\n")[1:]
    texts = [answer.partition(b"\r\n\r\n")[2] for answer in answers]
    assert texts == [b"/1 ", b"/ abc", b"/2 ", b"/ def", b"/last "]


@pytest.mark.anyio
async def test_continue_is_sent_when_the_body_is_wanted() -> None:
    """Guards against a deadlock with clients that wait for 100 (Continue)."""
    head = POST + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"
    async with wire.run_server(echo) as port:
        async with await anyio.connect_tcp(wire.HOST, port) as stream:
            await stream.send(head)
            first = await wire.read_until(stream, b"\r\n\r\n")
            assert first == b"HTTP/1.1 100 Continue\r\n\r\n"
            await stream.send(b"abc")
            assert b"200 OK" in await wire.read_until(stream, b"/ abc")
        complete = await wire.exchange(port, head + b"abc" + CLOSING_GET)
        assert b"100 Continue" not in complete
    async with wire.run_server(refuse) as port:
        data = await wire.exchange(port, head)
    assert data.startswith(b"HTTP/1.1 404")
    assert b"connection: close" in data


@pytest.mark.anyio
async def test_too_large_body_is_refused_before_it_is_sent() -> None:
    """Guards against a reset that keeps the refusal from the client."""
    head = POST + b"Content-Length: 10000000\r\n\r\n"
    async with wire.run_server(echo, body_bytes=1000) as port:
        data = await wire.exchange(port, head + b"x" * 500_000)
    assert data.startswith(b"HTTP/1.1 413")
    assert b"x-waxwing-reason: body_too_large" in data


@pytest.mark.anyio
async def test_unread_body_that_arrived_keeps_the_connection() -> None:
    """Guards against closing a connection that can carry another request."""
    body = POST + b"Content-Length: 3\r\n\r\nabc"
    async with wire.run_server(refuse) as port:
        data = await wire.exchange(port, body + CLOSING_GET)
    assert data.count(b"HTTP/1.1 404") == 2


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nHos", b"HTTP/1.1 408"),
        (GET % 1 + b"GET / HTTP/1.1\r\nHos", b"HTTP/1.1 408"),
        (POST + b"Content-Length: 3\r\n\r\nab", b"HTTP/1.1 408"),
        (b"", b""),
    ],
    ids=["head", "pipelined head", "body", "idle"],
)
async def test_slow_clients_are_refused(data: bytes, status: bytes) -> None:
    """Guards against clients that hold connections by sending slowly."""
    limits = {"head_s": 0.05, "body_grace_s": 0.05, "idle_s": 0.05}
    async with wire.run_server(echo, **limits) as port:
        answer = await wire.exchange(port, data)
    assert status in answer
    assert (answer == b"") == (status == b"")


@pytest.mark.anyio
async def test_body_below_the_minimum_rate_is_refused() -> None:
    """Guards against a client that sends its body one byte at a time."""
    connection, stream = wire.make_server_connection(
        POST + b"Content-Length: 9\r\n\r\n",
        body_grace_s=0.02,
        min_body_bytes_per_s=1e9,
    )

    async def receive_slowly(max_bytes: int = 0) -> bytes:
        await anyio.sleep(0.01)
        return b"x"

    await connection.receive_head()
    stream.receive = receive_slowly  # type: ignore[method-assign]
    with pytest.raises(http1.ReceiveTimeoutError) as caught:
        while await connection.receive_chunk() is not None:
            pass
    assert caught.value.status == 408


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("request_line", "kept"),
    [
        (b"GET / HTTP/1.0\r\n\r\n", False),
        (b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", True),
    ],
)
async def test_http10_connection_is_kept_only_on_request(
    request_line: bytes, kept: bool
) -> None:
    """Guards against HTTP/1.0 clients that wait for the connection to close."""
    close = b"GET / HTTP/1.0\r\n\r\n"
    async with wire.run_server(echo) as port:
        data = await wire.exchange(port, request_line + close * kept)
    assert data.count(b"content-length: 2\r\n") == 1 + kept
    assert data.count(b"connection: keep-alive") == kept


@pytest.mark.anyio
async def test_head_and_bodiless_answers_have_no_body() -> None:
    """Guards against bytes that a client would parse as the next response."""
    answers = iter([(200, "5"), (204, "5"), (304, "5"), (204, "")])

    async def answer(connection, head) -> None:
        status, length = next(answers)
        headers = [("content-length", length)] if length else []
        await connection.send_head(status, headers, b"12345")

    head = b"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n"
    async with wire.run_server(answer) as port:
        data = await wire.exchange(port, head + GET % 1 + GET % 2 + CLOSING_GET)
    assert data.split(b"\r\n\r\n") == [
        b"HTTP/1.1 200 OK\r\ncontent-length: 5",
        b"HTTP/1.1 204 No Content",
        b"HTTP/1.1 304 Not Modified\r\ncontent-length: 5",
        b"HTTP/1.1 204 No Content\r\nconnection: close",
        b"",
    ]


async def wait_forever(connection, head) -> None:
    """Simulates a call that waits for a slot or a response."""
    await anyio.sleep_forever()


async def upload(connection, head) -> None:
    """Reads the body as it arrives."""
    while await connection.receive_chunk() is not None:
        pass


async def stream_answer(connection, head) -> None:
    """Begins a response and then waits for its target."""
    await connection.send_head(200, [])
    await connection.send_chunk(b"first")
    await anyio.sleep_forever()


PHASES = {
    "upload": (upload, b"Content-Length: 1000\r\n\r\nabc"),
    "upload not read": (wait_forever, b"Content-Length: 1000\r\n\r\nabc"),
    "queue": (wait_forever, b"Content-Length: 0\r\n\r\n"),
    "pipelined": (wait_forever, b"Content-Length: 0\r\n\r\n" + GET % 1),
    "streaming": (stream_answer, b"Content-Length: 0\r\n\r\n"),
}


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("handler", "data"), PHASES.values(), ids=PHASES.keys()
)
async def test_closing_cancels_the_call(
    handler: Callable[..., Awaitable[None]], data: bytes
) -> None:
    """Guards against work for a client that has disconnected."""
    started = anyio.Event()
    ended = anyio.Event()

    async def run(connection, head) -> None:
        started.set()
        try:
            await handler(connection, head)
        finally:
            ended.set()

    async with wire.run_server(run) as port:
        stream = await anyio.connect_tcp(wire.HOST, port)
        await stream.send(POST + data)
        await started.wait()
        assert not ended.is_set()
        await stream.aclose()
        with anyio.fail_after(10):
            await ended.wait()


@pytest.mark.anyio
async def test_client_that_stops_reading_is_disconnected() -> None:
    """Guards against a slot held by a client that stopped reading."""
    ended = anyio.Event()

    async def send_much(connection, head) -> None:
        try:
            await connection.send_head(200, [])
            while True:
                await connection.send_chunk(b"x" * 65536)
        finally:
            ended.set()

    async with wire.run_server(send_much, send_s=0.1) as port:
        async with await anyio.connect_tcp(wire.HOST, port) as stream:
            await stream.send(GET % 1)
            with anyio.fail_after(10):
                await ended.wait()


@pytest.mark.anyio
async def test_error_after_the_start_ends_without_the_last_chunk() -> None:
    """Guards against a truncated response that looks complete."""

    async def fail(connection, head) -> None:
        await connection.send_head(200, [])
        await connection.send_chunk(b"ab")
        raise http1.ConnectionLostError("target disconnected")

    async with wire.run_server(fail) as port:
        data = await wire.exchange(port, GET % 1 + CLOSING_GET)
    assert data.endswith(b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n")


@pytest.mark.anyio
async def test_interim_responses_until_the_answer() -> None:
    """Guards against a slow call being mistaken for a dead connection."""
    release = anyio.Event()

    async def wait(connection, head) -> None:
        await release.wait()
        await connection.send_head(200, [], b"")

    async with wire.run_server(wait, interval_s=0.01) as port:
        async with await anyio.connect_tcp(wire.HOST, port) as stream:
            await stream.send(CLOSING_GET)
            interim = b"HTTP/1.1 102 Processing\r\n\r\n"
            assert await wire.read_until(stream, interim)
            release.set()
            rest = await wire.read_all(stream)
    assert rest.replace(interim, b"").startswith(b"HTTP/1.1 200 OK")


@pytest.mark.anyio
async def test_unexpected_error_ends_only_its_connection() -> None:
    """Guards against one failing request stopping the process."""

    async def fail(
        connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        if head.target == "/last":
            await echo(connection, head)
            return
        raise KeyError(head.target)

    async with wire.run_server(fail) as port:
        failed = await wire.exchange(port, GET % 1)
        assert failed.startswith(b"HTTP/1.1 500 ")
        assert b"x-waxwing-outcome: unknown\r\n" in failed
        assert b"200 OK" in await wire.exchange(port, CLOSING_GET)


def test_idle_servers_are_checked_only_when_a_limit_is_due() -> None:
    """Guards against control work that grows with time instead of requests.

    A node has five servers. Each used to wake up 20 times per second.
    """
    server = serve.Server(echo, limits=message.Limits(idle_s=30.0))
    assert server.compute_check_delay(100.0) is None
    idle, _ = wire.make_server_connection(b"")
    idle.idle_since_s = 99.0
    server.connections.add(idle)
    server.idle.add(idle)
    assert server.compute_check_delay(100.0) == serve.MAX_CHECK_INTERVAL_S
    assert server.compute_check_delay(128.5) == pytest.approx(0.5)
    assert server.compute_check_delay(200.0) == serve.CHECK_INTERVAL_S
    server.active.add(idle)
    assert server.compute_check_delay(100.0) == serve.CHECK_INTERVAL_S
