"""Version rollouts: which targets a call may use, and how a move is judged."""

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

MOVE = revision.RolloutOrder("desk", "v2", 16.0, 7)


class DecisionStore:
    """Decisions in memory; answers can be made to fail."""

    def __init__(self):
        self.written: list[messages.Decision] = []
        self.down = False
        self.competing: messages.Decision | None = None

    async def read_all(self):
        """See rollout.DecisionStore."""
        if self.down:
            raise platform.PlatformError("down")
        if self.competing is not None:
            return [(self.competing, self.competing.number)]
        return [(item, 9) for item in self.written]

    async def write(self, decision, if_version):
        """See rollout.DecisionStore."""
        if self.down:
            raise platform.PlatformError("down")
        if self.competing is not None:
            raise platform.ConflictError("status", None)
        self.written.append(decision)


class Made:
    """The moves of node n0 with all that surrounds them."""

    def __init__(self, move: revision.RolloutOrder | None = MOVE):
        self.clock = fakes.Clock()
        self.decision_store = DecisionStore()
        self.sent: list[tuple[str, object]] = []
        self.targets = [make_target(n, "v1") for n in range(4)]
        self.targets += [make_target(n, "v2") for n in range(4, 8)]
        services = {"desk": revision.Service("desk", warmup_s=3.0)}
        rollouts = {"desk": move} if move else {}
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
            share=0.1,
            slack=50.0,
            clock=self.clock,
        )
        self.rollouts.informed = True

    def versions(self, canary: bool = False) -> set[str]:
        """Returns the versions that a call may use."""
        found = self.rollouts.filter_targets("desk", self.targets, canary)
        return {item.version for item in found}

    def count(self, version: str, good: int, bad: int, used_s=0.2) -> None:
        """Counts answers of a target of node n-version."""
        routes = [judgement.RouteCount("r1", bad)]
        routes[0].steps[judgement.find_step(used_s)] = good
        self.rollouts.receive_counts(
            messages.TargetCounts(f"n-{version}", "desk", version, 7, routes)
        )

    async def judge(self, elapsed_s: float) -> None:
        """Lets the node judge at a time after the order."""
        progress = self.rollouts._find_progress("desk")
        assert progress is not None
        self.clock.now_s = progress.seen_s + elapsed_s
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
def made(monkeypatch) -> Made:
    """Moves whose repeated datagrams don't wait."""
    monkeypatch.setattr(rollout, "REPEAT_GAP_S", 0.0)
    monkeypatch.setattr(rollout, "WRITE_RETRY_S", 0.0)
    return Made()


async def test_a_version_gets_nothing_before_its_order():
    """Guards against requests at a version that no order allows yet."""
    made = Made(None)
    made.targets = made.targets[:6]
    assert made.versions() == {"v1"}


async def test_only_canaries_meet_the_new_version(made):
    """Guards against an open move that takes all requests."""
    assert made.versions() == {"v1"}
    assert made.versions(canary=True) == {"v2"}


async def test_exposure_stays_within_its_bound(made):
    """Guards against more requests at a bad version than its share allows."""
    exposed = calls = 0
    for _ in range(16 * 60):
        calls += 1
        exposed += made.rollouts.select_canary("desk")
        made.clock.now_s += 1 / 60
    assert 0 < exposed <= 0.1 * calls + 50


async def test_a_restarted_node_gets_no_slack_again(made):
    """Guards against exposure that grows with each restart."""
    made.document.number = MOVE.number + 1
    calls = 16 * 60
    exposed = 0
    for _ in range(calls):
        exposed += made.rollouts.select_canary("desk")
        made.clock.now_s += 1 / 60
    assert 0 < exposed <= 0.1 * calls


async def test_few_good_answers_leave_a_doubt(made):
    """Guards against a bad version completed for want of evidence."""
    made.count("v1", 200, 2)
    made.count("v2", 4, 0)
    await made.judge(15.5)
    assert not made.decision_store.written
    await made.judge(33.0)
    assert made.decision_store.written[0].state is messages.State.ROLLED_BACK


async def test_new_targets_get_nothing_while_they_are_cold(made):
    """Guards against bursts at targets that have just started."""
    made.rollouts.select_canary("desk")
    made.clock.now_s += 2.9
    assert not made.rollouts.select_canary("desk")


async def test_a_bad_version_is_taken_back_at_once(made):
    """Guards against a bad version that stays until the end of the move."""
    made.count("v1", 200, 2)
    made.count("v2", 10, 6)
    await made.judge(5.0)
    assert [d.state for d in made.decision_store.written] == [
        messages.State.ROLLED_BACK
    ]
    assert made.versions(canary=True) == {"v1"}


async def test_a_slow_version_is_bad(made):
    """Guards against a version whose answers are right but eight times late."""
    made.count("v1", 200, 0, used_s=0.1)
    made.count("v2", 12, 0, used_s=0.9)
    await made.judge(5.0)
    assert made.decision_store.written[0].state is messages.State.ROLLED_BACK


