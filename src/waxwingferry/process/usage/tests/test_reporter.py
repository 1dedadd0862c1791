"""Reports over takeovers, lost responses, restores and faulty nodes."""

import contextlib

import anyio
import pytest

from waxwingferry.process import platform
from waxwingferry.process.usage import messages
from waxwingferry.process.usage import reporter
from waxwingferry.process.usage import windows
from waxwingferry.process.usage.tests import world as worlds


@contextlib.asynccontextmanager
async def running(world: worlds.World):
    """Runs the reporters of all nodes."""
    async with anyio.create_task_group() as group:
        for node in world.nodes:
            group.start_soon(node.reporter.run)
        yield
        group.cancel_scope.cancel()


async def test_each_window_is_reported_in_time_with_its_counts():
    """Guards against windows that are missing, late or wrong in calm.

    A third of the wall clocks is wrong by seconds and jumps back.
    """
    world = worlds.World(4)
    world.nodes[0].duty.take_over()
    world.nodes[1].wall_error_s = 7.0
    async with running(world):
        await world.run(25)
        world.nodes[1].wall_error_s = 0.0
        await world.run(20)
    assert sorted(world.accepted) == list(range(1000, 1008))
    for window, counts in world.accepted.items():
        difference = {
            name: abs(count - counts.get(name, 0))
            for name, count in world.truth[window].items()
        }
        assert max(difference.values()) <= 1
        end_s = windows.get_start_s(window + 1, 5.0) - worlds.OFFSET_S
        assert world.accepted_s[window] < end_s + 3
    assert not world.violations
    # One question for each node and window, and one for the clock; one write
    # for each window, and one to take the duty up.
    assert world.nodes[2].questions == 9
    assert world.stores == 9


@pytest.mark.parametrize("seed", range(30))
async def test_a_window_is_never_sent_with_two_counts(seed):
    """Guards against two reports of one window with different counts.

    The responses of the table and of the API are lost, the duty moves, the
    row goes back to older copies, and nodes don't answer some questions, so
    that counts collected twice would differ.
    """
    world = worlds.World(4, seed)
    rng = world.rng
    world.loss_share = rng.choice([0.0, 0.2, 0.5])
    world.api_fault_share = rng.choice([0.0, 0.3, 0.6])
    world.nodes[0].duty.take_over()
    async with running(world):
        for _ in range(60):
            await world.run(rng.uniform(0.2, 4), 0.1)
            for node in world.nodes:
                node.hangs = rng.random() < 0.3
            event = rng.random()
            if event < 0.2:
                rng.choice(world.nodes).duty.take_over()
            elif event < 0.35:
                world.restore(rng.choice([0, 1, 1, 2, 5, 1000]))
            elif event < 0.5:
                world.table_is_down = not world.table_is_down
        world.table_is_down = False
        world.loss_share = world.api_fault_share = 0.0
        world.nodes[0].duty.take_over()
        await world.run(30, 0.1)
    assert not [item for item in world.violations if "window" in item]
    assert max(world.accepted) >= 1000 + int(world.clock() - 1000 - 15) // 5


async def test_recollected_counts_are_found_by_the_test_above():
    """Guards against a seeded test that can't find the fault.

    A holder that ignores what an earlier one stored sends other counts.
    """
    violations = []
    for seed in range(10):
        world = worlds.World(4, seed)
        rng = world.rng
        world.nodes[0].duty.take_over()
        async with running(world):
            for _ in range(20):
                await world.run(rng.uniform(0.2, 4), 0.1)
                for node in world.nodes:
                    node.hangs = rng.random() < 0.3
                if rng.random() < 0.3:
                    if world.row is not None:
                        # As if the state were not written before sending.
                        state = world.row.state
                        if "next" in state:
                            state["next"] = max(state["next"] - 2, 0)
                            state["confirmed"] = -1
                            state["pending"] = []
                    rng.choice(world.nodes).duty.take_over()
        violations += world.violations
    assert any("window" in item for item in violations)


async def test_a_takeover_reports_the_windows_in_between():
    """Guards against windows lost when the holder ends without notice."""
    world = worlds.World(4)
    world.nodes[0].duty.take_over()
    async with running(world):
        await world.run(12)
        world.nodes[0].duty.token = -1
        await world.run(12)
        world.nodes[1].duty.take_over()
        await world.run(20)
    assert sorted(world.accepted) == list(range(1000, 1008))
    assert not world.violations


async def test_windows_before_a_restore_are_not_sent_again():
    """Guards against sending windows whose stored counts were lost."""
    world = worlds.World(4)
    world.nodes[0].duty.take_over()
    async with running(world):
        await world.run(22)
        sent = dict(world.accepted_s)
        world.nodes[0].duty.token = -1
        world.restore(2)
        for node in world.nodes:
            node.usage.records.record("late")
        world.nodes[1].duty.take_over()
        await world.run(22)
    assert not world.violations
    assert all(world.accepted_s[key] == sent[key] for key in sent)
    assert platform.get_era(world.highest_token) == 1
    assert sorted(world.accepted)[-1] == 1007


async def test_an_outage_of_the_api_is_caught_up_in_order():
    """Guards against lost or reordered windows after an outage."""
    world = worlds.World(3)
    world.nodes[0].duty.take_over()
    async with running(world):
        world.api_fault_share = 2.0
        await world.run(60)
        assert not world.accepted
        world.api_fault_share = 0.0
        await world.run(12)
    assert list(world.accepted) == list(range(1000, 1014))


async def test_a_refused_token_ends_acting():
    """Guards against further calls with a token that the API refused."""
    world = worlds.World(3)
    node = world.nodes[0]
    sent = []

    async def refuse(holding, report, timeout_s):
        sent.append(holding.token)
        return reporter.SendResult.TOKEN_REFUSED

    node.reporter.send = refuse
    node.duty.take_over()
    async with running(world):
        await world.run(30)
        stores = world.stores
        await world.run(20)
    assert len(sent) == 1
    # The row must become stale, so that another node takes over.
    assert world.stores == stores


async def test_nodes_that_do_not_answer_delay_but_do_not_stop_reports():
    """Guards against reports that wait without end for a node that hangs."""
    world = worlds.World(4)
    world.nodes[0].duty.take_over()
    world.nodes[1].hangs = True
    async with running(world):
        await world.run(30)
    assert sorted(world.accepted) == list(range(1000, 1005))
    for window, accepted_s in world.accepted_s.items():
        end_s = windows.get_start_s(window + 1, 5.0) - worlds.OFFSET_S
        assert accepted_s < end_s + 10


async def test_a_node_that_left_is_counted_by_its_hand_over():
    """Guards against runs that are lost with a planned stop."""
    world = worlds.World(3)
    world.nodes[0].duty.take_over()
    async with running(world):
        await world.run(12)
        leaving = world.nodes[2]
        leaving.usage.records.record("left")
        body = leaving.usage.make_hand_over()
        leaving.is_gone = True
        holder = world.nodes[0].usage
        holder.keep(
            messages.parse_hand_over(body, world.clock())
        )
        await world.run(10)
    assert world.accepted[1002]["left"] == 1
    # What the node had answered itself must not count twice.
    assert sum(world.accepted[1001].values()) == sum(
        world.truth[1001].values()
    )
