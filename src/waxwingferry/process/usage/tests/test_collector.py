"""Questions to nodes that are slow, suspended, gone or malicious."""

import anyio
import pytest

from waxwingferry.process.spreading import peers
from waxwingferry.process.usage import messages
from waxwingferry.process.usage.tests import world as worlds


class Fixture:
    """A collector on a virtual clock, with given answers.

    Attributes:
        delays_s: Time until each further reply of a node other than n0.
        error: Raised in place of a reply, or None.
    """

    def __init__(self, delays_s: list[float]):
        self.world = worlds.World(2)
        self.delays_s = delays_s
        self.error: Exception | None = None
        self.questions: list[messages.Question] = []
        self.collector = self.world.nodes[0].collector
        self.collector.ask = self.ask
        self.collector.times.offset_s = worlds.OFFSET_S

    async def ask(self, row, question):
        """Stands in for PeerClient.fetch_usage."""
        self.questions.append(question)
        if self.error is not None:
            raise self.error
        delay_s = self.delays_s[
            min(len(self.questions), len(self.delays_s)) - 1
        ]
        await self.world.clock.sleep(delay_s)
        wall_s = self.world.clock() + worlds.OFFSET_S
        return messages.Reply(wall_s, {"a": len(self.questions)}, "i")

    async def collect(self, run_s: float = 20) -> tuple[dict, float]:
        """Collects window 1000; returns counts and the time after its end."""
        results = []

        async def collect():
            counts = await self.collector.collect(1000)
            results.append((counts, self.world.clock() - 1005))

        await self.world.clock.run(6)
        async with anyio.create_task_group() as group:
            group.start_soon(collect)
            await self.world.clock.run(run_s)
        return results[0]


async def test_a_question_asks_for_the_whole_window():
    """Guards against spans that are shifted by the network's delay."""
    fixture = Fixture([0.1])
    counts, after_s = await fixture.collect()
    assert counts == {"a": 1}
    assert after_s == pytest.approx(1.1)
    (question,) = fixture.questions
    assert (question.from_age_ms, question.to_age_ms) == (6000, 1000)
    assert question.holder == "n0"
    # The round trip is known by the next question.
    fixture.collector.round_trips_s["n1"] = 0.1
    now_s = fixture.world.clock()
    question = fixture.collector._make_question("n1", 1000, now_s)
    assert question.to_age_ms == round((now_s - 1005) * 1000) + 50


async def test_a_slow_reply_is_replaced_by_a_faster_one():
    """Guards against counts of an uncertain span if there are better ones."""
    counts, _ = await Fixture([0.6, 0.1]).collect()
    assert counts == {"a": 2}
    # A node that is always slow is asked no more than three times.
    fixture = Fixture([0.6, 0.5, 0.7, 0.1])
    counts, _ = await fixture.collect()
    assert counts == {"a": 2}
    assert len(fixture.questions) == 3


async def test_a_reply_from_before_a_suspension_is_not_used():
    """Guards against the counts of another span after a freeze."""
    fixture = Fixture([30.0, 0.1])
    counts, after_s = await fixture.collect(60)
    assert counts == {"a": 2}
    assert after_s > 30


@pytest.mark.parametrize(
    ("error", "expected_s"),
    [
        (peers.PeerError("refused"), 1.0),
        (peers.PeerError("timeout"), 7.0),
    ],
)
async def test_only_a_process_that_may_come_back_is_waited_for(
    error, expected_s
):
    """Guards against reports that each node that ended delays."""
    fixture = Fixture([])
    fixture.error = error
    if expected_s == 1.0:
        error.__cause__ = ConnectionRefusedError()
    fixture.world.nodes[0].usage.records.record("own")
    counts, after_s = await fixture.collect()
    assert counts == {"own": 1}
    assert after_s == pytest.approx(expected_s, abs=0.5)
    # Once it has missed two windows it is not waited for any more.
    fixture.collector.unreachable["n1"] = 2
    count = len(fixture.questions)
    async with anyio.create_task_group() as group:
        group.start_soon(fixture.collector.collect, 1001)
        await fixture.world.clock.run(1)
    assert len(fixture.questions) == count + 1
