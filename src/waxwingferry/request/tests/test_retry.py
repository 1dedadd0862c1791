"""Conditions, budgets and amplification of retries."""

import pytest

from waxwingferry.connection import http1
from waxwingferry.process.choice import routing
from waxwingferry.process.choice.tests import test_routing
from waxwingferry.request import call_context
from waxwingferry.request import calls
from waxwingferry.request import outcome
from waxwingferry.request import retry

_Reason = outcome.Reason
CALLS = 1000
RATIO = 0.1


def make_call(**changes) -> calls.Call:
    """Returns a call that may be retried."""
    values = {
        "call_id": "1",
        "service": "registry",
        "method": "GET",
        "request_target": "/",
        "headers": [],
        "body": calls.Body(b""),
        "deadline": calls.make_deadline(1.0),
        "member": "",
        "depth": 1,
        "idempotent": True,
    }
    return calls.Call(**{**values, **changes})


class Chain:
    """A chain of services, the last of which refuses all calls.

    Args:
        ratio: Retry ratio of each entry node.
        reason: Reason for the refusals of the last service.
    """

    def __init__(self, ratio: float, reason: outcome.Reason):
        self.reason = reason
        clock = test_routing.Clock()
        self.policies = [
            retry.RetryPolicy(lambda: ratio, clock)
            for _ in range(calls.MAX_DEPTH)
        ]
        self.leaf_attempts = 0

    def call(self, level: int, is_retry: bool) -> None:
        """Makes a call at one level, with the retries its policy allows."""
        policy = self.policies[level]
        call = make_call(is_retry=is_retry, depth=level + 1)
        policy.count_call(call)
        last = outcome.NotRun(self.reason)
        for number in range(1, retry.MAX_ATTEMPTS + 1):
            if number > 1 and policy.spend(call, last, True):
                return
            if level + 1 < calls.MAX_DEPTH:
                self.call(level + 1, is_retry or number > 1)
            else:
                self.leaf_attempts += 1
            if policy.check(call, last, number, 0.0):
                return


@pytest.mark.parametrize(
    "reason",
    [_Reason.CONNECTION_REFUSED, _Reason.QUEUE_FULL, _Reason.DISPLACED],
)
def test_retries_do_not_multiply_in_a_chain(reason) -> None:
    """Guards against a retry storm that keeps a service overloaded.

    Each of the 14 levels may add its ratio; the ratios must not multiply.
    """
    chain = Chain(RATIO, reason)
    for _ in range(CALLS):
        chain.call(0, False)
    assert chain.leaf_attempts <= CALLS * (1 + RATIO * calls.MAX_DEPTH)


def test_overload_leaves_half_of_the_budget() -> None:
    """Guards against overload using up the retries for failed targets."""
    policy = retry.RetryPolicy(lambda: RATIO, test_routing.Clock())
    call = make_call()
    for _ in range(100):
        policy.count_call(call)
    queue_full = outcome.NotRun(_Reason.QUEUE_FULL)
    leaving = outcome.NotRun(_Reason.LEAVING)
    assert policy.spend(call, queue_full, False) is retry.Denial.NO_ROOM
    denials = [policy.spend(call, queue_full, True) for _ in range(10)]
    assert denials.count(None) == 5
    denials = [policy.spend(call, leaving, False) for _ in range(10)]
    assert denials.count(None) == 5


def test_nested_call_may_spend_the_whole_budget_after_overload() -> None:
    """Guards against lost work of a request whose call can't come back."""
    policy = retry.RetryPolicy(lambda: RATIO, test_routing.Clock())
    external, nested = make_call(), make_call(depth=2)
    for _ in range(100):
        policy.count_call(external)
    refused = outcome.NotRun(_Reason.TARGET_REFUSED)
    denials = [policy.spend(external, refused, True) for _ in range(10)]
    assert denials.count(None) == 5
    denials = [policy.spend(nested, refused, True) for _ in range(10)]
    assert denials.count(None) == 5


def test_call_that_all_targets_refuse_alike_is_not_retried() -> None:
    """Guards against attempts at targets that refuse the call as well."""
    policy = retry.RetryPolicy(lambda: RATIO, test_routing.Clock())
    shed = outcome.NotRun(_Reason.LOAD_SHED)
    denial = policy.check(make_call(depth=2), shed, 1, 0.0)
    assert denial is retry.Denial.FINAL


def test_member_keeps_its_retries_while_another_floods() -> None:
    """Guards against one member using up all retries of a service."""
    policy = retry.RetryPolicy(lambda: RATIO, test_routing.Clock())
    leaving = outcome.NotRun(_Reason.LEAVING)
    flooding, other = make_call(member="m1"), make_call(member="m2")
    for _ in range(100):
        policy.count_call(flooding)
        policy.spend(flooding, leaving, True)
    for _ in range(10):
        policy.count_call(other)
    assert policy.spend(flooding, leaving, True) is retry.Denial.BUDGET
    assert policy.spend(other, leaving, True) is None


