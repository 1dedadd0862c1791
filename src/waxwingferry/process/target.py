"""The node's own target: its announcements, and sending attempts to it.

This module is the only place that knows how targets are spoken to. A target
posts its announcement to the node's local port every second, and serves
requests over HTTP/1.1. It echoes x-waxwing-attempt in all answers, unless its
announcement says that it can't; one without it could belong to another request
and is dropped. It answers 503 with "x-target-not-run: true" when it refuses
before starting.
"""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
from typing import Annotated
from typing import Literal

import msgspec

from waxwingferry.connection import http1
from waxwingferry.connection import pool
from waxwingferry.request import call as calls
from waxwingferry.request import outcome

NOT_RUN_HEADER = "x-target-not-run"

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][\w.:-]{0,62}\Z")]


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a target says of itself.

    Attributes:
        service: Service that it serves.
        version: Version of the program.
        slots: Requests that it can work on at a time.
        host: IP number that it listens on.
        port: Port that it listens on.
        incarnation: Name of this run of the target program.
        state: Whether it takes work.
        echoes_attempts: Whether its answers repeat x-waxwing-attempt. Without
            that, an answer is tied to its request by its connection alone,
            and a target that mixes up answers is not found out.
    """

    service: Name
    version: Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    incarnation: Name
    state: Literal["ready", "draining"] = "ready"
    echoes_attempts: bool = True


def format_incarnation(target_id: str, started_ms: int) -> str:
    """Names an incarnation of a target whose id may be reused."""
    return f"{target_id}:{started_ms}"


def split_incarnation(incarnation: str) -> tuple[str, int]:
    """Returns target id and start time; see format_incarnation."""
    target_id, _, started = incarnation.rpartition(":")
    return target_id, int(started) if started.isdigit() else 0


@dataclasses.dataclass(slots=True, frozen=True)
class TargetLoad:
    """What a target says of its load.

    Attributes:
        running: Requests that it works on.
        waiting: Requests that wait in its own queue.
        slots: Requests that it can work on at a time; 0 if it states no
            load.
        slowness: How long work takes there now, relative to normal.
        warmup_left_s: Remaining warm-up time, or None if not reported.
        incarnation: Incarnation of the target, or empty if not reported.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0
    warmup_left_s: float | None = None
    incarnation: str = ""


class TargetDialect:
    """How a target is spoken to: the project's own fields.

    A platform with other fields has a dialect of its own.

    Attributes:
        takes_unframed: Whether an answer without a length is whole when its
            connection ends in order. Otherwise such an answer is not used,
            because a cut one can't be told from a whole one.
        skips_strays: Whether an answer with another identity is a stray one
            that precedes the answer waited for.
    """

    takes_unframed = False
    skips_strays = False

    def make_headers(
        self, attempt: calls.Attempt, announcement: Announcement
    ) -> http1.Headers:
        """Returns the fields of an attempt as the target gets them."""
        return calls.attempt_headers(attempt)

    def find_identity(self, attempt: calls.Attempt) -> str:
        """Returns what the answer to an attempt repeats."""
        return attempt.attempt_id

    def find_echo(self, head: http1.ResponseHead) -> str:
        """Returns the identity that an answer repeats, or an empty text."""
        return http1.find_header(head.headers, calls.ATTEMPT_HEADER)

    def find_refusal(self, head: http1.ResponseHead) -> outcome.Reason | None:
        """Returns why the target did not run a request, or None if it may."""
        refused = http1.find_header(head.headers, NOT_RUN_HEADER) == "true"
        if head.status == 503 and refused:
            return outcome.Reason.TARGET_REFUSED
        return None

    def read_load(self, head: http1.ResponseHead) -> TargetLoad | None:
        """Returns the load that an answer reports, or None."""
        return None


