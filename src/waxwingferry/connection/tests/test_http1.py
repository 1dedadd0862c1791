"""Ambiguous framing is refused, and messages are kept apart."""

import hypothesis
from hypothesis import strategies
import pytest

from waxwingferry.connection import http1
from waxwingferry.connection import message
from waxwingferry.connection.tests import wire

POST = b"POST /a HTTP/1.1\r\n"
HOST = b"Host: a\r\n"
CHUNKED = POST + HOST + b"Transfer-Encoding: chunked\r\n\r\n"

AMBIGUOUS = {
    "two lengths": POST + HOST + b"Content-Length: 3\r\n"
    b"Content-Length: 4\r\n\r\nabc",
    "same length twice": POST + HOST + b"Content-Length: 3\r\n"
    b"Content-Length: 3\r\n\r\nabc",
    "length list": POST + HOST + b"Content-Length: 3, 3\r\n\r\nabc",
    "signed length": POST + HOST + b"Content-Length: +3\r\n\r\nabc",
    "length and chunked": POST + HOST + b"Content-Length: 3\r\n"
    b"Transfer-Encoding: chunked\r\n\r\nabc",
    "chunked not last": POST + HOST + b"Transfer-Encoding: chunked, gzip\r\n"
    b"\r\n",
    "chunked twice": POST + HOST + b"Transfer-Encoding: chunked\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "chunked in 1.0": b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
    "bare line feed": POST + b"Host: a\n\r\n",
    "bare line feed in chunk size": CHUNKED + b"3\nabc\r\n0\r\n\r\n",
    "prefix in chunk size": CHUNKED + b"0x3\r\nabc\r\n0\r\n\r\n",
    "space in chunk size": CHUNKED + b"3 \r\nabc\r\n0\r\n\r\n",
    "chunk size overflow": CHUNKED + b"fffffffffffffffff\r\nabc\r\n",
    "chunk longer than its size": CHUNKED + b"3\r\nabcd\r\n0\r\n\r\n",
    "folded field": POST + HOST + b"X: b\r\n c\r\n\r\n",
    "space before the colon": POST + b"Host : a\r\n\r\n",
    "no host": POST + b"X: b\r\n\r\n",
    "two hosts": POST + HOST + HOST + b"\r\n",
    "host with a space": POST + b"Host: a b\r\n\r\n",
    "null in a value": POST + HOST + b"X: a\0b\r\n\r\n",
    "control character in a value": POST + HOST + b"X: a\x01b\r\n\r\n",
    "carriage return in a value": POST + HOST + b"X: a\rb\r\n\r\n",
    "authority as target": b"GET a:80 HTTP/1.1\r\n" + HOST + b"\r\n",
}

REFUSED = {
    "connect": (501, b"CONNECT a:80 HTTP/1.1\r\n" + HOST + b"\r\n"),
    "upgrade": (
        501,
        POST + HOST + b"Connection: upgrade\r\nUpgrade: websocket\r\n\r\n",
    ),
    "coding": (501, POST + HOST + b"Transfer-Encoding: gzip, chunked\r\n\r\n"),
    "version 2": (505, b"GET / HTTP/2.0\r\n" + HOST + b"\r\n"),
    "version 0.9": (505, b"GET /\r\n\r\n"),
    "expectation": (417, POST + HOST + b"Expect: tea\r\n\r\n"),
    "long field": (431, POST + HOST + b"X: %b\r\n\r\n" % (b"a" * 1000)),
    "long target": (431, b"GET /%b HTTP/1.1\r\n\r\n" % (b"a" * 1000)),
    "many fields": (431, POST + HOST + b"X: a\r\n" * 200 + b"\r\n"),
    "many fields without end": (431, POST + HOST + b"X: a\r\n" * 2000),
    "field without end": (431, POST + b"X: " + b"a" * 200_000),
    "trailer without end": (431, CHUNKED + b"0\r\nX: " + b"a" * 200_000),
    "declared length": (413, POST + HOST + b"Content-Length: 101\r\n\r\n"),
    "chunked total": (413, CHUNKED + (b"a\r\n0123456789\r\n" * 11)),
}


async def read_messages(connection: http1.ServerConnection) -> list:
    """Returns all messages of a connection and its error, if any.

    The error is the status of its response, or "lost" for a lost connection.
    """
    messages: list = []
    try:
        while (head := await connection.receive_head()) is not None:
            body = b""
            messages.append([head.method, head.target, head.headers, None])
            while (chunk := await connection.receive_chunk()) is not None:
                body += chunk
            messages[-1][3] = body
            if not head.keep_alive:
                break
    except http1.ConnectionLostError:
        messages.append("lost")
    except http1.HttpError as error:
        messages.append(error.status)
    return messages


