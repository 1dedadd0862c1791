"""Tests of version rollouts when the store is restored from a copy."""

import contextlib

import anyio
import pytest

from waxwingferry.platform import decisions
from waxwingferry.platform import operator_document
from waxwingferry.platform import store
from waxwingferry.platform.tests import fake_store
from waxwingferry.platform.tests import test_operator_document
from waxwingferry.process import platform
from waxwingferry.process.choice import known_target
from waxwingferry.process.tests import fakes
from waxwingferry.version import judgement
from waxwingferry.version import messages
from waxwingferry.version import rollout

pytestmark = pytest.mark.anyio

ORDER = {"service": "desk", "target": "v2", "duration": "16s"}
ROLLED_BACK = messages.State.ROLLED_BACK
COMPLETED = messages.State.COMPLETED
STATUS_KEY = "status/rollout/desk"


class RolloutNode:
    """A node with its document, its rollouts and its access to the store."""

    def __init__(self, name: str, table: store.StoreTable, clock: fakes.Clock):
        self.table = table
        self.document = operator_document.OperatorDocument(
            table, test_operator_document.BOUNDS
        )
        self.sent: list[tuple[str, messages.Message]] = []
        targets = [make_target(number, "v1") for number in range(4)]
        targets += [make_target(number, "v2") for number in range(4, 8)]
        self.targets = targets
        self.rollouts = rollout.RolloutController(
            name,
            lambda: self.document.revision,
            lambda service: targets,
            decisions.StatusDecisionStore(table),
            lambda: ["n0", "n1", "n2"],
            lambda node, item: self.sent.append((node, item)),
            exposure_share=0.1,
            exposure_slack=50.0,
            clock=clock,
        )
        table.on_restored = self.rollouts.handle_restore

    async def start(self) -> None:
        """Loads the state as a process does at its start."""
        await self.document.read()
        await self.rollouts.load_decisions()
        self.rollouts._find_progress("desk")

    async def follow_restore(self) -> None:
        """Reads the restored table and does the periodic work once."""
        await self.document.read()
        await self.tick()

    async def tick(self) -> None:
        """Does the periodic work once."""
        assert self.document.revision is not None
        self.rollouts._find_progress("desk")
        await self.rollouts._restore_decisions()
        await self.rollouts._send_queries(self.document.revision)

    async def judge(self) -> None:
        """Judges the version if it is undecided and the node may."""
        if not self.is_decided:
            await self.rollouts._judge(self.progress)

    @property
    def progress(self) -> rollout._RolloutProgress:
        """Progress of the rollout at this node."""
        progress = self.rollouts._find_progress("desk")
        assert progress is not None
        return progress

    @property
    def is_decided(self) -> bool:
        """Whether the node knows a decision on the order in force."""
        return self.rollouts._is_decided(self.progress)

    def allowed_versions(self) -> set[str]:
        """Returns the versions of the targets that a call may use."""
        found = self.rollouts.filter_targets("desk", self.targets, False)
        return {item.version for item in found}

    def count_good(self) -> None:
        """Delivers counts by which the version is good."""
        for version in ("v1", "v2"):
            routes = [judgement.RouteCount("r1", 0)]
            routes[0].steps[judgement.find_bucket(0.2)] = 100
            self.rollouts.receive_counts(
                messages.TargetCounts(
                    f"t-{version}",
                    "desk",
                    version,
                    self.progress.order.number,
                    routes,
                )
            )


def make_target(number: int, version: str) -> known_target.Candidate:
    """Returns a ready target."""
    return known_target.Candidate(
        f"n{number}", "desk", version, "r1", "d1", "h", 1, "i", "ready", 6
    )


@pytest.fixture(autouse=True)
def without_delays(monkeypatch):
    """Repeats datagrams and retries without delay."""
    monkeypatch.setattr(rollout, "REPEAT_INTERVAL_S", 0.0)
    monkeypatch.setattr(rollout, "WRITE_RETRY_DELAY_S", 0.0)


@contextlib.asynccontextmanager
async def run_nodes(count: int):
    """Runs a store; yields it, the clock and nodes that read the same order."""
    async with fake_store.run_store() as (fake, _):
        clock = fakes.Clock()
        fake.put("op", "config", test_operator_document.CONFIG)
        async with anyio.create_task_group() as group:
            nodes = [
                RolloutNode(
                    f"n{number}",
                    await fake_store.connect_node(
                        fake, fake_store.StoreAccess(), group
                    ),
                    clock,
                )
                for number in range(count)
            ]
            yield fake, clock, nodes
            group.cancel_scope.cancel()


