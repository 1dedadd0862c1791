"""Requests of other nodes to this node's peer listener."""

from collections.abc import Callable

from waxwingferry.connection import http1
from waxwingferry.request import call
from waxwingferry.request import entry
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
        """Answers one request of another node.

        A body that fails after its start was sent on ends the connection
        without an answer: the other node has given up the call.
        """
        attempt = await _make_attempt(connection, head)
        try:
            await self._run(connection, attempt)
        except call.BodyError as error:
            raise http1.ConnectionLostError("body was cut short") from error

    async def _run(
        self, connection: http1.ServerConnection, attempt: call.Attempt
    ) -> None:
        async with self.receiver.execute(attempt) as result:
            extra = [(call.LOAD_HEADER, self.receiver.load())]
            refusal: outcome.NotRun | outcome.Unknown | None
            if isinstance(result, outcome.Answer):
                refusal = await entry.relay_answer(
                    connection, result, attempt.attempt_id, extra
                )
            else:
                refusal = result
            if refusal is not None:
                extra.append((call.ATTEMPT_HEADER, attempt.attempt_id))
                await entry.send_refusal(connection, refusal, extra)


async def _make_attempt(
    connection: http1.ServerConnection, head: http1.RequestHead
) -> call.Attempt:
    find = http1.find_header
    try:
        depth = int(find(head.headers, call.DEPTH_HEADER))
        deadline_ms = int(find(head.headers, call.DEADLINE_HEADER))
    except ValueError as error:
        raise http1.HttpError("depth and deadline must be integers") from error
    # The time that the body takes counts as well.
    deadline = call.make_deadline(deadline_ms / 1000)
    return call.Attempt(
        attempt_id=find(head.headers, call.ATTEMPT_HEADER),
        service=find(head.headers, call.SERVICE_HEADER),
        method=head.method,
        target=head.target,
        headers=head.headers,
        body=await entry.read_body(connection),
        deadline=deadline,
        member=find(head.headers, call.MEMBER_HEADER),
        depth=depth,
        incarnation=find(head.headers, call.INCARNATION_HEADER),
        is_retry=find(head.headers, call.RETRY_HEADER) == "1",
    )
