"""Handles broken invariants and other unexpected errors of a node.

An error ends the request or the step of a background task in which it is
raised. If it makes a promise of the process untrue, the node drains and stops.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import math
import time
from typing import Any

import anyio
import structlog

from waxwingferry import invariants
from waxwingferry.process import metrics

# A task that fails at once each time it runs must not use much of a processor.
RESTART_DELAY_S = 1.0
# Tracebacks are long, and an error may recur with each request.
TRACEBACK_INTERVAL_S = 10.0
# Time for the requests in progress after a broken promise. Long answers would
# otherwise keep the process for any time.
DRAIN_LIMIT_S = 30.0
MAX_DETAIL_LENGTH = 200

log = structlog.get_logger()


class Breaches:
    """Records errors, and stops the node after a broken promise.

    Args:
        counters: Metrics of the node.
        request_stop: Requests a stop of the node that cuts off no request.
        clock: Monotonic time in seconds.

    Attributes:
        promise_broken: Whether a promise of the process may be untrue.
    """

    def __init__(
        self,
        counters: metrics.Metrics,
        request_stop: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.counters = counters
        self.request_stop = request_stop
        self.clock = clock
        self.promise_broken = False
        self.promise_breach = anyio.Event()
        self.traced_s: dict[str, float] = {}

    def record(self, error: BaseException) -> None:
        """Counts and logs an error; never raises one.

        The same error may be recorded by several callers.
        """
        for leaf in _iterate_leaves(error):
            if getattr(leaf, "was_recorded", False):
                continue
            breaks_promise = isinstance(leaf, invariants.BrokenPromiseError)
            try:
                leaf.was_recorded = True  # type: ignore[attr-defined]
                self._count_and_log(leaf, breaks_promise)
            except Exception as failure:
                # Neither the metrics nor the log may be usable.
                _log_failure(failure)
            if breaks_promise and not self.promise_broken:
                self.promise_broken = True
                try:
                    self.promise_breach.set()
                    self.request_stop()
                except Exception as failure:
                    _log_failure(failure)

    def _count_and_log(
        self, error: BaseException, breaks_promise: bool
    ) -> None:
        place = invariants.find_place(error)
        self.counters.events.inc({"event": "invariant_broken", "place": place})
        now_s = self.clock()
        is_due = now_s - self.traced_s.get(place, -math.inf) >= (
            TRACEBACK_INTERVAL_S
        )
        if is_due:
            self.traced_s[place] = now_s
        log.error(
            "invariant broken",
            place=place,
            error=repr(error)[:MAX_DETAIL_LENGTH],
            stops_node=breaks_promise,
            exc_info=error if is_due else None,
        )

    async def limit_drain(
        self, sleep: Callable[[float], Awaitable[None]] = anyio.sleep
    ) -> None:
        """Ends the process if it does not stop soon after a broken promise.

        Raises:
            invariants.BrokenPromiseError: The time is over.
        """
        await self.promise_breach.wait()
        await sleep(DRAIN_LIMIT_S)
        raise invariants.BrokenPromiseError("drain_limit")

    def supervise(
        self,
        task: Callable[[], Awaitable[None]],
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> Callable[[], Coroutine[Any, Any, None]]:
        """Returns a task that runs another again after it failed.

        It goes on after a broken promise as well, because the node announces
        its leave while it drains.
        """

        async def run() -> None:
            while True:
                try:
                    await task()
                    return
                except Exception as error:
                    self.record(error)
                await sleep(RESTART_DELAY_S)

        return run


def _iterate_leaves(error: BaseException) -> Iterator[BaseException]:
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for item in error.exceptions:
        yield from _iterate_leaves(item)


def _log_failure(failure: Exception) -> None:
    try:
        log.error("error not recorded", failure=type(failure).__name__)
    except Exception:
        return
