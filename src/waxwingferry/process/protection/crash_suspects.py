"""Tracks requests that were in flight when targets ended.

A target that ends while it runs several requests doesn't tell which of them
was the cause, so that each is blamed. A request that is blamed for an earlier
end is the likely cause of a further one, and the others there are only
witnesses. A request that a target answers completely is cleared of all. A
request that was in flight at several ends and at no complete answer since is
quarantined: no node passes it on to a target.

Nodes exchange reports of suspects. Merging them only ever adds ends and closes
them, so that the order of reports does not matter and nodes that pass on what
is new to them fall silent. Requests are identified by their fingerprints.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import time

import anyio
import structlog

# Ends of targets after which a request is passed on to no further one: ends
# that it is blamed for, and all ends at which it was in flight. A single end
# may have had another cause than the requests in flight.
MAX_BLAMED_ENDS = 2
MAX_WITNESSED_ENDS = 3
# Targets that end within this time of each other have a cause in common, such
# as a failure domain that loses power. Only one of their ends is recorded.
SIMULTANEOUS_S = 0.01
# Time after its latest end at which a suspect is forgotten.
SUSPECT_LIFETIME_S = 60.0
# Older ends are not taken from other nodes, so that two nodes whose times of an
# end differ by the delay of a datagram don't remind each other for ever.
REPORT_LIFETIME_S = 50.0
# Bounds of the memory.
MAX_SUSPECTS = 2048
MAX_ENDS = 4
# Among too many ends, a closed one makes room for one that is at least this
# much later. Nodes whose times of an end differ by the delay of a datagram then
# keep the same ones.
REPLACEMENT_AGE_S = 5.0

log = structlog.get_logger()


@dataclasses.dataclass(slots=True, frozen=True)
class End:
    """The end of a target while a request was in flight.

    Attributes:
        target: Hash of the target's incarnation.
        at_s: Monotonic time.
        blamed: Whether the request is blamed for it.
        closed: Whether the request was answered completely since.
    """

    target: int
    at_s: float
    blamed: bool
    closed: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """What a node knows about one request.

    Attributes:
        fingerprint: Fingerprint of the request.
        ends: Ends of targets while it was in flight.
    """

    fingerprint: int
    ends: tuple[End, ...]


def _ignore_change(reports: list[Report]) -> None:
    pass


class CrashSuspects:
    """The requests that are suspected of ending targets.

    Args:
        clock: Returns the monotonic time in seconds.

    Attributes:
        suspects: Ends by the hash of the target's incarnation, by fingerprint
            of the request; the latest changed request is last.
        on_change: Called with what other nodes should know.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.suspects: dict[int, dict[int, End]] = {}
        self.on_change: Callable[[list[Report]], None] = _ignore_change

    def record_end(self, end: int, fingerprints: Iterable[int]) -> set[int]:
        """Records the end of a target.

        Args:
            end: Hash of the target's incarnation.
            fingerprints: Requests in flight when it ended.

        Returns:
            The requests that are blamed for it.
        """
        self._expire()
        # If datagrams are lost or too many, the first matter most.
        in_flight = sorted(
            set(fingerprints), key=self._count_open_ends, reverse=True
        )
        earlier = {item for item in in_flight if self.find_blamed_ends(item)}
        blamed = earlier or set(in_flight)
        now_s = self.clock()
        reports = [
            Report(item, (End(end, now_s, item in blamed),))
            for item in in_flight
        ]
        self.on_change(self._make_reports(self._merge(reports)))
        return blamed

    def record_completion(self, fingerprint: int) -> None:
        """Clears a request that a target has answered completely."""
        closed = tuple(
            dataclasses.replace(end, closed=True)
            for end in self._list_open_ends(fingerprint)
        )
        if closed:
            changed = self._merge([Report(fingerprint, closed)])
            self.on_change(self._make_reports(changed))

    def merge(self, reports: Iterable[Report]) -> None:
        """Merges reports of another node, and passes on what is new."""
        self._expire()
        self.on_change(self._make_reports(self._merge(reports)))

    def find_blamed_ends(self, fingerprint: int) -> set[int]:
        """Returns the targets whose ends a request is blamed for."""
        return {
            end.target
            for end in self._list_open_ends(fingerprint)
            if end.blamed
        }

    def is_quarantined(self, fingerprint: int) -> bool:
        """Returns whether a request must not be passed on to a target."""
        open_ends = self._list_open_ends(fingerprint)
        blamed = sum(end.blamed for end in open_ends)
        return blamed >= MAX_BLAMED_ENDS or len(open_ends) >= MAX_WITNESSED_ENDS

    def list_most_suspected(self, count: int) -> list[Report]:
        """Returns the suspects with most ends, the latest changed first."""
        self._expire()
        latest_first = reversed(self.suspects)
        # Sorting keeps the order of suspects with as many ends.
        return self._make_reports(
            sorted(latest_first, key=self._count_open_ends, reverse=True)[
                :count
            ]
        )

    def _count_open_ends(self, fingerprint: int) -> int:
        return len(self._list_open_ends(fingerprint))

    def _list_open_ends(self, fingerprint: int) -> list[End]:
        ends = self.suspects.get(fingerprint)
        if ends is None or _find_latest_s(ends) <= self._find_oldest_s():
            return []
        return [end for end in ends.values() if not end.closed]

    def _make_reports(self, fingerprints: Iterable[int]) -> list[Report]:
        return [
            Report(fingerprint, tuple(ends.values()))
            for fingerprint in fingerprints
            if (ends := self.suspects.get(fingerprint)) is not None
        ]

    def _merge(self, reports: Iterable[Report]) -> list[int]:
        """Merges reports; returns the fingerprints with something new."""
        changed = [
            report.fingerprint for report in reports if self._merge_one(report)
        ]
        while len(self.suspects) > MAX_SUSPECTS:
            del self.suspects[next(iter(self.suspects))]
        return changed

    def _merge_one(self, report: Report) -> bool:
        fingerprint = report.fingerprint
        was_quarantined = self.is_quarantined(fingerprint)
        old = self.suspects.get(fingerprint, {})
        ends = dict(old)
        oldest_s = self.clock() - REPORT_LIFETIME_S
        for end in report.ends:
            known = ends.get(end.target) or _find_simultaneous(ends, end.at_s)
            if known is not None:
                ends[known.target] = dataclasses.replace(
                    known,
                    blamed=known.blamed or end.blamed,
                    closed=known.closed or end.closed,
                )
            elif end.at_s > oldest_s and _make_room(ends, end.at_s):
                ends[end.target] = end
        if ends == old:
            return False
        self.suspects.pop(fingerprint, None)
        self.suspects[fingerprint] = ends
        if self.is_quarantined(fingerprint) != was_quarantined:
            log.warning(
                "request no longer quarantined"
                if was_quarantined
                else "request quarantined",
                fingerprint=f"{fingerprint:016x}",
            )
        return True

    def _find_oldest_s(self) -> float:
        return self.clock() - SUSPECT_LIFETIME_S

    def _expire(self) -> None:
        """Forgets requests without a recent end."""
        oldest_s = self._find_oldest_s()
        # The latest changed are last.
        while self.suspects:
            fingerprint, ends = next(iter(self.suspects.items()))
            if _find_latest_s(ends) > oldest_s:
                return
            del self.suspects[fingerprint]