async def test_one_bad_route_does_not_hide_in_the_whole(made):
    """Guards against an average that a large good route makes harmless."""
    old = [judgement.RouteCount("r1"), judgement.RouteCount("r2")]
    new = [judgement.RouteCount("r1"), judgement.RouteCount("r2", 4)]
    old[0].steps[6] = 400
    old[1].steps[6] = 80
    new[0].steps[6] = 60
    new[1].steps[6] = 4
    made.rollouts.receive_counts(
        messages.TargetCounts("a", "desk", "v1", 7, old)
    )
    made.rollouts.receive_counts(
        messages.TargetCounts("b", "desk", "v2", 7, new)
    )
    await made.judge(5.0)
    assert made.decision_store.written[0].state is messages.State.ROLLED_BACK


async def test_trouble_of_all_versions_condemns_none(made):
    """Guards against a good version taken back for what all targets suffer."""
    made.count("v1", 120, 60)
    made.count("v2", 20, 10)
    await made.judge(5.0)
    assert not made.decision_store.written


async def test_a_good_version_is_completed_in_time(made):
    """Guards against moves that are decided after their time."""
    made.count("v1", 200, 2)
    made.count("v2", 40, 0)
    await made.judge(14.0)
    assert not made.decision_store.written
    await made.judge(15.5)
    assert made.decision_store.written[0].state is messages.State.COMPLETED
    assert made.versions() == {"v2"}


async def test_a_version_without_targets_is_not_completed(made):
    """Guards against all requests moved to targets that are not there."""
    made.count("v1", 200, 2)
    made.count("v2", 40, 0)
    made.targets = made.targets[:5]
    await made.judge(15.5)
    assert not made.decision_store.written


async def test_a_bad_version_is_stopped_while_the_table_is_away(made):
    """Guards against requests at a bad version until its end is written."""
    made.decision_store.down = True
    made.count("v1", 200, 2)
    made.count("v2", 5, 8)
    await made.judge(5.0)
    assert made.versions(canary=True) == {"v1"}
    assert ("n1", messages.Stop("desk", 7)) in made.sent


async def test_the_first_decision_stands(made):
    """Guards against two judges that decide differently."""
    made.decision_store.competing = messages.Decision(
        "desk", "v2", 8, messages.State.COMPLETED
    )
    made.count("v1", 200, 2)
    made.count("v2", 5, 8)
    await made.judge(5.0)
    decision = made.rollouts.decisions["desk"]
    assert decision.state is messages.State.COMPLETED


async def test_a_node_that_missed_the_decision_is_told(made):
    """Guards against counts of a move that ended without a lost datagram."""
    decision = messages.Decision("desk", "v2", 7, messages.State.COMPLETED)
    made.rollouts.receive_decision(decision)
    made.count("v1", 1, 0)
    assert made.sent == [("n-v1", decision)]


async def test_a_node_that_has_read_no_decisions_tries_nothing(made):
    """Guards against a restart that opens a move which was taken back."""
    made.rollouts.informed = False
    for _ in range(16 * 60):
        assert not made.rollouts.select_canary("desk")
        made.clock.now_s += 1 / 60
    assert made.versions() == {"v1"}
    made.targets = made.targets[4:]
    assert made.versions() == {"v2"}


async def test_a_restarted_node_asks_until_it_is_told(made, monkeypatch):
    """Guards against decisions that a node never hears of."""
    monkeypatch.setattr(rollout, "TICK_S", 0.0)
    made.rollouts.informed = False
    made.decision_store.down = True

    async def let_time_pass() -> None:
        for _ in range(20):
            made.clock.now_s += 0.2
            await anyio.sleep(0.001)

    async with anyio.create_task_group() as group:
        group.start_soon(made.rollouts.run)
        await let_time_pass()
        assert ("n1", messages.DecisionQuery("n0", "desk", 7)) in made.sent
        assert not made.rollouts.informed
        made.decision_store.down = False
        made.decision_store.written = [
            messages.Decision("desk", "v2", 9, messages.State.ROLLED_BACK)
        ]
        await let_time_pass()
        group.cancel_scope.cancel()
    assert made.rollouts.informed
    assert made.versions(canary=True) == {"v1"}


async def test_a_question_is_answered_with_the_decision(made):
    """Guards against a node that tries a version taken back elsewhere."""
    question = messages.DecisionQuery("n3", "desk", 7)
    made.rollouts.receive_query(question)
    assert made.sent == []
    made.rollouts.receive_stop(messages.Stop("desk", 7))
    made.rollouts.receive_query(question)
    decision = messages.Decision("desk", "v2", 7, messages.State.ROLLED_BACK)
    made.rollouts.receive_decision(decision)
    made.rollouts.receive_query(question)
    assert made.sent == [("n3", messages.Stop("desk", 7)), ("n3", decision)]


@pytest.mark.parametrize("seed", range(20))
async def test_judgement_over_seeds(seed, monkeypatch):
    """Guards against bad versions completed; good ones mostly are.

    A canary sample of 40 meets a version that fails half of its requests, or
    a good one, with 5 in 100 failures of both from other causes.
    """
    monkeypatch.setattr(rollout, "REPEAT_GAP_S", 0.0)
    rng = random.Random(seed)
    made = Made()
    bad = sum(rng.random() < 0.5 for _ in range(40))
    old = sum(rng.random() < 0.05 for _ in range(400))
    made.count("v1", 400 - old, old)
    made.count("v2", 40 - bad, bad)
    await made.judge(15.5)
    assert made.decision_store.written[0].state is messages.State.ROLLED_BACK