async def decide(
    nodes: list[RolloutNode], state: messages.State, if_version: int = 0
) -> None:
    """Writes a decision on the order in force and tells all nodes."""
    number = nodes[0].progress.order.number
    decision = messages.Decision("desk", "v2", number, state)
    await nodes[0].rollouts.decision_store.write(decision, if_version)
    for node in nodes:
        node.rollouts.receive_decision(decision)


async def read_state(node: RolloutNode) -> str | None:
    """Returns the state of the rollout that the operator reads."""
    row = await node.table.read(STATUS_KEY)
    return row.value["state"] if row is not None and row.value else None


async def test_an_open_rollout_continues_over_a_restore():
    """Guards against a rollout that begins anew, with new exposure.

    A good version was not completed in time, because its time began anew.
    """
    async with run_nodes(1) as (fake, clock, [node]):
        await node.document.read()
        node.rollouts._record_first_revision(node.document.revision)
        backup = fake.copy()
        fake.put("members", "n1", {})
        fake.put("op", "rollout/desk", ORDER)
        await node.start()
        slack = node.progress.slack
        assert slack > 0
        started_s = node.progress.started_s
        node.progress.exposed = 7
        node.count_good()
        clock.now_s += 8
        fake.restore(backup)
        fake.put("op", "rollout/desk", ORDER)
        await node.follow_restore()
        assert node.progress.order.number == platform.make_version(
            fake.era - store.FIRST_ERA, fake.version
        )
        assert node.progress.started_s == started_s
        assert (node.progress.exposed, node.progress.slack) == (7, slack)
        clock.now_s = started_s + 16
        await node.tick()
        await node.judge()
        assert await read_state(node) == "completed"


@pytest.mark.parametrize("order_copied", [False, True])
@pytest.mark.parametrize("state", [ROLLED_BACK, COMPLETED])
async def test_a_lost_decision_holds_and_is_written_again(state, order_copied):
    """Guards against a decided rollout that opens again after a restore."""
    async with run_nodes(2) as (fake, clock, nodes):
        backup = fake.copy()
        fake.put("op", "rollout/desk", ORDER)
        if order_copied:
            backup = fake.copy()
        for node in nodes:
            await node.start()
        await decide(nodes, state)
        allowed = nodes[0].allowed_versions()
        fake.restore(backup)
        if not order_copied:
            fake.put("op", "rollout/desk", ORDER)
        for node in nodes:
            await node.follow_restore()
            assert node.is_decided
            assert node.allowed_versions() == allowed
        assert await read_state(nodes[0]) == state.value
        writes = fake.paths_called.count("/-/rows-tx")
        clock.now_s += 1
        for node in nodes:
            await node.tick()
            assert not node.rollouts.restore_pending
        assert fake.paths_called.count("/-/rows-tx") == writes


async def test_a_decision_is_written_by_another_node_if_the_first_is_gone():
    """Guards against a decision that is lost together with one node."""
    async with run_nodes(3) as (fake, clock, nodes):
        backup = fake.copy()
        fake.put("op", "rollout/desk", ORDER)
        for node in nodes:
            await node.start()
        await decide(nodes, ROLLED_BACK)
        fake.restore(backup)
        fake.put("op", "rollout/desk", ORDER)
        await nodes[2].follow_restore()
        assert await read_state(nodes[2]) is None
        clock.now_s += 2 * rollout.RESTORE_RANK_DELAY_S
        await nodes[2].tick()
        assert await read_state(nodes[2]) == "rolled_back"


async def test_a_copied_decision_on_an_earlier_order_does_not_win():
    """Guards against a completed rollout that an older decision undoes."""
    async with run_nodes(2) as (fake, _, nodes):
        fake.put("op", "rollout/desk", ORDER)
        for node in nodes:
            await node.start()
        await decide(nodes, ROLLED_BACK)
        backup = fake.copy()
        fake.put("op", "rollout/desk", ORDER)
        for node in nodes:
            await node.start()
            assert not node.is_decided
        row = await nodes[0].table.read(STATUS_KEY)
        assert row is not None
        await decide(nodes, COMPLETED, row.version)
        fake.restore(backup)
        fake.put("op", "rollout/desk", ORDER)
        # The decisions may be read before the document.
        await nodes[1].rollouts.load_decisions()
        assert nodes[1].allowed_versions() == {"v2"}
        for node in nodes:
            await node.follow_restore()
            assert node.allowed_versions() == {"v2"}
        assert await read_state(nodes[0]) == "completed"


