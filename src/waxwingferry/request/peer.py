"""Handles requests of other nodes."""

import anyio
import structlog

from waxwingferry import decoding
from waxwingferry import invariants
from waxwingferry.connection import http1
from waxwingferry.process import attempts
from waxwingferry.process import target
from waxwingferry.process.choice import probe
from waxwingferry.request import answering
from waxwingferry.request import attempt_runner
from waxwingferry.request import call_context
from waxwingferry.request import calls
from waxwingferry.request import deadline_updates
from waxwingferry.request import forward
from waxwingferry.request import keys
from waxwingferry.request import outcome
from waxwingferry.request import receive
from waxwingferry.request import resolve

MAX_RESOLVE_WAIT_S = 5.0

log = structlog.get_logger()


class PeerHandler:
    """Runs attempts for other nodes, and reports the state of earlier ones.

    Args:
        receiver: Admission to the node's local target.
        runner: Runs attempts at the node's local target.
    """

    def __init__(
        self,
        receiver: receive.Receiver,
        runner: attempt_runner.AttemptRunner,
    ):
        self.receiver = receiver
        self.runner = runner
        self.records = runner.records

    async def handle(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Handles one request of another node.

        If a request body fails after its first part was forwarded, the
        connection is closed without an answer: the other node has abandoned
        the call.
        """
        # Attempts may have any path; only they carry an attempt identifier.
        if not http1.find_header(head.headers, calls.ATTEMPT_HEADER):
            await self._handle_node_request(connection, head)
            return
        attempt = await _make_attempt(connection, head)
        self._remove_workspace_fields(attempt)
        try:
            async with self.runner.execute(attempt) as result:
                await self._send_result(connection, attempt, result)
        except calls.BodyError as error:
            raise http1.ConnectionLostError("body was cut short") from error
        if not connection.answer_started:
            # The attempt was fenced while it was queued: its entry node has
            # requested this over another connection and abandoned this one.
            connection.keep_alive = False

    def _remove_workspace_fields(self, attempt: calls.Attempt) -> None:
        """Removes what the caller sent if the entry node may not have done it.

        An entry node may still have a document without workspaces.
        """
        revision = self.receiver.revision()
        if revision is None or not revision.workspaces:
            return
        protocol = self.receiver.target_protocol or target.TargetProtocol()
        attempt.headers = keys.remove_fields(
            attempt.headers, protocol.workspace_header
        )

    async def _send_result(
        self,
        connection: http1.ServerConnection,
        attempt: calls.Attempt,
        result: outcome.Outcome,
    ) -> None:
        extra = self._node_headers()
        extra.append((calls.LOAD_HEADER, self.receiver.format_load()))
        if not isinstance(result, outcome.Answer):
            extra.append((calls.ATTEMPT_HEADER, attempt.attempt_id))
            await answering.send_refusal(connection, result, extra)
            return
        record = self.records.records.get(attempt.attempt_id)
        if record is None:
            raise invariants.BrokenInvariantError("attempt_record")
        counting = _CountingConnection(connection, record)
        cut = await answering.relay_answer(
            counting,  # type: ignore[arg-type]
            result,
            attempt.attempt_id,
            extra,
        )
        if cut is not None:
            await self._send_result(connection, attempt, cut)

    def _node_headers(self) -> http1.Headers:
        return [
            (calls.INCARNATION_HEADER, self.receiver.incarnation),
            (calls.NODE_TIME_HEADER, str(self.records.now_ms())),
        ]

    async def _handle_node_request(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Handles a request that concerns this node itself."""
        body = await answering.read_body(connection)
        extra = self._node_headers()
        if head.target == probe.PROBE_PATH:
            answer = probe.encode_load(self.receiver.format_load())
            await connection.send_head(200, extra, answer)
            return
        if head.target == forward.NODE_TIME_PATH:
            await connection.send_head(200, extra, b"")
            return
        if head.target == deadline_updates.PATH:
            await self._move_deadlines(connection, body)
            return
        if not head.target.startswith(resolve.ATTEMPTS_PATH):
            await connection.send_head(404, extra, b"")
            return
        attempt_id = head.target.removeprefix(resolve.ATTEMPTS_PATH)
        is_resolve = head.method == "POST" and attempt_id.endswith("/resolve")
        attempt_id = attempt_id.removesuffix("/resolve")
        node_time_ms = _parse_node_time(head)
        if not is_resolve:
            resolution = self.records.get_resolution(attempt_id, node_time_ms)
        else:
            await self._wait_for_end(attempt_id, head)
            resolution = self.records.resolve(attempt_id, node_time_ms)
        await self._send_resolution(
            connection, attempt_id, resolution, is_resolve
        )

    async def _move_deadlines(
        self, connection: http1.ServerConnection, body: calls.Body
    ) -> None:
        """Handles the news that deadlines of another node's calls moved."""
        if body.rest is not None:
            await connection.send_head(413, self._node_headers(), b"")
            return
        try:
            reply = deadline_updates.receive(self.records, body.buffered)
        except decoding.DecodingError as error:
            log.warning("malformed deadlines", error=str(error))
            await connection.send_head(400, self._node_headers(), b"")
            return
        await connection.send_head(200, self._node_headers(), reply)

    async def _wait_for_end(
        self, attempt_id: str, head: http1.RequestHead
    ) -> None:
        """Waits for a running attempt to end, up to the requested time."""
        text = http1.find_header(head.headers, resolve.WAIT_HEADER)
        wait_s = (decoding.parse_count(text) or 0) / 1000
        record = self.records.records.get(attempt_id)
        if record is None or record.state is not attempts.State.RUNNING:
            return
        with anyio.move_on_after(min(wait_s, MAX_RESOLVE_WAIT_S)):
            await record.ended.wait()

    async def _send_resolution(
        self,
        connection: http1.ServerConnection,
        attempt_id: str,
        resolution: attempts.Resolution,
        is_resolve: bool,
    ) -> None:
        record = self.records.records.get(attempt_id)
        sent_bytes = record.sent_bytes if record is not None else 0
        field = resolve.RESOLUTION_HEADER if is_resolve else resolve.SEEN_HEADER
        headers = self._node_headers() + [
            (calls.ATTEMPT_HEADER, attempt_id),
            (field, resolution.value),
            (resolve.SENT_BYTES_HEADER, str(sent_bytes)),
        ]
        if resolution is not attempts.Resolution.ANSWER or not is_resolve:
            await connection.send_head(200, headers, b"")
            return
        assert record is not None
        assert record.answer is not None
        dropped = [name for name, _ in headers]
        headers += [i for i in record.answer.headers if i[0] not in dropped]
        await connection.send_head(
            record.answer.status, headers, record.answer.body
        )


class _CountingConnection:
    """Counts the bytes of an answer's body that have been sent to a node."""

    def __init__(
        self, connection: http1.ServerConnection, record: attempts.Record
    ):
        self.connection = connection
        self.record = record

    def is_head_request(self) -> bool:
        return self.connection.is_head_request()

    def supports_chunked(self) -> bool:
        return self.connection.supports_chunked()

    async def send_head(
        self, status: int, headers: http1.Headers, body: bytes | None = None
    ) -> None:
        await self.connection.send_head(status, headers, body)
        if not self.connection.is_head_request():
            self.record.sent_bytes += len(body or b"")

    async def send_chunk(self, chunk: bytes) -> None:
        await self.connection.send_chunk(chunk)
        self.record.sent_bytes += len(chunk)

    async def send_end(self) -> None:
        await self.connection.send_end()


def _parse_node_time(head: http1.RequestHead) -> int:
    """Returns the time of this node that the request is based on, or -1."""
    text = http1.find_header(head.headers, calls.NODE_TIME_HEADER)
    node_time_ms = decoding.parse_count(text)
    return -1 if node_time_ms is None else node_time_ms


async def _make_attempt(
    connection: http1.ServerConnection, head: http1.RequestHead
) -> calls.Attempt:
    find = http1.find_header
    context = call_context.parse_context(head.headers)
    if context.deadline_ms is None:
        raise http1.HttpError(f"{calls.DEADLINE_HEADER} is missing")
    if not 1 <= context.depth <= calls.MAX_DEPTH:
        raise http1.HttpError(
            f"{calls.DEPTH_HEADER} = {context.depth}: "
            f"must be from 1 to {calls.MAX_DEPTH}"
        )
    # Set before the body is read, so that this time counts as well.
    deadline = calls.make_deadline(context.deadline_ms / 1000)
    return calls.Attempt(
        attempt_id=find(head.headers, calls.ATTEMPT_HEADER),
        service=find(head.headers, calls.SERVICE_HEADER),
        method=head.method,
        request_target=head.target,
        headers=head.headers,
        body=await answering.read_body(connection),
        deadline=deadline,
        member=find(head.headers, calls.MEMBER_HEADER),
        depth=context.depth,
        incarnation=find(head.headers, calls.INCARNATION_HEADER),
        is_retry=context.is_retry,
        keyed=find(head.headers, calls.KEEP_HEADER) == "1",
        node_time_ms=_parse_node_time(head),
        reroutable=find(head.headers, calls.REROUTABLE_HEADER) == "1",
        target_incarnation=find(head.headers, calls.TARGET_HEADER),
        urgency=calls.parse_urgency(find(head.headers, calls.URGENCY_HEADER)),
        workspace=find(head.headers, calls.WORKSPACE_HEADER),
    )
