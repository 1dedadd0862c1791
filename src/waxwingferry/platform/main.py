"""The node on the users' platform: wires the product to its addresses."""

import os
import random
import signal
import sys
import time

import anyio
import structlog

from waxwingferry.connection import exchange
from waxwingferry.connection import http1
from waxwingferry.connection import serve
from waxwingferry.platform import boot
from waxwingferry.platform import decisions
from waxwingferry.platform import fields
from waxwingferry.platform import operator
from waxwingferry.platform import reports
from waxwingferry.platform import store
from waxwingferry.process import core
from waxwingferry.process import logs
from waxwingferry.process import platform
from waxwingferry.process import target
from waxwingferry.process.choice import routing
from waxwingferry.process.protection import registration
from waxwingferry.process.protection import sampler
from waxwingferry.process.protection import stated_limit
from waxwingferry.process.spreading import peers
from waxwingferry.process.spreading import version_rollouts
from waxwingferry.process.spreading import watch
from waxwingferry.request import answering

EXIT_USAGE = 2
READY_PATH = "/-/ready"
# Second of the ports for communication between nodes.
METRICS_PORT_OFFSET = 1
# Readiness is asked each second, and two misses take a node out. Until then
# requesters open connections, which must find somebody.
OUT_AFTER_S = 2.3
# Part used of the rate that the platform allows a target in warm-up;
# the rest is for requests that a link bunches together.
WARMUP_RATE_USED = 0.85
# Time for peers to hear that this node leaves, by datagrams.
LEAVE_DELAY_S = 0.3

log = structlog.get_logger()


