"""Broken invariants, by whether the promises of the process still hold.

The checks of this module are made in all runs. `assert` is used only for
conditions that tell the type checker what is known.
"""

import os.path
import traceback

_PACKAGE_DIRECTORY = os.path.dirname(__file__)


class BrokenInvariantError(Exception):
    """An invariant is broken; the request or task that found it must end.

    Others can go on: either the check comes before the step that it guards, or
    the state is corrected when it fails.

    Attributes:
        place: Name of the invariant, for logs and metrics.
    """

    def __init__(self, place: str, detail: object = ""):
        super().__init__(f"{place}: {detail}" if detail != "" else place)
        self.place = place


class BrokenPromiseError(BrokenInvariantError):
    """A promise of the process may be untrue, so that the process must stop.

    Peers see a new incarnation after the restart.
    """


def require(condition: object, place: str, detail: object = "") -> None:
    """Raises BrokenInvariantError unless the condition is true."""
    if not condition:
        raise BrokenInvariantError(place, detail)


def require_promise(condition: object, place: str, detail: object = "") -> None:
    """Raises BrokenPromiseError unless the condition is true."""
    if not condition:
        raise BrokenPromiseError(place, detail)


def find_place(error: BaseException) -> str:
    """Returns the invariant that is broken, or the function that failed."""
    if isinstance(error, BrokenInvariantError):
        return error.place
    frames = [
        frame
        for frame in traceback.extract_tb(error.__traceback__)
        if frame.filename.startswith(_PACKAGE_DIRECTORY)
    ]
    if not frames:
        return "unknown"
    module, _ = os.path.splitext(os.path.basename(frames[-1].filename))
    return f"{module}.{frames[-1].name}"
