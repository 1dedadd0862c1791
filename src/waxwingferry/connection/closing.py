"""Error responses, and the end of a server connection after them."""

from collections.abc import Callable
import contextlib
import time
from typing import Protocol

import anyio
import structlog

from waxwingferry.connection import http1
from waxwingferry.connection import message
from waxwingferry.connection import tcp

LINGERING_CLOSE_S = 2.0
LINGERING_CHECK_S = 0.02
# Later checks, which many clients that read slowly may need for a long time.
SLOW_CHECK_S = 0.25
BODY_TOO_LARGE_STATUS = 413
INTERNAL_ERROR_STATUS = 500
INTERNAL_ERROR_REASON = "internal_error"
NO_ROOM_REASON = "no_room"
# Time after which a connection refused for lack of room may be tried again.
RETRY_AFTER_S = 1
NO_ROOM_RESPONSE = (
    "HTTP/1.1 503 Service Unavailable\r\nx-waxwing-outcome: not-run\r\n"
    f"x-waxwing-reason: {NO_ROOM_REASON}\r\nretry-after: {RETRY_AFTER_S}\r\n"
    "content-length: 0\r\nconnection: close\r\n\r\n"
).encode("ascii")

log = structlog.get_logger()


async def close_lingering(
    connection: http1.ServerConnection,
    is_stopping: Callable[[], bool] = lambda: False,
) -> None:
    """Closes the sending side, then discards received data for a while.

    Closing a socket with unread data resets the connection, and so does data
    that arrives later. Of a response, what the client's system has not
    acknowledged is lost then. While the client takes the response, it is waited
    for as during the sending; a server that stops waits only LINGERING_CLOSE_S
    for the next part.

    Args:
        connection: The connection.
        is_stopping: Tells whether the server waits for the connection's end.
    """
    stream = connection.stream
    assert isinstance(stream, tcp.Stream)
    if stream.is_closed_by_peer():
        return
    request_complete = (
        connection.request_ended and not connection.reader.events.failed
    )
    may_end = request_complete and stream.is_open_and_idle()
    if may_end and not stream.has_unacknowledged_data():
        return
    left_bytes = stream.count_unacknowledged_bytes()
    begin_s = progress_s = time.monotonic()
    interval_s = LINGERING_CHECK_S
    try:
        await stream.send_eof()
        while not may_end or left_bytes:
            with contextlib.suppress(TimeoutError):
                await stream.receive(timeout_s=interval_s)
                # The client may still be sending.
                may_end = False
            now_s = time.monotonic()
            count = stream.count_unacknowledged_bytes()
            if count < left_bytes:
                left_bytes = count
                progress_s = now_s
            patience_s = LINGERING_CLOSE_S
            if left_bytes and not is_stopping():
                patience_s = connection.limits.send_s
            if now_s - progress_s > patience_s:
                return
            if now_s - begin_s > LINGERING_CLOSE_S:
                interval_s = SLOW_CHECK_S
    except (
        anyio.EndOfStream,
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
    ):
        return


class FaultyConnection(Protocol):
    """A connection, or what stands for it, whose request has failed."""

    keep_alive: bool
    may_have_run: bool

    async def send_head(
        self, status: int, headers: http1.Headers, body: bytes | None = None
    ) -> None:
        """See http1.ServerConnection."""


async def send_fault_response(connection: FaultyConnection) -> None:
    """Answers a request whose handler failed."""
    connection.keep_alive = False
    kind = "unknown" if connection.may_have_run else "not-run"
    headers = [
        ("x-waxwing-outcome", kind),
        ("x-waxwing-reason", INTERNAL_ERROR_REASON),
    ]
    body = f"{INTERNAL_ERROR_REASON}\n".encode()
    try:
        await connection.send_head(INTERNAL_ERROR_STATUS, headers, body)
    except http1.HttpError:
        log.debug("error response not sent: connection lost")


async def send_error_response(
    connection: http1.ServerConnection, error: http1.HttpError
) -> None:
    """Answers a request that was not run because of an error."""
    connection.keep_alive = False
    if isinstance(error, http1.ConnectionLostError):
        return
    reason = "bad_request"
    if error.status == BODY_TOO_LARGE_STATUS:
        reason = "body_too_large"
    elif isinstance(error, message.NoRoomError):
        reason = NO_ROOM_REASON
    headers = [("x-waxwing-outcome", "not-run"), ("x-waxwing-reason", reason)]
    if isinstance(error, message.NoRoomError):
        headers.append(("retry-after", str(RETRY_AFTER_S)))
    body = f"{error}\n".encode()
    connection.answer_started = False
    try:
        await connection.send_head(error.status, headers, body)
    except http1.HttpError:
        log.debug("error response not sent: connection lost")


def discard(connection: http1.ServerConnection, stream: tcp.TcpStream) -> None:
    """Closes a connection and releases what it holds at once.

    The tasks of many others may run before its own tasks end.
    """
    stream.discard()
    connection.reader.discard()
    cancel(connection)


def cancel(connection: http1.ServerConnection) -> None:
    """Cancels all work for a connection, which closes it."""
    if connection.scope is not None:
        connection.scope.cancel()
