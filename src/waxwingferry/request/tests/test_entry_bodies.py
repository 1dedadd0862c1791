"""Outcomes that callers get if their request bodies are late or fail."""

import random
from typing import Any

import pytest

from waxwingferry.connection import http1
from waxwingferry.connection.tests import wire
from waxwingferry.process import metrics
from waxwingferry.request import calls
from waxwingferry.request import entry
from waxwingferry.version import document

POST = b"POST /s/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"


class FailingEntry(entry.EntryHandler):
    """An entry node whose calls fail while their bodies are forwarded.

    Attributes:
        error: The error raised.
        ran: Number of calls that would have been sent.
    """

    error = calls.BodyError("body", 400)
    ran = 0

    async def _run_attempts(
        self, connection: http1.ServerConnection, call: calls.Call
    ) -> None:
        self.ran += 1
        raise self.error


def make_entry() -> FailingEntry:
    """Returns an entry node with one route and no targets."""
    content = document.Document.model_validate(
        {
            "services": [
                {
                    "name": "s",
                    "routes": [
                        {
                            "path_prefix": "/s/",
                            "methods": ["POST"],
                            "idempotent": False,
                            "deadline_ms": 1000,
                        }
                    ],
                }
            ]
        }
    )
    revision = document.make_revision(1, content)
    unused: tuple[Any, Any, Any, Any] = (None, None, None, None)
    return FailingEntry(
        "n", lambda: revision, *unused, metrics.Metrics(), random.Random(1)
    )


async def handle(handler: FailingEntry, data: bytes) -> bytes:
    """Returns the bytes that the entry node sends for a request."""
    connection, stream = wire.make_server_connection(data)
    head = await connection.receive_head()
    assert head is not None
    await handler.handle(connection, head)
    return stream.sent


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("status", "reason"),
    [(413, b"body_too_large"), (408, b"bad_request"), (400, b"bad_request")],
)
async def test_body_that_fails_on_its_way_is_unknown(
    status: int, reason: bytes
) -> None:
    """Guards against "not-run" for a request that was partly sent."""
    handler = make_entry()
    handler.error = calls.BodyError("body", status)
    sent = await handle(handler, POST + b"\r\nab")
    assert sent.startswith(b"HTTP/1.1 %d" % status)
    assert b"x-waxwing-outcome: unknown\r\n" in sent
    assert b"x-waxwing-reason: " + reason in sent


@pytest.mark.anyio
async def test_deadline_used_up_by_the_body_is_not_run() -> None:
    """Guards against an unknown outcome for a call that was never sent."""
    handler = make_entry()
    sent = await handle(handler, POST + b"x-waxwing-deadline-ms: 0\r\n\r\nab")
    assert b"x-waxwing-outcome: not-run\r\n" in sent
    assert b"x-waxwing-reason: deadline_too_short" in sent
    assert handler.ran == 0
