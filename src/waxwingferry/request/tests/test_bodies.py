"""Request and answer bodies that pass through a node."""

import contextlib
import socket

import anyio
import pytest

from waxwingferry.connection import http1
from waxwingferry.connection import pipeline
from waxwingferry.connection import pool
from waxwingferry.connection.tests import wire
from waxwingferry.process import target
from waxwingferry.request import answering
from waxwingferry.request import calls
from waxwingferry.request import forward
from waxwingferry.request import outcome
from waxwingferry.request import silence

POST = b"POST / HTTP/1.1\r\nHost: a\r\n"
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
HTTP10_GET = b"GET / HTTP/1.0\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
LONG_BODY = b"Content-Length: 200000\r\n\r\n"
PART = b"x" * 50_000


class ChunkSource:
    """An answer body that counts the chunks read from it.

    Args:
        chunks: The chunks.
        error: Raised after the last chunk.
    """

    def __init__(self, chunks: list[bytes], error: Exception | None = None):
        self.chunks = list(chunks)
        self.error = error
        self.read_count = 0

    async def receive_chunk(self) -> bytes | None:
        """Returns the next chunk, or None at the end."""
        if self.read_count < len(self.chunks):
            self.read_count += 1
            return self.chunks[self.read_count - 1]
        if self.error is not None:
            raise self.error
        return None


async def relay(
    request: bytes, source: ChunkSource, headers: http1.Headers
) -> tuple[bytes, outcome.Unknown | None]:
    """Relays an answer; returns the bytes sent and the outcome."""
    connection, stream = wire.make_server_connection(request)
    await connection.receive_head()
    head = http1.ResponseHead(200, headers)
    answer = outcome.Answer(head, source.receive_chunk)
    result = await answering.relay_answer(connection, answer, "c.1")
    return stream.sent, result


@pytest.mark.anyio
async def test_a_cut_answer_with_requests_behind_it_is_reported() -> None:
    """Guards against an answer that takes started requests along."""
    connection, stream = wire.make_server_connection()
    requests = pipeline.Pipeline(connection)
    first, _ = (
        requests.add(http1.RequestHead("GET", f"/{number}", []))
        for number in range(2)
    )
    source = ChunkSource([b"ab"], outcome.AnswerCutError("cut"))
    answer = outcome.Answer(http1.ResponseHead(200, []), source.receive_chunk)
    result = await answering.relay_answer(first, answer, "c.1")
    assert result == outcome.Unknown(outcome.Reason.ANSWER_CUT)
    assert stream.sent == b""


@pytest.mark.anyio
async def test_a_cut_answer_that_is_held_is_replaced() -> None:
    """Guards against a cut answer that takes requests before it along."""
    connection, stream = wire.make_server_connection()
    requests = pipeline.Pipeline(connection)
    first, second = (
        requests.add(http1.RequestHead("GET", f"/{number}", []))
        for number in range(2)
    )
    source = ChunkSource([b"ab"], outcome.AnswerCutError("cut"))
    answer = outcome.Answer(http1.ResponseHead(200, []), source.receive_chunk)
    result = await answering.relay_answer(second, answer, "c.1")
    assert result == outcome.Unknown(outcome.Reason.ANSWER_CUT)
    await answering.send_refusal(second, result)
    await first.send_head(200, [], b"whole")
    first.finished = second.finished = True
    await requests.advance()
    assert stream.sent.count(b"HTTP/1.1 ") == 2
    assert b"whole" in stream.sent
    assert stream.sent.index(b"HTTP/1.1 200") == 0
    assert b"HTTP/1.1 502" in stream.sent
    assert requests.held_bytes == 0


