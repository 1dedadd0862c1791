"""Leases: order of processes, expiry, outages and simultaneous starts."""

import random

import anyio
import msgspec
import pytest

from waxwingferry.process import platform
from waxwingferry.process.spreading import lease
from waxwingferry.process.spreading import members
from waxwingferry.process.tests import fakes

pytestmark = pytest.mark.anyio


class NodeProcess:
    """One process with its lease."""

    def __init__(self, table, clock, wall_s, incarnation, number=1):
        self.superseded = False
        self.members = members.Membership(f"n{number}", clock)
        self.lease = lease.Lease(
            table,
            self.members,
            random.Random(incarnation),
            clock,
            lambda: wall_s,
            clock.sleep,
            self.on_superseded,
        )
        self.members.on_name_conflict = self.lease.resolve_name_conflict
        row = fakes.make_row(
            number,
            incarnation=incarnation,
            generation=self.lease.generation,
        )
        self.members.announce(row)

    def on_superseded(self):
        """Records that the process was superseded."""
        self.superseded = True

    @property
    def own(self):
        """The process's own row."""
        return self.members.own


async def run_first_write(state: str) -> fakes.Table:
    """Returns the table after a start whose delay of the write does not end."""
    table, clock = fakes.Table(), fakes.Clock()
    process = NodeProcess(table, clock, 2000.0, "new")
    process.members.announce(msgspec.structs.replace(process.own, state=state))
    process.lease.sleep = lambda _: anyio.sleep_forever()
    async with anyio.create_task_group() as group:
        group.start_soon(process.lease.run)
        await anyio.wait_all_tasks_blocked()
        group.cancel_scope.cancel()
    return table


async def test_the_first_write_of_a_leave_is_not_delayed():
    """Guards against a target that waits 3 s for its leave to be confirmed.

    Load pattern: nodes start while their targets leave. The report of the leave
    was answered 503 until the node wrote its first row.
    """
    table = await run_first_write("draining")
    assert table.value("members/n1")["state"] == "draining"


async def test_the_first_write_of_a_ready_node_is_delayed():
    """Guards against a burst of writes when many nodes start together."""
    assert not (await run_first_write("ready")).rows


async def test_a_leave_during_the_delay_of_the_first_write_is_written():
    """Guards against a leave that is only noticed at the start."""
    table, clock = fakes.Table(), fakes.Clock()
    process = NodeProcess(table, clock, 2000.0, "new")
    process.lease.sleep = lambda _: anyio.sleep_forever()
    async with anyio.create_task_group() as group:
        group.start_soon(process.lease.run)
        await anyio.wait_all_tasks_blocked()
        process.members.announce(
            msgspec.structs.replace(process.own, state="draining")
        )
        await anyio.wait_all_tasks_blocked()
        group.cancel_scope.cancel()
    assert table.value("members/n1")["state"] == "draining"


async def test_restart_after_a_clock_step_back_outranks_the_old_row():
    """Guards against peers that ignore the rows of a restarted node."""
    table, clock = fakes.Table(), fakes.Clock()
    old = NodeProcess(table, clock, 2000.0, "old")
    await old.lease.write_once()
    new = NodeProcess(table, clock, 1000.0, "new")
    await new.lease.write_once()
    assert new.own.order > old.own.order
    assert table.value("members/n1")["incarnation"] == "new"


async def test_resumed_process_is_superseded_and_does_not_write():
    """Guards against a resumed process that overwrites its successor's row."""
    table, clock = fakes.Table(), fakes.Clock()
    old = NodeProcess(table, clock, 1000.0, "old")
    await old.lease.write_once()
    clock.now_s += members.LEASE_TTL_S + 1
    assert not old.lease.is_current()
    new = NodeProcess(table, clock, 1001.0, "new")
    await new.lease.write_once()
    await old.lease.write_once()
    assert old.superseded
    assert not new.superseded
    assert table.value("members/n1")["incarnation"] == "new"


