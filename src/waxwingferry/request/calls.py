"""Calls, their attempts, and the header fields that nodes exchange."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import math
import re

import anyio

from waxwingferry import boot_clock
from waxwingferry.connection import http1

ATTEMPT_HEADER = "x-waxwing-attempt"
DEADLINE_HEADER = "x-waxwing-deadline-ms"
DEPTH_HEADER = "x-waxwing-depth"
INCARNATION_HEADER = "x-waxwing-incarnation"
LOAD_HEADER = "x-waxwing-load"
MEMBER_HEADER = "x-waxwing-member"
RETRY_HEADER = "x-waxwing-retry"
# Allows the node to refuse the attempt as busy; another target is tried then.
REROUTABLE_HEADER = "x-waxwing-movable"
# Incarnation of the target that the attempt is meant for.
TARGET_HEADER = "x-waxwing-target"
SERVICE_HEADER = "x-waxwing-service"
KEY_HEADER = "idempotency-key"
# Clock reading of the target's node, obtained before the attempt was sent.
NODE_TIME_HEADER = "x-waxwing-node-time"
# "PRIORITY,MS": priority of the attempt, and milliseconds until its objective.
URGENCY_HEADER = "x-waxwing-urgency"
# Name of the workspace whose key the caller presented.
WORKSPACE_HEADER = "x-waxwing-workspace"
# Makes the target's node finish the attempt and retain the answer, even if the
# connection is lost.
KEEP_HEADER = "x-waxwing-keep"

MAX_DEPTH = 14

# Subtracted from the deadline at each hop, so that the answer still arrives in
# time: covers two passes through nodes and the network latency to another
# failure domain.
RETURN_RESERVE_S = 0.002
MAX_BUFFERED_BODY_BYTES = 65536
# A request with such a body usually fits into the send buffer of an idle
# connection, so that sending it does not wait.
SMALL_BODY_BYTES = 4096

# Fields that only nodes set; values sent by callers are removed.
INTERNAL_HEADERS = frozenset(
    {
        ATTEMPT_HEADER,
        INCARNATION_HEADER,
        KEEP_HEADER,
        LOAD_HEADER,
        REROUTABLE_HEADER,
        SERVICE_HEADER,
        NODE_TIME_HEADER,
        TARGET_HEADER,
        URGENCY_HEADER,
        WORKSPACE_HEADER,
    }
)

_URGENCY_PATTERN = re.compile(r"([0-9]{1,3}),([0-9]{1,9})")

# Timeout for the next chunk of an answer after the deadline has passed.
PROGRESS_TIMEOUT_S = 5.0
# Waits for the local target read their deadline again after this time, because
# a stop may have moved it. A cancel scope for each would cost more.
DEADLINE_CHECK_INTERVAL_S = 0.25


class BodyError(Exception):
    """A request body failed after its first part was forwarded.

    Attributes:
        status: HTTP status code for the caller.
    """

    def __init__(self, message: str, status: int):
        super().__init__(message)
        self.status = status


class Cutoff:
    """The time by which the calls of this process must end.

    It also applies to calls that are in progress when it is set or moved.

    Attributes:
        at_s: Time on the boot clock; infinite until the process stops.
        scopes: Cancel scopes of waits in progress, with their deadlines.
        moved: Set when the time has been moved, and then replaced.
    """

    def __init__(self):
        self.at_s = math.inf
        self.scopes: dict[anyio.CancelScope, Deadline] = {}
        self.moved = anyio.Event()

    def move(self, at_s: float) -> None:
        """Sets the time; waits in progress end by it."""
        self.at_s = at_s
        for deadline in self.scopes.values():
            deadline.move_scopes()
        self.moved.set()
        self.moved = anyio.Event()


@dataclasses.dataclass(slots=True)
class Deadline:
    """A point in time on the boot clock, in seconds.

    The boot clock includes the time for which the VM is suspended, during
    which callers keep waiting.

    The deadline limits the time until the head of an answer. The body may
    take longer as long as it makes progress: aborting it would lose an answer
    that the target is sending, and the duration of a long download is not
    known in advance.

    Attributes:
        at_s: The time, unless the process has to end the call earlier.
        cutoff: Limits the time, or None if another process took the call.
        scopes: Cancel scopes of waits in progress.
    """

    at_s: float
    cutoff: Cutoff | None = None
    scopes: list[anyio.CancelScope] = dataclasses.field(
        default_factory=list, compare=False, repr=False
    )

    @property
    def end_s(self) -> float:
        """The time in force. It moves with the cutoff."""
        if self.cutoff is None or self.cutoff.at_s > self.at_s:
            return self.at_s
        return self.cutoff.at_s

    def remaining_s(self) -> float:
        """Returns the time left in seconds, possibly negative."""
        return self.end_s - boot_clock.read_s()

    def is_cut_off(self) -> bool:
        """Returns whether the process has to end the call earlier."""
        return self.end_s < self.at_s

    def move(self, at_s: float) -> None:
        """Sets the time; waits in progress follow."""
        self.at_s = at_s
        self.move_scopes()

    def move_scopes(self) -> None:
        """Applies the time in force to the waits in progress."""
        for scope in self.scopes:
            scope.deadline = anyio.current_time() + self.remaining_s()

    @contextlib.contextmanager
    def enforce(self) -> Iterator[None]:
        """Limits what is done in the context, also if the deadline moves.

        Raises:
            TimeoutError: The deadline has passed.
        """
        with anyio.fail_after(max(self.remaining_s(), 0)) as scope:
            self.scopes.append(scope)
            if self.cutoff is not None:
                self.cutoff.scopes[scope] = self
            try:
                yield
            finally:
                self.scopes.remove(scope)
                if self.cutoff is not None:
                    del self.cutoff.scopes[scope]

    def chunk_timeout_s(self) -> float:
        """Returns the timeout for the next chunk of an answer's body."""
        return max(self.remaining_s(), PROGRESS_TIMEOUT_S)


