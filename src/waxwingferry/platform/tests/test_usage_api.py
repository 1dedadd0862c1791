"""The client of the API for usage reports, against faulty APIs."""

import contextlib
import json
import socket

import anyio
import pytest

from waxwingferry.platform import usage_api
from waxwingferry.process import duties
from waxwingferry.process.usage import reporter
from waxwingferry.process.usage import windows

HOLDING = duties.Holding("n1", 12)
REPORT = windows.Report(353445120, {"hule930": 412})
CONFIRMED = reporter.SendResult.CONFIRMED
FAILED = reporter.SendResult.FAILED


@contextlib.asynccontextmanager
async def run_api(handle):
    """Runs a raw TCP server; yields a client of it."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, handle)
        yield usage_api.UsageApi("127.0.0.1", port, True)
        group.cancel_scope.cancel()


async def test_the_call_has_the_documented_form():
    """Guards against calls that the API does not understand."""
    received = []

    async def handle(stream):
        while True:
            received.append(await stream.receive())
            await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    async with run_api(handle) as api:
        assert await api.send(HOLDING, REPORT, 1.0) is CONFIRMED
        assert await api.send(HOLDING, REPORT, 1.0) is CONFIRMED
    head, _, body = received[0].partition(b"\r\n\r\n")
    lines = head.decode().lower().split("\r\n")
    assert lines[0] == "post /usage http/1.1"
    assert "x-waxwingferry-duty-holder: n1" in lines
    assert "x-waxwingferry-fencing-token: 12" in lines
    assert "content-type: application/json" in lines
    assert json.loads(body) == {
        "window-id": 353445120,
        "counts": {"hule930": 412},
    }


@pytest.mark.parametrize(
    ("response", "result"),
    [
        (b"HTTP/1.1 429 x\r\ncontent-length: 0\r\n\r\n", FAILED),
        (b"HTTP/1.1 500 x\r\ncontent-length: 0\r\n\r\n", FAILED),
        (
            b"HTTP/1.1 409 x\r\ncontent-length: 0\r\n\r\n",
            reporter.SendResult.TOKEN_REFUSED,
        ),
        (b"\x00garbage\r\n\r\n", FAILED),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 9999999\r\n\r\n", FAILED),
        (b"", FAILED),
    ],
)
async def test_faulty_responses_do_not_confirm(response, result):
    """Guards against windows that count as reported without a 200."""

    async def handle(stream):
        await stream.receive()
        if response:
            await stream.send(response)
        await stream.aclose()

    async with run_api(handle) as api:
        assert await api.send(HOLDING, REPORT, 1.0) is result


async def test_a_slow_response_is_awaited():
    """Guards against an API that is slow and never confirms a window."""

    async def handle(stream):
        await stream.receive()
        await anyio.sleep(0.5)
        await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    async with run_api(handle) as api:
        assert await api.send(HOLDING, REPORT, 0.05) is CONFIRMED


async def test_a_call_that_does_not_arrive_in_time_is_reset(monkeypatch):
    """Guards against a call that arrives when another node is the holder."""
    ends = []
    ended = anyio.Event()

    async def handle(stream):
        with contextlib.suppress(anyio.BrokenResourceError):
            while True:
                try:
                    await stream.receive()
                except anyio.EndOfStream:
                    ends.append("closed")
                    ended.set()
                    return
        ends.append("reset")
        ended.set()

    async with run_api(handle) as api:
        connect = api.connect

        async def connect_unacknowledged(host, port):
            stream = await connect(host, port)
            monkeypatch.setattr(stream, "has_unacknowledged_data", lambda: True)
            return stream

        api.connect = connect_unacknowledged
        with anyio.fail_after(5):
            assert await api.send(HOLDING, REPORT, 0.05) is FAILED
            await ended.wait()
    assert ends == ["reset"]


async def test_nothing_is_sent_if_connecting_took_too_long():
    """Guards against a call after the time in which the holder may act."""
    received = []

    async def handle(stream):
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            received.append(await stream.receive())

    async with run_api(handle) as api:
        api.may_act = lambda: False
        assert await api.send(HOLDING, REPORT, 1.0) is FAILED
        api.may_act = lambda: True
    assert not received


async def test_an_api_that_is_down_is_a_failure():
    """Guards against an error that ends the report loop."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        api = usage_api.UsageApi("127.0.0.1", unused.getsockname()[1])
        assert await api.send(HOLDING, REPORT, 1.0) is FAILED
