"""Decides whether a call is retried at another target."""

from collections.abc import Callable
import enum
import time

from waxwingferry.process.choice import budget
from waxwingferry.process.choice import routing
from waxwingferry.process.protection import decision_clock
from waxwingferry.request import calls
from waxwingferry.request import outcome

MAX_ATTEMPTS = 3

# Part of the retry budget that may be spent after refusals for overload. Such
# retries add load to a service that is overloaded already, so a call gets at
# most one. Nested calls may spend the whole budget: their caller can't send
# them again later, and the work of the request that makes them would be lost.
OVERLOAD_SHARE = 0.5

MAX_MEMBER_BUDGETS = 1024

_Reason = outcome.Reason


class RefusalKind(enum.Enum):
    """Kinds of refusals, as far as retries are concerned."""

    UNAVAILABLE = "moved"
    OVERLOADED = "overloaded"
    UNKNOWN = "unknown"
    FINAL = "final"


class Denial(enum.Enum):
    """Why a call was not retried."""

    FINAL = "final"
    NOT_IDEMPOTENT = "not_idempotent"
    RETRIED_ABOVE = "retried_above"
    BODY_STREAMED = "body_streamed"
    NO_TIME = "no_time"
    ATTEMPTS = "attempts"
    NO_TARGET = "no_target"
    NO_ROOM = "no_room"
    BUDGET = "budget"


# The target takes no work at the moment; another one may.
_UNAVAILABLE = frozenset(
    {
        _Reason.CONNECTION_REFUSED,
        _Reason.WRONG_INCARNATION,
        _Reason.LEAVING,
        _Reason.DOMAIN_OUT,
        _Reason.NO_TARGET,
        _Reason.FENCED,
        _Reason.BUSY,
        _Reason.WRONG_TARGET,
    }
)
# The connection failed, and the node has confirmed that the attempt did not
# run.
_CONNECTION_FAILED = frozenset(
    {
        _Reason.CONNECTION_LOST,
        _Reason.CONNECTION_SILENT,
        _Reason.NODE_SILENT,
        _Reason.ANSWER_MISMATCH,
        _Reason.STALE_ATTEMPT,
    }
)
# LOAD_SHED is in none of these sets: other targets refuse the call as well.
_OVERLOADED = frozenset(
    {
        _Reason.QUEUE_FULL,
        _Reason.DISPLACED,
        _Reason.DEADLINE_TOO_SHORT,
        _Reason.TARGET_REFUSED,
    }
)


# The attempt did not reach a target, so that another one does not add to the
# load of targets: the node itself refused, or no connection was opened.
_NO_TARGET_REACHED = frozenset(
    {
        _Reason.BUSY,
        _Reason.CONNECTION_REFUSED,
        _Reason.LEAVING,
        _Reason.DOMAIN_OUT,
        _Reason.WRONG_TARGET,
        _Reason.WRONG_INCARNATION,
    }
)


def reached_no_target(last: outcome.NotRun | outcome.Unknown) -> bool:
    """Returns whether an attempt reached no target and so costs no budget."""
    return (
        isinstance(last, outcome.NotRun) and last.reason in _NO_TARGET_REACHED
    )


def classify(last: outcome.NotRun | outcome.Unknown) -> RefusalKind:
    """Returns the kind of a refusal."""
    if last.reason is _Reason.ENDED_TARGET:
        return RefusalKind.FINAL
    if isinstance(last, outcome.Unknown):
        return RefusalKind.UNKNOWN
    if last.reason in _UNAVAILABLE or last.reason in _CONNECTION_FAILED:
        return RefusalKind.UNAVAILABLE
    if last.reason in _OVERLOADED:
        return RefusalKind.OVERLOADED
    return RefusalKind.FINAL


# Reasons that do not count against the target in routing.
_NOT_COUNTED = frozenset(
    {
        _Reason.DEADLINE_TOO_SHORT,
        _Reason.CONNECTION_SILENT,
        _Reason.STALE_ATTEMPT,
        _Reason.BUSY,
        _Reason.WRONG_TARGET,
    }
)