async def test_a_judge_that_missed_the_decision_makes_no_other_one():
    """Guards against two contradictory decisions on one order."""
    async with run_nodes(2) as (fake, clock, [judge, other]):
        backup = fake.copy()
        fake.put("op", "rollout/desk", ORDER)
        await judge.start()
        await other.start()
        judge.count_good()
        await decide([other], ROLLED_BACK)
        fake.restore(backup)
        fake.put("op", "rollout/desk", ORDER)
        clock.now_s += 16
        await judge.follow_restore()
        await judge.judge()
        assert await read_state(judge) is None
        await other.follow_restore()
        clock.now_s += rollout.RESTORE_RANK_DELAY_S
        await other.tick()
        clock.now_s += rollout.RESTORE_WAIT_S
        await judge.tick()
        await judge.judge()
        assert judge.is_decided
        assert judge.allowed_versions() == {"v1"}
        assert await read_state(judge) == "rolled_back"


async def test_a_judge_that_has_not_noticed_a_restore_makes_no_decision():
    """Guards against two contradictory decisions on one order.

    The judge's write was its first request to the restored store.
    """
    async with run_nodes(2) as (fake, clock, [judge, other]):
        fake.put("op", "rollout/desk", ORDER)
        await judge.start()
        await other.start()
        judge.count_good()
        backup = fake.copy()
        await decide([other], ROLLED_BACK)
        fake.restore(backup)
        clock.now_s += 17
        await judge.judge()
        assert await read_state(judge) is None
        for _ in range(3):
            await other.follow_restore()
            await judge.follow_restore()
            await judge.judge()
            clock.now_s += 3
        assert await read_state(judge) == "rolled_back"
        assert judge.allowed_versions() == {"v1"}


async def test_a_late_writer_does_not_undo_a_decision(monkeypatch):
    """Guards against a decision that replaces another one after a restore."""
    async with run_nodes(2) as (fake, _, nodes):
        backup = fake.copy()
        fake.put("op", "rollout/desk", ORDER)
        for node in nodes:
            await node.start()
        await decide(nodes, ROLLED_BACK)
        fake.restore(backup)
        fake.put("op", "rollout/desk", ORDER)
        await nodes[0].document.read()
        nodes[0].rollouts._find_progress("desk")
        # Another node writes between the read and the write.
        load_decisions = nodes[0].rollouts.load_decisions

        async def load_and_lose() -> None:
            await load_decisions()
            if ("status", "", "rollout/desk") not in fake.rows:
                value = {
                    "service": "desk",
                    "state": "completed",
                    "target": "v2",
                }
                fake.put("status", "rollout/desk", value)

        monkeypatch.setattr(nodes[0].rollouts, "load_decisions", load_and_lose)
        await nodes[0].rollouts._restore_decisions()
        assert await read_state(nodes[0]) == "completed"


async def test_a_repeated_order_in_one_era_is_a_new_one():
    """Guards against a repeated order that is taken for decided."""
    async with run_nodes(1) as (fake, _, [node]):
        backup = fake.copy()
        fake.put("op", "rollout/desk", ORDER)
        await node.start()
        await decide([node], ROLLED_BACK)
        fake.restore(backup)
        fake.put("op", "rollout/desk", ORDER)
        await node.follow_restore()
        assert node.is_decided
        fake.put("op", "rollout/desk", ORDER)
        await node.follow_restore()
        assert not node.is_decided


async def test_another_order_after_a_restore_is_a_new_one():
    """Guards against progress that is carried over to another version."""
    async with run_nodes(1) as (fake, clock, [node]):
        backup = fake.copy()
        fake.put("op", "rollout/desk", ORDER)
        await node.start()
        await decide([node], ROLLED_BACK)
        clock.now_s += 5
        fake.restore(backup)
        fake.put("op", "rollout/desk", {**ORDER, "target": "v3"})
        await node.follow_restore()
        assert not node.is_decided
        assert node.progress.started_s == clock.now_s


async def test_a_decision_holds_over_two_restores_in_a_row():
    """Guards against handling only the first of two restores."""
    async with run_nodes(2) as (fake, clock, nodes):
        backup = fake.copy()
        fake.put("op", "rollout/desk", ORDER)
        for node in nodes:
            await node.start()
        await decide(nodes, ROLLED_BACK)
        fake.restore(backup)
        fake.put("op", "rollout/desk", ORDER)
        await nodes[0].document.read()
        fake.restore(backup)
        fake.put("op", "rollout/desk", ORDER)
        for _ in range(2):
            for node in nodes:
                await node.follow_restore()
            clock.now_s += 1
        for node in nodes:
            assert node.is_decided
            assert node.allowed_versions() == {"v1"}
        assert await read_state(nodes[0]) == "rolled_back"


