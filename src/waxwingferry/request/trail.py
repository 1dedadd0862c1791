"""History of the attempts for one call."""

import dataclasses

from waxwingferry.process.choice import known_target
from waxwingferry.process.choice import routing
from waxwingferry.request import outcome
from waxwingferry.request import retry

# Refusals as busy after which a call waits in a queue. Each costs one round
# trip and reaches no target; more would only delay the call.
MAX_MOVES = 4


@dataclasses.dataclass(slots=True)
class Trail:
    """The attempts made for one call and their outcomes.

    Attributes:
        tried: Nodes whose targets may have been reached, or take no work.
        busy: Nodes that refused an attempt as busy.
        number: Number of attempts made.
        target_attempts: Number of attempts that may have reached a target.
        moves: Number of attempts refused as busy.
        busy_accepted: Whether busy targets may be chosen; attempts are then no
            longer refused as busy.
        moved: Whether the latest attempt was refused without reaching a
            target, so that another one costs no retry budget.
        newest: Outcome of the latest attempt, or None.
        last: Outcome of the call if no other attempt is made.
        load_age_ms: Age of the load report that the latest choice of a target
            was based on, or None if there was no report.
        slowness: Slowness in that report.
    """

    tried: set[str] = dataclasses.field(default_factory=set)
    busy: set[str] = dataclasses.field(default_factory=set)
    number: int = 0
    target_attempts: int = 0
    moves: int = 0
    busy_accepted: bool = False
    moved: bool = False
    newest: outcome.NotRun | outcome.Unknown | None = None
    last: outcome.NotRun | outcome.Unknown = outcome.NotRun(
        outcome.Reason.NO_TARGET
    )

    load_age_ms: int | None = None
    slowness: float = 1.0

    def note_choice(self, load: routing.LoadReport, now_s: float) -> None:
        """Records the load that the latest choice was based on, for logs."""
        self.load_age_ms = routing.report_age_ms(load, now_s)
        self.slowness = load.slowness

    def may_move(self) -> bool:
        """Returns whether the next attempt may be refused as busy."""
        return not self.busy_accepted and self.moves < MAX_MOVES

    def accept_busy(self) -> None:
        """Allows busy targets to be chosen again, and to queue the call."""
        self.busy.clear()
        self.busy_accepted = True

    def add(
        self,
        candidate: known_target.Candidate,
        result: outcome.NotRun | outcome.Unknown,
    ) -> None:
        """Adds an attempt that ended without an answer."""
        self.newest = result
        self.last = outcome.combine(self.last, result)
        self.moved = retry.is_move(result)
        if result.reason is outcome.Reason.BUSY:
            self.busy.add(candidate.node)
            self.moves += 1
            if self.moves >= MAX_MOVES:
                self.accept_busy()
            return
        self.tried.add(candidate.node)
        if not self.moved:
            self.target_attempts += 1
