"""Initial load without the platform, and catching up after a pause."""

import random

import anyio
import anyio.lowlevel
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
    """Peers with documents and rows in memory."""

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

    async def fetch_member(self, address, node):
        """See peers.PeerClient."""
        rows = await self.fetch_members(address)
        return next((row for row in rows if row.node == node), None)


@pytest.fixture
def synced():
    """A Synchronizer with fake dependencies."""
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


async def test_new_node_loads_its_state_from_seed_peers(synced):
    """Guards against a node that waits for the platform."""
    synced.node_lease.table.down = True
    synced.client.documents = {SEEDS[0]: 3, SEEDS[1]: 4}
    predecessor = fakes.make_row(0, generation=5_000_000, incarnation="dead")
    synced.client.rows = {
        SEEDS[0]: [fakes.make_row(1)],
        SEEDS[1]: [predecessor],
    }
    with anyio.fail_after(2):
        await synced.load_initial_state()
    assert synced.configured.number == 4
    assert set(synced.membership.records) == {"n1"}
    assert synced.node_lease.generation > predecessor.generation


async def test_restarted_node_loads_its_state_from_a_node_that_contacts_it(
    synced,
):
    """Guards against a node that is unused until the platform is back.

    Load pattern: nodes restart one after the other while the platform is down
    and no seeds are configured. The work of a service went to the one node
    that was left.
    """
    synced.node_lease.table.down = True
    synced.seeds = synced.gossiper.seeds = ()
    address = ("127.0.0.1", 9)
    synced.client.documents = {address: 4}
    synced.client.rows = {address: [fakes.make_row(1)]}
    digest = msgspec.json.encode(gossip.Datagram("n1", "digest", 4, 0))
    async with anyio.create_task_group() as group:
        group.start_soon(synced.load_initial_state)
        with anyio.move_on_after(0.01):
            await synced.gossiper.contacted.wait()
        with anyio.fail_after(synchronizer.INITIAL_LOAD_RETRY_S / 3):
            synced.gossiper.receive(digest, address)
            while not synced.membership.records:
                await anyio.lowlevel.checkpoint()
    assert synced.configured.number == 4


async def test_a_silent_seed_does_not_delay_the_others(synced, monkeypatch):
    """Guards against a start that waits for one dead seed after the other.

    Load pattern: all nodes start after a loss of power, some VMs and the
    platform stay away, and requests pile up.
    """
    synced.node_lease.table.down = True
    synced.client.documents = dict.fromkeys(SEEDS, 4)
    synced.client.rows = {address: [fakes.make_row(1)] for address in SEEDS}
    asked = set()
    all_asked = anyio.Event()
    fetch_members = synced.client.fetch_members

    async def wait_for_all(address):
        asked.add(address)
        if len(asked) == len(SEEDS):
            all_asked.set()
        await all_asked.wait()
        return await fetch_members(address)

    monkeypatch.setattr(synced.client, "fetch_members", wait_for_all)
    with anyio.fail_after(1):
        await synced.load_initial_state()
    assert synced.configured.number == 4


async def test_document_and_members_are_read_at_the_same_time(
    synced, monkeypatch
):
    """Guards against a start that waits for two responses of the platform.

    Load pattern: all nodes start after a loss of power while requests pile up.
    """
    members_requested = anyio.Event()
    scan = synced.node_lease.table.scan

    async def scan_and_tell(*args):
        members_requested.set()
        return await scan(*args)

    async def read_after_it():
        await members_requested.wait()

    monkeypatch.setattr(synced.node_lease.table, "scan", scan_and_tell)
    monkeypatch.setattr(synced.configured, "read", read_after_it)
    with anyio.fail_after(1):
        await synced.load_initial_state()


@pytest.mark.parametrize("failing", ["document", "members"])
async def test_peers_are_asked_if_one_of_the_reads_fails(
    synced, monkeypatch, failing
):
    """Guards against a node that waits for a response that does not come."""

    async def fail(*_):
        raise platform.PlatformError("outage")

    async def hang(*_):
        await anyio.sleep_forever()

    functions = [fail, hang] if failing == "document" else [hang, fail]
    monkeypatch.setattr(synced.configured, "read", functions[0])
    monkeypatch.setattr(synced.node_lease.table, "scan", functions[1])
    synced.client.documents = {SEEDS[0]: 3}
    synced.client.rows = {SEEDS[0]: [fakes.make_row(1)]}
    with anyio.fail_after(1):
        await synced.load_initial_state()
    assert synced.configured.number == 3
    assert set(synced.membership.records) == {"n1"}


