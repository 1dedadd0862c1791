"""Stores decisions on version rollouts in status rows for the operator."""

import structlog

from waxwingferry.platform import parsing
from waxwingferry.platform import reported_rows
from waxwingferry.platform import store
from waxwingferry.process import platform
from waxwingferry.version import messages

TABLE = "status"
PREFIX = "status/rollout/"

log = structlog.get_logger()


class StatusDecisionStore:
    """See version.rollout.DecisionStore.

    Args:
        table: Client of the platform's store.

    Attributes:
        malformed_rows: Rows that were reported as no decision.
    """

    def __init__(self, table: store.StoreTable):
        self.table = table
        self.malformed_rows = reported_rows.ReportedRows()

    async def read_all(self) -> list[tuple[messages.Decision, int]]:
        """See version.rollout.DecisionStore."""
        decisions = []
        for row in await self.table.scan(PREFIX):
            try:
                value = row.value or {}
                decision = messages.Decision(
                    row.key.removeprefix(PREFIX),
                    # In status rows, "target" is the new version.
                    parsing.parse_text(value["target"]),
                    row.version,
                    messages.State(value["state"]),
                )
            except (
                KeyError,
                ValueError,
                parsing.ValueFormatError,
            ) as error:
                self._report_malformed(row, repr(error))
                continue
            decisions.append((decision, row.version))
        return decisions

    def _report_malformed(self, row: platform.Row, error: str) -> None:
        """Logs each version of a row once; the table logs undecodable ones."""
        if not row.malformed and self.malformed_rows.add(row.key, row.version):
            log.warning(
                "status row is not a decision", key=row.key, error=error
            )

    async def write(self, decision: messages.Decision, if_version: int) -> None:
        """See version.rollout.DecisionStore."""
        value = {
            "service": decision.service,
            "state": decision.state.value,
            "target": decision.version,
        }
        write = platform.Write(PREFIX + decision.service, value, if_version)
        await self.table.transact([write])