@pytest.mark.parametrize("confirmed", [False, True])
@pytest.mark.parametrize("value", [None, {}, {"incarnation": 7}])
async def test_an_odd_row_written_over_the_own_one_is_replaced(
    value, confirmed
):
    """Guards against a node that ends, or that others lose, by such a row."""
    table, clock = fakes.Table(), fakes.Clock()
    process = NodeProcess(table, clock, 1000.0, "one")
    if confirmed:
        await process.lease.write_once()
    else:
        await process.lease.read_rows()
    table.version += 1
    table.rows["members/n1"] = platform.Row(
        "members/n1", value, table.version, malformed=value is None
    )
    with pytest.raises(platform.PlatformError):
        await process.lease.write_once()
    await process.lease.write_once()
    assert not process.superseded
    assert table.value("members/n1")["incarnation"] == "one"


async def test_confirmed_process_is_superseded_by_a_later_one():
    """Guards against two processes of one node that both keep running."""
    table, clock = fakes.Table(), fakes.Clock()
    old = NodeProcess(table, clock, 1000.0, "old")
    await old.lease.write_once()
    new = NodeProcess(table, clock, 1001.0, "new")
    old.members.apply(new.own)
    assert old.superseded


async def test_new_process_outranks_a_predecessor_with_a_higher_generation():
    """Guards against a new VM that is superseded by a dead one's row."""
    table, clock = fakes.Table(), fakes.Clock()
    table.down = True
    new = NodeProcess(table, clock, 1000.0, "new")
    dead = fakes.make_row(1, generation=9_000_000_000, incarnation="dead")
    new.members.apply(dead)
    assert not new.superseded
    assert new.own.order > dead.order


@pytest.mark.parametrize("generation", [members.MAX_GENERATION, 2**53, 10**400])
async def test_others_accept_the_row_after_one_with_a_huge_generation(
    generation,
):
    """Guards against a node that no other node knows after such a row."""
    table, clock = fakes.Table(), fakes.Clock()
    old = members.format_row(fakes.make_row(1, incarnation="old"))
    old["generation"] = generation
    table.version += 1
    table.rows["members/n1"] = platform.Row("members/n1", old, table.version)
    process = NodeProcess(table, clock, 1000.0, "new")
    await process.lease.read_rows()
    await process.lease.write_once()
    reader = NodeProcess(table, clock, 1000.0, "reader", 2)
    await reader.lease.read_rows()
    assert reader.members.records["n1"].row.incarnation == "new"


async def test_a_malformed_member_row_is_counted_once():
    """Guards against rows that are left out without a trace."""
    table = fakes.Table()
    table.version += 1
    table.rows["members/n2"] = platform.Row("members/n2", {}, table.version)
    process = NodeProcess(table, fakes.Clock(), 1000.0, "one")
    for _ in range(3):
        await process.lease.read_rows()
    assert process.lease.malformed_rows == 1
    assert list(process.members.records) == ["n1"]


async def test_name_conflicts_without_the_table_are_bounded():
    """Guards against endless updates from two live processes of one node."""
    table, clock = fakes.Table(), fakes.Clock()
    one = NodeProcess(table, clock, 1000.0, "one")
    two = NodeProcess(table, clock, 1000.0, "two")
    for _ in range(50):
        one.members.apply(two.own)
        two.members.apply(one.own)
    assert one.own.generation < 1_000_100
    await one.lease.write_once()
    await two.lease.write_once()
    await one.lease.write_once()
    assert one.superseded
    assert not two.superseded


@pytest.mark.parametrize("seed", range(5))
async def test_lost_responses_do_not_supersede_the_process(seed):
    """Guards against a process that is superseded by its own write."""
    rng = random.Random(seed)
    table, clock = fakes.Table(rng), fakes.Clock()
    table.lose_share = 0.5
    process = NodeProcess(table, clock, 1000.0, "one")
    for _ in range(100):
        if rng.random() < 0.3:
            process.members.announce(process.own)
        try:
            await process.lease.write_once()
        except platform.PlatformError:
            continue
        value = table.value("members/n1")
        assert value["change"] == process.own.change
    assert not process.superseded


