"""Clock that shows one time during a decision.

The parts of a decision each read the clock. A process may be paused between
two readings, and a deadline that had not passed at the first one has passed at
the second.
"""

from collections.abc import Callable
import functools
from typing import Concatenate
from typing import ParamSpec
from typing import Protocol
from typing import TypeVar

_Parameters = ParamSpec("_Parameters")
_Result = TypeVar("_Result")
_Decider = TypeVar("_Decider", bound="Decider")


class DecisionClock:
    """Clock that stands still while it is held.

    It is held by code that does not wait, so that time does not get lost.

    Args:
        clock: Monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.held_s = 0.0
        self.is_held = False

    def __call__(self) -> float:
        """Returns the time of the decision, or the present time without one."""
        return self.held_s if self.is_held else self.clock()


class Decider(Protocol):
    """Something that decides by a clock."""

    now: DecisionClock


def decision(
    method: Callable[Concatenate[_Decider, _Parameters], _Result],
) -> Callable[Concatenate[_Decider, _Parameters], _Result]:
    """Decorates a method that reads the clock once; it must not wait."""

    @functools.wraps(method)
    def decide(
        self: _Decider, *args: _Parameters.args, **kwargs: _Parameters.kwargs
    ) -> _Result:
        now = self.now
        if now.is_held:
            # It is a part of another decision.
            return method(self, *args, **kwargs)
        now.held_s = now.clock()
        now.is_held = True
        try:
            return method(self, *args, **kwargs)
        finally:
            now.is_held = False

    return decide
