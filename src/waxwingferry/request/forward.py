"""Sends attempts to the nodes of other targets."""

from collections.abc import AsyncIterator
import contextlib

import anyio

from waxwingferry.connection import http1
from waxwingferry.connection import pool
from waxwingferry.process import routing
from waxwingferry.request import call
from waxwingferry.request import outcome


class Forwarder:
    """Sends attempts to peers over pooled connections.

    Args:
        connect: Opens a connection.
    """

    def __init__(self, connect: pool.Connect = pool.connect_tcp):
        self.connect = connect
        self.pools: dict[tuple[str, int], pool.Pool] = {}

    def _pool(self, candidate: routing.Candidate) -> pool.Pool:
        address = (candidate.host, candidate.peer_port)
        if address not in self.pools:
            self.pools[address] = pool.Pool(*address, self.connect)
        return self.pools[address]

    @contextlib.asynccontextmanager
    async def execute(
        self, candidate: routing.Candidate, attempt: call.Attempt
    ) -> AsyncIterator[outcome.Outcome]:
        """Runs an attempt at a peer; read the answer inside the context."""
        peer = self._pool(candidate)
        try:
            connection = await peer.acquire()
        except pool.ConnectError:
            yield outcome.NotRun(outcome.Reason.CONNECTION_REFUSED)
            return
        try:
            yield await self._exchange(connection, candidate, attempt)
        finally:
            with anyio.CancelScope(shield=True):
                await peer.release(connection)

    async def _exchange(
        self,
        connection: http1.ClientConnection,
        candidate: routing.Candidate,
        attempt: call.Attempt,
    ) -> outcome.Outcome:
        deadline = attempt.deadline
        try:
            with anyio.fail_after(max(deadline.remaining_s(), 0)):
                await connection.send_request(
                    attempt.method,
                    attempt.target,
                    call.hop_headers(attempt),
                    attempt.body.buffered,
                    attempt.body.rest,
                )
                head = await connection.receive_head(deadline.remaining_s())
                while head.status < 200:
                    head = await connection.receive_head(deadline.remaining_s())
        except (TimeoutError, http1.ReceiveTimeoutError):
            connection.reusable = False
            return outcome.Unknown(outcome.Reason.TIMEOUT, 504)
        except http1.HttpError:
            connection.reusable = False
            return outcome.Unknown(outcome.Reason.CONNECTION_LOST)
        result = _classify(connection, candidate, attempt, head)
        if not isinstance(result, outcome.Answer):
            await _skip_body(connection, deadline)
        return result


def _classify(
    connection: http1.ClientConnection,
    candidate: routing.Candidate,
    attempt: call.Attempt,
    head: http1.ResponseHead,
) -> outcome.Outcome:
    echoed = http1.find_header(head.headers, call.ATTEMPT_HEADER)
    if echoed != attempt.attempt_id:
        connection.reusable = False
        return outcome.Unknown(outcome.Reason.ANSWER_MISMATCH)
    text = http1.find_header(head.headers, call.LOAD_HEADER)
    load = routing.parse_load(text, anyio.current_time())
    if load is not None:
        candidate.load = load
    refusal = outcome.parse_refusal(head)
    if refusal is not None:
        return refusal

    async def receive_chunk() -> bytes | None:
        return await connection.receive_chunk(attempt.deadline.part_wait_s())

    return outcome.Answer(head, receive_chunk)


async def _skip_body(
    connection: http1.ClientConnection, deadline: call.Deadline
) -> None:
    """Reads the short body of a refusal, so that its connection is reused."""
    if not connection.reusable:
        return
    try:
        while await connection.receive_chunk(max(deadline.remaining_s(), 0)):
            pass
    except http1.HttpError:
        connection.reusable = False
