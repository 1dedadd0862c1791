"""Queries the target's node for the outcome of an attempt in doubt.

Each query uses a new connection.
"""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import time

import anyio

from waxwingferry.connection import http1
from waxwingferry.connection import pool
from waxwingferry.process import attempts
from waxwingferry.process import metrics
from waxwingferry.process.choice import known_target
from waxwingferry.request import calls
from waxwingferry.request import outcome

ATTEMPTS_PATH = "/_peer/attempts/"

# Proven state in the response to a resolve query; it is final.
RESOLUTION_HEADER = "x-waxwing-resolution"
# State in the response to a status query, which leaves no fence.
SEEN_HEADER = "x-waxwing-seen"
SENT_BYTES_HEADER = "x-waxwing-sent-bytes"
WAIT_HEADER = "x-waxwing-wait-ms"

# Time after the deadline for which an entry queries and its caller waits.
RESOLVE_GRACE_S = 0.3
# An idempotent call can be sent to another target, which is often faster.
IDEMPOTENT_RESOLVE_LIMIT_S = 0.25
QUERY_TIMEOUT_S = 0.5
MAX_SERVER_WAIT_S = 0.4
QUERY_RETRY_DELAY_S = 0.05
# Under overload many attempts time out at once; a query connection for each
# would add to the overload.
MAX_CONCURRENT_QUERIES = 64


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptStatus:
    """A node's report on an attempt.

    Attributes:
        resolution: Proven state of the attempt.
        sent_bytes: Bytes of the answer's body that the node has sent.
        answer: The retained answer, for Resolution.ANSWER.
    """

    resolution: attempts.Resolution
    sent_bytes: int = 0
    answer: outcome.Answer | None = None


class NodeStoppedError(Exception):
    """The node process that the attempt was sent to no longer runs."""


class Resolver:
    """Queries nodes for the state of attempts.

    Args:
        connect: Opens a connection.
        counters: Metrics of the node.
    """

    def __init__(self, connect: pool.Connect, counters: metrics.Metrics):
        self.connect = connect
        self.counters = counters
        self.query_slots = anyio.Semaphore(MAX_CONCURRENT_QUERIES)

    async def fetch_status(
        self, candidate: known_target.Candidate, attempt: calls.Attempt
    ) -> AttemptStatus | None:
        """Returns the node's status of an attempt, None without a response.

        Raises:
            NodeStoppedError: The node process of the attempt no longer runs.
        """
        timeout_s = min(attempt.deadline.remaining_s(), QUERY_TIMEOUT_S)
        return await self._query(candidate, attempt, "GET", timeout_s, 0)

    async def resolve(
        self,
        candidate: known_target.Candidate,
        attempt: calls.Attempt,
        unresolved: outcome.Unknown,
    ) -> outcome.Outcome:
        """Returns the proven outcome of an attempt, or unresolved without one.

        Args:
            candidate: The target that the attempt was sent to.
            attempt: The attempt.
            unresolved: How the connection ended.
        """
        result: outcome.Outcome = unresolved
        with contextlib.suppress(NodeStoppedError):
            result = await self._resolve_until_deadline(
                candidate, attempt, unresolved
            )
        kind = type(result).__name__.lower()
        self.counters.events.inc({"event": f"resolved_{kind}"})
        return result

    async def _resolve_until_deadline(
        self,
        candidate: known_target.Candidate,
        attempt: calls.Attempt,
        unresolved: outcome.Unknown,
    ) -> outcome.Outcome:
        begin_s = time.monotonic()
        while (left_s := _find_left_s(attempt, begin_s)) > 0:
            wait_s = min(MAX_SERVER_WAIT_S, left_s / 2) if attempt.keyed else 0
            status = await self._query(
                candidate, attempt, "POST", left_s, wait_s
            )
            if status is None:
                await anyio.sleep(QUERY_RETRY_DELAY_S)
                continue
            match status.resolution:
                case attempts.Resolution.NOT_RUN:
                    return outcome.NotRun(unresolved.reason)
                case attempts.Resolution.ANSWER:
                    assert status.answer is not None
                    return status.answer
                case attempts.Resolution.RUNNING if attempt.keyed:
                    continue
            return unresolved
        return unresolved

    async def _query(
        self,
        candidate: known_target.Candidate,
        attempt: calls.Attempt,
        method: str,
        timeout_s: float,
        wait_s: float,
    ) -> AttemptStatus | None:
        try:
            self.query_slots.acquire_nowait()
        except anyio.WouldBlock:
            self.counters.events.inc({"event": "resolve_limit"})
            return None
        try:
            with anyio.move_on_after(
                min(max(timeout_s, 0), QUERY_TIMEOUT_S + wait_s)
            ):
                async with self._connect(candidate) as connection:
                    return await _exchange(
                        connection, candidate, attempt, method, wait_s
                    )
        except http1.HttpError:
            return None
        except pool.ConnectError as error:
            if pool.is_refused(error):
                raise NodeStoppedError from error
        finally:
            self.query_slots.release()
        return None

    @contextlib.asynccontextmanager
    async def _connect(
        self, candidate: known_target.Candidate
    ) -> AsyncIterator[http1.ClientConnection]:
        stream = await self.connect(candidate.host, candidate.peer_port)
        connection = http1.ClientConnection(stream)
        try:
            yield connection
        finally:
            with anyio.CancelScope(shield=True):
                await connection.close()


