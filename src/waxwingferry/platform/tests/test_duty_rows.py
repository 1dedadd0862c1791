"""Duties on the users' store, over its protocol."""

import random

import anyio
import pytest

from waxwingferry.platform import store
from waxwingferry.platform.tests import fake_store
from waxwingferry.process import duties
from waxwingferry.process import platform
from waxwingferry.process.tests import fakes

pytestmark = pytest.mark.anyio


def make_duty(
    table: store.StoreTable, incarnation: str, clock: fakes.Clock
) -> duties.Duty:
    """Returns the duty at a process that is the candidate."""
    return duties.Duty(
        "usage_reporting",
        "n1",
        incarnation,
        table,
        lambda: True,
        lambda node, process: process == incarnation,
        3.0,
        10.0,
        clock,
        clock.sleep,
        random.Random(1),
        lambda: table.restores,
    )


async def take_over(duty: duties.Duty, clock: fakes.Clock) -> duties.Holding:
    """Runs a duty until it is held."""
    with anyio.fail_after(5), anyio.CancelScope() as scope:

        async def sleep(delay_s: float) -> None:
            if duty.holds():
                scope.cancel()
            await clock.sleep(delay_s)

        duty.sleep = sleep
        await duty.run()
    duty.sleep = clock.sleep
    assert duty.holding is not None
    return duty.holding


async def test_a_duty_outlives_lost_responses_and_a_restore():
    """Guards against rules that hold only with a table in memory."""
    clock = fakes.Clock()
    async with fake_store.run_store() as (fake, table):
        duty = make_duty(table, "one", clock)
        holding = await take_over(duty, clock)
        assert holding.token == 1
        copy = fake.copy()
        assert await duty.store({"window": 1}) == holding
        assert duty.may_act()
        fake.access.drop_responses = True
        with anyio.fail_after(5):
            assert await duty.store({"window": 2}) is None
        fake.access.drop_responses = False
        assert duty.holds()
        assert await duty.store({"window": 2}) == holding
        fake.restore(copy)
        assert await duty.store({"window": 3}) is None
        again = await take_over(duty, clock)
        assert platform.get_era(again.token) == 1
        assert duty.state == {"window": 2}
        assert await duty.store({"window": 3}) == again

        other_table = store.StoreTable(table.client, fake_store.TIMEOUT_S)
        other = make_duty(other_table, "two", clock)
        after = await take_over(other, clock)
        assert after.token == again.token + 1
        assert other.state == {"window": 3}
        assert await duty.store({"window": 4}) is None
        assert not duty.holds()
