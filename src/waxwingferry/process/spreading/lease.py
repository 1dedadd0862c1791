"""Lease of this node, and reading the rows of other nodes from the table.

The lease is the node's row in the table. Each write is conditional on the
version that this process wrote last. If a renewal finds the row of another
incarnation, a later process uses the node's name, because this process was
paused or its VM was replaced. This process is then superseded and stops. A
process overwrites the row of another one only when it starts, or when the table
was restored from a copy that has the row of an earlier process.
"""

from collections.abc import Callable
import random
import time

import anyio
import msgspec
import structlog

from waxwingferry import invariants
from waxwingferry.process import platform
from waxwingferry.process.spreading import members

RENEW_INTERVAL_S = 60.0
READ_INTERVAL_S = 30.0
# Random variation of intervals, as a share of them.
JITTER = 0.2
# First writes are delayed by up to this time, so that 110 nodes that start
# together cause only some tens of writes/s at the platform.
STARTUP_WRITE_JITTER_S = 3.0
# Rows are written again within this time after a restore of the table, so that
# 660 nodes stay below the writes/s that the platform sustains.
RESTORE_WRITE_JITTER_S = 5.0
BACKOFF_MIN_S = 0.5
BACKOFF_MAX_S = 15.0
# Newer rows of one read that other nodes are told of. Nodes that start
# together, or that the table comes back for, read many and need not be told.
MAX_FORWARDED_ROWS = 8
# Rate limit of the writes that a flapping target causes.
WRITE_BURST = 5
WRITES_PER_S = 0.2
# Two live processes with the same node name raise their generations above each
# other while the table is down. This bounds the number of rounds.
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
        on_superseded: Called when a later process uses the node's name.

    Attributes:
        malformed_rows: Number of malformed member rows read.
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
        # Whether the row may be lost since the newest restore of the table.
        self.may_be_lost = False
        self.name_conflicts = 0
        self.written_row: members.MemberRow | None = None
        self.row_written = anyio.Event()
        self.renewed_s = clock()
        self.scanned_version = 0
        self.initial_rows: dict[str, platform.Row] | None = None
        self.tokens = float(WRITE_BURST)
        self.tokens_s = clock()
        self.writes = 0
        self.malformed_rows = 0

    @property
    def key(self) -> str:
        """Key of the node's row in the table."""
        return members.PREFIX + self.membership.node

    def is_current(self) -> bool:
        """Returns whether the lease has not expired."""
        return self.clock() - self.renewed_s <= members.LEASE_TTL_S

    def raise_generation(self, generation: int) -> None:
        """Raises the own generation above that of another row."""
        if generation < self.generation:
            return
        # The other nodes reject a row with a higher generation.
        self.generation = min(generation + 1, members.MAX_GENERATION)
        own = self.membership.own
        if own is not None:
            self.membership.announce(
                msgspec.structs.replace(own, generation=self.generation)
            )

    def resolve_name_conflict(self, row: members.MemberRow) -> None:
        """Resolves a conflict with another process's row of this node.

        Once this process has written its row to the table, a row with a
        higher generation belongs to a process that started later. Before
        that, the row may belong to a predecessor whose clock was ahead.
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
        """Writes the row when it changes and before its lease expires."""
        await self._delay_first_write()
        while not self.superseded:
            await self._write_until_done()
            wait_s = RENEW_INTERVAL_S * self.rng.uniform(1 - JITTER, 1)
            with anyio.move_on_after(wait_s):
                await self.membership.own_changed.wait()
            if self.may_be_lost:
                await self._delay_write()

    async def _delay_first_write(self) -> None:
        """Spreads the first writes of nodes that start together.

        A leave is not delayed, because the target waits for its confirmation.
        """
        delayed = True
        async with anyio.create_task_group() as group:

            async def wait() -> None:
                nonlocal delayed
                await self.sleep(self.rng.uniform(0, STARTUP_WRITE_JITTER_S))
                delayed = False
                group.cancel_scope.cancel()

            group.start_soon(wait)
            while delayed:
                self.membership.own_changed = anyio.Event()
                own = self.membership.own
                if own is not None and own.state != "ready":
                    group.cancel_scope.cancel()
                    return
                await self.membership.own_changed.wait()

    def handle_restore(self) -> None:
        """Checks the row, as the table was restored from an older copy."""
        self.written_row = None
        if self.may_be_lost:
            # The check after an earlier restore is still due, and spread.
            return
        self.may_be_lost = True
        self.membership.own_changed.set()

    async def _delay_write(self) -> None:
        """Spreads the writes of all nodes; a leave is not delayed."""
        own = self.membership.own
        if own is None or own.state != "ready":
            return
        self.membership.own_changed = anyio.Event()
        async with anyio.create_task_group() as group:

            async def wait() -> None:
                await self.sleep(self.rng.uniform(0, RESTORE_WRITE_JITTER_S))
                group.cancel_scope.cancel()

            group.start_soon(wait)
            await self.membership.own_changed.wait()
            group.cancel_scope.cancel()

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
        """Waits until the rate limit allows another write."""
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
        invariants.require(
            -0.001 <= self.tokens <= WRITE_BURST, "member_row_writes"
        )

    async def write_once(self) -> None:
        """Writes or renews the row.

        Raises:
            platform.PlatformError: The write failed or its result is unknown.
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
        self.may_be_lost = False
        self.written_row = row
        # Measured from before the write, because the response may be late.
        self.renewed_s = started_s
        self.row_written.set()
        self.row_written = anyio.Event()

    async def wait_announced(self) -> members.MemberRow:
        """Returns the row of this node once it has one."""
        while self.membership.own is None:
            # Each write comes after an announcement.
            await self.row_written.wait()
        return self.membership.own

    async def wait_written(self, row: members.MemberRow) -> None:
        """Returns once the table has the row or a newer one of this node."""
        while self.written_row is None or self.written_row.order < row.order:
            await self.row_written.wait()

    async def _read_predecessor(self) -> None:
        if self.initial_rows is not None and not self.name_conflicts:
            # The rows were read at the start. If the own row has changed since
            # then, the conditional write fails.
            row: platform.Row | None = self.initial_rows.get(self.key)
            self.initial_rows = None
        else:
            row = await self.table.read(self.key)
        if row is None or _is_deleted(row):
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
        """Handles a row that changed since this process last wrote it.

        Returns:
            Whether this process wrote the row, in a write whose response was
            lost.

        Raises:
            platform.PlatformError: The row has to be written again.
        """
        if row is None or _is_deleted(row):
            # The next write inserts the row again.
            self.version = 0
            raise platform.PlatformError("the member row was removed")
        try:
            other = members.parse_row(self.membership.node, row.value)
        except members.RowError as error:
            # No process of this node wrote it, so the next write replaces it.
            self.version = row.version
            raise platform.PlatformError(
                f"the member row was overwritten: {error}"
            ) from error
        if other.incarnation == self._incarnation():
            self.version = row.version
            own = self.membership.own
            if own is not None and row.value == members.format_row(own):
                return True
            raise platform.PlatformError(
                "the member row has an older change number"
            )
        if self.confirmed and other.generation < self.generation:
            # A restore of the table brought it back.
            self.version = row.version
            raise platform.PlatformError(
                "the member row is of an earlier process"
            )
        if self.confirmed:
            self._mark_superseded(other.incarnation)
            return False
        raise platform.PlatformError("another process wrote the member row")

    def _incarnation(self) -> str:
        assert self.membership.own is not None
        return self.membership.own.incarnation

    async def read_rows(self) -> None:
        """Applies the rows that changed since the last read.

        Raises:
            platform.PlatformError: The table could not be read.
        """
        rows = await self.table.scan(members.PREFIX, self.scanned_version)
        expired = self.membership.age_leases()
        if not self.confirmed:
            self.initial_rows = {row.key: row for row in rows}
        self._apply_rows(rows)
        for record in expired:
            await self._remove_expired(record)

    def _apply_rows(self, rows: list[platform.Row]) -> None:
        """Applies rows of the table; other nodes are told of a few newer ones.

        If there are many, the other nodes read them as well. They are told of
        this node only, which those that were just found may not know.
        """
        parsed_rows = []
        for row in rows:
            self.scanned_version = max(self.scanned_version, row.version)
            parsed = self._parse_row(row)
            if parsed is not None:
                parsed_rows.append((parsed, row.version))
        newer = [row for row, _ in parsed_rows if self.membership.is_newer(row)]
        forward = len(newer) <= MAX_FORWARDED_ROWS
        for parsed, version in parsed_rows:
            self.membership.apply_renewed(parsed, version, forward)
        if not forward and self.membership.own is not None:
            self.membership.on_newer_row(self.membership.own)

    def _parse_row(self, row: platform.Row) -> members.MemberRow | None:
        """Returns the member row in a row of the table, or None."""
        if row.value is None:
            return None
        try:
            node = row.key.removeprefix(members.PREFIX)
            return members.parse_row(node, row.value)
        except members.RowError as error:
            self.malformed_rows += 1
            log.error("member row malformed", key=row.key, error=str(error))
            return None

    async def _remove_expired(self, record: members.Record) -> None:
        """Removes the expired row of a VM that is gone.

        The decision is random, so that about one of all nodes removes it.
        """
        others = len(self.membership.records)
        if record.version == 0 or self.rng.random() * others > 1:
            return
        key = members.PREFIX + record.row.node
        try:
            await self.table.transact(
                [platform.Write(key, None, record.version)]
            )
        except platform.ConflictError:
            log.info("expired member has returned", node=record.row.node)


def _is_deleted(row: platform.Row) -> bool:
    return row.value is None and not row.malformed
