"""A node's start without the platform, and a process that was paused."""

import random

import anyio
import msgspec
import pytest

from waxwingferry.process import metrics
from waxwingferry.process import platform
from waxwingferry.process.spreading import configuration
from waxwingferry.process.spreading import gossip
from waxwingferry.process.spreading import lease
from waxwingferry.process.spreading import members
from waxwingferry.process.spreading import peers
from waxwingferry.process.spreading import synchronizer
from waxwingferry.process.tests import fakes

pytestmark = pytest.mark.anyio

SEEDS = (("127.0.0.1", 1), ("127.0.0.1", 2))


class FakeClient(peers.PeerClient):
    """Peers that answer from memory."""

    def __init__(self):
        self.documents = {}
        self.rows = {}

    async def fetch_document(self, address):
        """See peers.PeerClient."""
        if address not in self.documents:
            raise peers.PeerError("refused")
        return self.documents[address], {}

    async def fetch_members(self, address):
        """See peers.PeerClient."""
        if address not in self.rows:
            raise peers.PeerError("refused")
        return self.rows[address]


@pytest.fixture
def made():
    """A Synchronizer with fakes around it."""
    table, clock, client = fakes.Table(), fakes.Clock(), FakeClient()
    rng = random.Random(1)
    configured = configuration.Configuration(table)
    membership = members.Membership("n0", clock)
    node_lease = lease.Lease(table, membership, rng, clock, lambda: 1000.0)
    gossiper = gossip.Gossiper(
        membership,
        lambda: configured.number,
        lambda *_: None,
        rng,
        SEEDS,
        clock,
    )
    counters = metrics.Metrics()
    return synchronizer.Synchronizer(
        configured,
        membership,
        node_lease,
        gossiper,
        client,
        counters,
        rng,
        SEEDS,
        clock,
    )


async def test_a_fresh_vm_learns_from_its_seeds(made):
    """Guards against a node that waits for the platform."""
    made.node_lease.table.down = True
    made.client.documents = {SEEDS[0]: 3, SEEDS[1]: 4}
    predecessor = fakes.make_row(0, generation=5_000_000, incarnation="dead")
    made.client.rows = {
        SEEDS[0]: [fakes.make_row(1)],
        SEEDS[1]: [predecessor],
    }
    with anyio.fail_after(2):
        await made.load_initial_state()
    assert made.configured.number == 4
    assert set(made.membership.records) == {"n1"}
    assert made.node_lease.generation > predecessor.generation


async def test_with_neither_platform_nor_seeds_it_takes_no_work(made):
    """Guards against a node that announces itself knowing nothing."""
    made.node_lease.table.down = True
    with anyio.move_on_after(0.05) as scope:
        await made.load_initial_state()
    assert scope.cancelled_caught
    assert made.configured.revision is None


async def test_a_woken_process_catches_up_before_it_acts(made):
    """Guards against calls by a document that was replaced meanwhile."""
    made.configured.apply_if_newer(1, {})
    assert not made.is_stale()
    made.clock.now_s += synchronizer.PAUSE_LIMIT_S + 1
    table = made.node_lease.table
    content = {"revision": 2, "change_id": "x", "document": {}}
    await table.transact([platform.Write("document/current", content)])
    assert made.is_stale()
    with anyio.move_on_after(0.05):
        await made.run_pause_detection()
    assert not made.is_stale()
    assert made.configured.number == 2


async def test_a_woken_process_asks_peers_while_the_platform_is_down(made):
    """Guards against a woken process that goes on by old news."""
    made.node_lease.table.down = True
    made.configured.apply_if_newer(1, {})
    made.client.documents = {SEEDS[0]: 2, SEEDS[1]: 2}
    made.client.rows = {SEEDS[0]: [], SEEDS[1]: []}
    made.clock.now_s += 100
    with anyio.move_on_after(0.05):
        await made.run_pause_detection()
    assert made.configured.number == 2


async def test_a_newer_revision_falls_back_to_the_table(made):
    """Guards against a peer that told of a document and went away."""
    content = {"revision": 7, "change_id": "x", "document": {}}
    table = made.node_lease.table
    await table.transact([platform.Write("document/current", content)])
    news = gossip.Datagram("n1", "news", 7, 0)
    made.gossiper.receive(msgspec.json.encode(news), ("127.0.0.1", 9))
    with anyio.move_on_after(0.05):
        await made.run_fetcher()
    assert made.configured.number == 7


async def test_a_document_not_understood_is_not_fetched_again(made):
    """Guards against a fetch for each datagram of a newer program."""
    made.configured.apply_if_newer(1, {})
    assert not made.configured.apply_if_newer(2, {"unknown": True})
    made.client.documents = {SEEDS[0]: 3}
    for revision in (2, 3):
        news = gossip.Datagram("n1", "news", revision, 0)
        made.gossiper.receive(msgspec.json.encode(news), SEEDS[0])
        with anyio.move_on_after(0.05):
            await made.run_fetcher()
        assert made.configured.number == (1 if revision == 2 else 3)


async def test_datagrams_cross_real_sockets():
    """Guards against a datagram that is cut or lost on the way up."""
    one = peers.DatagramSocket("127.0.0.1", 0)
    two = peers.DatagramSocket("127.0.0.1", 0)
    received: list = []
    both = anyio.Event()

    def receive(*item) -> None:
        received.append(item)
        if len(received) == 2:
            both.set()

    async with anyio.create_task_group() as group:
        group.start_soon(two.run, receive)
        one.send(two.socket.getsockname(), b"x" * 1300)
        one.send(two.socket.getsockname(), b"digest")
        with anyio.fail_after(5):
            await both.wait()
        group.cancel_scope.cancel()
    assert len(received[0][0]) == gossip.MAX_DATAGRAM_BYTES + 1
    assert received[1] == (b"digest", one.socket.getsockname())
    one.close()
    two.close()
