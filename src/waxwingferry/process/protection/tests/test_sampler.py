"""Tests load sampling and pushes to other nodes."""

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
    """Sampler of node n0 with one peer."""

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
        """Returns the load of the target."""
        self.sample_count += 1
        if self.sample_count == 2:
            self.sampled_twice.set()
        return self.load

    def record_slowness(self, slowness: float) -> None:
        """Records a sample 0.1 s after the previous one."""
        self.clock.now_s += 0.1
        self.receiver.record_sample(target.TargetLoad(0, 0, 6, slowness))


async def test_slowness_change_is_pushed_once():
    """Entries must learn when a VM becomes slow or recovers."""
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
    """Samples must not take slots from requests."""
    harness = SamplerHarness()
    harness.load = load
    harness.sampler.record_activity()
    with anyio.move_on_after(0.3):
        await harness.sampler.run()
    assert harness.sample_count == 1


async def test_active_target_is_sampled_often():
    """Samples must be newer than the speed changes of the VMs."""
    harness = SamplerHarness()
    harness.sampler.record_activity()
    async with anyio.create_task_group() as group:
        group.start_soon(harness.sampler.run)
        with anyio.fail_after(30):
            await harness.sampled_twice.wait()
        group.cancel_scope.cancel()
