"""Client connections: complete and truncated responses, and reuse."""

import socket

import anyio
import pytest

from waxwingferry.connection import http1
from waxwingferry.connection import pool
from waxwingferry.connection.tests import wire

OK = b"HTTP/1.1 200 OK\r\n"
TRUNCATED = {
    "length": OK + b"Content-Length: 5\r\n\r\nab",
    "chunked": OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
    "no last chunk": OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
    "no framing": OK + b"\r\nab",
}
COMPLETE = {
    "head": ("HEAD", OK + b"Content-Length: 5\r\n\r\n", True),
    "chunked head": ("HEAD", OK + b"Transfer-Encoding: chunked\r\n\r\n", True),
    "head without framing": ("HEAD", OK + b"\r\n", False),
    "head with a body": ("HEAD", OK + b"Content-Length: 2\r\n\r\nab", False),
    "no content": ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", True),
    "not modified": (
        "GET",
        b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
        True,
    ),
    "interim": (
        "GET",
        b"HTTP/1.1 102 Processing\r\n\r\n" + OK + b"Content-Length: 0\r\n\r\n",
        True,
    ),
    "close": (
        "GET",
        OK + b"Connection: close\r\nContent-Length: 0\r\n\r\n",
        False,
    ),
    "1.0": ("GET", b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", False),
    "second answer": ("GET", (OK + b"Content-Length: 0\r\n\r\n") * 2, False),
}


async def receive_answer(connection: http1.ClientConnection) -> bytes:
    """Returns the body of the final response."""
    head = await connection.receive_head(1)
    while head.status < 200:
        head = await connection.receive_head(1)
    body = b""
    while (chunk := await connection.receive_chunk(1)) is not None:
        body += chunk
    return body


@pytest.mark.anyio
@pytest.mark.parametrize("data", TRUNCATED.values(), ids=TRUNCATED.keys())
async def test_truncated_answer_is_an_error(data: bytes) -> None:
    """Guards against forwarding a truncated response as complete."""
    connection, _ = wire.make_client_connection(data)
    await connection.send_request("GET", "/", [])
    with pytest.raises(http1.ConnectionLostError):
        await receive_answer(connection)
    assert not connection.ended


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("method", "data", "reusable"), COMPLETE.values(), ids=COMPLETE.keys()
)
async def test_answers_without_body_end_at_once(
    method: str, data: bytes, reusable: bool
) -> None:
    """Guards against waiting for absent bodies, and against wrong reuse."""
    connection, _ = wire.make_client_connection(data)
    await connection.send_request(method, "/", [])
    assert await receive_answer(connection) == b""
    assert connection.ended
    assert connection.reusable is reusable


@pytest.mark.anyio
async def test_upgrade_that_was_not_asked_for_is_an_error() -> None:
    """Guards against forwarding a connection that no longer speaks HTTP."""
    data = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nabc"
    connection, _ = wire.make_client_connection(data)
    await connection.send_request("GET", "/", [])
    with pytest.raises(http1.HttpError):
        await receive_answer(connection)


async def iterate_parts(parts: list[bytes], error: Exception | None = None):
    """Yields the parts of a body, then raises the error if there is one."""
    for part in parts:
        yield part
    if error is not None:
        raise error


