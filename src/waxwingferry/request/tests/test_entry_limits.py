"""The entry node refuses calls above its limit and malformed ones."""

import random
from typing import Any
from typing import cast

import pytest
import structlog.testing

from waxwingferry.connection import http1
from waxwingferry.process import metrics
from waxwingferry.process.choice import budget
from waxwingferry.process.spreading import members
from waxwingferry.process.tests import fakes
from waxwingferry.request import calls
from waxwingferry.request import entry
from waxwingferry.request.tests import entry_calls
from waxwingferry.version import document
from waxwingferry.version import revision as revisions


class FakeConnection:
    """Records the answer."""

    def __init__(self):
        self.status = 0
        self.headers: http1.Headers = []
        self.answer_bytes = 0

    async def send_head(self, status, headers, body=None) -> None:
        """Records an answer."""
        self.status = status
        self.headers = headers
        self.answer_bytes = len(body or b"")


async def ask(in_flight: int, headers: http1.Headers) -> tuple[int, str]:
    """Returns the status and reason that a node without a document sends."""
    nothing = cast(Any, None)
    node = entry.EntryHandler(
        "n0",
        lambda: None,
        nothing,
        nothing,
        nothing,
        nothing,
        metrics.Metrics(),
        random.Random(1),
        max_in_flight=10,
    )
    node.in_flight = in_flight
    connection = FakeConnection()
    head = http1.RequestHead("GET", "/", headers)
    await node.handle(cast(Any, connection), head)
    assert node.in_flight == in_flight
    return connection.status, http1.find_header(
        connection.headers, "x-waxwing-reason"
    )


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("in_flight", "headers", "expected"),
    [
        (7, [], (503, "no_document")),
        (8, [], (503, "entry_full")),
        (8, [(calls.DEPTH_HEADER, "3")], (503, "no_document")),
        (10, [(calls.DEPTH_HEADER, "3")], (503, "entry_full")),
        (0, [(calls.DEPTH_HEADER, "-1")], (400, "bad_request")),
        (0, [(calls.DEADLINE_HEADER, "soon")], (400, "bad_request")),
    ],
)
async def test_entry_limits_calls_in_flight(
    in_flight, headers, expected
) -> None:
    """Guards against unlimited calls, and nested ones crowded out by others."""
    assert await ask(in_flight, headers) == expected


@pytest.mark.anyio
async def test_a_refusal_without_a_call_names_its_request() -> None:
    """Guards against refusals that no record of a client can be matched to."""
    with structlog.testing.capture_logs() as logs:
        await ask(0, [("host", "a.example")])
    (line,) = logs
    assert line["reason"] == "no_document"
    assert (line["host"], line["path"], line["revision"]) == (
        "a.example",
        "/",
        0,
    )


# Requests that came during a planned stop were passed on or queued, and
# cut off when the process was killed.
@pytest.mark.anyio
@pytest.mark.parametrize(
    ("draining", "deadline_ms", "expected"),
    [
        (False, "900", "own deadline"),
        (False, "1500", "end of the process"),
        (True, "900", "own deadline"),
        (True, "1500", "leaving"),
    ],
)
async def test_a_stopping_node_takes_only_calls_that_end_before_it(
    monkeypatch, draining, deadline_ms, expected
) -> None:
    """Guards against calls cut off by the end of the process."""
    nothing = cast(Any, None)
    revision = document.make_revision(
        1,
        document.Document(
            services=(
                document.Service(
                    name="s", routes=(document.Route(path_prefix="/"),)
                ),
            )
        ),
    )
    node = entry.EntryHandler(
        "n0",
        lambda: revision,
        nothing,
        nothing,
        nothing,
        nothing,
        metrics.Metrics(),
        random.Random(1),
    )
    monkeypatch.setattr(node.retry_policy, "count_call", lambda call: None)
    node.cutoff.move(calls.make_deadline(1.0).at_s)
    node.draining = draining
    connection = FakeConnection()
    headers = [("host", "a"), (calls.DEADLINE_HEADER, deadline_ms)]
    head = http1.RequestHead("GET", "/", headers)
    taken = await entry_calls.take_calls(monkeypatch, node, connection, head)
    found = http1.find_header(connection.headers, "x-waxwing-reason")
    for call in taken:
        assert call.deadline.remaining_s() <= 1.0
        is_capped = call.deadline.is_cut_off()
        found = "end of the process" if is_capped else "own deadline"
    assert found == expected


# All nodes were killed within one window, and each process had its whole share.
def test_a_new_process_gets_a_part_of_the_retry_slack_of_the_node() -> None:
    """Guards against twice the retry slack over a restart (BUDGET)."""
    nothing = cast(Any, None)
    clock = fakes.Clock()
    slack = 35.0
    membership = members.Membership("n0", clock)
    membership.apply_all(fakes.make_row(number) for number in range(1, 5))
    node = entry.EntryHandler(
        "n0",
        lambda: revisions.Revision(
            1, {}, [], {}, budgets=revisions.Budgets(retry_slack=slack)
        ),
        membership,
        nothing,
        nothing,
        nothing,
        metrics.Metrics(),
        random.Random(1),
        clock=clock,
    )
    whole = slack / 5
    # The document states 0.7 of what the platform allows.
    assert whole + node._retry_slack() <= whole / 0.7
    clock.now_s += budget.WINDOW_S
    assert node._retry_slack() == whole
