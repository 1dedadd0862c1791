"""Announcements of the local target, and the protocol to send it attempts.

This module defines the protocol between node and target. A target posts its
announcement to the node's local port every second and serves requests over
HTTP/1.1. It repeats x-waxwing-attempt in all responses, unless its announcement
says that it can't; a response without it could belong to another request and
is dropped. A target that refuses a request before running it responds with 503
and "x-target-not-run: true".

Responses also carry what the target states about itself: the highest rate of
requests that it takes ("x-target-max-rate: 3.5", in requests per second from
all nodes together), and that it is about to leave ("x-target-leaving: true").
A rate holds until a response of the same target omits it; a leave holds until
the next start of the target.
"""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import functools
import re
import sys
import time
from typing import Annotated
from typing import Literal

import anyio
import msgspec
import structlog

from waxwingferry.connection import http1
from waxwingferry.connection import pool
from waxwingferry.request import calls
from waxwingferry.request import outcome

NOT_RUN_HEADER = "x-target-not-run"
MAX_RATE_HEADER = "x-target-max-rate"
LEAVING_HEADER = "x-target-leaving"

# Limits on what a faulty target may send. Without them, a target that sends
# without end would keep its node busy until the deadline, or until the caller
# leaves.
MAX_INTERIM_RESPONSES = 100
MAX_SKIPPED_BYTES = 1024 * 1024
# Counted for the head of each skipped response.
SKIPPED_HEAD_BYTES = 1024
MAX_UNDECLARED_BODY_BYTES = 64 * 1024 * 1024
# Limits the delay of an attempt whose connection was lost.
END_CHECK_TIMEOUT_S = 0.2
# A new incarnation within this time after lost connections shows that the
# earlier one ended then.
RESTART_WINDOW_S = 5.0

log = structlog.get_logger()

_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")

_STARTED_MS = re.compile(r"[0-9]{1,16}")

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][\w.:-]{0,62}\Z")]
# Incarnations are sent in header fields.
Incarnation = Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.:-]{0,62}\Z")
]


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Description of a target, as posted by the target itself.

    Attributes:
        service: Service that it serves.
        version: Version of the target program.
        slots: Requests that it can run concurrently.
        host: IP address that it listens on.
        port: Port that it listens on.
        incarnation: Unique name of this run of the target program.
        state: Whether it accepts requests.
        echoes_attempts: Whether its responses repeat x-waxwing-attempt.
            Otherwise a response is matched to its request by the connection
            alone, and a target that mixes up responses is not detected.
    """

    service: Name
    version: Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    incarnation: Incarnation
    state: Literal["ready", "draining"] = "ready"
    echoes_attempts: bool = True


def format_incarnation(target_id: str, started_ms: int) -> str:
    """Returns the incarnation of a target whose ID may be reused."""
    return f"{target_id}:{started_ms}"


def split_incarnation(incarnation: str) -> tuple[str, int]:
    """Returns the target ID and start time; see format_incarnation."""
    target_id, _, started = incarnation.rpartition(":")
    return target_id, int(started) if _STARTED_MS.fullmatch(started) else 0


@dataclasses.dataclass(slots=True, frozen=True)
class Statement:
    """What a target states about itself in its responses.

    Attributes:
        max_rate_per_s: Requests per second that it takes from all nodes
            together, or None for any number.
        leaving: Whether it is about to leave.
    """

    max_rate_per_s: float | None = None
    leaving: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class TargetLoad:
    """Load that a target reports.

    Attributes:
        running: Requests that it is running.
        waiting: Requests in its own queue.
        slots: Requests that it can run concurrently; 0 if it reports no
            load.
        slowness: Current service time relative to normal.
        warmup_left_s: Remaining warm-up time, or None if not reported.
        incarnation: Incarnation of the target; empty if not reported.
        statement: What the target states besides its load, or None if it was
            not read.
        healthy: Whether the target calls itself healthy and doesn't leave.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0
    warmup_left_s: float | None = None
    incarnation: str = ""
    statement: Statement | None = None
    healthy: bool = True


def parse_rate(text: str) -> float | None:
    """Returns a decimal number of requests per second.

    Returns:
        None if the text is empty or malformed.
    """
    if _DECIMAL.fullmatch(text):
        return float(text)
    if text:
        log.debug("stated rate ignored: not a decimal number", value=text)
    return None


