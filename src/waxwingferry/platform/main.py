"""Node program for the users' platform: connects its parts and runs it."""

from waxwingferry.platform import start

if __name__ == "__main__":
    # Most of a start are the imports that follow.
    start.begin()

import math
import os
import random
import sys
import time
import typing
from typing import Any

import anyio
import msgspec
import structlog

from waxwingferry.connection import budget
from waxwingferry.connection import exchange
from waxwingferry.connection import http1
from waxwingferry.connection import message
from waxwingferry.connection import serve
from waxwingferry.platform import decisions
from waxwingferry.platform import header_fields
from waxwingferry.platform import heartbeats
from waxwingferry.platform import operator_document
from waxwingferry.platform import settings_file
from waxwingferry.platform import store
from waxwingferry.process import core
from waxwingferry.process import logs
from waxwingferry.process import platform
from waxwingferry.process import signals
from waxwingferry.process import target
from waxwingferry.process.choice import routing
from waxwingferry.process.protection import registration
from waxwingferry.process.protection import sampler
from waxwingferry.process.protection import stated_limit
from waxwingferry.process.spreading import load_queries
from waxwingferry.process.spreading import peers
from waxwingferry.process.spreading import version_rollouts
from waxwingferry.process.spreading import watch
from waxwingferry.request import answering

EXIT_FAILURE = 1
EXIT_USAGE = 2
READY_PATH = "/-/ready"
STATUS_PATH = "/status"
# Added to the first internal port; the first one is for other nodes.
METRICS_PORT_OFFSET = 1
# The platform checks readiness every second and removes a node after two failed
# checks. Until then callers open connections, which the node must accept.
READINESS_REMOVAL_DELAY_S = 2.3
# Share of the rate allowed for a target in warm-up that is used; the rest is
# for requests that the network bunches together.
WARMUP_RATE_SHARE = 0.85
# A faulty target may send without end; it is sampled many times per second.
MAX_HEALTH_BODY_BYTES = 64 * 1024
# Time for peers to receive the datagrams that announce the leave of this node.
LEAVE_DELAY_S = 0.3
# A target that started this long before its node, or later, counts as started
# together with it: after a loss of power they start in any order.
JOINT_START_S = 0.3
CHECK_INTERVAL_S = 1.0

if typing.TYPE_CHECKING:
    from waxwingferry.platform import usage_duty

log = structlog.get_logger()


