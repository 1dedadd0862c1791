"""Tests of the time after which refused callers are told to come back."""

from waxwingferry.process.protection import crash_suspects
from waxwingferry.request import answering
from waxwingferry.request import outcome

_QUEUE_FULL = outcome.NotRun(outcome.Reason.QUEUE_FULL)


def _choose(reason: outcome.Reason, left_s: float, draw: float) -> float:
    return answering.choose_retry_after_s(outcome.NotRun(reason), left_s, draw)


def test_returns_after_overload_are_spread_over_what_callers_wait():
    """Returns after one fixed time would form the next burst."""
    shortest_s = _choose(outcome.Reason.QUEUE_FULL, 3.0, 0.0)
    longest_s = _choose(outcome.Reason.QUEUE_FULL, 3.0, 1.0)
    assert shortest_s == answering.RETRY_AFTER_S
    assert longest_s == 3.0 * answering.MAX_RETRY_AFTER_SHARE
    middle_s = _choose(outcome.Reason.DEADLINE_TOO_SHORT, 3.0, 0.5)
    assert shortest_s < middle_s < longest_s


def test_caller_with_little_or_unknown_time_gets_the_default():
    """A wait must not be shorter than the default for lack of time."""
    for left_s in (0.0, 0.3):
        assert (
            _choose(outcome.Reason.QUEUE_FULL, left_s, 0.9)
            == answering.RETRY_AFTER_S
        )


def test_caller_comes_back_at_once_after_the_target_itself_refused():
    """Waiting for room is useless where the refusal wasn't for lack of it."""
    retry_after_s = _choose(outcome.Reason.TARGET_REFUSED, 3.0, 0.5)
    assert retry_after_s == answering.TARGET_REFUSED_RETRY_AFTER_S


def test_caller_of_a_quarantined_request_stays_away():
    """A request that ends targets must not come back within its caution."""
    retry_after_s = _choose(outcome.Reason.CRASHES_TARGETS, 3.0, 0.0)
    assert retry_after_s == crash_suspects.SUSPECT_LIFETIME_S
