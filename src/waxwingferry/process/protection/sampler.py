"""Samples the load of the local target and pushes changes to other nodes.

A VM may become several times slower, or recover, within milliseconds. The
target's node pushes a sample to all entries only if it would change their
choice, so that a steady load costs few messages. In a cluster where a push does
not reach all nodes it pushes nothing, and takes samples when others ask.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time

import anyio
import structlog

from waxwingferry.process import metrics
from waxwingferry.process import target
from waxwingferry.process.spreading import gossip
from waxwingferry.request import receive

# A third of the sampling rate that the platform allows, because each sample
# also costs processor time on the target's VM.
ACTIVE_INTERVAL_S = 0.05
# Interval where other nodes ask for the load instead of getting it pushed, so
# that samples serve the local queue only.
QUERIED_INTERVAL_S = 0.2
IDLE_INTERVAL_S = 0.5
# Requests come in bursts; a node stays active this long after a request.
ACTIVE_PERIOD_S = 2.0
SAMPLE_TIMEOUT_S = 0.5
# Change of the slowness that can make another target the better choice.
PUSH_THRESHOLD_RATIO = 1.25
MIN_PUSH_INTERVAL_S = 0.02

FetchLoad = Callable[[target.Announcement], Awaitable[target.TargetLoad | None]]

log = structlog.get_logger()


class Sampler:
    """Polls the load of the local target and informs other nodes.

    Args:
        receiver: Receiver that owns the admission to the target.
        gossiper: Gossip protocol of this node.
        fetch: Reads the load of the target, or None without usable answer.
        counters: Metrics of the node.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        receiver: receive.Receiver,
        gossiper: gossip.Gossiper,
        fetch: FetchLoad,
        counters: metrics.Metrics,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.receiver = receiver
        self.gossiper = gossiper
        self.fetch = fetch
        self.counters = counters
        self.clock = clock
        self.last_active_s = -ACTIVE_PERIOD_S
        self.pushed_slowness = 1.0
        self.pushed_rate_limited = False
        self.last_push_s = -MIN_PUSH_INTERVAL_S
        self.states_load = False
        self.sampling = anyio.Lock()
        receiver.on_sample = self.push_changes

    def record_activity(self) -> None:
        """Records that requests arrive, which makes sampling worthwhile."""
        self.last_active_s = self.clock()

    async def run(self) -> None:
        """Samples until cancelled."""
        while True:
            link = self.receiver.link
            admission = self.receiver.admission
            if admission is not None and admission.in_flight:
                self.record_activity()
            if link is None:
                self.states_load = False
            else:
                async with self.sampling:
                    self.states_load = await self._sample(link.announcement)
            await anyio.sleep(self.find_interval_s())

    def find_interval_s(self) -> float:
        """Returns the time until the next sample."""
        active = self.clock() - self.last_active_s < ACTIVE_PERIOD_S
        # On a target that does not report its load, sampling may take a slot
        # from a request.
        if not active or not self.states_load:
            return IDLE_INTERVAL_S
        admission = self.receiver.admission
        waiting = admission is not None and bool(admission.queue)
        if waiting or self.gossiper.pushes_reach_all():
            return ACTIVE_INTERVAL_S
        return QUERIED_INTERVAL_S

    async def update(self) -> None:
        """Takes a sample, unless the newest one is recent enough."""
        if not self.states_load or not self._is_sample_old():
            return
        async with self.sampling:
            link = self.receiver.link
            # Another task may have taken one meanwhile.
            if link is not None and self._is_sample_old():
                await self._sample(link.announcement)

    def _is_sample_old(self) -> bool:
        return self.clock() - self.receiver.sampled_s >= ACTIVE_INTERVAL_S

    async def _sample(self, announcement: target.Announcement) -> bool:
        """Takes one sample; returns whether the target reports its load."""
        sample = None
        with anyio.move_on_after(SAMPLE_TIMEOUT_S):
            sample = await self.fetch(announcement)
        if sample is None:
            self.counters.events.inc({"event": "sample_failed"})
            return False
        # The target may have been replaced while the request was in transit.
        self.receiver.record_sample(
            dataclasses.replace(sample, incarnation=announcement.incarnation)
        )
        return sample.slots > 0

    def push_changes(self) -> None:
        """Pushes the load if it would change the choice of other nodes."""
        admission = self.receiver.admission
        if admission is None or not self.gossiper.pushes_reach_all():
            return
        now_s = self.clock()
        slowness = self.receiver.slowness()
        ratio = slowness / self.pushed_slowness
        rate_limited = admission.rate_limit.rate_per_s is not None
        if (
            1 / PUSH_THRESHOLD_RATIO < ratio < PUSH_THRESHOLD_RATIO
            and rate_limited == self.pushed_rate_limited
        ):
            return
        if now_s - self.last_push_s < MIN_PUSH_INTERVAL_S:
            return
        self.last_push_s = now_s
        self.pushed_slowness = slowness
        self.pushed_rate_limited = rate_limited
        push = self.make_push()
        if push is not None:
            self.gossiper.push_load(push)

    def make_push(self) -> gossip.LoadPush | None:
        """Returns the load of the target; None if the node takes no work."""
        admission = self.receiver.admission
        if admission is None or self.receiver.find_closed_reason() is not None:
            return None
        return gossip.LoadPush(
            self.gossiper.membership.node,
            admission.in_flight,
            len(admission.queue),
            admission.limit.value,
            round(self.receiver.slowness() * 100),
            self.receiver.find_rate_limit_wait_ms(),
            self.receiver.is_congested(),
            self.receiver.incarnation,
        )
