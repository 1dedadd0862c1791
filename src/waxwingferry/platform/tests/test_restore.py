"""Tests of what nodes write again after a restore of the store from a copy."""

import contextlib
import random

import anyio
import msgspec
import pytest

from waxwingferry.platform import store
from waxwingferry.platform.tests import fake_store
from waxwingferry.process import platform
from waxwingferry.process.spreading import lease
from waxwingferry.process.spreading import members
from waxwingferry.process.tests import fakes

pytestmark = pytest.mark.anyio


def make_lease(
    table: store.StoreTable, incarnation: str = "one", generation: int = 1000
) -> lease.Lease:
    """Returns the lease of a process of node n1, which has announced itself."""
    membership = members.Membership("n1")
    node_lease = lease.Lease(
        table,
        membership,
        random.Random(1),
        wall_clock=lambda: generation / 1000,
        sleep=fakes.Clock().sleep,
    )
    membership.on_name_conflict = node_lease.resolve_name_conflict
    row = fakes.make_row(1, incarnation=incarnation, generation=generation)
    membership.announce(row)
    return node_lease


def get_own(node_lease: lease.Lease) -> members.MemberRow:
    """Returns the row that the process announces."""
    assert node_lease.membership.own is not None
    return node_lease.membership.own


def change_state(node_lease: lease.Lease, state: str) -> None:
    """Announces another state of the node's target."""
    own = get_own(node_lease)
    node_lease.membership.announce(msgspec.structs.replace(own, state=state))


async def wait_written(node_lease: lease.Lease) -> None:
    """Waits until the store has the row, as far as the process knows."""
    with anyio.fail_after(5):
        await node_lease.wait_written(get_own(node_lease))


@contextlib.asynccontextmanager
async def run_lease(node_lease: lease.Lease, table: store.StoreTable):
    """Runs a lease that learns of restores from its table."""
    table.on_restored = node_lease.handle_restore
    async with anyio.create_task_group() as group:
        group.start_soon(node_lease.run)
        yield
        group.cancel_scope.cancel()


async def read_state(table: store.StoreTable) -> str | None:
    """Returns the state of node n1 in the store."""
    row = await table.read("members/n1")
    return row.value["state"] if row is not None and row.value else None


@pytest.mark.parametrize("state", ["ready", "draining"])
@pytest.mark.parametrize("copied", ["none", "older"])
async def test_a_member_row_that_a_restore_lost_is_written_again(state, copied):
    """Guards against a confirmed leave that a restarted process can't find.

    Also against a node that processes started later don't know.
    """
    async with fake_store.run_store() as (fake, table):
        node_lease = make_lease(table)
        backup = fake.copy()
        async with run_lease(node_lease, table):
            await wait_written(node_lease)
            if copied == "older":
                backup = fake.copy()
            change_state(node_lease, state)
            await wait_written(node_lease)
            fake.restore(backup)
            await table.read("members/n1")
            await wait_written(node_lease)
            assert await read_state(table) == state
            row = await table.read("members/n1")
            assert row is not None
            assert row.value == members.format_row(get_own(node_lease))


async def test_a_leave_is_not_confirmed_by_a_row_that_was_lost():
    """Guards against a leave that is confirmed on the word of a lost row."""
    async with fake_store.run_store() as (fake, table):
        node_lease = make_lease(table)
        backup = fake.copy()
        await node_lease.write_once()
        await wait_written(node_lease)
        fake.restore(backup)
        table.on_restored = node_lease.handle_restore
        await table.read("members/n1")
        with anyio.move_on_after(0.2) as scope:
            await node_lease.wait_written(get_own(node_lease))
        assert scope.cancelled_caught


async def test_a_row_that_the_copy_has_is_not_written_again():
    """Guards against as many writes as nodes after each restore."""
    async with fake_store.run_store() as (fake, table):
        node_lease = make_lease(table)
        async with run_lease(node_lease, table):
            await wait_written(node_lease)
            fake.restore(fake.copy())
            writes = fake.paths_called.count("/-/rows-tx")
            await table.read("members/n1")
            await wait_written(node_lease)
            assert fake.paths_called.count("/-/rows-tx") == writes
            # The next renewal has the version of the restored row.
            await node_lease.write_once()


async def test_the_row_of_an_earlier_process_does_not_end_the_node():
    """Guards against a node that stops because a copy has its predecessor."""
    async with fake_store.run_store() as (fake, table):
        await make_lease(table, "old", 1000).write_once()
        backup = fake.copy()
        node_lease = make_lease(table, "new", 2000)
        async with run_lease(node_lease, table):
            await wait_written(node_lease)
            fake.restore(backup)
            await table.read("members/n1")
            await wait_written(node_lease)
        assert not node_lease.superseded
        row = await table.read("members/n1")
        assert row is not None
        assert row.value["incarnation"] == "new"


async def test_a_later_process_takes_over_after_a_restore():
    """Guards against a paused process that writes over its successor."""
    async with fake_store.run_store() as (fake, table):
        backup = fake.copy()
        paused = make_lease(table, "old", 1000)
        await paused.write_once()
        fake.restore(backup)
        later = make_lease(table, "new", 2000)
        await later.write_once()
        await paused.write_once()
        assert paused.superseded
        assert not later.superseded


async def test_a_second_restore_does_not_end_the_spread_of_writes(monkeypatch):
    """Guards against all nodes writing at once after two restores."""
    async with fake_store.run_store() as (fake, table):
        node_lease = make_lease(table)
        delayed = anyio.Event()
        resumed = anyio.Event()

        async def sleep(delay_s: float) -> None:
            delayed.set()
            await resumed.wait()

        async with run_lease(node_lease, table):
            await wait_written(node_lease)
            backup = fake.copy()
            change_state(node_lease, "ready")
            await wait_written(node_lease)
            monkeypatch.setattr(node_lease, "sleep", sleep)
            fake.restore(backup)
            await table.read("members/n1")
            with anyio.fail_after(5):
                await delayed.wait()
            writes = node_lease.writes
            fake.restore(backup)
            await table.read("members/n1")
            await anyio.sleep(0.1)
            assert node_lease.writes == writes
            assert node_lease.may_be_lost
            resumed.set()
            await wait_written(node_lease)
            row = await table.read("members/n1")
            assert row is not None
            assert row.value == members.format_row(get_own(node_lease))


@pytest.mark.parametrize("seed", range(5))
async def test_rows_are_right_after_restores_at_any_moment(seed):
    """Guards against rows that stay behind when restores follow each other."""
    rng = random.Random(seed)
    async with fake_store.run_store() as (fake, table):
        node_lease = make_lease(table)
        copies = [fake.copy()]
        async with run_lease(node_lease, table):
            for _ in range(20):
                state = rng.choice(["ready", "draining"])
                change_state(node_lease, state)
                if rng.random() < 0.5:
                    await wait_written(node_lease)
                copies.append(fake.copy())
                if rng.random() < 0.5:
                    fake.restore(rng.choice(copies))
                    with contextlib.suppress(platform.PlatformError):
                        await table.read("members/n1")
            await wait_written(node_lease)
            row = await table.read("members/n1")
        assert row is not None
        assert row.value == members.format_row(get_own(node_lease))
        assert not node_lease.superseded
