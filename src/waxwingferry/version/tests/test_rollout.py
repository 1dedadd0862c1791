"""Version rollouts: selection of targets, and judgement of versions."""

import random

import anyio
import pytest

from waxwingferry.process import platform
from waxwingferry.process.choice import known_target
from waxwingferry.process.tests import fakes
from waxwingferry.version import judgement
from waxwingferry.version import messages
from waxwingferry.version import revision
from waxwingferry.version import rollout

pytestmark = pytest.mark.anyio

ORDER = revision.RolloutOrder("desk", "v2", 16.0, 7)


class FakeDecisionStore:
    """Decisions in memory; reads and writes can be made to fail."""

    def __init__(self):
        self.written: list[messages.Decision] = []
        self.unavailable = False
        self.competing: messages.Decision | None = None

    async def read_all(self):
        """See rollout.DecisionStore."""
        if self.unavailable:
            raise platform.PlatformError("down")
        if self.competing is not None:
            return [(self.competing, self.competing.number)]
        return [(item, 9) for item in self.written]

    async def write(self, decision, if_version):
        """See rollout.DecisionStore."""
        if self.unavailable:
            raise platform.PlatformError("down")
        if self.competing is not None:
            raise platform.ConflictError("status", None)
        self.written.append(decision)


class Harness:
    """Rollout controller of node n0 with fakes of its dependencies."""

    def __init__(self, order: revision.RolloutOrder | None = ORDER):
        self.clock = fakes.Clock()
        self.decision_store = FakeDecisionStore()
        self.sent: list[tuple[str, object]] = []
        self.targets = [make_target(n, "v1") for n in range(4)]
        self.targets += [make_target(n, "v2") for n in range(4, 8)]
        services = {"desk": revision.Service("desk", warmup_s=3.0)}
        rollouts = {"desk": order} if order else {}
        self.document = revision.Revision(
            1, {}, [], services, rollouts=rollouts
        )
        self.rollouts = rollout.RolloutController(
            "n0",
            lambda: self.document,
            lambda service: self.targets,
            self.decision_store,
            lambda: ["n0", "n1"],
            lambda node, item: self.sent.append((node, item)),
            exposure_share=0.1,
            exposure_slack=50.0,
            clock=self.clock,
        )
        self.rollouts.decisions_loaded = True

    def allowed_versions(self, canary: bool = False) -> set[str]:
        """Returns the versions of the targets that a call may use."""
        found = self.rollouts.filter_targets("desk", self.targets, canary)
        return {item.version for item in found}

    def count(self, version: str, good: int, bad: int, service_s=0.2) -> None:
        """Delivers response counts of a target at node n-VERSION."""
        routes = [judgement.RouteCount("r1", bad)]
        routes[0].steps[judgement.find_bucket(service_s)] = good
        self.rollouts.receive_counts(
            messages.TargetCounts(f"n-{version}", "desk", version, 7, routes)
        )

    async def judge(self, elapsed_s: float) -> None:
        """Runs the judgement of the node at a time after the order."""
        progress = self.rollouts._find_progress("desk")
        assert progress is not None
        self.clock.now_s = progress.started_s + elapsed_s
        await self.rollouts._judge(progress)


def make_target(number: int, version: str) -> known_target.Candidate:
    """Returns a ready target."""
    return known_target.Candidate(
        f"n{number}",
        "desk",
        version,
        "r1",
        "d1",
        "127.0.0.1",
        1,
        "i",
        "ready",
        6,
    )


@pytest.fixture
def harness(monkeypatch) -> Harness:
    """Rollout controller that repeats datagrams without delay."""
    monkeypatch.setattr(rollout, "REPEAT_INTERVAL_S", 0.0)
    monkeypatch.setattr(rollout, "WRITE_RETRY_DELAY_S", 0.0)
    return Harness()


async def test_a_version_gets_nothing_before_its_order():
    """Guards against requests to a version that has not been ordered."""
    harness = Harness(None)
    harness.targets = harness.targets[:6]
    assert harness.allowed_versions() == {"v1"}


async def test_only_canaries_use_the_new_version(harness):
    """Guards against an open rollout that gets all requests."""
    assert harness.allowed_versions() == {"v1"}
    assert harness.allowed_versions(canary=True) == {"v2"}