def classify_for_routing(result: outcome.Outcome) -> routing.Result:
    """Returns how an outcome counts for the target in routing."""
    if isinstance(result, outcome.Answer):
        failed = result.head.status >= 500
        return routing.Result.FAILED if failed else routing.Result.ANSWERED
    if result.reason in _NOT_COUNTED:
        return routing.Result.ABANDONED
    if result.reason is _Reason.ENDED_TARGET:
        return routing.Result.FAILED
    if result.reason in (_Reason.QUEUE_FULL, _Reason.DISPLACED):
        return routing.Result.OVERLOADED
    match classify(result):
        case RefusalKind.UNAVAILABLE:
            return routing.Result.UNAVAILABLE
        case RefusalKind.FINAL:
            return routing.Result.ABANDONED
        case _:
            # A target that sheds load at once must not be taken for an idle
            # and fast one.
            return routing.Result.FAILED


class RetryPolicy:
    """Decides on retries, within budgets per service and per member.

    The budget of a service limits the retries of all its members. The budget
    of a member limits its part, so that a member with many refused calls
    leaves retries for the others; it allows at least one retry, even with few
    calls.

    Only calls that are not retries of an entry node further up the chain add
    to a budget and spend it. Each level of a chain of calls can therefore add
    at most its own ratio of retries to the level below; the ratios of several
    levels do not multiply.

    Args:
        ratio: Returns the document's limit of retries per call.
        clock: Monotonic time in seconds.
        slack: Returns the number of further retries allowed in each window.
    """

    def __init__(
        self,
        ratio: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
        slack: Callable[[], float] = lambda: 0.0,
    ):
        self.ratio = ratio
        self.slack = slack
        self.now = decision_clock.DecisionClock(clock)
        self.services: dict[str, budget.RatioBudget] = {}
        self.members: dict[tuple[str, str], budget.RatioBudget] = {}

    def count_call(self, call: calls.Call) -> None:
        """Counts a call that may be retried."""
        if not call.is_retry:
            for retry_budget in self._budgets(call):
                retry_budget.count_call()

    def _budgets(self, call: calls.Call) -> list[budget.RatioBudget]:
        """Returns the budgets of a call's service and member."""
        ratio = self.ratio()
        name = (call.service, call.member)
        if name not in self.members and len(self.members) >= MAX_MEMBER_BUDGETS:
            # Callers choose the member's name, so the number of budgets is
            # limited; further members of a service share one.
            name = (call.service, "")
        if call.service not in self.services:
            self.services[call.service] = budget.RatioBudget(ratio, self.now)
        if name not in self.members:
            self.members[name] = budget.RatioBudget(
                ratio, self.now, min_events=1.0
            )
        budgets = [self.services[call.service], self.members[name]]
        for retry_budget in budgets:
            retry_budget.ratio = ratio
            retry_budget.slack = self.slack()
        return budgets

    def check(
        self,
        call: calls.Call,
        last: outcome.NotRun | outcome.Unknown,
        attempts: int,
        latency_s: float,
    ) -> Denial | None:
        """Returns why a call can't be retried, or None.

        Args:
            call: The call.
            last: The outcome of its last attempt.
            attempts: Attempts made so far.
            latency_s: Mean latency of the service; a retry with less time
                left would probably be wasted.
        """
        kind = classify(last)
        if kind is RefusalKind.FINAL:
            return Denial.FINAL
        if kind is RefusalKind.UNKNOWN and not call.idempotent:
            return Denial.NOT_IDEMPOTENT
        if call.is_retry:
            return Denial.RETRIED_ABOVE
        if not call.body.can_be_sent():
            return Denial.BODY_STREAMED
        max_attempts = min(call.max_attempts, MAX_ATTEMPTS)
        if kind is RefusalKind.OVERLOADED:
            max_attempts = min(max_attempts, 2)
        if attempts >= max_attempts:
            return Denial.ATTEMPTS
        min_left_s = calls.RETURN_RESERVE_S + latency_s
        if call.deadline.remaining_s() <= min_left_s:
            return Denial.NO_TIME
        return None

    @decision_clock.decision
    def spend(
        self,
        call: calls.Call,
        last: outcome.NotRun | outcome.Unknown,
        has_capacity: bool,
    ) -> Denial | None:
        """Spends budget on a retry; returns why it is denied, or None.

        Args:
            call: The call.
            last: The outcome of its last attempt.
            has_capacity: Whether the next target is expected to have a short
                queue.
        """
        overloaded = classify(last) is RefusalKind.OVERLOADED
        if overloaded and not has_capacity:
            return Denial.NO_ROOM
        is_nested = call.depth > 1
        share = OVERLOAD_SHARE if overloaded and not is_nested else 1.0
        budgets = self._budgets(call)
        if not all(retry_budget.available(share) for retry_budget in budgets):
            return Denial.BUDGET
        for retry_budget in budgets:
            retry_budget.spend(share)
        return None
