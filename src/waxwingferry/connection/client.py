"""HTTP/1.1 over anyio byte streams: client connections."""

import collections
from collections.abc import AsyncIterable
import re
import sys

import anyio
import anyio.abc
import httptools

from waxwingferry.connection import message
from waxwingferry.connection import message_events
from waxwingferry.connection import reader as reading
from waxwingferry.connection import tcp

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


async def send(
    stream: anyio.abc.ByteStream, data: bytes, timeout_s: float | None = None
) -> None:
    """Sends data; raises ConnectionLostError, or TimeoutError."""
    try:
        if isinstance(stream, tcp.TcpStream):
            await stream.send(data, timeout_s)
        else:
            with anyio.fail_after(timeout_s):
                await stream.send(data)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
        raise message.ConnectionLostError(
            "connection lost while sending"
        ) from error


def _is_interim(queue: collections.deque) -> bool:
    """Tells whether a queue begins with an interim response."""
    head = queue[0]
    return isinstance(head, message.ResponseHead) and head.status < 200


def _parse_idle_timeout(head: message.ResponseHead) -> float | None:
    """Returns the timeout of the Keep-Alive field, or None without one."""
    value = message.find_header(head.headers, "keep-alive")
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
        headers: message.Headers,
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
            message.ConnectionLostError: The connection failed while sending.
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
            self.reader.first_byte = b"H"
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
        await send(self.stream, data, timeout_s)

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
            answered and isinstance(send_error, message.ConnectionLostError)
        ):
            raise send_error

    async def _watch_for_response(self, scope: anyio.CancelScope) -> None:
        assert self.reader is not None
        try:
            while not self._is_response_queued():
                self._drop_interim_responses()
                await self.reader.receive()
        except message.ConnectionLostError as error:
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
            isinstance(event, message.HttpError)
            or (isinstance(event, message.ResponseHead) and event.status >= 200)
            for event in self.reader.queue
        )

    async def receive_head(self, timeout_s: float) -> message.ResponseHead:
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
        if event is message_events.END_OF_MESSAGE:
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
