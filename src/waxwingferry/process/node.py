"""waxwingferry-node: the process beside each target."""

import json
import random
import signal
from typing import Any

import anyio
import pydantic
import structlog
import uvloop

from waxwingferry.connection import http1
from waxwingferry.connection import serve
from waxwingferry.process import admin
from waxwingferry.process import cost
from waxwingferry.process import logs
from waxwingferry.process import members
from waxwingferry.process import metrics
from waxwingferry.process import platform
from waxwingferry.process import probe
from waxwingferry.process import program
from waxwingferry.process import routing
from waxwingferry.process import settings
from waxwingferry.process import target
from waxwingferry.request import entry
from waxwingferry.request import forward
from waxwingferry.request import peer
from waxwingferry.request import receive
from waxwingferry.version import document

INTERIM_INTERVAL_S = 0.2
LEAVE_DELAY_S = 1.5

log = structlog.get_logger()


class Node:
    """One node and all that it owns.

    Args:
        options: Settings of the node.
        table: The platform's table.
        rng: Source of all random choices.
    """

    def __init__(
        self,
        options: settings.NodeSettings,
        table: platform.Table,
        rng: random.Random,
    ):
        self.options = options
        self.table = table
        self.rng = rng
        self.revision: document.Revision | None = None
        self.incarnation = f"{rng.getrandbits(64):016x}"
        self.counters = metrics.Metrics()
        self.members = members.Members(table, options.node, rng)
        self.receiver = receive.Receiver(
            self.incarnation, self.own_domain_is_out
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
            forward.Forwarder(),
            self.receiver,
            self.counters,
            rng,
        )
        self.peer = peer.PeerHandler(self.receiver, self.get_revision)
        self.callers = serve.Server(self.entry.handle)
        self.local = serve.Server(self.handle_local)
        self.peers = serve.Server(self.peer.handle, INTERIM_INTERVAL_S)
        self.admin = admin.Admin(
            options.node,
            self.members,
            self.receiver,
            self.counters,
            self.get_revision_number,
        )
        self.stopped = anyio.Event()

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
        revision = self.revision
        return revision.document.budgets.probe_per_s if revision else 0.0

    def get_revision(self) -> document.Revision | None:
        """Returns the document in force, or None."""
        return self.revision

    def get_revision_number(self) -> int:
        """Returns the number of the document in force, or 0."""
        return self.revision.number if self.revision else 0

    def own_domain_is_out(self) -> bool:
        """Tells whether this node's failure domain is out."""
        if self.revision is None:
            return False
        return self.options.failure_domain in self.revision.domains_out

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
            self.members.announce(self.make_row(announcement))
        reply = {"node": self.options.node, "incarnation": self.incarnation}
        await connection.send_head(200, [], json.dumps(reply).encode())

    def make_row(self, announcement: target.Announcement) -> dict[str, Any]:
        """Returns this node's member row."""
        state = "leaving" if self.receiver.leaving else announcement.state
        return {
            "service": announcement.service,
            "version": announcement.version,
            "region": self.options.region,
            "failure_domain": self.options.failure_domain,
            "host": self.options.host,
            "peer_port": self.options.peer_port,
            "incarnation": self.incarnation,
            "state": state,
            "slots": announcement.slots,
        }

    async def read_document(self) -> None:
        """Takes the newest document from the table; never an older one."""
        row = await self.table.read(document.DOCUMENT_KEY)
        if row is None or row.value is None:
            return
        number = row.value["revision"]
        if number <= self.get_revision_number():
            return
        content = document.Document.model_validate(row.value["document"])
        self.revision = document.Revision(number, content)
        log.info("document in force", revision=number)

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
            group.start_soon(self.members.run_writer)
            group.start_soon(self.prober.run)
            group.start_soon(self.members.run_reader, self.read_document)
            log.info("node started", node=options.node)
            with anyio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT
            ) as signals:
                async for _ in signals:
                    break
            await self.stop()
            group.cancel_scope.cancel()

    async def stop(self) -> None:
        """Announces the leave, then waits for all work in flight."""
        log.info("node stopping", node=self.options.node)
        self.receiver.leaving = True
        if self.receiver.link is not None:
            row = self.make_row(self.receiver.link.announcement)
            self.members.announce(row)
        await anyio.sleep(LEAVE_DELAY_S)
        await self.callers.drain()
        await self.local.drain()
        await self.peers.drain()
        self.stopped.set()
        log.info("node stopped", node=self.options.node)


async def run_node(options: settings.NodeSettings) -> None:
    """Runs one node with the platform that its settings name."""
    rng: random.Random = random.SystemRandom()
    if options.random_seed is not None:
        rng = random.Random(options.random_seed)
    async with platform.make_client(options.platform_url) as client:
        node = Node(options, platform.HttpTable(client), rng)
        await node.run()


def start(settings_file: str) -> None:
    """Runs a node until SIGTERM or SIGINT.

    Args:
        settings_file: Path of the YAML file with the node's settings.
    """
    options = settings.load_settings(settings_file)
    logs.configure_logs(options.log)
    anyio.run(
        run_node,
        options,
        backend_options={"loop_factory": uvloop.new_event_loop},
    )


def main() -> None:
    """Runs the program."""
    program.run_program("waxwingferry-node", start)


if __name__ == "__main__":
    main()
