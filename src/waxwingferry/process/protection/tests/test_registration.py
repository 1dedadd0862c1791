"""Reports of the own target: order, leaves that last, restarts."""

import random

import anyio
import pytest

from waxwingferry.process import metrics
from waxwingferry.process import target
from waxwingferry.process.protection import registration
from waxwingferry.process.protection import stated_limit
from waxwingferry.process.spreading import lease
from waxwingferry.process.spreading import members
from waxwingferry.process.tests import fakes
from waxwingferry.request import call as calls
from waxwingferry.request import outcome
from waxwingferry.request import receive

pytestmark = pytest.mark.anyio


class Made:
    """Reports of the target of node n0, with its row in a table."""

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
        self.reports = registration.TargetRegistration(
            self.receiver,
            self.membership,
            self.node_lease,
            self.announce,
            self.clock,
        )

    def announce(self) -> None:
        """Announces the row that the receiver's state makes."""
        assert self.receiver.link is not None
        stated = self.receiver.link.announcement
        self.membership.announce(
            fakes.make_row(
                0,
                state=stated.state,
                target=stated.incarnation,
                incarnation="inc",
                change=0,
            )
        )

    async def report(
        self, born=1, sequence=1, state="ready", warmup_left_s=0.0
    ):
        """Takes a report; returns whether it is confirmed."""
        announcement = target.Announcement(
            "desk", "v1", 6, "127.0.0.1", 80, f"i-1:{born}", state
        )
        return await self.reports.handle_heartbeat(
            registration.Heartbeat(
                "i-1", born, sequence, warmup_left_s, announcement
            )
        )

    @property
    def state(self) -> str:
        """State of the target as the node believes it."""
        assert self.receiver.link is not None
        return self.receiver.link.announcement.state


@pytest.fixture
def made(monkeypatch) -> Made:
    """Reports that wait only shortly for the table."""
    monkeypatch.setattr(registration, "CONFIRM_WAIT_S", 0.02)
    return Made()


async def test_a_leave_is_confirmed_once_it_is_in_the_table(made):
    """Guards against a confirmed leave that dies with its node."""
    assert await made.report()
    assert not await made.report(sequence=2, state="draining")
    async with anyio.create_task_group() as group:
        group.start_soon(made.node_lease.write_once)
        assert await made.report(sequence=3, state="draining")
    row = await made.table.read("members/n0")
    assert row.value["state"] == "draining"


async def test_a_leave_is_confirmed_in_time_without_the_table(made):
    """Guards against targets that wait for a table that is away."""
    await made.report()
    assert not await made.report(sequence=2, state="draining")
    made.clock.now_s += registration.CONFIRM_UNWRITTEN_S + 0.1
    assert await made.report(sequence=3, state="draining")


async def test_an_older_report_does_not_undo_a_leave(made):
    """Guards against work for a leaving target after a delayed report."""
    await made.report(sequence=5)
    await made.report(sequence=7, state="draining")
    await made.report(sequence=6)
    assert made.state == "draining"
    await made.report(sequence=8)
    assert made.state == "draining"


async def test_a_report_of_an_earlier_start_changes_nothing(made):
    """Guards against a partition that delivers a dead target's report."""
    await made.report(born=20, sequence=1)
    await made.report(born=10, sequence=99, state="draining")
    assert made.state == "ready"
    assert made.receiver.link.announcement.incarnation == "i-1:20"


async def test_a_new_start_under_the_same_id_takes_work_again(made):
    """Guards against a leave that binds the next start as well."""
    await made.report(born=10, state="draining")
    await made.report(born=20, sequence=1)
    assert made.state == "ready"


async def test_a_restarted_node_inherits_the_leave(made):
    """Guards against work for a leaving target after its node restarted."""
    made.membership.apply(
        fakes.make_row(
            0, state="draining", target="i-1:10", incarnation="earlier"
        )
    )
    await made.report(born=10)
    assert made.state == "draining"


async def test_a_restarted_node_takes_up_its_target(made):
    """Guards against a target without work until its next report."""
    row = fakes.make_row(0, target="i-1:10", incarnation="earlier")
    made.reports.restore_target(row, "127.0.0.1", 80)
    assert made.state == "ready"
    await made.report(born=10, sequence=4)
    assert made.reports.newest.sequence == 4


async def test_a_leave_before_the_restarted_node_has_learned_counts(made):
    """Guards against a leave that is confirmed and then forgotten."""
    assert not await made.reports.handle_deregistration("i-1")
    row = fakes.make_row(0, target="i-1:10", incarnation="earlier")
    made.reports.restore_target(row, "127.0.0.1", 80)
    assert made.state == "draining"
    await made.report(born=10, sequence=4)
    assert made.state == "draining"
    await made.report(born=20)
    assert made.state == "ready"


async def test_a_leave_before_the_first_report_counts(made):
    """Guards against a late report that undoes a leave."""
    assert not await made.reports.handle_deregistration("i-1")
    made.clock.now_s += registration.CONFIRM_UNWRITTEN_S + 0.1
    assert await made.reports.handle_deregistration("i-1")
    await made.report(born=10)
    assert made.state == "draining"


async def test_a_leave_message_without_a_draining_report_counts(made):
    """Guards against targets that only say that they end."""
    await made.report()
    await made.reports.handle_deregistration("i-1")
    assert made.state == "draining"
    assert await made.reports.handle_deregistration("i-other")


async def test_an_attempt_for_another_start_is_refused(made):
    """Guards against a version that was not chosen running a request."""
    await made.report(born=20)
    attempt = _make_attempt("i-1:10")
    refusal = made.receiver.check(attempt)
    assert refusal == outcome.NotRun(outcome.Reason.WRONG_TARGET)


def _make_attempt(start: str):
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
        target_incarnation=start,
    )


async def test_cold_targets_are_paced_over_any_second(made):
    """Guards against a cold target given more than it bears."""
    await made.report(warmup_left_s=3.0)
    limit = made.receiver.admission.limit
    assert isinstance(limit, stated_limit.StatedLimit)
    starts = []
    for _ in range(300):
        if limit.find_dispatch_time_s() <= made.clock.now_s:
            limit.record_dispatch()
            starts.append(made.clock.now_s)
        made.clock.now_s += 0.01
    for first in starts:
        assert sum(first <= at < first + 1.0 for at in starts) <= 7


async def test_a_new_process_paces_its_first_second(made):
    """Guards against the pace of two processes added up."""
    await made.report()
    limit = made.receiver.admission.limit
    assert limit.is_warming_up()
    made.clock.now_s += stated_limit.PACE_WINDOW_S
    assert not limit.is_warming_up()


async def test_a_sample_shows_a_target_that_turned_cold(made):
    """Guards against full load on a target that went cold unannounced."""
    await made.report()
    made.clock.now_s += 5.0
    sample = target.TargetLoad(0, 0, 6, 1.0, warmup_left_s=2.0)
    made.receiver.record_sample(sample)
    assert made.receiver.admission.limit.is_warming_up()


async def test_a_movable_attempt_is_refused_by_a_slow_target(made):
    """Guards against work that waits at a machine that has turned slow."""
    await made.report()
    made.clock.now_s += 5.0
    assert not made.receiver.is_congested()
    made.receiver.record_sample(target.TargetLoad(0, 0, 6, 7.0))
    assert made.receiver.is_congested()
    made.receiver.record_sample(target.TargetLoad(1, 0, 6, 1.0))
    assert not made.receiver.is_congested()
