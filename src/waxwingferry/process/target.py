"""The node's own target: its announcements, and sending attempts to it.

This module is the only place that knows how targets are spoken to. A target
posts its announcement to the node's local port every second, and serves
requests over HTTP/1.1. It echoes x-waxwing-attempt in all answers, unless its
announcement says that it can't; one without it could belong to another request
and is dropped. It answers 503 with "x-target-not-run: true" when it refuses
before starting.
"""

from collections.abc import AsyncIterator
import contextlib
from typing import Annotated
from typing import Literal

import pydantic

from waxwingferry.connection import http1
from waxwingferry.connection import pool
from waxwingferry.request import call
from waxwingferry.request import outcome

NOT_RUN_HEADER = "x-target-not-run"

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9_.-]{0,62}$")]


class Announcement(pydantic.BaseModel):
    """What a target says of itself.

    Attributes:
        service: Service that it serves.
        version: Version of the program.
        slots: Requests that it can work on at a time.
        host: IP number that it listens on.
        port: Port that it listens on.
        incarnation: Random name of this start of the program.
        state: Whether it takes work.
        echoes_attempts: Whether its answers repeat x-waxwing-attempt. Without
            that, an answer is tied to its request by its connection alone,
            and a target that mixes up answers is not found out.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    service: Name
    version: Name
    slots: Annotated[int, pydantic.Field(ge=1, le=10_000)]
    host: str
    port: Annotated[int, pydantic.Field(ge=1, le=65535)]
    incarnation: Name
    state: Literal["ready", "draining"] = "ready"
    echoes_attempts: bool = True


class TargetLink:
    """Sends attempts to the node's own target.

    Args:
        announcement: The target's newest announcement.
        connect: Opens a connection.
    """

    def __init__(
        self,
        announcement: Announcement,
        connect: pool.Connect = pool.connect_tcp,
    ):
        self.announcement = announcement
        self.pool = pool.Pool(announcement.host, announcement.port, connect)

    @contextlib.asynccontextmanager
    async def execute(
        self, attempt: call.Attempt
    ) -> AsyncIterator[outcome.Outcome]:
        """Runs one attempt; the answer can be read inside the context."""
        try:
            connection = await self.pool.acquire()
        except pool.ConnectError:
            yield outcome.NotRun(outcome.Reason.CONNECTION_REFUSED)
            return
        try:
            yield await self._exchange(connection, attempt)
        finally:
            await self.pool.release(connection)

    async def _exchange(
        self, connection: http1.ClientConnection, attempt: call.Attempt
    ) -> outcome.Outcome:
        deadline = attempt.deadline
        # The process may have been stopped since the attempt was admitted.
        if deadline.remaining_s() <= 0:
            return outcome.NotRun(outcome.Reason.DEADLINE_TOO_SHORT)
        if attempt.on_dispatch is not None and not attempt.on_dispatch():
            return outcome.NotRun(outcome.Reason.FENCED)
        try:
            await connection.send_request(
                attempt.method,
                attempt.target,
                call.hop_headers(attempt),
                attempt.body.buffered,
                attempt.body.rest,
                max(deadline.remaining_s(), 0),
            )
            head = await connection.receive_head(deadline.remaining_s())
            while head.status < 200:
                head = await connection.receive_head(deadline.remaining_s())
        except (TimeoutError, http1.ReceiveTimeoutError):
            connection.reusable = False
            return outcome.Unknown(outcome.Reason.TIMEOUT, 504)
        except http1.HttpError:
            connection.reusable = False
            return outcome.Unknown(outcome.Reason.CONNECTION_LOST)
        echoes = self.announcement.echoes_attempts
        return _classify(connection, attempt, head, echoes)


def _classify(
    connection: http1.ClientConnection,
    attempt: call.Attempt,
    head: http1.ResponseHead,
    echoes: bool,
) -> outcome.Outcome:
    echoed = http1.find_header(head.headers, call.ATTEMPT_HEADER)
    if (echoes or echoed) and echoed != attempt.attempt_id:
        connection.reusable = False
        return outcome.Unknown(outcome.Reason.ANSWER_MISMATCH)
    if not echoed:
        # A second answer could be taken for that of the next request.
        connection.reusable = False
    if not head.framed:
        # Without a length a cut answer can't be told from a whole one.
        return outcome.Unknown(outcome.Reason.ANSWER_CUT)
    refused = http1.find_header(head.headers, NOT_RUN_HEADER) == "true"
    if head.status == 503 and refused:
        return outcome.NotRun(outcome.Reason.TARGET_REFUSED)

    async def receive_chunk() -> bytes | None:
        wait_s = attempt.deadline.part_wait_s()
        try:
            return await connection.receive_chunk(wait_s)
        except http1.HttpError as error:
            connection.reusable = False
            raise outcome.AnswerCutError(str(error)) from error

    return outcome.Answer(head, receive_chunk)
