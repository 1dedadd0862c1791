"""Selection of a service's targets by their version."""

import collections

from waxwingferry.process.choice import known_target

# Share of the new version's targets that receive the canary bursts.
CANARY_TARGET_SHARE = 0.34


def select_version(
    targets: list[known_target.Candidate], version: str
) -> list[known_target.Candidate]:
    """Returns the targets of a version."""
    return [item for item in targets if item.version == version]


def exclude_version(
    targets: list[known_target.Candidate], version: str
) -> list[known_target.Candidate]:
    """Returns the targets of all versions but one."""
    return [item for item in targets if item.version != version]


def select_canary_targets(
    targets: list[known_target.Candidate],
) -> list[known_target.Candidate]:
    """Returns the ready canary targets with a free slot.

    All nodes select the same few targets, so that the few canary requests put
    a realistic load on them.
    """
    ready = [item for item in targets if item.state == "ready"]
    ready.sort(key=lambda item: item.node)
    selected = ready[: max(round(len(ready) * CANARY_TARGET_SHARE), 1)]
    return [item for item in selected if item.stats.in_flight < item.slots]


def find_majority_version(targets: list[known_target.Candidate]) -> str:
    """Returns the most frequent version, or an empty text."""
    counts = collections.Counter(item.version for item in targets)
    most = max(counts.values(), default=0)
    return min((v for v, n in counts.items() if n == most), default="")
