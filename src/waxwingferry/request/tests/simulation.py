"""In-memory simulation of nodes, targets and a table with seeded faults."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import json
import random

import anyio
import anyio.abc

from waxwingferry.connection import http1
from waxwingferry.connection import serve
from waxwingferry.process import attempts
from waxwingferry.process import background
from waxwingferry.process import metrics
from waxwingferry.process import platform
from waxwingferry.process import target
from waxwingferry.process.choice import routing
from waxwingferry.process.spreading import members
from waxwingferry.request import answering
from waxwingferry.request import attempt_runner
from waxwingferry.request import calls
from waxwingferry.request import claim
from waxwingferry.request import entry
from waxwingferry.request import forward
from waxwingferry.request import peer
from waxwingferry.request import receive
from waxwingferry.request.tests import network
from waxwingferry.version import document

PEER_PORT, TARGET_PORT = 2, 3

# What happens to a write that the platform doesn't answer.
WRITE_FAILURES = ("lost", "answer lost", "late")


def make_document(deadline_ms: int) -> document.Document:
    """Returns a document with a service that has a write and a read route."""
    return document.Document.model_validate(
        {
            "services": [
                {
                    "name": "registry",
                    "routes": [
                        {
                            "path_prefix": "/transfers",
                            "methods": ["POST"],
                            "deadline_ms": deadline_ms,
                        },
                        {
                            "path_prefix": "/prices",
                            "idempotent": True,
                            "deadline_ms": deadline_ms,
                        },
                    ],
                }
            ],
            "budgets": {"claim_writes_per_s": 100_000},
        }
    )


class Table:
    """A table with outages, lost answers and delayed writes."""

    def __init__(self, rng: random.Random, fault_rate: float):
        self.rng = rng
        self.fault_rate = fault_rate
        self.rows: dict[str, platform.Row] = {}
        self.version = 0
        self.down = False
        self.delayed: list[tuple[float, list[platform.Write]]] = []
        self.script: list[str] = []

    def _fails(self) -> bool:
        return self.down or self.rng.random() < self.fault_rate

    async def read(self, key: str) -> platform.Row | None:
        """See platform.Table."""
        await anyio.sleep(0.001)
        if self._fails():
            raise platform.PlatformError("no answer")
        return self.rows.get(key)

    async def scan(self, prefix: str, after_version: int = 0):
        """See platform.Table."""
        return []

    async def transact(self, writes: list[platform.Write]) -> list[int]:
        """See platform.Table."""
        await anyio.sleep(0.001)
        failure = "" if not self._fails() else self.rng.choice(WRITE_FAILURES)
        if self.script:
            failure = self.script.pop(0)
        match failure:
            case "":
                return self.apply(writes)
            case "answer lost" if not self.down:
                self.apply(writes)
            case "late":
                due_s = anyio.current_time() + self.rng.uniform(0.1, 0.4)
                self.delayed.append((due_s, writes))
        raise platform.PlatformError("no answer")

    def apply(self, writes: list[platform.Write]) -> list[int]:
        """Applies a transaction immediately."""
        for write in writes:
            row = self.rows.get(write.key)
            version = row.version if row else 0
            if write.if_version not in (None, version):
                raise platform.ConflictError(write.key, row)
        for write in writes:
            self.version += 1
            row = platform.Row(write.key, write.value, self.version)
            self.rows[write.key] = row
        return [self.rows[write.key].version for write in writes]

    async def run_delayed_writes(self) -> None:
        """Applies delayed writes, out of order."""
        while True:
            await anyio.sleep(0.02)
            now_s = anyio.current_time()
            due = [item for item in self.delayed if item[0] <= now_s]
            for item in due:
                self.delayed.remove(item)
                with contextlib.suppress(platform.ConflictError):
                    self.apply(item[1])


class Target:
    """A target that records all runs in the cluster's ledger."""

    def __init__(self, cluster: "SimulatedCluster"):
        self.cluster = cluster
        self.rng = cluster.rng
        self.ledger = cluster.ledger

    async def handle(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Handles one request."""
        body = await answering.read_body(connection)
        if body.rest is not None:
            async for _ in body.rest:
                pass
        find = http1.find_header
        echoed = [
            (calls.ATTEMPT_HEADER, find(head.headers, calls.ATTEMPT_HEADER)),
            ("x-request-id", find(head.headers, "x-request-id")),
        ]
        if self.cluster.stalls_in_answers:
            await connection.send_head(200, [*echoed, ("content-length", "9")])
            await anyio.sleep_forever()
        sample = self.rng.random()
        if sample < self.cluster.target_fault_rate:
            echoed.append((target.NOT_RUN_HEADER, "true"))
            await connection.send_head(503, echoed, b"shed\n")
            return
        run = {
            "request": find(head.headers, "x-request-id"),
            "key": find(head.headers, calls.KEY_HEADER),
            "attempt": find(head.headers, calls.ATTEMPT_HEADER),
        }
        self.ledger.append(run)
        self.cluster.on_run()
        times_s = self.cluster.service_times_s
        await anyio.sleep(self.rng.choice(times_s))
        if sample > 1 - self.cluster.target_fault_rate:
            raise http1.ConnectionLostError("target failed after it ran")
        await connection.send_head(200, echoed, json.dumps(run).encode())


class Node:
    """One node with its target; a restart changes its incarnation."""

    def __init__(self, cluster: "SimulatedCluster", name: str):
        self.cluster = cluster
        self.name = name
        self.frozen = False
        self.scope = anyio.CancelScope()
        self.number = 0

    def build(self) -> None:
        """Creates the components of a new incarnation."""
        cluster = self.cluster
        self.number += 1
        self.incarnation = f"{self.name}-{self.number}"
        counters = metrics.Metrics()
        self.tasks = background.Background()
        revision = document.make_revision(1, make_document(cluster.deadline_ms))
        self.receiver = receive.Receiver(
            self.incarnation, lambda: False, lambda: revision, counters
        )
        self.receiver.apply_announcement(
            target.Announcement(
                service="registry",
                version="v1",
                slots=50,
                host=self.name,
                port=TARGET_PORT,
                incarnation="t1",
            )
        )
        assert self.receiver.link is not None
        self.receiver.link.pool.connect = self.connect
        assert self.receiver.admission is not None
        self.receiver.admission.limit.value = 50
        self.membership = members.Membership(self.name)
        runner = attempt_runner.AttemptRunner(
            self.receiver, attempts.Attempts(), self.tasks, counters
        )
        self.counters = counters
        budget = claim.ClaimBudget(lambda: 100_000.0)
        self.claims = claim.Claims(
            cluster.table, self.tasks, budget, counters, cluster.rng
        )
        self.forwarder = forward.Forwarder(counters, self.connect)
        self.entry = entry.EntryHandler(
            self.name,
            lambda: revision,
            self.membership,
            routing.Router(cluster.rng),
            self.forwarder,
            runner,
            counters,
            cluster.rng,
        )
        self.entry.claims = self.claims
        self.peer = peer.PeerHandler(self.receiver, runner)

    async def connect(self, host: str, port: int) -> network.Stream:
        """Opens a connection from this node."""
        stream = await self.cluster.network.connect(host, port)
        stream.frozen = lambda: self.frozen
        return stream

    async def run(self) -> None:
        """Runs one incarnation until it is killed."""
        self.build()
        handlers = {
            network.CALLER_PORT: serve.Server(self.entry.handle),
            PEER_PORT: serve.Server(self.peer.handle, 0.2),
        }
        with anyio.CancelScope() as self.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.tasks.run)
                group.start_soon(self.claims.result_writer.run)
                group.start_soon(
                    self.forwarder.deadline_updates.run, self.entry.cutoff
                )
                for port, server in handlers.items():
                    group.start_soon(server.run_periodic_checks, group)
                    self.cluster.accept(self, port, server, group)
                self.cluster.announce(self)
                await anyio.sleep_forever()
        for port in handlers:
            self.cluster.network.servers.pop((self.name, port), None)

    async def run_forever(self) -> None:
        """Starts a new incarnation whenever the last one was killed."""
        while True:
            await self.run()
            await anyio.sleep(self.cluster.rng.uniform(0, 0.3))


class SimulatedCluster:
    """Three nodes, three targets and one table.

    Args:
        seed: Seed of all faults.
        fault_rate: Share of connections with a fault.
        table_fault_rate: Share of platform requests that fail.

    Attributes:
        deadline_ms: Deadline of all requests.
        stalls_in_answers: Whether targets send only the head of an answer.
    """

    def __init__(
        self, seed: int, fault_rate: float = 0, table_fault_rate: float = 0
    ):
        self.rng = random.Random(seed)
        self.fault_rate = fault_rate
        self.table = Table(self.rng, table_fault_rate)
        self.ledger: list[dict[str, str]] = []
        self.nodes: list[Node] = []
        self.on_run: Callable[[], None] = lambda: None
        self.service_times_s: tuple[float, ...] = (0.001, 0.01, 0.7)
        self.deadline_ms = 900
        self.target_fault_rate = 0.05 if fault_rate else 0.0
        self.targets = {"n1", "n2", "n3"}
        self.stalls_in_answers = False
        self.rows: dict[str, members.MemberRow] = {}
        self.outcomes: collections.Counter[str] = collections.Counter()

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        """Starts everything in a task group."""
        self.network = network.Network(self.rng, group, self.fault_rate)
        group.start_soon(self.table.run_delayed_writes)
        for name in ("n1", "n2", "n3"):
            node = Node(self, name)
            self.nodes.append(node)
            server = serve.Server(Target(self).handle)
            group.start_soon(server.run_periodic_checks, group)
            self.accept(None, TARGET_PORT, server, group, name)
            group.start_soon(node.run_forever)
        await anyio.sleep(0.02)

    def accept(self, node, port, server, group, name="") -> None:
        """Makes a server accept connections."""

        def accept(stream: network.Stream) -> None:
            if node is not None:
                stream.frozen = lambda: node.frozen
            group.start_soon(server.serve_connection, stream)

        self.network.servers[(name or node.name, port)] = accept

    def announce(self, node: Node) -> None:
        """Announces a new incarnation to all nodes, to others with a delay."""
        row = members.MemberRow(
            node=node.name,
            service="registry",
            version="v1",
            region="r1",
            failure_domain="d1",
            host=node.name,
            peer_port=PEER_PORT,
            incarnation=node.incarnation,
            state="ready" if node.name in self.targets else "leaving",
            slots=50,
            generation=node.number,
        )
        self.rows[node.name] = row
        node.membership.announce(row)
        node.membership.apply_all(self.rows.values())
        for other in self.nodes:
            membership = getattr(other, "membership", None)
            if membership is not None and other is not node:
                delay_s = self.rng.uniform(0, 0.2)
                self.network.call_later(delay_s, membership.apply, row)

    def kill(self, node: Node) -> None:
        """Kills a node, which closes its connections."""
        node.scope.cancel()

    async def send(
        self,
        node: str,
        request: str,
        key: str = "",
        method: str = "POST",
        path: str = "/transfers",
        body: bytes = b"{}",
    ) -> "Reply":
        """Sends one request as a caller and returns the reply."""
        headers = [("x-request-id", request)]
        if key:
            headers.append((calls.KEY_HEADER, key))
        reply = Reply(request, key)
        try:
            stream = await self.network.connect(node, network.CALLER_PORT)
        except Exception:  # noqa: BLE001
            return reply
        connection = http1.ClientConnection(stream)
        try:
            with anyio.fail_after(2):
                if method != "POST":
                    body = b""
                await connection.send_request(method, path, headers, body)
                head = await connection.receive_head(2)
                text = b""
                while chunk := await connection.receive_chunk(2):
                    text += chunk
            reply.head, reply.body = head, text
        except (http1.HttpError, TimeoutError):
            pass
        finally:
            await connection.close()
        return reply


class Reply:
    """What a caller received for one request."""

    def __init__(self, request: str, key: str):
        self.request = request
        self.key = key
        self.head: http1.ResponseHead | None = None
        self.body = b""

    def field(self, name: str) -> str:
        """Returns a header field of the answer, or "" without an answer."""
        return http1.find_header(self.head.headers, name) if self.head else ""

    @property
    def outcome(self) -> str:
        """Returns x-waxwing-outcome, or "" without an answer."""
        return self.field("x-waxwing-outcome")


def check_outcomes(cluster: SimulatedCluster, replies: list[Reply]) -> None:
    """Checks outcomes that callers were told against the targets' ledger."""
    runs: dict[str, list[dict[str, str]]] = {}
    for run in cluster.ledger:
        runs.setdefault(run["key"] or run["request"], []).append(run)
    for name, found in runs.items():
        if not name.startswith("read"):
            assert len(found) == 1, f"{name} ran {len(found)} times: {found}"
    ran = {run["request"] for run in cluster.ledger}
    for reply in replies:
        if reply.outcome == "not-run":
            reason = reply.field("x-waxwing-reason")
            assert reply.request not in ran, (
                f"reported not-run but ran: {reason}"
            )
        if reply.outcome != "answered":
            continue
        assert reply.body, f"empty answer: {reply.request} {reply.head}"
        run = json.loads(reply.body)
        assert (run["key"] or run["request"]) == (reply.key or reply.request)
        assert run in cluster.ledger


def run_clusters(clusters: Sequence[SimulatedCluster], body) -> None:
    """Runs a coroutine function with each cluster, concurrently."""

    async def run_one(cluster: SimulatedCluster) -> None:
        async with anyio.create_task_group() as group:
            await cluster.start(group)
            await body(cluster)
            group.cancel_scope.cancel()

    async def main() -> None:
        async with anyio.create_task_group() as group:
            for cluster in clusters:
                group.start_soon(run_one, cluster)

    asyncio.run(main())
