"""Requests that the local target is running, to recognise its nested calls.

A nested call is lost work for its parent if it fails, so it goes before
requests of external callers. Targets that name a nested call "PARENT.CHILD",
where PARENT is the ID of the request they run, tell by this which one it is.
"""

import collections
from collections.abc import Iterator
import contextlib
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Parent:
    """What a nested call takes over from the request that makes it.

    Attributes:
        member: Member that the request counts for.
        priority: Priority of the request; 0 is the highest.
        depth: Depth of the request in its chain of calls, from 1.
    """

    member: str = ""
    priority: int = 0
    depth: int = 1


class RunningRequests:
    """The requests that were dispatched to the local target and not ended."""

    def __init__(self):
        # A request ID may run twice for a moment, when its caller repeats it.
        self.parents: dict[str, list[Parent]] = collections.defaultdict(list)

    @contextlib.contextmanager
    def track(self, request_id: str, parent: Parent) -> Iterator[None]:
        """Tracks a request while the context is active."""
        if not request_id:
            yield
            return
        self.parents[request_id].append(parent)
        try:
            yield
        finally:
            running = self.parents[request_id]
            running.remove(parent)
            if not running:
                del self.parents[request_id]

    def find_parent(self, request_id: str) -> Parent | None:
        """Returns the running request that makes a call, or None.

        Args:
            request_id: ID of the call, as its sender states it.
        """
        prefix, _, suffix = request_id.rpartition(".")
        if not prefix or not suffix:
            return None
        running = self.parents.get(prefix)
        return running[-1] if running else None
