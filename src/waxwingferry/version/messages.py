"""Messages between nodes about version rollouts."""

from collections.abc import Iterable
import enum
from typing import Annotated

import msgspec

from waxwingferry.version import judgement

Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class State(enum.Enum):
    """Final state of a rollout."""

    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Stop(msgspec.Struct, frozen=True, array_like=True):
    """Stops canary traffic to a bad version before the decision is written."""

    service: str
    number: Number


class DecisionQuery(msgspec.Struct, frozen=True, array_like=True):
    """Asks whether a rollout has been decided or stopped.

    Attributes:
        node: Node that sends the query.
        number: Number of the rollout order.
    """

    node: str
    service: str
    number: Number


class Decision(msgspec.Struct, frozen=True, array_like=True):
    """Final decision on a rollout.

    Attributes:
        number: Number of the rollout order.
    """

    service: str
    version: str
    number: Number
    state: State


class TargetCounts(msgspec.Struct, array_like=True):
    """All counts of one target for a rollout, pushed by its node."""

    node: str
    service: str
    version: str
    number: Number
    routes: list[judgement.RouteCount]


Message = TargetCounts | Decision | DecisionQuery | Stop


def merge_counts(
    counts_list: Iterable[TargetCounts],
    version: str,
    matching: bool,
) -> dict[str, judgement.RouteCount]:
    """Returns the counts by route, summed over targets.

    Args:
        counts_list: Counts of the targets.
        version: Version to select by.
        matching: Whether to sum the targets of that version or all others.
    """
    merged: dict[str, judgement.RouteCount] = {}
    for counts in counts_list:
        if (counts.version == version) is not matching:
            continue
        for item in counts.routes:
            total = merged.setdefault(
                item.route, judgement.RouteCount(item.route)
            )
            total.failed += item.failed
            total.steps = [
                a + b for a, b in zip(total.steps, item.steps, strict=True)
            ]
    return merged
