"""Whether a call is tried again on another target."""

from collections.abc import Callable
import enum
import time

from waxwingferry.process import budget
from waxwingferry.process import routing
from waxwingferry.request import call
from waxwingferry.request import outcome

MAX_ATTEMPTS = 3

# A retry after a refusal for overload adds work where there is too much
# already, so such retries get only this share of the budget, once per call.
OVERLOAD_SHARE = 0.5

_Reason = outcome.Reason


class Kind(enum.Enum):
    """What a refusal says about trying again."""

    MOVED = "moved"
    OVERLOADED = "overloaded"
    UNKNOWN = "unknown"
    FINAL = "final"


class Denial(enum.Enum):
    """Why a call was not tried again."""

    FINAL = "final"
    NOT_IDEMPOTENT = "not_idempotent"
    RETRIED_ABOVE = "retried_above"
    BODY_STREAMED = "body_streamed"
    NO_TIME = "no_time"
    ATTEMPTS = "attempts"
    NO_TARGET = "no_target"
    NO_ROOM = "no_room"
    BUDGET = "budget"


# The target takes no work at all; another one may.
_MOVED = frozenset(
    {
        _Reason.CONNECTION_REFUSED,
        _Reason.WRONG_INCARNATION,
        _Reason.LEAVING,
        _Reason.DOMAIN_OUT,
        _Reason.NO_TARGET,
        _Reason.FENCED,
    }
)
# The connection failed and the node proved that the attempt did not run.
_LOST = frozenset(
    {
        _Reason.CONNECTION_LOST,
        _Reason.CONNECTION_SILENT,
        _Reason.NODE_SILENT,
        _Reason.ANSWER_MISMATCH,
        _Reason.STALE_ATTEMPT,
    }
)
_OVERLOADED = frozenset(
    {_Reason.QUEUE_FULL, _Reason.DEADLINE_TOO_SHORT, _Reason.TARGET_REFUSED}
)


def classify(last: outcome.NotRun | outcome.Unknown) -> Kind:
    """Returns what a refusal says about trying again."""
    if isinstance(last, outcome.Unknown):
        return Kind.UNKNOWN
    if last.reason in _MOVED or last.reason in _LOST:
        return Kind.MOVED
    if last.reason in _OVERLOADED:
        return Kind.OVERLOADED
    return Kind.FINAL


# What says nothing against the target.
_NO_FAULT = frozenset(
    {
        _Reason.DEADLINE_TOO_SHORT,
        _Reason.CONNECTION_SILENT,
        _Reason.STALE_ATTEMPT,
    }
)


def judge(result: outcome.Outcome) -> routing.Result:
    """Returns what an outcome says about the target."""
    if isinstance(result, outcome.Answer):
        failed = result.head.status >= 500
        return routing.Result.FAILED if failed else routing.Result.ANSWERED
    if result.reason in _NO_FAULT:
        return routing.Result.ABANDONED
    if result.reason is _Reason.QUEUE_FULL:
        return routing.Result.OVERLOADED
    match classify(result):
        case Kind.MOVED:
            return routing.Result.UNAVAILABLE
        case Kind.FINAL:
            return routing.Result.ABANDONED
        case _:
            # A target that sheds at once must not look idle and fast.
            return routing.Result.FAILED


class RetryPolicy:
    """Decides on retries, within a budget for each service.

    Only calls that are not retries of an entry further up add to a budget
    and spend it. In a chain of calls each level can therefore add at most
    its ratio of retries to the level below; levels never multiply.

    Args:
        ratio: Returns the retries allowed per call by the document.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        ratio: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.ratio = ratio
        self.clock = clock
        self.budgets: dict[str, budget.RatioBudget] = {}

    def count_call(self, made: call.Call) -> None:
        """Counts a call that may be tried again."""
        if not made.is_retry:
            self._budget(made.service).count_call()

    def _budget(self, service: str) -> budget.RatioBudget:
        if service not in self.budgets:
            self.budgets[service] = budget.RatioBudget(self.ratio(), self.clock)
        return self.budgets[service]

    def check(
        self,
        made: call.Call,
        last: outcome.NotRun | outcome.Unknown,
        attempts: int,
        latency_s: float,
    ) -> Denial | None:
        """Returns why a call can't be tried again, or None.

        Args:
            made: The call.
            last: The outcome of its last attempt.
            attempts: Attempts made so far.
            latency_s: Mean latency of the service; a retry that has less
                time than this would most likely be work for nothing.
        """
        kind = classify(last)
        if kind is Kind.FINAL:
            return Denial.FINAL
        if kind is Kind.UNKNOWN and not made.idempotent:
            return Denial.NOT_IDEMPOTENT
        if made.is_retry:
            return Denial.RETRIED_ABOVE
        if made.body.rest is not None:
            return Denial.BODY_STREAMED
        most = 2 if kind is Kind.OVERLOADED else MAX_ATTEMPTS
        if attempts >= most:
            return Denial.ATTEMPTS
        least_s = call.RETURN_RESERVE_S + latency_s
        if made.deadline.remaining_s() <= least_s:
            return Denial.NO_TIME
        return None

    def spend(
        self,
        made: call.Call,
        last: outcome.NotRun | outcome.Unknown,
        has_room: bool,
    ) -> Denial | None:
        """Pays for a retry; returns why it is denied, or None.

        Args:
            made: The call.
            last: The outcome of its last attempt.
            has_room: Whether the next target is believed to have a short queue.
        """
        overloaded = classify(last) is Kind.OVERLOADED
        if overloaded and not has_room:
            return Denial.NO_ROOM
        limits = self._budget(made.service)
        limits.ratio = self.ratio()
        share = OVERLOAD_SHARE if overloaded else 1.0
        return None if limits.spend(share) else Denial.BUDGET
