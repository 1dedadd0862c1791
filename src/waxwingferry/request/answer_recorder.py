"""Decouples a call that must complete from a caller that may disconnect."""

import contextlib

import anyio

from waxwingferry.connection import http1

MAX_RECORDED_BYTES = 65_536
MAX_CHUNKS_AHEAD = 4


class AnswerRecorder:
    """Records an answer and forwards it to the caller's connection.

    The call runs in a background task and writes its answer to the recorder.
    The task of the caller's connection forwards the answer, and can be
    cancelled without cancelling the call. The send methods match those of
    http1.ServerConnection.

    Args:
        head: Whether the request is a HEAD request.
        chunked: Whether the caller supports chunked transfer coding.

    Attributes:
        status: Status of the answer, 0 before its head is available.
        headers: Header fields of the answer.
        complete: Whether the end of the answer was recorded.
        may_have_run: Whether an attempt has begun.
        abandoned: Whether forwarding has ended, or the caller disconnected.
    """

    def __init__(self, head: bool = False, chunked: bool = True):
        self.head = head
        self.chunked = chunked
        self.status = 0
        self.headers: http1.Headers = []
        self.complete = False
        self.abandoned = False
        self.answer_started = False
        self.keep_alive = True
        self.may_have_run = False
        self.full_body: bytes | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.head_ready = anyio.Event()
        self.sender, self.receiver = anyio.create_memory_object_stream[bytes](
            MAX_CHUNKS_AHEAD
        )

    def is_head_request(self) -> bool:
        """See http1.ServerConnection."""
        return self.head

    def supports_chunked(self) -> bool:
        """See http1.ServerConnection."""
        return self.chunked

    async def send_head(
        self, status: int, headers: http1.Headers, body: bytes | None = None
    ) -> None:
        """Records the head, and the body if it is complete already."""
        self.answer_started = True
        self.status = status
        self.headers = list(headers)
        if body is not None:
            self.full_body = body
            self._record(body)
            self.complete = True
        self.head_ready.set()

    async def send_chunk(self, chunk: bytes) -> None:
        """Records a part of the body; waits while the caller is slow."""
        self._record(chunk)
        with contextlib.suppress(anyio.BrokenResourceError):
            await self.sender.send(chunk)

    async def send_end(self) -> None:
        """Marks the body as complete."""
        self.complete = True

    def _record(self, chunk: bytes) -> None:
        self.size += len(chunk)
        if self.size <= MAX_RECORDED_BYTES:
            self.parts.append(chunk)
        else:
            self.parts.clear()

    def body(self) -> bytes | None:
        """Returns the body, or None if it exceeds MAX_RECORDED_BYTES."""
        if self.size > MAX_RECORDED_BYTES:
            return None
        return b"".join(self.parts)

    def finish(self) -> None:
        """Ends the recording; a caller that waits is released."""
        self.head_ready.set()
        self.sender.close()

    async def forward_to(self, connection: http1.ServerConnection) -> None:
        """Forwards the answer to the caller while it is recorded.

        Raises:
            http1.ConnectionLostError: The answer is missing or truncated.
        """
        try:
            await self.head_ready.wait()
            if not self.answer_started:
                raise http1.ConnectionLostError("call ended without an answer")
            await connection.send_head(
                self.status, self.headers, self.full_body
            )
            if self.full_body is not None:
                return
            async for chunk in self.receiver:
                await connection.send_chunk(chunk)
            if not self.complete:
                raise http1.ConnectionLostError("recorded answer is truncated")
            await connection.send_end()
        finally:
            self.abandoned = True
            self.receiver.close()
