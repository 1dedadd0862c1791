"""Records of the runs at this node's target, kept on the boot clock."""

import array
import bisect
from collections.abc import Callable
import dataclasses

import structlog

from waxwingferry import boot_clock
from waxwingferry.process.usage import windows

# Covers the questions of a holder that takes over after an outage. Long windows
# need more, see find_retention_s.
RETENTION_S = 60.0
RETENTION_WINDOWS = 3
# Bounds memory: 12 bytes each. A target runs far fewer requests in a minute.
MAX_RECORDS = 100_000
# Old records are removed in blocks, since it moves the others.
TRIM_BLOCK = 1024
# Resolution of the ages that are handed over, in milliseconds.
HAND_OVER_STEP_MS = 20
_REMOVED = -1

log = structlog.get_logger()


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """Runs that began at one time, by workspace.

    Attributes:
        began_s: Boot clock of this machine.
    """

    began_s: float
    counts: windows.Counts


def find_retention_s(window_s: float, late_s: float) -> float:
    """Returns the time for which records are kept.

    Args:
        window_s: Length of a window.
        late_s: Time after a window's end at which its report is late.
    """
    return max(RETENTION_S, RETENTION_WINDOWS * window_s + late_s)


class Records:
    """The runs that began at the local target, in order of time.

    Times and workspaces are kept in arrays, because one object for each run
    would take ten times the memory.

    Args:
        clock: Returns the boot clock in seconds.
        max_records: Number of records kept; the oldest ones are dropped.
        retention_s: Time for which records are kept.

    Attributes:
        first_handle: Handle of the oldest record kept.
    """

    def __init__(
        self,
        clock: Callable[[], float] = boot_clock.read_s,
        max_records: int = MAX_RECORDS,
        retention_s: float = RETENTION_S,
    ):
        self.clock = clock
        self.retention_s = retention_s
        self.max_records = max_records
        self.times_s = array.array("d")
        self.name_indices = array.array("i")
        self.names: list[str] = []
        self.index_by_name: dict[str, int] = {}
        self.first_handle = 0

    def record(self, workspace: str) -> int | None:
        """Records that a run begins now.

        Returns:
            A handle to remove the record, or None if there is no record.
        """
        index = self.index_by_name.get(workspace)
        if index is None:
            index = self._add_name(workspace)
            if index is None:
                return None
        self.times_s.append(self.clock())
        self.name_indices.append(index)
        handle = self.first_handle + len(self.times_s) - 1
        self._trim()
        return handle

    def remove(self, handle: int) -> None:
        """Removes a record, because the run did not begin after all."""
        position = handle - self.first_handle
        if position >= 0:
            self.name_indices[position] = _REMOVED

    def count(self, from_age_s: float, to_age_s: float) -> windows.Counts:
        """Counts the runs that began between two ages, by workspace.

        Args:
            from_age_s: Age of the first time that is included.
            to_age_s: Age of the first time that is not included any more.
        """
        now_s = self.clock()
        first = bisect.bisect_left(self.times_s, now_s - from_age_s)
        last = bisect.bisect_left(self.times_s, now_s - to_age_s)
        counts: windows.Counts = {}
        for index in self.name_indices[first:last]:
            if index != _REMOVED:
                name = self.names[index]
                counts[name] = counts.get(name, 0) + 1
        return counts

    def list_runs(self, from_age_s: float) -> list[Run]:
        """Returns the newest runs, grouped by HAND_OVER_STEP_MS."""
        since_s = self.clock() - from_age_s
        first = bisect.bisect_left(self.times_s, since_s)
        step_s = HAND_OVER_STEP_MS / 1000
        groups: dict[int, windows.Counts] = {}
        for position in range(first, len(self.times_s)):
            index = self.name_indices[position]
            if index != _REMOVED:
                group = int((self.times_s[position] - since_s) / step_s)
                counts = groups.setdefault(group, {})
                name = self.names[index]
                counts[name] = counts.get(name, 0) + 1
        return [
            Run(since_s + (group + 0.5) * step_s, counts)
            for group, counts in groups.items()
        ]

    def _add_name(self, workspace: str) -> int | None:
        if len(self.names) >= windows.MAX_WORKSPACES:
            self._remove_unused_names()
        if (
            len(self.names) >= windows.MAX_WORKSPACES
            or len(workspace) > windows.MAX_NAME_CHARACTERS
        ):
            log.error("run not recorded", workspace=workspace[:50])
            return None
        self.names.append(workspace)
        index = self.index_by_name[workspace] = len(self.names) - 1
        return index

    def _remove_unused_names(self) -> None:
        """Removes the names without a record, such as of old workspaces."""
        self._drop(bisect.bisect_left(self.times_s, self._oldest_kept_s()))
        used = sorted(set(self.name_indices) - {_REMOVED})
        new_index = {old: new for new, old in enumerate(used)}
        new_index[_REMOVED] = _REMOVED
        self.names = [self.names[index] for index in used]
        self.index_by_name = {
            name: index for index, name in enumerate(self.names)
        }
        self.name_indices = array.array(
            "i", (new_index[index] for index in self.name_indices)
        )

    def _oldest_kept_s(self) -> float:
        return self.clock() - self.retention_s

    def _trim(self) -> None:
        if len(self.times_s) > self.max_records:
            log.warning("records of runs dropped", kept=self.max_records)
            self._drop(min(TRIM_BLOCK, len(self.times_s) // 2))
        elif (
            len(self.times_s) > TRIM_BLOCK
            and self.times_s[TRIM_BLOCK] < self._oldest_kept_s()
        ):
            self._drop(TRIM_BLOCK)

    def _drop(self, count: int) -> None:
        del self.times_s[:count]
        del self.name_indices[:count]
        self.first_handle += count