def _find_left_s(attempt: calls.Attempt, begin_s: float) -> float:
    """Returns the time left for resolving; the deadline may have moved.

    Args:
        attempt: The attempt.
        begin_s: Monotonic time at which resolving began.
    """
    spent_s = time.monotonic() - begin_s
    # The deadline may have passed before resolving began.
    left_s = max(attempt.deadline.remaining_s(), -spent_s) + RESOLVE_GRACE_S
    if attempt.idempotent:
        left_s = min(left_s, IDEMPOTENT_RESOLVE_LIMIT_S - spent_s)
    return left_s


def is_status(head: http1.ResponseHead) -> bool:
    """Returns whether a response tells the status of an attempt.

    It names the attempt like the answer, but is not the answer.
    """
    return any(
        name in (SEEN_HEADER, RESOLUTION_HEADER) for name, _ in head.headers
    )


async def _exchange(
    connection: http1.ClientConnection,
    candidate: known_target.Candidate,
    attempt: calls.Attempt,
    method: str,
    wait_s: float,
) -> AttemptStatus | None:
    path = ATTEMPTS_PATH + attempt.attempt_id
    await connection.send_request(
        method,
        path if method == "GET" else f"{path}/resolve",
        [
            (calls.NODE_TIME_HEADER, str(attempt.node_time_ms)),
            (WAIT_HEADER, str(int(wait_s * 1000))),
        ],
    )
    head = await connection.receive_head(QUERY_TIMEOUT_S)
    while head.status < 200:
        head = await connection.receive_head(QUERY_TIMEOUT_S)
    find = http1.find_header
    if find(head.headers, calls.ATTEMPT_HEADER) != attempt.attempt_id:
        return None
    if find(head.headers, calls.INCARNATION_HEADER) != candidate.incarnation:
        raise NodeStoppedError
    header = SEEN_HEADER if method == "GET" else RESOLUTION_HEADER
    try:
        resolution = attempts.Resolution(find(head.headers, header))
        sent_bytes = int(find(head.headers, SENT_BYTES_HEADER, "0"))
    except ValueError:
        return None
    answer = None
    if resolution is attempts.Resolution.ANSWER and method == "POST":
        answer = await _read_retained_answer(connection, head)
    return AttemptStatus(resolution, sent_bytes, answer)


async def _read_retained_answer(
    connection: http1.ClientConnection, head: http1.ResponseHead
) -> outcome.Answer:
    body = b""
    while (
        chunk := await connection.receive_chunk(QUERY_TIMEOUT_S)
    ) is not None:
        body += chunk
    dropped = (RESOLUTION_HEADER, SENT_BYTES_HEADER, calls.INCARNATION_HEADER)
    head.headers = [item for item in head.headers if item[0] not in dropped]
    return outcome.make_answer(head, body)
