"""Choices by loads that nodes report on request, in a large cluster."""

import random

import anyio
import msgspec
import pytest

from waxwingferry import decoding
from waxwingferry.process import metrics
from waxwingferry.process.choice import cost
from waxwingferry.process.choice import load_stats
from waxwingferry.process.choice import routing
from waxwingferry.process.spreading import gossip
from waxwingferry.process.spreading import load_queries
from waxwingferry.process.spreading import members
from waxwingferry.process.tests import fakes

pytestmark = pytest.mark.anyio

DOMAINS = 7
TARGETS = 142
SLOTS = 3
NO_DOMAINS: frozenset[str] = frozenset()


class Cluster:
    """An entry node and the nodes of the targets, whose loads a test sets.

    Attributes:
        slow: Numbers of the targets that run four times slower.
        silent: Numbers of the nodes that don't reply.
        queried: Nodes that were asked, in order.
    """

    def __init__(self, targets: int = TARGETS, seed: int = 1):
        self.clock = fakes.Clock()
        self.rng = random.Random(seed)
        self.slow: set[int] = set()
        self.busy: set[int] = set()
        self.silent: set[int] = set()
        self.queried: list[str] = []
        self.members = members.Membership("entry", self.clock)
        for number in range(targets):
            self.members.apply(
                fakes.make_row(
                    number,
                    slots=SLOTS,
                    failure_domain=f"d{number % DOMAINS}",
                )
            )
        self.gossip = gossip.Gossiper(
            self.members,
            lambda: 1,
            self.deliver,
            self.rng,
            clock=self.clock,
        )
        self.gossip.on_load = self.record_load
        self.counters = metrics.Metrics()
        self.queries = load_queries.LoadQueries(
            self.gossip,
            self.update_load,
            lambda: None,
            self.counters,
            self.clock,
        )
        self.router = routing.Router(
            self.rng,
            self.clock,
            routing.Policy.STATED,
            cost.Location("entry", "r1", "d0"),
        )

    @property
    def candidates(self):
        """All targets of the service."""
        return self.members.by_service["desk"]

    async def update_load(self) -> None:
        """The entry node of the test has no target."""

    def deliver(self, address: gossip.Address, data: bytes) -> None:
        """Replies at once to a query unless the node is silent."""
        assert data[:1] == load_queries.TYPE_BYTE
        number = address[1] - 10_000
        self.queried.append(f"n{number}")
        if number not in self.silent:
            self.gossip.receive(
                gossip.encode_load(self.make_push(number)), address
            )

    def make_push(self, number: int) -> gossip.LoadPush:
        """Returns the present load of a target."""
        percent = 400 if number in self.slow else 100
        return gossip.LoadPush(
            f"n{number}", 0, 0, SLOTS, percent, busy=number in self.busy
        )

    def record_load(self, push: gossip.LoadPush) -> None:
        """Does what a node does with a report."""
        self.members.candidates[push.node].load = load_stats.LoadReport(
            push.in_flight,
            push.queue,
            push.limit,
            self.clock.now_s,
            push.slow_percent / 100,
            busy=push.busy,
        )
        self.queries.record_report()

    def change_slow_targets(self) -> None:
        """Gives a quarter of the targets a slow phase."""
        count = len(self.candidates)
        self.slow = set(self.rng.sample(range(count), count // 4))

    async def choose(self) -> int:
        """Returns the number of the target that a request is sent to."""
        sample = self.router.sample(self.candidates, NO_DOMAINS, set())
        reporting = await self.queries.find_reporting(sample.near)
        if not any(self.router.is_free(item) for item in reporting):
            reporting += await self.queries.find_reporting(sample.far)
        chosen = self.router.choose(reporting, NO_DOMAINS, set())
        assert chosen is not None
        return int(chosen.node.removeprefix("n"))


async def test_short_slow_phases_are_seen_by_all_entries():
    """Guards against requests that meet a slow phase the entry can't know of.

    Load pattern: 142 targets, each slow a quarter of the time for 0.3 s, and
    entries that each send two requests per second. A push reaches 16 of 195
    entries, and a report of the request before is older than the phase.
    """
    cluster = Cluster()
    pushed = slow = 0
    for _ in range(400):
        cluster.change_slow_targets()
        for number in cluster.rng.sample(range(TARGETS), TARGETS // 12):
            cluster.record_load(cluster.make_push(number))
        chosen = cluster.router.choose(cluster.candidates, NO_DOMAINS, set())
        assert chosen is not None
        pushed += int(chosen.node.removeprefix("n")) in cluster.slow
        cluster.clock.now_s += 0.5
        slow += await cluster.choose() in cluster.slow
    assert pushed > 20
    assert slow <= 4


async def test_near_targets_are_used_while_one_of_them_is_free():
    """Guards against bytes between failure domains that serve no caller.

    Load pattern: the domain's own targets have room, then all of them are
    slow or have none.
    """
    cluster = Cluster()
    near = {number for number in range(TARGETS) if number % DOMAINS == 0}
    for _ in range(50):
        cluster.clock.now_s += 1.0
        assert await cluster.choose() in near
    assert {int(node[1:]) for node in cluster.queried} <= near
    cluster.slow = set(list(near)[::2])
    cluster.busy = near - cluster.slow
    for _ in range(50):
        cluster.clock.now_s += 1.0
        assert await cluster.choose() not in near


async def test_load_is_spread_over_equal_targets():
    """Guards against all entries choosing the same target."""
    cluster = Cluster()
    counts = dict.fromkeys(range(0, TARGETS, DOMAINS), 0)
    for _ in range(len(counts) * 30):
        cluster.clock.now_s += 1.0
        counts[await cluster.choose()] += 1
    assert max(counts.values()) < 2 * 30


async def test_a_silent_node_is_not_chosen():
    """Guards against requests sent to nodes that are cut off or have stopped.

    Until the membership knows of it, their connections would hang.
    """
    cluster = Cluster()
    cluster.silent = {number for number in range(TARGETS) if number % 14 == 0}
    with anyio.fail_after(5):
        for _ in range(20):
            cluster.clock.now_s += 1.0
            assert await cluster.choose() not in cluster.silent


async def test_queries_stay_within_their_budget():
    """Guards against measuring that costs more than the work measured."""
    cluster = Cluster()
    for _ in range(1000):
        cluster.clock.now_s += 0.001
        for item in cluster.candidates:
            item.stats.load = load_stats.LoadReport()
        await cluster.queries.find_reporting(cluster.candidates[:8])
    allowed = load_queries.QUERY_BURST + load_queries.QUERIES_PER_S
    assert len(cluster.queried) <= allowed
    content, _ = cluster.counters.render()
    assert b'event="load_query_suppressed"' in content


async def test_fresh_reports_are_used_without_a_query():
    """Guards against a round trip for each of many requests per second."""
    cluster = Cluster()
    chosen = cluster.candidates[:8]
    await cluster.queries.find_reporting(chosen)
    cluster.clock.now_s += load_queries.FRESH_S / 2
    assert await cluster.queries.find_reporting(chosen) == chosen
    assert len(cluster.queried) == 8


@pytest.mark.parametrize(("targets", "needed"), [(10, False), (40, True)])
async def test_small_clusters_rely_on_pushes(targets, needed):
    """Guards against a round trip where each node gets all pushes."""
    assert Cluster(targets).queries.is_needed() == needed


async def test_a_query_is_answered_with_the_load_as_of_now():
    """Guards against replies with a load from before the query."""
    sent: list[tuple[gossip.Address, bytes]] = []
    events: list[str] = []
    clock = fakes.Clock()
    membership = members.Membership("n0", clock)
    membership.apply(fakes.make_row(1))
    gossiper = gossip.Gossiper(
        membership,
        lambda: 1,
        lambda address, data: sent.append((address, data)),
        random.Random(1),
        clock=clock,
    )

    async def update_load() -> None:
        events.append("updated")

    push: gossip.LoadPush | None = gossip.LoadPush("n0", 1, 0, 3, 100)

    def make_push() -> gossip.LoadPush | None:
        events.append("read")
        return push

    queries = load_queries.LoadQueries(
        gossiper, update_load, make_push, metrics.Metrics(), clock
    )
    query = load_queries.TYPE_BYTE + msgspec.msgpack.encode(["n1"])
    gossiper.receive(query, ("127.0.0.1", 9))
    gossiper.receive(query, ("127.0.0.1", 9))
    assert queries.asked.is_set()
    await queries.answer()
    assert events == ["updated", "read"]
    assert push is not None
    assert sent == [(("127.0.0.1", 10_001), gossip.encode_load(push))]
    push = None
    gossiper.receive(query, ("127.0.0.1", 9))
    await queries.answer()
    assert len(sent) == 1


async def test_odd_queries_are_dropped():
    """Guards against a node that ends or fills up by datagrams of others."""
    cluster = Cluster(20)
    for data in (b"", b"\x91" * 5000, b"\xc1", msgspec.msgpack.encode([""])):
        with pytest.raises(decoding.DecodingError):
            cluster.queries.receive(data)
    for number in range(2 * load_queries.MAX_ASKING):
        cluster.queries.receive(msgspec.msgpack.encode([f"x{number}"]))
    assert len(cluster.queries.asking) == load_queries.MAX_ASKING
    content, _ = cluster.counters.render()
    assert b'event="load_query_dropped"' in content
