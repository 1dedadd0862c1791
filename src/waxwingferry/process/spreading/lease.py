"""This node's row in the table, and reading the rows of the others.

The row is written with a condition on the version that this process wrote
last. A renewal that finds another incarnation's row means that a later process
has the node's name: this process was paused, or its VM was replaced, and it
steps aside. Only at its start does a process write over another's row.
"""

from collections.abc import Callable
import random
import time

import anyio
import msgspec
import structlog

from waxwingferry.process import platform
from waxwingferry.process.spreading import members

RENEW_INTERVAL_S = 60.0
READ_INTERVAL_S = 30.0
JITTER = 0.2
# 110 nodes that return at once write within this time, so that the platform
# sees some tens of writes/s from them.
STARTUP_WRITE_JITTER_S = 3.0
BACKOFF_MIN_S = 0.5
BACKOFF_MAX_S = 15.0
# A flapping target can't make its node write more than this.
WRITE_BURST = 5
WRITES_PER_S = 0.2
# Two live processes of one name that the table can't tell apart while it is
# down stop outranking each other after this.
MAX_NAME_CONFLICTS = 5

log = structlog.get_logger()


class Lease:
    """Writes and renews this node's row.

    Args:
        table: The platform's table.
        membership: The known members, with the own row.
        rng: Source of jitter.
        clock: Monotonic time in seconds.
        wall_clock: Seconds since the epoch, for the generation.
        sleep: Waits for a number of seconds.
        on_superseded: Called when a later process has the node's name.
    """

    def __init__(
        self,
        table: platform.Table,
        membership: members.Membership,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        sleep: Callable = anyio.sleep,
        on_superseded: Callable[[], None] = lambda: None,
    ):
        self.table = table
        self.membership = membership
        self.rng = rng
        self.clock = clock
        self.sleep = sleep
        self.on_superseded = on_superseded
        self.generation = int(wall_clock() * 1000)
        self.version = 0
        self.confirmed = False
        self.superseded = False
        self.name_conflicts = 0
        self.written_row: members.MemberRow | None = None
        self.row_written = anyio.Event()
        self.renewed_s = clock()
        self.scanned_version = 0
        self.initial_rows: dict[str, platform.Row] | None = None
        self.tokens = float(WRITE_BURST)
        self.tokens_s = clock()
        self.writes = 0

    @property
    def key(self) -> str:
        """Key of the node's row."""
        return members.PREFIX + self.membership.node

    def is_current(self) -> bool:
        """Tells whether the row was renewed within the lease's time."""
        return self.clock() - self.renewed_s <= members.LEASE_TTL_S

    def raise_generation(self, generation: int) -> None:
        """Raises the own generation above one that was seen."""
        if generation < self.generation:
            return
        self.generation = generation + 1
        own = self.membership.own
        if own is not None:
            self.membership.announce(
                msgspec.structs.replace(own, generation=self.generation)
            )

    def resolve_name_conflict(self, row: members.MemberRow) -> None:
        """Decides who wins when another row has this node's name.

        A process that wrote its row over all others in the table knows that
        a higher generation started later. Before that, the row may be its
        predecessor's, taken from a clock that was ahead.
        """
        if self.confirmed:
            self._mark_superseded(row.incarnation)
        elif self.name_conflicts < MAX_NAME_CONFLICTS:
            self.name_conflicts += 1
            self.raise_generation(row.generation)

    def _mark_superseded(self, other_incarnation: str) -> None:
        if self.superseded:
            return
        self.superseded = True
        log.error(
            "another process has this node's name",
            node=self.membership.node,
            rival=other_incarnation,
        )
        self.on_superseded()

    async def run(self) -> None:
        """Writes the row on change and before its lease ends."""
        await self.sleep(self.rng.uniform(0, STARTUP_WRITE_JITTER_S))
        while not self.superseded:
            await self._write_until_done()
            wait_s = RENEW_INTERVAL_S * self.rng.uniform(1 - JITTER, 1)
            with anyio.move_on_after(wait_s):
                await self.membership.own_changed.wait()

    async def _write_until_done(self) -> None:
        delay_s = BACKOFF_MIN_S
        while not self.superseded:
            self.membership.own_changed = anyio.Event()
            if self.membership.own is None:
                return
            await self._acquire_write_token()
            try:
                await self.write_once()
                return
            except platform.PlatformError as error:
                log.warning("member row not written", error=str(error))
            await self.sleep(delay_s * self.rng.uniform(0.5, 1.5))
            delay_s = min(delay_s * 2, BACKOFF_MAX_S)

    async def _acquire_write_token(self) -> None:
        """Waits until the node may write again."""
        now_s = self.clock()
        gained = (now_s - self.tokens_s) * WRITES_PER_S
        self.tokens = min(self.tokens + gained, WRITE_BURST)
        self.tokens_s = now_s
        if self.tokens < 1:
            wait_s = (1 - self.tokens) / WRITES_PER_S
            await self.sleep(wait_s)
            self.tokens += wait_s * WRITES_PER_S
            self.tokens_s = self.clock()
        self.tokens -= 1
        assert -0.001 <= self.tokens <= WRITE_BURST

    async def write_once(self) -> None:
        """Writes or renews the row.

        Raises:
            platform.PlatformError: The table gave no usable answer.
        """
        if not self.confirmed:
            await self._read_predecessor()
        row = self.membership.own
        assert row is not None
        self.writes += 1
        started_s = self.clock()
        write = platform.Write(self.key, members.format_row(row), self.version)
        try:
            versions = await self.table.transact([write])
            self.version = versions[0]
        except platform.ConflictError as error:
            if not self._handle_write_conflict(error.row):
                return
        self.confirmed = True
        self.written_row = row
        # Counted from before the write, because the answer may come late.
        self.renewed_s = started_s
        self.row_written.set()
        self.row_written = anyio.Event()

    async def wait_written(self, row: members.MemberRow) -> None:
        """Returns once the table holds a row, or a newer one of this node."""
        while self.written_row is None or self.written_row.order < row.order:
            await self.row_written.wait()

    async def _read_predecessor(self) -> None:
        if self.initial_rows is not None and not self.name_conflicts:
            # The rows were read at the start; a change since then shows in
            # the write's condition.
            row: platform.Row | None = self.initial_rows.get(self.key)
            self.initial_rows = None
        else:
            row = await self.table.read(self.key)
        if row is None or row.value is None:
            self.version = 0
            return
        self.version = row.version
        try:
            old = members.parse_row(self.membership.node, row.value)
        except members.RowError:
            return
        if old.incarnation != self._incarnation():
            self.raise_generation(old.generation)

    def _handle_write_conflict(self, row: platform.Row | None) -> bool:
        """Handles a row that is not as this process left it.

        Returns:
            Whether the row is this process's own, from a write whose answer
            was lost.
        """
        if row is None or row.value is None:
            # Somebody removed it; the next write inserts it again.
            self.version = 0
            raise platform.PlatformError("the member row was removed")
        if row.value.get("incarnation") == self._incarnation():
            self.version = row.version
            own = self.membership.own
            if own is not None and row.value == members.format_row(own):
                return True
            raise platform.PlatformError("the member row has an older change")
        if self.confirmed:
            self._mark_superseded(str(row.value.get("incarnation")))
            return False
        raise platform.PlatformError("another process wrote the member row")

    def _incarnation(self) -> str:
        assert self.membership.own is not None
        return self.membership.own.incarnation

    async def read_rows(self) -> None:
        """Takes the rows that changed since the last read.

        Raises:
            platform.PlatformError: The table could not be read.
        """
        rows = await self.table.scan(members.PREFIX, self.scanned_version)
        expired = self.membership.age_leases()
        if not self.confirmed:
            self.initial_rows = {row.key: row for row in rows}
        for row in rows:
            self.scanned_version = max(self.scanned_version, row.version)
            if row.value is not None:
                self._apply_row(row)
        for record in expired:
            await self._remove_expired(record)

    def _apply_row(self, row: platform.Row) -> None:
        try:
            node = row.key.removeprefix(members.PREFIX)
            parsed = members.parse_row(node, row.value)
        except members.RowError as error:
            log.error("member row malformed", key=row.key, error=str(error))
            return
        self.membership.apply_renewed(parsed, row.version)

    async def _remove_expired(self, record: members.Record) -> None:
        """Removes the row of a VM that is gone; one node in all does so."""
        others = len(self.membership.records)
        if record.version == 0 or self.rng.random() * others > 1:
            return
        key = members.PREFIX + record.row.node
        try:
            await self.table.transact(
                [platform.Write(key, None, record.version)]
            )
        except platform.ConflictError:
            log.info("member came back", node=record.row.node)
