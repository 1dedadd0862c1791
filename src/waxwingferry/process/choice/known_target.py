"""One target as an entry node sees it."""

import dataclasses

from waxwingferry.process.choice import load_stats

# State of a target whose node runs as another process by now.
REPLACED = "replaced"


@dataclasses.dataclass(slots=True)
class Candidate:
    """One target as the entry node sees it.

    Attributes:
        node: Name of the target's node.
        incarnation: Random name of the node process.
        target: Incarnation of the target; empty if it is not known.
        stats: What this entry knows of its load. A newer row of the same
            incarnation shares the object, because attempts in flight give
            their places back to the object that they took them from.
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
        """Attempts that this entry has with the target now."""
        return self.stats.in_flight

    @property
    def refused_at_s(self) -> float:
        """Monotonic time of the last refusal to take any work."""
        return self.stats.refused_at_s

    @refused_at_s.setter
    def refused_at_s(self, at_s: float) -> None:
        self.stats.refused_at_s = at_s

    @property
    def load(self) -> load_stats.LoadReport:
        """The newest load report."""
        return self.stats.load

    @load.setter
    def load(self, report: load_stats.LoadReport) -> None:
        self.stats.update_report(report)

    def mark_replaced(self) -> None:
        """Notes that the node process behind this target has ended.

        The row of the next process makes a target of its own.
        """
        self.state = REPLACED
