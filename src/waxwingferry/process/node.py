"""waxwingferry-node: the process beside each target."""

import json
import random
import secrets
import signal

import anyio
import msgspec
import pydantic
import structlog
import uvloop

from waxwingferry.connection import http1
from waxwingferry.connection import serve
from waxwingferry.process import admin
from waxwingferry.process import attempts
from waxwingferry.process import background
from waxwingferry.process import configuration
from waxwingferry.process import cost
from waxwingferry.process import gossip
from waxwingferry.process import lease
from waxwingferry.process import logs
from waxwingferry.process import members
from waxwingferry.process import metrics
from waxwingferry.process import peers
from waxwingferry.process import platform
from waxwingferry.process import probe
from waxwingferry.process import program
from waxwingferry.process import routing
from waxwingferry.process import settings
from waxwingferry.process import spread
from waxwingferry.process import target
from waxwingferry.request import call
from waxwingferry.request import claim
from waxwingferry.request import entry
from waxwingferry.request import forward
from waxwingferry.request import peer
from waxwingferry.request import receive
from waxwingferry.request import running
from waxwingferry.version import document

INTERIM_INTERVAL_S = 0.2
LEAVE_DELAY_S = 1.5
SETTLE_LIMIT_S = 5.0

log = structlog.get_logger()


