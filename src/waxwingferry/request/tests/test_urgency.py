"""Which urgency the entry gives to new, returning and nested callers."""

import random
from typing import Any
from typing import cast

import pytest

from waxwingferry.connection import http1
from waxwingferry.process import metrics
from waxwingferry.request import call_context
from waxwingferry.request import calls
from waxwingferry.request import entry
from waxwingferry.request import running
from waxwingferry.request.tests import entry_calls
from waxwingferry.version import revision as revisions

pytestmark = pytest.mark.anyio

OBJECTIVE_S = 100.0
# The tests' own time, between making and reading a deadline, is far below it.
TOLERANCE_S = 10.0


class Protocol(call_context.CallerProtocol):
    """States a total wait, and a request ID in the field x-id."""

    def __init__(self, states_total_wait: bool):
        self.states_total_wait = states_total_wait

    def find_request_id(self, headers: http1.Headers) -> str:
        """See call_context.CallerProtocol."""
        return http1.find_header(headers, "x-id")


def make_entry(states_total_wait: bool = True) -> entry.EntryHandler:
    """Returns the entry of a node without targets, with one route."""
    route = revisions.Route(
        "all",
        (revisions.WeightedService("desk"),),
        "/",
        deadline_s=1000.0,
        objective_s=OBJECTIVE_S,
        priority=2,
    )
    revision = revisions.Revision(
        1, {}, [route], {"desk": revisions.Service("desk")}
    )
    nothing = cast(Any, None)
    return entry.EntryHandler(
        "n0",
        lambda: revision,
        nothing,
        nothing,
        nothing,
        nothing,
        metrics.Metrics(),
        random.Random(1),
        Protocol(states_total_wait),
    )


async def find_urgency(
    monkeypatch, node: entry.EntryHandler, left_s: int, request_id: str = ""
) -> calls.Urgency:
    """Returns the urgency of a request whose caller waits left_s seconds."""
    headers = [
        ("host", "a"),
        (calls.DEADLINE_HEADER, str(left_s * 1000)),
        ("x-id", request_id),
    ]
    head = http1.RequestHead("GET", "/", headers)
    (call,) = await entry_calls.take_calls(monkeypatch, node, None, head)
    return call.urgency


def is_near(urgency: calls.Urgency, left_s: float) -> bool:
    """Returns whether an objective is left_s seconds ahead."""
    assert urgency.objective is not None
    return abs(urgency.objective.remaining_s() - left_s) < TOLERANCE_S


async def test_objective_of_a_returning_caller_counts_from_its_first_try(
    monkeypatch,
) -> None:
    """Guards against late callers that take the place of new ones."""
    node = make_entry()
    assert is_near(await find_urgency(monkeypatch, node, 900), OBJECTIVE_S)
    # New callers state about 0.9 of the longest time, so it waited for 210 s.
    assert is_near(await find_urgency(monkeypatch, node, 600), -110.0)


async def test_callers_that_state_any_time_all_count_as_new(
    monkeypatch,
) -> None:
    """Guards against a penalty for callers that choose shorter times."""
    node = make_entry(states_total_wait=False)
    for left_s in (900, 600):
        urgency = await find_urgency(monkeypatch, node, left_s)
        assert is_near(urgency, OBJECTIVE_S)


async def test_nested_call_has_the_priority_of_its_parent(monkeypatch) -> None:
    """Guards against calls of urgent requests that wait behind others."""
    node = make_entry()
    await find_urgency(monkeypatch, node, 900)
    for priority in (1, 3):
        with node.running.track("r1", running.Parent(priority=priority)):
            urgency = await find_urgency(monkeypatch, node, 600, "r1.c1")
        assert urgency.priority == priority
        # Its time is that of its parent, not of a caller that waited.
        assert is_near(urgency, OBJECTIVE_S)
