"""Parses one direction of a connection with httptools.

The parser is a C library in strict mode: it rejects two lengths, a length
together with chunked coding, bare line feeds and malformed chunk sizes (RFC
9112, section 6.3). This module also rejects what the parser accepts but this
system does not support: transfer codings other than chunked, upgrades,
versions other than 1.0 and 1.1, and a missing or repeated Host field.
"""

import collections
from collections.abc import Callable
import re
from typing import Any

import anyio
import anyio.abc
import httptools

from waxwingferry.connection import message
from waxwingferry.connection import tcp

RECEIVE_BYTES = 65536

_HOST_VALUE = re.compile(r"[A-Za-z0-9._~%!$&'()*+,;=:\[\]-]*")
_ABSOLUTE_FORM = re.compile(r"(?i:https?)://([^/?#]+)([^#]*)")


class EndOfStreamError(message.ConnectionLostError):
    """The peer closed the connection cleanly, not by a reset."""


class EndOfMessage:
    """Marks the end of a message in the event queue."""


END_OF_MESSAGE = EndOfMessage()


class Events:
    """Turns parser callbacks into a queue of heads, body parts and ends.

    An error is queued after the messages received before it, so that the
    events don't depend on how the received bytes were split.

    Args:
        make_head: Creates a head from the collected fields; raises HttpError.
        limits: Maximum sizes.
    """

    def __init__(
        self, make_head: Callable[["Events"], Any], limits: message.Limits
    ):
        self.make_head = make_head
        self.limits = limits
        self.parser: Any = None
        self.queue: collections.deque = collections.deque()
        self.url = b""
        self.headers: message.Headers = []
        self.fields: list[tuple[bytes, bytes]] = []
        self.in_message = False
        self.in_head = True
        self.failed = False
        self.head_bytes = 0
        self.body_bytes = 0
        self.overhead_bytes = 0

    def fail(self, error: message.HttpError) -> None:
        """Queues the first error; nothing is parsed after it."""
        if not self.failed:
            self.failed = True
            self.queue.append(error)

    def on_message_begin(self) -> None:
        """Resets the state for a new message."""
        self.in_message = True
        self.in_head = True
        self.url = b""
        self.headers = []
        self.fields = []
        self.head_bytes = 0
        self.body_bytes = 0
        self.overhead_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self.url += url
        self.head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a field of the head; trailer fields are dropped.

        Otherwise a trailer could set fields after the head was checked.
        """
        if self.in_head:
            self.fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Queues the head, or an error if it is invalid."""
        self.in_head = False
        if self.failed:
            return
        try:
            self._check_size()
            self.headers = [
                (
                    name.decode("latin-1").lower(),
                    value.decode("latin-1").rstrip(" \t"),
                )
                for name, value in self.fields
            ]
            self.queue.append(self.make_head(self))
        except message.HttpError as error:
            self.fail(error)

    def _check_size(self) -> None:
        limits = self.limits
        for name, value in self.fields:
            self.head_bytes += len(name) + len(value) + 4
        if self.head_bytes > limits.head_bytes:
            raise message.HttpError(
                f"head is larger than {limits.head_bytes} bytes", 431
            )
        if len(self.fields) > limits.fields:
            raise message.HttpError(
                f"head has more than {limits.fields} fields", 431
            )

    def on_body(self, body: bytes) -> None:
        """Queues a part of the body, or an error if the body is too large."""
        if self.failed:
            return
        self.overhead_bytes = 0
        self.body_bytes += len(body)
        if self.body_bytes > self.limits.body_bytes:
            self.fail(make_body_too_large_error(self.limits))
            return
        self.queue.append(body)

    def on_message_complete(self) -> None:
        """Queues the end of the message."""
        self.in_message = False
        if not self.failed:
            self.queue.append(END_OF_MESSAGE)


def make_body_too_large_error(limits: message.Limits) -> message.HttpError:
    """Returns the error for a body that is larger than the limit."""
    return message.HttpError(
        f"body is larger than {limits.body_bytes} bytes", 413
    )


