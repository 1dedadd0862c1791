"""Converts the rows that the operator writes to the store to a revision.

The whole table "op" is one document. Its content maps keys to the values and
versions of rows, and its number is the version of the newest change.
"""

import re
from typing import Any

import anyio
import structlog

from waxwingferry.platform import parsing
from waxwingferry.platform import settings_file
from waxwingferry.platform import store
from waxwingferry.process import platform
from waxwingferry.process.spreading import current_document
from waxwingferry.version import revision

TABLE = "op"
CONFIG_KEY = "op/config"
ROLLOUT_PREFIX = "op/rollout/"
EVACUATION_PREFIX = "op/evacuate/"
# Route types whose requests may run more than once.
IDEMPOTENT_ROUTE_TYPES = frozenset({"safe", "download"})
# Share of the allowed retries that is used, because the nodes and the platform
# count requests in different windows.
RETRY_BUDGET_SHARE = 0.7
_CONFIG_VERSION = re.compile(r"r([0-9]{1,18})")

log = structlog.get_logger()


class OperatorDocument(current_document.CurrentDocument):
    """Document in the operator's table, read in full once and then by changes.

    Args:
        table: Client of the platform's store.
        bounds: Limits that the platform sets.
    """

    def __init__(self, table: store.StoreTable, bounds: settings_file.Bounds):
        super().__init__(self._parse)
        self.table = table
        self.bounds = bounds
        self.rows: dict[str, Any] = {}
        self.routes = RouteCache()
        self.reading = anyio.Lock()
        # Newest version of the store that was read, None before the first read.
        self.version: int | None = None
        # Whether a poll failed since the last successful one.
        self.poll_failed = False
        # Made with the first poll, because it needs a running event loop.
        self.poll_scope: anyio.CancelScope | None = None

    async def read(self) -> bool:
        """See process.current_document.CurrentDocument."""
        async with self.reading:
            return await self._read()

    async def _read(self) -> bool:
        rows, version = await self.table.read_table(TABLE)
        return self._replace_rows(rows, version)

    def interrupt_poll(self) -> None:
        """Makes a poll that waits read the whole table instead."""
        if self.poll_scope is not None:
            self.poll_scope.cancel()

    def apply_if_newer(self, number: int, content: Any) -> bool:
        """See process.current_document.CurrentDocument."""
        if platform.get_era(number) > platform.get_era(self.version or 0):
            # A peer knows of a restore. A poll from a version of before it may
            # wait for long without any response.
            self.interrupt_poll()
        return super().apply_if_newer(number, content)

    def _replace_rows(self, rows: list[platform.Row], version: int) -> bool:
        self.rows = {
            row.key: _make_content(row) for row in rows if row.value is not None
        }
        self.version = max(self.version or 0, version)
        number = max((row.version for row in rows), default=0)
        current = self.revision
        if current is not None and current.content != self.rows:
            # A deleted row's version isn't in the table; use the store's.
            number = version if number <= current.number else number
        return self._apply_rows(number)

    async def watch(self) -> None:
        """Waits for the next changes and applies them.

        Raises:
            platform.PlatformError: The store gave no usable response.
        """
        if self.version is None:
            async with self.reading:
                # At the start another task may have read the table meanwhile.
                if self.version is None:
                    await self._read()
            return
        known_version = self.version
        # After a failed poll the store may be a copy that has given the known
        # version out again; a poll from there would wait before it shows that.
        wait_s = 0.0 if self.poll_failed else store.FEED_WAIT_S
        rows: list[platform.Row] = []
        version = known_version
        self.poll_scope = scope = anyio.CancelScope()
        try:
            with scope:
                rows, version = await self.table.read_changes(
                    TABLE, known_version, wait_s
                )
            if scope.cancelled_caught:
                await self.read()
                return
        except store.HistoryExpiredError as error:
            log.warning(
                "history expired; reading the whole table", error=str(error)
            )
            # Until the table was read, the store may be away and be restored.
            self.poll_failed = True
            await self.read()
            self.poll_failed = False
            if self.version == known_version:
                # Without an error the caller would poll again at once.
                raise
            return
        except platform.PlatformError:
            self.poll_failed = True
            raise
        self.poll_failed = False
        for row in rows:
            if row.value is None:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = _make_content(row)
        self.version = max(known_version, version)
        if rows:
            self._apply_rows(max(row.version for row in rows))

    def _apply_rows(self, version: int) -> bool:
        if CONFIG_KEY not in self.rows:
            return False
        return self.apply_if_newer(version, dict(self.rows))

    def _parse(self, number: int, content: Any) -> revision.Revision:
        try:
            parsed = _make_revision(number, content, self.bounds, self.routes)
        except (
            ArithmeticError,
            AttributeError,
            LookupError,
            RecursionError,
            TypeError,
            ValueError,
        ) as error:
            raise revision.DocumentError(repr(error)) from error
        except parsing.ValueFormatError as error:
            raise revision.DocumentError(str(error)) from error
        self._check_config_version(parsed)
        return parsed

    def _check_config_version(self, parsed: revision.Revision) -> None:
        """Checks that a restore of the store does not bring back a config.

        The copy may have an older one until the operator's rows are written
        again. Within an era the order of the store holds.

        Raises:
            revision.DocumentError: The config in force is newer.
        """
        current = self.revision
        if current is None or platform.get_era(
            current.number
        ) >= platform.get_era(parsed.number):
            return
        current_version = _parse_config_version(current)
        version = _parse_config_version(parsed)
        if version is None or current_version is None:
            return
        if version < current_version:
            raise revision.DocumentError(
                f"config r{version} of the restored store is older than "
                f"r{current_version} in force"
            )


