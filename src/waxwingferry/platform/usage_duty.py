"""The duty of reporting usage on the users' platform."""

from collections.abc import Iterable
from typing import Any

import anyio
import structlog

from waxwingferry.platform import settings_file
from waxwingferry.platform import store
from waxwingferry.platform import usage_api
from waxwingferry.process import core
from waxwingferry.process import duties
from waxwingferry.process.spreading import members
from waxwingferry.process.spreading import peers
from waxwingferry.process.usage import collector
from waxwingferry.process.usage import local
from waxwingferry.process.usage import messages
from waxwingferry.process.usage import records
from waxwingferry.process.usage import reporter
from waxwingferry.process.usage import true_time

NAME = "usage_reporting"
# Two windows without a write show that the holder does not report.
STALE_WINDOWS = 2
# Windows without a question after which the next node in the order of
# candidates looks after the row, and after that one more for each time.
SILENT_WINDOWS = 1.5
# Nodes that look after the row beside the candidate; each read costs.
MAX_BACKUPS = 3
# Time for the hand-over of a node that leaves, within its grace.
HAND_OVER_TIMEOUT_S = 1.0

log = structlog.get_logger()


class UsageDuty:
    """Counts usage on a node, and reports it while the node has the duty.

    Args:
        node: Components of the node.
        table: The platform's table.
        client: Client for the other nodes.
        api: The API that takes the reports.
        bounds: Times and limits for duties.
    """

    def __init__(
        self,
        node: core.Core,
        table: store.StoreTable,
        client: peers.PeerClient,
        api: settings_file.CloudApi,
        bounds: settings_file.DutyBounds,
    ):
        self.node = node
        self.client = client
        name = node.options.node
        self.window_s = bounds.report_window_s
        self.usage = local.LocalUsage(
            name,
            node.incarnation,
            retention_s=records.find_retention_s(
                bounds.report_window_s, bounds.usage_late_s
            ),
        )
        self.duty = duties.Duty(
            NAME,
            name,
            node.incarnation,
            table,
            self.is_candidate,
            self.is_holder_live,
            bounds.lease_s,
            STALE_WINDOWS * bounds.report_window_s,
            rng=node.rng,
            restores=lambda: table.restores,
        )
        self.times = true_time.TrueTime()
        self.collector = collector.Collector(
            self.usage,
            self.list_nodes,
            self.ask,
            self.times,
            bounds.report_window_s,
            bounds.usage_late_s,
            keep_connections=self.keep_connections,
        )
        self.api = usage_api.UsageApi(
            *api.address,
            bounds.fencing_required,
            may_act=self.duty.may_act,
        )
        self.reporter = reporter.Reporter(
            self.duty,
            self.collector,
            self.times,
            self.api.send,
            self.is_needed,
            node.counters,
            bounds.report_window_s,
            bounds.usage_late_s,
            bounds.lease_s,
            api.duty_rate_per_s,
        )
        node.usage = self.usage
        node.receiver.usage = self.usage.records

    def is_needed(self) -> bool:
        """Returns whether the document has workspaces."""
        revision = self.node.configured.revision
        return revision is not None and bool(revision.workspaces)

    def is_candidate(self) -> bool:
        """Returns whether this node may take the duty over."""
        if not self.is_needed():
            self.usage.asked_s = self.usage.clock()
            return False
        return self.node.members.is_duty_candidate() or self.is_backup()

    def is_backup(self) -> bool:
        """Returns whether this node looks after the row beside the candidate.

        The candidate may be the holder itself and be frozen. Other nodes still
        connect to it then, so the membership shows it as live, but it asks
        nobody for usage.
        """
        known = self.node.members
        if known.own is None or known.own.state != "ready":
            return False
        silence_s = self.usage.clock() - self.usage.asked_s
        rank = sum(
            row.state == "ready" and row.node > known.node
            for row in known.peers()
        )
        return rank <= min(
            silence_s // (SILENT_WINDOWS * self.window_s), MAX_BACKUPS
        )

    def is_holder_live(self, node: str, incarnation: str) -> bool:
        """Returns whether the process of a holder counts as live.

        For a backup only a row that does not change shows that it is not: the
        backup may be cut off from the holder. The same holds for a node that
        this one has never heard of: nodes that start together know only a part
        of the members, and each would take the duty from the one before.
        """
        known = self.node.members
        if not known.is_duty_candidate() or node not in known.records:
            return True
        return known.is_live(node, incarnation)

    def list_nodes(self) -> list[members.MemberRow]:
        """Returns the nodes to ask.

        Suspects are asked as well, because their links may come back before
        the report is due, but not nodes that announced their leave and ended.
        """
        return [
            record.row
            for record in self.node.members.records.values()
            if record.age_s <= members.LEASE_TTL_S
            and not (record.suspect and record.row.has_left)
        ]

    async def ask(
        self, row: members.MemberRow, question: messages.Question
    ) -> messages.Reply:
        """Asks another node.

        Raises:
            peers.PeerError: It gave no valid reply.
        """
        return await self.client.fetch_usage(row.address, question)

    async def keep_connections(self, rows: list[members.MemberRow]) -> None:
        """Closes the connections for questions to other nodes than these."""
        await self.client.keep_usage_clients({row.address for row in rows})

    async def run(self) -> None:
        """Takes the duty over when it is due, and reports; never ends."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.duty.run)
            group.start_soon(self.reporter.run)

    def stop(self) -> None:
        """Stops acting, because the node leaves."""
        self.reporter.close()
        self.duty.stop()

    async def hand_over(self) -> None:
        """Hands the records over, because the node leaves.

        To be called when the target begins no more runs.
        """
        if not self.is_needed():
            return
        body = self.usage.make_hand_over()
        for row in self._find_receivers():
            try:
                await self.client.hand_over_usage(
                    row.address, body, HAND_OVER_TIMEOUT_S / 2
                )
            except peers.PeerError as error:
                log.warning(
                    "usage not handed over", to=row.node, error=str(error)
                )
                continue
            log.info("usage handed over", to=row.node, size=len(body))
            return
        log.error("usage of this node is lost")

    def _find_receivers(self) -> list[members.MemberRow]:
        """Returns the holder that asked last and the next candidate."""
        known = self.node.members
        rows = [
            row
            for row in known.peers()
            if row.node != known.node and row.state == "ready"
        ]
        holder = [row for row in rows if row.node == self.usage.holder]
        others = sorted(
            (row for row in rows if row not in holder),
            key=lambda row: row.node,
            reverse=True,
        )
        return [*holder, *others][:2]

    def update_gauges(self) -> None:
        """Updates the metrics of the duty."""
        self.duty.update_gauges(self.node.counters)
        self.reporter.update_gauge()

    def describe(self) -> dict[str, Any]:
        """Returns holder, token and the state of windows, for operators."""
        row = self.duty.row
        return {
            "holder": row.holder if row else self.usage.holder,
            "token": row.token if row else 0,
            **self.reporter.describe(),
        }


def make_usage_duty(
    node: core.Core,
    table: store.StoreTable,
    client: peers.PeerClient,
    settings: settings_file.Settings,
) -> UsageDuty | None:
    """Returns the duty if the settings list it."""
    api = settings.cloud_api
    if api is None:
        return None
    _log_unknown(api.duties)
    if NAME not in api.duties:
        return None
    return UsageDuty(node, table, client, api, settings.duty_bounds)


def _log_unknown(names: Iterable[str]) -> None:
    for name in names:
        if name != NAME:
            log.warning("duty not known", duty=name)
