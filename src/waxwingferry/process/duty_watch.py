"""When the candidate for a duty reads its row, and whether it takes over."""

from collections.abc import Callable
import random

from waxwingferry.process import duty_rows

# A candidate waits for a random time, so that fewer nodes read the row while
# the members that they know still differ.
SETTLE_S = (0.2, 1.0)
# Minimum interval between reads of a candidate. A call to the table is
# expensive.
READ_INTERVAL_S = 5.0
# Intervals are longer by up to this share.
JITTER = 0.2


class Watch:
    """What a candidate knows of the holder of a duty.

    Args:
        is_holder_live: Tells whether the process of a node is a live member.
        stale_after_s: Time after which a row that does not change shows that
            its holder does not act.
        clock: Seconds, with the time of a suspension.
        rng: Source of jitter.

    Attributes:
        version: Version of the row as last read, or None if not known.
        since_s: Clock reading after the first read of that version.
        read_due_s: Earliest time of the next read.
        displaced_by: The process that took the duty over from this one or
            before this one, or None.
    """

    def __init__(
        self,
        is_holder_live: Callable[[str, str], bool],
        stale_after_s: float,
        clock: Callable[[], float],
        rng: random.Random,
    ):
        self.is_holder_live = is_holder_live
        self.stale_after_s = stale_after_s
        self.clock = clock
        self.rng = rng
        self.version: int | None = None
        self.since_s = clock()
        self.read_due_s = clock()
        self.displaced_by: tuple[str, str] | None = None

    def start(self) -> None:
        """Begins to watch the row, because this node became the candidate."""
        settled_s = self.clock() + self.rng.uniform(*SETTLE_S)
        self.read_due_s = max(self.read_due_s, settled_s)
        self.version = None

    def add_jitter(self, delay_s: float) -> float:
        """Returns a delay that is longer by a random share."""
        return delay_s * self.rng.uniform(1, 1 + JITTER)

    def schedule_read(self) -> None:
        """Sets the earliest time of the next read."""
        self.read_due_s = self.clock() + self.add_jitter(READ_INTERVAL_S)

    def is_read_due(self, row: duty_rows.DutyRow | None) -> bool:
        """Returns whether the row is to be read now.

        While the holder is live, only a row that does not change matters, and
        two reads that are stale_after_s apart show it.

        Args:
            row: The row as last read, or None if it was missing.
        """
        due_s = self.read_due_s
        if row and self.version is not None and self.is_trusted_live(row):
            due_s += max(self.stale_after_s - READ_INTERVAL_S, 0)
        return self.clock() >= due_s

    def record_failed_read(self) -> None:
        """Records that the table did not answer.

        The holder could not change the row either, so that time does not show
        that the holder does not act.
        """
        self.version = None

    def record_version(self, version: int, read_began_s: float) -> bool:
        """Returns whether the row was not changed for stale_after_s.

        Args:
            version: Version that was read, or 0.
            read_began_s: Time at which the read began.
        """
        if version != self.version:
            self.version = version
            self.since_s = self.clock()
            return False
        return read_began_s - self.since_s >= self.stale_after_s

    def record_conflict(
        self, row: duty_rows.DutyRow | None, known_token: int
    ) -> None:
        """Records the process that took over before this one.

        Args:
            row: The row that a write found, or None.
            known_token: Highest token that was known before.
        """
        if row is not None and row.token > known_token:
            self.displaced_by = row.process

    def is_trusted_live(self, row: duty_rows.DutyRow) -> bool:
        """Returns whether the holder counts as live.

        A process that took the duty from this one was live after that,
        whatever the membership of this node shows. Otherwise two nodes that
        each take the other for ended would take the duty from each other again
        and again, and none would act. Such a holder counts as ended if its row
        does not change, or once the membership has shown it alive and then
        ended.
        """
        process = (row.holder, row.incarnation)
        live = self.is_holder_live(*process)
        if live and self.displaced_by == process:
            self.displaced_by = None
        return live or self.displaced_by == process
