"""Load pattern: callers that send requests before the first is answered.

Their requests used to be served one after the other, so that a short one waited
for long ones of the same connection while targets were idle.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import anyio.lowlevel
import pytest

from waxwingferry.connection import http1
from waxwingferry.connection import pipeline
from waxwingferry.connection import serve

pytestmark = pytest.mark.anyio

GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /%d HTTP/1.1\r\nHost: a\r\n\r\n"
CLOSE = b"connection: close"
TIMEOUT_S = 5.0


class MemoryStream:
    """A byte stream whose client sends parts that a test adds."""

    def __init__(self):
        self.sender, self.receiver = anyio.create_memory_object_stream[bytes](
            100
        )
        self.sent = b""

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Returns the next part."""
        return await self.receiver.receive()

    async def send(self, data: bytes) -> None:
        """Records the sent data."""
        self.sent += data

    def answers(self) -> list[bytes]:
        """Returns the responses sent so far."""
        return self.sent.split(b"HTTP/1.1 ")[1:]

    def bodies(self) -> list[bytes]:
        """Returns the bodies of the responses sent so far."""
        return [part.partition(b"\r\n\r\n")[2] for part in self.answers()]


class Client:
    """A connection to a server in memory, and the state of its requests.

    Attributes:
        started: Targets of the requests that have been started, in order.
        allowed: Events by target; a request is answered once its event is
            set. Requests without one are answered at once.
    """

    def __init__(self):
        self.stream = MemoryStream()
        self.server = serve.Server(
            self.handle, may_overlap=lambda head: head.method == "GET"
        )
        self.started: list[str] = []
        self.allowed: dict[str, anyio.Event] = {}
        self.changed = anyio.Event()
        self.respond: Callable[
            [http1.ServerConnection, http1.RequestHead], Awaitable[None]
        ] = _respond_with_target

    async def handle(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Waits until the request may be answered, then answers it."""
        self.started.append(head.target)
        self.changed.set()
        if head.target in self.allowed:
            await self.allowed[head.target].wait()
        await self.respond(connection, head)

    def hold(self, *targets: str) -> None:
        """Makes requests wait until allow() is called."""
        for target in targets:
            self.allowed[target] = anyio.Event()

    def allow(self, target: str) -> None:
        """Lets a request be answered."""
        self.allowed[target].set()

    async def wait_started(self, count: int) -> None:
        """Returns once so many requests have been started."""
        with anyio.fail_after(TIMEOUT_S):
            while len(self.started) < count:
                self.changed = anyio.Event()
                await self.changed.wait()

    async def serve(self) -> None:
        """Serves the connection until it ends."""
        connection = http1.ServerConnection(
            self.stream  # type: ignore[arg-type]
        )
        with anyio.fail_after(TIMEOUT_S):
            await self.server.serve_requests(connection)


async def _respond_with_target(
    connection: http1.ServerConnection, head: http1.RequestHead
) -> None:
    await connection.send_head(200, [], head.target.encode())


async def test_requests_run_side_by_side_and_are_answered_in_order() -> None:
    """Guards against a request that waits for those sent before it."""
    client = Client()
    client.hold("/1", "/2")
    async with anyio.create_task_group() as group:
        group.start_soon(client.serve)
        await client.stream.sender.send(GET % 1 + GET % 2)
        await client.stream.sender.send(GET % 3)
        await client.wait_started(3)
        client.allow("/2")
        assert client.stream.sent == b""
        client.allow("/1")
        client.stream.sender.close()
    assert client.stream.bodies() == [b"/1", b"/2", b"/3"]
    assert not client.server.active
    assert not client.server.idle


async def test_a_request_that_must_not_repeat_waits_for_its_turn() -> None:
    """Guards against running it before an answer that closes the connection.

    Its client would take it for unread and send it again.
    """
    client = Client()
    client.hold("/1", "/2")
    async with anyio.create_task_group() as group:
        group.start_soon(client.serve)
        await client.stream.sender.send(GET % 1 + POST % 2 + GET % 3)
        await client.wait_started(1)
        client.allow("/1")
        await client.wait_started(2)
        assert client.stream.bodies() == [b"/1"]
        client.allow("/2")
        client.stream.sender.close()
    assert client.started == ["/1", "/2", "/3"]
    assert client.stream.bodies() == [b"/1", b"/2", b"/3"]


async def test_a_drain_answers_all_started_requests() -> None:
    """Guards against started requests behind an answer that closes."""
    client = Client()
    client.hold("/1", "/2")
    async with anyio.create_task_group() as group:
        group.start_soon(client.serve)
        await client.stream.sender.send(GET % 1 + GET % 2)
        await client.wait_started(2)
        group.start_soon(client.server.drain)
        await client.stream.sender.send(GET % 3)
        client.allow("/1")
        client.allow("/2")
    first, second = client.stream.answers()
    assert CLOSE not in first
    assert CLOSE in second
    assert client.started == ["/1", "/2"]


async def test_a_request_behind_a_closing_answer_is_not_started() -> None:
    """Guards against running a request that its client sends again."""
    client = Client()
    client.hold("/1")
    async with anyio.create_task_group() as group:
        group.start_soon(client.serve)
        await client.stream.sender.send(GET % 1 + POST % 2)
        await client.wait_started(1)
        await anyio.wait_all_tasks_blocked()
        group.start_soon(client.server.drain)
        await anyio.lowlevel.checkpoint()
        client.allow("/1")
    (answer,) = client.stream.answers()
    assert CLOSE in answer
    assert client.started == ["/1"]


async def test_a_malformed_request_ends_a_pipeline_after_the_answers() -> None:
    """Guards against an error that takes the place of an earlier answer."""
    client = Client()
    client.hold("/1")
    async with anyio.create_task_group() as group:
        group.start_soon(client.serve)
        await client.stream.sender.send(GET % 1 + GET % 2 + b"no request\r\n")
        await client.wait_started(2)
        client.allow("/1")
    first, second, third = client.stream.answers()
    assert first.endswith(b"/1")
    assert second.endswith(b"/2")
    assert third.startswith(b"400 ")
    assert CLOSE in third


async def test_a_pipeline_without_end_is_bounded() -> None:
    """Guards against a connection that takes all slots, or all memory."""
    client = Client()
    client.hold("/1")
    large = bytes(pipeline.MAX_HELD_BYTES // 2)

    async def respond(
        connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        await connection.send_head(200, [("content-length", str(len(large)))])
        await connection.send_chunk(large)

    client.respond = respond
    count = 3 * pipeline.MAX_OVERLAPPING
    async with anyio.create_task_group() as group:
        group.start_soon(client.serve)
        await client.stream.sender.send(
            b"".join(GET % (index + 1) for index in range(count))
        )
        await client.wait_started(pipeline.MAX_OVERLAPPING)
        assert len(client.started) == pipeline.MAX_OVERLAPPING
        # One of the held responses fits; the handlers of the others wait.
        assert len(client.server.active) == pipeline.MAX_OVERLAPPING - 1
        client.allow("/1")
        client.stream.sender.close()
    assert client.stream.bodies() == [large] * count


async def test_a_cut_answer_ends_the_connection() -> None:
    """Guards against a later answer taken for the rest of one cut short."""
    client = Client()
    client.hold("/1")

    async def respond(
        connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        await connection.send_head(200, [("content-length", "9")])
        if head.target == "/1":
            raise http1.ConnectionLostError("answer truncated by the target")
        await connection.send_chunk(b"123456789")

    client.respond = respond
    await client.stream.sender.send(GET % 1 + GET % 2)
    async with anyio.create_task_group() as group:

        async def serve_until_error() -> None:
            with pytest.raises(http1.ConnectionLostError):
                await client.serve()

        group.start_soon(serve_until_error)
        await client.wait_started(2)
        client.allow("/1")
    assert client.stream.bodies() == [b""]


async def test_a_closing_request_is_the_last_one() -> None:
    """Guards against requests started behind one that ends the connection."""
    client = Client()
    closing = b"GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    await client.stream.sender.send(GET % 1 + closing + GET % 3)
    await client.serve()
    first, second = client.stream.answers()
    assert CLOSE not in first
    assert CLOSE in second
    assert client.started == ["/1", "/2"]


# Requests at sound targets were lost with a response that an earlier one could
# not complete.
async def test_a_request_behind_a_response_in_progress_is_not_started() -> None:
    """Guards against a started request that a cut response takes along."""
    client = Client()
    cut_allowed = anyio.Event()

    async def respond(
        connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        await connection.send_head(200, [("content-length", "9")])
        client.changed.set()
        await cut_allowed.wait()
        raise http1.ConnectionLostError("answer truncated by the target")

    client.respond = respond
    await client.stream.sender.send(GET % 1)
    async with anyio.create_task_group() as group:

        async def serve_until_error() -> None:
            with pytest.raises(http1.ConnectionLostError):
                await client.serve()

        group.start_soon(serve_until_error)
        await client.wait_started(1)
        await anyio.wait_all_tasks_blocked()
        await client.stream.sender.send(GET % 2)
        await anyio.wait_all_tasks_blocked()
        cut_allowed.set()
    assert client.started == ["/1"]


async def test_a_request_behind_a_complete_response_is_started() -> None:
    """Guards against requests that wait for a response without end."""
    client = Client()
    end_allowed = anyio.Event()

    async def respond(
        connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        await connection.send_head(200, [("content-length", "2")])
        if head.target == "/1":
            await end_allowed.wait()
        await connection.send_chunk(head.target.encode())

    client.respond = respond
    async with anyio.create_task_group() as group:
        group.start_soon(client.serve)
        await client.stream.sender.send(GET % 1)
        await client.wait_started(1)
        await anyio.wait_all_tasks_blocked()
        await client.stream.sender.send(GET % 2 + POST % 3)
        await anyio.wait_all_tasks_blocked()
        end_allowed.set()
        await client.wait_started(3)
        client.stream.sender.close()
    assert client.stream.bodies() == [b"/1", b"/2", b"/3"]
