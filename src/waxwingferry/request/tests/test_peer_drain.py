"""A target's node that drains while it sends an answer, over real sockets."""

from collections.abc import AsyncIterator
import contextlib
import random

import anyio
import pytest

from waxwingferry.connection import http1
from waxwingferry.process import attempts
from waxwingferry.process import background
from waxwingferry.process import core
from waxwingferry.process import metrics
from waxwingferry.process.choice import known_target
from waxwingferry.request import attempt_runner
from waxwingferry.request import calls
from waxwingferry.request import forward
from waxwingferry.request import outcome
from waxwingferry.request import peer
from waxwingferry.request import receive
from waxwingferry.request import silence

HOST = "127.0.0.1"
TIMEOUT_S = 10.0

pytestmark = pytest.mark.anyio


class PausingTarget:
    """A target that pauses after the first part of its answer."""

    def __init__(self):
        self.continue_allowed = anyio.Event()

    @contextlib.asynccontextmanager
    async def execute(
        self, attempt: calls.Attempt
    ) -> AsyncIterator[outcome.Outcome]:
        """Answers in two parts with a pause between them."""
        assert attempt.on_dispatch is not None
        assert attempt.on_dispatch()
        parts = [b"first", b"second"]

        async def receive_chunk() -> bytes | None:
            if len(parts) == 1:
                await self.continue_allowed.wait()
            return parts.pop(0) if parts else None

        yield outcome.Answer(http1.ResponseHead(200, []), receive_chunk)


class StoppingNode:
    """The node of a target, and an entry that sends an attempt to it."""

    def __init__(self):
        self.target = PausingTarget()
        self.counters = metrics.Metrics()
        self.receiver = receive.Receiver(
            "node-1", lambda: False, lambda: None, self.counters
        )
        runner = attempt_runner.AttemptRunner(
            self.target,
            attempts.Attempts(),
            background.Background(),
            self.counters,
        )
        handler = peer.PeerHandler(self.receiver, runner)
        self.server = core.make_peer_server(handler.handle)
        self.parts: list[bytes] = []

    async def run_attempt(self) -> None:
        """Sends an attempt and receives its answer."""
        candidate = known_target.Candidate(
            "n1", "registry", "v1", "r1", "d1", HOST, self.server.port,
            "node-1", "ready", 6,
        )  # fmt: skip
        rng = random.Random(1)
        attempt = calls.Attempt(
            f"{rng.getrandbits(64):016x}.1", "registry", "GET", "/", [],
            calls.Body(b""), calls.make_deadline(TIMEOUT_S), "", 1, "node-1",
        )  # fmt: skip
        forwarder = forward.Forwarder(self.counters)
        async with forwarder.execute(candidate, attempt) as result:
            assert isinstance(result, outcome.Answer)
            while (part := await result.receive_chunk()) is not None:
                self.parts.append(part)


# The node refused new connections while it drained. Its entry took it for a
# process that had ended, and cut the answer.
async def test_an_answer_that_pauses_outlives_the_drain_of_its_node() -> None:
    """Guards against giving up an attempt that a stopping node still runs."""
    node = StoppingNode()
    async with anyio.create_task_group() as group:
        group.start_soon(node.server.serve, HOST, 0)
        await node.server.listening.wait()
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as attempt_group:
                attempt_group.start_soon(node.run_attempt)
                while not node.parts:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
                attempt_group.start_soon(node.server.drain)
                # The entry asks the node for the state of the attempt.
                await anyio.sleep(
                    silence.SUSPECT_AFTER_S + silence.CONFIRM_AFTER_S
                )
                node.target.continue_allowed.set()
        group.cancel_scope.cancel()
    assert node.parts == [b"first", b"second"]


async def test_a_drained_node_accepts_no_connection() -> None:
    """Guards against attempts that begin just before the process exits."""
    node = StoppingNode()
    async with anyio.create_task_group() as group:
        group.start_soon(node.server.serve, HOST, 0)
        await node.server.listening.wait()
        await node.server.drain()
        with pytest.raises(OSError, match="refused|failed"):
            await anyio.connect_tcp(HOST, node.server.port)
        group.cancel_scope.cancel()
