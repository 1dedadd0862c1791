"""Tasks that outlive the request that started them."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import anyio.abc


class Background:
    """A group of tasks that lives as long as the process."""

    def __init__(self):
        self.group: anyio.abc.TaskGroup | None = None
        self.active = 0
        self.task_ended = anyio.Event()

    async def run(self) -> None:
        """Runs until cancelled; tasks can be started meanwhile."""
        async with anyio.create_task_group() as self.group:
            await anyio.sleep_forever()

    def start_soon(self, run: Callable[..., Awaitable], *args) -> None:
        """Starts a task that a cancelled request doesn't take along."""
        assert self.group is not None, "Background.run is not running"
        self.active += 1
        self.group.start_soon(self._run_one, run, args)

    async def _run_one(self, run: Callable[..., Awaitable], args) -> None:
        try:
            await run(*args)
        finally:
            self.active -= 1
            self.task_ended.set()

    async def drain(self, timeout_s: float) -> None:
        """Waits until all tasks have ended, at most timeout_s seconds."""
        with anyio.move_on_after(timeout_s):
            while self.active:
                self.task_ended = anyio.Event()
                await self.task_ended.wait()