class SilentStream(wire.ScriptedStream):
    """A stream whose peer responds only after it received a given text."""

    def __init__(self, awaited: bytes, *parts: bytes):
        super().__init__(*parts)
        self.awaited = awaited
        self.seen = anyio.Event()

    async def send(self, data: bytes) -> None:
        """Records the sent data; blocks after the awaited text."""
        await super().send(data)
        if self.awaited in self.sent:
            self.seen.set()
            await anyio.sleep_forever()

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Returns the next part after the awaited text was sent."""
        await self.seen.wait()
        return await super().receive(max_bytes)


@pytest.mark.anyio
async def test_streamed_body_keeps_its_length() -> None:
    """Guards against body framing that differs from the declared one."""
    sent = {}
    for headers in ([("content-length", "6")], []):
        stream = SilentStream(b"never sent")
        connection = http1.ClientConnection(stream)  # type: ignore[arg-type]
        rest = iterate_parts([b"cd", b"ef"])
        await connection.send_request("PUT", "/", headers, b"ab", rest)
        sent[len(headers)] = stream.sent
    assert sent[1].endswith(b"content-length: 6\r\nhost: \r\n\r\nabcdef")
    assert sent[0].endswith(
        b"transfer-encoding: chunked\r\n\r\n"
        b"2\r\nab\r\n2\r\ncd\r\n2\r\nef\r\n0\r\n\r\n"
    )


@pytest.mark.anyio
async def test_early_answer_ends_the_upload() -> None:
    """Guards against an upload that delays the refusal of its request."""
    refusal = b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"
    interim = b"HTTP/1.1 102 Processing\r\n\r\n"
    stream = SilentStream(b"first", interim, refusal)
    connection = http1.ClientConnection(stream)  # type: ignore[arg-type]
    rest = iterate_parts([b"first", b"second"])
    await connection.send_request("POST", "/", [], b"", rest)
    assert (await connection.receive_head(1)).status == 102
    assert (await connection.receive_head(1)).status == 503
    assert b"second" not in stream.sent
    assert not connection.reusable


@pytest.mark.anyio
async def test_lost_connection_ends_the_upload() -> None:
    """Guards against an upload that blocks on a closed connection."""
    stream = SilentStream(b"first")
    connection = http1.ClientConnection(stream)  # type: ignore[arg-type]
    rest = iterate_parts([b"first"])
    await connection.send_request("POST", "/", [], b"", rest)
    with pytest.raises(http1.ConnectionLostError):
        await connection.receive_head(1)


@pytest.mark.anyio
async def test_error_of_the_body_passes_through() -> None:
    """Guards against attributing a caller's error to the target."""
    stream = SilentStream(b"never sent")
    connection = http1.ClientConnection(stream)  # type: ignore[arg-type]
    rest = iterate_parts([b"ab"], LookupError("caller"))
    with pytest.raises(LookupError):
        await connection.send_request("POST", "/", [], b"", rest)
    assert not connection.reusable
    assert b"0\r\n\r\n" not in stream.sent


@pytest.mark.anyio
async def test_answers_follow_each_other_on_one_connection() -> None:
    """Guards against parser state left over from an earlier response."""
    requests = [
        ("GET", OK + b"Content-Length: 2\r\n\r\nab", b"ab"),
        ("HEAD", OK + b"Content-Length: 2\r\n\r\n", b""),
        ("GET", OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", b""),
        ("HEAD", OK + b"Transfer-Encoding: chunked\r\n\r\n", b""),
        ("GET", b"HTTP/1.1 304 x\r\nContent-Length: 2\r\n\r\n", b""),
        ("GET", OK + b"Content-Length: 2\r\n\r\ncd", b"cd"),
    ]
    connection, _ = wire.make_client_connection(
        *[data for _, data, _ in requests]
    )
    for method, _, body in requests:
        await connection.send_request(method, "/", [])
        assert await receive_answer(connection) == body
        assert connection.reusable


@pytest.mark.anyio
@pytest.mark.parametrize("streamed", [False, True])
async def test_request_that_is_not_received_times_out(streamed: bool) -> None:
    """Guards against a call that exceeds its deadline while sending."""
    part = b"x" * 32_000_000
    with socket.create_server((wire.HOST, 0)) as listener:
        # The operating system accepts the connection, but nothing reads.
        client_pool = pool.Pool(*listener.getsockname())
        connection = await client_pool.acquire()
        rest = iterate_parts([part]) if streamed else None
        body = b"" if streamed else part
        with pytest.raises(TimeoutError):
            await connection.send_request("PUT", "/", [], body, rest, 0.05)
        await connection.close()
