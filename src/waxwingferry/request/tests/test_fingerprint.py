"""What of a request makes it the same when its caller repeats it."""

import dataclasses

import pytest

from waxwingferry.request import calls
from waxwingferry.request import fingerprint

BODY = bytes(range(256)) * 400
ATTEMPT = calls.Attempt(
    "a.1",
    "s",
    "PUT",
    "/path?query=1",
    [("host", "a.example"), ("x-request-id", "1")],
    calls.Body(BODY[:1000]),
    calls.make_deadline(60),
    "m",
    1,
    "n1",
)


def _compute(**changes) -> int:
    return fingerprint.compute_fingerprint(
        dataclasses.replace(ATTEMPT, **changes)
    )


def test_a_repeat_has_the_same_fingerprint() -> None:
    """Guards against repeats that no node recognizes."""
    repeat = _compute(
        attempt_id="b.2",
        headers=[("host", "a.example"), ("x-request-id", "2")],
        deadline=calls.make_deadline(1),
        incarnation="n2",
        depth=2,
    )
    assert repeat == _compute()


@pytest.mark.parametrize(
    "changes",
    [
        {"service": "t"},
        {"method": "GET"},
        {"headers": [("host", "b.example")]},
        {"request_target": "/path?query=2"},
        {"body": calls.Body(BODY[:999])},
        {"service": "sP", "method": "UT"},
    ],
)
def test_another_request_has_another_fingerprint(changes: dict) -> None:
    """Guards against refusals of requests that ended no target."""
    assert _compute(**changes) != _compute()


def test_the_arrival_of_a_large_body_does_not_matter() -> None:
    """Guards against large requests that no node recognizes.

    Of a large body, nodes buffer as many chunks as exceed a limit.
    """
    sizes = [calls.MAX_BUFFERED_BODY_BYTES + extra for extra in (1, 700)]
    first, second = (_compute(body=calls.Body(BODY[:size])) for size in sizes)
    assert first == second
