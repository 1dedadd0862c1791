"""Streams bodies and answers between a caller's connection and an attempt."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import random

from waxwingferry.connection import http1
from waxwingferry.connection import pipeline
from waxwingferry.process.protection import crash_suspects
from waxwingferry.request import call_context
from waxwingferry.request import calls
from waxwingferry.request import keys
from waxwingferry.request import outcome
from waxwingferry.request import resolve

MAX_COLLECTED_BYTES = 1024 * 1024

# Sent as Retry-After with most refusals. By then a queue that is full now has
# advanced by about one service time.
RETRY_AFTER_S = 0.25
# After a refusal by the target itself, a request may come back at once; this
# covers the way back to its caller. Nodes send a target no more than its slots,
# so such a refusal is taken for a fault of the target and not for lack of room.
TARGET_REFUSED_RETRY_AFTER_S = 0.02
# Callers come back after at most this share of the time that they have left.
MAX_RETRY_AFTER_SHARE = 1 / 3

_INTERNAL_HEADERS = frozenset(
    {
        calls.ATTEMPT_HEADER,
        calls.INCARNATION_HEADER,
        calls.LOAD_HEADER,
        calls.NODE_TIME_HEADER,
        outcome.OUTCOME_HEADER,
        resolve.RESOLUTION_HEADER,
        resolve.SEEN_HEADER,
        resolve.SENT_BYTES_HEADER,
    }
)


async def relay_answer(
    connection: http1.ServerConnection,
    answer: outcome.Answer,
    attempt_id: str,
    extra: http1.Headers | None = None,
    protocol: call_context.CallerProtocol = call_context.DEFAULT_PROTOCOL,
    on_forward: Callable[[], None] = lambda: None,
) -> outcome.Unknown | None:
    """Forwards an answer chunk by chunk.

    A Content-Length set by the target is preserved; otherwise the body is
    sent with chunked transfer coding. HTTP/1.0 callers don't support that,
    and a body delimited by the end of the connection can't be told from a
    truncated one. For these callers a body of unknown length is buffered, up
    to MAX_COLLECTED_BYTES.

    Args:
        connection: Connection of the caller, or of the entry node.
        answer: The answer.
        attempt_id: ID of the attempt.
        extra: Further header fields.
        protocol: Header fields exchanged with callers.
        on_forward: Called before the first part of the answer is sent.

    Returns:
        None if the answer was forwarded, or the reason why no part of it was
        sent.

    Raises:
        http1.HttpError: The answer was truncated after its start was sent.
            The connection must be closed before the end of the message, so
            that the caller doesn't take the answer for complete.
    """
    head = answer.head
    forwarded = [
        item for item in head.headers if item[0] not in _INTERNAL_HEADERS
    ]
    headers = [
        *protocol.prepare_answer_headers(forwarded, attempt_id),
        *(extra or []),
    ]
    try:
        parts, complete = await _read_start(connection, answer)
    except outcome.AnswerCutError as error:
        return outcome.Unknown(error.reason)
    if not complete and not _can_stream(connection, headers):
        return outcome.Unknown(outcome.Reason.ANSWER_CUT)
    on_forward()
    if connection.is_head_request():
        await connection.send_head(head.status, headers)
        return None
    if complete:
        await connection.send_head(head.status, headers, b"".join(parts))
        return None
    await connection.send_head(head.status, headers)
    for part in parts:
        await connection.send_chunk(part)
    try:
        while (chunk := await answer.receive_chunk()) is not None:
            await connection.send_chunk(chunk)
    except outcome.AnswerCutError as error:
        if pipeline.discard_held(connection):
            return outcome.Unknown(error.reason)
        raise http1.ConnectionLostError(
            "answer truncated by the target"
        ) from error
    await connection.send_end()
    return None


async def _read_start(
    connection: http1.ServerConnection, answer: outcome.Answer
) -> tuple[list[bytes], bool]:
    """Reads the part of a body that is needed before its head is sent.

    A short body of known length is read completely, so that a truncated one
    can still be reported as an outcome. Of other bodies only the first part
    is read: a target may pause after it, and the caller must not wait for
    the second part. If it has sent further requests that were started, a
    short body of unknown length is read completely as well, because a
    truncated one would end the connection without their answers.

    Returns:
        The parts read, and whether they are the complete body.
    """
    max_bytes = 0
    length = http1.find_header(answer.head.headers, "content-length")
    if not _can_stream(connection, answer.head.headers):
        max_bytes = MAX_COLLECTED_BYTES
    elif length:
        if int(length) <= calls.MAX_BUFFERED_BODY_BYTES:
            max_bytes = calls.MAX_BUFFERED_BODY_BYTES
    elif _has_requests_behind(connection):
        max_bytes = calls.MAX_BUFFERED_BODY_BYTES
    parts: list[bytes] = []
    size = 0
    while (chunk := await answer.receive_chunk()) is not None:
        parts.append(chunk)
        size += len(chunk)
        if size > max_bytes:
            return parts, False
    return parts, True


def _has_requests_behind(connection: http1.ServerConnection) -> bool:
    return (
        isinstance(connection, pipeline.Exchange)
        and connection.has_requests_behind()
    )


def _can_stream(
    connection: http1.ServerConnection, headers: http1.Headers
) -> bool:
    return connection.supports_chunked() or bool(
        http1.find_header(headers, "content-length")
    )


def choose_retry_after_s(
    refusal: outcome.NotRun | outcome.Unknown, left_s: float, draw: float
) -> float:
    """Returns after which time a caller should send a request again.

    Load pattern: a burst, or the restart of a whole cluster, refuses many
    requests within a moment. If all came back after the same time, they would
    form the next burst, so their returns are spread over the time that callers
    wait at most.

    Args:
        refusal: The refusal.
        left_s: Time that the caller has left, or 0 if unknown.
        draw: Random number from 0 to 1.
    """
    match refusal.reason:
        case outcome.Reason.CRASHES_TARGETS:
            return crash_suspects.SUSPECT_LIFETIME_S
        case outcome.Reason.TARGET_REFUSED:
            return TARGET_REFUSED_RETRY_AFTER_S
        case (
            outcome.Reason.QUEUE_FULL
            | outcome.Reason.DISPLACED
            | outcome.Reason.DEADLINE_TOO_SHORT
        ):
            longest_s = max(left_s * MAX_RETRY_AFTER_SHARE, RETRY_AFTER_S)
            return RETRY_AFTER_S + draw * (longest_s - RETRY_AFTER_S)
        case _:
            return RETRY_AFTER_S


async def send_refusal(
    connection: http1.ServerConnection,
    refusal: outcome.NotRun | outcome.Unknown,
    extra: http1.Headers | None = None,
    left_s: float = 0.0,
) -> None:
    """Sends a refusal with its outcome and reason.

    Args:
        connection: Connection of the caller, or of the entry node.
        refusal: The refusal.
        extra: Further header fields.
        left_s: Time that the caller has left, or 0 if unknown.
    """
    headers = outcome.refusal_headers(refusal) + (extra or [])
    if refusal.status == 503:
        retry_after_s = choose_retry_after_s(refusal, left_s, random.random())
        headers.append(("retry-after", f"{retry_after_s:.3g}"))
    if refusal.status == keys.UNAUTHORIZED:
        headers.append(keys.CHALLENGE)
    body = f"{refusal.reason.value}\n".encode()
    await connection.send_head(refusal.status, headers, body)


async def read_body(connection: http1.ServerConnection) -> calls.Body:
    """Buffers a small body; a larger one is streamed after its first part.

    The rest of a larger body is read only as fast as it is forwarded, and can
    be read only once.

    Raises:
        http1.HttpError: Reading failed before any part was forwarded.
    """
    parts: list[bytes] = []
    size = 0
    while size <= calls.MAX_BUFFERED_BODY_BYTES:
        chunk = await connection.receive_chunk()
        if chunk is None:
            return calls.Body(b"".join(parts))
        parts.append(chunk)
        size += len(chunk)
    rest = calls.BodyStream(_iterate_body(connection))
    return calls.Body(b"".join(parts), rest)


async def _iterate_body(
    connection: http1.ServerConnection,
) -> AsyncIterator[bytes]:
    try:
        while (chunk := await connection.receive_chunk()) is not None:
            yield chunk
    except http1.HttpError as error:
        raise calls.BodyError(str(error), error.status) from error