@pytest.mark.anyio
@pytest.mark.parametrize("data", AMBIGUOUS.values(), ids=AMBIGUOUS.keys())
async def test_ambiguous_framing_is_refused(data: bytes) -> None:
    """Guards against request smuggling: hops that disagree on message ends."""
    connection, _ = wire.make_server_connection(data)
    assert (await read_messages(connection))[-1] == 400


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("status", "data"), REFUSED.values(), ids=REFUSED.keys()
)
async def test_refused_with_its_status(status: int, data: bytes) -> None:
    """Guards against unbounded sizes and unsupported protocols."""
    connection, _ = wire.make_server_connection(
        *wire.split_into_parts(data), head_bytes=500, body_bytes=100
    )
    assert (await read_messages(connection))[-1] == status


@pytest.mark.anyio
async def test_trailer_fields_are_dropped() -> None:
    """Guards against a trailer that sets fields after the head was checked."""
    data = CHUNKED + b"3\r\nabc\r\n0\r\nHost: b\r\nX: c\r\n\r\n"
    connection, _ = wire.make_server_connection(data)
    messages = await read_messages(connection)
    assert messages[0][2] == [("host", "a"), ("transfer-encoding", "chunked")]
    assert messages[0][3] == b"abc"


@pytest.mark.anyio
async def test_absolute_target_sets_path_and_host() -> None:
    """Guards against a route and a Host field for different hosts."""
    data = b"GET http://b:80?q HTTP/1.1\r\nHost: a\r\n\r\n"
    connection, _ = wire.make_server_connection(data)
    (request,) = await read_messages(connection)
    assert request[1:3] == ["/?q", [("host", "b:80")]]


@pytest.mark.anyio
async def test_only_optional_white_space_is_removed_from_values() -> None:
    """Guards against stripping bytes that are white space in Latin-1 only."""
    data = b"GET / HTTP/1.1\r\nHost: a\r\nX: \t b\xa0\x85 \t\r\n\r\n"
    connection, _ = wire.make_server_connection(data)
    (request,) = await read_messages(connection)
    assert request[2][1] == ("x", "b\xa0\x85")


def test_fields_named_by_connection_are_not_forwarded() -> None:
    """Guards against forwarding hop-by-hop fields."""
    headers = [
        ("host", "a"),
        ("connection", "X-One, close"),
        ("connection", "x-two, Host, Content-Length"),
        ("x-one", "1"),
        ("x-two", "2"),
        ("content-length", "0"),
        ("keep-alive", "timeout=5"),
        ("te", "trailers"),
        ("x-three", "3"),
    ]
    assert message.end_to_end_headers(headers) == [
        ("host", "a"),
        ("content-length", "0"),
        ("x-three", "3"),
    ]


names = strategies.sampled_from(["X-A", "Accept", "x-long-field-name"])
values = strategies.text("ab ,;=\t\xe9", max_size=8).map(str.strip)
bodies = strategies.binary(max_size=40)


@strategies.composite
def requests(draw) -> bytes:
    """Returns the bytes of one valid request."""
    fields = draw(strategies.lists(strategies.tuples(names, values)))
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields)
    head = POST + HOST + lines.encode("latin-1")
    chunks = draw(strategies.none() | strategies.lists(bodies, max_size=3))
    if chunks is None:
        body = draw(bodies)
        return head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    encoded = b"".join(message.encode_chunk(chunk) for chunk in chunks)
    head += b"Transfer-Encoding: chunked\r\n\r\n"
    return head + encoded + b"0\r\n\r\n"


@pytest.mark.anyio
@hypothesis.settings(
    derandomize=True, max_examples=150, database=None, deadline=None
)
@hypothesis.given(
    streams=strategies.lists(requests(), min_size=1, max_size=3),
    tail=strategies.sampled_from(
        [b"", b"GET / HTTP/1.1\r\n", b"\0", POST + b"Connection: close\r\n\r\n"]
    ),
    cuts=strategies.lists(strategies.integers(0, 600), max_size=12),
)
async def test_any_split_gives_the_same_messages(
    streams: list[bytes], tail: bytes, cuts: list[int]
) -> None:
    """Guards against results that depend on how the bytes were split."""
    data = b"".join(streams) + tail
    unsplit, _ = wire.make_server_connection(data)
    expected = await read_messages(unsplit)
    assert len(expected) >= len(streams)
    ends = sorted({cut for cut in cuts if 0 < cut < len(data)})
    parts = [
        data[begin:end]
        for begin, end in zip([0, *ends], [*ends, len(data)], strict=True)
    ]
    split, _ = wire.make_server_connection(*parts)
    assert await read_messages(split) == expected
    single, _ = wire.make_server_connection(*wire.split_into_parts(data, 1))
    assert await read_messages(single) == expected


@pytest.mark.anyio
async def test_requests_before_an_error_are_answered_first() -> None:
    """Guards against an error that discards a complete earlier request."""
    close = b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    connection, _ = wire.make_server_connection(close + close)
    messages = await read_messages(connection)
    assert [item[1] for item in messages] == ["/a"]
