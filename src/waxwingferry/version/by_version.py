"""Targets of a service chosen by their version."""

import collections

from waxwingferry.process.choice import known_target

# Share of the new targets that the bursts go to.
CANARY_TARGET_SHARE = 0.34


def select_version(
    targets: list[known_target.Candidate], version: str
) -> list[known_target.Candidate]:
    """Returns the targets of a version."""
    return [item for item in targets if item.version == version]


def exclude_version(
    targets: list[known_target.Candidate], version: str
) -> list[known_target.Candidate]:
    """Returns the targets of all other versions."""
    return [item for item in targets if item.version != version]


def select_canary_targets(
    targets: list[known_target.Candidate],
) -> list[known_target.Candidate]:
    """Returns a few ready targets with a free place, the same at all nodes.

    Packing the few requests shows what the version does under load.
    """
    ready = [item for item in targets if item.state == "ready"]
    ready.sort(key=lambda item: item.node)
    selected = ready[: max(round(len(ready) * CANARY_TARGET_SHARE), 1)]
    return [item for item in selected if item.stats.in_flight < item.slots]


def find_majority_version(targets: list[known_target.Candidate]) -> str:
    """Returns the version that most targets have, or an empty text."""
    counts = collections.Counter(item.version for item in targets)
    most = max(counts.values(), default=0)
    return min((v for v, n in counts.items() if n == most), default="")
