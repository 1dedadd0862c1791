"""Background tasks that outlive the request that started them."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import anyio.abc

from waxwingferry.connection import faults
from waxwingferry.connection import http1


class StoppedError(http1.ConnectionLostError):
    """The process is stopping and accepts no new tasks."""


class Background:
    """A task group with the lifetime of the process.

    Args:
        on_fault: Called with each unexpected error. It ends the task in which
            it is raised, and no other.
    """

    def __init__(self, on_fault: faults.OnFault = faults.log_fault):
        self.on_fault = on_fault
        self.group: anyio.abc.TaskGroup | None = None
        self.active_count = 0
        self.task_ended = anyio.Event()

    async def run(self) -> None:
        """Runs until cancelled; tasks can be started while it runs."""
        try:
            async with anyio.create_task_group() as self.group:
                await anyio.sleep_forever()
        finally:
            self.group = None

    def start_soon(self, function: Callable[..., Awaitable], *args) -> None:
        """Starts a task that is not cancelled with the current request.

        Raises:
            StoppedError: The process is stopping.
        """
        if self.group is None or self.group.cancel_scope.cancel_called:
            raise StoppedError("the process is stopping")
        self.active_count += 1
        self.group.start_soon(self._run_task, function, args)

    async def _run_task(self, function: Callable[..., Awaitable], args) -> None:
        try:
            await function(*args)
        except Exception as error:
            self.on_fault(error)
        finally:
            self.active_count -= 1
            self.task_ended.set()

    async def drain(self, timeout_s: float) -> None:
        """Waits until all tasks have ended, for at most timeout_s."""
        with anyio.move_on_after(timeout_s):
            while self.active_count:
                self.task_ended = anyio.Event()
                await self.task_ended.wait()
