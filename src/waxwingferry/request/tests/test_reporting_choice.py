"""Choice at the entry among targets that report their present load."""

import random
from typing import Any
from typing import cast

import pytest

from waxwingferry.process import metrics
from waxwingferry.process.choice import cost
from waxwingferry.process.choice import known_target
from waxwingferry.process.choice import load_stats
from waxwingferry.process.choice import routing
from waxwingferry.process.spreading import members
from waxwingferry.process.tests import fakes
from waxwingferry.request import attempt_history
from waxwingferry.request import calls
from waxwingferry.request import entry
from waxwingferry.version import revision

pytestmark = pytest.mark.anyio

CALL = calls.Call(
    call_id="c1",
    service="desk",
    method="GET",
    request_target="/",
    headers=[],
    body=calls.Body(b""),
    deadline=calls.make_deadline(5.0),
    member="",
    depth=1,
    idempotent=True,
)


class FakeQueries:
    """Nodes that report, or don't, without a network.

    Attributes:
        busy: Whether all targets report that they are busy.
        slowness: Slowness that all targets report.
        at_s: Time of the reports.
        silent: Whether no node reports.
        asked: The groups of nodes that were asked.
        on_wait: Called while the entry waits for reports.
    """

    def __init__(self):
        self.busy = False
        self.slowness = 1.0
        self.at_s = 100.0
        self.silent = False
        self.asked: list[list[str]] = []
        self.on_wait = lambda: None

    def is_needed(self) -> bool:
        """See load_queries.LoadQueries."""
        return True

    async def find_reporting(
        self, candidates: list[known_target.Candidate]
    ) -> list[known_target.Candidate]:
        """See load_queries.LoadQueries."""
        self.asked.append([item.node for item in candidates])
        self.on_wait()
        for item in candidates:
            item.load = load_stats.LoadReport(
                limit=6,
                at_s=self.at_s,
                busy=self.busy,
                slowness=self.slowness,
            )
        return [] if self.silent else list(candidates)


class Harness:
    """An entry in domain d1 that knows eight targets in four domains."""

    def __init__(self):
        self.clock = clock = fakes.Clock()
        clock.now_s = 100.0
        self.members = members.Membership("entry", clock)
        for number in range(8):
            self.members.apply(fakes.make_row(number))
        nothing = cast(Any, None)
        document = revision.Revision(1, {}, [], {})
        self.entry = entry.EntryHandler(
            "entry",
            lambda: document,
            self.members,
            routing.Router(
                random.Random(1),
                clock,
                routing.Policy.STATED,
                cost.Location("entry", "r1", "d1"),
            ),
            nothing,
            nothing,
            metrics.Metrics(),
            random.Random(1),
        )
        self.queries = FakeQueries()
        self.entry.load_queries = cast(Any, self.queries)
        self.history = attempt_history.AttemptHistory()

    async def choose(self) -> known_target.Candidate | None:
        """Chooses the target of an attempt."""
        return await self.entry._choose_reporting(CALL, self.history)


async def test_cold_targets_count_as_free_while_all_are_cold():
    """Guards against a wait in a queue beside idle targets in warm-up."""
    harness = Harness()
    harness.queries.slowness = 2.0
    await harness.choose()
    harness.clock.now_s += 2 * load_stats.USUAL_SLOWNESS_INTERVAL_S
    harness.queries.at_s = harness.clock.now_s
    harness.queries.asked.clear()
    harness.history = attempt_history.AttemptHistory()
    assert await harness.choose() is not None
    # Other domains need not be asked, and the attempt may still be rerouted.
    assert len(harness.queries.asked) == 1
    assert harness.history.may_reroute()


async def test_other_domains_are_not_asked_while_a_near_target_is_free():
    """Guards against datagrams and requests between failure domains."""
    harness = Harness()
    chosen = await harness.choose()
    assert chosen is not None
    assert chosen.failure_domain == "d1"
    assert len(harness.queries.asked) == 1


async def test_a_call_is_not_refused_as_busy_where_all_targets_are():
    """Guards against refusals that cost a round trip each and change nothing.

    Load pattern: all power was lost, and all targets are cold and slow. Each
    request was refused as busy four times before it was queued.
    """
    harness = Harness()
    harness.queries.busy = True
    assert await harness.choose() is not None
    assert len(harness.queries.asked) == 2
    assert not harness.history.may_reroute()


async def test_silent_nodes_are_not_taken_for_busy_ones():
    """Guards against calls that queue although other targets may be free."""
    harness = Harness()
    harness.queries.silent = True
    assert await harness.choose() is None
    assert harness.history.may_reroute()


async def test_a_target_that_leaves_while_loads_are_asked_for_is_not_chosen():
    """Guards against requests to a target after its leave was confirmed."""
    harness = Harness()

    def leave() -> None:
        for number in (0, 4):
            row = fakes.make_row(number, state="draining", change=2)
            harness.members.apply(row)

    harness.queries.on_wait = leave
    assert await harness.choose() is None
