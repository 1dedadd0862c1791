"""History of the attempts for one call."""

import dataclasses

from waxwingferry.process.choice import known_target
from waxwingferry.process.choice import routing
from waxwingferry.request import outcome
from waxwingferry.request import retry

# Refusals as busy after which a call waits in a queue. Each costs one round
# trip and reaches no target; more would only delay the call.
MAX_BUSY_REFUSALS = 4


@dataclasses.dataclass(slots=True)
class AttemptHistory:
    """The attempts made for one call and their outcomes.

    Attributes:
        tried: Nodes whose targets may have been reached, or take no work.
        busy: Nodes that refused an attempt as busy.
        attempts_made: Number of attempts made.
        target_attempts: Number of attempts that may have reached a target.
        busy_refusals: Number of attempts refused as busy.
        busy_accepted: Whether busy targets may be chosen; attempts are then no
            longer refused as busy.
        retry_is_free: Whether the latest attempt was refused without reaching a
            target, so that another one costs no retry budget.
        latest_result: Outcome of the latest attempt, or None.
        call_outcome: Outcome of the call if no other attempt is made.
        load_age_ms: Age of the load report that the latest choice of a target
            was based on, or None if there was no report.
        slowness: Slowness in that report.
    """

    tried: set[str] = dataclasses.field(default_factory=set)
    busy: set[str] = dataclasses.field(default_factory=set)
    attempts_made: int = 0
    target_attempts: int = 0
    busy_refusals: int = 0
    busy_accepted: bool = False
    retry_is_free: bool = False
    latest_result: outcome.NotRun | outcome.Unknown | None = None
    call_outcome: outcome.NotRun | outcome.Unknown = outcome.NotRun(
        outcome.Reason.NO_TARGET
    )

    load_age_ms: int | None = None
    slowness: float = 1.0

    def record_choice(self, load: routing.LoadReport, now_s: float) -> None:
        """Records the load that the latest choice was based on, for logs."""
        self.load_age_ms = routing.report_age_ms(load, now_s)
        self.slowness = load.slowness

    def may_reroute(self) -> bool:
        """Returns whether the next attempt may be refused as busy."""
        return not self.busy_accepted and self.busy_refusals < MAX_BUSY_REFUSALS

    def accept_busy(self) -> None:
        """Allows busy targets to be chosen again, and to queue the call."""
        self.busy.clear()
        self.busy_accepted = True

    def add_result(
        self,
        candidate: known_target.Candidate,
        result: outcome.NotRun | outcome.Unknown,
    ) -> None:
        """Adds an attempt that ended without an answer."""
        self.latest_result = result
        self.call_outcome = outcome.combine(self.call_outcome, result)
        self.retry_is_free = retry.reached_no_target(result)
        if result.reason is outcome.Reason.BUSY:
            self.busy.add(candidate.node)
            self.busy_refusals += 1
            if self.busy_refusals >= MAX_BUSY_REFUSALS:
                self.accept_busy()
            return
        self.tried.add(candidate.node)
        if not self.retry_is_free:
            self.target_attempts += 1
