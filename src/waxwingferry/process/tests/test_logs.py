"""Tests that logs are structured, rate-limited and non-blocking."""

import json
import os
import time

import pytest
import structlog

from waxwingferry.process import logs
from waxwingferry.process.tests import fakes


@pytest.fixture
def pipe():
    """Yields the read and write ends of a pipe."""
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


@pytest.fixture
def restore_structlog_config():
    """Restores the structlog configuration after a test."""
    config = structlog.get_config()
    yield
    structlog.configure(**config)


def test_lines_are_json_with_fields(pipe, restore_structlog_config):
    """Guards against log lines that can't be searched by request ID."""
    reader, writer = pipe
    logs.configure_logs(descriptor=writer)
    structlog.get_logger().info("request refused", request="9c41", status=503)
    line = json.loads(os.read(reader, 4096))
    assert (line["event"], line["request"]) == ("request refused", "9c41")


def test_stalled_reader_does_not_block_writes(pipe):
    """Guards against a node that blocks on a slow log collector."""
    reader, writer = pipe
    clock = fakes.Clock()
    output = logs.BoundedOutput(writer, clock)
    start_s = time.monotonic()
    for _ in range(5000):
        clock.now_s += 0.01
        output.write("x" * 1000)
    assert time.monotonic() - start_s < 5.0
    assert output.dropped > 0
    assert output.pending_bytes <= logs.MAX_PENDING_BYTES
    received = b""
    while len(received) < 200_000:
        received += os.read(reader, 65536)
        clock.now_s += 0.01
        output.write("y")
    assert b"log lines dropped" in received + os.read(reader, 65536) or any(
        b"log lines dropped" in data for data in output.pending
    )


def test_log_rate_is_limited(pipe):
    """Guards against a log volume that grows with the load."""
    _, writer = pipe
    clock = fakes.Clock()
    output = logs.BoundedOutput(writer, clock)
    for _ in range(2000):
        clock.now_s += 0.0005
        output.write("x")
    max_lines = logs.BURST_LINES + logs.LINES_PER_S
    assert 2000 - output.dropped <= max_lines + 1


def test_closed_pipe_drops_lines_without_error():
    """Guards against a node that crashes when its log collector exits."""
    reader, writer = os.pipe()
    output = logs.BoundedOutput(writer)
    os.close(reader)
    output.write("x")
    os.close(writer)
    assert output.dropped == 1
