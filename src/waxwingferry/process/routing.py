"""Choice of a target at the entry node."""

import dataclasses
import random
import time

REFUSED_PENALTY_S = 1.0


@dataclasses.dataclass(slots=True)
class Load:
    """A load report of a target's node, with the time it came."""

    in_flight: int = 0
    queue: int = 0
    limit: int = 1
    at_s: float = 0.0


def parse_load(text: str, now_s: float) -> Load | None:
    """Parses an x-waxwing-load field, or returns None if it is malformed."""
    try:
        parts = dict(item.split("=", 1) for item in text.split(","))
        return Load(
            int(parts["in_flight"]),
            int(parts["queue"]),
            max(int(parts["limit"]), 1),
            now_s,
        )
    except (ValueError, KeyError):
        return None


@dataclasses.dataclass(slots=True)
class Candidate:
    """One target as the entry node sees it.

    Attributes:
        node: Name of the target's node.
        incarnation: Random name of the node process.
        in_flight: Attempts that this entry has with the target now.
        refused_at_s: Monotonic time of the last refused connection.
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
    in_flight: int = 0
    load: Load = dataclasses.field(default_factory=Load)
    refused_at_s: float = 0.0


class Router:
    """Chooses targets by two random choices over own in-flight counts.

    Args:
        rng: Source of random choices.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng

    def choose(
        self,
        candidates: list[Candidate],
        domains_out: frozenset[str],
        excluded: set[str],
    ) -> Candidate | None:
        """Returns the target for an attempt, or None if there is none.

        Args:
            candidates: All targets of the service.
            domains_out: Failure domains that take no work.
            excluded: Nodes that this call has tried already.
        """
        usable = [
            item
            for item in candidates
            if item.state == "ready"
            and item.failure_domain not in domains_out
            and item.node not in excluded
        ]
        newest_s = time.monotonic() - REFUSED_PENALTY_S
        healthy = [item for item in usable if item.refused_at_s < newest_s]
        pool = healthy or usable
        if not pool:
            return None
        first = self.rng.choice(pool)
        second = self.rng.choice(pool)
        return min(first, second, key=_cost)


def _cost(candidate: Candidate) -> float:
    reported = candidate.load.in_flight + candidate.load.queue
    work = max(candidate.in_flight, reported) + 1
    return work / max(candidate.load.limit, 1)
