"""HTTP/1.1 over anyio byte streams: server and client connections.

A connection carries one request at a time; `pipeline` adds requests of a client
that overlap. `message` defines heads, errors
and limits; `reader` parses received bytes.
"""

import collections
from collections.abc import AsyncIterable
import re
import sys
import time

import anyio
import anyio.abc
import httptools

from waxwingferry.connection import message
from waxwingferry.connection import reader as reading
from waxwingferry.connection import tcp

HOP_BY_HOP = message.HOP_BY_HOP
Headers = message.Headers
HttpError = message.HttpError
ConnectionLostError = message.ConnectionLostError
ReceiveTimeoutError = message.ReceiveTimeoutError
RequestHead = message.RequestHead
ResponseHead = message.ResponseHead
find_header = message.find_header
end_to_end_headers = message.end_to_end_headers

# Responses may have any size, because they are streamed. Their heads may be
# those of a target with fields that nodes have added.
_RESPONSE_LIMITS = message.Limits(
    head_bytes=message.make_forwarded_head_bytes(
        message.DEFAULT_LIMITS.head_bytes
    ),
    body_bytes=sys.maxsize,
)
# A head and an end for each of the interim responses that are kept for the
# reader of the response, while the request is still being sent.
MAX_QUEUED_INTERIM_EVENTS = 200
_BODY_METHODS = ("POST", "PUT", "PATCH")
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=([0-9]{1,6})")