LENGTH = ("content-length", "4")
FRAMING_CASES = {
    "length kept": (GET, [b"ab", b"cd"], [LENGTH], b"\r\n\r\nabcd"),
    "one chunk": (
        GET,
        [b"ab"],
        [],
        b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    ),
    "empty": (GET, [], [], b"content-length: 0\r\n\r\n"),
    "chunked": (
        GET,
        [b"ab", b"cd"],
        [("transfer-encoding", "chunked")],
        b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n",
    ),
    "length kept on HEAD": (
        GET.replace(b"GET", b"HEAD"),
        [],
        [LENGTH],
        b"x-waxwing-attempt: c.1\r\n\r\n",
    ),
    "no length on HEAD": (
        GET.replace(b"GET", b"HEAD"),
        [],
        [],
        b"x-waxwing-attempt: c.1\r\n\r\n",
    ),
    "collected for 1.0": (
        HTTP10_GET,
        [b"ab", b"cd"],
        [],
        b"content-length: 4\r\nconnection: close\r\n\r\nabcd",
    ),
    "streamed to 1.0": (
        HTTP10_GET,
        [b"ab", b"cd"],
        [LENGTH],
        b"connection: close\r\n\r\nabcd",
    ),
}


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("request_bytes", "chunks", "headers", "end"),
    FRAMING_CASES.values(),
    ids=FRAMING_CASES.keys(),
)
async def test_framing_of_relayed_answers(
    request_bytes: bytes, chunks: list, headers: list, end: bytes
) -> None:
    """Guards against wrong lengths, and chunked coding for HTTP/1.0."""
    sent, result = await relay(request_bytes, ChunkSource(chunks), headers)
    assert result is None
    assert sent.endswith(end)
    assert (b"content-length: 4" in sent) == (
        LENGTH in headers or b"content-length: 4" in end
    )


@pytest.mark.anyio
@pytest.mark.parametrize(("chunks", "headers"), [([], []), ([b"ab"], [LENGTH])])
async def test_answer_cut_before_its_start_is_unknown(
    chunks: list, headers: list
) -> None:
    """Guards against "not run" for a request that the target answered."""
    source = ChunkSource(chunks, outcome.AnswerCutError("cut"))
    sent, result = await relay(GET, source, headers)
    assert result == outcome.Unknown(outcome.Reason.ANSWER_CUT)
    assert sent == b""


@pytest.mark.anyio
@pytest.mark.parametrize("headers", [[], [("content-length", "70000")]])
async def test_first_part_is_not_held_back(headers: list) -> None:
    """Guards against delaying each event of a stream until the next one."""
    connection, stream = wire.make_server_connection(GET)
    await connection.receive_head()
    source = ChunkSource([b"event"])

    async def receive_chunk() -> bytes | None:
        if source.read_count:
            await anyio.sleep_forever()
        return await source.receive_chunk()

    answer = outcome.Answer(http1.ResponseHead(200, headers), receive_chunk)
    async with anyio.create_task_group() as group:
        group.start_soon(answering.relay_answer, connection, answer, "c.1")
        await anyio.wait_all_tasks_blocked()
        assert b"event" in stream.sent
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_answer_too_long_for_http10_is_unknown() -> None:
    """Guards against buffering an answer of unlimited size."""
    source = ChunkSource([b"x" * 65536] * 100)
    sent, result = await relay(HTTP10_GET, source, [])
    assert result == outcome.Unknown(outcome.Reason.ANSWER_CUT)
    assert sent == b""
    assert source.read_count * 65536 < answering.MAX_COLLECTED_BYTES + 2 * 65536


@pytest.mark.anyio
async def test_answers_wait_for_a_slow_caller() -> None:
    """Guards against buffering an answer without backpressure."""
    source = ChunkSource([b"x" * 65536] * 1000)
    connection, stream = wire.make_server_connection(GET)
    await connection.receive_head()

    async def send_blocked(data: bytes) -> None:
        await anyio.sleep_forever()

    stream.send = send_blocked  # type: ignore[method-assign]
    answer = outcome.Answer(http1.ResponseHead(200, []), source.receive_chunk)
    async with anyio.create_task_group() as group:
        group.start_soon(answering.relay_answer, connection, answer, "c.1")
        await anyio.wait_all_tasks_blocked()
        assert source.read_count <= 2
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_uploads_wait_for_a_slow_target() -> None:
    """Guards against buffering a request body without backpressure."""
    size = 1000 * len(PART)
    connection, stream = wire.make_server_connection(
        POST + b"Content-Length: %d\r\n\r\n" % size, *[PART] * 1000
    )
    await connection.receive_head()
    body = await answering.read_body(connection)
    assert body.rest is not None
    assert len(body.buffered) == 2 * len(PART)
    client, target_stream = wire.make_client_connection()

    async def block(data: bytes | int) -> bytes:
        await anyio.sleep_forever()
        return b""

    target_stream.send = block  # type: ignore
    target_stream.receive = block  # type: ignore
    async with anyio.create_task_group() as group:
        group.start_soon(
            client.send_request, "POST", "/", [], body.buffered, body.rest
        )
        await anyio.wait_all_tasks_blocked()
        assert len(stream.parts) >= 997
        group.cancel_scope.cancel()


