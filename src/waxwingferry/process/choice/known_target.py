"""Targets as known to an entry node."""

import dataclasses

from waxwingferry.process.choice import load_stats

# State of a target whose node process has been replaced by a new one.
REPLACED = "replaced"


@dataclasses.dataclass(slots=True)
class Candidate:
    """One target as known to an entry node.

    Attributes:
        node: Name of the target's node.
        incarnation: Random identifier of the node process.
        target: Incarnation of the target; empty if unknown.
        stats: Load statistics kept by this entry. A newer row of the same
            incarnation shares the object, because an attempt in flight must
            decrement the same in-flight count that it incremented.
    """

    node: str
    service: str
    version: str
    region: str
    failure_domain: str
    host: str
    peer_port: int
    incarnation: str
    state: str
    slots: int
    target: str = ""
    stats: load_stats.TargetStats = dataclasses.field(
        default_factory=load_stats.TargetStats
    )

    @property
    def in_flight(self) -> int:
        """Attempts of this entry that are in flight at the target."""
        return self.stats.in_flight

    @property
    def refused_at_s(self) -> float:
        """Monotonic time when the target last refused all work."""
        return self.stats.refused_at_s

    @refused_at_s.setter
    def refused_at_s(self, at_s: float) -> None:
        self.stats.refused_at_s = at_s

    @property
    def load(self) -> load_stats.LoadReport:
        """Newest load report."""
        return self.stats.load

    @load.setter
    def load(self, report: load_stats.LoadReport) -> None:
        self.stats.update_report(report)

    def mark_replaced(self) -> None:
        """Marks the node process behind this target as ended.

        The next process of the node gets a candidate of its own.
        """
        self.state = REPLACED
