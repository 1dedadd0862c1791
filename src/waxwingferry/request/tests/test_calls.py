"""Deadlines and urgency of calls."""

import pytest

from waxwingferry import boot_clock
from waxwingferry.connection import http1
from waxwingferry.request import calls


def test_a_deadline_passes_while_the_machine_is_suspended(monkeypatch) -> None:
    """Guards against running calls whose callers have timed out."""
    now_s = boot_clock.read_s()
    deadline = calls.make_deadline(1.0)
    assert 0 < deadline.remaining_s() <= 1.0
    monkeypatch.setattr(boot_clock, "read_s", lambda: now_s + 5)
    assert deadline.remaining_s() < 0


def make_call(**changes) -> calls.Call:
    """Returns a call with an objective of 400 ms."""
    values = {
        "call_id": "c1",
        "service": "desk",
        "method": "GET",
        "request_target": "/",
        "headers": [(calls.URGENCY_HEADER, "0,99999")],
        "body": calls.Body(b""),
        "deadline": calls.make_deadline(1.0),
        "member": "",
        "depth": 1,
        "idempotent": True,
        "urgency": calls.Urgency(calls.make_deadline(0.4), 2),
    }
    return calls.Call(**{**values, **changes})


def test_urgency_passes_to_the_next_node() -> None:
    """Guards against a lost objective, and one forged by a caller."""
    attempt = calls.make_attempt(make_call(), 1, "i")
    fields = http1.find_header(
        calls.attempt_headers(attempt), calls.URGENCY_HEADER
    )
    found = calls.parse_urgency(fields)
    assert found.priority == 2
    assert found.objective is not None
    assert 0.3 < found.objective.remaining_s() <= 0.4


def test_an_objective_that_has_passed_is_sent_as_none_left() -> None:
    """Guards against a negative number in the header field."""
    late = calls.Urgency(calls.make_deadline(-1.0), 0)
    attempt = calls.make_attempt(make_call(urgency=late), 1, "i")
    headers = calls.attempt_headers(attempt)
    assert http1.find_header(headers, calls.URGENCY_HEADER) == "0,0"


@pytest.mark.parametrize("text", ["1", "a,2", "1,-5", "1,2,3"])
def test_a_malformed_urgency_is_refused(text) -> None:
    """Guards against misreading a malformed header field."""
    with pytest.raises(http1.HttpError, match="must be PRIORITY,MS"):
        calls.parse_urgency(text)


def test_missing_urgency_means_default() -> None:
    """Guards against failing on nodes that don't send the field."""
    assert calls.parse_urgency("") == calls.Urgency()