class TargetProtocol:
    """Headers of requests and responses between node and target.

    This class implements the project's own headers; a platform with other
    headers has a subclass.

    Attributes:
        accepts_close_delimited: Whether a response without a length counts as
            complete when its connection is closed cleanly. Otherwise it is
            not used, because truncation can't be detected.
        skips_unmatched: Whether a response with another correlation ID is late
            or duplicate, and the expected response may follow it.
        workspace_header: Field that tells the target the caller's workspace.
    """

    accepts_close_delimited = False
    skips_unmatched = False
    workspace_header = calls.WORKSPACE_HEADER

    def make_headers(
        self, attempt: calls.Attempt, announcement: Announcement
    ) -> http1.Headers:
        """Returns the request headers of an attempt."""
        return calls.attempt_headers(attempt)

    def get_correlation_id(self, attempt: calls.Attempt) -> str:
        """Returns the correlation ID that the response must repeat."""
        return attempt.attempt_id

    def find_parent_id(self, attempt: calls.Attempt) -> str:
        """Returns the ID of the request that makes a nested call, or ""."""
        return ""

    def read_correlation_id(self, head: http1.ResponseHead) -> str:
        """Returns the correlation ID of a response, or an empty string."""
        return http1.find_header(head.headers, calls.ATTEMPT_HEADER)

    def find_refusal(self, head: http1.ResponseHead) -> outcome.Reason | None:
        """Returns why the target did not run a request.

        None means that the target may have run it.
        """
        refused = http1.find_header(head.headers, NOT_RUN_HEADER) == "true"
        if head.status == 503 and refused:
            return outcome.Reason.TARGET_REFUSED
        return None

    def read_load(self, head: http1.ResponseHead) -> TargetLoad | None:
        """Returns the load that a response reports, or None."""
        return None

    def read_statement(self, head: http1.ResponseHead) -> Statement:
        """Returns what the target states about itself in a response."""
        find = http1.find_header
        return Statement(
            parse_rate(find(head.headers, MAX_RATE_HEADER)),
            find(head.headers, LEAVING_HEADER) == "true",
        )


OnEnd = Callable[[list[calls.Attempt]], set[str]]
FindRefusal = Callable[[calls.Attempt], outcome.Reason | None]


def never_refuse(attempt: calls.Attempt) -> outcome.Reason | None:
    """Default for TargetClient.find_refusal: refuses nothing."""
    return None


@dataclasses.dataclass(slots=True)
class _EndCheck:
    """A check whether the target ended when it closed a connection.

    Attributes:
        in_flight: Attempts in flight when the connection was lost.
        started_s: Monotonic time of the loss.
        done: Set when the check is over.
    """

    in_flight: list[calls.Attempt]
    started_s: float
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)


