"""A fault at each step of a keyed request, then a second send elsewhere."""

from collections.abc import Callable
import dataclasses

import anyio
import pytest

from waxwingferry.request.tests import network
from waxwingferry.request.tests import simulation

# Positions in a connection's byte streams. On a new connection, the request for
# the node's time takes 28 bytes and its response about 110.
IN_REQUEST = 100
IN_ANSWER = 300
BEYOND_END = 1_000_000


def _do_nothing(cluster: simulation.SimulatedCluster) -> None:
    """Does nothing."""


@dataclasses.dataclass
class Step:
    """One fault and the outcomes expected for both sends."""

    name: str
    first: str
    second: str
    table: list[str] = dataclasses.field(default_factory=list)
    peer: tuple[str, int, int] = ("", 0, 0)
    target: tuple[str, int, int] = ("", 0, 0)
    on_run: Callable[[simulation.SimulatedCluster], None] = _do_nothing
    runs: int = 1


def _kill(number: int) -> Callable[[simulation.SimulatedCluster], None]:
    return lambda cluster: cluster.kill(cluster.nodes[number])


def _freeze(
    number: int, time_s: float
) -> Callable[[simulation.SimulatedCluster], None]:
    def freeze(cluster: simulation.SimulatedCluster) -> None:
        node = cluster.nodes[number]
        node.frozen = True
        cluster.network.call_later(time_s, setattr, node, "frozen", False)

    return freeze


def _outage(cluster: simulation.SimulatedCluster) -> None:
    cluster.table.down = True
    cluster.network.call_later(0.2, setattr, cluster.table, "down", False)


# The first request is sent to n1, the only target is at n2, and the second
# request is sent to n3.
STEPS = [
    Step("no fault", "answered", "replayed"),
    Step("claim lost", "not-run", "answered", ["lost"]),
    Step("claim answer lost", "answered", "replayed", ["answer lost"]),
    Step("claim late", "not-run", "answered", ["late"]),
    Step("result lost", "answered", "replayed", ["", "lost"]),
    Step("result answer lost", "answered", "replayed", ["", "answer lost"]),
    Step("result late", "answered", "replayed", ["", "late"]),
    Step("outage while it runs", "answered", "replayed", on_run=_outage),
    Step(
        "request cut",
        "not-run",
        "answered",
        peer=("cut", IN_REQUEST, BEYOND_END),
    ),
    Step(
        "request silent",
        "not-run",
        "answered",
        peer=("silent", IN_REQUEST, BEYOND_END),
    ),
    Step(
        "answer cut",
        "answered",
        "replayed",
        peer=("cut", BEYOND_END, IN_ANSWER),
    ),
    Step(
        "answer silent",
        "answered",
        "replayed",
        peer=("silent", BEYOND_END, IN_ANSWER),
    ),
    Step("answer doubled", "answered", "replayed", peer=("doubled", 0, 1)),
    Step("target cut", "unknown", "unknown", target=("cut", BEYOND_END, 20)),
    Step(
        "target silent", "unknown", "unknown", target=("silent", BEYOND_END, 20)
    ),
    Step("entry killed", "", "unknown", on_run=_kill(0)),
    Step("target's node killed", "unknown", "unknown", on_run=_kill(1)),
    Step("entry frozen", "answered", "replayed", on_run=_freeze(0, 0.3)),
    Step("node frozen", "answered", "replayed", on_run=_freeze(1, 0.3)),
    Step("node frozen for long", "unknown", "unknown", on_run=_freeze(1, 4)),
]


async def _send_twice(
    step: Step,
) -> tuple[simulation.SimulatedCluster, list[simulation.Reply]]:
    cluster = simulation.SimulatedCluster(1)
    cluster.targets = {"n2"}
    cluster.service_times_s = (0.05,)
    cluster.table.script = list(step.table)
    cluster.on_run = lambda: step.on_run(cluster)
    replies: list[simulation.Reply] = []
    async with anyio.create_task_group() as group:
        await cluster.start(group)
        await anyio.sleep(0.25)
        cluster.network.scripted_faults[simulation.PEER_PORT] = [step.peer]
        cluster.network.scripted_faults[simulation.TARGET_PORT] = [step.target]
        replies.append(await cluster.send("n1", "send-1", "key"))
        await anyio.sleep(0.6)
        replies.append(await cluster.send("n3", "send-2", "key"))
        group.cancel_scope.cancel()
    return cluster, replies


def _outcome(reply: simulation.Reply) -> str:
    if reply.field("x-waxwing-replayed") == "true":
        return "replayed"
    return reply.outcome


@pytest.mark.anyio
async def test_fault_at_each_step() -> None:
    """Guards against a second run after a fault at any step."""
    results: dict[
        str, tuple[simulation.SimulatedCluster, list[simulation.Reply]]
    ] = {}

    async def run(step: Step) -> None:
        results[step.name] = await _send_twice(step)

    async with anyio.create_task_group() as group:
        for step in STEPS:
            group.start_soon(run, step)
    expected = {step.name: (step.first, step.second) for step in STEPS}
    outcomes = {
        name: tuple(_outcome(reply) for reply in replies)
        for name, (_, replies) in results.items()
    }
    assert outcomes == expected
    for name, (cluster, replies) in results.items():
        simulation.check_outcomes(cluster, replies)
        assert len(cluster.ledger) == 1, name


@pytest.mark.anyio
async def test_key_of_another_request() -> None:
    """Guards against sending the answer of another request with that key."""
    cluster = simulation.SimulatedCluster(1)
    async with anyio.create_task_group() as group:
        await cluster.start(group)
        await cluster.send("n1", "send-1", "key")
        other = await cluster.send("n2", "send-2", "key", path="/transfers/b")
        malformed = await cluster.send("n2", "send-3", "k" * 129)
        group.cancel_scope.cancel()
    assert other.head is not None
    assert malformed.head is not None
    assert other.head.status == 422
    assert other.field("x-waxwing-reason") == "key_mismatch"
    assert malformed.head.status == 400
    simulation.check_outcomes(cluster, [other, malformed])
    assert network.CALLER_PORT != simulation.PEER_PORT
