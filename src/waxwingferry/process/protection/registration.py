"""Registration of the local target: heartbeats, incarnations, draining.

Each start of a target is a new incarnation. Heartbeats that arrive late, even
from an earlier incarnation, are ignored; see succession. An incarnation whose
draining was confirmed never takes work again: the state is stored in this
node's row of the table, where a later process of the node finds it. While the
table is unavailable, another node that knows the row takes its place.

All processes that know an unstored state may end. A later process therefore
takes the stored row only for a short time as proof that the target takes work;
after that the target must have reported it itself.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import anyio
import msgspec
import structlog

from waxwingferry.process import target
from waxwingferry.process.protection import stated_limit
from waxwingferry.process.protection import succession
from waxwingferry.process.spreading import lease
from waxwingferry.process.spreading import members
from waxwingferry.request import receive

# Targets repeat a heartbeat that is not confirmed within a second.
CONFIRM_WAIT_S = 0.65
# While the table is unavailable, draining is confirmed after it was announced
# to the other nodes by datagrams for this long, if one of them has the row.
CONFIRM_UNWRITTEN_S = 1.2
# Targets report every 1.5 s, or a second after a report that was not confirmed.
REPORT_WAIT_S = 2.0
# Sequence of the heartbeat that stands for the row of an earlier process.
RESTORED_SEQUENCE = -1

log = structlog.get_logger()


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """Heartbeat of a target.

    Attributes:
        target_id: Id of the target; several incarnations may share it.
        started_ms: Start time of the target, Unix time in milliseconds.
        sequence: Order of the heartbeats of one incarnation.
        warmup_left_s: Remaining warm-up time in seconds.
        announcement: Address, version, slots and state of the target.
    """

    target_id: str
    started_ms: int
    sequence: int
    warmup_left_s: float
    announcement: target.Announcement


class TargetRegistration:
    """Handles heartbeats and deregistration of the local target.

    Args:
        receiver: Receiver that owns the admission to the target.
        membership: The known members, with the predecessor of this process.
        node_lease: Lease of this node.
        publish_member: Publishes the changed member row of this node.
        is_row_known: Tells whether another node has a member row of this node,
            which a later process of this node would then learn.
        clock: Returns the monotonic time in seconds.

    Attributes:
        latest: The latest heartbeat, or None.
        is_loaded: Tells whether the state of an earlier process was loaded, if
            there was one.
        draining_since_s: Monotonic time of the first sign that an incarnation
            drains, by incarnation.
        early_deregistrations: Monotonic time of deregistrations that came
            before anything else was known of the target, by target id. That
            happens while a restarted process loads its state.
    """

    def __init__(
        self,
        receiver: receive.Receiver,
        membership: members.Membership,
        node_lease: lease.Lease,
        publish_member: Callable[[], None],
        is_row_known: Callable[[members.MemberRow], Awaitable[bool]],
        clock: Callable[[], float],
    ):
        self.receiver = receiver
        self.membership = membership
        self.node_lease = node_lease
        self.publish_member = publish_member
        self.is_row_known = is_row_known
        self.clock = clock
        self.latest: Heartbeat | None = None
        self.succession = succession.Succession()
        self.is_loaded: Callable[[], bool] = lambda: True
        self.draining_since_s: dict[str, float] = {}
        self.early_deregistrations: dict[str, float] = {}

    def restore_target(
        self,
        row: members.MemberRow,
        host: str,
        port: int,
        healthy: bool = True,
    ) -> None:
        """Restores the target of an earlier process of this node.

        Without this, the target would get no work until its next heartbeat.
        The row may be older than a leave that could not be stored, so a target
        that doesn't call itself healthy has to report first.

        Args:
            row: Member row of the earlier process.
            host: IP address that the target listens on.
            port: Port that the target listens on.
            healthy: Whether the target calls itself healthy now.
        """
        target_id, started_ms = target.split_incarnation(row.target)
        announcement = target.Announcement(
            row.service,
            row.version,
            row.slots,
            host,
            port,
            row.target,
            "draining" if row.state == "draining" else "ready",
        )
        self.latest = Heartbeat(
            target_id, started_ms, RESTORED_SEQUENCE, 0.0, announcement
        )
        self.succession.set_current(self.latest)
        announcement = self._apply_draining(target_id, announcement)
        self.receiver.unreported = not healthy
        log.info(
            "target restored from earlier process",
            target=row.target,
            state=announcement.state,
            healthy=healthy,
            row_state=row.state,
            row_generation=row.generation,
        )
        self._apply(announcement, 0.0)

    def require_report(self) -> None:
        """Gives a restored target no more work until it reports.

        Called REPORT_WAIT_S after the restore.
        """
        if self.latest is None or self.latest.sequence != RESTORED_SEQUENCE:
            return
        if self.receiver.unreported:
            return
        log.warning(
            "restored target has not reported",
            target=self.latest.announcement.incarnation,
            waited_s=REPORT_WAIT_S,
        )
        self.receiver.unreported = True
        assert self.receiver.admission is not None
        self.receiver.admission.advance()
        self.publish_member()

    def _record_report(self) -> None:
        """Lets a target that was waited for take work again."""
        if not self.receiver.unreported:
            return
        assert self.latest is not None
        log.info(
            "restored target has reported",
            target=self.latest.announcement.incarnation,
        )
        self.receiver.unreported = False
        self.publish_member()

    def apply_predecessor(self) -> None:
        """Applies what an earlier process stored to the latest heartbeat.

        Heartbeats may arrive before the rows of an earlier process are loaded.
        """
        if self.latest is None:
            return
        announcement = self._apply_draining(
            self.latest.target_id, self.latest.announcement
        )
        self._apply(announcement, 0.0)

    async def handle_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Handles a heartbeat; returns whether it is confirmed."""
        earlier = self.latest
        verdict = self.succession.judge(heartbeat, self.clock())
        if verdict is not succession.Verdict.CURRENT:
            log.info(
                "outdated heartbeat ignored"
                if verdict is succession.Verdict.OUTDATED
                else "heartbeat with an earlier start",
                target=heartbeat.target_id,
                born_ms=heartbeat.started_ms,
                sequence=heartbeat.sequence,
            )
            return verdict is succession.Verdict.OUTDATED
        if earlier is not None and heartbeat.started_ms < earlier.started_ms:
            self.receiver.counters.events.inc(
                {"event": "target_clock_set_back"}
            )
            log.warning(
                "target restarted with an earlier start time",
                target=heartbeat.target_id,
                born_ms=heartbeat.started_ms,
                earlier_born_ms=earlier.started_ms,
            )
        self.latest = heartbeat
        announcement = self._apply_draining(
            heartbeat.target_id, heartbeat.announcement
        )
        self._apply(announcement, heartbeat.warmup_left_s)
        self._record_report()
        return await self._confirm_draining(announcement.incarnation)

    def _apply_draining(
        self, target_id: str, announcement: target.Announcement
    ) -> target.Announcement:
        """Sets the state to draining if the incarnation has begun to drain."""
        incarnation = announcement.incarnation
        if target_id in self.early_deregistrations:
            self.draining_since_s.setdefault(
                incarnation, self.early_deregistrations.pop(target_id)
            )
        if announcement.state == "draining" or self._was_draining(incarnation):
            self.draining_since_s.setdefault(incarnation, self.clock())
        if incarnation not in self.draining_since_s:
            return announcement
        return msgspec.structs.replace(announcement, state="draining")

    def _was_draining(self, incarnation: str) -> bool:
        """Returns whether an earlier process announced it as draining."""
        return incarnation in self.membership.leaving_targets

    def _apply(
        self, announcement: target.Announcement, warmup_left_s: float
    ) -> None:
        changed = self.receiver.apply_announcement(announcement)
        admission = self.receiver.admission
        assert admission is not None
        if (
            isinstance(admission.limit, stated_limit.StatedLimit)
            and warmup_left_s > 0
        ):
            admission.limit.set_warmup_left(warmup_left_s)
        if changed:
            log.info(
                "target announced",
                target=announcement.incarnation,
                service=announcement.service,
                version=announcement.version,
                state=announcement.state,
                cold_s=warmup_left_s,
            )
            self.publish_member()

    async def handle_deregistration(self, target_id: str) -> bool:
        """Handles a deregistration; returns whether it is confirmed."""
        latest = self.latest
        if latest is None:
            log.info(
                "deregistration of a target not known yet", target=target_id
            )
            received_s = self.early_deregistrations.setdefault(
                target_id, self.clock()
            )
            # Nothing is stored until the incarnation is known, so a restart
            # would lose the deregistration.
            if self.clock() - received_s <= CONFIRM_UNWRITTEN_S:
                return False
            return self.is_loaded() and not self._is_predecessor(target_id)
        claimant = self.succession.find_claimant(self.clock())
        if claimant is not None and claimant.key[0] == target_id:
            # It takes effect for the incarnation that turns out to run.
            self.draining_since_s.setdefault(
                target.format_incarnation(*claimant.key), self.clock()
            )
        if latest.target_id != target_id:
            return claimant is None or claimant.key[0] != target_id
        incarnation = latest.announcement.incarnation
        self.draining_since_s.setdefault(incarnation, self.clock())
        self._apply(self._apply_draining(target_id, latest.announcement), 0.0)
        confirmed = await self._confirm_draining(incarnation)
        # Only the incarnation that is current is stored as draining.
        return confirmed and (claimant is None or claimant.key[0] != target_id)

    def _is_predecessor(self, target_id: str) -> bool:
        """Returns whether an earlier process of this node had the target."""
        earlier = self.membership.predecessor
        if earlier is None:
            return False
        return target.split_incarnation(earlier.target)[0] == target_id

    async def _confirm_draining(self, incarnation: str) -> bool:
        """Waits until draining, if any, would survive this process."""
        if incarnation not in self.draining_since_s:
            return True
        with anyio.move_on_after(CONFIRM_WAIT_S):
            # While the node joins, it has no row yet.
            await self.node_lease.wait_written(
                await self.node_lease.wait_announced()
            )
            return True
        row = self.membership.own
        if row is None:
            return False
        waited_s = self.clock() - self.draining_since_s[incarnation]
        log.warning(
            "draining not yet stored in the table",
            target=incarnation,
            waited_s=round(waited_s, 2),
        )
        if waited_s <= CONFIRM_UNWRITTEN_S:
            return False
        return await self.is_row_known(row)
