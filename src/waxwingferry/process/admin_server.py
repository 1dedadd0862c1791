"""Serves an ASGI application with bounds on its clients.

Load pattern: a crowd that sends endless heads or bodies, or opens connections
without end, to the admin port. It must neither end nor fill the process.

Requests are parsed by the server of the other ports, which checks sizes and
times while bytes arrive. hypercorn has no setting for the number of connections
or for clients that don't read, accepts HTTP/2 and websockets on the same port,
and keeps a connection forever whose body is still sent after the response.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import email.utils
import json
import sys
import urllib.parse
import weakref

import anyio
import starlette.types
import structlog

from waxwingferry.connection import budget as budgets
from waxwingferry.connection import http1
from waxwingferry.connection import message
from waxwingferry.connection import serve
from waxwingferry.connection import tcp

# The limit that hypercorn had. Heads of browsers and collectors of metrics have
# 1 to 2 kB.
HEAD_BYTES = 16 * 1024
# A head fits a few packets, so it arrives within some round trips.
HEAD_S = 5.0
# A body of 512 KiB may take 37 s: an operator on a slow line sends more than
# 16 KiB/s, and few connections are there for others.
BODY_GRACE_S = 5.0
MIN_BODY_BYTES_PER_S = 16 * 1024
# Time for a client to accept a part of a response; the same as for a head.
SEND_S = 5.0
# Requests in a row that a client may send before the response ahead of them.
# No known client of this port pipelines requests.
MAX_PIPELINED = 16
# Time for requests in progress to end after a stop.
STOP_GRACE_S = 1.0

# Reasons for limiting a connection, besides those of the budget.
HEAD_TOO_LARGE = "head_too_large"
BODY_TOO_LARGE = "body_too_large"
TOO_SLOW = "too_slow"
PIPELINED = "pipelined"
_REASONS_BY_STATUS = {408: TOO_SLOW, 431: HEAD_TOO_LARGE}

log = structlog.get_logger()


class AdminServer:
    """Runs an ASGI application, one request of a connection at a time.

    A request is not cancelled when its client disconnects, so that a change
    that it has begun is not cut off.

    Args:
        app: The application.
        connections: Budget of the connections.
        body_bytes: Maximum size of a request body.

    Attributes:
        server: Server of the connections.
        scopes: Cancel scopes of the requests in progress.
        pipelined: Number of requests in a row, by connection, behind whose
            responses another request had already arrived.
    """

    def __init__(
        self,
        app: starlette.types.ASGIApp,
        connections: budgets.Budget,
        body_bytes: int,
    ):
        self.app = app
        self.connections = connections
        self.body_bytes = body_bytes
        limits = message.Limits(
            head_bytes=HEAD_BYTES,
            # Larger bodies get a response whose reason tools can show.
            body_bytes=sys.maxsize,
            head_s=HEAD_S,
            body_grace_s=BODY_GRACE_S,
            min_body_bytes_per_s=MIN_BODY_BYTES_PER_S,
            send_s=SEND_S,
        )
        self.server = serve.Server(
            self.handle, limits=limits, budget=connections
        )
        self.server.on_rejected = self.record_rejected
        self.scopes: set[anyio.CancelScope] = set()
        self.pipelined: weakref.WeakKeyDictionary[
            http1.ServerConnection, int
        ] = weakref.WeakKeyDictionary()

    async def run(
        self, host: str, port: int, stop: Callable[[], Awaitable[object]]
    ) -> None:
        """Serves until the awaitable returned by stop() completes.

        Requests in progress then have STOP_GRACE_S to end.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self.server.serve, host, port)
            try:
                await stop()
                if self.server.connections:
                    with anyio.move_on_after(STOP_GRACE_S):
                        await self.server.drain()
            finally:
                for scope in self.scopes:
                    scope.cancel()
            group.cancel_scope.cancel()

    async def handle(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Answers one request."""
        exchange = _Exchange(connection, head, self.body_bytes)
        if not exchange.too_large:
            await self._run_app(exchange)
        if exchange.error is not None:
            raise exchange.error
        if exchange.too_large:
            self.connections.record_limited(BODY_TOO_LARGE)
            exchange.respond_too_large()
        if not exchange.complete:
            raise http1.ConnectionLostError("request was cancelled by the stop")
        self._limit_pipelined(connection)
        exchange.headers.append(("date", email.utils.formatdate(usegmt=True)))
        await connection.send_head(
            exchange.status, exchange.headers, bytes(exchange.body)
        )

    async def _run_app(self, exchange: "_Exchange") -> None:
        with anyio.CancelScope(shield=True) as scope:
            self.scopes.add(scope)
            try:
                await self.app(
                    exchange.make_scope(), exchange.receive, exchange.send
                )
            except Exception:
                # The application has made a response of status 500.
                if exchange.error is None and not exchange.too_large:
                    log.exception("administration request failed")
            finally:
                self.scopes.discard(scope)

    def _limit_pipelined(self, connection: http1.ServerConnection) -> None:
        """Closes the connection behind the response after MAX_PIPELINED."""
        if not _has_further_request(connection):
            self.pipelined.pop(connection, None)
            return
        count = self.pipelined.get(connection, 0) + 1
        self.pipelined[connection] = count
        if count >= MAX_PIPELINED:
            connection.keep_alive = False
            self.connections.record_limited(PIPELINED)

    def record_rejected(
        self, head: http1.RequestHead | None, error: http1.HttpError
    ) -> None:
        """Counts and logs a request that exceeded a limit."""
        reason = _REASONS_BY_STATUS.get(error.status)
        if reason is not None:
            self.connections.record_limited(reason)


class _Exchange:
    """ASGI interface of one request.

    Args:
        connection: The connection.
        head: Head of the request.
        body_bytes: Maximum size of the request's body.

    Attributes:
        too_large: Whether the body is larger than that.
        error: Why the request could not be received completely, or None.
        status: Status of the response.
        headers: Header fields of the response.
        body: Body of the response.
        complete: Whether the response is complete.
    """

    def __init__(
        self,
        connection: http1.ServerConnection,
        head: http1.RequestHead,
        body_bytes: int,
    ):
        self.connection = connection
        self.head = head
        self.body_bytes = body_bytes
        length = http1.find_header(head.headers, "content-length")
        self.too_large = int(length or 0) > body_bytes
        self.error: http1.HttpError | None = None
        self.status = 0
        self.headers: message.Headers = []
        self.body = bytearray()
        self.complete = False

    def make_scope(self) -> starlette.types.Scope:
        """Returns the ASGI connection scope."""
        head = self.head
        path, _, query = head.target.partition("?")
        return {
            "type": "http",
            "asgi": {"spec_version": "2.1", "version": "3.0"},
            "http_version": head.version,
            "method": head.method,
            "scheme": "http",
            "path": urllib.parse.unquote(path),
            "raw_path": path.encode("latin-1"),
            "query_string": query.encode("latin-1"),
            "root_path": "",
            "headers": [
                (name.encode("latin-1"), value.encode("latin-1"))
                for name, value in head.headers
            ],
            "client": None,
            "server": None,
        }

    async def receive(self) -> starlette.types.Message:
        """Returns the next part of the body, or a disconnect on an error."""
        connection = self.connection
        try:
            chunk = await connection.receive_chunk()
        except http1.HttpError as error:
            self.error = error
            return {"type": "http.disconnect"}
        if chunk is None:
            return {"type": "http.request", "body": b"", "more_body": False}
        if connection.body_bytes > self.body_bytes:
            self.too_large = True
            return {"type": "http.disconnect"}
        account = connection.account
        if account and connection.body_bytes > http1.MAX_COUNTED_BODY:
            # The application collects the whole body, of which the connection
            # counts only the first part.
            connection.call_bytes += len(chunk)
            account.change(len(chunk))
        return {"type": "http.request", "body": chunk, "more_body": True}

    def respond_too_large(self) -> None:
        """Sets the response to a body over the limit."""
        error = f"body: must be at most {self.body_bytes} bytes"
        self.status = 413
        self.headers = [("content-type", "application/json")]
        self.body = bytearray(json.dumps({"errors": [error]}).encode() + b"\n")
        self.complete = True

    async def send(self, item: starlette.types.Message) -> None:
        """Records a part of the response."""
        match item["type"]:
            case "http.response.start":
                self.status = item["status"]
                self.headers = [
                    (name.decode("latin-1").lower(), value.decode("latin-1"))
                    for name, value in item["headers"]
                ]
            case "http.response.body":
                self.body += item.get("body", b"")
                self.complete = not item.get("more_body", False)


def _has_further_request(connection: http1.ServerConnection) -> bool:
    """Returns whether bytes behind the current request have arrived."""
    if not connection.request_ended:
        return False
    reader, stream = connection.reader, connection.stream
    if reader.pending or reader.events.queue or reader.events.in_message:
        return True
    return isinstance(stream, tcp.TcpStream) and bool(stream.buffer)
