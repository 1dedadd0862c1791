"""Sends attempts to the nodes of other targets."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import functools
import time

import anyio

from waxwingferry import decoding
from waxwingferry import invariants
from waxwingferry.connection import http1
from waxwingferry.connection import pool
from waxwingferry.process import attempts
from waxwingferry.process import metrics
from waxwingferry.process.choice import known_target
from waxwingferry.process.choice import routing
from waxwingferry.request import calls
from waxwingferry.request import deadline_updates
from waxwingferry.request import outcome
from waxwingferry.request import resolve
from waxwingferry.request import silence

# Older clock readings are renewed by a round trip before an attempt. Nodes
# accept readings of up to attempts.RETENTION_S.
NODE_TIME_REFRESH_S = 20.0
NODE_TIME_PATH = "/_peer/time"


@dataclasses.dataclass(slots=True, frozen=True)
class NodeTime:
    """A clock reading of a node process.

    Attributes:
        incarnation: Incarnation of the node process.
        value_ms: The reading.
        received_s: Local monotonic time at which it was received.
    """

    incarnation: str
    value_ms: int
    received_s: float


class Forwarder:
    """Sends attempts to other nodes over pooled connections.

    Args:
        counters: Metrics of the node.
        connect: Opens a connection.
    """

    def __init__(
        self,
        counters: metrics.Metrics,
        connect: pool.Connect = pool.connect_tcp,
    ):
        self.counters = counters
        self.connect = connect
        self.resolver = resolve.Resolver(connect, counters)
        self.deadline_updates = deadline_updates.DeadlineUpdates(connect)
        self.pools: dict[tuple[str, int], pool.Pool] = {}
        self.node_times: dict[tuple[str, int], NodeTime] = {}

    def _pool(self, candidate: known_target.Candidate) -> pool.Pool:
        address = (candidate.host, candidate.peer_port)
        if address not in self.pools:
            self.pools[address] = pool.Pool(*address, self.connect)
        return self.pools[address]

    @contextlib.asynccontextmanager
    async def execute(
        self, candidate: known_target.Candidate, attempt: calls.Attempt
    ) -> AsyncIterator[outcome.Outcome]:
        """Runs an attempt at another node.

        The answer must be read inside the context.
        """
        peer_pool = self._pool(candidate)
        try:
            connection = await peer_pool.acquire(attempt.deadline.enforce)
        except TimeoutError:
            yield outcome.NotRun(outcome.Reason.DEADLINE_TOO_SHORT)
            return
        except pool.ConnectError:
            yield outcome.NotRun(outcome.Reason.CONNECTION_REFUSED)
            return
        try:
            self.deadline_updates.add(candidate, attempt)
            try:
                result = await self._run(connection, candidate, attempt)
            finally:
                self.deadline_updates.remove(candidate, attempt)
            if isinstance(result, _AnswerLost):
                await self._discard_connection(connection, peer_pool, result)
                result = await self.resolver.resolve(
                    candidate, attempt, result.unknown
                )
            yield result
        finally:
            await peer_pool.release(connection)

    async def _discard_connection(
        self,
        connection: http1.ClientConnection,
        peer_pool: pool.Pool,
        lost: "_AnswerLost",
    ) -> None:
        reason = lost.unknown.reason
        self.counters.events.inc({"event": reason.value})
        with anyio.CancelScope(shield=True):
            await connection.close()
            if reason is outcome.Reason.CONNECTION_SILENT:
                # Idle connections to the same node are probably dead as well;
                # opening a new one takes about 1 ms.
                await peer_pool.close()

    async def _run(
        self,
        connection: http1.ClientConnection,
        candidate: known_target.Candidate,
        attempt: calls.Attempt,
    ) -> "outcome.Outcome | _AnswerLost":
        refusal = await self._set_node_time(connection, candidate, attempt)
        if refusal is not None:
            return refusal
        # The process may have been suspended since the call was claimed.
        if attempt.deadline.remaining_s() <= 0:
            return outcome.NotRun(outcome.Reason.DEADLINE_TOO_SHORT)
        invariants.require_promise(not attempt.sent, "attempt_sent_once")
        attempt.sent = True
        head = await self._exchange(connection, candidate, attempt)
        if isinstance(head, _AnswerLost):
            return head
        result = self._classify(connection, candidate, attempt, head)
        if isinstance(result, outcome.Answer) and attempt.keyed:
            return await _buffer_answer(result, attempt)
        if isinstance(result, outcome.NotRun | outcome.Unknown):
            await _skip_body(connection, attempt.deadline)
        return result

    async def _set_node_time(
        self,
        connection: http1.ClientConnection,
        candidate: known_target.Candidate,
        attempt: calls.Attempt,
    ) -> outcome.NotRun | None:
        """Sets the clock reading of the node that an attempt is sent to."""
        address = (candidate.host, candidate.peer_port)
        node_time = self.node_times.get(address)
        oldest_s = time.monotonic() - NODE_TIME_REFRESH_S
        if (
            node_time is None
            or node_time.incarnation != candidate.incarnation
            or node_time.received_s < oldest_s
        ):
            try:
                node_time = await self._fetch_node_time(
                    connection, candidate, attempt
                )
            except http1.HttpError:
                # Nothing of the attempt has been sent yet.
                connection.reusable = False
                return outcome.NotRun(outcome.Reason.CONNECTION_LOST)
        if node_time.incarnation != candidate.incarnation:
            return outcome.NotRun(outcome.Reason.WRONG_INCARNATION)
        attempt.node_time_ms = node_time.value_ms
        return None

    async def _fetch_node_time(
        self,
        connection: http1.ClientConnection,
        candidate: known_target.Candidate,
        attempt: calls.Attempt,
    ) -> NodeTime:
        await connection.send_request("GET", NODE_TIME_PATH, [])
        remaining_s = max(attempt.deadline.remaining_s(), 0)
        timeout_s = min(remaining_s, resolve.QUERY_TIMEOUT_S)
        head = await connection.receive_head(timeout_s)
        await _skip_body(connection, attempt.deadline)
        node_time = self._store_node_time(candidate, head)
        if node_time is None:
            raise http1.HttpError("response of a node has no clock reading")
        return node_time

    def _store_node_time(
        self, candidate: known_target.Candidate, head: http1.ResponseHead
    ) -> NodeTime | None:
        value = http1.find_header(head.headers, calls.NODE_TIME_HEADER)
        name = http1.find_header(head.headers, calls.INCARNATION_HEADER)
        node_time_ms = decoding.parse_count(value)
        if node_time_ms is None:
            return None
        node_time = NodeTime(name, node_time_ms, time.monotonic())
        self.node_times[(candidate.host, candidate.peer_port)] = node_time
        return node_time

    async def _exchange(
        self,
        connection: http1.ClientConnection,
        candidate: known_target.Candidate,
        attempt: calls.Attempt,
    ) -> "http1.ResponseHead | _AnswerLost":
        monitor = silence.SilenceMonitor(
            connection, candidate, attempt, self.resolver
        )
        try:
            return await send_and_receive(connection, attempt, monitor)
        except (TimeoutError, http1.ReceiveTimeoutError):
            reason = outcome.Reason.TIMEOUT
            if monitor.node_silent:
                reason = outcome.Reason.NODE_SILENT
            return _AnswerLost(outcome.Unknown(reason, 504))
        except silence.ConnectionSilentError:
            return _AnswerLost(
                outcome.Unknown(outcome.Reason.CONNECTION_SILENT)
            )
        except http1.HttpError:
            return _AnswerLost(outcome.Unknown(outcome.Reason.CONNECTION_LOST))

    def _classify(
        self,
        connection: http1.ClientConnection,
        candidate: known_target.Candidate,
        attempt: calls.Attempt,
        head: http1.ResponseHead,
    ) -> "outcome.Outcome | _AnswerLost":
        echoed = http1.find_header(head.headers, calls.ATTEMPT_HEADER)
        if echoed != attempt.attempt_id or resolve.is_status(head):
            # A late, duplicated or misdirected answer; that of this attempt
            # may still arrive or be retained by the node.
            return _AnswerLost(outcome.Unknown(outcome.Reason.ANSWER_MISMATCH))
        self._store_node_time(candidate, head)
        text = http1.find_header(head.headers, calls.LOAD_HEADER)
        load = routing.parse_load(text, anyio.current_time())
        if load is not None:
            candidate.load = load
        refusal = outcome.parse_refusal(head)
        if refusal is not None:
            return refusal
        monitor = silence.SilenceMonitor(
            connection, candidate, attempt, self.resolver
        )
        return outcome.Answer(head, self._make_body_reader(connection, monitor))

    def _make_body_reader(
        self,
        connection: http1.ClientConnection,
        monitor: silence.SilenceMonitor,
    ) -> Callable:
        async def receive_chunk() -> bytes | None:
            try:
                return await monitor.receive_chunk()
            except http1.HttpError as error:
                connection.reusable = False
                if isinstance(error, silence.ConnectionSilentError):
                    name = outcome.Reason.CONNECTION_SILENT.value
                    self.counters.events.inc({"event": name})
                raise outcome.AnswerCutError(str(error)) from error

        return receive_chunk


@dataclasses.dataclass(slots=True, frozen=True)
class _AnswerLost:
    """An attempt whose answer was lost; its outcome is not known yet."""

    unknown: outcome.Unknown


async def send_and_receive(
    connection: http1.ClientConnection,
    attempt: calls.Attempt,
    monitor: silence.SilenceMonitor,
) -> http1.ResponseHead:
    """Sends an attempt and returns the head of the final answer."""
    send = functools.partial(
        connection.send_request,
        attempt.method,
        attempt.request_target,
        calls.attempt_headers(attempt),
        attempt.body.buffered,
        attempt.body.rest,
    )
    if attempt.body.is_small():
        # Both steps have their own timeouts, which are cheaper than a cancel
        # scope for each call.
        await send(timeout_s=max(attempt.deadline.remaining_s(), 0))
        return await monitor.receive_head()
    with attempt.deadline.enforce():
        if attempt.body.rest is None:
            await send()
        else:
            await silence.send_monitored(connection, monitor, send)
        return await monitor.receive_head()


async def _buffer_answer(
    answer: outcome.Answer, attempt: calls.Attempt
) -> "outcome.Answer | _AnswerLost":
    """Buffers the start of an answer that its node retains.

    If the answer is cut short before any of it was forwarded, it can still be
    fetched from the node as a whole.
    """
    parts: list[bytes] = []
    size = 0
    ended = False
    try:
        while size <= attempts.MAX_ANSWER_BYTES and not ended:
            chunk = await answer.receive_chunk()
            ended = chunk is None
            parts.append(chunk or b"")
            size += len(parts[-1])
    except outcome.AnswerCutError:
        return _AnswerLost(outcome.Unknown(outcome.Reason.ANSWER_CUT))
    start = b"".join(parts)
    if ended:
        return outcome.make_answer(answer.head, start)
    first = [start]

    async def receive_chunk() -> bytes | None:
        return first.pop() if first else await answer.receive_chunk()

    return outcome.Answer(answer.head, receive_chunk)


async def _skip_body(
    connection: http1.ClientConnection, deadline: calls.Deadline
) -> None:
    """Reads the short body of a refusal, so that the connection is reusable.

    The call goes on without it if it doesn't follow its head soon.
    """
    if not connection.reusable:
        return
    try:
        while await connection.receive_chunk(
            min(max(deadline.remaining_s(), 0), resolve.QUERY_TIMEOUT_S)
        ):
            pass
    except http1.HttpError:
        connection.reusable = False
