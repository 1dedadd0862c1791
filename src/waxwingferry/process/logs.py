"""Structured logs on standard error."""

import logging
import sys

import structlog

from waxwingferry.process import settings


def configure_logs(options: settings.LogSettings) -> None:
    """Sets format and level of all logs of this process."""
    level = logging.getLevelName(options.level.upper())
    renderer: structlog.types.Processor
    if options.format == "json":
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
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
