"""Claims of one key by several nodes, with reads and writes in random order."""

import random

import anyio
import anyio.lowlevel
import hypothesis
from hypothesis import strategies
import pytest

from waxwingferry.process import background
from waxwingferry.process import metrics
from waxwingferry.process import platform
from waxwingferry.process.tests import fakes
from waxwingferry.request import answer_recorder
from waxwingferry.request import claim
from waxwingferry.request import outcome
from waxwingferry.request.tests import test_faults


class SlowTable(fakes.Table):
    """A table whose requests and responses take a random number of steps."""

    async def delay(self) -> None:
        """Lets other tasks run for a while."""
        for _ in range(self.rng.choice((0, 0, 1, 3, 9, 20))):
            await anyio.lowlevel.checkpoint()

    async def read(self, key):
        """See platform.Table."""
        await self.delay()
        row = await super().read(key)
        await self.delay()
        return row

    async def transact(self, writes):
        """See platform.Table."""
        await self.delay()
        try:
            return await super().transact(writes)
        finally:
            await self.delay()


@hypothesis.settings(
    max_examples=100, deadline=None, derandomize=True, database=None
)
@hypothesis.given(strategies.integers(0, 2**32), strategies.booleans())
def test_a_key_is_claimed_once_in_any_order(seed: int, loses: bool) -> None:
    """Guards against a row that is taken for an older or newer one.

    The version of the row orders all that nodes read and write of a claim. A
    released claim may be taken again, one that ran may not, and a call that
    is refused as not run does not run later.
    """
    rng = random.Random(seed)
    table = SlowTable(rng)
    table.lose_share = 0.3 if loses else 0.0
    ran: list[int] = []
    outcomes: dict[int, str] = {}

    async def call(node: int, tasks: background.Background) -> None:
        claims = claim.Claims(
            table,
            tasks,
            claim.ClaimBudget(lambda: 1000.0),
            metrics.Metrics(),
            random.Random(seed + node),
        )
        answer = answer_recorder.AnswerRecorder()

        async def run(answer, call) -> None:
            if rng.random() < 0.4:
                await refuse(answer, outcome.NotRun(outcome.Reason.NO_TARGET))
                return
            ran.append(node)
            headers = [(outcome.OUTCOME_HEADER, "answered")]
            await answer.send_head(200, headers, b"%d" % node)

        async def refuse(answer, refusal) -> None:
            headers = outcome.refusal_headers(refusal)
            await answer.send_head(refusal.status, headers, b"")

        await claims._run(answer, test_faults.make_call(), run, refuse)
        while claims.result_writer.deferred:
            await claims.result_writer.flush()
        found = dict(answer.headers)[outcome.OUTCOME_HEADER]
        outcomes[node] = found
        if answer.status == 200:
            # It may be the stored answer of another node.
            assert answer.body() == b"%d" % ran[0]
        elif found == "not-run":
            assert node not in ran

    async def run_all() -> None:
        tasks = background.Background()
        async with anyio.create_task_group() as group:
            for node in range(4):
                group.start_soon(call, node, tasks)

    with pytest.MonkeyPatch.context() as patch:
        # Claims that wait for another one poll its row.
        patch.setattr(claim, "READ_BACK_DELAY_S", 0.0)
        patch.setattr(claim, "MIN_POLL_INTERVAL_S", 0.001)
        patch.setattr(claim, "MAX_POLL_INTERVAL_S", 0.004)
        anyio.run(run_all)
    assert len(ran) <= 1
    assert len(outcomes) == 4
    (row,) = table.rows.values()
    assert isinstance(row, platform.Row)
    assert row.value is not None
    if ran:
        assert row.value["state"] in ("done", "claimed")
    else:
        assert row.value["state"] in ("released", "claimed")
