"""Samples of the own target, and pushes of what they change."""

import random

import anyio
import pytest

from waxwingferry.process import metrics
from waxwingferry.process import target
from waxwingferry.process.protection import sampler
from waxwingferry.process.spreading import gossip
from waxwingferry.process.spreading import members
from waxwingferry.process.tests import fakes
from waxwingferry.request import receive

pytestmark = pytest.mark.anyio

READY = target.Announcement("desk", "v1", 6, "127.0.0.1", 80, "i-1:1")


class Made:
    """A sampler of node n0 with one peer."""

    def __init__(self):
        self.clock = fakes.Clock()
        self.sent: list[bytes] = []
        self.asked = 0
        self.asked_twice = anyio.Event()
        self.load: target.TargetLoad | None = target.TargetLoad(0, 0, 6)
        membership = members.Membership("n0", self.clock)
        membership.apply(fakes.make_row(1))
        gossiper = gossip.Gossiper(
            membership,
            lambda: 1,
            lambda _, data: self.sent.append(data),
            random.Random(1),
            clock=self.clock,
        )
        self.receiver = receive.Receiver(
            "inc", lambda: False, lambda: None, metrics.Metrics()
        )
        self.receiver.apply_announcement(READY)
        self.sampler = sampler.Sampler(
            self.receiver, gossiper, self.fetch, metrics.Metrics(), self.clock
        )

    async def fetch(self, _: target.Announcement) -> target.TargetLoad | None:
        """Answers a sample."""
        self.asked += 1
        if self.asked == 2:
            self.asked_twice.set()
        return self.load

    def take(self, slowness: float) -> None:
        """Takes a sample some time after the one before."""
        self.clock.now_s += 0.1
        self.receiver.record_sample(target.TargetLoad(0, 0, 6, slowness))


async def test_a_change_of_the_slowness_is_pushed_once():
    """Guards against entries that choose a machine that has turned slow."""
    made = Made()
    made.take(1.05)
    assert not made.sent
    made.take(7.0)
    made.take(7.2)
    assert len(made.sent) == 1
    made.take(1.0)
    assert len(made.sent) == 2


@pytest.mark.parametrize("load", [None, target.TargetLoad(0, 0, 0)])
async def test_a_target_that_states_no_load_is_asked_seldom(load):
    """Guards against samples that take slots from requests."""
    made = Made()
    made.load = load
    made.sampler.note_activity()
    with anyio.move_on_after(0.3):
        await made.sampler.run()
    assert made.asked == 1


async def test_an_active_target_is_asked_often():
    """Guards against loads that are older than the machines' phases."""
    made = Made()
    made.sampler.note_activity()
    async with anyio.create_task_group() as group:
        group.start_soon(made.sampler.run)
        with anyio.fail_after(30):
            await made.asked_twice.wait()
        group.cancel_scope.cancel()
