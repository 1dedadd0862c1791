"""waxwingferry-node: the sidecar process of each target."""

import functools
import json
import random

import anyio
import msgspec
import structlog
import uvloop

from waxwingferry import decoding
from waxwingferry.connection import budget
from waxwingferry.connection import http1
from waxwingferry.connection import message
from waxwingferry.connection import serve
from waxwingferry.process import admin
from waxwingferry.process import core
from waxwingferry.process import http_table
from waxwingferry.process import logs
from waxwingferry.process import platform
from waxwingferry.process import program
from waxwingferry.process import settings
from waxwingferry.process import signals
from waxwingferry.process import target
from waxwingferry.process.choice import probe
from waxwingferry.process.choice import routing
from waxwingferry.process.spreading import configuration
from waxwingferry.process.spreading import peers
from waxwingferry.request import answering
from waxwingferry.request import call_context
from waxwingferry.request import claim

_ANNOUNCEMENT = msgspec.json.Decoder(target.Announcement)

log = structlog.get_logger()


class Node(core.Core):
    """A node with an administration API, claims and local announcements.

    Args:
        options: Settings of the node.
        table: Table of the platform.
        rng: Random generator for everything except IDs.
        client: Client for documents and members of peers.
    """

    def __init__(
        self,
        options: settings.NodeSettings,
        table: platform.Table,
        rng: random.Random,
        client: peers.PeerClient,
    ):
        self.settings = options
        configured = configuration.Configuration(table)
        super().__init__(
            _make_options(options),
            table,
            configured,
            rng,
            client,
            call_context.CallerProtocol(),
            target.TargetProtocol(),
        )
        self.stopped = anyio.Event()
        self.admin_ended = anyio.Event()
        self.entry.claims = claim.Claims(
            table,
            self.tasks,
            claim.ClaimBudget(self.get_claim_rate),
            self.counters,
            self.id_rng,
        )
        self.claims = self.entry.claims
        self.prober = probe.Prober(
            probe.HttpLoadClient(),
            probe.ProbeBudget(self.get_probe_rate),
            self.counters,
        )
        self.entry.router.request_probe = self.prober.request_probe
        self.local_server = serve.Server(
            self.handle_local,
            limits=self.options.limits,
            budget=self.internal_budget,
        )
        self.local_server.handler_states_runs = True
        self.local_server.on_fault = self.breaches.record
        self.admin = admin.Admin(
            options.node,
            self.members,
            self.receiver,
            self.counters,
            configured,
            options.admin_tokens,
            self.get_control_status,
            self.explain_choice,
        )
        limits = options.limits
        self.admin_budget = budget.make_admin_budget(
            limits.memory_mb * budget.MIB, limits.admin_connections
        )
        self.admin_budget.on_limited = functools.partial(
            self.counters.record_limited, self.admin_budget.name
        )

    def get_probe_rate(self) -> float:
        """Returns the allowed rate of probes per second."""
        revision_in_force = self.configured.revision
        return (
            revision_in_force.budgets.probe_per_s if revision_in_force else 0.0
        )

    def explain_choice(self, service: str) -> list[routing.Explanation]:
        """Returns how the router would rank the targets of a service now."""
        revision_in_force = self.configured.revision
        domains_out = (
            revision_in_force.domains_out if revision_in_force else frozenset()
        )
        candidates = self.members.by_service.get(service, [])
        return self.entry.router.explain(candidates, domains_out, set())

    def get_control_status(self) -> dict:
        """Returns the /status entries for lease, gossip and errors."""
        return {
            "lease": {
                "current": self.lease.is_current(),
                "confirmed": self.lease.confirmed,
                "superseded": self.lease.superseded,
                "writes": self.lease.writes,
                "reads": self.synchronizer.reads,
            },
            "gossip": msgspec.to_builtins(self.gossip.counts),
            "unexpected_errors": sum(
                server.failures
                for server in (
                    self.caller_server,
                    self.local_server,
                    self.peer_server,
                )
            ),
        }

    def get_claim_rate(self) -> float:
        """Returns this node's share of the claim writes per second."""
        revision_in_force = self.configured.revision
        if revision_in_force is None:
            return 0.0
        cluster_rate_per_s = revision_in_force.budgets.claim_writes_per_s
        return cluster_rate_per_s / max(len(self.members.candidates), 1)

    async def handle_local(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Handles announcements and nested calls of the local target."""
        if head.target != "/_local/announce":
            await self.entry.handle(connection, head)
            return
        body = (await answering.read_body(connection)).buffered
        try:
            announcement = decoding.decode(_ANNOUNCEMENT.decode, body)
        except decoding.DecodingError as error:
            await connection.send_head(400, [], f"{error}\n".encode())
            return
        if self.receiver.apply_announcement(announcement):
            fields = msgspec.structs.asdict(announcement)
            log.info("target announced", **fields)
            self.announce()
        reply = {"node": self.options.node, "incarnation": self.incarnation}
        await connection.send_head(200, [], json.dumps(reply).encode())

    async def run(self) -> None:
        """Runs until a stop is requested, then shuts down gracefully."""
        with signals.receive_signals() as received:
            await self._run_until_stopped(received)
        self.datagrams.close()

    async def _run_until_stopped(self, received: signals.Signals) -> None:
        options = self.settings
        async with anyio.create_task_group() as group:
            group.start_soon(
                signals.handle_signals,
                received,
                self.stop_requested,
                signals.reject_reload,
                self.record_stop_signal,
            )
            group.start_soon(
                self.caller_server.serve, options.host, options.caller_port
            )
            group.start_soon(
                self.local_server.serve, "127.0.0.1", options.local_port
            )
            group.start_soon(
                self.peer_server.serve, options.host, options.peer_port
            )
            group.start_soon(self._serve_admin)
            for task in (
                self.claims.result_writer.run,
                self.prober.run,
                self.synchronizer.run_table_reader,
            ):
                group.start_soon(self.breaches.supervise(task))
            for task in self.control_tasks:
                group.start_soon(task)
            group.start_soon(self.datagrams.run, self.receive_datagram)
            log.info("node started", node=options.node)
            await self.stop_requested.wait()
            await self.stop()
            await self.admin_ended.wait()
            log.info("node stopped", node=options.node)
            group.cancel_scope.cancel()

    async def _serve_admin(self) -> None:
        options = self.settings
        try:
            await self.admin.serve(
                options.host,
                options.admin_port,
                self.stopped.wait,
                self.admin_budget,
            )
        finally:
            # Its requests may also have been cancelled, after a while.
            self.admin_ended.set()

    async def stop(self) -> None:
        """Announces the leave, then waits for work in flight to end."""
        await self.leave()
        await self.drain()
        # Drained after the others: work in flight may still make nested calls.
        await self.local_server.drain()
        await self.tasks.drain(core.TASK_DRAIN_TIMEOUT_S)
        await self.claims.result_writer.drain(core.TASK_DRAIN_TIMEOUT_S)
        self.stopped.set()


def _make_options(options: settings.NodeSettings) -> core.NodeOptions:
    return core.NodeOptions(
        node=options.node,
        host=options.host,
        peer_port=options.peer_port,
        advertised_peer_port=options.advertised_peer_port or options.peer_port,
        region=options.region,
        failure_domain=options.failure_domain,
        seeds=tuple((item.host, item.port) for item in options.seed_peers),
        choice=options.choice,
        stop_grace_s=options.stop_grace_s,
        memory_bytes=options.limits.memory_mb * budget.MIB,
        max_descriptors=options.limits.max_fds or budget.read_max_descriptors(),
        limits=message.Limits(
            head_bytes=options.limits.head_bytes,
            body_bytes=options.limits.body_bytes,
            blank_bytes=options.limits.blank_bytes,
            framing_bytes=options.limits.framing_bytes,
        ),
    )


async def run_node(options: settings.NodeSettings) -> int:
    """Runs one node with the platform at the configured URL.

    Returns:
        The exit code, a failure if a newer process superseded this node or a
        promise of the process may be untrue.
    """
    rng: random.Random = random.SystemRandom()
    if options.random_seed is not None:
        rng = random.Random(options.random_seed)
    async with (
        http_table.make_client(options.platform_url) as client,
    ):
        table = http_table.HttpTable(client)
        node = Node(options, table, rng, peers.PeerClient())
        await node.run()
    failed = node.lease.superseded or node.breaches.promise_broken
    return program.EXIT_FAILURE if failed else 0


def _first_error(group: BaseExceptionGroup) -> BaseException:
    """Returns the first leaf error of a group, such as a port in use."""
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
    logs.configure_logs(options.log.format, options.log.level)
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
