"""Structured logs on standard error."""

import logging
import sys

import structlog


def configure_logs(form: str = "json", level: str = "info") -> None:
    """Sets format and level of all logs of this process.

    Args:
        form: "json" or "console".
        level: Least level that is logged, such as "info".
    """
    least = logging.getLevelName(level.upper())
    renderer: structlog.types.Processor
    if form == "json":
        renderer = structlog.processors.JSONRenderer()
    else:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(least),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