async def test_exposure_stays_within_its_bound(harness):
    """Guards against exposing more requests to a bad version than allowed."""
    exposed = calls = 0
    for _ in range(16 * 60):
        calls += 1
        exposed += harness.rollouts.select_canary("desk")
        harness.clock.now_s += 1 / 60
    assert 0 < exposed <= 0.1 * calls + 50


async def test_a_restarted_node_gets_no_slack_again(harness):
    """Guards against exposure that grows with each restart."""
    harness.document.number = ORDER.number + 1
    calls = 16 * 60
    exposed = 0
    for _ in range(calls):
        exposed += harness.rollouts.select_canary("desk")
        harness.clock.now_s += 1 / 60
    assert 0 < exposed <= 0.1 * calls


async def test_few_good_responses_do_not_complete_a_rollout(harness):
    """Guards against completing a bad version on too little evidence."""
    harness.count("v1", 200, 2)
    harness.count("v2", 4, 0)
    await harness.judge(15.5)
    assert not harness.decision_store.written
    await harness.judge(33.0)
    assert harness.decision_store.written[0].state is messages.State.ROLLED_BACK


async def test_new_targets_get_nothing_while_they_are_cold(harness):
    """Guards against bursts to targets that have just started."""
    harness.rollouts.select_canary("desk")
    harness.clock.now_s += 2.9
    assert not harness.rollouts.select_canary("desk")


async def test_a_bad_version_is_rolled_back_early(harness):
    """Guards against a bad version that stays until the rollout's end."""
    harness.count("v1", 200, 2)
    harness.count("v2", 10, 6)
    await harness.judge(5.0)
    assert [d.state for d in harness.decision_store.written] == [
        messages.State.ROLLED_BACK
    ]
    assert harness.allowed_versions(canary=True) == {"v1"}


async def test_a_slow_version_is_bad(harness):
    """Guards against a version that succeeds, but eight times as slowly."""
    harness.count("v1", 200, 0, service_s=0.1)
    harness.count("v2", 12, 0, service_s=0.9)
    await harness.judge(5.0)
    assert harness.decision_store.written[0].state is messages.State.ROLLED_BACK


async def test_one_bad_route_is_not_hidden_by_the_total(harness):
    """Guards against a bad route that the average of all routes hides."""
    old = [judgement.RouteCount("r1"), judgement.RouteCount("r2")]
    new = [judgement.RouteCount("r1"), judgement.RouteCount("r2", 4)]
    old[0].steps[6] = 400
    old[1].steps[6] = 80
    new[0].steps[6] = 60
    new[1].steps[6] = 4
    harness.rollouts.receive_counts(
        messages.TargetCounts("a", "desk", "v1", 7, old)
    )
    harness.rollouts.receive_counts(
        messages.TargetCounts("b", "desk", "v2", 7, new)
    )
    await harness.judge(5.0)
    assert harness.decision_store.written[0].state is messages.State.ROLLED_BACK


async def test_failures_of_all_versions_cause_no_rollback(harness):
    """Guards against rolling back a good version for unrelated failures."""
    harness.count("v1", 120, 60)
    harness.count("v2", 20, 10)
    await harness.judge(5.0)
    assert not harness.decision_store.written


async def test_a_good_version_is_completed_in_time(harness):
    """Guards against rollouts that are decided after their end."""
    harness.count("v1", 200, 2)
    harness.count("v2", 40, 0)
    await harness.judge(14.0)
    assert not harness.decision_store.written
    await harness.judge(15.5)
    assert harness.decision_store.written[0].state is messages.State.COMPLETED
    assert harness.allowed_versions() == {"v2"}


async def test_a_version_without_targets_is_not_completed(harness):
    """Guards against moving all requests to too few targets."""
    harness.count("v1", 200, 2)
    harness.count("v2", 40, 0)
    harness.targets = harness.targets[:5]
    await harness.judge(15.5)
    assert not harness.decision_store.written


async def test_a_bad_version_is_stopped_while_the_store_is_unavailable(harness):
    """Guards against requests to a bad version until the store is back."""
    harness.decision_store.unavailable = True
    harness.count("v1", 200, 2)
    harness.count("v2", 5, 8)
    await harness.judge(5.0)
    assert harness.allowed_versions(canary=True) == {"v1"}
    assert ("n1", messages.Stop("desk", 7)) in harness.sent


