"""A call as it enters a node, and the attempts made for it."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
import re

from waxwingferry import boot_clock
from waxwingferry.connection import http1

ATTEMPT_HEADER = "x-waxwing-attempt"
DEADLINE_HEADER = "x-waxwing-deadline-ms"
DEPTH_HEADER = "x-waxwing-depth"
INCARNATION_HEADER = "x-waxwing-incarnation"
LOAD_HEADER = "x-waxwing-load"
MEMBER_HEADER = "x-waxwing-member"
RETRY_HEADER = "x-waxwing-retry"
# The attempt may be refused if it would do better at another target.
REROUTABLE_HEADER = "x-waxwing-movable"
# Incarnation of the target that the attempt is meant for.
TARGET_HEADER = "x-waxwing-target"
SERVICE_HEADER = "x-waxwing-service"
KEY_HEADER = "idempotency-key"
# A time of the target's node, read before the attempt was sent.
NODE_TIME_HEADER = "x-waxwing-node-time"
# Priority of the attempt and milliseconds for which an answer is of full use.
URGENCY_HEADER = "x-waxwing-urgency"
# Asks the target's node to finish the attempt and retain its answer.
KEEP_HEADER = "x-waxwing-keep"

MAX_DEPTH = 14

# Kept back at each hop for the answer's way: two passes and the distance to
# another failure domain.
RETURN_RESERVE_S = 0.002
MAX_BUFFERED_BODY_BYTES = 65536

# Fields that only the system sets; a caller's own values are removed.
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
    }
)

_URGENCY = re.compile(r"([0-9]{1,3}),([0-9]{1,9})")

# Longest wait for the next part of an answer whose deadline has passed.
PROGRESS_TIMEOUT_S = 5.0


class BodyError(Exception):
    """The rest of a caller's body failed after its start was sent on.

    Attributes:
        status: Status code for the caller.
    """

    def __init__(self, message: str, status: int):
        super().__init__(message)
        self.status = status


@dataclasses.dataclass(slots=True)
class Deadline:
    """A point in time by the boot clock, in seconds.

    Callers go on waiting while a machine is suspended.

    It bounds the time until an answer begins. A body that has begun may take
    longer while it makes progress: cutting it would lose an answer that the
    target is giving, and a long download has no length known in advance.
    """

    at_s: float

    def remaining_s(self) -> float:
        """Returns the time left in seconds, possibly negative."""
        return self.at_s - boot_clock.read_s()

    def chunk_timeout_s(self) -> float:
        """Returns the time allowed for the next part of an answer's body."""
        return max(self.remaining_s(), PROGRESS_TIMEOUT_S)


def make_deadline(remaining_s: float) -> Deadline:
    """Returns the deadline that lies remaining_s seconds ahead."""
    return Deadline(boot_clock.read_s() + remaining_s)


@dataclasses.dataclass(slots=True, frozen=True)
class Urgency:
    """What a wait costs a call.

    Attributes:
        objective: Until when an answer is of full use, or None for as long
            as the call has time.
        priority: Rank of the route, 0 is the most urgent.
    """

    objective: Deadline | None = None
    priority: int = 0


@dataclasses.dataclass(slots=True)
class Body:
    """A request body: its buffered first part and the rest, if any.

    Attributes:
        buffered: The bytes read so far.
        rest: Further parts. A body with a rest can be sent only once.
    """

    buffered: bytes
    rest: AsyncIterator[bytes] | None = None


@dataclasses.dataclass(slots=True)
class Call:
    """One request of a caller at its entry node.

    Attributes:
        name: The caller's own name of the request, for logs.
        canary: Whether it tries the new version of a rollout.
    """

    call_id: str
    service: str
    method: str
    request_target: str
    headers: http1.Headers
    body: Body
    deadline: Deadline
    member: str
    depth: int
    idempotent: bool
    is_retry: bool = False
    key: str = ""
    max_attempts: int = 3
    name: str = ""
    route: str = ""
    canary: bool = False
    urgency: Urgency = Urgency()


@dataclasses.dataclass(slots=True)
class Attempt:
    """One try to run a call at one target.

    Attributes:
        keyed: Whether the call has a claimed key; its answer is retained.
        node_time_ms: Time of the target's node, read before sending.
        sent: Whether a byte of it may have left the entry.
        reroutable: Whether it may be refused because another target would
            serve it better.
        target_incarnation: Target incarnation it is meant for; empty for any.
        on_dispatch: Called before the first byte goes to the target; False
            means that the attempt is fenced and must not be sent.
    """

    attempt_id: str
    service: str
    method: str
    request_target: str
    headers: http1.Headers
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
    on_dispatch: Callable[[], bool] | None = None


def make_attempt(
    call: Call, number: int, incarnation: str, target_incarnation: str = ""
) -> Attempt:
    """Returns the attempt with the given number, from 1."""
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
    )


def parse_urgency(text: str) -> Urgency:
    """Returns the urgency that a hop header states.

    Raises:
        http1.HttpError: The text is none.
    """
    if not text:
        return Urgency()
    found = _URGENCY.fullmatch(text)
    if found is None:
        raise http1.HttpError(f"{URGENCY_HEADER} = {text!r}: must be P,MS")
    return Urgency(make_deadline(int(found[2]) / 1000), int(found[1]))


def forwarded_headers(attempt: Attempt) -> http1.Headers:
    """Returns the fields that the system does not set itself."""
    return [
        item
        for item in attempt.headers
        if item[0] not in _REPLACED and item[0] not in http1.HOP_BY_HOP
    ]


def remaining_ms(attempt: Attempt) -> int:
    """Returns the time that the next hop has, in milliseconds."""
    remaining_s = attempt.deadline.remaining_s() - RETURN_RESERVE_S
    return max(int(remaining_s * 1000), 0)


def attempt_headers(attempt: Attempt) -> http1.Headers:
    """Returns the fields of an attempt with those of the system added."""
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
    if attempt.target_incarnation:
        headers.append((TARGET_HEADER, attempt.target_incarnation))
    return headers


_REPLACED = INTERNAL_HEADERS | {
    DEADLINE_HEADER,
    DEPTH_HEADER,
    MEMBER_HEADER,
    RETRY_HEADER,
    "expect",
}
