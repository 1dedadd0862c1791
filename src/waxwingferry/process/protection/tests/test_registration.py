"""Tests heartbeats and deregistration of the local target."""

import random

import anyio
import msgspec
import pytest

from waxwingferry.process import metrics
from waxwingferry.process import target
from waxwingferry.process.protection import registration
from waxwingferry.process.protection import stated_limit
from waxwingferry.process.spreading import lease
from waxwingferry.process.spreading import members
from waxwingferry.process.tests import fakes
from waxwingferry.request import calls
from waxwingferry.request import outcome
from waxwingferry.request import receive

pytestmark = pytest.mark.anyio


class RegistrationHarness:
    """Registration of the target of node n0, with its row in a table."""

    def __init__(self):
        self.clock = fakes.Clock()
        self.table = fakes.Table()
        self.membership = members.Membership("n0", self.clock)
        self.node_lease = lease.Lease(
            self.table, self.membership, random.Random(1), self.clock
        )
        self.receiver = receive.Receiver(
            "inc",
            lambda: False,
            lambda: None,
            metrics.Metrics(),
            make_limit=lambda slots: stated_limit.StatedLimit(
                slots, lambda: 7.0, self.clock
            ),
        )
        self.registration = registration.TargetRegistration(
            self.receiver,
            self.membership,
            self.node_lease,
            self.publish_member,
            self.is_row_known,
            self.clock,
        )
        self.known_to_peers = True

    async def is_row_known(self, row: members.MemberRow) -> bool:
        """Tells whether a peer has the row."""
        return self.known_to_peers and row.state == "draining"

    def publish_member(self) -> None:
        """Publishes the member row for the receiver's state."""
        assert self.receiver.link is not None
        announcement = self.receiver.link.announcement
        self.membership.announce(
            fakes.make_row(
                0,
                state=announcement.state,
                target=announcement.incarnation,
                incarnation="inc",
                change=0,
            )
        )

    async def send_heartbeat(
        self, started_ms=1, sequence=1, state="ready", warmup_left_s=0.0
    ):
        """Sends a heartbeat; returns whether it is confirmed."""
        announcement = target.Announcement(
            "desk", "v1", 6, "127.0.0.1", 80, f"i-1:{started_ms}", state
        )
        return await self.registration.handle_heartbeat(
            registration.Heartbeat(
                "i-1", started_ms, sequence, warmup_left_s, announcement
            )
        )

    @property
    def state(self) -> str:
        """State of the target as known to the node."""
        assert self.receiver.link is not None
        return self.receiver.link.announcement.state


@pytest.fixture
def harness(monkeypatch) -> RegistrationHarness:
    """A registration that waits only briefly for the table."""
    monkeypatch.setattr(registration, "CONFIRM_WAIT_S", 0.02)
    return RegistrationHarness()


async def test_draining_is_confirmed_once_stored_in_the_table(harness):
    """A confirmed draining state must survive the node process."""
    assert await harness.send_heartbeat()
    assert not await harness.send_heartbeat(sequence=2, state="draining")
    async with anyio.create_task_group() as group:
        group.start_soon(harness.node_lease.write_once)
        assert await harness.send_heartbeat(sequence=3, state="draining")
    row = await harness.table.read("members/n0")
    assert row.value["state"] == "draining"


async def test_a_leave_while_the_node_joins_is_confirmed_once_stored(
    harness, monkeypatch
):
    """Guards against a leave that is refused because the node has no row yet.

    Load pattern: a node starts while its target leaves; the target repeated its
    report a second later.
    """
    monkeypatch.setattr(registration, "CONFIRM_WAIT_S", 5.0)
    publish = harness.registration.publish_member
    harness.registration.publish_member = lambda: None
    confirmed = []

    async def send() -> None:
        confirmed.append(await harness.send_heartbeat(state="draining"))

    async with anyio.create_task_group() as group:
        group.start_soon(send)
        await anyio.wait_all_tasks_blocked()
        assert confirmed == []
        publish()
        await anyio.wait_all_tasks_blocked()
        assert confirmed == []
        await harness.node_lease.write_once()
    assert confirmed == [True]
    assert harness.table.value("members/n0")["state"] == "draining"


async def test_a_leave_is_not_confirmed_while_the_node_has_no_row(harness):
    """Guards against a confirmed leave that nothing outside the node knows."""
    harness.registration.publish_member = lambda: None
    assert not await harness.send_heartbeat(state="draining")
    harness.clock.now_s += registration.CONFIRM_UNWRITTEN_S + 0.1
    assert not await harness.send_heartbeat(sequence=2, state="draining")


