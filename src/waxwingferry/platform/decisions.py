"""Stores decisions on version rollouts in status rows for the operator."""

import structlog

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
    """

    def __init__(self, table: store.StoreTable):
        self.table = table

    async def read_all(self) -> list[tuple[messages.Decision, int]]:
        """See version.rollout.DecisionStore."""
        decisions = []
        for row in await self.table.scan(PREFIX):
            try:
                value = row.value or {}
                decision = messages.Decision(
                    row.key.removeprefix(PREFIX),
                    # In status rows, "target" is the new version.
                    value["target"],
                    row.version,
                    messages.State(value["state"]),
                )
            except (KeyError, ValueError) as error:
                log.warning(
                    "status row is not a decision",
                    key=row.key,
                    error=str(error),
                )
                continue
            decisions.append((decision, row.version))
        return decisions

    async def write(self, decision: messages.Decision, if_version: int) -> None:
        """See version.rollout.DecisionStore."""
        value = {
            "service": decision.service,
            "state": decision.state.value,
            "target": decision.version,
        }
        write = platform.Write(PREFIX + decision.service, value, if_version)
        await self.table.transact([write])
