"""Slowness that a warm-up explains does not count as congestion."""

import dataclasses

from waxwingferry.process import target
from waxwingferry.process.choice import load_stats
from waxwingferry.process.choice import routing
from waxwingferry.process.choice.tests import test_routing
from waxwingferry.process.protection import usual_speed
from waxwingferry.process.protection.tests import test_registration

harness = test_registration.harness


def make_load(slowness: float, left_s: float) -> target.TargetLoad:
    """Returns the load of an idle target."""
    return target.TargetLoad(0, 0, 6, slowness, warmup_left_s=left_s)


def test_slowness_is_compared_with_the_warm_up() -> None:
    """Guards against a neighbour on the machine that a warm-up hides."""
    warmup = usual_speed.WarmupSlowness()
    warmup.record(14.0, is_cold=True)
    warmup.record(2.0, is_cold=True)
    usual = warmup.find_usual(is_cold=True)
    assert not usual_speed.is_slow(2.0, usual)
    assert usual_speed.is_slow(14.0, usual)
    # The warm-up is over.
    assert usual_speed.is_slow(2.0, warmup.find_usual(is_cold=False))
    warmup.record(1.0, is_cold=False)
    assert warmup.find_usual(is_cold=True) == 1.0


async def test_an_idle_cold_target_is_not_congested(harness) -> None:
    """Guards against idle targets that refuse requests as busy in warm-up."""
    await harness.send_heartbeat()
    harness.clock.now_s += 5.0
    harness.receiver.record_sample(make_load(2.0, 2.5))
    assert not harness.receiver.is_congested()
    harness.receiver.record_sample(make_load(14.0, 2.4))
    assert harness.receiver.is_congested()
    harness.clock.now_s += 3.0
    harness.receiver.record_sample(make_load(2.0, 0.0))
    assert harness.receiver.is_congested()


def set_slowness(candidates, slowness: list[float], at_s: float) -> None:
    """Sets a new report of each target."""
    for item, value in zip(candidates, slowness, strict=True):
        item.stats.load = dataclasses.replace(
            item.stats.load, slowness=value, limit=6, at_s=at_s
        )


def test_cold_targets_are_free_while_all_are_cold() -> None:
    """Guards against requests that wait in queues beside idle targets."""
    clock = test_routing.Clock()
    router = test_routing.make_router(1, clock, routing.Policy.STATED)
    candidates = test_routing.make_candidates(3)
    set_slowness(candidates, [2.0, 2.0, 2.0], clock.now_s)
    router.update_usual_slowness(candidates)
    assert all(map(router.is_free, candidates))
    # Once one is warm, the others count as slow again.
    clock.now_s += 2 * load_stats.USUAL_SLOWNESS_INTERVAL_S
    set_slowness(candidates, [2.0, 2.0, 1.0], clock.now_s)
    router.update_usual_slowness(candidates)
    assert list(map(router.is_free, candidates)) == [False, False, True]


def test_old_reports_do_not_tell_the_usual_slowness() -> None:
    """Guards against a warm-up that is compared with the time before it."""
    clock = test_routing.Clock()
    router = test_routing.make_router(1, clock, routing.Policy.STATED)
    candidates = test_routing.make_candidates(3)
    set_slowness(candidates, [1.0, 1.0, 1.0], clock.now_s)
    clock.now_s += load_stats.USUAL_SLOWNESS_AGE_S
    set_slowness(candidates[1:], [2.0, 2.0], clock.now_s)
    router.update_usual_slowness(candidates)
    assert router.is_free(candidates[1])
    clock.now_s += 10.0
    router.update_usual_slowness(candidates)
    assert router.service_stats("registry").usual_slowness == 1.0