class Reader:
    """Receives one direction of a connection as a sequence of events.

    Args:
        stream: The connection.
        make_parser: Parser class of httptools, called with the callbacks.
        make_head: Creates a head from the collected fields.
        limits: Maximum sizes.
    """

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        make_parser: Callable[[Events], Any],
        make_head: Callable[[Events], Any],
        limits: message.Limits,
    ):
        self.stream = stream
        self.events = Events(make_head, limits)
        self.parser = make_parser(self.events)
        self.events.parser = self.parser

    @property
    def queue(self) -> collections.deque:
        """Parsed events that have not been consumed yet."""
        return self.events.queue

    async def next_event(self, timeout_s: float):
        """Returns the next head, body part or end of message.

        Raises:
            ConnectionLostError: The connection failed or was closed.
            ReceiveTimeoutError: No data arrived within timeout_s seconds.
            HttpError: The peer violated the protocol.
        """
        while not self.queue:
            await self.receive_within(timeout_s)
        return self.pop_event()

    def pop_event(self):
        """Removes and returns the first event; raises it if it is an error.

        An error stays in the queue, so that later calls raise it again.
        """
        event = self.queue[0]
        if isinstance(event, message.HttpError):
            raise event
        return self.queue.popleft()

    async def receive_within(self, timeout_s: float) -> None:
        """Receives and parses data; raises ReceiveTimeoutError."""
        try:
            if isinstance(self.stream, tcp.Stream):
                await self.receive(timeout_s)
            else:
                with anyio.fail_after(max(timeout_s, 0)):
                    await self.receive()
        except TimeoutError as error:
            raise message.ReceiveTimeoutError(
                f"no data received within {timeout_s:.3f} s"
            ) from error

    async def receive(self, *timeout_s: float) -> None:
        """Receives and parses data; raises ConnectionLostError."""
        try:
            data = await self.stream.receive(RECEIVE_BYTES, *timeout_s)
        except anyio.EndOfStream as error:
            raise EndOfStreamError("connection closed by the peer") from error
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            raise message.ConnectionLostError("connection lost") from error
        self.feed(data)

    def feed(self, data: bytes) -> None:
        """Parses received bytes; queues an error if they are invalid."""
        events = self.events
        if events.failed:
            return
        events.overhead_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            events.fail(message.HttpError(f"malformed message: {error}"))
        except httptools.HttpParserUpgrade:
            events.fail(
                message.HttpError("protocol upgrade is not supported", 501)
            )
        if events.in_message and (
            events.overhead_bytes > events.limits.head_bytes + RECEIVE_BYTES
        ):
            # The parser buffers an unfinished field, so its size needs a
            # limit of its own.
            events.fail(message.HttpError("head or trailer is too large", 431))


def make_request_head(events: Events) -> message.RequestHead:
    """Validates and returns the head of a request."""
    parser = events.parser
    version = parser.get_http_version()
    if version not in ("1.0", "1.1"):
        raise message.HttpError(f"HTTP/{version} is not supported", 505)
    if parser.should_upgrade():
        raise message.HttpError("CONNECT and upgrades are not supported", 501)
    head = message.RequestHead(
        parser.get_method().decode("ascii"),
        events.url.decode("latin-1"),
        events.headers,
        parser.should_keep_alive(),
        version=version,
    )
    hosts = 0
    for name, value in events.headers:
        if name == "host":
            hosts += 1
            if not _HOST_VALUE.fullmatch(value):
                raise message.HttpError("Host field is malformed")
        elif name == "content-length":
            length = int(value)
            if length > events.limits.body_bytes:
                raise make_body_too_large_error(events.limits)
            head.has_body = length > 0
        elif name == "transfer-encoding":
            _check_transfer_coding(value, version)
            head.has_body = True
        elif name == "expect" and version == "1.1":
            if value.lower() != "100-continue":
                raise message.HttpError("unsupported expectation", 417)
            head.expects_continue = True
    if hosts > 1 or (hosts == 0 and version == "1.1"):
        raise message.HttpError(f"{hosts} Host fields, expected exactly 1")
    if not head.target.startswith("/"):
        _convert_to_origin_form(head)
    return head


def _check_transfer_coding(value: str, version: str) -> None:
    if version == "1.0":
        raise message.HttpError("Transfer-Encoding is not allowed in HTTP/1.0")
    if value.lower() != "chunked":
        raise message.HttpError(f"unsupported transfer coding {value!r}", 501)


def _convert_to_origin_form(head: message.RequestHead) -> None:
    """Replaces an absolute target by its path, and Host by its authority.

    RFC 9112, section 3.2.2: a server must accept the absolute form, and its
    authority replaces the Host field.
    """
    if head.target == "*" and head.method == "OPTIONS":
        return
    match = _ABSOLUTE_FORM.fullmatch(head.target)
    if match is None or not _HOST_VALUE.fullmatch(match[1]):
        raise message.HttpError("request target is malformed")
    path = match[2]
    head.target = path if path.startswith("/") else f"/{path}"
    others = [item for item in head.headers if item[0] != "host"]
    head.headers = [("host", match[1]), *others]


def make_response_head(events: Events) -> message.ResponseHead:
    """Validates and returns the head of a response."""
    parser = events.parser
    status = parser.get_status_code()
    if status == 101:
        raise message.HttpError(
            "response switches protocols without a request to do so"
        )
    self_delimited = status in (204, 304) or status < 200
    for name, value in events.headers:
        if name == "content-length":
            self_delimited = True
        elif name == "transfer-encoding":
            if value.lower() != "chunked":
                raise message.HttpError(
                    f"unsupported transfer coding {value!r}"
                )
            self_delimited = True
    return message.ResponseHead(
        status, events.headers, parser.should_keep_alive(), self_delimited
    )