async def test_node_without_platform_and_seeds_does_not_start(synced):
    """Guards against a node that announces itself without a document."""
    synced.node_lease.table.down = True
    with anyio.move_on_after(0.05) as scope:
        await synced.load_initial_state()
    assert scope.cancelled_caught
    assert synced.configured.revision is None


async def test_resumed_process_is_stale_until_it_has_caught_up(synced):
    """Guards against calls that use a document replaced during the pause."""
    synced.configured.apply_if_newer(1, {})
    assert not synced.is_stale()
    synced.clock.now_s += synchronizer.PAUSE_LIMIT_S + 1
    table = synced.node_lease.table
    content = {"revision": 2, "change_id": "x", "document": {}}
    await table.transact([platform.Write("document/current", content)])
    assert synced.is_stale()
    with anyio.move_on_after(0.05):
        await synced.run_pause_detection()
    assert not synced.is_stale()
    assert synced.configured.number == 2


async def test_resumed_process_asks_peers_during_a_platform_outage(synced):
    """Guards against a resumed process that uses an outdated document."""
    synced.node_lease.table.down = True
    synced.configured.apply_if_newer(1, {})
    synced.client.documents = {SEEDS[0]: 2, SEEDS[1]: 2}
    synced.client.rows = {SEEDS[0]: [], SEEDS[1]: []}
    synced.clock.now_s += 100
    with anyio.move_on_after(0.05):
        await synced.run_pause_detection()
    assert synced.configured.number == 2


async def test_failed_document_fetch_falls_back_to_the_table(synced):
    """Guards against a peer that announces a document and then fails."""
    content = {"revision": 7, "change_id": "x", "document": {}}
    table = synced.node_lease.table
    await table.transact([platform.Write("document/current", content)])
    news = gossip.Datagram("n1", "news", 7, 0)
    synced.gossiper.receive(msgspec.json.encode(news), ("127.0.0.1", 9))
    with anyio.move_on_after(0.05):
        await synced.run_fetcher()
    assert synced.configured.number == 7


async def test_rejected_document_is_not_fetched_again(synced):
    """Guards against a fetch for each datagram from a newer node."""
    synced.configured.apply_if_newer(1, {})
    assert not synced.configured.apply_if_newer(2, {"unknown": True})
    synced.client.documents = {SEEDS[0]: 3}
    for revision in (2, 3):
        news = gossip.Datagram("n1", "news", revision, 0)
        synced.gossiper.receive(msgspec.json.encode(news), SEEDS[0])
        with anyio.move_on_after(0.05):
            await synced.run_fetcher()
        assert synced.configured.number == (1 if revision == 2 else 3)


async def test_datagrams_over_udp_sockets():
    """Guards against datagrams truncated or dropped by the receiver."""
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


async def test_a_restored_table_is_completed_from_peers(synced):
    """Guards against a restarted node whose target works after its leave.

    The table was restored from a copy of before the leave; peers know of it.
    """
    leave = fakes.make_row(
        0, generation=5_000_000, incarnation="old", state="draining"
    )
    table = synced.node_lease.table
    table.rows["members/n0"] = platform.Row(
        "members/n0",
        members.format_row(fakes.make_row(0, generation=4_000_000)),
        1,
    )
    synced.client.rows = {SEEDS[0]: [fakes.make_row(1), leave]}
    await synced.node_lease.read_rows()
    await synced.complete_members()
    assert synced.membership.predecessor == leave
    assert synced.node_lease.generation > leave.generation


async def test_a_start_does_not_wait_for_silent_peers(synced, monkeypatch):
    """Guards against a node that is late because a peer doesn't respond."""
    monkeypatch.setattr(synchronizer, "RESTORE_FETCH_TIMEOUT_S", 0.01)

    async def fetch_members(address):
        await anyio.sleep_forever()

    monkeypatch.setattr(synced.client, "fetch_members", fetch_members)
    with anyio.fail_after(5):
        await synced.complete_members()


async def test_a_restarted_node_learns_from_peers_what_it_announced(synced):
    """Guards against a leave that ends with the process that confirmed it.

    The table was down when the process was killed.
    """
    leaving = fakes.make_row(
        0, state="draining", target="i-1:10", generation=10**7
    )
    synced.client.rows = {SEEDS[1]: [leaving]}
    await synced.load_own_row()
    assert synced.membership.predecessor == leaving
    assert synced.node_lease.generation > leaving.generation


