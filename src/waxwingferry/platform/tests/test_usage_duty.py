"""Usage reports as wired into a node, over loopback connections."""

import copy

import anyio
import pytest

from waxwingferry.bench import ports
from waxwingferry.connection import exchange
from waxwingferry.platform import main
from waxwingferry.platform import settings_file
from waxwingferry.platform.tests import test_settings_file
from waxwingferry.process.spreading import peers
from waxwingferry.process.tests import fakes
from waxwingferry.process.usage import messages
from waxwingferry.version import revision


@pytest.fixture
def make_node():
    """Makes nodes on loopback without a store to connect to."""
    free_ports = ports.PortAllocator()
    nodes = []

    def make(duties: list[str] | None) -> main.PlatformNode:
        data = copy.deepcopy(test_settings_file.DATA)
        data["self"]["ip"] = ports.HOST
        first_port = free_ports.allocate()
        data["network"]["internal-ports"] = [first_port, first_port + 1]
        store_address = f"{ports.HOST}:{free_ports.allocate()}"
        data["provider"]["provider"]["address"] = store_address
        if duties is not None:
            address = f"{ports.HOST}:{free_ports.allocate()}"
            data["provider"]["cloud-api"] = {
                "address": address,
                "duties": duties,
            }
        node = main.PlatformNode(settings_file.parse(data))
        nodes.append(node)
        return node

    yield make
    for node in nodes:
        node.datagrams.close()


def add_workspace(node: main.PlatformNode) -> None:
    """Sets a document with one workspace."""
    document = revision.Revision(1, {}, [], {})
    document.workspaces["a"] = revision.Workspace("a", 0)
    node.document.revision = document


@pytest.mark.parametrize("duties", [None, [], ["something_else"]])
async def test_nothing_is_recorded_or_answered_without_the_duty(
    make_node, duties
):
    """Guards against a cost of usage reports where they are off."""
    node = make_node(duties)
    assert node.usage_duty is None
    assert node.receiver.usage is None
    async with anyio.create_task_group() as group:
        group.start_soon(node.peer_server.serve, ports.HOST, 0)
        await node.peer_server.listening.wait()
        client = exchange.Client(ports.HOST, node.peer_server.port)
        reply = await client.request("GET", "/usage", 2.0)
        await client.close()
        group.cancel_scope.cancel()
    assert reply.status == 404


async def test_a_node_without_workspaces_is_no_candidate(make_node):
    """Guards against calls to the table for a document without workspaces."""
    node = make_node(["usage_reporting"])
    duty = node.usage_duty
    node.members.announce(fakes.make_row(1, node=node.options.node))
    assert not duty.is_candidate()
    add_workspace(node)
    assert duty.is_candidate()


async def test_a_frozen_candidate_is_backed_up(make_node):
    """Guards against a duty that nobody takes from a frozen holder.

    It was the candidate itself, and all nodes took it for live.
    """
    node = make_node(["usage_reporting"])
    add_workspace(node)
    duty = node.usage_duty
    clock = duty.usage.clock = fakes.Clock()
    duty.usage.asked_s = clock()
    node.members.announce(fakes.make_row(1, node=duty.usage.node))
    node.members.apply(fakes.make_row(8, node="z8"))
    node.members.apply(fakes.make_row(9, node="z9"))
    clock.now_s += 14
    assert not duty.is_candidate()
    clock.now_s += 2
    assert duty.is_candidate()
    # It may be cut off, so only a row that does not change counts.
    assert duty.is_holder_live("z9", "other")
    duty.usage.answer(messages.Question(0, 0, "z9"))
    assert not duty.is_candidate()


async def test_holder_that_is_not_known_yet_counts_as_live(make_node):
    """Guards against nodes that start together and take the duty in turns."""
    node = make_node(["usage_reporting"])
    add_workspace(node)
    duty = node.usage_duty
    node.members.announce(fakes.make_row(1, node=duty.usage.node))
    assert duty.is_candidate()
    assert duty.is_holder_live("a0", "incarnation")
    node.members.apply(fakes.make_row(2, node="a0"))
    assert not duty.is_holder_live("a0", "earlier")


async def test_questions_and_hand_overs_between_nodes(make_node):
    """Guards against messages that two nodes don't both understand."""
    node, other = (make_node(["usage_reporting"]) for _ in range(2))
    add_workspace(other)
    node.receiver.usage.record("a")
    async with anyio.create_task_group() as group:
        group.start_soon(node.peer_server.serve, ports.HOST, 0)
        await node.peer_server.listening.wait()
        row = fakes.make_row(9, peer_port=node.peer_server.port)
        question = messages.Question(5000, 0, "n7")
        duty = other.usage_duty
        for _ in range(2):
            reply = await duty.ask(row, question)
        assert reply.counts == {"a": 1}
        assert reply.incarnation == node.incarnation
        assert node.usage.holder == "n7"
        # The connection is kept from one question to the next.
        (client,) = duty.client.usage_clients.values()
        assert len(client.pool.idle) == 1
        other.receiver.usage.record("b")
        other.members.apply(row)
        await duty.hand_over()
        await duty.client.keep_usage_clients(set())
        bad = peers.PeerClient()
        with pytest.raises(peers.PeerError):
            await bad.hand_over_usage(row.address, b"garbage", 1.0)
        group.cancel_scope.cancel()
    handed = node.usage.handed_over[other.options.node, other.incarnation]
    assert [run.counts for run in handed.runs] == [{"b": 1}]


async def test_the_status_shows_the_duty(make_node):
    """Guards against a status that the command line can't show."""
    node = make_node(["usage_reporting"])
    async with anyio.create_task_group() as group:
        group.start_soon(node.metrics_server.serve, ports.HOST, 0)
        await node.metrics_server.listening.wait()
        client = exchange.Client(ports.HOST, node.metrics_server.port)
        status = await client.request("GET", "/status", 2.0)
        metrics = await client.request("GET", "/metrics", 2.0)
        await client.close()
        group.cancel_scope.cancel()
    assert b'"usage":{"holder":"","token":0,"holds":false}' in status.body
    assert b"waxwingferry_duty_held" in metrics.body
    assert b"waxwingferry_usage_windows" in metrics.body