class ServerConnection:
    """Server side of one connection, one request at a time.

    A client that closes the connection, or only its sending side, is treated
    as disconnected and its call is cancelled. The server that accepted the
    connection detects this, and idle and send timeouts, through the
    attributes below.

    Args:
        stream: The connection.
        limits: Limits on what the client may send, and how slowly.
        reader: Parser of what the client sends; a new one by default.

    Attributes:
        head: Head of the current request.
        request_ended: Whether the request was received completely.
        answer_started: Whether sending of the final response has begun.
        keep_alive: Whether another request may follow.
        scope: Cancels all work on the connection.
        idle_since_s: Monotonic time when waiting for a request began, or 0.
        call_started_s: Monotonic time when the request head was complete.
        sending_since_s: Monotonic time when the pending send began, or 0.
        sending_interim: Whether an interim response is being sent.
    """

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        limits: message.Limits = message.DEFAULT_LIMITS,
        reader: reading.Reader | None = None,
    ):
        self.stream = stream
        self.limits = limits
        self.reader = reader or reading.Reader(
            stream,
            httptools.HttpRequestParser,
            reading.make_request_head,
            limits,
        )
        self.head: RequestHead | None = None
        self.request_ended = True
        self.answer_started = False
        self.chunked = False
        self.keep_alive = True
        self.continue_pending = False
        self.body_bytes = 0
        self.body_wait_s = 0.0
        self.send_lock = anyio.Lock(fast_acquire=True)
        self.scope: anyio.CancelScope | None = None
        self.idle_since_s = 0.0
        self.call_started_s = 0.0
        self.sending_since_s = 0.0
        self.sending_interim = False

    async def receive_head(self) -> RequestHead | None:
        """Returns the next request head, or None after a clean close.

        Raises:
            ReceiveTimeoutError: The head did not arrive in time.
            HttpError: The request is invalid or too large.
        """
        self.answer_started = False
        self.head = None
        try:
            await self._wait_for_head()
        except ConnectionLostError:
            return None
        head = self.reader.pop_event()
        self.head = head
        self.request_ended = False
        self.keep_alive = head.keep_alive
        self.continue_pending = head.has_body and head.expects_continue
        self.body_bytes = 0
        self.body_wait_s = 0.0
        if not head.has_body:
            await self.receive_chunk()
        return head

    async def _wait_for_head(self) -> None:
        reader = self.reader
        if not reader.queue and not reader.events.in_message:
            self.idle_since_s = time.monotonic()
            try:
                await reader.receive()
            finally:
                self.idle_since_s = 0.0
        end_s = time.monotonic() + self.limits.head_s
        while not reader.queue:
            await reader.receive_within(end_s - time.monotonic())

    async def receive_chunk(self) -> bytes | None:
        """Returns the next part of the request body, or None at its end.

        Raises:
            ReceiveTimeoutError: The body arrived below the minimum rate.
            HttpError: The body is malformed or too large.
        """
        if self.request_ended:
            return None
        reader = self.reader
        if self.continue_pending and not reader.queue:
            await self.send_interim(100, "Continue")
        self.continue_pending = False
        while not reader.queue:
            await self._receive_at_min_rate()
        event = reader.pop_event()
        if event is reading.END_OF_MESSAGE:
            self.request_ended = True
            return None
        self.body_bytes += len(event)
        return event

    async def _receive_at_min_rate(self) -> None:
        limits = self.limits
        allowed_s = (
            limits.body_grace_s + self.body_bytes / limits.min_body_bytes_per_s
        )
        begin_s = time.monotonic()
        try:
            await self.reader.receive_within(allowed_s - self.body_wait_s)
        except ReceiveTimeoutError:
            raise ReceiveTimeoutError(
                f"body is slower than {limits.min_body_bytes_per_s:.0f} bytes/s"
            ) from None
        finally:
            self.body_wait_s += time.monotonic() - begin_s

    async def send_interim(self, status: int, reason: str) -> None:
        """Sends an interim (1xx) response unless the final one has begun."""
        async with self.send_lock:
            if not self.answer_started:
                line = f"HTTP/1.1 {status} {reason}\r\n\r\n"
                await self._write(line.encode("ascii"))

    async def send_head(
        self, status: int, headers: Headers, body: bytes | None = None
    ) -> None:
        """Sends the status line and header fields, and the body if given.

        Without a body and a content-length field, the body that follows is
        sent with chunked coding, which HTTP/1.0 clients don't support.
        """
        self.answer_started = True
        headers = end_to_end_headers(headers)
        if status == 204:
            # RFC 9110, section 8.6: no Content-Length in a 204 response.
            headers = [item for item in headers if item[0] != "content-length"]
        self._add_framing(status, headers, body)
        self._add_connection_field(headers)
        data = message.encode_head(message.status_line(status), headers)
        if body and not self.is_head_request() and not _is_bodiless(status):
            data += body
        async with self.send_lock:
            await self._write(data)

    def _add_framing(
        self, status: int, headers: Headers, body: bytes | None
    ) -> None:
        self.chunked = False
        if _is_bodiless(status):
            return
        if any(name == "content-length" for name, _ in headers):
            return
        if body is not None:
            headers.append(("content-length", str(len(body))))
        elif not self.is_head_request():
            assert self.supports_chunked()
            self.chunked = True
            headers.append(("transfer-encoding", "chunked"))

    def _add_connection_field(self, headers: Headers) -> None:
        if not self.request_ended:
            self._skip_received_body()
        if not self.request_ended:
            self.keep_alive = False
        if not self.keep_alive:
            headers.append(("connection", "close"))
        elif not self.supports_chunked():
            headers.append(("connection", "keep-alive"))

    def _skip_received_body(self) -> None:
        """Discards the received part of a body that the handler didn't read."""
        queue = self.reader.queue
        while queue and not isinstance(queue[0], HttpError):
            if queue.popleft() is reading.END_OF_MESSAGE:
                self.request_ended = True
                return

    def is_head_request(self) -> bool:
        """Tells whether the current request is a HEAD request."""
        return self.head is not None and self.head.method == "HEAD"

    def supports_chunked(self) -> bool:
        """Tells whether the client supports chunked transfer coding."""
        return self.head is None or self.head.version != "1.0"

    async def send_chunk(self, chunk: bytes) -> None:
        """Sends a part of the body; waits while the client reads slowly."""
        if self.chunked:
            chunk = message.encode_chunk(chunk)
        await self._write(chunk)

    async def send_end(self) -> None:
        """Ends the body: sends the last chunk if the body is chunked."""
        if self.chunked:
            await self._write(b"0\r\n\r\n")

    async def _write(self, data: bytes) -> None:
        self.sending_since_s = time.monotonic()
        try:
            await _send(self.stream, data)
        finally:
            self.sending_since_s = 0.0


