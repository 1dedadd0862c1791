"""Membership: this node's row in the table, and the rows of the others."""

from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Any

import anyio
import structlog

from waxwingferry.process import platform
from waxwingferry.process import routing

PREFIX = "members/"
RENEW_INTERVAL_S = 60.0
READ_INTERVAL_S = 1.0

log = structlog.get_logger()


class Members:
    """The targets known to this node.

    Args:
        table: The platform's table.
        node: Name of this node.
        rng: Source of jitter.
    """

    def __init__(self, table: platform.Table, node: str, rng: random.Random):
        self.table = table
        self.node = node
        self.rng = rng
        self.own: dict[str, Any] | None = None
        self.own_changed = anyio.Event()
        self.candidates: dict[str, routing.Candidate] = {}
        self.by_service: dict[str, list[routing.Candidate]] = {}
        self.version = 0

    def announce(self, row: dict[str, Any]) -> None:
        """Sets this node's row; the writer task stores it."""
        self.own = row
        self.apply(self.node, row)
        self.own_changed.set()

    def apply(self, node: str, value: dict[str, Any] | None) -> None:
        """Takes the newest row of a node, or its removal."""
        old = self.candidates.get(node)
        if value is None:
            self.candidates.pop(node, None)
        else:
            new = routing.Candidate(node=node, **value)
            if old is not None and old.incarnation == new.incarnation:
                new.stats = old.stats
            self.candidates[node] = new
        self.by_service = {}
        for item in self.candidates.values():
            self.by_service.setdefault(item.service, []).append(item)

    async def run_writer(self) -> None:
        """Writes this node's row on change and before its lease ends."""
        while True:
            with anyio.move_on_after(RENEW_INTERVAL_S):
                await self.own_changed.wait()
            self.own_changed = anyio.Event()
            if self.own is not None:
                await self._write(self.own)

    async def _write(self, row: dict[str, Any]) -> None:
        write = platform.Write(PREFIX + self.node, row)
        delay_s = 0.1
        while True:
            try:
                await self.table.transact([write])
                return
            except platform.PlatformError as error:
                log.warning("member row not written", error=str(error))
            await anyio.sleep(delay_s * self.rng.uniform(0.5, 1.5))
            delay_s = min(delay_s * 2, 5.0)

    async def run_reader(self, extra: Callable[[], Awaitable[None]]) -> None:
        """Reads changed rows, and calls extra after each read."""
        while True:
            try:
                rows = await self.table.scan(PREFIX, self.version)
                for row in rows:
                    self.version = max(self.version, row.version)
                    name = row.key.removeprefix(PREFIX)
                    if name != self.node:
                        self.apply(name, row.value)
                await extra()
            except platform.PlatformError as error:
                log.warning("members not read", error=str(error))
            await anyio.sleep(READ_INTERVAL_S * self.rng.uniform(0.8, 1.2))
