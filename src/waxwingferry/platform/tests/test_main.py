"""The node on the platform: readiness, and the rate limit during warm-up."""

import copy

import anyio
import pytest

from waxwingferry.bench import ports
from waxwingferry.connection import exchange
from waxwingferry.platform import boot
from waxwingferry.platform import main
from waxwingferry.platform.tests import test_boot
from waxwingferry.process import target
from waxwingferry.version import revision

pytestmark = pytest.mark.anyio

READY = "/-/ready"


@pytest.fixture
def node():
    """A node on loopback whose store nobody serves."""
    free = ports.Ports()
    data = copy.deepcopy(test_boot.DATA)
    data["self"]["ip"] = ports.HOST
    first = free.take()
    data["network"]["internal-ports"] = [first, first + 1]
    for use in data["network"]["listen"]:
        data["network"]["listen"][use] = f"{ports.HOST}:{free.take()}"
    store = f"{ports.HOST}:{free.take()}"
    data["provider"]["provider"]["address"] = store
    made = main.PlatformNode(boot.parse(data))
    yield made
    made.datagrams.close()


def put_in_force(node: main.PlatformNode, warmup_rate_per_s: float) -> None:
    """Gives the node a document and its target."""
    service = revision.Service(
        "desk", warmup_rate_per_s=warmup_rate_per_s, warmup_s=3.0
    )
    node.document.revision = revision.Revision(1, {}, [], {"desk": service})
    node.receiver.apply_announcement(
        target.Announcement(
            service="desk",
            version="v1",
            slots=6,
            host=ports.HOST,
            port=1,
            incarnation="i-1:1",
        )
    )


async def ask_ready(node: main.PlatformNode) -> int:
    """Returns the status of the readiness question."""
    async with anyio.create_task_group() as group:
        group.start_soon(node.readiness.serve, ports.HOST, 0)
        await node.readiness.listening.wait()
        client = exchange.Client(ports.HOST, node.readiness.port)
        reply = await client.request("GET", READY, 2.0)
        group.cancel_scope.cancel()
    return reply.status


async def test_a_node_without_a_document_is_not_ready(node):
    """Guards against requesters sent to a node that knows no routes."""
    node.ready = True
    assert await ask_ready(node) == 503


async def test_a_node_with_a_document_is_ready(node):
    """Guards against a node in touch that says it is not ready."""
    node.ready = True
    put_in_force(node, 6.9)
    assert await ask_ready(node) == 200


async def test_a_stopping_node_is_not_ready(node):
    """Guards against requesters sent to a node that ends."""
    node.ready = True
    put_in_force(node, 6.9)
    node.stop_asked.set()
    assert await ask_ready(node) == 503


async def test_the_pace_stays_below_what_a_cold_target_bears(node):
    """Guards against a pace that leaves nothing for bunched requests."""
    put_in_force(node, 6.9)
    bounds = node.settings.bounds
    most = 6.9 * bounds.cold_over + bounds.cold_slack
    assert 6.9 < node.get_warmup_rate() <= most - 2


async def test_an_unstated_pace_is_none(node):
    """Guards against a pace made up of the slack alone."""
    put_in_force(node, 0.0)
    assert node.get_warmup_rate() == 0.0