class PlatformNode(core.Core):
    """One node on the users' platform.

    Args:
        settings: What the platform says of this process.
    """

    def __init__(self, settings: boot.Boot):
        self.settings = settings
        table = store.StoreTable(
            exchange.Client(settings.store.host, settings.store.port)
        )
        self.document = operator.OperatorDocument(table, settings.bounds)
        seeds = tuple(
            (host, settings.first_port)
            for host in settings.seeds
            if host != settings.host
        )
        super().__init__(
            core.NodeOptions(
                node=settings.node,
                host=settings.host,
                peer_port=settings.first_port,
                advertised_peer_port=settings.first_port,
                region=settings.region,
                failure_domain=settings.zone,
                seeds=seeds,
                choice=routing.Policy.STATED,
                leave_delay_s=LEAVE_DELAY_S,
            ),
            table,
            self.document,
            random.SystemRandom(),
            peers.PeerClient(),
            fields.RequesterProtocol(settings.service),
            fields.Dialect(),
            self.make_limit,
        )
        self.registration = registration.TargetRegistration(
            self.receiver,
            self.members,
            self.lease,
            self.announce,
            time.monotonic,
        )
        self.rollouts = version_rollouts.make_rollouts(
            self.members,
            self.configured,
            self.receiver,
            self.gossip,
            decisions.StatusDecisionStore(table),
            settings.bounds.expose_share,
            settings.bounds.expose_slack,
        )
        self.entry.rollouts = self.rollouts
        self.sampler = sampler.Sampler(
            self.receiver, self.gossip, self.sample, self.counters
        )
        self.watcher = watch.Watcher(
            self.document.watch,
            self.lease.read_rows,
            self.relearn,
            self.counters,
            self.rng,
        )
        self.target_client = exchange.Client(*settings.target)
        self.readiness = serve.Server(self.handle_ready)
        self.control = serve.Server(self.handle_control)
        self.metrics = serve.Server(self.handle_metrics)

    def make_limit(self, slots: int) -> stated_limit.StatedLimit:
        """Returns the limit of the own target."""
        return stated_limit.StatedLimit(slots, self.get_warmup_rate)

    def get_warmup_rate(self) -> float:
        """Returns the requests per second for the target during warm-up."""
        newest = self.configured.revision
        link = self.receiver.link
        if newest is None or link is None:
            return 0.0
        service = newest.services.get(link.announcement.service)
        if service is None or not service.warmup_rate_per_s:
            return 0.0
        bounds = self.settings.bounds
        most = service.warmup_rate_per_s * bounds.cold_over + bounds.cold_slack
        return max(most * WARMUP_RATE_USED, service.warmup_rate_per_s)

    async def sample(
        self, announcement: target.Announcement
    ) -> target.TargetLoad | None:
        """Asks the announced target for its load."""
        target_id, _ = target.split_incarnation(announcement.incarnation)
        return await self.fetch_load(announcement.service, target_id)

    async def fetch_load(
        self, name: str, target_id: str
    ) -> target.TargetLoad | None:
        """Asks the own target for its load, None if it is another one."""
        newest = self.configured.revision
        service = newest.services.get(name) if newest else None
        if not service or not service.health_path:
            return None
        try:
            reply = await self.target_client.request(
                "GET", service.health_path, sampler.SAMPLE_TIMEOUT_S
            )
        except exchange.ExchangeError as error:
            log.debug("target not sampled", error=str(error))
            return None
        return fields.read_health(reply, target_id)

    async def learn(self) -> None:
        """See process.core.Core."""
        await self.spread.load_initial_state()
        try:
            await self.rollouts.load_decisions()
        except platform.PlatformError as error:
            # The watcher reads them once the platform is regained.
            log.warning("decisions not read", error=str(error))
        self.ready = True
        self.announce()
        await self.resume()

    async def resume(self) -> None:
        """Takes up the target of an earlier process, if it still runs."""
        row = self.members.predecessor
        if row is None or not row.target or self.receiver.link is not None:
            return
        target_id, _ = target.split_incarnation(row.target)
        sample = await self.fetch_load(row.service, target_id)
        if sample is None or self.receiver.link is not None:
            return
        self.registration.restore_target(row, *self.settings.target)
        self.receiver.record_sample(sample)

    async def relearn(self) -> None:
        """Reads what the feed does not tell; raises PlatformError."""
        await self.lease.read_rows()
        await self.rollouts.load_decisions()

    async def handle_ready(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Tells whether requesters on this machine may use this node."""
        ready = (
            self.ready
            and not self.stop_asked.is_set()
            and self.configured.revision is not None
        )
        await connection.send_head(200 if ready else 503, [], b"")

    async def handle_control(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Handles heartbeats and deregistration of the target on this VM."""
        body = (await answering.read_body(connection)).buffered
        matched = reports.match_path(head.target)
        if matched is None:
            await connection.send_head(404, [], b"")
            return
        target_id, leaves = matched
        if leaves:
            confirmed = await self.registration.handle_deregistration(target_id)
        else:
            try:
                report = reports.parse_heartbeat(target_id, body)
            except reports.HeartbeatError as error:
                self.counters.events.inc({"event": "report_malformed"})
                log.warning(
                    "report malformed", target=target_id, error=str(error)
                )
                await connection.send_head(400, [], b"")
                return
            stated = report.announcement
            if (stated.host, stated.port) != self.settings.target:
                self.counters.events.inc({"event": "report_foreign"})
                log.warning(
                    "report of a foreign address",
                    target=target_id,
                    host=stated.host,
                    port=stated.port,
                )
                await connection.send_head(400, [], b"")
                return
            confirmed = await self.registration.handle_heartbeat(report)
        headers = [("content-type", "application/json")]
        await connection.send_head(200 if confirmed else 503, headers, b"{}")

    async def handle_metrics(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Returns the metrics as text."""
        self.receiver.update_gauges()
        content, headers = self.counters.render()
        await connection.send_head(200, headers, content)

    async def run(self) -> None:
        """Runs until SIGTERM, then stops gracefully."""
        settings = self.settings
        metrics_port = settings.first_port + METRICS_PORT_OFFSET
        async with anyio.create_task_group() as group:
            for server, host, port in (
                (self.callers, *settings.outbound),
                (self.readiness, *settings.ready),
                (self.control, *settings.control),
                (self.peers, settings.host, settings.first_port),
                (self.metrics, settings.host, metrics_port),
            ):
                group.start_soon(server.serve, host, port)
            for task in (
                *self.control_tasks,
                self.watcher.run,
                self.sampler.run,
                self.rollouts.run,
                self.wait_for_signals,
            ):
                group.start_soon(task)
            group.start_soon(self.datagrams.run, self.gossip.receive)
            log.info("node started", node=settings.node)
            await self.stop_asked.wait()
            asked_s = time.monotonic()
            await self.leave()
            left_s = OUT_AFTER_S - (time.monotonic() - asked_s)
            await anyio.sleep(max(left_s, 0))
            async with anyio.create_task_group() as drains:
                drains.start_soon(self.callers.drain)
                drains.start_soon(self.peers.drain)
            log.info("node stopped", node=settings.node)
            group.cancel_scope.cancel()
        self.datagrams.close()

    async def wait_for_signals(self) -> None:
        """Asks for a stop at SIGTERM; a reload finds nothing to change."""
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self.reload()
                    continue
                self.stop_asked.set()
                return

    def reload(self) -> None:
        """Reads the settings again; addresses stay as they were at start."""
        try:
            self.settings = boot.load(os.environ[boot.PATH_VARIABLE])
        except boot.BootError as error:
            log.error("settings not reloaded", error=str(error))
            return
        log.info("settings reloaded", node=self.settings.node)


def main() -> None:
    """Runs the program."""
    path = os.environ.get(boot.PATH_VARIABLE, "")
    try:
        settings = boot.load(path)
    except boot.BootError as error:
        print(f"waxwingferry-sidecar: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    logs.configure_logs()
    node = PlatformNode(settings)
    anyio.run(node.run)


if __name__ == "__main__":
    main()
