"""What became of a call so far, over its attempts."""

import dataclasses

from waxwingferry.process.choice import known_target
from waxwingferry.process.choice import routing
from waxwingferry.request import outcome
from waxwingferry.request import retry

# Refusals by nodes whose targets would serve the call late. Each costs one
# round trip and reaches no target; further ones would cost the caller's time.
MAX_MOVES = 4


@dataclasses.dataclass(slots=True)
class Trail:
    """What became of one call so far.

    Attributes:
        tried: Nodes whose targets may have been reached, or take no work.
        busy: Nodes that refused because another target would do better.
        number: Attempts made.
        target_attempts: Attempts that may have reached a target.
        moves: Attempts refused as busy.
        moved: Whether the newest one was refused without reaching a target,
            so that another costs nothing.
        newest: How the newest attempt ended, or None.
        last: The outcome of the call if no other attempt is made.
        load_age_ms: Age of the load report by which the newest target was
            chosen, None without one.
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
        """Notes what the newest choice went by, for the logs."""
        self.load_age_ms = routing.report_age_ms(load, now_s)
        self.slowness = load.slowness

    def may_move(self) -> bool:
        """Tells whether the next attempt may be refused as busy."""
        return not self.busy_accepted and self.moves < MAX_MOVES

    def accept_busy(self) -> None:
        """Takes busy targets as good as any from now on."""
        self.busy.clear()
        self.busy_accepted = True

    def add(
        self,
        candidate: known_target.Candidate,
        result: outcome.NotRun | outcome.Unknown,
    ) -> None:
        """Notes how an attempt ended."""
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
