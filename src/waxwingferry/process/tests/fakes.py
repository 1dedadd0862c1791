"""In-memory fakes of table, clock and network, with seeded faults."""

import dataclasses
import heapq
import random

import anyio

from waxwingferry.process import platform
from waxwingferry.process.spreading import configuration
from waxwingferry.process.spreading import gossip
from waxwingferry.process.spreading import members


class Clock:
    """Clock that advances only when a test sets it."""

    def __init__(self, now_s: float = 1000.0):
        self.now_s = now_s

    def __call__(self) -> float:
        """Returns the time."""
        return self.now_s

    async def sleep(self, delay_s: float) -> None:
        """Advances the clock and lets other tasks run."""
        self.now_s += delay_s
        await anyio.lowlevel.checkpoint()


class VirtualClock(Clock):
    """Clock that advances to the next wakeup once all tasks sleep."""

    def __init__(self):
        super().__init__()
        self.wakeups: list = []
        self.sequence = 0

    async def sleep(self, delay_s: float) -> None:
        """Waits until the clock has advanced by a delay."""
        self.sequence += 1
        event = anyio.Event()
        wakeup = (self.now_s + delay_s, self.sequence, event)
        heapq.heappush(self.wakeups, wakeup)
        await event.wait()

    async def run(self, duration_s: float) -> None:
        """Advances the clock and wakes sleeping tasks in order."""
        end_s = self.now_s + duration_s
        await self._run_ready_tasks()
        while self.wakeups and self.wakeups[0][0] <= end_s:
            self.now_s, _, event = heapq.heappop(self.wakeups)
            event.set()
            await self._run_ready_tasks()
        self.now_s = end_s

    async def _run_ready_tasks(self) -> None:
        for _ in range(12):
            await anyio.lowlevel.checkpoint()


class Table:
    """In-memory implementation of platform.Table.

    Attributes:
        down: Whether all requests fail without any effect.
        lose_share: Share of successful writes whose answer is lost.
        on_write: Called at the start of each write.
    """

    def __init__(self, rng: random.Random | None = None):
        self.rng = rng or random.Random(1)
        self.rows: dict[str, platform.Row] = {}
        self.version = 0
        self.writes = 0
        self.reads = 0
        self.down = False
        self.lose_share = 0.0
        self.on_write = lambda: None

    def value(self, key: str) -> dict:
        """Returns the value of an existing row."""
        value = self.rows[key].value
        assert value is not None
        return value

    async def _begin_request(self) -> None:
        await anyio.lowlevel.checkpoint()
        if self.down:
            raise platform.PlatformError("outage")

    async def read(self, key):
        """See platform.Table."""
        await self._begin_request()
        return self.rows.get(key)

    async def scan(self, prefix, after_version=0):
        """See platform.Table."""
        self.reads += 1
        await self._begin_request()
        return [
            row
            for key, row in self.rows.items()
            if key.startswith(prefix) and row.version > after_version
        ]

    async def transact(self, writes):
        """See platform.Table."""
        await self._begin_request()
        self.writes += 1
        self.on_write()
        for write in writes:
            row = self.rows.get(write.key)
            exists = row is not None and (
                row.value is not None or row.malformed
            )
            version = row.version if row is not None and exists else 0
            if write.if_version not in (None, version):
                raise platform.ConflictError(write.key, row)
        versions = []
        for write in writes:
            self.version += 1
            versions.append(self.version)
            row = platform.Row(write.key, write.value, self.version)
            self.rows[write.key] = row
        await anyio.lowlevel.checkpoint()
        if self.rng.random() < self.lose_share:
            raise platform.PlatformError("answer lost")
        return versions


def make_row(number: int, **changes) -> members.MemberRow:
    """Returns a member row of node n<number>."""
    values = {
        "node": f"n{number}",
        "service": "desk",
        "version": "v1",
        "region": "r1",
        "failure_domain": f"d{number % 4 + 1}",
        "host": "127.0.0.1",
        "peer_port": 10_000 + number,
        "incarnation": f"{number:016x}",
        "state": "ready",
        "slots": 6,
        "generation": 1,
        "change": 1,
        **changes,
    }
    return members.MemberRow(**values)


@dataclasses.dataclass
class Faults:
    """Shares of datagrams lost and duplicated, and the range of delays."""

    loss: float = 0.0
    duplicate: float = 0.0
    delay_s: tuple[float, float] = (0.0005, 0.002)


