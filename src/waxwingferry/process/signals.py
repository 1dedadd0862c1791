"""Signals that stop a process or make it reload its settings."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import signal

import anyio
import structlog

log = structlog.get_logger()

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

Signals = AsyncIterator[signal.Signals]


@contextlib.contextmanager
def receive_signals() -> Iterator[Signals]:
    """Receives signals to stop and to reload while the context is active.

    It must stay active until the last request has ended: without a receiver, a
    signal ends the process and all requests. Afterwards signals stay blocked,
    so that a process that has stopped exits with its own exit code.
    """
    with anyio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
        # A program may have blocked signals to start undisturbed.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        try:
            yield signals
        finally:
            signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


async def handle_signals(
    signals: Signals,
    stop_requested: anyio.Event,
    reload: Callable[[], None],
    on_stop: Callable[[], None] = lambda: None,
) -> None:
    """Handles signals until it is cancelled.

    Args:
        signals: The received signals.
        stop_requested: Set on SIGTERM or SIGINT; further ones change nothing.
        reload: Called on SIGHUP.
        on_stop: Called on SIGTERM or SIGINT, once for each.
    """
    async for number in signals:
        log.info(
            "signal received",
            signal=signal.Signals(number).name,
            stopping=stop_requested.is_set(),
        )
        if number == signal.SIGHUP:
            reload()
        else:
            stop_requested.set()
            on_stop()


def reject_reload() -> None:
    """Logs that the process reads its settings only when it starts."""
    log.warning("settings not reloaded; restart the process to apply them")