async def test_outage_never_empties_the_member_list():
    """Guards against removing all members when no lease can be renewed."""
    table, clock = fakes.Table(), fakes.Clock()
    processes = [
        NodeProcess(table, clock, 1000.0, f"i{n}", n) for n in range(4)
    ]
    for process in processes:
        await process.lease.write_once()
    reader = processes[0]
    await reader.lease.read_rows()
    table.down = True
    for _ in range(200):
        clock.now_s += 30
        with pytest.raises(platform.PlatformError):
            await reader.lease.read_rows()
    assert len(reader.members.by_service["desk"]) == 4
    table.down = False
    await reader.lease.read_rows()
    # The other nodes had no time to renew their leases yet.
    assert len(reader.members.by_service["desk"]) == 4


async def test_target_with_expired_lease_is_used_only_as_a_last_resort():
    """Guards against calls to a VM that is gone, and against no target."""
    table, clock = fakes.Table(), fakes.Clock()
    one = NodeProcess(table, clock, 1000.0, "one", 1)
    two = NodeProcess(table, clock, 1000.0, "two", 2)
    await one.lease.write_once()
    await two.lease.write_once()
    for _ in range(10):
        await one.lease.read_rows()
        await one.lease.write_once()
        clock.now_s += 30
    assert [c.node for c in one.members.by_service["desk"]] == ["n1"]
    one.members.announce(fakes.make_row(1, state="draining", generation=2e6))
    assert len(one.members.by_service["desk"]) == 2


async def test_expired_row_of_a_replaced_vm_stays_removed():
    """Guards against removed members that gossip adds again."""
    table, clock = fakes.Table(), fakes.Clock()
    one = NodeProcess(table, clock, 1000.0, "one", 1)
    dead = NodeProcess(table, clock, 1000.0, "two", 2)
    await dead.lease.write_once()
    for _ in range(130):
        await one.lease.read_rows()
        clock.now_s += 30
    assert list(one.members.records) == ["n1"]
    assert not one.members.apply(dead.own)
    assert table.rows["members/n2"].value is None
    back = NodeProcess(table, clock, 2000.0, "three", 2)
    assert one.members.apply(back.own)


async def test_suspect_is_excluded_until_it_accepts_a_connection():
    """Guards against calls to a dead target until its lease expires."""
    clock = fakes.Clock()
    membership = members.Membership("n0", clock)
    membership.apply_all([fakes.make_row(1), fakes.make_row(2)])
    membership.candidates["n1"].refused_at_s = clock.now_s
    assert [row.node for row in membership.find_suspects()] == ["n1"]
    membership.mark_suspect("n1")
    assert [c.node for c in membership.by_service["desk"]] == ["n2"]
    membership.mark_suspect("n2")
    assert len(membership.by_service["desk"]) == 2
    clock.now_s += 1.5
    assert [row.node for row in membership.find_suspects()] == ["n1", "n2"]
    membership.clear_suspect("n1")
    assert [c.node for c in membership.by_service["desk"]] == ["n1"]


async def test_suspect_reported_by_a_peer_is_checked_first():
    """Guards against a partitioned region that excludes all members."""
    membership = members.Membership("n0", fakes.Clock())
    membership.apply_all([fakes.make_row(1), fakes.make_row(2)])
    membership.request_check("n1", "an earlier process")
    assert not membership.find_suspects()
    membership.request_check("n1", membership.candidates["n1"].incarnation)
    assert len(membership.by_service["desk"]) == 2
    assert [row.node for row in membership.find_suspects()] == ["n1"]
    assert not membership.find_suspects()


@pytest.mark.parametrize("seed", range(3))
async def test_writes_of_a_flapping_target_are_rate_limited(seed):
    """Guards against a target that changes state each second."""
    table, clock = fakes.Table(random.Random(seed)), fakes.Clock()
    table.lose_share = 0.3
    process = NodeProcess(table, clock, 1000.0, "one")
    start_s = clock.now_s
    async with anyio.create_task_group() as group:
        group.start_soon(process.lease.run)
        while clock.now_s < start_s + 600:
            process.members.announce(process.own)
            await anyio.lowlevel.checkpoint()
        group.cancel_scope.cancel()
    elapsed_s = clock.now_s - start_s
    bound = lease.WRITE_BURST + elapsed_s * lease.WRITES_PER_S
    assert 1 < table.writes <= bound + 1