@pytest.mark.anyio
@pytest.mark.parametrize("size", [0, 65536, 65537])
async def test_bodies_above_the_buffer_are_streamed(size: int) -> None:
    """Guards against retrying a call whose body was partly sent."""
    connection, _ = wire.make_server_connection(
        POST + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
    )
    await connection.receive_head()
    body = await answering.read_body(connection)
    assert (body.rest is None) == (size <= calls.MAX_BUFFERED_BODY_BYTES)
    rest = b""
    if body.rest is not None:
        rest = b"".join([part async for part in body.rest])
    assert body.buffered + rest == b"x" * size


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"Transfer-Encoding: chunked\r\n\r\n11170\r\n" + b"x" * 70_000, 400),
        (b"Content-Length: 90000\r\n\r\n" + b"x" * 70_000, 400),
        (
            b"Transfer-Encoding: chunked\r\n\r\n30000\r\n" + b"x" * 196_608,
            413,
        ),
    ],
    ids=["malformed", "cut", "too large"],
)
async def test_streamed_body_failure_is_attributed_to_the_caller(
    data: bytes, status: int
) -> None:
    """Guards against reporting a caller's malformed body as a target error."""
    connection, _ = wire.make_server_connection(
        POST, *wire.split_into_parts(data + b"no chunk end"), body_bytes=150_000
    )
    await connection.receive_head()
    body = await answering.read_body(connection)
    assert body.rest is not None
    with pytest.raises(calls.BodyError) as caught:
        _ = [part async for part in body.rest]
    assert caught.value.status == status


def make_link(port: int) -> target.TargetClient:
    """Returns a link to a target on loopback."""
    announcement = target.Announcement(
        service="s",
        version="v1",
        slots=1,
        echoes_attempts=False,
        host=wire.HOST,
        port=port,
        incarnation="i1",
    )
    return target.TargetClient(announcement, connect=pool.connect_tcp)


def make_attempt(body: calls.Body, deadline_s: float) -> calls.Attempt:
    """Returns an attempt with the given body and remaining time."""
    deadline = calls.make_deadline(deadline_s)
    return calls.Attempt(
        "c.1", "s", "POST", "/", [], body, deadline, "m", 1, "i1"
    )


async def proxy(port: int, request: bytes) -> bytes:
    """Sends a request through a node's body handling to a target.

    The deadline passes once the answer has begun.
    """
    link = make_link(port)

    async def handle(connection, head) -> None:
        body = await answering.read_body(connection)
        attempt = make_attempt(body, 60)
        async with link.execute(attempt) as result:
            attempt.deadline.at_s = 0
            if isinstance(result, outcome.Answer):
                await answering.relay_answer(connection, result, "c.1")
            else:
                await answering.send_refusal(connection, result)

    async with wire.run_server(handle) as own_port:
        data = await wire.exchange(own_port, request)
        await link.pool.close()
        return data


