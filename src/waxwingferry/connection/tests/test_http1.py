"""Ambiguous framing must never be guessed at."""

import anyio
import pytest

from waxwingferry.connection import http1

AMBIGUOUS = {
    "two lengths": b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
    "length and chunked": (
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc"
    ),
    "bare line feed": b"Host: a\n\r\n",
    "bad chunk size": b"Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n",
}


class ScriptedStream:
    """A byte stream that yields prepared parts and then ends."""

    def __init__(self, *parts: bytes):
        self.parts = list(parts)
        self.sent = b""

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Returns the next part."""
        if not self.parts:
            raise anyio.EndOfStream
        return self.parts.pop(0)

    async def send(self, data: bytes) -> None:
        """Records what is sent."""
        self.sent += data


@pytest.mark.anyio
@pytest.mark.parametrize("fields", AMBIGUOUS.values(), ids=AMBIGUOUS.keys())
async def test_ambiguous_framing_is_refused(fields: bytes) -> None:
    """Guards against two hops seeing different ends of one message."""
    stream = ScriptedStream(b"POST / HTTP/1.1\r\n" + fields)
    connection = http1.ServerConnection(stream)  # type: ignore[arg-type]
    with pytest.raises(http1.HttpError) as caught:
        await connection.receive_head()
        while await connection.receive_chunk() is not None:
            pass
    assert caught.value.status == 400


@pytest.mark.anyio
async def test_cut_answer_is_an_error() -> None:
    """Guards against passing on a part of an answer as the whole."""
    stream = ScriptedStream(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab")
    connection = http1.ClientConnection(stream)  # type: ignore[arg-type]
    await connection.send_request("GET", "/", [])
    await connection.receive_head(1)
    assert await connection.receive_chunk(1) == b"ab"
    with pytest.raises(http1.ConnectionLostError):
        await connection.receive_chunk(1)