def test_number_of_budgets_is_bounded() -> None:
    """Guards against memory that grows with member names sent by callers."""
    policy = retry.RetryPolicy(lambda: RATIO, test_routing.Clock())
    for number in range(2 * retry.MAX_MEMBER_BUDGETS):
        policy.count_call(make_call(member=f"m{number}"))
    assert len(policy.members) <= retry.MAX_MEMBER_BUDGETS + 1


@pytest.mark.parametrize(
    ("changes", "last", "attempts", "denial"),
    [
        ({}, outcome.NotRun(_Reason.LEAVING), 1, None),
        ({}, outcome.NotRun(_Reason.LEAVING), 2, None),
        ({}, outcome.NotRun(_Reason.LEAVING), 3, retry.Denial.ATTEMPTS),
        ({}, outcome.NotRun(_Reason.QUEUE_FULL), 1, None),
        ({}, outcome.NotRun(_Reason.QUEUE_FULL), 2, retry.Denial.ATTEMPTS),
        ({}, outcome.NotRun(_Reason.DISPLACED), 2, retry.Denial.ATTEMPTS),
        ({}, outcome.NotRun(_Reason.KEY_MISMATCH), 1, retry.Denial.FINAL),
        ({}, outcome.Unknown(_Reason.CONNECTION_LOST), 1, None),
        (
            {"idempotent": False},
            outcome.Unknown(_Reason.CONNECTION_LOST),
            1,
            retry.Denial.NOT_IDEMPOTENT,
        ),
        (
            {"idempotent": False, "key": "k"},
            outcome.Unknown(_Reason.TIMEOUT),
            1,
            retry.Denial.NOT_IDEMPOTENT,
        ),
        ({"idempotent": False}, outcome.NotRun(_Reason.LEAVING), 1, None),
        (
            {"is_retry": True},
            outcome.NotRun(_Reason.LEAVING),
            1,
            retry.Denial.RETRIED_ABOVE,
        ),
        (
            {"deadline": calls.Deadline(0.0)},
            outcome.NotRun(_Reason.LEAVING),
            1,
            retry.Denial.NO_TIME,
        ),
    ],
)
def test_retry_needs_every_condition(changes, last, attempts, denial) -> None:
    """Guards against a second run of a call, and against useless retries."""
    policy = retry.RetryPolicy(lambda: RATIO, test_routing.Clock())
    call = make_call(**changes)
    assert policy.check(call, last, attempts, 0.0) is denial


def test_each_hop_leaves_less_time() -> None:
    """Guards against a nested call that exceeds its caller's deadline."""
    attempt = calls.make_attempt(make_call(), 1, "i")
    headers = calls.attempt_headers(attempt)
    left_ms = call_context.parse_context(headers).deadline_ms
    assert left_ms is not None
    assert left_ms <= 1000 - calls.RETURN_RESERVE_S * 1000


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (calls.DEPTH_HEADER, "-1"),
        (calls.DEPTH_HEADER, "1_0"),
        (calls.DEPTH_HEADER, "+1"),
        (calls.DEPTH_HEADER, "\u0661"),
        (calls.DEADLINE_HEADER, "-5"),
        (calls.DEADLINE_HEADER, "1e3"),
        (calls.DEADLINE_HEADER, "12345678901234567890"),
        (calls.RETRY_HEADER, "yes"),
    ],
)
def test_malformed_value_is_a_bad_request(name: str, value: str) -> None:
    """Guards against values that int() accepts, such as -1 for the depth."""
    with pytest.raises(http1.HttpError) as caught:
        call_context.parse_context([(name, value)])
    assert caught.value.status == 400


@pytest.mark.parametrize(
    "reason",
    [
        outcome.Reason.CONNECTION_LOST,
        outcome.Reason.CONNECTION_SILENT,
        outcome.Reason.NODE_SILENT,
        outcome.Reason.ANSWER_MISMATCH,
        outcome.Reason.STALE_ATTEMPT,
    ],
)
def test_lost_attempt_that_did_not_run(reason: outcome.Reason) -> None:
    """Guards against refusing a call that may be retried.

    The connection failed, and the node confirmed that the attempt did not
    run.
    """
    refusal = outcome.NotRun(reason)
    assert retry.classify(refusal) is retry.RefusalKind.UNAVAILABLE


@pytest.mark.parametrize(
    "reason",
    [outcome.Reason.CONNECTION_SILENT, outcome.Reason.STALE_ATTEMPT],
)
def test_silent_connection_does_not_count_against_target(
    reason: outcome.Reason,
) -> None:
    """Guards against routing away from a target behind a silent connection."""
    found = {retry.classify_for_routing(outcome.NotRun(reason))}
    found.add(retry.classify_for_routing(outcome.Unknown(reason)))
    assert found == {routing.Result.ABANDONED}