def make_deadline(remaining_s: float, cutoff: Cutoff | None = None) -> Deadline:
    """Returns the deadline that lies remaining_s seconds ahead."""
    return Deadline(boot_clock.read_s() + remaining_s, cutoff)


@dataclasses.dataclass(slots=True, frozen=True)
class Urgency:
    """How a call is ordered among others that wait for a target.

    Attributes:
        objective: Time by which the call should be answered, or None if only
            its deadline counts.
        priority: Priority of the route; 0 is the highest.
    """

    objective: Deadline | None = None
    priority: int = 0


class BodyStream:
    """The part of a request body that is not buffered; it can be read once.

    A second reader would get the remaining chunks, or none, and take them for
    the whole rest of the body.

    Args:
        chunks: The chunks, as they arrive from the client.

    Attributes:
        begun: Whether a reader has asked for a chunk.
    """

    def __init__(self, chunks: AsyncIterator[bytes]):
        self.chunks = chunks
        self.begun = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Returns the chunks.

        Raises:
            BodyError: The stream was read before.
        """
        if self.begun:
            raise BodyError("the body was read before", 502)
        return self._read()

    async def _read(self) -> AsyncIterator[bytes]:
        self.begun = True
        async for chunk in self.chunks:
            yield chunk


@dataclasses.dataclass(slots=True)
class Body:
    """A request body: a buffered first part and a stream of the rest.

    Attributes:
        buffered: The bytes read so far.
        rest: The remaining chunks, or None if the whole body is buffered.
    """

    buffered: bytes
    rest: BodyStream | None = None

    def is_small(self) -> bool:
        """Returns whether sending it takes no time worth limiting."""
        return self.rest is None and len(self.buffered) <= SMALL_BODY_BYTES

    def can_be_sent(self) -> bool:
        """Returns whether the whole body can be sent, perhaps once more.

        This must hold before each attempt: an attempt that was refused may
        have sent a part of the rest, which is gone.
        """
        return self.rest is None or not self.rest.begun


@dataclasses.dataclass(slots=True)
class Call:
    """One request of a caller at its entry node.

    Attributes:
        request_id: The caller's identifier of the request, for logs.
        canary: Whether it may go to the new version during a rollout.
        depth: Depth in its chain of calls; 1 for one of an external caller.
        workspace: Workspace whose key the caller presented, or "".
        caller_deadline: Until when the caller waits, or None if it didn't say;
            the route's own deadline may be earlier.
    """

    call_id: str
    service: str
    method: str
    request_target: str
    # Not shown, because it may hold the credentials of a caller.
    headers: http1.Headers = dataclasses.field(repr=False)
    body: Body
    deadline: Deadline
    member: str
    depth: int
    idempotent: bool
    is_retry: bool = False
    key: str = ""
    max_attempts: int = 3
    request_id: str = ""
    route: str = ""
    canary: bool = False
    urgency: Urgency = Urgency()
    workspace: str = ""
    caller_deadline: Deadline | None = None

    def find_caller_left_s(self) -> float:
        """Returns how long the caller still waits, 0 if that is unknown."""
        if self.caller_deadline is None:
            return 0.0
        return max(self.caller_deadline.remaining_s(), 0.0)


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt to run a call at one target.

    Attributes:
        keyed: Whether the call has a claimed idempotency key, so that the
            target's node retains the answer.
        node_time_ms: Clock reading of the target's node, obtained before
            sending.
        sent: Whether any byte of it may have left the entry node.
        reroutable: Whether the node may refuse it as busy, so that another
            target is tried.
        target_incarnation: Incarnation of the target that it is meant for;
            empty for any.
        answer_forwarded: Whether a part of its answer has been sent to the
            caller.
        workspace: Workspace whose key the caller presented, or "".
        on_dispatch: Called before the first byte is sent to the target;
            returns False if the attempt is fenced and must not be sent.
    """

    attempt_id: str
    service: str
    method: str
    request_target: str
    # Not shown, because it may hold the credentials of a caller.
    headers: http1.Headers = dataclasses.field(repr=False)
    body: Body
    deadline: Deadline
    member: str
    depth: int
    incarnation: str
    is_retry: bool = False
    idempotent: bool = False
    keyed: bool = False
    node_time_ms: int = -1
    sent: bool = False
    reroutable: bool = False
    target_incarnation: str = ""
    urgency: Urgency = Urgency()
    workspace: str = ""
    on_dispatch: Callable[[], bool] | None = None
    answer_forwarded: bool = False

    def must_end(self) -> bool:
        """Returns whether it must end now because the process does.

        Once the caller has a part of the answer it can't be told anything else,
        so that the attempt may go on until the process is killed.
        """
        deadline = self.deadline
        if self.answer_forwarded or not deadline.is_cut_off():
            return False
        return deadline.remaining_s() <= 0


