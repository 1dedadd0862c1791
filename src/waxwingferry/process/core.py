"""Components of a node that are independent of the platform."""

from collections.abc import Callable
import dataclasses
import functools
import math
import os
import random
from typing import Literal

import anyio
import structlog

from waxwingferry import boot_clock
from waxwingferry.connection import budget
from waxwingferry.connection import closing
from waxwingferry.connection import http1
from waxwingferry.connection import message
from waxwingferry.connection import serve
from waxwingferry.process import attempts
from waxwingferry.process import background
from waxwingferry.process import breaches
from waxwingferry.process import metrics
from waxwingferry.process import platform
from waxwingferry.process import target
from waxwingferry.process.choice import cost
from waxwingferry.process.choice import known_target
from waxwingferry.process.choice import load_stats
from waxwingferry.process.choice import routing
from waxwingferry.process.protection import crash_suspects
from waxwingferry.process.protection import limit
from waxwingferry.process.spreading import crash_reports
from waxwingferry.process.spreading import current_document
from waxwingferry.process.spreading import gossip
from waxwingferry.process.spreading import lease
from waxwingferry.process.spreading import members
from waxwingferry.process.spreading import peers
from waxwingferry.process.spreading import synchronizer
from waxwingferry.process.usage import local
from waxwingferry.process.usage import messages
from waxwingferry.request import attempt_runner
from waxwingferry.request import call_context
from waxwingferry.request import calls
from waxwingferry.request import entry
from waxwingferry.request import forward
from waxwingferry.request import outcome
from waxwingferry.request import peer
from waxwingferry.request import receive
from waxwingferry.request import resolve
from waxwingferry.version import revision

INTERIM_INTERVAL_S = 0.2
# Time before the process is killed by which the last calls must end: the fate
# of their attempts is resolved after that, and the answers are sent.
STOP_RESERVE_S = resolve.RESOLVE_GRACE_S + 0.2
TASK_DRAIN_TIMEOUT_S = 5.0

log = structlog.get_logger()


@dataclasses.dataclass(slots=True, frozen=True)
class NodeOptions:
    """Name, addresses and location of a node.

    Attributes:
        node: Name of the node, unique among all nodes.
        host: IP address at which other nodes reach it.
        peer_port: Listening port for other nodes, TCP and UDP.
        advertised_peer_port: Port that other nodes connect to.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        seeds: Peers to query while the platform does not answer.
        choice: Load-balancing policy.
        leave_delay_s: Time for the news of the leave to reach other nodes.
        stop_grace_s: Time from the request to stop until the process is
            killed, or None if it is given any time. A reload may change it.
        memory_bytes: Memory of the machine.
        max_descriptors: Descriptors that the process may open.
        limits: Limits on one client where the document sets none.
    """

    node: str
    host: str
    peer_port: int
    advertised_peer_port: int
    region: str
    failure_domain: str
    seeds: tuple[gossip.Address, ...] = ()
    choice: routing.Policy = routing.Policy.WEIGHTED
    leave_delay_s: float = 1.5
    stop_grace_s: float | None = None
    memory_bytes: int = 512 * budget.MIB
    max_descriptors: int = 1024
    limits: message.Limits = message.DEFAULT_LIMITS