async def test_a_restarted_node_learns_a_decision_that_was_written_again():
    """Guards against a process that sends requests to a rejected version."""
    async with run_nodes(2) as (fake, _, [first, restarted]):
        backup = fake.copy()
        fake.put("op", "rollout/desk", ORDER)
        await first.start()
        await decide([first], ROLLED_BACK)
        fake.restore(backup)
        fake.put("op", "rollout/desk", ORDER)
        await first.follow_restore()
        await restarted.start()
        assert restarted.is_decided
        assert restarted.allowed_versions() == {"v1"}


async def test_a_decision_of_a_node_without_the_store_has_the_old_number():
    """Guards against a decision that is ignored because of its old number."""
    async with run_nodes(2) as (fake, _, [node, cut_off]):
        backup = fake.copy()
        fake.put("op", "rollout/desk", ORDER)
        await node.start()
        await cut_off.start()
        number = cut_off.progress.order.number
        decision = messages.Decision("desk", "v2", number, ROLLED_BACK)
        fake.restore(backup)
        fake.put("op", "rollout/desk", ORDER)
        await node.follow_restore()
        assert not node.is_decided
        node.rollouts.receive_decision(decision)
        assert node.is_decided
        # The node without the store gets the document from a peer.
        cut_off.rollouts.receive_decision(decision)
        assert node.document.revision is not None
        cut_off.document.apply_if_newer(
            node.document.number, node.document.revision.content
        )
        assert cut_off.is_decided


async def test_counts_and_stops_with_the_old_number_are_used():
    """Guards against counts lost while some nodes know only the old number."""
    async with run_nodes(1) as (fake, _, [node]):
        backup = fake.copy()
        fake.put("op", "rollout/desk", ORDER)
        await node.start()
        number = node.progress.order.number
        fake.restore(backup)
        fake.put("op", "rollout/desk", ORDER)
        await node.follow_restore()
        counts = messages.TargetCounts("n1", "desk", "v2", number, [])
        node.rollouts.receive_counts(counts)
        assert node.progress.counts == {"n1": counts}
        node.rollouts.receive_stop(messages.Stop("desk", number))
        assert node.progress.stopped


async def test_a_query_with_the_old_number_is_answered_with_the_stop():
    """Guards against a node without the store that uses a bad version."""
    async with run_nodes(2) as (fake, _, [node, cut_off]):
        backup = fake.copy()
        fake.put("op", "rollout/desk", ORDER)
        await node.start()
        await cut_off.start()
        number = cut_off.progress.order.number
        node.rollouts.receive_stop(messages.Stop("desk", number))
        fake.restore(backup)
        fake.put("op", "rollout/desk", ORDER)
        await node.document.read()
        assert node.progress.order.number != number
        node.rollouts.receive_query(
            messages.DecisionQuery("n1", "desk", number)
        )
        [(name, stop)] = node.sent
        assert name == "n1"
        assert isinstance(stop, messages.Stop)
        cut_off.rollouts.receive_stop(stop)
        assert cut_off.progress.stopped


async def test_reads_after_a_restore_are_spread_over_many_nodes(monkeypatch):
    """Guards against all nodes reading the decisions at the same moment."""
    async with run_nodes(1) as (_, _, [node]):
        names = [f"n{number:03}" for number in range(660)]
        monkeypatch.setattr(node.rollouts, "judges", lambda: names)
        delays_s = []
        for name in names:
            node.rollouts.node = name
            delays_s.append(node.rollouts._find_restore_delay_s())
        assert delays_s == sorted(delays_s)
        assert delays_s[0] == 0
        busiest = max(
            sum(0 <= other_s - delay_s < 1 for other_s in delays_s)
            for delay_s in delays_s
        )
        assert busiest <= 150


async def test_canary_requests_continue_while_judges_wait():
    """Guards against a good version that lacks answers after a restore.

    It was completed too late, because it got no requests for 3 s.
    """
    async with run_nodes(1) as (fake, clock, [node]):
        await node.document.read()
        node.rollouts._record_first_revision(node.document.revision)
        backup = fake.copy()
        fake.put("members", "n1", {})
        fake.put("op", "rollout/desk", ORDER)
        await node.start()
        clock.now_s += 8
        fake.restore(backup)
        fake.put("op", "rollout/desk", ORDER)
        await node.follow_restore()
        exposed = 0
        while node.rollouts._is_settling():
            exposed += node.rollouts.select_canary("desk")
            clock.now_s += 0.1
        assert exposed > 0