async def test_a_peer_that_does_not_respond_delays_no_row(synced, monkeypatch):
    """Guards against a restarted node that waits for a peer that is gone.

    All nodes were killed, and each waited 0.3 s for a VM that had been removed
    before it took up its target; half of the requests of that time were late.
    """
    leaving = fakes.make_row(0, state="draining", target="i-1:10")

    async def fetch_member(address, node):
        if address == SEEDS[0]:
            await anyio.sleep_forever()
        return leaving

    monkeypatch.setattr(synchronizer, "OWN_ROW_TIMEOUT_S", 60.0)
    monkeypatch.setattr(synced.client, "fetch_member", fetch_member)
    applied = anyio.Event()
    synced.membership.on_predecessor = applied.set
    with anyio.fail_after(5):
        async with anyio.create_task_group() as group:
            group.start_soon(synced.load_own_row)
            await applied.wait()
            group.cancel_scope.cancel()
    assert synced.membership.predecessor == leaving


@pytest.mark.parametrize(
    ("change", "known"), [(None, False), (1, False), (2, True), (3, True)]
)
async def test_a_row_is_known_once_a_peer_has_it(synced, change, known):
    """Guards against a leave that is confirmed although no peer knows it."""
    row = fakes.make_row(0, state="draining", change=2)
    if change is not None:
        found = fakes.make_row(0, state="draining", change=change)
        synced.client.rows = {SEEDS[0]: [found]}
    assert await synced.is_row_known(row) is known


async def test_a_peer_that_does_not_respond_knows_no_row(synced, monkeypatch):
    """Guards against a leave whose confirmation waits for a silent peer."""
    monkeypatch.setattr(synchronizer, "OWN_ROW_CHECK_TIMEOUT_S", 0.01)

    async def fetch_member(address, node):
        await anyio.sleep_forever()

    monkeypatch.setattr(synced.client, "fetch_member", fetch_member)
    with anyio.fail_after(5):
        assert not await synced.is_row_known(fakes.make_row(0))


async def _announce_document(synced) -> None:
    """Runs the fetcher while a peer announces a document for a moment."""
    synced.client.documents = {SEEDS[0]: 4}
    synced.gossiper.receive(
        msgspec.json.encode(gossip.Datagram("n1", "digest", 4, 0)), SEEDS[0]
    )
    async with anyio.create_task_group() as group:
        group.start_soon(synced.run_fetcher)
        await anyio.wait_all_tasks_blocked()
        group.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("follows_table", "number"),
    [(False, 4), (True, 0)],
    ids=["without notifications", "with notifications"],
)
async def test_the_table_has_a_head_start_before_peers(
    synced, follows_table, number
):
    """Guards against documents that each node loads twice.

    Load pattern: a document of 1,468 routes changes while 195 nodes wait for
    notifications of the table. Gossip of the new number arrives at the same
    moment, and 303 MB went between failure domains.
    """
    synced.follows_table = lambda: follows_table
    await _announce_document(synced)
    assert synced.configured.number == number


async def test_a_document_that_the_table_does_not_tell_is_fetched(
    synced, monkeypatch
):
    """Guards against nodes that wait for a table that went silent."""
    monkeypatch.setattr(synchronizer, "FEED_HEAD_START_S", 0.0)
    synced.follows_table = lambda: True
    await _announce_document(synced)
    assert synced.configured.number == 4


async def test_changes_that_the_table_does_not_tell_are_read_first(
    synced, monkeypatch
):
    """Guards against a node that fetches each change from a peer.

    Its connection to the table is silent until its poll has timed out.
    """
    monkeypatch.setattr(synchronizer, "FEED_HEAD_START_S", 0.0)
    synced.follows_table = lambda: True
    reads = []

    async def read_missed_changes():
        reads.append(True)
        synced.configured.apply_if_newer(5, {})

    synced.read_missed_changes = read_missed_changes
    await _announce_document(synced)
    assert (reads, synced.configured.number) == ([True], 5)


async def test_rows_are_read_again_only_if_gossip_did_not_deliver_them(synced):
    """Guards against a read of all rows by each node of a fleet that starts.

    Each call to the table has a price, and 195 nodes start at once.
    """
    await synced.read_missing_rows()
    assert synced.node_lease.table.reads == 1
    own = synced.membership.fingerprint
    synced.gossiper.receive(
        msgspec.json.encode(gossip.Datagram("n1", "digest", 0, own)), SEEDS[0]
    )
    await synced.read_missing_rows()
    assert synced.node_lease.table.reads == 1
    synced.gossiper.clock.now_s += gossip.IN_STEP_S
    await synced.read_missing_rows()
    assert synced.node_lease.table.reads == 2
