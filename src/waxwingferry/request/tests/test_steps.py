"""A fault at each step of a keyed transfer, then a second send elsewhere."""

from collections.abc import Callable
import dataclasses

import anyio
import pytest

from waxwingferry.request.tests import network
from waxwingferry.request.tests import world as worlds

# The stamp takes 28 bytes there and about 110 back on a new connection.
IN_REQUEST = 100
IN_ANSWER = 300
FAR = 1_000_000


def _pass(world: worlds.World) -> None:
    """Does nothing."""


@dataclasses.dataclass
class Step:
    """One fault and what both sends must come to."""

    name: str
    first: str
    second: str
    table: list[str] = dataclasses.field(default_factory=list)
    peer: tuple[str, int, int] = ("", 0, 0)
    target: tuple[str, int, int] = ("", 0, 0)
    on_run: Callable[[worlds.World], None] = _pass
    runs: int = 1


def _kill(number: int) -> Callable[[worlds.World], None]:
    return lambda world: world.kill(world.nodes[number])


def _freeze(number: int, time_s: float) -> Callable[[worlds.World], None]:
    def freeze(world: worlds.World) -> None:
        node = world.nodes[number]
        node.frozen = True
        world.network.call_later(time_s, setattr, node, "frozen", False)

    return freeze


def _outage(world: worlds.World) -> None:
    world.table.down = True
    world.network.call_later(0.2, setattr, world.table, "down", False)


# The first send goes to n1, the target is that of n2, the second goes to n3.
STEPS = [
    Step("no fault", "answered", "replayed"),
    Step("claim lost", "not-run", "answered", ["lost"]),
    Step("claim answer lost", "answered", "replayed", ["answer lost"]),
    Step("claim late", "not-run", "answered", ["late"]),
    Step("result lost", "answered", "replayed", ["", "lost"]),
    Step("result answer lost", "answered", "replayed", ["", "answer lost"]),
    Step("result late", "answered", "replayed", ["", "late"]),
    Step("outage while it runs", "answered", "replayed", on_run=_outage),
    Step("request cut", "not-run", "answered", peer=("cut", IN_REQUEST, FAR)),
    Step(
        "request silent",
        "not-run",
        "answered",
        peer=("silent", IN_REQUEST, FAR),
    ),
    Step("answer cut", "answered", "replayed", peer=("cut", FAR, IN_ANSWER)),
    Step(
        "answer silent", "answered", "replayed", peer=("silent", FAR, IN_ANSWER)
    ),
    Step("answer doubled", "answered", "replayed", peer=("doubled", 0, 1)),
    Step("target cut", "unknown", "unknown", target=("cut", FAR, 20)),
    Step("target silent", "unknown", "unknown", target=("silent", FAR, 20)),
    Step("entry killed", "", "unknown", on_run=_kill(0)),
    Step("target's node killed", "unknown", "unknown", on_run=_kill(1)),
    Step("entry frozen", "answered", "replayed", on_run=_freeze(0, 0.3)),
    Step("node frozen", "answered", "replayed", on_run=_freeze(1, 0.3)),
    Step("node frozen for long", "unknown", "unknown", on_run=_freeze(1, 4)),
]


async def _send_twice(step: Step) -> tuple[worlds.World, list[worlds.Reply]]:
    world = worlds.World(1)
    world.targets = {"n2"}
    world.service_times_s = (0.05,)
    world.table.script = list(step.table)
    world.on_run = lambda: step.on_run(world)
    replies: list[worlds.Reply] = []
    async with anyio.create_task_group() as group:
        await world.start(group)
        await anyio.sleep(0.25)
        world.network.scripted_faults[worlds.PEER_PORT] = [step.peer]
        world.network.scripted_faults[worlds.TARGET_PORT] = [step.target]
        replies.append(await world.send("n1", "send-1", "key"))
        await anyio.sleep(0.6)
        replies.append(await world.send("n3", "send-2", "key"))
        group.cancel_scope.cancel()
    return world, replies


def _outcome(reply: worlds.Reply) -> str:
    if reply.field("x-waxwing-replayed") == "true":
        return "replayed"
    return reply.outcome


@pytest.mark.anyio
async def test_fault_at_each_step() -> None:
    """Guards against a second run after a fault at any step."""
    found: dict[str, tuple[worlds.World, list[worlds.Reply]]] = {}

    async def run(step: Step) -> None:
        found[step.name] = await _send_twice(step)

    async with anyio.create_task_group() as group:
        for step in STEPS:
            group.start_soon(run, step)
    expected = {step.name: (step.first, step.second) for step in STEPS}
    outcomes = {
        name: tuple(_outcome(reply) for reply in replies)
        for name, (_, replies) in found.items()
    }
    assert outcomes == expected
    for name, (world, replies) in found.items():
        worlds.check(world, replies)
        assert len(world.ledger) == 1, name


@pytest.mark.anyio
async def test_key_of_another_request() -> None:
    """Guards against an answer to one request for another."""
    world = worlds.World(1)
    async with anyio.create_task_group() as group:
        await world.start(group)
        await world.send("n1", "send-1", "key")
        other = await world.send("n2", "send-2", "key", path="/transfers/b")
        bad = await world.send("n2", "send-3", "k" * 129)
        group.cancel_scope.cancel()
    assert other.head is not None
    assert bad.head is not None
    assert other.head.status == 422
    assert other.field("x-waxwing-reason") == "key_mismatch"
    assert bad.head.status == 400
    worlds.check(world, [other, bad])
    assert network.CALLER_PORT != worlds.PEER_PORT
