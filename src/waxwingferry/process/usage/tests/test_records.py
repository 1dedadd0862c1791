"""Records of runs, and the answers that come from them."""

import pytest

from waxwingferry.process.tests import fakes
from waxwingferry.process.usage import local
from waxwingferry.process.usage import messages
from waxwingferry.process.usage import records
from waxwingferry.process.usage import windows


def test_runs_are_counted_between_two_ages():
    """Guards against runs counted in two windows, or after their removal."""
    clock = fakes.Clock()
    kept = records.Records(clock)
    handles = []
    for _ in range(10):
        handles.append(kept.record("a"))
        clock.now_s += 1
    assert handles[9] is not None
    kept.remove(handles[9])
    assert kept.count(10, 5) == {"a": 5}
    assert kept.count(5, 0) == {"a": 4}
    assert kept.count(100, 0) == {"a": 9}


def test_records_are_bounded_and_handles_stay_valid():
    """Guards against memory without a bound, and removal of another run."""
    clock = fakes.Clock()
    kept = records.Records(clock, max_records=100)
    first = kept.record("a")
    handles = [kept.record("a") for _ in range(1000)]
    assert len(kept.times_s) <= 100
    assert first is not None
    kept.remove(first)
    before = kept.count(10, -1)["a"]
    assert handles[-1] is not None
    kept.remove(handles[-1])
    assert kept.count(10, -1)["a"] == before - 1


def test_names_of_old_workspaces_are_removed():
    """Guards against a node that stops to count after many changes."""
    clock = fakes.Clock()
    kept = records.Records(clock)
    for number in range(windows.MAX_WORKSPACES):
        assert kept.record(f"old{number}") is not None
    assert kept.record("one too many") is None
    clock.now_s += records.RETENTION_S + 1
    assert kept.record("new") is not None
    assert kept.count(1, -1) == {"new": 1}
    assert kept.record("x" * (windows.MAX_NAME_CHARACTERS + 1)) is None


def test_a_hand_over_keeps_the_times_of_runs():
    """Guards against runs that move to another window with a hand-over."""
    clock, other_clock = fakes.Clock(), fakes.Clock(77.0)
    leaving = local.LocalUsage("n1", "i1", clock, clock)
    leaving.records.record("a")
    clock.now_s += 3
    leaving.records.record("a")
    clock.now_s += 1
    holder = local.LocalUsage("n2", "i2", other_clock, other_clock)
    holder.keep(
        messages.parse_hand_over(leaving.make_hand_over(), other_clock())
    )
    key = ("n1", "i1")
    assert holder.count_handed_over(72.9, 73.1, set()) == {key: {"a": 1}}
    assert holder.count_handed_over(72.9, 76.1, set()) == {key: {"a": 2}}
    assert holder.count_handed_over(72.9, 76.1, {key}) == {}
    other_clock.now_s += records.RETENTION_S + 1
    assert holder.count_handed_over(0, 99, set()) == {}


def test_the_holder_is_known_from_its_question():
    """Guards against a hand-over to a node that does not report."""
    usage = local.LocalUsage("n1", "i1", fakes.Clock(), lambda: 5.0)
    question = messages.Question(2000, 1000, "n7")
    target = messages.format_question(question)
    assert messages.is_usage_path(target)
    assert messages.parse_question(target) == question
    reply = usage.answer(question)
    assert usage.holder == "n7"
    decoded = {"wall_ms": 5000, "counts": {}, "incarnation": "i1"}
    assert messages.parse_reply(decoded) == reply


@pytest.mark.parametrize(
    "data",
    [
        None,
        {},
        {"wall_ms": 1, "counts": {"a": -1}},
        {"wall_ms": 1, "counts": {"a": 10**9 + 1}},
        {"wall_ms": 1, "counts": {"a": True}},
        {"wall_ms": 1, "counts": {"a" * 201: 1}},
        {"wall_ms": 1, "counts": {str(name): 1 for name in range(1001)}},
        {"wall_ms": 10**30, "counts": {}},
        {"wall_ms": 1, "counts": {}, "incarnation": 3},
    ],
)
def test_malformed_replies_are_refused(data):
    """Guards against reports that a faulty node spoils."""
    with pytest.raises(messages.MessageError):
        messages.parse_reply(data)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[" * 10_000,
        b'{"nodes": 1}',
        b'{"nodes": [{"node": "n", "incarnation": ""}]}',
        b'{"nodes": [{"node": "n", "incarnation": "i", "runs": [[1]]}]}',
        b'{"nodes": [{"node":"n","incarnation":"i","runs":[[-1,{}]]}]}',
        b'{"nodes": [{"node":"n","incarnation":"i","runs":[[1,[]]]}]}',
    ],
)
def test_malformed_hand_overs_are_refused(body):
    """Guards against a holder that ends by what another node sends."""
    with pytest.raises(messages.MessageError):
        messages.parse_hand_over(body, 0.0)


@pytest.mark.parametrize(
    "query",
    ["", "?from_age_ms=1", "?from_age_ms=1&to_age_ms=2", "?x", "?a=\u00b2"],
)
def test_malformed_questions_are_refused(query):
    """Guards against a question that is answered with a wrong span."""
    with pytest.raises(messages.MessageError):
        messages.parse_question("/usage" + query)
