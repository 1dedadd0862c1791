"""Requests of other nodes to this node's peer listener."""

from collections.abc import Callable

from waxwingferry.connection import http1
from waxwingferry.process import probe
from waxwingferry.request import call
from waxwingferry.request import entry
from waxwingferry.request import hop
from waxwingferry.request import outcome
from waxwingferry.request import receive
from waxwingferry.version import document


class PeerHandler:
    """Runs the attempts that other nodes send.

    Args:
        receiver: Runs attempts at the node's own target.
        revision: Returns the newest document known, or None.
    """

    def __init__(
        self,
        receiver: receive.Receiver,
        revision: Callable[[], document.Revision | None],
    ):
        self.receiver = receiver
        self.revision = revision

    async def handle(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Answers one request of another node."""
        if head.target == probe.PROBE_TARGET:
            answer = probe.make_answer(self.receiver.load())
            await connection.send_head(200, [], answer)
            return
        attempt = await _make_attempt(connection, head)
        async with self.receiver.execute(attempt) as result:
            extra = [(call.LOAD_HEADER, self.receiver.load())]
            match result:
                case outcome.Answer():
                    await entry.relay_answer(
                        connection, result, attempt.attempt_id, extra
                    )
                case outcome.NotRun() | outcome.Unknown():
                    extra.append((call.ATTEMPT_HEADER, attempt.attempt_id))
                    await entry.send_refusal(connection, result, extra)


async def _make_attempt(
    connection: http1.ServerConnection, head: http1.RequestHead
) -> call.Attempt:
    find = http1.find_header
    place = hop.parse_hop(head.headers)
    if place.deadline_ms is None:
        raise http1.HttpError(f"{call.DEADLINE_HEADER} is missing")
    if not 1 <= place.depth <= call.MAX_DEPTH:
        raise http1.HttpError(
            f"{call.DEPTH_HEADER} = {place.depth}: "
            f"must be from 1 to {call.MAX_DEPTH}"
        )
    # Time spent on reading the body counts too.
    deadline = call.make_deadline(place.deadline_ms / 1000)
    return call.Attempt(
        attempt_id=find(head.headers, call.ATTEMPT_HEADER),
        service=find(head.headers, call.SERVICE_HEADER),
        method=head.method,
        target=head.target,
        headers=head.headers,
        body=await entry.read_body(connection),
        deadline=deadline,
        member=find(head.headers, call.MEMBER_HEADER),
        depth=place.depth,
        incarnation=find(head.headers, call.INCARNATION_HEADER),
        is_retry=place.is_retry,
    )
