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


class SamplerHarness:
    """A sampler of node n0 with one peer."""

    def __init__(self):
        self.clock = fakes.Clock()
        self.sent: list[bytes] = []
        self.sample_count = 0
        self.sampled_twice = anyio.Event()
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
        self.sample_count += 1
        if self.sample_count == 2:
            self.sampled_twice.set()
        return self.load

    def record_slowness(self, slowness: float) -> None:
        """Takes a sample some time after the one before."""
        self.clock.now_s += 0.1
        self.receiver.record_sample(target.TargetLoad(0, 0, 6, slowness))


async def test_slowness_change_is_pushed_once():
    """Guards against entries that choose a machine that has turned slow."""
    harness = SamplerHarness()
    harness.record_slowness(1.05)
    assert not harness.sent
    harness.record_slowness(7.0)
    harness.record_slowness(7.2)
    assert len(harness.sent) == 1
    harness.record_slowness(1.0)
    assert len(harness.sent) == 2


@pytest.mark.parametrize("load", [None, target.TargetLoad(0, 0, 0)])
async def test_target_without_load_report_is_sampled_rarely(load):
    """Guards against samples that take slots from requests."""
    harness = SamplerHarness()
    harness.load = load
    harness.sampler.record_activity()
    with anyio.move_on_after(0.3):
        await harness.sampler.run()
    assert harness.sample_count == 1


async def test_active_target_is_sampled_often():
    """Guards against loads that are older than the machines' phases."""
    harness = SamplerHarness()
    harness.sampler.record_activity()
    async with anyio.create_task_group() as group:
        group.start_soon(harness.sampler.run)
        with anyio.fail_after(30):
            await harness.sampled_twice.wait()
        group.cancel_scope.cancel()
