"""What nodes tell each other of version moves."""

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


class Question(msgspec.Struct, frozen=True, array_like=True):
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


class CountPush(msgspec.Struct, array_like=True):
    """All counts of one target for a move, pushed by its node."""

    node: str
    service: str
    version: str
    number: int
    routes: list[judgement.RouteCount]


Message = CountPush | Decision | Question | Stop