@pytest.mark.anyio
@pytest.mark.parametrize("stalls", [False, True])
async def test_answer_may_exceed_its_deadline_while_it_progresses(
    stalls: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against truncating long answers and waiting for stalled ones."""
    monkeypatch.setattr(calls, "PROGRESS_TIMEOUT_S", 0.05 if stalls else 60)
    closed = anyio.Event()

    async def answer(stream) -> None:
        await wire.read_until(stream, b"\r\n\r\n")
        await stream.send(CHUNKED)
        for _ in range(4):
            await anyio.sleep(0.01)
            await stream.send(b"1\r\na\r\n")
        if not stalls:
            await stream.send(b"0\r\n\r\n")
        await wire.read_all(stream)
        closed.set()

    request = GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    async with wire.run_raw_server(answer) as port:
        data = await proxy(port, request)
        with anyio.fail_after(10):
            await closed.wait()
    assert data.endswith(b"0\r\n\r\n") is not stalls
    assert stalls or data.endswith(
        b"\r\n\r\n" + b"1\r\na\r\n" * 4 + b"0\r\n\r\n"
    )


@pytest.mark.anyio
async def test_refusal_during_an_upload_arrives() -> None:
    """Guards against an unknown outcome for a request that was refused."""
    refusal = b"HTTP/1.1 503 x\r\nx-target-not-run: true\r\n"
    refusal += b"Content-Length: 0\r\nConnection: close\r\n\r\n"

    async def refuse(stream) -> None:
        await stream.receive(1000)
        await stream.send(refusal)
        await wire.read_all(stream)

    async with wire.run_raw_server(refuse) as port:
        data = await proxy(port, POST + LONG_BODY + b"x" * 100_000)
    assert data.startswith(b"HTTP/1.1 503")
    assert b"x-waxwing-outcome: not-run" in data


@pytest.mark.anyio
async def test_lost_caller_closes_the_targets_connection() -> None:
    """Guards against reusing a connection with a partly sent request."""
    connection_closed = anyio.Event()
    request_started = anyio.Event()

    async def observe(stream) -> None:
        await stream.receive()
        request_started.set()
        await wire.read_all(stream)
        connection_closed.set()

    async with wire.run_raw_server(observe) as port:
        link = make_link(port)

        async def handle(connection, head) -> None:
            body = await answering.read_body(connection)
            with contextlib.suppress(calls.BodyError):
                async with link.execute(make_attempt(body, 60)):
                    pass

        async with wire.run_server(handle) as own_port:
            caller = await anyio.connect_tcp(wire.HOST, own_port)
            await caller.send(POST + LONG_BODY + b"x" * 100_000)
            await request_started.wait()
            await caller.aclose()
            with anyio.fail_after(10):
                await connection_closed.wait()
        assert not link.pool.idle


@pytest.mark.anyio
async def test_long_upload_to_a_peer_is_watched_once() -> None:
    """Guards against two readers, or no reader, during an upload."""
    size = 300 * len(PART)

    async def answer(connection, head) -> None:
        received = 0
        while (chunk := await connection.receive_chunk()) is not None:
            received += len(chunk)
        await connection.send_head(200, [], str(received).encode())

    async def parts():
        for _ in range(300):
            yield PART

    async with wire.run_server(answer, interval_s=0.001) as port:
        connection = await pool.Pool(wire.HOST, port).acquire()
        attempt = make_attempt(calls.Body(b"", parts()), 60)
        monitor = silence.SilenceMonitor(connection, None, attempt, None)  # type: ignore
        head = await forward.send_and_receive(connection, attempt, monitor)
        body = await connection.receive_chunk(10)
        await connection.close()
    assert (head.status, body) == (200, str(size).encode())


@pytest.mark.anyio
@pytest.mark.parametrize("streamed", [False, True])
async def test_upload_that_a_peer_does_not_take_times_out(
    streamed: bool,
) -> None:
    """Guards against an attempt that outlives its deadline while sending."""
    part = b"x" * 32_000_000

    async def parts():
        yield part

    with socket.create_server((wire.HOST, 0)) as listener:
        # The kernel accepts the connection, but nothing reads from it.
        connection = await pool.Pool(*listener.getsockname()).acquire()
        body = calls.Body(b"", parts()) if streamed else calls.Body(part)
        attempt = make_attempt(body, 0.05)
        monitor = silence.SilenceMonitor(connection, None, attempt, None)  # type: ignore
        with pytest.raises(TimeoutError):
            await forward.send_and_receive(connection, attempt, monitor)
        await connection.close()
