"""Uploads through simulated nodes to targets that record what they ran."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import hashlib
import json

import anyio

from waxwingferry.connection import http1
from waxwingferry.connection import message
from waxwingferry.connection import serve
from waxwingferry.process import target
from waxwingferry.process.protection import admission
from waxwingferry.request import calls
from waxwingferry.request import outcome
from waxwingferry.request.tests import network
from waxwingferry.request.tests import simulation

# Most of a run's time is spent in waits of a few milliseconds; a run that takes
# this long hangs.
HANG_S = 20.0
DEADLINE_MS = 60_000
# Bytes of an upload that a target reads before a refusal in the middle.
PART_BYTES = 90_000
# Time for which a target that warms up runs another request.
WARM_UP_S = 0.05
# Steps at which nodes refuse an attempt, or hold it up, before it is sent on.
NODE_STEPS = (
    "busy",
    "leaving",
    "domain out",
    "warm-up",
    "stated rate",
    "quarantine",
    "other node",
    "no target",
)
# What a target does with an upload instead of running it.
TARGET_STEPS = (
    "refuse at once",
    "refuse in the middle",
    "refuse at the end",
    "close at once",
    "close in the middle",
    "close after the run",
)


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """A request that a target ran, and its body."""

    length: int
    sha256: str


def describe(body: bytes) -> Run:
    """Returns the run of a request with the given body."""
    return Run(len(body), hashlib.sha256(body).hexdigest())


class UploadCluster(simulation.SimulatedCluster):
    """A cluster whose targets read whole bodies before they run requests.

    Attributes:
        runs: The requests that ran.
        target_steps: For each target, what it does with the next requests;
            afterwards it runs them.
        received: Number of requests whose heads reached a target.
        broken_off: Number of those whose bodies did not end.
        answer: Head of the answer that the latest client got.
    """

    def __init__(self, seed: int):
        super().__init__(seed)
        self.deadline_ms = DEADLINE_MS
        self.runs: list[Run] = []
        self.received = 0
        self.broken_off = 0
        self.answer = http1.ResponseHead(0, [])
        self.target_steps: dict[str, list[str]] = {}

    async def start(self, group) -> None:
        """See simulation.SimulatedCluster."""
        await super().start(group)
        for node in self.nodes:
            server = serve.Server(self._make_handler(node.name))
            self.accept(None, simulation.TARGET_PORT, server, group, node.name)
        for node in self.nodes:
            node.membership.apply_all(self.rows.values())

    def _make_handler(self, name: str) -> serve.Handler:
        async def handle(
            connection: http1.ServerConnection, head: http1.RequestHead
        ) -> None:
            steps = self.target_steps.get(name, [])
            await self._handle(connection, head, steps.pop(0) if steps else "")

        return handle

    async def _handle(
        self,
        connection: http1.ServerConnection,
        head: http1.RequestHead,
        step: str,
    ) -> None:
        self.received += 1
        attempt = http1.find_header(head.headers, calls.ATTEMPT_HEADER)
        headers = [(calls.ATTEMPT_HEADER, attempt)]
        refusal = [*headers, (target.NOT_RUN_HEADER, "true")]
        if step == "close at once":
            await _close(connection)
        if step == "refuse at once":
            await connection.send_head(503, refusal, b"")
            return
        body = b""
        try:
            while (chunk := await connection.receive_chunk()) is not None:
                body += chunk
                if len(body) < PART_BYTES:
                    continue
                if step == "close in the middle":
                    await _close(connection)
                if step == "refuse in the middle":
                    await connection.send_head(503, refusal, b"")
                    return
        except http1.HttpError:
            self.broken_off += 1
            raise
        if step == "refuse at the end":
            await connection.send_head(503, refusal, b"")
            return
        self.runs.append(describe(body))
        if step == "close after the run":
            await _close(connection)
        text = json.dumps(dataclasses.asdict(self.runs[-1])).encode()
        await connection.send_head(200, headers, text)

    def refuse_at(self, number: int, step: str) -> None:
        """Makes a node refuse attempts at the given step."""
        receiver = self.nodes[number].receiver
        state = receiver.admission
        assert state is not None
        match step:
            case "busy":
                receiver.is_congested = lambda: True  # type: ignore[method-assign]
            case "leaving":
                receiver.close()
            case "domain out":
                receiver.domain_is_out = lambda: True
            case "warm-up":
                # A target that has just started bears one request.
                state.limit.value = 1
                permit = state.submit("", state.clock() + HANG_S)
                self.network.call_later(
                    WARM_UP_S,
                    state.release,
                    permit,
                    admission.Ending.ANSWERED,
                )
            case "stated rate":
                state.rate_limit.record_statement(0.001)
            case "quarantine":
                receiver._find_quarantine_reason = (  # type: ignore[method-assign]
                    lambda attempt: outcome.Reason.CRASHES_TARGETS
                )
            case "other node":
                receiver.incarnation = "restarted"
            case "no target":
                receiver.link = None

    async def upload(
        self,
        parts: list[bytes],
        headers: bytes,
        end: str = "open",
        pauses: list[int] | None = None,
    ) -> tuple[int, str, str]:
        """Sends an upload to the first node as raw bytes.

        Args:
            parts: What follows the head, part by part.
            headers: Header fields that frame the body.
            end: "open" if the client then waits for the answer, "close" if it
                closes the connection first.
            pauses: Numbers of the parts that follow a pause.

        Returns:
            Status, outcome and reason of the answer; 0 without one.
        """
        stream = await self.network.connect(
            self.nodes[0].name, network.CALLER_PORT
        )
        client = http1.ClientConnection(stream)
        found = (0, "", "")
        answered = anyio.Event()

        async def send() -> None:
            head = b"POST /transfers HTTP/1.1\r\nHost: a\r\n"
            try:
                await stream.send(head + headers + b"\r\n")
                for number, part in enumerate(parts):
                    if number in (pauses or []):
                        await anyio.sleep(0.01)
                    await stream.send(part)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                return
            if end == "close":
                await stream.aclose()
                await anyio.sleep(0.1)
                answered.set()

        with anyio.fail_after(HANG_S):
            async with anyio.create_task_group() as group:
                group.start_soon(send)
                if end == "close":
                    await answered.wait()
                else:
                    self.answer = await _receive(client)
                    found = _summarize(self.answer)
                group.cancel_scope.cancel()
        await client.close()
        return found


async def _close(connection: http1.ServerConnection) -> None:
    """Closes a connection at once."""
    await connection.stream.aclose()
    raise http1.ConnectionLostError("closed")


async def _receive(client: http1.ClientConnection) -> http1.ResponseHead:
    """Returns the head of a response; its status is 0 without one."""
    # Nothing is sent by this side; it only parses the response.
    client._write = _ignore  # type: ignore[method-assign]
    await client.send_request("POST", "/", [])
    try:
        head = await client.receive_head(HANG_S)
    except http1.HttpError:
        head = http1.ResponseHead(0, [])
    return head


def _summarize(head: http1.ResponseHead) -> tuple[int, str, str]:
    """Returns status, outcome and reason."""
    find = http1.find_header
    return (
        head.status,
        find(head.headers, outcome.OUTCOME_HEADER),
        find(head.headers, outcome.REASON_HEADER),
    )


async def _ignore(data: bytes, timeout_s: float | None = None) -> None:
    """Sends nothing."""


def encode(
    body: bytes, sizes: list[int], chunked: bool, trailer: bytes = b""
) -> tuple[bytes, list[bytes]]:
    """Returns the header field and the parts of an upload.

    Args:
        body: The body.
        sizes: Sizes of the parts; the last one is repeated.
        chunked: Whether it has chunks instead of a length.
        trailer: Trailer fields behind the last chunk.
    """
    parts: list[bytes] = []
    begin = 0
    while begin < len(body):
        size = sizes[min(len(parts), len(sizes) - 1)]
        part = body[begin : begin + size]
        parts.append(message.encode_chunk(part) if chunked else part)
        begin += size
    if not chunked:
        return b"Content-Length: %d\r\n" % len(body), parts
    parts.append(b"0\r\n" + trailer + b"\r\n")
    return b"Transfer-Encoding: chunked\r\n", parts


def run(
    cluster: UploadCluster, body: Callable[[UploadCluster], Awaitable[None]]
) -> None:
    """Runs a coroutine function with a cluster."""

    async def main() -> None:
        async with anyio.create_task_group() as group:
            await cluster.start(group)
            await body(cluster)
            group.cancel_scope.cancel()

    asyncio.run(main())
