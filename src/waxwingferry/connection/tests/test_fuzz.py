"""Mutated requests are refused, or parsed as by a reference parser."""

import random
import re

import pytest

from waxwingferry.connection import serve
from waxwingferry.connection.tests import wire

SEED = 20
CASES = 600

CORPUS = [
    b"GET /a?b=c HTTP/1.1\r\nHost: a\r\nX-One: 1\r\n\r\n",
    b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\nhello world",
    b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nTrailer: t\r\n\r\n",
    b"PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
    b"GET /b HTTP/1.1\r\nHost: b\r\n\r\n",
    b"GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    b"GET http://b/c HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
]
INSERTS = [b"\r\n", b"\n", b"\r", b"\0", b" ", b"\t", b":", b",", b"0", b"a"]
INSERTS += [b"Content-Length: 3\r\n", b"Transfer-Encoding: chunked\r\n"]
INSERTS += [b"Host: c\r\n", b"-", b"\xff", b"+", b";", b"Upgrade: x\r\n"]

REQUEST_LINE = re.compile(
    rb"([A-Z-]+) +([\x21-\x7e]+) +HTTP/(1\.[01])\r\n", re.DOTALL
)
FIELD = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)\r\n"
)
CHUNK = re.compile(rb"([0-9A-Fa-f]+)(;[\t\x20-\x7e\x80-\xff]*)?\r\n")


class MalformedRequestError(Exception):
    """The bytes are not a complete valid request."""


def read_reference(data: bytes) -> list[tuple[str, str, bytes]]:
    """Parses requests by the grammar of RFC 9112, up to the first error."""
    messages = []
    while data:
        try:
            found, data = _read_one(data)
        except MalformedRequestError:
            break
        messages.append(found)
    return messages


def _match(pattern: re.Pattern, data: bytes) -> re.Match:
    match = pattern.match(data)
    if match is None:
        raise MalformedRequestError
    return match


def _read_one(data: bytes) -> tuple[tuple[str, str, bytes], bytes]:
    line = _match(REQUEST_LINE, data.lstrip(b"\r\n"))
    data = line.string[line.end() :]
    fields, data = _read_fields(data)
    values = {name.lower(): value.rstrip() for name, value in fields}
    lengths = [v.strip() for n, v in fields if n.lower() == b"content-length"]
    chunked = b"transfer-encoding" in values
    if len(lengths) + chunked > 1:
        raise MalformedRequestError
    if chunked:
        if values[b"transfer-encoding"].lower() != b"chunked":
            raise MalformedRequestError
        body, data = _read_chunks(data)
    else:
        size = _read_size(lengths[0] if lengths else b"0", 10)
        if len(data) < size:
            raise MalformedRequestError
        body, data = data[:size], data[size:]
    target = re.sub(rb"^(?i:https?)://[^/?]*(?=(/?))", b"", line[2])
    if not target.startswith(b"/") and line[2] != b"*":
        target = b"/" + target
    return (line[1].decode(), target.decode(), body), data


def _read_size(text: bytes, base: int) -> int:
    if not re.fullmatch(rb"[0-9A-Fa-f]+", text):
        raise MalformedRequestError
    try:
        return int(text, base)
    except ValueError as error:
        raise MalformedRequestError from error


def _read_fields(data: bytes) -> tuple[list[tuple[bytes, bytes]], bytes]:
    fields = []
    while not data.startswith(b"\r\n"):
        field = _match(FIELD, data)
        fields.append((field[1], field[2]))
        data = data[field.end() :]
    return fields, data[2:]


def _read_chunks(data: bytes) -> tuple[bytes, bytes]:
    body = b""
    while True:
        chunk = _match(CHUNK, data)
        size = _read_size(chunk[1], 16)
        data = data[chunk.end() :]
        if size == 0:
            return body, _read_fields(data)[1]
        if data[size : size + 2] != b"\r\n":
            raise MalformedRequestError
        body += data[:size]
        data = data[size + 2 :]


def mutate(rng: random.Random, data: bytes) -> bytes:
    """Returns data with one to three random changes."""
    for _ in range(rng.randint(1, 3)):
        begin = rng.randrange(len(data) + 1)
        end = min(begin + rng.randint(0, 6), len(data))
        replacement = rng.choice(
            [
                b"",
                rng.choice(INSERTS),
                rng.choice(INSERTS) + data[begin:end],
                data[begin:end] * 2,
                bytes(
                    byte ^ (1 << rng.randrange(8)) for byte in data[begin:end]
                ),
            ]
        )
        data = data[:begin] + replacement + data[end:]
    return data


@pytest.mark.anyio
@pytest.mark.parametrize("block", range(6))
async def test_mutated_requests(block: int) -> None:
    """Guards against requests that two hops parse differently."""
    rng = random.Random(SEED + block)
    refused = 0
    for _ in range(CASES // 6):
        data = mutate(rng, rng.choice(CORPUS))
        received: list[tuple[str, str, bytes]] = []

        async def record(connection, head, received=received) -> None:
            body = b""
            while (chunk := await connection.receive_chunk()) is not None:
                body += chunk
            received.append((head.method, head.target, body))
            await connection.send_head(200, [], b"")

        connection, stream = wire.make_server_connection(data)
        await serve.Server(record).serve_requests(connection)
        expected = read_reference(data)
        assert received == expected[: len(received)], data
        statuses = re.findall(rb"HTTP/1\.1 (\d)", stream.sent)
        assert statuses[: len(received)] == [b"2"] * len(received), data
        if len(received) < len(expected) and connection.keep_alive:
            raise AssertionError(data)
        if statuses[len(received) :]:
            refused += 1
            assert statuses[len(received) :] in ([b"4"], [b"5"]), data
            assert not connection.keep_alive
    assert refused > CASES // 60


def test_reference_reads_the_corpus() -> None:
    """Guards against a reference parser that rejects everything."""
    assert [len(read_reference(data)) for data in CORPUS] == [1, 1, 1, 2, 1, 1]