def _is_bodiless(status: int) -> bool:
    return status < 200 or status in (204, 304)


async def _send(
    stream: anyio.abc.ByteStream, data: bytes, timeout_s: float | None = None
) -> None:
    try:
        if isinstance(stream, tcp.TcpStream):
            await stream.send(data, timeout_s)
        else:
            with anyio.fail_after(timeout_s):
                await stream.send(data)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
        raise ConnectionLostError("connection lost while sending") from error


def _is_interim(queue: collections.deque) -> bool:
    """Tells whether a queue begins with an interim response."""
    head = queue[0]
    return isinstance(head, ResponseHead) and head.status < 200


def _parse_idle_timeout(head: ResponseHead) -> float | None:
    """Returns the timeout of the Keep-Alive field, or None without one."""
    value = find_header(head.headers, "keep-alive")
    match = _KEEP_ALIVE_TIMEOUT.search(value) if value else None
    return float(match[1]) if match else None


class ClientConnection:
    """Client side of one connection, one request at a time.

    Attributes:
        reusable: Whether another request may be sent on the connection.
        sent_bytes: Bytes sent on the connection so far.
        requests_sent: Requests sent on the connection so far.
        ended: Whether the response to the last request is complete.
        self_delimited: Whether the head of the last response defines where
            its body ends.
        accepts_close_delimited: Whether a body that its head doesn't delimit is
            complete once the server has closed the connection cleanly.
        server_idle_timeout_s: Time for which the server keeps an idle
            connection open, or None if it announced none.
    """

    def __init__(self, stream: anyio.abc.ByteStream):
        self.stream = stream
        self.reader: reading.Reader | None = None
        self.reusable = True
        self.sent_bytes = 0
        self.requests_sent = 0
        self.method = "GET"
        self.ended = True
        self.self_delimited = True
        self.accepts_close_delimited = False
        self.last_used_s = 0.0
        self.server_idle_timeout_s: float | None = None

    async def send_request(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        rest: AsyncIterable[bytes] | None = None,
        timeout_s: float | None = None,
    ) -> None:
        """Sends one request.

        A response that begins before the body is sent completely ends the
        sending, and the connection is then not reusable. Until this method
        returns no other task may receive on the connection; received events
        are queued in the reader.

        Args:
            method: Request method.
            target: Request target in origin form.
            headers: Header fields, without hop-by-hop fields.
            body: The complete body, or its first part.
            rest: Further parts; the body is then sent with chunked coding
                unless headers contain content-length. Exceptions of the
                iterator are raised to the caller.
            timeout_s: Longest time for sending, or None for no limit.

        Raises:
            ConnectionLostError: The connection failed while sending.
            TimeoutError: The request could not be sent in time.
        """
        if self.reader is None or self.method == "HEAD":
            # After HEAD the parser still expects the body of the response.
            self.reader = reading.Reader(
                self.stream,
                httptools.HttpResponseParser,
                reading.make_response_head,
                _RESPONSE_LIMITS,
            )
        self.method = method
        self.requests_sent += 1
        self.ended = False
        headers = list(headers)
        names = {name for name, _ in headers}
        if "host" not in names:
            # HTTP/1.1 requires the field; without a known host it is empty.
            headers.append(("host", ""))
        has_length = "content-length" in names
        chunked = rest is not None and not has_length
        if chunked:
            headers.append(("transfer-encoding", "chunked"))
        elif not has_length and (body or method in _BODY_METHODS):
            headers.append(("content-length", str(len(body))))
        data = message.encode_head(f"{method} {target} HTTP/1.1", headers)
        data += message.encode_chunk(body) if chunked else body
        if rest is None:
            await self._write(data, timeout_s)
            return
        with anyio.fail_after(timeout_s):
            await self._write(data)
            await self._send_until_response(rest, chunked)

    async def _write(self, data: bytes, timeout_s: float | None = None) -> None:
        self.sent_bytes += len(data)
        await _send(self.stream, data, timeout_s)

    async def _send_rest(
        self, rest: AsyncIterable[bytes], chunked: bool
    ) -> None:
        async for part in rest:
            await self._write(message.encode_chunk(part) if chunked else part)
        if chunked:
            await self._write(b"0\r\n\r\n")

    async def _send_until_response(
        self, rest: AsyncIterable[bytes], chunked: bool
    ) -> None:
        """Sends the rest of a body until a response begins."""
        completed = False
        send_error: Exception | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_for_response, group.cancel_scope)
            try:
                await self._send_rest(rest, chunked)
                completed = True
            except Exception as error:
                send_error = error
            group.cancel_scope.cancel()
        if completed:
            return
        self.reusable = False
        assert self.reader is not None
        answered = bool(self.reader.queue)
        if send_error is not None and not (
            answered and isinstance(send_error, ConnectionLostError)
        ):
            raise send_error

    async def _watch_for_response(self, scope: anyio.CancelScope) -> None:
        assert self.reader is not None
        try:
            while not self._is_response_queued():
                self._drop_interim_responses()
                await self.reader.receive()
        except ConnectionLostError as error:
            self.reader.events.fail(error)
        scope.cancel()

    def _drop_interim_responses(self) -> None:
        """Drops the first interim responses if a server has sent many."""
        assert self.reader is not None
        queue = self.reader.queue
        while len(queue) > MAX_QUEUED_INTERIM_EVENTS and _is_interim(queue):
            queue.popleft()
            queue.popleft()

    def _is_response_queued(self) -> bool:
        """Tells whether a final head or an error was received."""
        assert self.reader is not None
        self.reader.parse_all()
        return any(
            isinstance(event, HttpError)
            or (isinstance(event, ResponseHead) and event.status >= 200)
            for event in self.reader.queue
        )

    async def receive_head(self, timeout_s: float) -> ResponseHead:
        """Returns the next head, which may be an interim (1xx) one."""
        assert self.reader is not None
        head = await self.reader.next_event(timeout_s)
        if head.status < 200:
            await self.reader.next_event(timeout_s)
            return head
        if self.method == "HEAD":
            # The fields describe the body of a GET response; none follows.
            head.self_delimited = True
            self.ended = True
            self.reusable = self.reusable and not self.reader.queue
        if not head.keep_alive or not head.self_delimited:
            self.reusable = False
        self.self_delimited = head.self_delimited
        self.server_idle_timeout_s = _parse_idle_timeout(head)
        return head

    def expect_another(self) -> None:
        """Waits for another response after one of an earlier request."""
        self.ended = False

    async def receive_chunk(self, timeout_s: float) -> bytes | None:
        """Returns the next part of the response body, or None at its end."""
        if self.ended:
            return None
        assert self.reader is not None
        try:
            event = await self.reader.next_event(timeout_s)
        except reading.EndOfStreamError:
            if self.self_delimited or not self.accepts_close_delimited:
                raise
            # A body that its head doesn't delimit ends with the connection.
            self.ended = True
            return None
        if event is reading.END_OF_MESSAGE:
            self.ended = True
            if self.reader.queue or self.reader.events.in_message:
                self.reusable = False
            return None
        return event

    def is_open_and_idle(self) -> bool:
        """Tells whether the connection is open and has no unread data.

        A connection that the server closed, or on which it sent data without
        a request, must not be reused.
        """
        if isinstance(self.stream, tcp.Stream):
            return self.stream.is_open_and_idle()
        return True

    async def close(self) -> None:
        """Closes the connection immediately; on TCP without suspending."""
        self.reusable = False
        await self.stream.aclose()
