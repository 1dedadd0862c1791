"""Responses whose status line is none, from targets, nodes and health paths.

A target in trouble sent the status 000, and the client got it as an answer.
"""

from collections.abc import AsyncIterator
import contextlib
import time

import anyio
import anyio.abc
import pytest

from waxwingferry.connection import exchange
from waxwingferry.platform import header_fields
from waxwingferry.process import metrics
from waxwingferry.process import target
from waxwingferry.process.choice import known_target
from waxwingferry.request import calls
from waxwingferry.request import forward
from waxwingferry.request import outcome

pytestmark = pytest.mark.anyio

HOST = "127.0.0.1"
REQUEST_ID = "9c41d07be2a35f68"
INVALID_LINES = [
    b"HTTP/1.1 000 None",
    b"HTTP/1.1 001 None",
    b"HTTP/1.1 099 None",
    b"HTTP/1.1 600 None",
    b"HTTP/1.1 999 None",
    b"HTTP/1.1 2000 None",
    b"HTTP/1.1 20 None",
    b"HTTP/1.1 2x0 None",
    b"HTTP/1.1 -20 None",
    b"HTTP/1.1  OK",
    b"HTTP/1.1",
    b"HTTP/0.9 200 OK",
    b"HTTP/1.2 200 OK",
    b"HTTP/2.0 200 OK",
    b"http/1.1 200 OK",
    b"RTSP/1.0 200 OK",
    b"ICE/1.0 200 OK",
    b"ICY 200 OK",
    b"200 OK",
    # Interim responses have no body.
    b"HTTP/1.1 100 Continue",
    b"HTTP/1.1 199 None",
]


@contextlib.asynccontextmanager
async def run_server(line: bytes) -> AsyncIterator[int]:
    """Runs a server that sends a status line and the rest of a good answer.

    Yields:
        Its port.
    """
    fields = {
        calls.ATTEMPT_HEADER: f"{REQUEST_ID}.1",
        header_fields.REQUEST_ID: REQUEST_ID,
        "content-length": "5",
    }
    text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    data = line + b"\r\n" + text.encode() + b"\r\nwhole"

    async def respond(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while await stream.receive():
                    await stream.send(data)

    listener = await anyio.create_tcp_listener(local_host=HOST)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, respond)
        yield listener.extra(anyio.abc.SocketAttribute.local_port)
        group.cancel_scope.cancel()


def make_attempt(incarnation: str) -> calls.Attempt:
    """Returns an attempt that is sent to a target or a node."""
    return calls.Attempt(
        f"{REQUEST_ID}.1",
        "desk",
        "POST",
        "/",
        [(header_fields.REQUEST_ID, REQUEST_ID)],
        calls.Body(b""),
        calls.make_deadline(1.0),
        "",
        1,
        incarnation,
    )


async def ask_target(port: int) -> outcome.Outcome:
    """Returns what a node takes for the answer of its target."""
    announcement = target.Announcement("desk", "v1", 1, HOST, port, "t:1")
    client = target.TargetClient(
        announcement, header_fields.PlatformTargetProtocol()
    )
    async with client.execute(make_attempt("i")) as result:
        assert not client.pool.idle
        return result


async def ask_peer(port: int) -> outcome.Outcome:
    """Returns what an entry takes for the answer of another node."""
    candidate = known_target.Candidate(
        "n1", "desk", "v1", "r1", "d1", HOST, port, "i", "ready", 6
    )
    forwarder = forward.Forwarder(metrics.Metrics())
    # The attempt is the first that the node is asked.
    node_time = forward.NodeTime("i", 1, time.monotonic())
    forwarder.node_times[(HOST, port)] = node_time
    attempt = make_attempt("i")
    async with forwarder.execute(candidate, attempt) as result:
        assert attempt.sent
        return result


async def ask_health(port: int) -> exchange.Reply:
    """Returns the response of a health path."""
    client = exchange.Client(HOST, port)
    return await client.request("GET", "/health", 1.0)


@pytest.mark.parametrize("line", INVALID_LINES)
async def test_a_target_without_a_status_has_not_answered(line: bytes) -> None:
    """Guards against a response of no valid status that a caller gets."""
    async with run_server(line) as port:
        result = await ask_target(port)
    assert isinstance(result, outcome.Unknown)


@pytest.mark.parametrize("line", INVALID_LINES)
async def test_a_node_without_a_status_has_not_answered(line: bytes) -> None:
    """Guards against a response between nodes that a caller gets."""
    async with run_server(line) as port:
        result = await ask_peer(port)
    assert isinstance(result, outcome.Unknown)


@pytest.mark.parametrize("line", INVALID_LINES)
async def test_a_health_path_without_a_status_tells_nothing(
    line: bytes,
) -> None:
    """Guards against a load report, or an error in the task that reads it."""
    async with run_server(line) as port:
        with pytest.raises(exchange.ExchangeError):
            await ask_health(port)


@pytest.mark.parametrize("line", [b"HTTP/1.1 200 OK", b"HTTP/1.0 200"])
async def test_a_valid_status_line_is_an_answer(line: bytes) -> None:
    """Guards against checks that reject what servers send."""
    async with run_server(line) as port:
        answer = await ask_target(port)
        reply = await ask_health(port)
    assert isinstance(answer, outcome.Answer)
    assert answer.head.status == reply.status == 200
