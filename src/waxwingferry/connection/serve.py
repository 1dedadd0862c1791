"""Serves accepted connections: one task for each."""

from collections.abc import Awaitable
from collections.abc import Callable
import socket
import time

import anyio
import anyio.abc
import structlog

from waxwingferry.connection import http1

WATCH_AFTER_S = 0.05
TICK_S = 0.05
# A request that was sent when the drain began arrives within this time.
DRAIN_GRACE_S = 0.2

log = structlog.get_logger()

Handler = Callable[[http1.ServerConnection, http1.RequestHead], Awaitable[None]]


class Server:
    """Accepts connections on one address and runs a handler per request.

    Args:
        handler: Answers one request on the connection it is given.
        interim_interval_s: Interval of 102 responses while a call waits for
            its target, or None for listeners that send none.
    """

    def __init__(
        self, handler: Handler, interim_interval_s: float | None = None
    ):
        self.handler = handler
        self.interim_interval_s = interim_interval_s
        self.busy: dict[http1.ServerConnection, anyio.abc.TaskGroup] = {}
        self.idle: set[http1.ServerConnection] = set()
        self.stopping = False
        self.call_ended = anyio.Event()
        self.accepting: anyio.CancelScope | None = None

    async def serve(self, host: str, port: int) -> None:
        """Serves until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, reuse_port=False, backlog=1024
        )
        await self.serve_listener(listener)

    async def serve_listener(
        self, listener: anyio.abc.Listener[anyio.abc.SocketStream]
    ) -> None:
        """Serves an open listener until cancelled."""
        async with listener, anyio.create_task_group() as group:
            group.start_soon(self._tick)
            with anyio.CancelScope() as self.accepting:
                await listener.serve(self._serve_connection, group)
            await listener.aclose()

    async def drain(self) -> None:
        """Ends all connections without cutting off a request.

        A request that a client had sent before it could know of the drain is
        answered, and its answer tells the client to close the connection.
        """
        self.stopping = True
        for connection in list(self.busy):
            connection.keep_alive = False
        await anyio.sleep(DRAIN_GRACE_S)
        if self.accepting is not None:
            self.accepting.cancel()
        await self._wait_for_calls()
        # Accepted connections whose request is on its way.
        await anyio.sleep(DRAIN_GRACE_S)
        await self._wait_for_calls()
        for connection in list(self.idle):
            await anyio.aclose_forcefully(connection.stream)

    async def _wait_for_calls(self) -> None:
        while self.busy:
            self.call_ended = anyio.Event()
            await self.call_ended.wait()

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = http1.ServerConnection(stream)
        async with stream:
            try:
                async with anyio.create_task_group() as group:
                    await self._serve_requests(connection, group)
                    group.cancel_scope.cancel()
            except* http1.HttpError as group_error:
                log.debug("connection ended", error=str(group_error))
            finally:
                self.idle.discard(connection)
                self.busy.pop(connection, None)

    async def _serve_requests(
        self, connection: http1.ServerConnection, group: anyio.abc.TaskGroup
    ) -> None:
        while True:
            self.idle.add(connection)
            try:
                head = await connection.receive_head()
            except http1.HttpError as error:
                await _refuse_malformed(connection, error)
                return
            finally:
                self.idle.discard(connection)
            if head is None:
                return
            if self.stopping:
                connection.keep_alive = False
            await self._serve_call(connection, head, group)
            if not connection.keep_alive or connection.peer_closed:
                return
            if not connection.request_ended or self.stopping:
                return

    async def _serve_call(self, connection, head, group) -> None:
        connection.call_started_s = time.monotonic()
        self.busy[connection] = group
        try:
            with anyio.CancelScope() as scope:
                connection.call_scope = scope
                await self.handler(connection, head)
        except http1.HttpError as error:
            connection.keep_alive = False
            if not connection.answer_started:
                await _refuse_malformed(connection, error)
        finally:
            connection.call_scope = None
            self.busy.pop(connection, None)
            self.call_ended.set()
            await connection.stop_watching()

    async def _tick(self) -> None:
        """Watches long calls for a closed connection and sends 102."""
        last_interim_s = time.monotonic()
        while True:
            await anyio.sleep(TICK_S)
            now_s = time.monotonic()
            interim_due = (
                self.interim_interval_s is not None
                and now_s - last_interim_s >= self.interim_interval_s
            )
            if interim_due:
                last_interim_s = now_s
            for connection, group in list(self.busy.items()):
                if now_s - connection.call_started_s < WATCH_AFTER_S:
                    continue
                if connection.request_ended and not connection.watching:
                    connection.watching = True
                    group.start_soon(connection.watch_for_close)
                if interim_due and not connection.answer_started:
                    group.start_soon(_send_processing, connection)


async def _send_processing(connection: http1.ServerConnection) -> None:
    try:
        await connection.send_interim(102, "Processing")
    except http1.HttpError as error:
        log.debug("interim response not sent", error=str(error))


async def _refuse_malformed(
    connection: http1.ServerConnection, error: http1.HttpError
) -> None:
    connection.keep_alive = False
    if isinstance(error, http1.ConnectionLostError):
        return
    headers = [
        ("x-waxwing-outcome", "not-run"),
        ("x-waxwing-reason", "bad_request"),
    ]
    body = f"{error}\n".encode()
    try:
        await connection.send_head(error.status, headers, body)
    except http1.HttpError:
        log.debug("malformed request from a lost connection")
