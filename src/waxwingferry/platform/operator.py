"""What the operator writes to the store, as the product's revision.

The operator's whole table is one document. Its content is the rows' values by
key, and its number is the version of the newest change.
"""

from typing import Any

import structlog

from waxwingferry.platform import boot
from waxwingferry.platform import store
from waxwingferry.platform import values
from waxwingferry.process import platform
from waxwingferry.process.spreading import current_document
from waxwingferry.version import revision

TABLE = "op"
CONFIG_KEY = "op/config"
ROLLOUT_PREFIX = "op/rollout/"
OUT_PREFIX = "op/evacuate/"
# Part of the allowed second sends that is used: requests are counted by the
# nodes and by the platform in windows that differ.
BUDGET_SHARE = 0.7

log = structlog.get_logger()


class OperatorDocument(current_document.CurrentDocument):
    """The operator's table, read whole once and then by its changes.

    Args:
        table: The store.
        bounds: Figures of the platform's rules.
    """

    def __init__(self, table: store.StoreTable, bounds: boot.Bounds):
        super().__init__(self._parse)
        self.table = table
        self.bounds = bounds
        self.rows: dict[str, Any] = {}
        self.version = 0

    async def read(self) -> bool:
        """See process.current_document.CurrentDocument."""
        rows, version = await self.table.read_table(TABLE)
        return self._take_all(rows, version)

    def _take_all(self, rows: list[platform.Row], version: int) -> bool:
        self.rows = {
            row.key: _with_version(row) for row in rows if row.value is not None
        }
        self.version = max(self.version, version)
        number = max((row.version for row in rows), default=0)
        newest = self.revision
        if newest is not None and newest.content != self.rows:
            # A removed row leaves no version behind.
            number = version if number <= newest.number else number
        return self._offer(number)

    async def watch(self) -> None:
        """Waits for the next changes and puts them in force.

        Raises:
            platform.PlatformError: The store gave no usable answer.
        """
        if not self.version:
            await self.read()
            return
        try:
            rows, version = await self.table.read_changes(TABLE, self.version)
        except store.HistoryGoneError as error:
            log.warning("history gone, reading the table", error=str(error))
            await self.read()
            return
        for row in rows:
            if row.value is None:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = _with_version(row)
        self.version = max(self.version, version)
        if rows:
            self._offer(max(row.version for row in rows))

    def _offer(self, version: int) -> bool:
        if CONFIG_KEY not in self.rows:
            return False
        return self.apply_if_newer(version, dict(self.rows))

    def _parse(self, number: int, content: Any) -> revision.Revision:
        try:
            return _make_revision(number, content, self.bounds)
        except (KeyError, TypeError, ValueError) as error:
            raise revision.DocumentError(repr(error)) from error
        except values.ValueFormatError as error:
            raise revision.DocumentError(str(error)) from error


def _with_version(row: platform.Row) -> dict[str, Any]:
    return {"value": row.value, "version": row.version}


def _make_revision(
    number: int, content: dict[str, Any], bounds: boot.Bounds
) -> revision.Revision:
    config = content[CONFIG_KEY]["value"]
    rollouts = {}
    out = []
    for key, row in content.items():
        if key.startswith(ROLLOUT_PREFIX):
            order = _make_rollout(key, row)
            if order is not None:
                rollouts[order.service] = order
        elif key.startswith(OUT_PREFIX):
            out.append(key.removeprefix(OUT_PREFIX))
    limits = config.get("limits", {})
    return revision.Revision(
        number,
        content,
        [
            _make_route(host["authority"], item)
            for host in config["virtual-hosts"]
            for item in host["paths"]
        ],
        {item["name"]: _make_service(item) for item in config["services"]},
        frozenset(out),
        rollouts,
        revision.Budgets(
            retry_ratio=bounds.retry_ratio * BUDGET_SHARE,
            retry_slack=bounds.retry_slack * BUDGET_SHARE,
        ),
        revision.CallerLimits(
            head_bytes=limits.get("max-header-bytes"),
            body_bytes=limits.get("max-body-bytes"),
            head_s=_optional_time(limits.get("header-timeout")),
            idle_s=_optional_time(limits.get("idle-timeout")),
        ),
    )


def _make_rollout(
    key: str, row: dict[str, Any]
) -> revision.RolloutOrder | None:
    value = row["value"]
    try:
        return revision.RolloutOrder(
            value["service"],
            # In this row "target" is the new version.
            value["target"],
            values.parse_time(value["duration"]),
            row["version"],
        )
    except (KeyError, values.ValueFormatError) as error:
        log.error("version rollout not understood", key=key, error=repr(error))
        return None


def _make_route(host: str, item: dict[str, Any]) -> revision.Route:
    if "weighted-targets" in item:
        parts = tuple(
            revision.WeightedService(part["service"], float(part["weight"]))
            for part in item["weighted-targets"]
        )
    else:
        parts = (revision.WeightedService(item["service"]),)
    return revision.Route(
        name=item["name"],
        weighted_services=tuple(part for part in parts if part.weight > 0),
        path_prefix=item["prefix"],
        host=host.lower(),
        idempotent=item["route-type"] == "safe",
        deadline_s=values.parse_time(item["timeout"]),
        objective_s=values.parse_time(item["target-latency"]),
        max_attempts=int(item["max-attempts"]),
        priority=int(item.get("priority", 0)),
    )


def _make_service(item: dict[str, Any]) -> revision.Service:
    return revision.Service(
        item["name"],
        health_path=item.get("health-path", ""),
        warmup_rate_per_s=float(item.get("warmup-per-s", 0.0)),
        warmup_s=_optional_time(item.get("warmup")) or 0.0,
        max_connections=int(item.get("max-connections", 0)),
    )


def _optional_time(value: Any) -> float | None:
    return None if value is None else values.parse_time(value)
