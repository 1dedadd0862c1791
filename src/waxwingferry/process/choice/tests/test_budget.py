"""Retry, token and probe budgets over random histories."""

import math
import random

import pytest

from waxwingferry.connection import http1
from waxwingferry.process import metrics
from waxwingferry.process.choice import budget
from waxwingferry.process.choice import load_stats
from waxwingferry.process.choice import probe
from waxwingferry.process.choice.tests import test_routing


@pytest.mark.parametrize("seed", range(5))
def test_ratio_holds_at_each_event(seed: int) -> None:
    """Guards against more retries than the ratio in a ten-second window."""
    rng = random.Random(seed)
    clock = test_routing.Clock()
    limits = budget.RatioBudget(0.1, clock)
    calls: list[float] = []
    events: list[float] = []
    for _ in range(5000):
        clock.now_s += rng.expovariate(rng.choice([1, 100]))
        limits.count_call()
        calls.append(clock.now_s)
        if rng.random() < 0.5 and limits.spend(rng.choice([0.5, 1.0])):
            events.append(clock.now_s)
            # The window is counted in slices of a second, so the budget may
            # cover a little less than the whole window.
            oldest_s = clock.now_s - budget.WINDOW_S
            recent_calls = sum(at_s >= oldest_s for at_s in calls[-2000:])
            newest_s = clock.now_s - budget.WINDOW_S * 0.9
            recent = sum(at_s >= newest_s for at_s in events[-2000:])
            assert recent <= 0.1 * recent_calls
    assert events


@pytest.mark.parametrize("seed", range(5))
def test_bucket_never_spends_more_than_granted(seed: int) -> None:
    """Guards against refunds or rate changes that create tokens."""
    rng = random.Random(seed)
    clock = test_routing.Clock()
    bucket = budget.TokenBucket(10, 5, clock)
    begin_s = clock.now_s
    spent = 0.0
    for _ in range(5000):
        clock.now_s += rng.expovariate(50)
        amount = rng.uniform(0.5, 3)
        if bucket.spend(amount):
            back = rng.uniform(0, amount)
            bucket.refund(back)
            spent += amount - back
        assert spent <= 5 + 10 * (clock.now_s - begin_s) + 1e-6


def make_prober(fetch, clock, rate: float = 10.0) -> probe.Prober:
    """Returns a prober whose budget uses the test's clock."""
    limits = probe.ProbeBudget(lambda: rate, clock)
    return probe.Prober(fetch, limits, metrics.Metrics(), clock)


@pytest.mark.anyio
@pytest.mark.parametrize("exhausted", ["messages", "bytes", "processor"])
async def test_probes_stay_within_each_budget(exhausted: str) -> None:
    """Guards against probes that cost more than their configured budget."""
    clock = test_routing.Clock()
    spent = probe.ProbeCost()
    count = 0

    async def fetch(candidate, cost):
        nonlocal count
        count += 1
        cost.sent_bytes += 60
        cost.received_bytes += 500 if exhausted == "bytes" else 10
        cost.cpu_s += 0.01 if exhausted == "processor" else 0.0
        spent.sent_bytes += cost.sent_bytes
        spent.received_bytes += cost.received_bytes
        spent.cpu_s += cost.cpu_s
        return load_stats.LoadReport(1, 0, 6, clock.now_s)

    rate = 2.0 if exhausted == "messages" else 1000.0
    prober = make_prober(fetch, clock, rate)
    begin_s = clock.now_s
    for step in range(3000):
        clock.now_s += 0.01
        candidate = test_routing.make_candidates(30)[step % 30]
        prober.request_probe(candidate)
        while prober.send.statistics().current_buffer_used:
            await prober.probe(prober.receive.receive_nowait())
    elapsed_s = clock.now_s - begin_s
    total_bytes = spent.sent_bytes + spent.received_bytes
    assert 0 < count <= rate * (elapsed_s + 1)
    allowed = probe.BYTES_PER_S * elapsed_s + 2 * probe.MAX_PROBE_BYTES
    assert total_bytes <= allowed
    # One probe may use more CPU time than was reserved for it.
    allowed_s = probe.CPU_S_PER_S * elapsed_s
    assert spent.cpu_s <= allowed_s + 0.01 + 0.004


@pytest.mark.anyio
async def test_fresh_or_failed_target_is_not_probed_again_at_once() -> None:
    """Guards against a dead target that exhausts the probe budget."""
    clock = test_routing.Clock()

    async def fetch(candidate, cost):
        return None

    prober = make_prober(fetch, clock)
    candidate = test_routing.make_candidates(1)[0]
    prober.request_probe(candidate)
    prober.request_probe(candidate)
    assert prober.send.statistics().current_buffer_used == 1
    await prober.probe(prober.receive.receive_nowait())
    assert not candidate.stats.probe_pending
    prober.request_probe(candidate)
    assert prober.send.statistics().current_buffer_used == 0
    clock.now_s += 1.1
    prober.request_probe(candidate)
    assert prober.send.statistics().current_buffer_used == 1


@pytest.mark.anyio
async def test_metered_work_is_charged_and_may_fail() -> None:
    """Guards against CPU time that is not counted if a probe raises."""

    async def fetch(candidate, cost):
        sum(range(200_000))
        raise http1.HttpError("lost")

    prober = make_prober(fetch, test_routing.Clock())
    candidate = test_routing.make_candidates(1)[0]
    prober.request_probe(candidate)
    with pytest.raises(http1.HttpError):
        await prober.probe(prober.receive.receive_nowait())
    assert prober.probe_budget.cpu.spent > 0
    assert not candidate.stats.probe_pending


def test_probe_answer_is_read_back() -> None:
    """Guards against a probe response that the prober can't parse."""
    body = probe.encode_load("in_flight=3,queue=1,limit=6")
    assert probe.decode_load(body, 5.0) == load_stats.LoadReport(3, 1, 6, 5.0)
    assert probe.decode_load(b"[1]", 5.0) is None


@pytest.mark.parametrize("readings", range(6))
def test_retry_budget_holds_if_the_window_moves_between_readings(
    readings: int,
) -> None:
    """Guards against a spent retry whose calls have left the window since.

    The check of the bound ended the process if it was paused at that moment.
    """
    now_s = 100.0
    left = math.inf

    def read_clock() -> float:
        nonlocal now_s, left
        left -= 1
        if left == 0:
            now_s += 60.0
        return now_s

    ratio_budget = budget.RatioBudget(0.1, read_clock)
    for _ in range(20):
        ratio_budget.count_call()
    left = readings
    ratio_budget.spend()
    assert ratio_budget.total_events <= 2
