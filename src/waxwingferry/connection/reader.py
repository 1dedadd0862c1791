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
import anyio.lowlevel
import httptools

from waxwingferry.connection import message
from waxwingferry.connection import message_events
from waxwingferry.connection import tcp

RECEIVE_BYTES = 65536
# Blocks and events after which a connection lets others run. A block of the
# shortest fields was parsed in 0.05 ms; the 8,000 fields of the largest head,
# which take 8 blocks, in 8 ms with their conversion.
MAX_STEPS = 8

# Memory that is not reported to on_change, to save time: a small request.
UNCOUNTED_BYTES = 8192

HTTP_VERSIONS = ("1.0", "1.1")

_HOST_VALUE = re.compile(r"[A-Za-z0-9._~%!$&'()*+,;=:\[\]-]*")
_ABSOLUTE_FORM = re.compile(r"(?i:https?)://([^/?#]+)([^#]*)")


class EndOfStreamError(message.ConnectionLostError):
    """The peer closed the connection cleanly, not by a reset."""


class Reader:
    """Receives one direction of a connection as a sequence of events.

    Received bytes are parsed only while no event is queued, so that many small
    messages don't become many parsed ones. They are parsed in blocks of
    BLOCK_BYTES at fixed places of the stream, at whose ends limits on what is
    unfinished are checked. Bodies with a length don't count in the blocks and
    are parsed in one piece.

    Args:
        stream: The connection.
        make_parser: Parser class of httptools, called with the callbacks.
        make_head: Creates a head from the collected fields.
        limits: Maximum sizes.

    Attributes:
        first_byte: First byte of each message, or empty for any. The parser
            accepts status lines of protocols that resemble HTTP.
        pending: Received bytes, of which those from position on are not
            parsed yet.
        steps: Blocks parsed and events taken since the reader last suspended.
        counted: Whether on_change was told of memory or an unfinished head.
        on_change: Called with the memory that the reader holds, and whether a
            head is unfinished, when this has changed.
    """

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        make_parser: Callable[[message_events.Events], Any],
        make_head: Callable[[message_events.Events], Any],
        limits: message.Limits,
    ):
        self.stream = stream
        self.events = message_events.Events(make_head, limits)
        self.parser = make_parser(self.events)
        self.events.parser = self.parser
        self.first_byte = b""
        self.pending = b""
        self.position = 0
        self.steps = 0
        self.counted = False
        self.on_change: Callable[[int, bool], None] | None = None

    @property
    def queue(self) -> collections.deque:
        """Parsed events that have not been consumed yet."""
        queue = self.events.queue
        if self.pending and not queue:
            self._parse_until_event()
        return queue

    @property
    def held_bytes(self) -> int:
        """Memory of what was received and not taken, in bytes."""
        events = self.events
        held_bytes = len(self.pending) + events.unfinished_bytes
        return held_bytes + events.queued_bytes if events.queue else held_bytes

    async def next_event(self, timeout_s: float):
        """Returns the next head, body part or end of message.

        Raises:
            ConnectionLostError: The connection failed or was closed.
            ReceiveTimeoutError: No data arrived within timeout_s seconds.
            HttpError: The peer violated the protocol.
        """
        if self.steps >= MAX_STEPS:
            await self.give_way()
        while not self.queue:
            await self.receive(timeout_s)
        return self.pop_event()

    async def give_way(self) -> None:
        """Lets other tasks run, after MAX_STEPS steps without suspending."""
        self.steps = 0
        await anyio.lowlevel.checkpoint()

    def pop_event(self):
        """Removes and returns the first event; raises it if it is an error.

        An error stays in the queue, so that later calls raise it again.
        """
        queue = self.queue
        event = queue[0]
        if isinstance(event, message.HttpError):
            raise event
        self.steps += 1
        queue.popleft()
        if self.counted:
            self._record_change()
        return event

    def _record_change(self) -> None:
        """Calls on_change if much is held, a head is unfinished, or was."""
        if self.on_change is None:
            return
        events = self.events
        head_open = events.in_message and events.in_head and not events.failed
        held_bytes = self.held_bytes
        if held_bytes <= UNCOUNTED_BYTES and not head_open:
            held_bytes = 0
        if held_bytes or head_open or self.counted:
            self.counted = bool(held_bytes or head_open)
            self.on_change(held_bytes, head_open)

    async def receive(self, timeout_s: float | None = None) -> None:
        """Receives and parses data.

        Args:
            timeout_s: Longest wait in seconds, or None for no limit.

        Raises:
            ConnectionLostError: The connection failed or was closed.
            ReceiveTimeoutError: No data arrived in time.
        """
        stream = self.stream
        if isinstance(stream, tcp.TcpStream) and not stream.buffer:
            # It suspends until data arrives.
            self.steps = 0
        elif self.steps >= MAX_STEPS:
            await self.give_way()
        try:
            if timeout_s is None:
                data = await stream.receive(RECEIVE_BYTES)
            elif isinstance(stream, tcp.Stream):
                data = await stream.receive(RECEIVE_BYTES, timeout_s)
            else:
                with anyio.fail_after(max(timeout_s, 0)):
                    data = await stream.receive(RECEIVE_BYTES)
        except TimeoutError as error:
            if timeout_s is None:
                raise
            raise message.ReceiveTimeoutError(
                f"no data received within {timeout_s:.3f} s"
            ) from error
        except anyio.EndOfStream as error:
            raise EndOfStreamError("connection closed by the peer") from error
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            raise message.ConnectionLostError("connection lost") from error
        self.feed(data)

    def feed(self, data: bytes) -> None:
        """Parses received bytes; queues an error if they are invalid.

        Bytes behind the first event may be parsed later.
        """
        if self.pending:
            self.parse_all()
        events = self.events
        if events.failed:
            return
        if (
            self.first_byte
            and not events.in_message
            and not self._may_begin_message(data)
        ):
            events.fail(message.HttpError("no status line of HTTP"))
            self._record_change()
            return
        if not events.queue:
            events.queued_bytes = 0
        block_bytes = events.block_bytes + len(data)
        if block_bytes < message_events.BLOCK_BYTES:
            # Most receives end within a block and have nothing else to check.
            events.block_bytes = block_bytes
            self.steps += 1
            try:
                self.parser.feed_data(data)
            except (
                httptools.HttpParserError,
                httptools.HttpParserUpgrade,
            ) as error:
                events.fail(_make_parse_error(error))
            if events.parts:
                events.flush_body()
            if (
                not events.in_message
                and events.queued_bytes <= UNCOUNTED_BYTES
                and not self.counted
            ):
                # Whole small messages, as most are: nothing to record.
                return
        else:
            self.pending = data
            if not events.queue:
                self._parse_until_event()
        self._record_change()

    def _may_begin_message(self, data: bytes) -> bool:
        """Returns whether the first byte after blank lines may be received."""
        start = data.lstrip(b"\r\n")[:1]
        return not start or start == self.first_byte

    def parse_all(self) -> None:
        """Parses what is pending, for a caller that waits for a later event."""
        while self.pending:
            self._parse_block()
        self.events.flush_body()

    def discard(self) -> None:
        """Releases all that was received; the connection counts as lost."""
        self.pending = b""
        self.position = 0
        self.events.fail(message.ConnectionLostError("closed: no room"))
        error = self.events.queue[-1]
        self.events.queue.clear()
        self.events.queue.append(error)

    def _parse_until_event(self) -> None:
        events = self.events
        events.queued_bytes = 0
        while self.pending and not events.queue:
            self._parse_block()
        events.flush_body()

    def _parse_block(self) -> None:
        """Parses pending bytes up to the end of the block or the body."""
        events = self.events
        begin = self.position
        left = len(self.pending) - begin
        left = min(
            left,
            events.body_left or message_events.BLOCK_BYTES - events.block_bytes,
        )
        self.position = begin + left
        data = self.pending[begin : self.position]
        if self.position == len(self.pending):
            self.pending = b""
            self.position = 0
        self._parse(data)
        if events.failed:
            self.pending = b""
            self.position = 0

    def _parse(self, data: bytes) -> None:
        events = self.events
        self.steps += 1
        events.block_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            events.fail(_make_parse_error(error))
        if events.block_bytes == message_events.BLOCK_BYTES:
            events.block_bytes = 0
            events.end_block()