def _parse_config_version(document: revision.Revision) -> int | None:
    """Returns the operator's number of a config, or None if it has none."""
    version = document.content[CONFIG_KEY]["value"].get("version")
    if not isinstance(version, str):
        return None
    found = _CONFIG_VERSION.fullmatch(version)
    return int(found[1]) if found else None


def _make_content(row: platform.Row) -> dict[str, Any]:
    return {"value": row.value, "version": row.version}


class RouteCache:
    """Routes of the newest config, reused while their settings are the same.

    A change of one route then costs the parsing of that route only.
    """

    def __init__(self):
        # By host, name and prefix: the settings of a route, and the route.
        self.routes: dict[
            tuple[str, str, str], tuple[dict[str, Any], revision.Route]
        ] = {}

    def make_routes(self, config: dict[str, Any]) -> list[revision.Route]:
        """Returns the routes of a config and keeps them for the next one."""
        kept: dict[
            tuple[str, str, str], tuple[dict[str, Any], revision.Route]
        ] = {}
        for virtual_host in config["virtual-hosts"]:
            host = virtual_host["authority"]
            for path in virtual_host["paths"]:
                key = (host, path["name"], path["prefix"])
                known = self.routes.get(key)
                if known is None or known[0] != path:
                    known = (path, _make_route(host, path))
                # Of equal prefixes the first one matches.
                kept.setdefault(key, known)
        self.routes = kept
        return [route for _, route in kept.values()]


def _make_revision(
    number: int,
    content: dict[str, Any],
    bounds: settings_file.Bounds,
    routes: RouteCache,
) -> revision.Revision:
    config = content[CONFIG_KEY]["value"]
    rollouts = {}
    evacuated_domains = []
    for key, row in content.items():
        if key.startswith(ROLLOUT_PREFIX):
            order = _make_rollout(key, row)
            if order is not None:
                rollouts[order.service] = order
        elif key.startswith(EVACUATION_PREFIX):
            evacuated_domains.append(key.removeprefix(EVACUATION_PREFIX))
    limits = config.get("limits", {})
    return revision.Revision(
        number,
        content,
        routes.make_routes(config),
        {item["name"]: _make_service(item) for item in config["services"]},
        frozenset(evacuated_domains),
        rollouts,
        revision.Budgets(
            retry_ratio=bounds.retry_ratio * RETRY_BUDGET_SHARE,
            retry_slack=bounds.retry_slack * RETRY_BUDGET_SHARE,
        ),
        revision.CallerLimits(
            head_bytes=limits.get("max-header-bytes"),
            body_bytes=limits.get("max-body-bytes"),
            head_s=_parse_optional_duration(limits.get("header-timeout")),
            idle_s=_parse_optional_duration(limits.get("idle-timeout")),
        ),
    )


def _make_rollout(
    key: str, row: dict[str, Any]
) -> revision.RolloutOrder | None:
    value = row["value"]
    try:
        return revision.RolloutOrder(
            parsing.parse_text(value["service"]),
            # In rollout orders, "target" is the new version.
            parsing.parse_text(value["target"]),
            parsing.parse_duration(value["duration"]),
            row["version"],
        )
    except (KeyError, parsing.ValueFormatError) as error:
        log.error("invalid version rollout order", key=key, error=repr(error))
        return None


def _make_route(host: str, path: dict[str, Any]) -> revision.Route:
    if "weighted-targets" in path:
        weighted_services = tuple(
            revision.WeightedService(share["service"], float(share["weight"]))
            for share in path["weighted-targets"]
        )
    else:
        weighted_services = (revision.WeightedService(path["service"]),)
    return revision.Route(
        name=path["name"],
        weighted_services=tuple(
            share for share in weighted_services if share.weight > 0
        ),
        path_prefix=path["prefix"],
        host=host.lower(),
        idempotent=path["route-type"] in IDEMPOTENT_ROUTE_TYPES,
        deadline_s=parsing.parse_duration(path["timeout"]),
        objective_s=parsing.parse_duration(path["target-latency"]),
        max_attempts=int(path["max-attempts"]),
        priority=int(path.get("priority", 0)),
    )


def _make_service(item: dict[str, Any]) -> revision.Service:
    return revision.Service(
        item["name"],
        health_path=item.get("health-path", ""),
        warmup_rate_per_s=float(item.get("warmup-per-s", 0.0)),
        warmup_s=_parse_optional_duration(item.get("warmup")) or 0.0,
        max_connections=int(item.get("max-connections", 0)),
    )


def _parse_optional_duration(value: Any) -> float | None:
    return None if value is None else parsing.parse_duration(value)
