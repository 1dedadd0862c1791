"""Structured, rate-limited and non-blocking logs on standard output."""

import collections
from collections.abc import Callable
import json
import logging
import os
import sys
import time

import structlog

# A node at 100 requests per second writes about 120 lines per second; the rest
# is headroom for log lines about membership and routing decisions.
LINES_PER_S = 250.0
BURST_LINES = 500.0
# Buffer for a slow reader; lines beyond it are dropped and counted.
MAX_PENDING_BYTES = 256 * 1024


class BoundedOutput:
    """Writes lines without blocking, at a limited rate.

    Lines beyond the rate are dropped, as are those that find the buffer full
    because the reader is slow. The total of dropped lines is logged as soon as
    a line can be written again.

    Args:
        descriptor: File descriptor to write to.
        clock: Monotonic clock in seconds.

    Attributes:
        dropped: Number of lines dropped since the start.
    """

    def __init__(
        self, descriptor: int, clock: Callable[[], float] = time.monotonic
    ):
        self.descriptor = descriptor
        self.clock = clock
        self.pending: collections.deque[bytes] = collections.deque()
        self.pending_bytes = 0
        self.tokens = BURST_LINES
        self.refilled_s = clock()
        self.dropped = 0
        self.reported_drops = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Writes, buffers or drops a line."""
        if not self._take_token():
            self.dropped += 1
            self._flush()
            return
        if self.dropped > self.reported_drops:
            notice = {"event": "log lines dropped", "total": self.dropped}
            if self._enqueue(json.dumps(notice)):
                self.reported_drops = self.dropped
        if not self._enqueue(line):
            self.dropped += 1
        self._flush()

    def _take_token(self) -> bool:
        now_s = self.clock()
        refill = (now_s - self.refilled_s) * LINES_PER_S
        self.tokens = min(self.tokens + refill, BURST_LINES)
        self.refilled_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _enqueue(self, line: str) -> bool:
        data = line.encode("utf-8", "replace") + b"\n"
        if self.pending_bytes + len(data) > MAX_PENDING_BYTES:
            return False
        self.pending.append(data)
        self.pending_bytes += len(data)
        return True

    def _flush(self) -> None:
        while self.pending:
            data = self.pending[0]
            try:
                sent = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and the error can't be logged anywhere.
                self.dropped += len(self.pending)
                self.pending.clear()
                self.pending_bytes = 0
                return
            self.pending_bytes -= sent
            if sent < len(data):
                self.pending[0] = data[sent:]
                return
            self.pending.popleft()


class _Logger:
    """Logger that passes lines rendered by structlog to the output."""

    def __init__(self, output: BoundedOutput):
        self.msg = output.write
        self.debug = self.info = self.warning = output.write
        self.error = self.critical = self.exception = output.write
        self.fatal = self.failure = self.warn = self.log = output.write


def configure_logs(
    form: str = "json", level: str = "info", descriptor: int | None = None
) -> BoundedOutput:
    """Configures structlog for this process.

    Args:
        form: "json" or "console".
        level: Minimum level that is logged, such as "info".
        descriptor: File descriptor to write to; None for standard output.
    """
    min_level = logging.getLevelName(level.upper())
    if descriptor is None:
        descriptor = sys.stdout.fileno()
    output = BoundedOutput(descriptor)
    logger = _Logger(output)
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
        wrapper_class=structlog.make_filtering_bound_logger(min_level),
        logger_factory=lambda *_: logger,
    )
    return output
