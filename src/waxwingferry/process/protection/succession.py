"""Tells which heartbeats are of the target that runs now.

Each start of a target is an incarnation, which is named after the start time.
That does not order them if the clock of the machine was set back in between:
the incarnation that runs may have started earlier than the one before it, by
the clock. The same is true of a late heartbeat of a target that ended long ago.

What tells them apart is who still sends. A heartbeat with an earlier start, of
an incarnation that this node has not seen replaced, is not confirmed. A target
that runs repeats it within a second. One that ended does not, and what was
delayed arrives together as soon as the node or the network goes on. An
incarnation that was displaced in this way may come back in the same way only.
Health reports do not state the start of a target, and closed connections do
not show its end, because a target may close idle ones.
"""

import dataclasses
import enum
from typing import Protocol

# A target that runs repeats a heartbeat that is not confirmed in less time.
OBSERVATION_S = 1.2
# An incarnation that was silent for longer is observed anew.
MAX_SILENCE_S = 3.0
MAX_KNOWN = 64


class Verdict(enum.Enum):
    """What a heartbeat is.

    Attributes:
        CURRENT: It is the newest one of the target that runs.
        OUTDATED: It was overtaken, or its target has ended.
        UNDECIDED: Its target may run or have ended; a repetition shows it.
    """

    CURRENT = "current"
    OUTDATED = "outdated"
    UNDECIDED = "undecided"


class Heartbeat(Protocol):
    """See registration.Heartbeat."""

    @property
    def target_id(self) -> str:
        """ID of the target."""

    @property
    def started_ms(self) -> int:
        """Start time of the target by the clock of its machine."""

    @property
    def sequence(self) -> int:
        """Order of the heartbeats of one incarnation."""


Key = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Claimant:
    """An incarnation with an earlier start that may run.

    Attributes:
        key: ID and start time of the target.
        sequence: The highest one of its heartbeats.
        first_s: Monotonic time from which it is observed.
        last_s: Monotonic time of its last heartbeat.
    """

    key: Key
    sequence: int
    first_s: float
    last_s: float


class Succession:
    """The incarnation that runs, and those that it replaced.

    Attributes:
        current: ID and start time of the target that runs, or None.
        sequence: Highest sequence of its heartbeats.
    """

    def __init__(self):
        self.current: Key | None = None
        self.sequence = -1
        # Whether an earlier incarnation may come back if it still sends.
        self._earlier: dict[Key, bool] = {}
        self._claimant: _Claimant | None = None

    def set_current(self, heartbeat: Heartbeat) -> None:
        """Records the newest heartbeat of the target that runs."""
        key = _make_key(heartbeat)
        if self.current is not None and key != self.current:
            is_displaced = heartbeat.started_ms < self.current[1]
            self._earlier[self.current] = is_displaced
            while len(self._earlier) > MAX_KNOWN:
                del self._earlier[next(iter(self._earlier))]
        self._earlier.pop(key, None)
        self.current = key
        self.sequence = heartbeat.sequence
        self._claimant = None

    def judge(self, heartbeat: Heartbeat, now_s: float) -> Verdict:
        """Returns what a heartbeat is; records it if it is the current one.

        Args:
            heartbeat: The heartbeat.
            now_s: Monotonic time of its arrival.
        """
        verdict = self._judge(heartbeat, now_s)
        if verdict is Verdict.CURRENT:
            self.set_current(heartbeat)
        return verdict

    def _judge(self, heartbeat: Heartbeat, now_s: float) -> Verdict:
        key = _make_key(heartbeat)
        if self.current is None:
            return Verdict.CURRENT
        if key == self.current:
            if heartbeat.sequence >= self.sequence:
                self._claimant = None
            is_newer = heartbeat.sequence > self.sequence
            return Verdict.CURRENT if is_newer else Verdict.OUTDATED
        is_displaced = self._earlier.get(key)
        if is_displaced is False:
            return Verdict.OUTDATED
        if is_displaced is None and heartbeat.started_ms >= self.current[1]:
            return Verdict.CURRENT
        return self._observe(key, heartbeat.sequence, now_s)

    def _observe(self, key: Key, sequence: int, now_s: float) -> Verdict:
        known = self.find_claimant(now_s)
        if known is None or known.key != key:
            self._claimant = _Claimant(key, sequence, now_s, now_s)
            return Verdict.UNDECIDED
        if sequence < known.sequence:
            return Verdict.UNDECIDED
        known.sequence = sequence
        known.last_s = now_s
        is_observed = now_s - known.first_s >= OBSERVATION_S
        return Verdict.CURRENT if is_observed else Verdict.UNDECIDED

    def find_claimant(self, now_s: float) -> _Claimant | None:
        """Returns the incarnation that may run instead of the current one."""
        known = self._claimant
        if known is not None and now_s - known.last_s > MAX_SILENCE_S:
            self._claimant = known = None
        return known


def _make_key(heartbeat: Heartbeat) -> Key:
    return heartbeat.target_id, heartbeat.started_ms