class Node:
    """One node and all that it owns.

    Args:
        options: Settings of the node.
        table: The platform's table.
        rng: Source of random choices, but for identities.
        client: Fetches from peers.
    """

    def __init__(
        self,
        options: settings.NodeSettings,
        table: platform.Table,
        rng: random.Random,
        client: peers.PeerClient,
    ):
        self.options = options
        self.table = table
        self.rng = rng
        # Identities never come from a given seed: two processes with the same
        # one would take each other's claims and attempts for their own.
        self.incarnation = secrets.token_hex(8)
        identities = random.SystemRandom()
        self.ready = False
        self.counters = metrics.Metrics()
        self.stop_asked = anyio.Event()
        self.stopped = anyio.Event()
        self._make_control(client)
        self.receiver = receive.Receiver(
            self.incarnation,
            self.own_domain_is_out,
            self.get_revision,
            self.counters,
        )
        self.tasks = background.Background()
        self.runner = running.AttemptRunner(
            self.receiver, attempts.Attempts(), self.tasks, self.counters
        )
        self.claims = claim.Claims(
            table,
            self.tasks,
            claim.ClaimBudget(self.get_claim_rate),
            self.counters,
            identities,
        )
        self.prober = probe.Prober(
            probe.HttpFetch(),
            probe.ProbeBudget(self.get_probe_rate),
            self.counters,
        )
        self.entry = entry.Entry(
            options.node,
            self.get_revision,
            self.members,
            self.make_router(),
            forward.Forwarder(self.counters),
            self.runner,
            self.claims,
            self.counters,
            identities,
        )
        self.peer = peer.PeerHandler(self.receiver, self.runner)
        self.callers = serve.Server(self.entry.handle)
        self.local = serve.Server(self.handle_local)
        self.peers = serve.Server(self.handle_peer, INTERIM_INTERVAL_S)
        self.admin = admin.Admin(
            options.node,
            self.members,
            self.receiver,
            self.counters,
            self.configured,
            options.admin_tokens,
            self.get_control_status,
        )

    def _make_control(self, client: peers.PeerClient) -> None:
        """Makes what spreads the document and the members."""
        options = self.options
        seeds = tuple((peer.host, peer.port) for peer in options.seed_peers)
        self.datagrams = peers.Datagrams(options.host, options.peer_port)
        self.configured = configuration.Configuration(self.table)
        self.members = members.Members(options.node)
        self.gossip = gossip.Gossip(
            self.members,
            lambda: self.configured.number,
            self.datagrams.send,
            self.rng,
            seeds,
        )
        self.lease = lease.Lease(
            self.table,
            self.members,
            self.rng,
            on_superseded=lambda: self.stop_asked.set(),
        )
        self.members.on_news = self.gossip.add_row
        self.members.on_rival = self.lease.meet_rival
        self.configured.on_change = self.gossip.add_revision
        self.spread = spread.Spread(
            self.configured,
            self.members,
            self.lease,
            self.gossip,
            client,
            self.counters,
            self.rng,
            seeds,
        )

    def make_router(self) -> routing.Router:
        """Returns the router of this node."""
        options = self.options
        place = cost.Place(options.node, options.region, options.failure_domain)
        return routing.Router(
            self.rng,
            variant=options.choice,
            place=place,
            want_probe=self.prober.want,
            on_ejection=self.count_ejection,
            own_load=self.receiver.load,
        )

    def count_ejection(self, candidate: routing.Candidate) -> None:
        """Counts a target whose attempts fail far more than others'."""
        self.counters.events.inc({"name": "ejected"})
        log.warning("target ejected", node=candidate.node)

    def get_probe_rate(self) -> float:
        """Returns the probes per second that the document allows."""
        revision = self.configured.revision
        return revision.document.budgets.probe_per_s if revision else 0.0

    def get_revision(self) -> document.Revision | None:
        """Returns the document to act on, or None.

        There is none while a process that was paused catches up, because a
        newer document may be in force everywhere else.
        """
        return None if self.spread.is_stale() else self.configured.revision

    def get_control_status(self) -> dict:
        """Returns the entries of /status about spread and membership."""
        return {
            "lease": {
                "current": self.lease.is_current(),
                "confirmed": self.lease.confirmed,
                "superseded": self.lease.superseded,
                "writes": self.lease.writes,
                "reads": self.spread.reads,
            },
            "gossip": msgspec.to_builtins(self.gossip.counts),
            "unexpected_errors": sum(
                server.failures
                for server in (self.callers, self.local, self.peers)
            ),
        }

    def get_claim_rate(self) -> float:
        """Returns this node's share of the claim writes per second."""
        revision = self.configured.revision
        if revision is None:
            return 0.0
        total = revision.document.budgets.claim_writes_per_s
        return total / max(len(self.members.candidates), 1)

    def own_domain_is_out(self) -> bool:
        """Tells whether this node's failure domain takes no work.

        A process that was paused does not know, and takes none.
        """
        revision = self.configured.revision
        if revision is None:
            return False
        out = self.options.failure_domain in revision.domains_out
        return out or self.spread.is_stale()

    async def handle_local(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Answers the node's own target: announcements and nested calls."""
        if head.target != "/_local/announce":
            await self.entry.handle(connection, head)
            return
        body = (await entry.read_body(connection)).buffered
        try:
            announcement = target.Announcement.model_validate_json(body)
        except pydantic.ValidationError as error:
            text = settings.describe_error(error) + "\n"
            await connection.send_head(400, [], text.encode())
            return
        if self.receiver.announce(announcement):
            log.info("target announced", **announcement.model_dump())
            self.announce()
        reply = {"node": self.options.node, "incarnation": self.incarnation}
        await connection.send_head(200, [], json.dumps(reply).encode())

    async def handle_peer(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Answers another node."""
        # Attempts may be for any path; only they carry an attempt identity.
        is_attempt = http1.find_header(head.headers, call.ATTEMPT_HEADER)
        own_paths = (peers.DOCUMENT_PATH, peers.MEMBERS_PATH)
        if head.target in own_paths and not is_attempt:
            await peers.answer(
                connection, head.target, self.configured, self.members
            )
            return
        await self.peer.handle(connection, head)

    def announce(self) -> None:
        """Tells all nodes of this one, once it knows enough to take work."""
        if self.ready and self.receiver.link is not None:
            announcement = self.receiver.link.announcement
            self.members.announce(self.make_row(announcement))

    def make_row(self, announcement: target.Announcement) -> members.MemberRow:
        """Returns this node's next member row."""
        leaving = self.receiver.leaving
        return members.MemberRow(
            node=self.options.node,
            service=announcement.service,
            version=announcement.version,
            region=self.options.region,
            failure_domain=self.options.failure_domain,
            host=self.options.host,
            peer_port=(
                self.options.advertised_peer_port or self.options.peer_port
            ),
            incarnation=self.incarnation,
            state="leaving" if leaving else announcement.state,
            slots=announcement.slots,
            generation=self.lease.generation,
        )

    async def learn(self) -> None:
        """Learns document and members, then announces this node."""
        await self.spread.learn()
        self.ready = True
        self.announce()

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then stops gracefully."""
        options = self.options
        async with anyio.create_task_group() as group:
            group.start_soon(
                self.callers.serve, options.host, options.caller_port
            )
            group.start_soon(self.local.serve, "127.0.0.1", options.local_port)
            group.start_soon(self.peers.serve, options.host, options.peer_port)
            group.start_soon(
                self.admin.serve,
                options.host,
                options.admin_port,
                self.stopped.wait,
            )
            group.start_soon(self.tasks.run)
            group.start_soon(self.claims.settler.run)
            for task in (
                self.learn,
                self.prober.run,
                self.lease.run,
                self.spread.run_reader,
                self.spread.run_fetcher,
                self.spread.run_suspects,
                self.spread.run_watch,
                self.gossip.run_digests,
                self.gossip.run_news,
                self.wait_for_signal,
            ):
                group.start_soon(task)
            group.start_soon(self.datagrams.run, self.gossip.receive)
            log.info("node started", node=options.node)
            await self.stop_asked.wait()
            await self.stop()
            group.cancel_scope.cancel()
        self.datagrams.close()

    async def wait_for_signal(self) -> None:
        """Asks for a stop at SIGTERM or SIGINT."""
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                self.stop_asked.set()
                return

    async def stop(self) -> None:
        """Announces the leave, then waits for all work in flight."""
        log.info("node stopping", node=self.options.node)
        self.receiver.leaving = True
        if not self.lease.superseded:
            self.announce()
        await anyio.sleep(LEAVE_DELAY_S)
        self.receiver.close()
        async with anyio.create_task_group() as group:
            group.start_soon(self.callers.drain)
            group.start_soon(self.peers.drain)
        # Work in flight may make nested calls until all of it has ended.
        await self.local.drain()
        await self.tasks.drain(SETTLE_LIMIT_S)
        self.stopped.set()
        log.info("node stopped", node=self.options.node)


async def run_node(options: settings.NodeSettings) -> int:
    """Runs one node with the platform that its settings name.

    Returns:
        The exit code; stepping aside for a later process is a failure.
    """
    rng: random.Random = random.SystemRandom()
    if options.random_seed is not None:
        rng = random.Random(options.random_seed)
    async with (
        platform.make_client(options.platform_url) as client,
        peers.make_client() as peer_client,
    ):
        table = platform.HttpTable(client)
        node = Node(options, table, rng, peers.PeerClient(peer_client))
        await node.run()
    return program.EXIT_FAILURE if node.lease.superseded else 0


def _first_error(group: BaseExceptionGroup) -> BaseException:
    """Returns one error of a group, such as a port that is in use."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def start(settings_file: str) -> int:
    """Runs a node until SIGTERM or SIGINT.

    Args:
        settings_file: Path of the YAML file with the node's settings.
    """
    options = settings.load_settings(settings_file)
    logs.configure_logs(options.log)
    try:
        return anyio.run(
            run_node,
            options,
            backend_options={"loop_factory": uvloop.new_event_loop},
        )
    except* OSError as group:
        error = _first_error(group)
        raise program.CommandError(f"{settings_file}: {error}") from None


def main() -> None:
    """Runs the program."""
    program.run_program("waxwingferry-node", start)


if __name__ == "__main__":
    main()
