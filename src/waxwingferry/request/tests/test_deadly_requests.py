"""Fault pattern: a request ends each target that runs it, and is repeated."""

import random

import anyio
import msgspec
import pytest

from waxwingferry.connection import http1
from waxwingferry.connection import serve
from waxwingferry.process.protection import crash_suspects
from waxwingferry.process.spreading import crash_reports
from waxwingferry.process.spreading import gossip
from waxwingferry.request import calls
from waxwingferry.request import fingerprint
from waxwingferry.request.tests import network
from waxwingferry.request.tests import simulation

DEADLY_PATH = "/prices/deadly"
RUN_BEFORE_END_S = 0.03
RESTART_S = 0.3
GOSSIP_DELAY_S = 0.002
CALLERS = 6
REPEATS = 4
INNOCENTS = 40
SEEDS = range(4)


class MortalTarget(simulation.Target):
    """A target that ends when it runs the deadly request."""

    def __init__(self, cluster: "DeadlyCluster", name: str):
        super().__init__(cluster)
        self.deadly_cluster = cluster
        self.name = name

    async def handle(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Handles one request."""
        if head.target != DEADLY_PATH:
            await super().handle(connection, head)
            return
        cluster = self.deadly_cluster
        cluster.deadly_sends.append(len(cluster.ended_targets))
        request = http1.find_header(head.headers, "x-request-id")
        cluster.ledger.append({"request": request, "key": ""})
        await anyio.sleep(RUN_BEFORE_END_S)
        if cluster.starts_answers:
            attempt = http1.find_header(head.headers, calls.ATTEMPT_HEADER)
            headers = [(calls.ATTEMPT_HEADER, attempt), ("content-length", "9")]
            await connection.send_head(200, headers)
            await connection.send_chunk(b"start")
        await cluster.end_target(self.name)
        raise http1.ConnectionLostError("the target ended")


class DeadlyCluster(simulation.SimulatedCluster):
    """A cluster of mortal targets, whose nodes report ends to each other.

    Attributes:
        ended_targets: Names of the targets that have ended, in order.
        deadly_sends: For each deadly request that reached a target, the
            number of targets that had ended before.
        starts_answers: Whether targets end while they answer it.
    """

    def __init__(self, seed: int):
        super().__init__(seed)
        self.service_times_s = (0.02, 0.1)
        # A busy machine must not make requests end at their deadlines.
        self.deadline_ms = 10_000
        self.ended_targets: list[str] = []
        self.deadly_sends: list[int] = []
        self.starts_answers = False
        self.streams: dict[str, list[network.Stream]] = {}
        self.gossipers: dict[str, gossip.Gossiper] = {}
        self.group: anyio.abc.TaskGroup

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        """See simulation.SimulatedCluster."""
        self.group = group
        await super().start(group)
        for node in self.nodes:
            self.listen(node)
            self.connect_reports(node)
        await anyio.sleep(0.3)

    def listen(self, node: simulation.Node) -> None:
        """Starts the target of a node."""
        server = serve.Server(MortalTarget(self, node.name).handle)
        streams = self.streams[node.name] = []

        def accept(stream: network.Stream) -> None:
            streams.append(stream)
            self.group.start_soon(server.serve_connection, stream)

        address = (node.name, simulation.TARGET_PORT)
        self.network.servers[address] = accept

    def connect_reports(self, node: simulation.Node) -> None:
        """Connects the reports of a node to the others by datagrams."""

        def send(address: gossip.Address, data: bytes) -> None:
            other = self.gossipers[address[0]]
            self.network.call_later(
                GOSSIP_DELAY_S, other.receive, data, (node.name, 0)
            )

        gossiper = gossip.Gossiper(
            node.membership, lambda: 1, send, random.Random(self.rng.random())
        )
        self.gossipers[node.name] = gossiper
        crash_reports.CrashReports(node.receiver.suspects, gossiper)
        node.entry.suspects = node.receiver.suspects

    async def end_target(self, name: str) -> None:
        """Ends a target; it starts again later as another incarnation."""
        address = (name, simulation.TARGET_PORT)
        if address not in self.network.servers:
            return
        del self.network.servers[address]
        self.ended_targets.append(name)
        self.network.call_later(RESTART_S, self.restart_target, name)
        for stream in self.streams[name]:
            await stream.aclose()

    def restart_target(self, name: str) -> None:
        """Starts a target again and announces it to its node."""
        node = next(node for node in self.nodes if node.name == name)
        self.listen(node)
        link = node.receiver.link
        assert link is not None
        node.receiver.apply_announcement(
            msgspec.structs.replace(
                link.announcement, incarnation=f"t{len(self.ended_targets)}"
            )
        )
        assert node.receiver.link is not None
        node.receiver.link.pool.connect = node.connect

    async def call(self, name: str, path: str) -> list[simulation.Reply]:
        """Sends a request up to REPEATS times through random nodes."""
        replies = []
        for number in range(REPEATS):
            node = self.rng.choice(self.nodes).name
            reply = await self.send(
                node, f"read-{name}-{number}", method="GET", path=path
            )
            replies.append(reply)
            if reply.outcome == "answered":
                break
            await anyio.sleep(self.rng.uniform(0.02, 0.2))
        return replies


async def _repeat_deadly_request(cluster: DeadlyCluster) -> None:
    """Has callers repeat the deadly request beside others."""
    innocent: dict[int, list[simulation.Reply]] = {}
    deadly: list[simulation.Reply] = []

    async def send_innocent(number: int) -> None:
        await anyio.sleep(cluster.rng.uniform(0, 3))
        path = f"/prices/{number}"
        innocent[number] = await cluster.call(str(number), path)

    async def send_deadly(number: int) -> None:
        await anyio.sleep(number * 0.4)
        deadly.extend(await cluster.call(f"deadly{number}", DEADLY_PATH))

    async with anyio.create_task_group() as group:
        for number in range(INNOCENTS):
            group.start_soon(send_innocent, number)
        for number in range(CALLERS):
            group.start_soon(send_deadly, number)
    late = [n for n in cluster.deadly_sends if n >= 3]
    assert not late, f"sent {len(late)} times more after three ends"
    assert len(cluster.ended_targets) <= 3, cluster.ended_targets
    unanswered = [
        number
        for number, replies in innocent.items()
        if replies[-1].outcome != "answered"
    ]
    assert len(unanswered) <= 4, f"innocent requests failed: {unanswered}"
    replies = [reply for replies in innocent.values() for reply in replies]
    simulation.check_outcomes(cluster, replies + deadly)
    refused = [
        reply
        for reply in deadly
        if reply.field("x-waxwing-reason") == "crashes_targets"
    ]
    assert refused
    assert {reply.field("retry-after") for reply in refused} == {"60"}


def test_a_request_that_ends_targets_is_not_sent_to_more_than_three() -> None:
    """Guards against a request that takes down a whole service.

    Its callers send it again through other nodes, with other request IDs.
    """
    clusters = [DeadlyCluster(seed) for seed in SEEDS]
    simulation.run_clusters(clusters, _repeat_deadly_request)
    assert any(cluster.ended_targets for cluster in clusters)


async def _send_deadly_request_once(cluster: DeadlyCluster) -> None:
    node = cluster.nodes[0].name
    # These calls add to the retry budget.
    for number in range(INNOCENTS):
        path = f"/prices/{number}"
        await cluster.send(node, f"read-{number}", method="GET", path=path)
    reply = await cluster.send(node, "deadly", method="GET", path=DEADLY_PATH)
    assert reply.outcome != "answered"
    assert cluster.deadly_sends == [0]


@pytest.mark.parametrize("starts_answers", [False, True])
def test_a_request_that_alone_was_at_an_end_is_not_retried(
    starts_answers: bool,
) -> None:
    """Guards against retries of a request that is known to end targets.

    A target may end before or while it answers.
    """
    clusters = [DeadlyCluster(seed) for seed in SEEDS]
    for cluster in clusters:
        cluster.starts_answers = starts_answers
    simulation.run_clusters(clusters, _send_deadly_request_once)


async def _repeat_quarantined_call(cluster: DeadlyCluster) -> None:
    node = cluster.nodes[0]
    first = await cluster.send(node.name, "a-1", key="a")
    assert first.outcome == "answered"
    # Others with the same content and other keys end targets.
    same = calls.Attempt(
        "b",
        "registry",
        "POST",
        "/transfers",
        [],
        calls.Body(b"{}"),
        calls.make_deadline(1),
        "",
        1,
        "",
    )
    for end in range(crash_suspects.MAX_BLAMED_ENDS):
        node.receiver.suspects.record_end(
            end, [fingerprint.compute_fingerprint(same)]
        )
        await anyio.sleep(2 * crash_suspects.SIMULTANEOUS_S)
    other = await cluster.send(node.name, "c-1", key="c")
    assert other.field("x-waxwing-reason") == "crashes_targets"
    repeat = await cluster.send(node.name, "a-2", key="a")
    assert repeat.outcome == "answered"
    assert repeat.body == first.body
    assert len(cluster.ledger) == 1


def test_a_kept_answer_is_sent_although_its_request_is_quarantined() -> None:
    """Guards against "not run" for a call with a key that has run."""
    simulation.run_clusters([DeadlyCluster(1)], _repeat_quarantined_call)
