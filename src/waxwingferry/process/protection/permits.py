"""State of one attempt at the admission control of a target."""

import dataclasses
import enum

import anyio

from waxwingferry.process.protection import fairness
from waxwingferry.process.protection import precedence
from waxwingferry.request import outcome

# Refusals for lack of capacity; they count against a kind's served share.
CAPACITY_REASONS = frozenset(
    {
        outcome.Reason.QUEUE_FULL,
        outcome.Reason.DISPLACED,
        outcome.Reason.DEADLINE_TOO_SHORT,
    }
)


class Ending(enum.Enum):
    """Result of a dispatched attempt."""

    ANSWERED = "answered"
    SHED = "shed"
    REFUSED = "refused"
    LOST = "lost"
    ABANDONED = "abandoned"
    NOT_SENT = "not_sent"


class State(enum.Enum):
    """Admission state of an attempt."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@dataclasses.dataclass(slots=True, eq=False)
class Permit:
    """An attempt in the queue or at the target.

    Attributes:
        route: Key of the route for the service time estimate.
        deadline_s: Monotonic time of the deadline.
        submitted_s: Monotonic time of the submission.
        objective_s: Monotonic time of the latency objective.
        priority: Rank of the route; 0 is the most urgent.
        depth: Depth of the call; more than 1 for a nested call.
        request_id: ID of the request for log lines.
        due: Interval of its due time, and that time.
        lifetime_s: Time from the submission to the deadline.
        refusal: Reason of the refusal, or None.
        error: The broken invariant that ended it, or None.
        member_queue: Queue of the attempt's member.
        reset_count: Resets of the limit before the dispatch.
        is_trial: Whether it is sent although the estimate is against it.
        in_flight: Attempts in flight just after the dispatch.
        started_s: Monotonic time of the dispatch.
        head_received_s: Monotonic time of the answer's head, 0 if none.
        charged_s: Estimated cost charged to the member at the dispatch.
        slowness: Slowness of the target at the dispatch.
        event: Set when the state changes.
    """

    route: str
    deadline_s: float
    submitted_s: float
    objective_s: float
    priority: int = 0
    depth: int = 1
    request_id: str = ""
    due: tuple[int, float] = dataclasses.field(init=False)
    lifetime_s: float = dataclasses.field(init=False)
    state: State = State.QUEUED
    refusal: outcome.NotRun | None = None
    error: Exception | None = None
    member_queue: "fairness.MemberQueue[Permit] | None" = None
    reset_count: int = 0
    is_trial: bool = False
    in_flight: int = 0
    started_s: float = 0.0
    head_received_s: float = 0.0
    charged_s: float = 0.0
    slowness: float = 1.0
    event: anyio.Event | None = None

    def __post_init__(self):
        """Computes what stays the same while the attempt waits."""
        self.due = precedence.find_due(self.objective_s, self.priority)
        self.move_deadline(self.deadline_s)

    def move_deadline(self, deadline_s: float) -> None:
        """Sets another deadline while the attempt waits."""
        self.deadline_s = deadline_s
        self.lifetime_s = max(self.deadline_s - self.submitted_s, 1e-9)

    def record_head(self, now_s: float) -> None:
        """Records when the answer's head came; excludes slow readers' time."""
        self.head_received_s = now_s

    def fail(self, error: Exception) -> None:
        """Ends an attempt that was not sent because an invariant is broken."""
        self.state = State.ENDED
        self.error = error
        self.wake()

    def get_result(self) -> "Permit | outcome.NotRun":
        """Returns the permit, or its refusal; raises the error, if any."""
        if self.error is not None:
            raise self.error
        return self.refusal or self

    def refuse(
        self,
        reason: outcome.Reason,
        rank: precedence.Rank,
        now_s: float,
        displaced_by: str,
    ) -> None:
        """Ends the attempt, with the facts of the decision for the log.

        Args:
            reason: Why it is refused.
            rank: Rank of the attempt.
            now_s: Monotonic time.
            displaced_by: ID of the request that takes its place, or "".
        """
        self.state = State.ENDED
        self.refusal = outcome.NotRun(
            reason,
            details={
                "priority": self.priority,
                "depth": self.depth,
                "displaced_by": displaced_by,
                "waited_ms": round((now_s - self.submitted_s) * 1000),
                "objective_left_ms": round((self.objective_s - now_s) * 1000),
                "over_share": rank.over_share,
                "over_served": rank.over_served,
                "late": rank.late,
                "work_ms": round(rank.work_s * 1000),
            },
        )
        self.wake()

    def wake(self) -> None:
        """Wakes the task waiting for this permit."""
        if self.event is not None:
            self.event.set()