def _make_parse_error(error: Exception) -> message.HttpError:
    if isinstance(error, httptools.HttpParserUpgrade):
        return message.HttpError("protocol upgrade is not supported", 501)
    return message.HttpError(f"malformed message: {error}")


def make_request_head(events: message_events.Events) -> message.RequestHead:
    """Validates and returns the head of a request."""
    parser = events.parser
    version = parser.get_http_version()
    if version not in HTTP_VERSIONS:
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
                raise message_events.make_body_too_large_error(events.limits)
            head.has_body = length > 0
            events.body_left = length
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


def make_response_head(events: message_events.Events) -> message.ResponseHead:
    """Validates and returns the head of a response.

    The parser accepts any three digits as a status, and other protocols.
    """
    parser = events.parser
    version = parser.get_http_version()
    if version not in HTTP_VERSIONS:
        raise message.HttpError(f"response has version {version}")
    status = parser.get_status_code()
    if not message.MIN_STATUS <= status <= message.MAX_STATUS:
        raise message.HttpError(f"response has no valid status: {status:03}")
    if status == 101:
        raise message.HttpError(
            "response switches protocols without a request to do so"
        )
    self_delimited = status in (204, 304) or status < message.MIN_FINAL_STATUS
    for name, value in events.headers:
        if name == "content-length":
            self_delimited = True
            events.body_left = int(value)
        elif name == "transfer-encoding":
            if value.lower() != "chunked":
                raise message.HttpError(
                    f"unsupported transfer coding {value!r}"
                )
            self_delimited = True
    has_body = events.body_left or message.find_header(
        events.headers, "transfer-encoding"
    )
    if status < message.MIN_FINAL_STATUS and has_body:
        raise message.HttpError("interim response with a body")
    return message.ResponseHead(
        status, events.headers, parser.should_keep_alive(), self_delimited
    )
