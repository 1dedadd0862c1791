"""Waits for changes that operators make to the document."""

from collections.abc import Awaitable
from collections.abc import Callable
import random

import anyio
import structlog

from waxwingferry.process import metrics
from waxwingferry.process import platform

# When all nodes start together, each writes its first row within this time.
FIRST_READ_DELAY_S = 4.0
RETRY_MIN_S = 0.3
RETRY_MAX_S = 2.0

log = structlog.get_logger()


class Watcher:
    """Watches the document while the node runs.

    Args:
        wait: Waits for the next change and activates it. Raises
            platform.PlatformError.
        read_members: Reads the rows of nodes that started together with this
            one, if they are still missing. Raises platform.PlatformError.
        resync: Reads data that is not covered by change notifications, such
            as members. Raises platform.PlatformError.
        counters: Metrics of the node.
        rng: Source of jitter.
    """

    def __init__(
        self,
        wait: Callable[[], Awaitable[None]],
        read_members: Callable[[], Awaitable[None]],
        resync: Callable[[], Awaitable[None]],
        counters: metrics.Metrics,
        rng: random.Random,
    ):
        self.wait = wait
        self.read_members = read_members
        self.resync = resync
        self.counters = counters
        self.rng = rng
        self.disconnected = False

    async def run(self) -> None:
        """Watches until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch)
            await anyio.sleep(FIRST_READ_DELAY_S)
            await self._read_or_log(self.read_members)

    async def _read_or_log(self, read: Callable[[], Awaitable[None]]) -> None:
        try:
            await read()
        except platform.PlatformError as error:
            log.warning("platform not read", error=str(error))

    async def _watch(self) -> None:
        delay_s = RETRY_MIN_S
        while True:
            try:
                await self.wait()
            except platform.PlatformError as error:
                self.counters.events.inc({"event": "watch_failed"})
                if not self.disconnected:
                    log.warning("platform lost", error=str(error))
                self.disconnected = True
                await anyio.sleep(delay_s * self.rng.uniform(0.5, 1.5))
                delay_s = min(delay_s * 2, RETRY_MAX_S)
                continue
            delay_s = RETRY_MIN_S
            if self.disconnected:
                self.disconnected = False
                log.info("platform regained")
                await self._read_or_log(self.resync)