@pytest.mark.parametrize(("nodes", "outage_s"), [(110, 0), (220, 300)])
async def test_writes_of_a_simultaneous_start_are_spread_out(nodes, outage_s):
    """Guards against a burst of writes at a start or after an outage."""
    timeline = fakes.VirtualClock()
    table = fakes.Table()
    times_s: list[float] = []
    table.on_write = lambda: times_s.append(timeline.now_s)
    table.down = outage_s > 0
    processes = [
        NodeProcess(table, timeline, 1000.0, f"i{number}", number)
        for number in range(nodes)
    ]
    async with anyio.create_task_group() as group:
        for process in processes:
            group.start_soon(process.lease.run)
        if outage_s:
            await timeline.run(outage_s)
            table.down = False
        await timeline.run(40)
        group.cancel_scope.cancel()
    assert len(table.rows) == nodes
    busiest = max(
        sum(0 <= other_s - time_s < 1 for other_s in times_s)
        for time_s in times_s
    )
    # The platform sustains several hundred writes/s for everything.
    assert busiest <= 100


async def test_writes_after_a_restore_of_the_table_are_spread_out():
    """Guards against a burst of writes when all nodes notice a restore."""
    timeline = fakes.VirtualClock()
    table = fakes.Table()
    processes = [
        NodeProcess(table, timeline, 1000.0, f"i{number}", number)
        for number in range(150)
    ]
    times_s: list[float] = []
    async with anyio.create_task_group() as group:
        for process in processes:
            group.start_soon(process.lease.run)
        await timeline.run(10)
        table.on_write = lambda: times_s.append(timeline.now_s)
        table.rows.clear()
        for process in processes:
            process.lease.handle_restore()
        await timeline.run(20)
        group.cancel_scope.cancel()
    assert len(table.rows) == len(processes)
    busiest = max(
        sum(0 <= other_s - time_s < 1 for other_s in times_s)
        for time_s in times_s
    )
    assert busiest <= 100


async def test_a_leave_is_written_at_once_after_a_restore():
    """Guards against a leave that waits for the spread of all writes."""
    timeline = fakes.VirtualClock()
    table = fakes.Table()
    process = NodeProcess(table, timeline, 1000.0, "one")
    async with anyio.create_task_group() as group:
        group.start_soon(process.lease.run)
        await timeline.run(10)
        table.rows.clear()
        process.lease.handle_restore()
        process.members.announce(
            msgspec.structs.replace(process.own, state="draining")
        )
        await timeline.run(1)
        group.cancel_scope.cancel()
    assert table.value("members/n1")["state"] == "draining"


@pytest.mark.parametrize(
    ("others", "told"), [(3, ["n0", "n2", "n3"]), (195, ["n1"])]
)
async def test_rows_of_a_long_read_are_not_forwarded(others, told):
    """Guards against nodes that start together and tell each other all rows.

    Load pattern: 195 nodes read the rows of all at the same moment. Each
    forwarded all of them to four others, which had read them as well.
    """
    table, clock = fakes.Table(), fakes.Clock()
    node = NodeProcess(table, clock, 1000.0, "own")
    for number in range(others + 1):
        if number != 1:
            row = fakes.make_row(number)
            await table.transact(
                [
                    platform.Write(
                        members.PREFIX + row.node, members.format_row(row)
                    )
                ]
            )
    news: list[str] = []
    node.members.on_newer_row = lambda row: news.append(row.node)
    await node.lease.read_rows()
    assert len(node.members.records) == others + 1
    assert sorted(news) == told


async def test_renewals_do_not_keep_a_newer_row_from_being_forwarded():
    """Guards against news of a read that consists mostly of renewals.

    Nodes renew their rows every minute, and a read returns all of them.
    """
    table, clock = fakes.Table(), fakes.Clock()
    node = NodeProcess(table, clock, 1000.0, "own")

    async def write(row: members.MemberRow) -> None:
        key = members.PREFIX + row.node
        await table.transact([platform.Write(key, members.format_row(row))])

    rows = [fakes.make_row(number) for number in range(2, 50)]
    for row in rows:
        await write(row)
    await node.lease.read_rows()
    news: list[str] = []
    node.members.on_newer_row = lambda row: news.append(row.node)
    for row in rows:
        await write(row)
    await write(fakes.make_row(7, change=2))
    await node.lease.read_rows()
    assert news == ["n7"]