class FakeNode:
    """Membership, document and gossip of one node on a fake network."""

    def __init__(self, network: "Network", number: int, announce: bool = True):
        self.network = network
        self.address = ("127.0.0.1", 10_000 + number)
        self.paused_until_s = 0.0
        self.dissemination_scheduled = False
        self.revisions = [0]
        name = f"n{number}"
        self.members = members.Membership(name, network.clock)
        self.configured = configuration.Configuration(Table())
        self.gossip = gossip.Gossiper(
            self.members,
            lambda: self.configured.number,
            lambda to, data: network.send(self.address, to, data),
            network.rng,
            (("127.0.0.1", 10_000),),
            network.clock,
        )
        self.members.on_newer_row = self.gossip.add_row
        self.configured.on_change = self._on_change
        if announce:
            self.members.announce(make_row(number))

    def _on_change(self) -> None:
        self.revisions.append(self.configured.number)
        self.gossip.add_revision()

    def fetch(self) -> None:
        """Does without delay what the fetcher task does over TCP."""
        newer_at, self.gossip.newer_from = self.gossip.newer_from, None
        if newer_at is not None:
            source = self.network.find_reachable(self.address, newer_at[0])
            if source is not None and source.configured.revision is not None:
                revision = source.configured.revision
                self.configured.apply_if_newer(
                    revision.number, revision.content
                )
        sync_peer, self.gossip.sync_from = self.gossip.sync_from, None
        if sync_peer is not None:
            source = self.network.find_reachable(self.address, sync_peer)
            if source is not None:
                self.members.apply_all(source.members.all_rows())


class Network:
    """Simulates datagrams between nodes as a queue of timed events."""

    def __init__(self, rng: random.Random, faults: Faults):
        self.rng = rng
        self.faults = faults
        self.fetch_delay_s = 0.02
        self.clock = Clock()
        self.nodes: dict[gossip.Address, FakeNode] = {}
        self.groups: dict[gossip.Address, int] = {}
        self.queue: list = []
        self.sequence = 0

    def add(self, number: int, announce: bool = True) -> FakeNode:
        """Adds a node and schedules its first digest."""
        node = FakeNode(self, number, announce)
        self.nodes[node.address] = node
        self.schedule(self.rng.uniform(0, 1), self._send_periodic_digest, node)
        return node

    def schedule(self, delay_s: float, action, *args) -> None:
        """Schedules an action."""
        self.sequence += 1
        due_s = self.clock.now_s + delay_s
        heapq.heappush(self.queue, (due_s, self.sequence, action, args))

    def find_reachable(self, source, to) -> FakeNode | None:
        """Returns the node at an address unless it is paused or partitioned."""
        node = self.nodes.get(to)
        if node is None or node.paused_until_s > self.clock.now_s:
            return None
        same_group = self.groups.get(source, 0) == self.groups.get(to, 0)
        return node if same_group else None

    def send(self, source, to, data: bytes) -> None:
        """Sends a datagram, subject to partitions and the configured faults."""
        if self.groups.get(source, 0) != self.groups.get(to, 0):
            return
        copies = 1 + (self.rng.random() < self.faults.duplicate)
        for _ in range(copies):
            if self.rng.random() >= self.faults.loss:
                delay_s = self.rng.uniform(*self.faults.delay_s)
                self.schedule(delay_s, self._deliver, source, to, data)

    def _deliver(self, source, to, data: bytes) -> None:
        node = self.nodes.get(to)
        if node is None:
            return
        if node.paused_until_s > self.clock.now_s:
            # Datagrams stay in the socket buffer of a paused process.
            wait_s = node.paused_until_s - self.clock.now_s
            self.schedule(wait_s, self._deliver, source, to, data)
            return
        node.gossip.receive(data, source)
        self.schedule(self.fetch_delay_s, self._fetch, node)
        self.schedule_dissemination(node)

    def _fetch(self, node: FakeNode) -> None:
        if node.paused_until_s <= self.clock.now_s:
            node.fetch()
            self.schedule_dissemination(node)

    def schedule_dissemination(self, node: FakeNode) -> None:
        """Schedules the dissemination of pending rows, if there are any."""
        if (
            node.gossip.has_pending.is_set()
            and not node.dissemination_scheduled
        ):
            node.dissemination_scheduled = True
            node.gossip.has_pending = anyio.Event()
            self.schedule(gossip.COALESCE_S, self._disseminate, node)

    def _disseminate(self, node: FakeNode) -> None:
        if node.paused_until_s > self.clock.now_s:
            self.schedule(1.0, self._disseminate, node)
            return
        node.gossip.send_pending()
        node.dissemination_scheduled = bool(node.gossip.pending)
        if node.dissemination_scheduled:
            self.schedule(gossip.PASS_INTERVAL_S, self._disseminate, node)

    def _send_periodic_digest(self, node: FakeNode) -> None:
        if self.nodes.get(node.address) is not node:
            return
        if node.paused_until_s <= self.clock.now_s:
            node.gossip.send_periodic_digest()
            self.schedule_dissemination(node)
        jitter = self.rng.uniform(1 - gossip.JITTER, 1 + gossip.JITTER)
        self.schedule(
            gossip.DIGEST_INTERVAL_S * jitter, self._send_periodic_digest, node
        )

    def run(self, duration_s: float, until=lambda: False) -> float:
        """Runs for a time or until a condition holds; returns elapsed time."""
        start_s = self.clock.now_s
        end_s = start_s + duration_s
        while self.queue and self.queue[0][0] <= end_s and not until():
            self.clock.now_s, _, action, args = heapq.heappop(self.queue)
            action(*args)
        if not until():
            self.clock.now_s = end_s
        return self.clock.now_s - start_s
