"""Decisions on version rollouts in the store, under lost and late writes."""

import random

import anyio
import pytest

from waxwingferry.platform import decisions
from waxwingferry.platform.tests import standin
from waxwingferry.process import platform
from waxwingferry.process.spreading import lease
from waxwingferry.process.spreading import members
from waxwingferry.process.tests import fakes
from waxwingferry.version import messages

pytestmark = pytest.mark.anyio

DONE = messages.Decision("desk", "v2", 0, messages.State.COMPLETED)
BACK = messages.Decision("desk", "v2", 0, messages.State.ROLLED_BACK)


async def test_a_decision_is_read_as_written():
    """Guards against a state that the operator can't read."""
    async with standin.run_store() as (_, table):
        decision_store = decisions.StatusDecisionStore(table)
        await decision_store.write(DONE, 0)
        [(found, version)] = await decision_store.read_all()
        assert found == messages.Decision("desk", "v2", version, DONE.state)


async def test_the_second_of_two_decisions_is_refused():
    """Guards against a rollout that ends in two ways."""
    async with standin.run_store() as (_, table):
        decision_store = decisions.StatusDecisionStore(table)
        await decision_store.write(BACK, 0)
        with pytest.raises(platform.ConflictError):
            await decision_store.write(DONE, 0)
        [(found, _)] = await decision_store.read_all()
        assert found.state == messages.State.ROLLED_BACK


async def test_a_decision_whose_answer_is_lost_stands():
    """Guards against a judge that decides again after a lost answer."""
    async with standin.run_store() as (made, table):
        decision_store = decisions.StatusDecisionStore(table)
        made.access.lose_answers = True
        with pytest.raises(platform.PlatformError):
            await decision_store.write(BACK, 0)
        made.access.lose_answers = False
        with pytest.raises(platform.ConflictError):
            await decision_store.write(DONE, 0)
        [(found, _)] = await decision_store.read_all()
        assert found.state == messages.State.ROLLED_BACK


async def test_a_foreign_status_names_no_decision():
    """Guards against a judge that stops at a row it can't read."""
    async with standin.run_store() as (made, table):
        made.put("status", "rollout/desk", {"state": "paused"})
        made.put("status", "rollout/registry", b"\xff")
        assert await decisions.StatusDecisionStore(table).read_all() == []


async def test_a_late_member_row_is_taken_for_the_own():
    """Guards against a node that stops at a row of its own late write."""
    async with standin.run_store() as (made, table):
        membership = members.Membership("n1")
        writer = lease.Lease(table, membership, random.Random(1))
        membership.announce(fakes.make_row(1))
        made.access.write_delay_s = 1.5 * standin.TIMEOUT_S
        with pytest.raises(platform.PlatformError):
            await writer.write_once()
        made.access.write_delay_s = 0.0
        await anyio.sleep(standin.TIMEOUT_S)
        await writer.write_once()
        assert writer.confirmed
        assert not writer.superseded
