"""HTTP/1.1 over anyio byte streams: server connections.

A connection carries one request at a time; `pipeline` adds requests of a client
that overlap, and `client` has the other side. `message` defines heads, errors
and limits; `reader` parses received bytes.
"""

import time

import anyio
import anyio.abc
import httptools

from waxwingferry import invariants
from waxwingferry.connection import budget as budgets
from waxwingferry.connection import client
from waxwingferry.connection import message
from waxwingferry.connection import message_events
from waxwingferry.connection import reader as reading

HOP_BY_HOP = message.HOP_BY_HOP
Headers = message.Headers
HttpError = message.HttpError
ConnectionLostError = message.ConnectionLostError
ReceiveTimeoutError = message.ReceiveTimeoutError
RequestHead = message.RequestHead
ResponseHead = message.ResponseHead
find_header = message.find_header
end_to_end_headers = message.end_to_end_headers
ClientConnection = client.ClientConnection

# Bytes of a body that a handler may buffer; the rest is passed on part by part.
MAX_COUNTED_BODY = 128 * 1024


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
        body_skipped: Whether a part of the request's body was discarded.
        answer_started: Whether sending of the final response has begun.
        answer_bytes: Bytes of the body of the final response sent so far.
        keep_alive: Whether another request may follow.
        scope: Cancels all work on the connection.
        idle_since_s: Monotonic time when waiting for a request began, or 0.
        call_started_s: Monotonic time when the request head was complete.
        sending_since_s: Monotonic time when the pending send began, or 0.
        sending_interim: Whether an interim response is being sent.
        account: Account of the memory that the connection holds, or None.
        may_have_run: Whether the request in progress may have run.
        call_bytes: Memory that the request in progress holds. Besides its head
            that is a list of the fields that are forwarded, and the part of
            its body that may be buffered.
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
        self.body_skipped = False
        self.answer_started = False
        self.answer_bytes = 0
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
        self.account: budgets.Account | None = None
        self.call_bytes = 0
        self.may_have_run = True

    def use_account(self, account: budgets.Account) -> None:
        """Records the memory that the connection holds in an account."""
        self.account = account
        self.reader.on_change = account.set_reader

    def begin_call(self, head: RequestHead) -> None:
        """Records that a request is in progress."""
        account = self.account
        if account is not None:
            # The same as compute_call_memory, without a call for each request.
            size = budgets.CALL_BYTES + head.memory_bytes * 2
            self.call_bytes = size
            account.begin_call(size)

    def end_call(self) -> None:
        """Records the end of a request."""
        if self.account is not None:
            self.account.end_call(self.call_bytes)
            self.call_bytes = 0

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
        self.body_skipped = False
        self.keep_alive = head.keep_alive
        self.continue_pending = head.has_body and head.expects_continue
        self.body_bytes = 0
        self.body_wait_s = 0.0
        if not head.has_body:
            await self.receive_chunk()
        return head

    async def _wait_for_head(self) -> None:
        reader = self.reader
        if reader.steps >= reading.MAX_STEPS:
            await reader.give_way()
        if not reader.queue and not reader.events.in_message:
            self.idle_since_s = time.monotonic()
            try:
                await reader.receive()
            finally:
                self.idle_since_s = 0.0
        end_s = time.monotonic() + self.limits.head_s
        while not reader.queue:
            await reader.receive(end_s - time.monotonic())

    async def receive_chunk(self) -> bytes | None:
        """Returns the next part of the request body, or None at its end.

        Raises:
            ReceiveTimeoutError: The body arrived below the minimum rate.
            HttpError: The body is malformed or too large, or a part of it was
                discarded.
        """
        if self.body_skipped:
            # Its end would be taken for that of the whole body.
            raise message.HttpError("a part of the body was discarded")
        if self.request_ended:
            return None
        reader = self.reader
        if reader.steps >= reading.MAX_STEPS:
            await reader.give_way()
        if self.continue_pending and not reader.queue:
            await self.send_interim(100, "Continue")
        self.continue_pending = False
        while not reader.queue:
            await self._receive_at_min_rate()
        event = reader.pop_event()
        if event is message_events.END_OF_MESSAGE:
            self.request_ended = True
            return None
        self.body_bytes += len(event)
        if self.account is not None and self.body_bytes <= MAX_COUNTED_BODY:
            self.call_bytes += len(event)
            self.account.change(len(event))
        return event

    def is_request_received(self) -> bool:
        """Tells whether the rest of the request can be read without a wait."""
        if self.request_ended:
            return True
        queue = self.reader.queue
        return bool(queue) and queue[-1] is message_events.END_OF_MESSAGE

    async def _receive_at_min_rate(self) -> None:
        limits = self.limits
        allowed_s = (
            limits.body_grace_s + self.body_bytes / limits.min_body_bytes_per_s
        )
        begin_s = time.monotonic()
        try:
            await self.reader.receive(allowed_s - self.body_wait_s)
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
        self.answer_bytes = len(body or b"")
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
            invariants.require(self.supports_chunked(), "answer_framing")
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
            self.body_skipped = True
            if queue.popleft() is message_events.END_OF_MESSAGE:
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
        self.answer_bytes += len(chunk)
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
            await client.send(self.stream, data)
        finally:
            self.sending_since_s = 0.0


def compute_call_memory(head: RequestHead) -> int:
    """Returns the memory of a request in progress, without its body."""
    return budgets.CALL_BYTES + head.memory_bytes * 2


def _is_bodiless(status: int) -> bool:
    return status < 200 or status in (204, 304)
