"""Duties that one node at a time performs; see docs/design/duties.md.

A duty has one row in the platform's table, which names its holder and a fencing
token. Two intervals keep the actions of two holders apart:

- A holder acts only within a quarter of the lease after it began a conditional
  write that succeeded. Later takeovers were applied after that write.
- A node that took the duty over acts a whole lease after it learned that its
  write was applied, so at least three quarters of a lease after the last action
  of an earlier holder.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import copy
import dataclasses
import math
import random
from typing import Any

import anyio
import structlog

from waxwingferry import boot_clock
from waxwingferry.process import duty_rows
from waxwingferry.process import duty_watch
from waxwingferry.process import metrics
from waxwingferry.process import platform

# Share of the lease in which a holder may begin a call. The remaining three
# quarters separate the actions of two holders.
ACT_SHARE = 0.25
# Share of the lease after the time to act in which a call may arrive; the last
# quarter is for delays of the sender's timer and of the network.
ABORT_SHARE = 0.5
# Interval between checks of the membership, which call no other process.
CHECK_INTERVAL_S = 0.5
# Nodes that start together write their rows within 3 s and read those of others
# again 4 s after the start, so that few take themselves for the candidate. With
# 2 s, 37 of 79 nodes did. A holder that restarts has to act again within the
# time in which its calls are due (10 s for usage reports).
START_DELAY_S = 4.0
# Backoff of a holder whose write has not allowed it to act.
BACKOFF_MIN_S = 0.5
BACKOFF_MAX_S = 5.0
# Writes of one call of store: one whose response is lost, one that fails
# because the first was applied late, and one more.
WRITES_PER_STORE = 3
# Rows of one takeover: the one that was read and the one of a conflict.
ROWS_PER_TAKEOVER = 2

log = structlog.get_logger()


@dataclasses.dataclass(slots=True, frozen=True)
class Holding:
    """A duty that is held.

    Attributes:
        holder: Name of the node.
        token: Fencing token.
    """

    holder: str
    token: int


class Duty:
    """Takes one duty over when it is due, and stores its state.

    Args:
        name: Name of the duty.
        node: Name of this node.
        incarnation: Name of this process.
        table: The platform's table.
        is_candidate: Tells whether this node is the one to take over.
        is_holder_live: Tells whether the process of a node is a live member,
            given the node's name and the process's incarnation.
        lease_s: Time within which two holders must not act in turns.
        stale_after_s: Time after which a row that does not change shows that
            its holder does not act.
        clock: Seconds; it must count the time of a suspension.
        sleep: Waits for a number of seconds.
        rng: Source of jitter.
        restores: Returns the number of restores of the table, as far as its
            responses have shown.

    Attributes:
        state: State as last read or written by this process. It must not be
            changed.
        state_incomplete: Whether states that earlier holders stored may be
            missing from the state. What the state does not show is then
            unknown. The next successful store ends this.
        row: Content of the row as last read or written, or None.
        holding: What this process holds as far as it knows, or None.
        act_from_s: Clock reading from which the holder may act.
        act_until_s: Clock reading until which the holder may act.
        stopped: Whether this process stopped acting for good.
    """

    def __init__(
        self,
        name: str,
        node: str,
        incarnation: str,
        table: platform.Table,
        is_candidate: Callable[[], bool],
        is_holder_live: Callable[[str, str], bool],
        lease_s: float,
        stale_after_s: float,
        clock: Callable[[], float] = boot_clock.read_s,
        sleep: Callable[[float], Awaitable[Any]] = anyio.sleep,
        rng: random.Random | None = None,
        restores: Callable[[], int] = lambda: 0,
    ):
        self.name = name
        self.node = node
        self.incarnation = incarnation
        self.rows = duty_rows.Rows(name, table, clock)
        self.is_candidate = is_candidate
        self.lease_s = lease_s
        self.act_within_s = lease_s * ACT_SHARE
        self.clock = clock
        self.sleep = sleep
        self.rng = rng or random.Random()
        self.restores = restores
        self.watch = duty_watch.Watch(
            is_holder_live, stale_after_s, clock, self.rng
        )
        self.state: dict[str, Any] = {}
        self.state_incomplete = False
        self.row: duty_rows.DutyRow | None = None
        self.holding: Holding | None = None
        self.act_from_s = math.inf
        self.act_until_s = -math.inf
        self.stopped = False
        self.log = log.bind(duty=name)
        # Version of the row in the table as last read or written.
        self._version = 0
        self._highest_token = 0
        # Token of the newest holding of this process.
        self._own_token = 0
        # Begin of the oldest write without a known outcome, or None.
        self._pending_since_s: float | None = None
        self._last_write_s = -math.inf
        self._retry_at_s = -math.inf
        self._failures = 0
        # Reason why the holder has to write its row again, or "".
        self._rewrite_reason = ""
        self._was_candidate = False

    def holds(self) -> bool:
        """Returns whether this process believes that it is the holder."""
        return self.holding is not None

    @property
    def abort_at_s(self) -> float:
        """Clock reading by which a call that was begun must be given up.

        Its connection must be reset then, because a closed one still delivers
        what the system has buffered, also after a later holder has acted.
        """
        return self.act_until_s + self.lease_s * ABORT_SHARE

    def may_act(self) -> bool:
        """Returns whether an action may begin now.

        It must be asked immediately before each send, without a wait in
        between.
        """
        return self.holding is not None and self.clock() < self.act_until_s

    def stop(self) -> None:
        """Stops acting for good, because this node leaves."""
        self.stopped = True
        if self.holding is not None:
            self._end_holding(self.node, self._own_token, "node leaves")

    def update_gauges(self, counters: metrics.Metrics) -> None:
        """Updates the metrics of this duty."""
        labels = {"duty": self.name}
        counters.duty_token.set(labels, self.row.token if self.row else 0)
        counters.duty_held.set(labels, int(self.holds()))

    async def run(self) -> None:
        """Takes the duty over when it is due; runs until cancelled."""
        await self.sleep(self.watch.add_jitter(START_DELAY_S))
        while True:
            await self._check()
            await self.sleep(CHECK_INTERVAL_S)

    async def store(self, state: dict[str, Any]) -> Holding | None:
        """Writes the state, on the condition that the duty is still held.

        It waits for the end of the wait after a takeover, and for a backoff
        after a failure.

        Args:
            state: JSON object; it replaces the stored state.

        Returns:
            The holding if the write succeeded; the caller may act as long as
            may_act says so. None if this process does not hold the duty, or
            if it is not known whether the state was written; holds tells
            which. A state that was not confirmed may be written all the same.
        """
        held = self.holding
        if held is None or not await self._wait_until_due(held):
            return None
        state = copy.deepcopy(state)
        stored = False
        for _ in range(WRITES_PER_STORE):
            try:
                stored = await self._write_state(held, state) or stored
            except platform.PlatformError:
                # The table does not answer; both calls were logged.
                break
            if self.holding is not held:
                return None
            if stored and self.may_act():
                self._failures = 0
                return held
        self._back_off()
        return held if stored else None

    def _back_off(self) -> None:
        delay_s = min(BACKOFF_MIN_S * 2**self._failures, BACKOFF_MAX_S)
        # The bound keeps the power small during a long outage.
        self._failures = min(self._failures + 1, 10)
        self._retry_at_s = self.clock() + self.watch.add_jitter(delay_s)

    async def _wait_until_due(self, held: Holding) -> bool:
        """Waits until a write is due; returns whether the duty is held."""
        while self.holding is held:
            due_s = max(self.act_from_s, self._retry_at_s)
            # The clock is read again, because a sleep may end early and does
            # not tell for how long this process was suspended.
            remaining_s = due_s - self.clock()
            if remaining_s <= 0:
                return not self._is_before_restore(held)
            await self.sleep(min(remaining_s, CHECK_INTERVAL_S))
        return False

    def _get_era(self) -> int:
        return min(self.restores(), platform.MAX_ERA)

    def _is_before_restore(self, held: Holding) -> bool:
        """Ends a holding from before the newest restore; tells if it was."""
        if platform.get_era(held.token) >= self._get_era():
            return False
        self._begin_rewrite("table restored")
        return True

    async def _write_state(self, held: Holding, state: dict[str, Any]) -> bool:
        """Writes the state once; returns whether it is known to be stored.

        Raises:
            platform.PlatformError: Neither the write nor a read was answered.
        """
        began_s = self.clock()
        if self._pending_since_s is None:
            self._pending_since_s = began_s
        new_row = duty_rows.DutyRow(
            held.holder, self.incarnation, held.token, state
        )
        try:
            version = await self.rows.write(new_row, self._version)
        except platform.ConflictError as error:
            return self._apply_row(held, error.row, state)
        except platform.PlatformError:
            # The write may have been applied, or may be applied later.
            found = await self.rows.read()
            if found is None:
                raise
            return self._apply_row(held, found.row, state)
        if self.holding is not held or self._is_before_restore(held):
            return False
        self._confirm(new_row, version, began_s)
        return True

    def _apply_row(
        self, held: Holding, row: platform.Row | None, state: dict[str, Any]
    ) -> bool:
        """Applies a row that was read while a write is unresolved.

        Returns:
            Whether a write of this process with this state was applied.
        """
        if self.holding is not held:
            return False
        stored = duty_rows.interpret(row)
        content = stored.content
        if content is None:
            self._begin_rewrite(
                "row malformed" if stored.malformed else "row missing"
            )
            return False
        self._record_row(content)
        if content.token > held.token:
            self.watch.record_conflict(content, held.token)
            self._end_holding(content.holder, content.token, "taken over")
            return False
        if content.token < held.token or not self._is_own(content):
            self._begin_rewrite("table went back")
            return False
        if self._is_before_restore(held) or stored.version == self._version:
            # In the second case the write may still be applied. The next one
            # has the same condition, so at most one of them succeeds.
            return False
        # Only this process writes rows with its incarnation. None of its
        # writes with an earlier condition can be applied any more.
        began_s = self._pending_since_s or -math.inf
        self._confirm(content, stored.version, began_s)
        return content.state == state

    def _confirm(
        self, row: duty_rows.DutyRow, version: int, began_s: float
    ) -> None:
        """Records a write of this process that was applied.

        Args:
            row: The row that was written.
            version: Its version.
            began_s: Time before which the write can't have been applied.
        """
        self._version = version
        self._pending_since_s = None
        self._last_write_s = began_s
        self._record_row(row)
        self.state = row.state
        self.state_incomplete = row.incomplete
        self.act_until_s = max(self.act_until_s, began_s + self.act_within_s)

    def _record_row(self, row: duty_rows.DutyRow) -> None:
        self.row = row
        self._highest_token = max(self._highest_token, row.token)

    def _is_own(self, row: duty_rows.DutyRow) -> bool:
        return row.process == (self.node, self.incarnation)

    def _end_holding(self, holder: str, token: int, reason: str) -> None:
        """Stops acting; the holder and the token are those of the row."""
        self.log.warning("duty lost", holder=holder, token=token, reason=reason)
        self.holding = None
        self.act_from_s = math.inf
        self.act_until_s = -math.inf
        self._pending_since_s = None
        self.watch.schedule_read()

    def _begin_rewrite(self, reason: str) -> None:
        """Stops acting; the row is to be written with a new token.

        Another node may have held the duty before the table went back, so the
        wait after a takeover is needed here as well.
        """
        self._rewrite_reason = reason
        self._end_holding(self.node, self._own_token, reason)
        self.watch.read_due_s = self.clock()

    async def _check(self) -> None:
        """Takes the duty over if that is due."""
        if self.stopped:
            return
        held = self.holding
        if held is not None and not self._is_before_restore(held):
            return
        if self._rewrite_reason:
            if self.clock() >= self.watch.read_due_s:
                await self._read_and_decide()
            return
        was_candidate = self._was_candidate
        self._was_candidate = self.is_candidate()
        if not self._was_candidate:
            return
        if not was_candidate:
            self.watch.start()
        if self.watch.is_read_due(self.row):
            await self._read_and_decide()

    async def _read_and_decide(self) -> None:
        """Reads the row and takes over if the row calls for it."""
        found = await self.rows.read()
        self.watch.schedule_read()
        if found is None:
            self.watch.record_failed_read()
            return
        for _ in range(ROWS_PER_TAKEOVER):
            stored = duty_rows.interpret(found.row)
            reason = self._find_reason(stored, found.began_s)
            if self.stopped or not reason:
                return
            try:
                await self._take_over(stored, reason)
                return
            except platform.ConflictError as error:
                found = duty_rows.ReadRow(error.row, self.clock())
                self.watch.record_conflict(
                    duty_rows.interpret(error.row).content, self._highest_token
                )

    def _find_reason(
        self, stored: duty_rows.Stored, read_began_s: float
    ) -> str:
        """Returns why this node has to take over, or ""."""
        is_stale = self.watch.record_version(stored.version, read_began_s)
        content = stored.content
        self._highest_token = max(self._highest_token, stored.token_floor)
        if content is not None:
            self._record_row(content)
            if content.token > self._own_token and not self._is_own(content):
                self._rewrite_reason = ""  # Another node was faster.
        if self._rewrite_reason:
            return self._rewrite_reason
        if not self.is_candidate():
            return ""
        if content is None:
            return "row malformed" if stored.malformed else "row missing"
        if self._is_own(content):
            # A takeover that was applied late, or a row from before this
            # process lost the duty.
            return "own row without a holding"
        if not self.watch.is_trusted_live(content):
            return "holder not live"
        return "row not changed" if is_stale else ""

    def _make_takeover_row(
        self, old: duty_rows.DutyRow | None
    ) -> duty_rows.DutyRow:
        era = self._get_era()
        token = duty_rows.make_next_token(self._highest_token, era)
        if self._rewrite_reason:
            # Another holder acts no earlier than a lease after the last write
            # of this process, and no later than act_within_s after its row was
            # lost. Before that nobody can have stored and acted on a state
            # that this process does not know.
            elapsed_s = self.clock() - self._last_write_s
            state = self.state
            incomplete = (
                self.state_incomplete
                or elapsed_s + self.act_within_s >= self.lease_s
            )
        elif old is not None:
            went_back = (
                platform.get_era(old.token) < era
                or old.token < self._highest_token
            )
            state, incomplete = old.state, went_back or old.incomplete
        else:
            state, incomplete = {}, True
        return duty_rows.DutyRow(
            self.node, self.incarnation, token, state, incomplete
        )

    async def _take_over(self, stored: duty_rows.Stored, reason: str) -> None:
        """Takes the duty over with a conditional write.

        Raises:
            platform.ConflictError: The row has changed.
        """
        old = stored.content
        row = self._make_takeover_row(old)
        began_s = self.clock()
        try:
            version = await self.rows.write(row, stored.version)
        except platform.PlatformError:
            found = await self.rows.read()
            now_stored = duty_rows.interpret(found.row if found else None)
            content = now_stored.content
            if content is None or (content.process, content.token) != (
                row.process,
                row.token,
            ):
                # It may be applied later; then the next read finds it.
                return
            version = now_stored.version
        if self.stopped or platform.get_era(row.token) < self._get_era():
            # After a restore the next read finds the row that counts.
            return
        self._begin_holding(row, version, began_s)
        self.log.info(
            "duty taken over",
            holder=self.node,
            token=row.token,
            reason=reason,
            previous_holder=old.holder if old else "",
            incomplete=row.incomplete,
        )

    def _begin_holding(
        self, row: duty_rows.DutyRow, version: int, began_s: float
    ) -> None:
        self.holding = Holding(self.node, row.token)
        self._own_token = row.token
        self._rewrite_reason = ""
        self.watch.displaced_by = None
        self._failures = 0
        self._retry_at_s = -math.inf
        self._confirm(row, version, began_s)
        self.act_until_s = -math.inf
        self.act_from_s = self.clock() + self.lease_s