async def test_the_first_decision_wins(harness):
    """Guards against two judges with different decisions."""
    harness.decision_store.competing = messages.Decision(
        "desk", "v2", 8, messages.State.COMPLETED
    )
    harness.count("v1", 200, 2)
    harness.count("v2", 5, 8)
    await harness.judge(5.0)
    decision = harness.rollouts.decisions["desk"]
    assert decision.state is messages.State.COMPLETED


async def test_a_node_that_missed_the_decision_receives_it(harness):
    """Guards against a node that misses a decision and keeps counting."""
    decision = messages.Decision("desk", "v2", 7, messages.State.COMPLETED)
    harness.rollouts.receive_decision(decision)
    harness.count("v1", 1, 0)
    assert harness.sent == [("n-v1", decision)]


async def test_a_node_without_loaded_decisions_sends_no_canaries(harness):
    """Guards against a restart that reopens a rolled-back rollout."""
    harness.rollouts.decisions_loaded = False
    for _ in range(16 * 60):
        assert not harness.rollouts.select_canary("desk")
        harness.clock.now_s += 1 / 60
    assert harness.allowed_versions() == {"v1"}
    harness.targets = harness.targets[4:]
    assert harness.allowed_versions() == {"v2"}


async def test_a_restarted_node_queries_until_it_knows_the_decision(
    harness, monkeypatch
):
    """Guards against decisions that a node never receives."""
    monkeypatch.setattr(rollout, "TICK_S", 0.0)
    harness.rollouts.decisions_loaded = False
    harness.decision_store.unavailable = True

    async def let_time_pass() -> None:
        for _ in range(20):
            harness.clock.now_s += 0.2
            await anyio.sleep(0.001)

    async with anyio.create_task_group() as group:
        group.start_soon(harness.rollouts.run)
        await let_time_pass()
        assert ("n1", messages.DecisionQuery("n0", "desk", 7)) in harness.sent
        assert not harness.rollouts.decisions_loaded
        harness.decision_store.unavailable = False
        harness.decision_store.written = [
            messages.Decision("desk", "v2", 9, messages.State.ROLLED_BACK)
        ]
        await let_time_pass()
        group.cancel_scope.cancel()
    assert harness.rollouts.decisions_loaded
    assert harness.allowed_versions(canary=True) == {"v1"}


async def test_a_query_is_answered_with_the_decision(harness):
    """Guards against canary requests to a version that was rolled back."""
    query = messages.DecisionQuery("n3", "desk", 7)
    harness.rollouts.receive_query(query)
    assert harness.sent == []
    harness.rollouts.receive_stop(messages.Stop("desk", 7))
    harness.rollouts.receive_query(query)
    decision = messages.Decision("desk", "v2", 7, messages.State.ROLLED_BACK)
    harness.rollouts.receive_decision(decision)
    harness.rollouts.receive_query(query)
    assert harness.sent == [("n3", messages.Stop("desk", 7)), ("n3", decision)]


@pytest.mark.parametrize("seed", range(20))
async def test_judgement_over_seeds(seed, monkeypatch):
    """Guards against completing bad versions.

    A canary sample of 40 responses comes from a version that fails half of its
    requests. Of the old version's responses, 5 in 100 fail from other causes.
    """
    monkeypatch.setattr(rollout, "REPEAT_INTERVAL_S", 0.0)
    rng = random.Random(seed)
    harness = Harness()
    bad = sum(rng.random() < 0.5 for _ in range(40))
    old = sum(rng.random() < 0.05 for _ in range(400))
    harness.count("v1", 400 - old, old)
    harness.count("v2", 40 - bad, bad)
    await harness.judge(15.5)
    assert harness.decision_store.written[0].state is messages.State.ROLLED_BACK


@pytest.mark.parametrize(("order", "reads"), [(None, 0), (ORDER, 1)])
async def test_decisions_are_read_at_the_start_only_with_an_order(order, reads):
    """Guards against a read by each node of a fleet that starts.

    Each call to the table has a price.
    """
    harness = Harness(order)
    count = 0
    read_all = harness.decision_store.read_all

    async def count_read():
        nonlocal count
        count += 1
        return await read_all()

    harness.decision_store.read_all = count_read  # type: ignore[method-assign]
    await harness.rollouts.load_ordered_decisions()
    assert count == reads
