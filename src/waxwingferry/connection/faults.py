"""Reports of unexpected errors."""

from collections.abc import Callable

import structlog

OnFault = Callable[[Exception], None]

log = structlog.get_logger()


def log_fault(error: Exception) -> None:
    """Default for OnFault: logs the error."""
    log.error("unexpected error", exc_info=error)
