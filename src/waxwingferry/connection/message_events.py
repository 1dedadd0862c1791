"""Collects what a parser reports of a connection as a queue of events."""

import collections
from collections.abc import Callable
from typing import Any

from waxwingferry.connection import message

# Bytes between two checks of unfinished parts. Limits on them are exceeded by
# up to two blocks; smaller blocks cost more calls of the parser.
BLOCK_BYTES = 4096
# Bytes of a field line besides its name and value: a colon and the line end.
LINE_BYTES = 3
# Memory of a parsed field besides the bytes of its name and value: a tuple, its
# place in a list and two strings. 114 to 148 bytes were measured with
# tracemalloc; the rest is for the unused part of a growing list.
FIELD_MEMORY_BYTES = 192
# Memory of a head besides its fields, and of an event, with CPython 3.11.
HEAD_MEMORY_BYTES = 512
EVENT_BYTES = 64


class EndOfMessage:
    """Marks the end of a message in the event queue."""


END_OF_MESSAGE = EndOfMessage()


class Events:
    """Turns parser callbacks into a queue of heads, body parts and ends.

    An error is queued after the messages received before it. The events, and
    what limits apply, don't depend on how the received bytes were split: sizes
    of unfinished parts are checked at the ends of blocks, which have fixed
    places in the stream. See Reader.

    Args:
        make_head: Creates a head from the collected fields; raises HttpError.
        limits: Maximum sizes.

    Attributes:
        body_left: Bytes left of a body with a length.
        block_bytes: Bytes of the current block. Those of bodies with a length
            don't count.
        queued_bytes: Memory of the queue's events when they were queued.
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
        self.body_bytes = 0
        self.body_left = 0
        self.block_bytes = 0
        self.trailer_bytes = 0
        self.queued_bytes = 0
        self.parts: list[bytes] = []
        # Blocks that ended within the current head, body, or blank lines.
        self.blocks = 0

    @property
    def unfinished_bytes(self) -> int:
        """Memory of the head that is being received."""
        if not (self.in_message and self.in_head):
            return 0
        # The parser holds a field that is unfinished.
        return compute_head_memory(len(self.fields), self.blocks * BLOCK_BYTES)

    def fail(self, error: message.HttpError) -> None:
        """Queues the first error; nothing is parsed after it."""
        if not self.failed:
            self.flush_body()
            self.failed = True
            self.headers = []
            self.fields = []
            self.queue.append(error)

    def on_message_begin(self) -> None:
        """Resets the state for a new message."""
        self.in_message = True
        self.in_head = True
        self.url = b""
        self.body_bytes = 0
        self.trailer_bytes = 0
        # Blank lines may have come before.
        self.blocks = 0

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a field of the head; trailer fields are dropped.

        Otherwise a trailer could set fields after the head was checked.
        """
        if self.in_head:
            self.fields.append((name, value))
        else:
            self.trailer_bytes += len(name) + len(value) + LINE_BYTES

    def on_headers_complete(self) -> None:
        """Queues the head, or an error if it is invalid."""
        self.in_head = False
        self.blocks = 0
        if self.failed:
            return
        fields = self.fields
        self.fields = []
        size = len(self.url)
        for name, value in fields:
            size += len(name) + len(value) + LINE_BYTES
        if size > self.limits.head_bytes:
            self._fail_head()
            return
        self.headers = [
            (
                name.decode("latin-1").lower(),
                value.decode("latin-1").rstrip(" \t"),
            )
            for name, value in fields
        ]
        try:
            head = self.make_head(self)
        except message.HttpError as error:
            self.fail(error)
            return
        # The same as compute_head_memory, without a call for each head.
        head.memory_bytes = (
            HEAD_MEMORY_BYTES + FIELD_MEMORY_BYTES * len(fields) + size
        )
        # The head is not kept once its request has ended.
        self.headers = []
        self.queued_bytes += head.memory_bytes
        self.queue.append(head)

    def _fail_head(self) -> None:
        limit = self.limits.head_bytes
        self.fail(message.HttpError(f"head is larger than {limit} bytes", 431))

    def on_body(self, body: bytes) -> None:
        """Records a part of the body, or an error if the body is too large."""
        size = len(body)
        has_length = self.body_left
        if has_length:
            self.body_left -= size
            self.block_bytes -= size
        if self.failed:
            return
        self.body_bytes += size
        excess = self.body_bytes - self.limits.body_bytes
        if excess <= 0 and has_length:
            # The parser gets such a body in one piece.
            self.queued_bytes += size + EVENT_BYTES
            self.queue.append(body)
            return
        if excess > 0:
            if size > excess:
                self.parts.append(body[: size - excess])
            self.fail(make_body_too_large_error(self.limits))
            return
        self.parts.append(body)

    def flush_body(self) -> None:
        """Queues the recorded parts of the body as one event."""
        parts = self.parts
        if not parts:
            return
        if not self.failed:
            body = parts[0] if len(parts) == 1 else b"".join(parts)
            self.queued_bytes += len(body) + EVENT_BYTES
            self.queue.append(body)
        parts.clear()

    def on_message_complete(self) -> None:
        """Queues the end of the message."""
        self.in_message = False
        self.body_left = 0
        self.blocks = 0
        if self.failed:
            return
        if self.trailer_bytes and self.trailer_bytes > self.limits.head_bytes:
            self._fail_trailer()
            return
        if self.parts:
            self.flush_body()
        self.queue.append(END_OF_MESSAGE)

    def _fail_trailer(self) -> None:
        limit = self.limits.head_bytes
        self.fail(
            message.HttpError(f"trailer is larger than {limit} bytes", 431)
        )

    def end_block(self) -> None:
        """Checks the sizes of what is unfinished at the end of a block."""
        if self.failed:
            return
        limits = self.limits
        # The part that is unfinished may have begun anywhere in its first
        # block, which therefore doesn't count.
        size = self.blocks * BLOCK_BYTES
        self.blocks += 1
        if not self.in_message:
            if size > limits.blank_bytes:
                self.fail(message.HttpError("too many blank lines"))
        elif self.in_head:
            if size > limits.head_bytes:
                self._fail_head()
        elif self.trailer_bytes > limits.head_bytes:
            self._fail_trailer()
        elif size - self.body_bytes > limits.framing_bytes + self.body_bytes:
            self.fail(
                message.HttpError(
                    "chunks and trailer are larger than"
                    f" {limits.framing_bytes} bytes beside the body",
                    431,
                )
            )


def compute_head_memory(field_count: int, head_bytes: int) -> int:
    """Returns the memory of a parsed head, in bytes."""
    return HEAD_MEMORY_BYTES + FIELD_MEMORY_BYTES * field_count + head_bytes


def make_body_too_large_error(limits: message.Limits) -> message.HttpError:
    """Returns the error for a body that is larger than the limit."""
    return message.HttpError(
        f"body is larger than {limits.body_bytes} bytes", 413
    )