class PlatformNode(core.Core):
    """A node on the users' platform.

    Args:
        settings: Settings that the platform wrote for this node.
    """

    def __init__(self, settings: settings_file.Settings):
        self.settings = settings
        self.settings_state = settings_file.read_state(_get_settings_path())
        self.store = table = store.StoreTable(
            exchange.Client(
                settings.store_address.host, settings.store_address.port
            )
        )
        self.document = operator_document.OperatorDocument(
            table, settings.bounds
        )
        seeds = tuple(
            (host, settings.first_internal_port)
            for host in settings.seed_hosts
            if host != settings.host
        )
        client = peers.PeerClient()
        super().__init__(
            core.NodeOptions(
                node=settings.node,
                host=settings.host,
                peer_port=settings.first_internal_port,
                advertised_peer_port=settings.first_internal_port,
                region=settings.region,
                failure_domain=settings.failure_domain,
                seeds=seeds,
                choice=routing.Policy.STATED,
                leave_delay_s=LEAVE_DELAY_S,
                stop_grace_s=settings.stop_grace_s,
                memory_bytes=settings.limits.memory_mb * budget.MIB,
                max_descriptors=settings.limits.max_fds
                or budget.read_max_descriptors(),
                limits=message.Limits(
                    blank_bytes=settings.limits.blank_bytes,
                    framing_bytes=settings.limits.framing_bytes,
                ),
            ),
            table,
            self.document,
            random.Random(),
            client,
            header_fields.PlatformCallerProtocol(lambda: self.settings.service),
            header_fields.PlatformTargetProtocol(),
            self.make_limit,
        )
        self.usage_duty = self._make_usage_duty(client)
        table.on_restored = self.handle_store_restored
        table.on_malformed = lambda: self.counters.events.inc(
            {"event": "row_malformed"}
        )
        self.registration = registration.TargetRegistration(
            self.receiver,
            self.members,
            self.lease,
            self.announce,
            self.synchronizer.is_row_known,
            time.monotonic,
        )
        self.registration.is_loaded = lambda: self.ready
        self.members.on_predecessor = self.registration.apply_predecessor
        self.rollouts = version_rollouts.make_rollouts(
            self.members,
            self.configured,
            self.receiver,
            self.gossip,
            decisions.StatusDecisionStore(table),
            settings.bounds.canary_share,
            settings.bounds.canary_slack,
        )
        self.entry.rollouts = self.rollouts
        self.sampler = sampler.Sampler(
            self.receiver, self.gossip, self.sample_load, self.counters
        )
        self.load_queries = load_queries.LoadQueries(
            self.gossip,
            self.sampler.update,
            self.sampler.make_push,
            self.counters,
        )
        self.entry.load_queries = self.load_queries
        self.watcher = watch.Watcher(
            self.document.watch,
            self.synchronizer.read_missing_rows,
            self.resync,
            self.counters,
            self.rng,
        )
        self.synchronizer.follows_table = lambda: not self.watcher.disconnected
        self.synchronizer.read_missed_changes = (
            self.document.read_missed_changes
        )
        self.document.is_prober = self.members.is_prober
        self.document.on_silent = lambda: self.counters.events.inc(
            {"event": "store_connection_silent"}
        )
        self.gossip.announces_widely = self.document.others_may_be_silent
        self.target_client = exchange.Client(
            *settings.target_address, max_body_bytes=MAX_HEALTH_BODY_BYTES
        )
        self.unknown_fields = header_fields.UnknownFields()
        self.readiness_server = self.make_internal_server(self.handle_readiness)
        self.control_server = self.make_internal_server(self.handle_control)
        self.metrics_server = self.make_internal_server(self.handle_metrics)

    def _make_usage_duty(
        self, client: peers.PeerClient
    ) -> "usage_duty.UsageDuty | None":
        """Returns the duty of reporting usage if the settings list one."""
        if self.settings.cloud_api is None:
            return None
        # Its modules would lengthen the start of nodes without duties.
        from waxwingferry.platform import usage_duty

        return usage_duty.make_usage_duty(
            self, self.store, client, self.settings
        )

    def make_internal_server(self, handler: serve.Handler) -> serve.Server:
        """Returns a server for the platform and the local target."""
        server = serve.Server(
            handler, limits=self.options.limits, budget=self.internal_budget
        )
        server.on_fault = self.breaches.record
        return server

    def make_limit(self, slots: int) -> stated_limit.StatedLimit:
        """Returns the concurrency limit of the local target."""
        return stated_limit.StatedLimit(
            slots,
            self.get_warmup_rate,
            earlier_until_s=start.BEGAN_S
            if self._may_be_served_before()
            else -math.inf,
        )

    def _may_be_served_before(self) -> bool:
        """Tells whether an earlier process may have sent the target requests.

        After a loss of power target and node start together, and none has.
        """
        link = self.receiver.link
        if link is None:
            return True
        incarnation = link.announcement.incarnation
        earlier = self.members.predecessor
        if earlier is not None and earlier.target == incarnation:
            return True
        _, started_ms = target.split_incarnation(incarnation)
        return started_ms / 1000 < start.BEGAN_UNIX_S - JOINT_START_S

    def get_warmup_rate(self) -> float:
        """Returns the maximum requests per second of the target in warm-up."""
        document = self.configured.revision
        link = self.receiver.link
        if document is None or link is None:
            return 0.0
        service = document.services.get(link.announcement.service)
        if service is None or not service.warmup_rate_per_s:
            return 0.0
        bounds = self.settings.bounds
        max_rate_per_s = (
            service.warmup_rate_per_s * bounds.warmup_rate_factor
            + bounds.warmup_rate_slack
        )
        return max(
            max_rate_per_s * WARMUP_RATE_SHARE, service.warmup_rate_per_s
        )

    async def sample_load(
        self, announcement: target.Announcement
    ) -> target.TargetLoad | None:
        """Fetches the load of the announced target."""
        target_id, _ = target.split_incarnation(announcement.incarnation)
        return await self.fetch_load(announcement.service, target_id)

    async def fetch_load(
        self, name: str, target_id: str
    ) -> target.TargetLoad | None:
        """Fetches the local target's load.

        Returns:
            None if there is no usable response, or another target sent it.
        """
        document = self.configured.revision
        service = document.services.get(name) if document else None
        if not service or not service.health_path:
            return None
        try:
            reply = await self.target_client.request(
                "GET", service.health_path, sampler.SAMPLE_TIMEOUT_S
            )
        except exchange.ExchangeError as error:
            log.debug("target not sampled", error=str(error))
            return None
        self.unknown_fields.record(reply.headers)
        return header_fields.parse_health(reply, target_id)

    async def join(self) -> None:
        """See process.core.Core."""
        await self.synchronizer.load_initial_state()
        if self.store.restores:
            await self.synchronizer.complete_members()
        async with anyio.create_task_group() as group:
            # Peers that don't respond must not delay the node; what arrives
            # late is applied through on_predecessor.
            group.start_soon(self.synchronizer.load_own_row)
            await self.load_decisions()
            self.registration.apply_predecessor()
            self.ready = True
            self.announce()
            await self.restore_target()

    async def load_decisions(self) -> None:
        """Loads the decisions on version rollouts, if the platform answers."""
        try:
            await self.rollouts.load_ordered_decisions()
        except platform.PlatformError as error:
            # The watcher reads them when the platform is available again.
            log.warning("decisions not read", error=str(error))

    async def restore_target(self) -> None:
        """Restores the target of an earlier process if it is still running."""
        row = self.members.predecessor
        if row is None or not row.target or self.receiver.link is not None:
            return
        target_id, _ = target.split_incarnation(row.target)
        sample = await self.fetch_load(row.service, target_id)
        if sample is None or self.receiver.link is not None:
            return
        self.registration.restore_target(
            row, *self.settings.target_address, sample.healthy
        )
        self.receiver.record_sample(sample)
        await anyio.sleep(registration.REPORT_WAIT_S)
        self.registration.require_report()

    async def resync(self) -> None:
        """Reads members and decisions, which the change feed does not include.

        Raises:
            platform.PlatformError: The store gave no usable response.
        """
        await self.lease.read_rows()
        await self.rollouts.load_ordered_decisions()

    def handle_store_restored(self) -> None:
        """Handles a restore of the store from an older copy."""
        self.counters.events.inc({"event": "store_restored"})
        self.document.interrupt_poll()
        self.lease.handle_restore()
        self.rollouts.handle_restore()

    async def handle_readiness(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Responds with 200 if callers may use this node, else 503."""
        ready = (
            self.ready
            and not self.stop_requested.is_set()
            and self.configured.revision is not None
        )
        await connection.send_head(200 if ready else 503, [], b"")

    async def handle_control(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Handles heartbeats and deregistration of the local target."""
        body = (await answering.read_body(connection)).buffered
        parsed = heartbeats.parse_path(head.target)
        if parsed is None:
            await connection.send_head(404, [], b"")
            return
        target_id, deregisters = parsed
        if deregisters:
            confirmed = await self.registration.handle_deregistration(target_id)
        else:
            try:
                heartbeat = heartbeats.parse_heartbeat(target_id, body)
            except heartbeats.HeartbeatError as error:
                self.counters.events.inc({"event": "report_malformed"})
                log.warning(
                    "malformed heartbeat", target=target_id, error=str(error)
                )
                await connection.send_head(400, [], b"")
                return
            announcement = heartbeat.announcement
            if not self.is_local_target(announcement):
                self.counters.events.inc({"event": "report_foreign"})
                log.warning(
                    "heartbeat with a foreign address or service",
                    target=target_id,
                    host=announcement.host,
                    port=announcement.port,
                    service=announcement.service,
                )
                await connection.send_head(400, [], b"")
                return
            confirmed = await self.registration.handle_heartbeat(heartbeat)
        headers = [("content-type", "application/json")]
        await connection.send_head(200 if confirmed else 503, headers, b"{}")

    def is_local_target(self, announcement: target.Announcement) -> bool:
        """Returns whether an announcement has the local address.

        The service must be that of the settings or one of the document.
        """
        address = (announcement.host, announcement.port)
        document = self.configured.revision
        services = document.services if document else {}
        return address == self.settings.target_address and (
            announcement.service == self.settings.service
            or announcement.service in services
        )

    async def handle_metrics(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Responds with the metrics in text format, or with the status."""
        if head.target == STATUS_PATH:
            headers = [("content-type", "application/json")]
            body = msgspec.json.encode(self.describe())
            await connection.send_head(200, headers, body)
            return
        self.receiver.update_gauges()
        if self.usage_duty is not None:
            self.usage_duty.update_gauges()
        content, headers = self.counters.render()
        await connection.send_head(200, headers, content)

    def describe(self) -> dict[str, Any]:
        """Returns the status that the command line shows."""
        status: dict[str, Any] = {
            "node": self.options.node,
            "revision": self.configured.number,
            "load": self.receiver.format_load(),
            "members": sorted(self.members.candidates),
        }
        if self.usage_duty is not None:
            status["usage"] = self.usage_duty.describe()
        return status

    async def run(self) -> None:
        """Runs until a stop is requested, then stops gracefully."""
        with signals.receive_signals() as received:
            await self._run_until_stopped(received)
        self.datagrams.close()

    async def _run_until_stopped(self, received: signals.Signals) -> None:
        settings = self.settings
        metrics_port = settings.first_internal_port + METRICS_PORT_OFFSET
        async with anyio.create_task_group() as group:
            group.start_soon(
                signals.handle_signals,
                received,
                self.stop_requested,
                self.reload,
                self.record_stop_signal,
            )
            listeners = (
                (self.caller_server, *settings.outbound_address),
                (self.readiness_server, *settings.readiness_address),
                (self.control_server, *settings.control_address),
                (self.peer_server, settings.host, settings.first_internal_port),
                (self.metrics_server, settings.host, metrics_port),
            )
            for server, host, port in listeners:
                group.start_soon(server.serve, host, port)
            supervise = self.breaches.supervise
            for task in (
                *self.control_tasks,
                supervise(self.watcher.run),
                supervise(self.sampler.run),
                supervise(self.load_queries.run),
                supervise(self.rollouts.run),
                supervise(self.run_periodic_checks),
            ):
                group.start_soon(task)
            if self.usage_duty is not None:
                group.start_soon(supervise(self.usage_duty.run))
            group.start_soon(self.datagrams.run, self.receive_datagram)
            log.info("node started", node=settings.node)
            for server, _, _ in listeners:
                await server.listening.wait()
            start.complete()
            await self.stop_requested.wait()
            stop_requested_s = time.monotonic()
            if self.usage_duty is not None:
                self.usage_duty.stop()
            await self.leave()
            if self.usage_duty is not None:
                group.start_soon(self.usage_duty.hand_over)
            remaining_s = READINESS_REMOVAL_DELAY_S - (
                time.monotonic() - stop_requested_s
            )
            await anyio.sleep(max(remaining_s, 0))
            await self.drain()
            log.info("node stopped", node=settings.node)
            group.cancel_scope.cancel()

    async def run_periodic_checks(self) -> None:
        """Reloads settings that changed without a signal, and starts probing.

        Whether this node is a prober changes with the members that it knows.
        """
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self.document.start_probing_if_due()
            state = settings_file.read_state(_get_settings_path())
            if state != self.settings_state:
                self.reload()

    def reload(self) -> None:
        """Reloads the settings; listen addresses stay as they were at start."""
        path = _get_settings_path()
        self.settings_state = settings_file.read_state(path)
        try:
            self.settings = settings_file.load(path)
        except settings_file.SettingsError as error:
            log.error("settings not reloaded", error=str(error))
            return
        self.set_stop_grace(self.settings.stop_grace_s)
        log.info(
            "settings reloaded",
            node=self.settings.node,
            service=self.settings.service,
        )


def _get_settings_path() -> str:
    return os.environ.get(settings_file.PATH_VARIABLE, "")


def main() -> None:
    """Runs the program."""
    try:
        settings = settings_file.load(_get_settings_path())
    except settings_file.SettingsError as error:
        print(f"waxwingferry-sidecar: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    logs.configure_logs()
    node = PlatformNode(settings)
    anyio.run(node.run)
    if node.breaches.promise_broken:
        sys.exit(EXIT_FAILURE)


if __name__ == "__main__":
    main()