async def test_draining_is_confirmed_in_time_without_the_table(harness):
    """An unavailable table must not block a draining target."""
    await harness.send_heartbeat()
    assert not await harness.send_heartbeat(sequence=2, state="draining")
    harness.clock.now_s += registration.CONFIRM_UNWRITTEN_S + 0.1
    assert await harness.send_heartbeat(sequence=3, state="draining")


async def test_draining_that_no_other_node_knows_is_not_confirmed(harness):
    """Guards against a confirmed leave that ends with its node.

    The table was down and the node killed: its next process took the target
    for ready, and it got requests 6 s after its leave was confirmed.
    """
    harness.known_to_peers = False
    await harness.send_heartbeat()
    await harness.send_heartbeat(sequence=2, state="draining")
    harness.clock.now_s += registration.CONFIRM_UNWRITTEN_S + 0.1
    assert not await harness.send_heartbeat(sequence=3, state="draining")
    harness.known_to_peers = True
    assert await harness.registration.handle_deregistration("i-1")


async def test_draining_that_a_peer_knows_is_applied_after_a_restart(harness):
    """Guards against a target that gets work again after its node restarts.

    The table has an older row of the same process; a peer knows the leave.
    """
    stored = fakes.make_row(0, target="i-1:10", incarnation="earlier")
    harness.membership.apply(stored)
    harness.registration.restore_target(stored, "127.0.0.1", 80)
    harness.membership.on_predecessor = harness.registration.apply_predecessor
    harness.membership.apply(
        msgspec.structs.replace(stored, state="draining", change=2)
    )
    assert harness.state == "draining"


async def test_draining_is_kept_over_two_restarts(harness):
    """Guards against a leave that the row of a second process hides."""
    row = fakes.make_row(0, target="i-1:10", incarnation="first")
    later = fakes.make_row(
        0, target="i-1:10", incarnation="second", generation=2
    )
    harness.membership.apply(msgspec.structs.replace(row, state="draining"))
    harness.membership.apply(later)
    harness.registration.restore_target(later, "127.0.0.1", 80)
    assert harness.state == "draining"


@pytest.mark.parametrize("known", ["nothing loaded", "earlier process"])
async def test_a_deregistration_that_is_not_stored_is_not_confirmed(
    harness, known
):
    """Guards against a confirmed deregistration that a restart forgets.

    The node has not heard of the target since its own start.
    """
    if known == "nothing loaded":
        harness.registration.is_loaded = lambda: False
    else:
        row = fakes.make_row(0, target="i-1:10", incarnation="earlier")
        harness.membership.apply(row)
    assert not await harness.registration.handle_deregistration("i-1")
    harness.clock.now_s += registration.CONFIRM_UNWRITTEN_S + 0.1
    assert not await harness.registration.handle_deregistration("i-1")


async def test_later_heartbeat_does_not_undo_draining(harness):
    """A delayed or later ready heartbeat must not bring work back."""
    await harness.send_heartbeat(sequence=5)
    await harness.send_heartbeat(sequence=7, state="draining")
    await harness.send_heartbeat(sequence=6)
    assert harness.state == "draining"
    await harness.send_heartbeat(sequence=8)
    assert harness.state == "draining"


async def test_heartbeat_of_an_earlier_incarnation_is_ignored(harness):
    """A partition may deliver heartbeats of a dead incarnation late."""
    await harness.send_heartbeat(started_ms=20, sequence=1)
    await harness.send_heartbeat(started_ms=10, sequence=99, state="draining")
    assert harness.state == "ready"
    assert harness.receiver.link.announcement.incarnation == "i-1:20"


async def test_new_incarnation_under_the_same_id_takes_work(harness):
    """Draining must not carry over to the next incarnation."""
    await harness.send_heartbeat(started_ms=10, state="draining")
    await harness.send_heartbeat(started_ms=20, sequence=1)
    assert harness.state == "ready"


async def test_restarted_node_keeps_its_target_draining(harness):
    """A restarted node must not send work to a draining target."""
    harness.membership.apply(
        fakes.make_row(
            0, state="draining", target="i-1:10", incarnation="earlier"
        )
    )
    await harness.send_heartbeat(started_ms=10)
    assert harness.state == "draining"


async def test_draining_stored_earlier_is_applied_to_an_early_heartbeat(
    harness,
):
    """A heartbeat before the rows are loaded must not bring work back."""
    await harness.send_heartbeat(started_ms=10)
    harness.membership.apply(
        fakes.make_row(
            0,
            state="draining",
            target="i-1:10",
            incarnation="earlier",
            generation=10**15,
        )
    )
    harness.registration.apply_predecessor()
    assert harness.state == "draining"