class TargetClient:
    """Sends attempts to the node's local target.

    Args:
        announcement: The target's latest announcement.
        protocol: Headers that the target uses.
        on_load: Called with each load that a response reports.
        on_statement: Called with the incarnation of the target and what it
            states in each response.
        connect: Opens a connection.
        on_end: Called once with the attempts in flight when the target ended
            without having announced it; returns the IDs of those that are
            the likely cause. Without it, ends are not checked for.
        find_refusal: Returns why an attempt must not be sent, or None. Called
            just before it is sent.
        clock: Returns the monotonic time in seconds.

    Attributes:
        in_flight: Attempts at the target, by ID.
        ended: Whether the target ended while attempts were in flight.
        end_causes: IDs of the attempts that are the likely cause of that.
    """

    def __init__(
        self,
        announcement: Announcement,
        protocol: TargetProtocol | None = None,
        on_load: Callable[[TargetLoad], None] = lambda load: None,
        on_statement: Callable[[str, Statement], None] = lambda *_: None,
        connect: pool.Connect = pool.connect_tcp,
        on_end: OnEnd | None = None,
        find_refusal: FindRefusal = never_refuse,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.announcement = announcement
        self.protocol = protocol or TargetProtocol()
        self.on_load = on_load
        self.on_statement = on_statement
        self.on_end = on_end
        self.clock = clock
        self.in_flight: dict[str, calls.Attempt] = {}
        self.ended = False
        self.end_causes: set[str] = set()
        self.find_refusal = find_refusal
        self.end_check: _EndCheck | None = None
        self.pool = pool.Pool(announcement.host, announcement.port, connect)

    @contextlib.asynccontextmanager
    async def execute(
        self, attempt: calls.Attempt
    ) -> AsyncIterator[outcome.Outcome]:
        """Sends an attempt; the body can be read inside the context."""
        try:
            connection = await self.pool.acquire(attempt.deadline.enforce)
        except TimeoutError:
            yield outcome.NotRun(outcome.Reason.DEADLINE_TOO_SHORT)
            return
        except pool.ConnectError:
            yield outcome.NotRun(outcome.Reason.CONNECTION_REFUSED)
            return
        self.in_flight[attempt.attempt_id] = attempt
        try:
            yield await self._exchange(connection, attempt)
        finally:
            self.in_flight.pop(attempt.attempt_id, None)
            await self.pool.release(connection)

    async def check_end(self) -> bool:
        """Returns whether the target has ended, after a lost connection.

        A target that still listens has only closed the connection. All
        attempts that lose their connections at once share one check.
        """
        if self.on_end is None:
            return False
        if self.ended or self._ends_as_planned():
            return self.ended
        check = self.end_check
        if check is not None and not check.done.is_set():
            await check.done.wait()
            return self.ended
        check = _EndCheck(list(self.in_flight.values()), self.clock())
        self.end_check = check
        try:
            with anyio.move_on_after(END_CHECK_TIMEOUT_S, shield=True):
                if await self._refuses_connections():
                    self._record_end(check)
        finally:
            check.done.set()
        return self.ended

    async def _refuses_connections(self) -> bool:
        try:
            stream = await self.pool.connect(self.pool.host, self.pool.port)
        except pool.ConnectError as error:
            return pool.is_refused(error)
        await stream.aclose()
        return False

    def record_successor(self) -> None:
        """Called when another incarnation listens at the target's address.

        A target that is started again at once accepts connections when the
        end of the earlier one is checked.
        """
        check = self.end_check
        if self.ended or check is None or self._ends_as_planned():
            return
        if self.clock() - check.started_s <= RESTART_WINDOW_S:
            self._record_end(check)

    def _ends_as_planned(self) -> bool:
        return self.announcement.state == "draining"

    def _record_end(self, check: _EndCheck) -> None:
        self.ended = True
        if self.on_end is not None and check.in_flight:
            self.end_causes = self.on_end(check.in_flight)

    async def _exchange(
        self, connection: http1.ClientConnection, attempt: calls.Attempt
    ) -> outcome.Outcome:
        deadline = attempt.deadline
        # The process may have been suspended since the attempt was admitted.
        if deadline.remaining_s() <= 0:
            return outcome.NotRun(outcome.Reason.DEADLINE_TOO_SHORT)
        refusal = self.find_refusal(attempt)
        if refusal is not None:
            return outcome.NotRun(refusal)
        if attempt.on_dispatch is not None and not attempt.on_dispatch():
            return outcome.NotRun(outcome.Reason.FENCED)
        connection.accepts_close_delimited = (
            self.protocol.accepts_close_delimited
        )
        try:
            await self._send(connection, attempt)
            head = await self._receive_head(connection, attempt)
        except (TimeoutError, http1.ReceiveTimeoutError):
            connection.reusable = False
            return outcome.Unknown(outcome.Reason.TIMEOUT, 504)
        except http1.HttpError as error:
            connection.reusable = False
            reason = await self._find_end_reason(attempt, error)
            return outcome.Unknown(reason or outcome.Reason.CONNECTION_LOST)
        return self._classify_response(connection, attempt, head)

    async def _send(
        self, connection: http1.ClientConnection, attempt: calls.Attempt
    ) -> None:
        send = functools.partial(
            connection.send_request,
            attempt.method,
            attempt.request_target,
            self.protocol.make_headers(attempt, self.announcement),
            attempt.body.buffered,
            attempt.body.rest,
        )
        if attempt.body.is_small():
            await send(timeout_s=max(attempt.deadline.remaining_s(), 0))
            return
        with attempt.deadline.enforce():
            await send()

    async def _find_end_reason(
        self, attempt: calls.Attempt, error: http1.HttpError
    ) -> outcome.Reason | None:
        """Returns how the target's end concerns an attempt, or None."""
        if not isinstance(error, http1.ConnectionLostError):
            return None
        if not await self.check_end():
            return None
        if attempt.attempt_id in self.end_causes:
            return outcome.Reason.ENDED_TARGET
        return outcome.Reason.TARGET_ENDED

    async def _receive_head(
        self, connection: http1.ClientConnection, attempt: calls.Attempt
    ) -> http1.ResponseHead:
        deadline = attempt.deadline
        interim_count = 0
        skipped_bytes = 0
        while True:
            head = await _receive_next_head(connection, deadline)
            if head.status < 200:
                interim_count += 1
                if interim_count > MAX_INTERIM_RESPONSES:
                    raise http1.HttpError("too many interim responses")
                continue
            response_id = self.protocol.read_correlation_id(head)
            expected_id = self.protocol.get_correlation_id(attempt)
            if not (
                self.protocol.skips_unmatched
                and response_id
                and response_id != expected_id
            ):
                return head
            # A late or duplicate response to an earlier request; the expected
            # one may follow on the same connection.
            connection.reusable = False
            while part := await connection.receive_chunk(
                deadline.remaining_s()
            ):
                skipped_bytes += len(part)
                _check_skipped_bytes(skipped_bytes)
            skipped_bytes += SKIPPED_HEAD_BYTES
            _check_skipped_bytes(skipped_bytes)
            connection.expect_another()

    def _classify_response(
        self,
        connection: http1.ClientConnection,
        attempt: calls.Attempt,
        head: http1.ResponseHead,
    ) -> outcome.Outcome:
        response_id = self.protocol.read_correlation_id(head)
        refusal = self.protocol.find_refusal(head)
        mismatched = response_id != self.protocol.get_correlation_id(attempt)
        if mismatched and (response_id or self.announcement.echoes_attempts):
            connection.reusable = False
            # A refusal without a correlation ID may be that of an earlier
            # request, written once more, unless there was none.
            if (
                response_id
                or refusal is None
                or not self.protocol.skips_unmatched
                or connection.requests_sent > 1
            ):
                return outcome.Unknown(outcome.Reason.ANSWER_MISMATCH)
        if not response_id:
            # A duplicate response could be mistaken for that to the next
            # request, so the connection is not reused.
            connection.reusable = False
        if refusal is not outcome.Reason.NO_TARGET:
            self._record_state(head)
        if (
            not head.self_delimited
            and not self.protocol.accepts_close_delimited
        ):
            # Truncation of a response without a length can't be detected.
            return outcome.Unknown(outcome.Reason.ANSWER_CUT)
        if refusal is not None:
            return outcome.NotRun(refusal)
        max_bytes = MAX_UNDECLARED_BODY_BYTES
        if http1.find_header(head.headers, "content-length"):
            max_bytes = sys.maxsize
        reader = _make_body_reader(
            connection, attempt, max_bytes, self._find_end_reason
        )
        return outcome.Answer(head, reader)

    def _record_state(self, head: http1.ResponseHead) -> None:
        """Records what the announced target reports in a response."""
        load = self.protocol.read_load(head)
        if load is not None:
            self.on_load(load)
        self.on_statement(
            self.announcement.incarnation, self.protocol.read_statement(head)
        )


async def _receive_next_head(
    connection: http1.ClientConnection, deadline: calls.Deadline
) -> http1.ResponseHead:
    """Returns the next head; follows a deadline that moves meanwhile.

    Raises:
        http1.ReceiveTimeoutError: The deadline has passed.
    """
    while True:
        timeout_s = min(deadline.remaining_s(), calls.DEADLINE_CHECK_INTERVAL_S)
        try:
            return await connection.receive_head(timeout_s)
        except http1.ReceiveTimeoutError:
            if deadline.remaining_s() <= 0:
                raise


async def _receive_next_chunk(
    connection: http1.ClientConnection, attempt: calls.Attempt
) -> bytes | None:
    """Returns the next part of a body, or None at its end.

    Raises:
        http1.ReceiveTimeoutError: None came in time, or the process must end
            the attempt.
    """
    end_s = time.monotonic() + attempt.deadline.chunk_timeout_s()
    while True:
        timeout_s = min(
            end_s - time.monotonic(), calls.DEADLINE_CHECK_INTERVAL_S
        )
        if attempt.deadline.is_cut_off() and not attempt.answer_forwarded:
            timeout_s = min(timeout_s, attempt.deadline.remaining_s())
        try:
            return await connection.receive_chunk(timeout_s)
        except http1.ReceiveTimeoutError:
            if attempt.must_end() or time.monotonic() >= end_s:
                raise


def _check_skipped_bytes(count: int) -> None:
    if count > MAX_SKIPPED_BYTES:
        raise http1.HttpError(
            f"more than {MAX_SKIPPED_BYTES} bytes of responses to other"
            " requests"
        )


def _make_body_reader(
    connection: http1.ClientConnection,
    attempt: calls.Attempt,
    max_bytes: int,
    find_end_reason: Callable[
        [calls.Attempt, http1.HttpError], Awaitable[outcome.Reason | None]
    ],
) -> Callable[[], Awaitable[bytes | None]]:
    received_bytes = 0

    async def receive_chunk() -> bytes | None:
        nonlocal received_bytes
        try:
            part = await _receive_next_chunk(connection, attempt)
        except http1.HttpError as error:
            connection.reusable = False
            reason = await find_end_reason(attempt, error)
            raise outcome.AnswerCutError(
                str(error), reason or outcome.Reason.ANSWER_CUT
            ) from error
        received_bytes += len(part or b"")
        if received_bytes > max_bytes:
            connection.reusable = False
            raise outcome.AnswerCutError(
                f"body without a length is larger than {max_bytes} bytes"
            )
        return part

    return receive_chunk
