"""Distinguishes a silent connection from a slow target.

While a call waits, the target's node sends a 102 response every 200 ms as a
heartbeat. If none arrives for two intervals, the node is queried over a new
connection. The old connection is silent only if the node responds there and
nothing arrives on the old one for a third interval: the node is alive, but its
messages are lost. If the node doesn't respond on a new connection either, it
is stopped or partitioned, and another connection would be no better.

A body has no heartbeats. After a gap of the same length, the node is asked how
many bytes of the body it has sent. The connection is silent if that is more
than was received.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import time

import anyio

from waxwingferry.connection import http1
from waxwingferry.process.choice import known_target
from waxwingferry.request import calls
from waxwingferry.request import resolve

# Two intervals of 102 responses, and a third one with slack for its timer.
SUSPECT_AFTER_S = 0.4
CONFIRM_AFTER_S = 0.25


class ConnectionSilentError(http1.HttpError):
    """The connection delivers no bytes while a new one works."""


class SilenceMonitor:
    """Receives one answer and detects a silent connection.

    Args:
        connection: The connection.
        candidate: The target at its other end.
        attempt: The attempt sent on it.
        resolver: Queries the target's node over new connections.
    """

    def __init__(
        self,
        connection: http1.ClientConnection,
        candidate: known_target.Candidate,
        attempt: calls.Attempt,
        resolver: resolve.Resolver,
    ):
        self.connection = connection
        self.candidate = candidate
        self.attempt = attempt
        self.resolver = resolver
        self.in_body = False
        self.received_bytes = 0
        self.node_silent = False

    async def receive_head(self) -> http1.ResponseHead:
        """Returns the final head of the answer.

        Raises:
            ConnectionSilentError: The connection is silent.
            http1.HttpError: The connection is lost or the deadline has passed.
        """
        while True:
            head = await self._receive(self.connection.receive_head)
            assert isinstance(head, http1.ResponseHead)
            if head.status >= 200:
                return head

    async def receive_chunk(self) -> bytes | None:
        """Returns the next part of the answer's body, None at its end.

        Raises: As receive_head.
        """
        self.in_body = True
        chunk = await self._receive(self.connection.receive_chunk)
        assert chunk is None or isinstance(chunk, bytes)
        self.received_bytes += len(chunk or b"")
        return chunk

    async def _receive(self, receive: Callable[[float], Awaitable]):
        deadline = self.attempt.deadline
        chunk_end_s = time.monotonic() + deadline.chunk_timeout_s()
        timeout_s = SUSPECT_AFTER_S
        suspected = False
        while True:
            # The deadline may have moved.
            remaining_s = deadline.remaining_s()
            if self.in_body:
                remaining_s = chunk_end_s - time.monotonic()
            try:
                result = await receive(min(max(remaining_s, 0), timeout_s))
                self.node_silent = False
                return result
            except http1.ReceiveTimeoutError as error:
                if remaining_s <= timeout_s:
                    raise
                if suspected:
                    raise ConnectionSilentError(
                        "connection is silent"
                    ) from error
            suspected = await self._check_within(remaining_s - timeout_s)
            timeout_s = CONFIRM_AFTER_S if suspected else SUSPECT_AFTER_S

    async def _check_within(self, remaining_s: float) -> bool:
        try:
            with anyio.fail_after(max(remaining_s, 0)):
                return await self.check_connection()
        except TimeoutError as error:
            raise http1.ReceiveTimeoutError(
                "deadline passed during a connection check"
            ) from error

    async def check_connection(self) -> bool:
        """Tells whether the node is alive but its messages don't arrive.

        Raises:
            http1.ConnectionLostError: The node process no longer runs.
        """
        try:
            status = await self.resolver.fetch_status(
                self.candidate, self.attempt
            )
        except resolve.NodeStoppedError as error:
            raise http1.ConnectionLostError(
                "node process has stopped"
            ) from error
        self.node_silent = status is None
        if status is None:
            return False
        return not self.in_body or status.sent_bytes > self.received_bytes


async def send_monitored(
    connection: http1.ClientConnection,
    monitor: SilenceMonitor,
    send: Callable[[], Awaitable[None]],
) -> None:
    """Sends a long request and monitors heartbeats meanwhile.

    The connection reads while it sends, so heartbeats appear in the queue of
    its reader.

    Raises:
        ConnectionSilentError: The connection is silent.
        Exception: Any exception raised by send.
    """
    errors: list[Exception] = []
    async with anyio.create_task_group() as group:

        async def run_send() -> None:
            try:
                await send()
            except Exception as error:
                errors.append(error)
            group.cancel_scope.cancel()

        async def run_monitor() -> None:
            try:
                await _monitor_heartbeats(connection, monitor)
            except http1.HttpError as error:
                errors.append(error)
            group.cancel_scope.cancel()

        group.start_soon(run_send)
        group.start_soon(run_monitor)
    if errors:
        connection.reusable = False
        raise errors[0]


async def _monitor_heartbeats(
    connection: http1.ClientConnection, monitor: SilenceMonitor
) -> None:
    suspected = False
    seen_count = 0
    while True:
        await anyio.sleep(CONFIRM_AFTER_S if suspected else SUSPECT_AFTER_S)
        reader = connection.reader
        queued = len(reader.queue) if reader is not None else 0
        if queued > seen_count:
            seen_count = queued
            suspected = False
        elif suspected:
            raise ConnectionSilentError("connection is silent")
        else:
            suspected = await monitor.check_connection()
