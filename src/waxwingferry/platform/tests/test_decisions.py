"""Tests of stored rollout decisions with lost responses and late writes."""

import random

import anyio
import pytest
import structlog.testing

from waxwingferry.platform import decisions
from waxwingferry.platform.tests import fake_store
from waxwingferry.process import platform
from waxwingferry.process.spreading import lease
from waxwingferry.process.spreading import members
from waxwingferry.process.tests import fakes
from waxwingferry.version import messages

pytestmark = pytest.mark.anyio

COMPLETED = messages.Decision("desk", "v2", 0, messages.State.COMPLETED)
ROLLED_BACK = messages.Decision("desk", "v2", 0, messages.State.ROLLED_BACK)


async def test_a_decision_is_read_as_written():
    """Guards against a decision that changes when it is stored."""
    async with fake_store.run_store() as (_, table):
        decision_store = decisions.StatusDecisionStore(table)
        await decision_store.write(COMPLETED, 0)
        [(found, version)] = await decision_store.read_all()
        assert found == messages.Decision(
            "desk", "v2", version, COMPLETED.state
        )


async def test_a_second_decision_is_refused():
    """Guards against a rollout with two contradictory decisions."""
    async with fake_store.run_store() as (_, table):
        decision_store = decisions.StatusDecisionStore(table)
        await decision_store.write(ROLLED_BACK, 0)
        with pytest.raises(platform.ConflictError):
            await decision_store.write(COMPLETED, 0)
        [(found, _)] = await decision_store.read_all()
        assert found.state == messages.State.ROLLED_BACK


async def test_a_decision_whose_response_is_lost_stands():
    """Guards against a second decision after a lost response."""
    async with fake_store.run_store() as (fake, table):
        decision_store = decisions.StatusDecisionStore(table)
        fake.access.drop_responses = True
        with pytest.raises(platform.PlatformError):
            await decision_store.write(ROLLED_BACK, 0)
        fake.access.drop_responses = False
        with pytest.raises(platform.ConflictError):
            await decision_store.write(COMPLETED, 0)
        [(found, _)] = await decision_store.read_all()
        assert found.state == messages.State.ROLLED_BACK


async def test_an_unreadable_status_row_is_skipped():
    """Guards against a crash on a status row that another program wrote."""
    async with fake_store.run_store() as (fake, table):
        fake.put("status", "rollout/desk", {"state": "paused"})
        fake.put("status", "rollout/registry", b"\xff")
        assert await decisions.StatusDecisionStore(table).read_all() == []


@pytest.mark.parametrize(
    "value",
    [
        {"state": "completed", "target": ["v2"]},
        {"state": "completed", "target": 7},
        {"state": ["completed"], "target": "v2"},
        {"target": "v2"},
        b'{"x":' + b"[" * 5000 + b"]" * 5000 + b"}",
    ],
)
async def test_an_odd_decision_costs_only_itself_and_is_logged_once(value):
    """Guards against a rollout to a version that no target can have."""
    async with fake_store.run_store() as (fake, table):
        decision_store = decisions.StatusDecisionStore(table)
        await decision_store.write(COMPLETED, 0)
        fake.put("status", "rollout/registry", value)
        with structlog.testing.capture_logs() as lines:
            for _ in range(3):
                [(found, _)] = await decision_store.read_all()
        assert found.service == "desk"
        assert len(lines) == 1


async def test_a_late_write_of_the_own_member_row_is_recognized():
    """Guards against a node that stops because of its own late write.

    The write times out at the client, but the store executes it later.
    """
    async with fake_store.run_store() as (fake, table):
        membership = members.Membership("n1")
        writer = lease.Lease(table, membership, random.Random(1))
        membership.announce(fakes.make_row(1))
        fake.access.write_delay_s = 1.5 * fake_store.TIMEOUT_S
        with pytest.raises(platform.PlatformError):
            await writer.write_once()
        fake.access.write_delay_s = 0.0
        await anyio.sleep(fake_store.TIMEOUT_S)
        await writer.write_once()
        assert writer.confirmed
        assert not writer.superseded
