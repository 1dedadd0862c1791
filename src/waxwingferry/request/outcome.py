"""Outcomes of attempts: answered, not run or unknown, and their reasons."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import enum

from waxwingferry.connection import http1

OUTCOME_HEADER = "x-waxwing-outcome"
REASON_HEADER = "x-waxwing-reason"


class Reason(enum.Enum):
    """Why a call was refused or its outcome is unknown."""

    NO_ROUTE = "no_route"
    NO_DOCUMENT = "no_document"
    NO_TARGET = "no_target"
    ENTRY_FULL = "entry_full"
    DOMAIN_OUT = "domain_out"
    LEAVING = "leaving"
    QUEUE_FULL = "queue_full"
    # A nested call that all targets of the service refuse alike.
    LOAD_SHED = "load_shed"
    # A more urgent attempt took the place in the queue of a target.
    DISPLACED = "displaced"
    BUSY = "busy"
    WRONG_TARGET = "wrong_target"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    TOO_DEEP = "too_deep"
    TARGET_REFUSED = "target_refused"
    CONNECTION_REFUSED = "connection_refused"
    WRONG_INCARNATION = "wrong_incarnation"
    FENCED = "fenced"
    STALE_ATTEMPT = "stale_attempt"
    DUPLICATE_ATTEMPT = "duplicate_attempt"
    BAD_REQUEST = "bad_request"
    # Of an idempotency key; the reasons that follow are of an API key.
    BAD_KEY = "bad_key"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    KEY_MALFORMED = "key_malformed"
    KEY_REPEATED = "key_repeated"
    BODY_TOO_LARGE = "body_too_large"
    # Connections of callers hold too much memory.
    NO_ROOM = "no_room"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIM_BUDGET = "claim_budget"
    KEY_MISMATCH = "key_mismatch"
    CLAIM_HELD = "claim_held"
    ANSWER_NOT_KEPT = "answer_not_kept"
    CONNECTION_LOST = "connection_lost"
    CONNECTION_SILENT = "connection_silent"
    NODE_SILENT = "node_silent"
    TIMEOUT = "timeout"
    ANSWER_CUT = "answer_cut"
    # The target ended while it ran the request and others.
    TARGET_ENDED = "target_ended"
    # The target ended, most likely because of the request.
    ENDED_TARGET = "ended_target"
    # Too many targets have ended while they ran the same request.
    CRASHES_TARGETS = "crashes_targets"
    ANSWER_MISMATCH = "answer_mismatch"
    # The program itself failed while it handled the request.
    INTERNAL_ERROR = "internal_error"


class AnswerCutError(Exception):
    """The body of an answer ended early; the data received is incomplete.

    Attributes:
        reason: Why the outcome is unknown if no part of it was forwarded.
    """

    def __init__(self, message: str, reason: Reason = Reason.ANSWER_CUT):
        super().__init__(message)
        self.reason = reason


@dataclasses.dataclass(slots=True)
class Answer:
    """The target's answer, whose body is received chunk by chunk.

    Attributes:
        head: Status and header fields of the answer.
        receive_chunk: Returns the next chunk of the body, None at the end.
            Raises AnswerCutError if the answer is cut short or stalls.
    """

    head: http1.ResponseHead
    receive_chunk: Callable[[], Awaitable[bytes | None]]


@dataclasses.dataclass(slots=True, frozen=True)
class NotRun:
    """The request did not run and will not run later.

    Attributes:
        reason: Why it was refused.
        status: Status of the response.
        details: Facts of the decision for its log line. They are not sent.
    """

    reason: Reason
    status: int = 503
    details: Mapping[str, object] = dataclasses.field(
        default_factory=dict, compare=False, repr=False
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Unknown:
    """The request may or may not have run."""

    reason: Reason
    status: int = 502


Outcome = Answer | NotRun | Unknown


def combine(
    earlier: NotRun | Unknown, later: NotRun | Unknown
) -> NotRun | Unknown:
    """Returns the combined outcome of two attempts for one call.

    A later attempt that did not run proves nothing about an earlier one.
    """
    if isinstance(earlier, Unknown) and isinstance(later, NotRun):
        return earlier
    return later


def refusal_headers(outcome: NotRun | Unknown) -> http1.Headers:
    """Returns the header fields of a refusal: its kind and its reason."""
    kind = "not-run" if isinstance(outcome, NotRun) else "unknown"
    return [
        (OUTCOME_HEADER, kind),
        (REASON_HEADER, outcome.reason.value),
        ("content-type", "text/plain"),
    ]


def parse_refusal(head: http1.ResponseHead) -> NotRun | Unknown | None:
    """Returns the refusal in a node's response, or None for an answer."""
    kind = http1.find_header(head.headers, OUTCOME_HEADER)
    if kind not in ("not-run", "unknown"):
        return None
    try:
        reason = Reason(http1.find_header(head.headers, REASON_HEADER))
    except ValueError:
        return Unknown(Reason.ANSWER_MISMATCH)
    if kind == "not-run":
        return NotRun(reason, head.status)
    return Unknown(reason, head.status)


def make_answer(head: http1.ResponseHead, body: bytes) -> Answer:
    """Returns an answer whose whole body is buffered."""
    parts = [body] if body else []

    async def receive_chunk() -> bytes | None:
        return parts.pop() if parts else None

    return Answer(head, receive_chunk)
