"""Converts the rows that the operator writes to the store to a revision.

The whole table "op" is one document. Its content maps keys to the values and
versions of rows, and its number is the version of the newest change.
"""

from collections.abc import Callable
import dataclasses
import math
import re
import time
from typing import Any

import anyio
import structlog

from waxwingferry.platform import parsing
from waxwingferry.platform import settings_file
from waxwingferry.platform import store
from waxwingferry.platform import tenants
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
# A poll of a probing node waits this long, and its response is due after it.
PROBE_WAIT_S = 1.0
PROBE_MARGIN_S = 0.6
# The polls of other nodes may be silent until they have timed out.
SILENCE_S = store.FEED_WAIT_S + store.FEED_TIMEOUT_MARGIN_S
_CONFIG_VERSION = re.compile(r"r([0-9]{1,18})")

log = structlog.get_logger()


@dataclasses.dataclass(slots=True, frozen=True)
class TableState:
    """Rows of the operator's table and the version that they stand for.

    Both are replaced together, and never by an older state. The version of the
    store orders states: it rises with each write, also over a restore.

    Attributes:
        rows: Values and versions of the rows by key; never changed in place.
        version: Newest version of the store that was read, None before the
            first read.
    """

    rows: dict[str, Any]
    version: int | None = None


class OperatorDocument(current_document.CurrentDocument):
    """Document in the operator's table, read in full once and then by changes.

    An open connection may go silent without a reset, and a long poll on it then
    looks like one without changes. Therefore the probing nodes poll for a short
    time only.

    Args:
        table: Client of the platform's store.
        bounds: Limits that the platform sets.
        clock: Monotonic time in seconds.

    Attributes:
        is_prober: Tells whether this is a probing node.
        on_silent: Called when a poll got no response and a second one, over a
            new connection, did.
        silence_found_s: Monotonic time of the latest such poll as a prober.
    """

    def __init__(
        self,
        table: store.StoreTable,
        bounds: settings_file.Bounds,
        clock: Callable[[], float] = time.monotonic,
    ):
        super().__init__(self._parse)
        self.table = table
        self.bounds = bounds
        self.clock = clock
        self.is_prober: Callable[[], bool] = lambda: False
        self.on_silent: Callable[[], None] = lambda: None
        self.silence_found_s = -math.inf
        self.state = TableState({})
        self.routes = RouteCache()
        self.reading = anyio.Lock()
        # Whether a poll failed since the last successful one.
        self.poll_failed = False
        # Made with the first poll, because it needs a running event loop.
        self.poll_scope: anyio.CancelScope | None = None
        # Whether the present poll is a long one.
        self.polls_long = False
        # Whether the newest poll was that of a probing node.
        self.probes = False
        # Whether an interrupted poll is followed by a read of the whole table.
        self.must_read = False

    @property
    def rows(self) -> dict[str, Any]:
        """Rows of the newest state that was read."""
        return self.state.rows

    @property
    def version(self) -> int | None:
        """Version of the newest state that was read, or None."""
        return self.state.version

    async def read(self) -> bool:
        """See process.current_document.CurrentDocument."""
        async with self.reading:
            return await self._read()

    async def _read(self) -> bool:
        rows, version = await self.table.read_snapshot(TABLE)
        return self._replace_rows(rows, version)

    def interrupt_poll(self) -> None:
        """Makes a poll that waits read the whole table instead."""
        self.must_read = True
        if self.poll_scope is not None:
            self.poll_scope.cancel()

    def start_probing_if_due(self) -> None:
        """Replaces a long poll if this node has become a prober meanwhile."""
        if self.polls_long and self.poll_scope is not None and self.is_prober():
            self.poll_scope.cancel()

    def others_may_be_silent(self) -> bool:
        """Tells whether polls of other nodes may wait on silent connections.

        Only a prober tells so: if each node announced the same change to all
        others, the datagrams would grow with the square of their number.
        """
        return self.clock() - self.silence_found_s < SILENCE_S

    async def read_missed_changes(self) -> None:
        """Reads changes that the waiting poll should have delivered.

        If there are any, the poll is replaced, as its connection went silent.

        Raises:
            platform.PlatformError: The store gave no usable response.
        """
        if self.version is None:
            return
        await self.table.drop_idle_connections()
        rows, version = await self.table.read_changes(TABLE, self.version, 0.0)
        if self._apply_changes(rows, version):
            self._record_silence()
            if self.poll_scope is not None:
                self.poll_scope.cancel()

    def _record_silence(self) -> None:
        log.warning("connection to the store was silent")
        self.on_silent()

    def apply_if_newer(self, number: int, content: Any) -> bool:
        """See process.current_document.CurrentDocument."""
        if platform.get_era(number) > platform.get_era(self.version or 0):
            # A peer knows of a restore. A poll from a version of before it may
            # wait for long without any response.
            self.table.learn_restores(platform.get_era(number))
            self.interrupt_poll()
        return super().apply_if_newer(number, content)

    def _replace_rows(self, rows: list[platform.Row], version: int) -> bool:
        """Replaces all rows unless a newer state was read meanwhile.

        Args:
            rows: All rows of the table.
            version: Version of the store that the rows stand for.

        Returns:
            Whether a newer document is in force.
        """
        if self.version is not None and version < self.version:
            log.info("read of the table was overtaken", version=version)
            return False
        content = {
            row.key: _make_content(row) for row in rows if row.value is not None
        }
        self.state = TableState(content, version)
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
        if self.poll_failed and self.table.era is None:
            # The store may be a copy, and nothing would state it.
            await self.read()
            self.poll_failed = False
            return
        known_version = self.version
        rows: list[platform.Row] = []
        version = known_version
        self.must_read = False
        self.poll_scope = scope = anyio.CancelScope()
        try:
            with scope:
                rows, version = await self._poll(known_version)
            if scope.cancelled_caught:
                if self.must_read:
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
        self._apply_changes(rows, version)

    async def _poll(self, known_version: int) -> tuple[list[platform.Row], int]:
        """Polls for changes, twice if the first poll gets no response."""
        if self.poll_failed:
            # The store may be a copy that has given the known version out
            # again; a poll from there would wait before it shows that.
            return await self.table.read_changes(TABLE, known_version, 0.0)
        wait_s, margin_s = store.FEED_WAIT_S, store.FEED_TIMEOUT_MARGIN_S
        is_prober = self.is_prober()
        if is_prober:
            wait_s, margin_s = PROBE_WAIT_S, PROBE_MARGIN_S
        if is_prober != self.probes:
            self.probes = is_prober
            log.info("probing of the store changed", probes=is_prober)
        self.polls_long = not is_prober
        try:
            return await self.table.read_changes(
                TABLE, known_version, wait_s, margin_s
            )
        except store.ResponseTimeoutError as error:
            log.info("poll got no response", error=str(error))
        finally:
            self.polls_long = False
        changes = await self.table.read_changes(
            TABLE, known_version, 0.0, store.FEED_TIMEOUT_MARGIN_S
        )
        self._record_silence()
        if is_prober:
            self.silence_found_s = self.clock()
        return changes

    def _apply_changes(self, rows: list[platform.Row], version: int) -> bool:
        """Applies changes unless a newer state of the table was read meanwhile.

        Args:
            rows: The rows that changed since an earlier version.
            version: Version of the store that the rows stand for.

        Returns:
            Whether a row was applied.
        """
        version = max([version, *(row.version for row in rows)])
        if self.version is not None and version <= self.version:
            return False
        content = dict(self.rows)
        for row in rows:
            if row.value is None:
                content.pop(row.key, None)
            else:
                content[row.key] = _make_content(row)
        self.state = TableState(content, version)
        if rows:
            self._apply_rows(max(row.version for row in rows))
        return bool(rows)

    def _apply_rows(self, version: int) -> bool:
        if CONFIG_KEY not in self.rows:
            return False
        return self.apply_if_newer(version, self.rows)

    def _parse(self, number: int, content: Any) -> revision.Revision:
        parsed = parse_document(number, content, self.bounds, self.routes)
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


def parse_document(
    number: int,
    content: dict[str, Any],
    bounds: settings_file.Bounds,
    routes: RouteCache,
) -> revision.Revision:
    """Returns the revision that rows of the operator describe.

    Args:
        number: Number of the revision.
        content: Values and versions of the rows by key.
        bounds: Bounds of the deployment.
        routes: Routes of the config before.

    Raises:
        revision.DocumentError: The rows are invalid.
    """
    try:
        return _make_revision(number, content, bounds, routes)
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
    workspaces, workspaces_by_digest = tenants.parse_tenants(config)
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
        workspaces,
        workspaces_by_digest,
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
        anonymous=tenants.parse_anonymous(path),
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