def make_attempt(
    call: Call, number: int, incarnation: str, target_incarnation: str = ""
) -> Attempt:
    """Returns an attempt for a call; numbers start from 1.

    Raises:
        BodyError: The call's body can't be sent whole any more.
    """
    if not call.body.can_be_sent():
        raise BodyError("a part of the body was sent before", 502)
    return Attempt(
        f"{call.call_id}.{number}",
        call.service,
        call.method,
        call.request_target,
        call.headers,
        call.body,
        call.deadline,
        call.member,
        call.depth,
        incarnation,
        call.is_retry or number > 1,
        call.idempotent,
        bool(call.key) and not call.idempotent,
        target_incarnation=target_incarnation,
        urgency=call.urgency,
        workspace=call.workspace,
    )


def parse_urgency(text: str) -> Urgency:
    """Parses the value of URGENCY_HEADER, which may be empty.

    Raises:
        http1.HttpError: The value is malformed.
    """
    if not text:
        return Urgency()
    match = _URGENCY_PATTERN.fullmatch(text)
    if match is None:
        raise http1.HttpError(
            f"{URGENCY_HEADER} = {text!r}: must be PRIORITY,MS"
        )
    return Urgency(make_deadline(int(match[2]) / 1000), int(match[1]))


def forwarded_headers(attempt: Attempt) -> http1.Headers:
    """Returns the fields that are forwarded to the target unchanged."""
    return [
        item
        for item in attempt.headers
        if item[0] not in _REPLACED_HEADERS and item[0] not in http1.HOP_BY_HOP
    ]


def find_next_hop_ms(deadline: Deadline) -> int:
    """Returns the time left for the next hop, in milliseconds."""
    remaining_s = deadline.remaining_s() - RETURN_RESERVE_S
    return max(int(remaining_s * 1000), 0)


def remaining_ms(attempt: Attempt) -> int:
    """Returns the time left for the next hop, in milliseconds."""
    return find_next_hop_ms(attempt.deadline)


def attempt_headers(attempt: Attempt) -> http1.Headers:
    """Returns the fields of an attempt, including those that nodes set."""
    headers = forwarded_headers(attempt)
    headers += [
        (ATTEMPT_HEADER, attempt.attempt_id),
        (DEADLINE_HEADER, str(remaining_ms(attempt))),
        (DEPTH_HEADER, str(attempt.depth)),
        (INCARNATION_HEADER, attempt.incarnation),
        (SERVICE_HEADER, attempt.service),
        (MEMBER_HEADER, attempt.member),
        (NODE_TIME_HEADER, str(attempt.node_time_ms)),
    ]
    if attempt.keyed:
        headers.append((KEEP_HEADER, "1"))
    if attempt.is_retry:
        headers.append((RETRY_HEADER, "1"))
    if attempt.reroutable:
        headers.append((REROUTABLE_HEADER, "1"))
    if attempt.urgency.objective is not None:
        left_ms = max(int(attempt.urgency.objective.remaining_s() * 1000), 0)
        text = f"{attempt.urgency.priority},{left_ms}"
        headers.append((URGENCY_HEADER, text))
    if attempt.workspace:
        headers.append((WORKSPACE_HEADER, attempt.workspace))
    if attempt.target_incarnation:
        headers.append((TARGET_HEADER, attempt.target_incarnation))
    return headers


_REPLACED_HEADERS = INTERNAL_HEADERS | {
    DEADLINE_HEADER,
    DEPTH_HEADER,
    MEMBER_HEADER,
    RETRY_HEADER,
    "expect",
}