class Core:
    """Creates and connects the components of one node.

    Args:
        options: Name, addresses and location of the node.
        table: Table of the platform.
        configured: Holder of the document in force.
        rng: Random generator for everything except IDs.
        client: Client for documents and members of peers.
        protocol: Protocol between callers and the node.
        target_protocol: Protocol between the node and its local target.
        make_limit: Returns the concurrency limit for a number of slots.
    """

    def __init__(
        self,
        options: NodeOptions,
        table: platform.Table,
        configured: current_document.CurrentDocument,
        rng: random.Random,
        client: peers.PeerClient,
        protocol: call_context.CallerProtocol,
        target_protocol: target.TargetProtocol,
        make_limit: Callable[[int], limit.Limit] = limit.Limit,
    ):
        self.options = options
        self.stop_grace_s = options.stop_grace_s
        # Boot clock times at which the stop began and at which the first signal
        # to stop came, which may be later, or None before that.
        self.stop_began_s: float | None = None
        self.stop_signal_s: float | None = None
        self.table = table
        self.rng = rng
        # IDs never depend on the configured seed: two processes with the same
        # seed would mistake each other's claims and attempts for their own.
        self.incarnation = os.urandom(8).hex()
        self.id_rng = random.SystemRandom()
        self.ready = False
        self.counters = metrics.Metrics()
        self.stop_requested = anyio.Event()
        self.breaches = breaches.Breaches(
            self.counters, lambda: self.stop_requested.set()
        )
        self.configured = configured
        self._make_control_plane(client)
        self.receiver = receive.Receiver(
            self.incarnation,
            self.is_own_domain_out,
            self.get_revision,
            self.counters,
            target_protocol,
            make_limit,
            self.suspects,
        )
        self.receiver.on_leaving = self.announce
        # Set if usage is reported.
        self.usage: local.LocalUsage | None = None
        self.tasks = background.Background(self.breaches.record)
        self.runner = attempt_runner.AttemptRunner(
            self.receiver, attempts.Attempts(), self.tasks, self.counters
        )
        self.entry = entry.EntryHandler(
            options.node,
            self.get_revision,
            self.members,
            self.make_router(),
            forward.Forwarder(self.counters),
            self.runner,
            self.counters,
            self.id_rng,
            protocol,
            suspects=self.suspects,
            running_requests=self.receiver.running,
        )
        self.peer = peer.PeerHandler(self.receiver, self.runner)
        self.client_budget = budget.make_client_budget(
            options.memory_bytes, options.max_descriptors
        )
        self.internal_budget = budget.make_internal_budget(options.memory_bytes)
        for item in (self.client_budget, self.internal_budget):
            item.on_limited = functools.partial(
                self.counters.record_limited, item.name
            )
        self.caller_server = serve.Server(
            self.entry.handle,
            limits=options.limits,
            may_overlap=self.entry.overlaps.may_overlap,
            may_be_long=self.entry.overlaps.may_be_long,
            budget=self.client_budget,
        )
        self.caller_server.on_unanswered = self.record_unanswered
        self.caller_server.on_rejected = self.record_rejected
        self.caller_server.handler_states_runs = True
        self.caller_server.on_fault = self.breaches.record
        self.peer_server = make_peer_server(
            self.handle_peer, options.limits, self.internal_budget
        )
        self.peer_server.on_fault = self.breaches.record

    def _make_control_plane(self, client: peers.PeerClient) -> None:
        """Creates the components that distribute document and membership."""
        options = self.options
        self.datagrams = peers.DatagramSocket(options.host, options.peer_port)
        self.members = members.Membership(options.node)
        self.gossip = gossip.Gossiper(
            self.members,
            lambda: self.configured.number,
            self.datagrams.send,
            self.rng,
            options.seeds,
        )
        self.lease = lease.Lease(
            self.table,
            self.members,
            self.rng,
            on_superseded=lambda: self.stop_requested.set(),
        )
        self.suspects = crash_suspects.CrashSuspects()
        self.crash_reports = crash_reports.CrashReports(
            self.suspects, self.gossip
        )
        self.members.on_newer_row = self.gossip.add_row
        self.members.on_name_conflict = self.lease.resolve_name_conflict
        self.configured.on_change = self.apply_document
        self.gossip.on_load = self.record_load_push
        self.synchronizer = synchronizer.Synchronizer(
            self.configured,
            self.members,
            self.lease,
            self.gossip,
            client,
            self.counters,
            self.rng,
            options.seeds,
        )

    def make_router(self) -> routing.Router:
        """Returns the router of this node."""
        options = self.options
        location = cost.Location(
            options.node, options.region, options.failure_domain
        )
        return routing.Router(
            self.rng,
            policy=options.choice,
            location=location,
            on_ejection=self.count_ejection,
            local_load=self.receiver.format_load,
        )

    def apply_document(self) -> None:
        """Applies a new document's caller limits and gossips its number."""
        revision_in_force = self.configured.revision
        if revision_in_force is not None:
            limits = make_caller_limits(
                revision_in_force.caller_limits, self.options.limits
            )
            self.caller_server.limits = limits
            self.peer_server.limits = make_peer_limits(limits)
        self.gossip.add_revision()

    def record_load_push(self, push: gossip.LoadPush) -> None:
        """Records the load that another node pushed."""
        candidate = self.members.candidates.get(push.node)
        # An attempt at a process that was replaced would be refused.
        replaced = candidate is not None and push.incarnation not in (
            "",
            candidate.incarnation,
        )
        if candidate is not None and not replaced:
            now_s = self.entry.router.clock()
            candidate.load = load_stats.LoadReport(
                push.in_flight,
                push.queue,
                max(push.limit, 1),
                now_s,
                max(push.slow_percent, 1) / 100,
                now_s + push.wait_ms / 1000
                if push.wait_ms is not None
                else -math.inf,
                busy=push.busy,
            )
            if self.entry.load_queries is not None:
                self.entry.load_queries.record_report()

    def record_unanswered(
        self, head: http1.RequestHead, reason: serve.Unanswered
    ) -> None:
        """Counts and logs a caller's request that got no response."""
        self.counters.unanswered.inc({"reason": reason.value})
        if reason is serve.Unanswered.CLIENT_CLOSED:
            return
        log.warning(
            "request unanswered",
            request=self.entry.protocol.find_request_id(head.headers),
            reason=reason.value,
            stopping=self.stop_requested.is_set(),
        )

    def record_rejected(
        self, head: http1.RequestHead | None, error: http1.HttpError
    ) -> None:
        """Counts and logs a caller's request that is invalid."""
        reason = outcome.Reason.BAD_REQUEST
        if error.status == closing.BODY_TOO_LARGE_STATUS:
            reason = outcome.Reason.BODY_TOO_LARGE
        elif isinstance(error, message.NoRoomError):
            reason = outcome.Reason.NO_ROOM
        self.counters.refusals.inc({"kind": "not_run", "reason": reason.value})
        log.info(
            "request rejected",
            request=self.entry.protocol.find_request_id(head.headers)
            if head
            else "",
            reason=reason.value,
            status=error.status,
            error=str(error),
        )

    def count_ejection(self, candidate: known_target.Candidate) -> None:
        """Counts the ejection of a target that fails far more than others."""
        self.counters.events.inc({"name": "ejected"})
        log.warning("target ejected", node=candidate.node)

    def get_revision(self) -> revision.Revision | None:
        """Returns the revision in force, or None.

        After a pause of this process it returns None until the node has caught
        up, because other nodes may already use a newer document.
        """
        return (
            None if self.synchronizer.is_stale() else self.configured.revision
        )

    def is_own_domain_out(self) -> bool:
        """Returns whether this node's failure domain is out of service.

        After a pause, a node that has not caught up can't know and counts as
        out of service.
        """
        revision_in_force = self.configured.revision
        if revision_in_force is None:
            return False
        is_out = self.options.failure_domain in revision_in_force.domains_out
        return is_out or self.synchronizer.is_stale()

    async def handle_peer(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Handles a request from another node."""
        # An attempt may have any path; only attempts carry an attempt ID.
        is_attempt = http1.find_header(head.headers, calls.ATTEMPT_HEADER)
        if peers.is_request_path(head.target) and not is_attempt:
            await peers.answer_request(
                connection, head.target, self.configured, self.members
            )
            return
        if messages.is_usage_path(head.target) and not is_attempt:
            await local.answer_request(connection, head, self.usage)
            return
        await self.peer.handle(connection, head)

    def announce(self) -> None:
        """Announces this node, once it is ready and has a target."""
        if self.ready and self.receiver.link is not None:
            announcement = self.receiver.link.announcement
            self.members.announce(self.make_row(announcement))

    def make_row(self, announcement: target.Announcement) -> members.MemberRow:
        """Returns the member row to announce for this node."""
        state: Literal["ready", "draining", "leaving"] = announcement.state
        takes_no_work = self.receiver.leaving or self.receiver.unreported
        if state == "ready" and takes_no_work:
            state = "leaving"
        return members.MemberRow(
            node=self.options.node,
            service=announcement.service,
            version=announcement.version,
            region=self.options.region,
            failure_domain=self.options.failure_domain,
            host=self.options.host,
            peer_port=self.options.advertised_peer_port,
            incarnation=self.incarnation,
            state=state,
            slots=announcement.slots,
            generation=self.lease.generation,
            target=announcement.incarnation,
            stopping=self.receiver.leaving,
        )

    async def join(self) -> None:
        """Loads the document and the members, then announces this node."""
        await self.synchronizer.load_initial_state()
        self.ready = True
        self.announce()

    @property
    def control_tasks(self) -> tuple[Callable, ...]:
        """Tasks to start with the node; most run until it stops."""
        supervised = map(
            self.breaches.supervise,
            (
                self.lease.run,
                self.synchronizer.run_fetcher,
                self.synchronizer.run_suspect_checks,
                self.synchronizer.run_pause_detection,
                self.gossip.run_digests,
                self.gossip.run_dissemination,
                self.crash_reports.run,
                self.run_deadline_updates,
            ),
        )
        # A node that can't join ends; nothing runs on it yet.
        limit_drain = self.breaches.limit_drain
        return (self.tasks.run, self.join, limit_drain, *supervised)

    async def run_deadline_updates(self) -> None:
        """Tells other nodes when the calls taken here must end earlier."""
        await self.entry.forwarder.deadline_updates.run(self.entry.cutoff)

    def receive_datagram(self, data: bytes, address: gossip.Address) -> None:
        """Handles a datagram; one that causes an error is dropped."""
        try:
            self.gossip.receive(data, address)
        except Exception as error:
            self.breaches.record(error)

    def set_stop_grace(self, grace_s: float | None) -> None:
        """Sets the time to stop; a stop in progress keeps to it as well."""
        if grace_s == self.stop_grace_s:
            return
        self.stop_grace_s = grace_s
        if self.stop_began_s is not None:
            self._move_cutoff()

    def record_stop_signal(self) -> None:
        """Records that the process is killed after the grace time."""
        if self.stop_signal_s is not None:
            return
        self.stop_signal_s = boot_clock.read_s()
        if self.stop_began_s is not None:
            self._move_cutoff()

    def _find_kill_s(self) -> float:
        """Returns the boot clock time at which the process ends by force."""
        assert self.stop_began_s is not None
        ends_s = [math.inf]
        signal_s = self.stop_signal_s
        if self.breaches.promise_broken:
            ends_s.append(self.stop_began_s + breaches.DRAIN_LIMIT_S)
        elif signal_s is None:
            # A newer process has superseded this one, which is probably ended.
            signal_s = self.stop_began_s
        if signal_s is not None and self.stop_grace_s is not None:
            ends_s.append(signal_s + self.stop_grace_s)
        return min(ends_s)

    def _move_cutoff(self) -> None:
        """Makes all calls end in time before the process is killed."""
        self.entry.cutoff.move(self._find_kill_s() - STOP_RESERVE_S)
        log.info(
            "calls must end",
            node=self.options.node,
            calls=self.entry.in_flight,
            grace_s=self.stop_grace_s,
        )

    async def leave(self) -> None:
        """Announces the leave and gives other nodes time to receive it."""
        log.info("node stopping", node=self.options.node)
        self.stop_began_s = boot_clock.read_s()
        self._move_cutoff()
        self.receiver.leaving = True
        if not self.lease.superseded:
            self.announce()
        await anyio.sleep(self.options.leave_delay_s)
        self.receiver.close()

    async def drain(self) -> None:
        """Ends the connections of callers and peers; cuts off no call."""
        self.entry.draining = True
        async with anyio.create_task_group() as group:
            group.start_soon(self.caller_server.drain)
            group.start_soon(self.peer_server.drain)


def make_peer_server(
    handler: serve.Handler,
    limits: message.Limits = message.DEFAULT_LIMITS,
    connections: budget.Budget | None = None,
) -> serve.Server:
    """Returns the server for other nodes.

    While a node drains, the entries of its attempts ask over new connections
    whether it still runs them.

    Args:
        handler: Handles a request.
        limits: Limits on the callers of the other nodes.
        connections: Budget of the connections.
    """
    return serve.Server(
        handler,
        INTERIM_INTERVAL_S,
        make_peer_limits(limits),
        listens_while_draining=True,
        budget=connections,
    )


def make_peer_limits(limits: message.Limits) -> message.Limits:
    """Returns the limits for other nodes, which add fields to a head."""
    # A node that knows no document yet may get heads of the default size.
    head_bytes = max(limits.head_bytes, message.DEFAULT_LIMITS.head_bytes)
    return dataclasses.replace(
        limits, head_bytes=message.make_forwarded_head_bytes(head_bytes)
    )


def make_caller_limits(
    caller_limits: revision.CallerLimits,
    default: message.Limits = message.DEFAULT_LIMITS,
) -> message.Limits:
    """Returns the limits for connections from callers.

    The idle timeout is never below the default, because callers may still rely
    on the longer timeout of an earlier document.

    Args:
        caller_limits: Limits of the document.
        default: Limits where the document sets none.
    """
    return dataclasses.replace(
        default,
        head_bytes=caller_limits.head_bytes or default.head_bytes,
        body_bytes=caller_limits.body_bytes or default.body_bytes,
        head_s=caller_limits.head_s or default.head_s,
        idle_s=max(caller_limits.idle_s or 0.0, default.idle_s),
    )