async def test_restarted_node_restores_its_target(harness):
    """After a restart, the target must get work before its next heartbeat."""
    row = fakes.make_row(0, target="i-1:10", incarnation="earlier")
    harness.registration.restore_target(row, "127.0.0.1", 80)
    assert harness.state == "ready"
    await harness.send_heartbeat(started_ms=10, sequence=4)
    assert harness.registration.latest.sequence == 4


async def test_deregistration_before_restore_is_kept(harness):
    """A deregistration that reaches a restarting node must not be lost.

    It came before the node had loaded its state, was confirmed and forgotten.
    """
    assert not await harness.registration.handle_deregistration("i-1")
    row = fakes.make_row(0, target="i-1:10", incarnation="earlier")
    harness.registration.restore_target(row, "127.0.0.1", 80)
    assert harness.state == "draining"
    await harness.send_heartbeat(started_ms=10, sequence=4)
    assert harness.state == "draining"
    await harness.send_heartbeat(started_ms=20)
    assert harness.state == "ready"


async def test_deregistration_before_the_first_heartbeat_is_kept(harness):
    """A heartbeat after the deregistration must not bring work back."""
    assert not await harness.registration.handle_deregistration("i-1")
    harness.clock.now_s += registration.CONFIRM_UNWRITTEN_S + 0.1
    assert await harness.registration.handle_deregistration("i-1")
    await harness.send_heartbeat(started_ms=10)
    assert harness.state == "draining"


async def test_deregistration_without_draining_heartbeat_drains(harness):
    """Some targets deregister without reporting that they drain."""
    await harness.send_heartbeat()
    await harness.registration.handle_deregistration("i-1")
    assert harness.state == "draining"
    assert await harness.registration.handle_deregistration("i-other")


async def test_attempt_for_another_incarnation_is_refused(harness):
    """Another incarnation may run a version that was not chosen."""
    await harness.send_heartbeat(started_ms=20)
    attempt = _make_attempt("i-1:10")
    refusal = harness.receiver.check(attempt)
    assert refusal == outcome.NotRun(outcome.Reason.WRONG_TARGET)


def _make_attempt(incarnation: str):
    return calls.Attempt(
        "c.1",
        "desk",
        "GET",
        "/",
        [],
        calls.Body(b""),
        calls.make_deadline(5.0),
        "",
        1,
        "inc",
        target_incarnation=incarnation,
    )


async def test_warmup_rate_holds_over_any_second(harness):
    """A target in warm-up must not get more than its rate."""
    await harness.send_heartbeat(warmup_left_s=3.0)
    limit = harness.receiver.admission.limit
    assert isinstance(limit, stated_limit.StatedLimit)
    dispatch_times_s = []
    for _ in range(300):
        if limit.find_dispatch_time_s() <= harness.clock.now_s:
            limit.record_dispatch()
            dispatch_times_s.append(harness.clock.now_s)
        harness.clock.now_s += 0.01
    for begin_s in dispatch_times_s:
        assert (
            sum(begin_s <= at_s < begin_s + 1.0 for at_s in dispatch_times_s)
            <= 7
        )


async def test_new_process_limits_the_rate_in_its_first_second(harness):
    """Two successive node processes must not exceed the rate together."""
    await harness.send_heartbeat()
    limit = harness.receiver.admission.limit
    assert limit.is_warming_up()
    harness.clock.now_s += stated_limit.RATE_WINDOW_S
    assert not limit.is_warming_up()


async def test_load_sample_can_start_a_warmup(harness):
    """A target may need a new warm-up without announcing it."""
    await harness.send_heartbeat()
    harness.clock.now_s += 5.0
    sample = target.TargetLoad(0, 0, 6, 1.0, warmup_left_s=2.0)
    harness.receiver.record_sample(sample)
    assert harness.receiver.admission.limit.is_warming_up()


async def test_slow_target_counts_as_congested(harness):
    """Attempts must not wait at a VM that has become slow."""
    await harness.send_heartbeat()
    harness.clock.now_s += 5.0
    assert not harness.receiver.is_congested()
    harness.receiver.record_sample(target.TargetLoad(0, 0, 6, 7.0))
    assert harness.receiver.is_congested()
    harness.receiver.record_sample(target.TargetLoad(1, 0, 6, 1.0))
    assert not harness.receiver.is_congested()
