"""What nodes tell each other of version rollouts."""

from collections.abc import Iterable
import enum

import msgspec

from waxwingferry.version import judgement


class State(enum.Enum):
    """How a move was decided."""

    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Stop(msgspec.Struct, frozen=True, array_like=True):
    """A judge found a version bad and has yet to write the decision."""

    service: str
    number: int


class DecisionQuery(msgspec.Struct, frozen=True, array_like=True):
    """Asks whether a move has been decided or stopped.

    Attributes:
        node: The node that asks.
        number: Number of the order.
    """

    node: str
    service: str
    number: int


class Decision(msgspec.Struct, frozen=True, array_like=True):
    """The end of a move.

    Attributes:
        number: Number of the order.
    """

    service: str
    version: str
    number: int
    state: State


class TargetCounts(msgspec.Struct, array_like=True):
    """All counts of one target for a move, pushed by its node."""

    node: str
    service: str
    version: str
    number: int
    routes: list[judgement.RouteCount]


Message = TargetCounts | Decision | DecisionQuery | Stop


def merge_counts(
    counts_list: Iterable[TargetCounts],
    version: str,
    matching: bool,
) -> dict[str, judgement.RouteCount]:
    """Returns the counts by route of a version, or of all others."""
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