class Separator:
    """Keeps requests that are blamed for the same end apart at a target.

    At a further end, the one of them that is in flight is then the cause, and
    the others are not suspected again.

    Attributes:
        ends: Ends that requests admitted here are blamed for.
        changed: Set when a request leaves.
    """

    def __init__(self):
        self.ends: set[int] = set()
        self.changed = anyio.Event()

    def try_enter(self, ends: set[int]) -> bool:
        """Admits a request unless it must wait.

        Args:
            ends: Ends that the request is blamed for.
        """
        if not self.ends.isdisjoint(ends):
            return False
        self.ends |= ends
        return True

    def leave(self, ends: set[int]) -> None:
        """Ends the stay of an admitted request."""
        if ends:
            self.ends -= ends
            self.changed.set()
            self.changed = anyio.Event()


def _find_simultaneous(ends: dict[int, End], at_s: float) -> End | None:
    for end in ends.values():
        if abs(end.at_s - at_s) <= SIMULTANEOUS_S:
            return end
    return None


def _make_room(ends: dict[int, End], at_s: float) -> bool:
    """Removes a closed end if there are too many; returns if there is room.

    Open ends are kept: as many as the maximum quarantine the request.
    """
    if len(ends) < MAX_ENDS:
        return True
    closed = [end for end in ends.values() if end.closed]
    oldest = min(closed, key=lambda end: end.at_s, default=None)
    if oldest is None or at_s - oldest.at_s < REPLACEMENT_AGE_S:
        return False
    del ends[oldest.target]
    return True


def _find_latest_s(ends: dict[int, End]) -> float:
    return max(end.at_s for end in ends.values())