class TargetLink:
    """Sends attempts to the node's own target.

    Args:
        announcement: The target's newest announcement.
        protocol: How it is spoken to.
        on_load: Called with each load that an answer reports.
        connect: Opens a connection.
    """

    def __init__(
        self,
        announcement: Announcement,
        protocol: TargetDialect | None = None,
        on_load: Callable[[TargetLoad], None] = lambda load: None,
        connect: pool.Connect = pool.connect_tcp,
    ):
        self.announcement = announcement
        self.protocol = protocol or TargetDialect()
        self.on_load = on_load
        self.pool = pool.Pool(announcement.host, announcement.port, connect)

    @contextlib.asynccontextmanager
    async def execute(
        self, attempt: calls.Attempt
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
        self, connection: http1.ClientConnection, attempt: calls.Attempt
    ) -> outcome.Outcome:
        deadline = attempt.deadline
        # The process may have been stopped since the attempt was admitted.
        if deadline.remaining_s() <= 0:
            return outcome.NotRun(outcome.Reason.DEADLINE_TOO_SHORT)
        if attempt.on_dispatch is not None and not attempt.on_dispatch():
            return outcome.NotRun(outcome.Reason.FENCED)
        connection.takes_unframed = self.protocol.takes_unframed
        try:
            await connection.send_request(
                attempt.method,
                attempt.request_target,
                self.protocol.make_headers(attempt, self.announcement),
                attempt.body.buffered,
                attempt.body.rest,
                max(deadline.remaining_s(), 0),
            )
            head = await self._receive_head(connection, attempt)
        except (TimeoutError, http1.ReceiveTimeoutError):
            connection.reusable = False
            return outcome.Unknown(outcome.Reason.TIMEOUT, 504)
        except http1.HttpError:
            connection.reusable = False
            return outcome.Unknown(outcome.Reason.CONNECTION_LOST)
        return self._classify_response(connection, attempt, head)

    async def _receive_head(
        self, connection: http1.ClientConnection, attempt: calls.Attempt
    ) -> http1.ResponseHead:
        deadline = attempt.deadline
        while True:
            head = await connection.receive_head(deadline.remaining_s())
            if head.status < 200:
                continue
            response_id = self.protocol.find_echo(head)
            expected_id = self.protocol.find_identity(attempt)
            if not (
                self.protocol.skips_strays
                and response_id
                and response_id != expected_id
            ):
                return head
            # A late or doubled answer of an earlier request; that of this
            # one may follow on the same connection.
            connection.reusable = False
            while await connection.receive_chunk(deadline.remaining_s()):
                pass
            connection.expect_another()

    def _classify_response(
        self,
        connection: http1.ClientConnection,
        attempt: calls.Attempt,
        head: http1.ResponseHead,
    ) -> outcome.Outcome:
        response_id = self.protocol.find_echo(head)
        refusal = self.protocol.find_refusal(head)
        mismatched = response_id != self.protocol.find_identity(attempt)
        if mismatched and (response_id or self.announcement.echoes_attempts):
            connection.reusable = False
            # A refusal that names no request is about the connection's only
            # one, unless strays precede it.
            if response_id or refusal is None or not self.protocol.skips_strays:
                return outcome.Unknown(outcome.Reason.ANSWER_MISMATCH)
        if not response_id:
            # A second answer could be taken for that of the next request.
            connection.reusable = False
        load = self.protocol.read_load(head)
        if load is not None:
            self.on_load(load)
        if not head.framed and not self.protocol.takes_unframed:
            # Without a length a cut answer can't be told from a whole one.
            return outcome.Unknown(outcome.Reason.ANSWER_CUT)
        if refusal is not None:
            return outcome.NotRun(refusal)
        return outcome.Answer(head, _make_body_reader(connection, attempt))


def _make_body_reader(
    connection: http1.ClientConnection, attempt: calls.Attempt
) -> Callable[[], Awaitable[bytes | None]]:
    async def receive_chunk() -> bytes | None:
        wait_s = attempt.deadline.chunk_timeout_s()
        try:
            return await connection.receive_chunk(wait_s)
        except http1.HttpError as error:
            connection.reusable = False
            raise outcome.AnswerCutError(str(error)) from error

    return receive_chunk
