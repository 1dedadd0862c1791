"""Tests fences and attempt states under any order of events."""

import random

import pytest

from waxwingferry.process import attempts
from waxwingferry.request import outcome

NOT_RUN = attempts.Resolution.NOT_RUN


class Clock:
    """Clock that is set by a test."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self) -> float:
        """Returns the time in seconds."""
        return self.now_s


def test_fence_refuses_a_late_arrival() -> None:
    """Guards against running an attempt after it was reported as not run."""
    node_attempts = attempts.Attempts(Clock())
    assert node_attempts.resolve("a.1", 0) is NOT_RUN
    late = node_attempts.register("a.1", 0)
    assert late == outcome.NotRun(outcome.Reason.FENCED)


def test_attempt_is_refused_after_its_fence_expired() -> None:
    """Guards against running an attempt after its fence was evicted by age.

    This happens if the node is suspended while the attempt is in a socket
    buffer.
    """
    clock = Clock()
    node_attempts = attempts.Attempts(clock)
    node_time_ms = node_attempts.now_ms()
    assert node_attempts.resolve("a.1", node_time_ms) is NOT_RUN
    clock.now_s += 10 * attempts.RETENTION_S
    late = node_attempts.register("a.1", node_time_ms)
    assert late == outcome.NotRun(outcome.Reason.STALE_ATTEMPT)
    assert not node_attempts.records


def test_finished_attempt_is_never_reported_as_not_run() -> None:
    """Guards against a wrong NOT_RUN after a record was evicted."""
    clock = Clock()
    node_attempts = attempts.Attempts(clock, max_records=1)
    for name in ("a.1", "b.1"):
        record = node_attempts.register(name, node_attempts.now_ms())
        assert isinstance(record, attempts.Record)
        assert node_attempts.dispatch(record)
        node_attempts.finish(record)
    assert "a.1" not in node_attempts.records
    assert node_attempts.resolve("a.1", 0) is attempts.Resolution.UNKNOWN


def test_retained_answers_are_bounded_in_bytes() -> None:
    """Guards against unbounded memory for retained answers."""
    node_attempts = attempts.Attempts(Clock())
    body = b"x" * attempts.MAX_ANSWER_BYTES
    for number in range(300):
        record = node_attempts.register(f"{number}.1", node_attempts.now_ms())
        assert isinstance(record, attempts.Record)
        node_attempts.dispatch(record)
        node_attempts.finish(record, attempts.RetainedAnswer(200, [], body))
    assert node_attempts.retained_bytes <= attempts.MAX_RETAINED_BYTES
    first = node_attempts.resolve("0.1", 0)
    assert first is attempts.Resolution.FINISHED
    assert node_attempts.resolve("299.1", 0) is attempts.Resolution.ANSWER


@pytest.mark.parametrize("seed", range(20))
def test_any_order_of_arrival(seed: int) -> None:
    """Guards against event orders in which an attempt runs despite NOT_RUN."""
    rng = random.Random(seed)
    clock = Clock()
    node_attempts = attempts.Attempts(clock, max_records=rng.choice((3, 30)))
    sent: dict[str, int] = {}
    undelivered: list[str] = []
    queued: list[attempts.Record] = []
    running: list[attempts.Record] = []
    dispatched: set[str] = set()
    not_run: set[str] = set()
    for number in range(3000):
        clock.now_s += rng.choice((0.0, 0.001, 0.5, 0.5, 20.0, 200.0)) / 10
        match rng.randrange(6):
            case 0:
                sent[f"{number}.1"] = node_attempts.now_ms()
                undelivered.append(f"{number}.1")
            case 1 if undelivered:
                name = undelivered.pop(rng.randrange(len(undelivered)))
                result = node_attempts.register(name, sent[name])
                if isinstance(result, attempts.Record):
                    queued.append(result)
            case 2 if queued:
                record = queued.pop(rng.randrange(len(queued)))
                if node_attempts.dispatch(record):
                    assert record.attempt_id not in dispatched
                    dispatched.add(record.attempt_id)
                    running.append(record)
            case 3 if running:
                record = running.pop(rng.randrange(len(running)))
                node_attempts.finish(record)
            case 4 if queued and rng.random() < 0.3:
                node_attempts.finish(queued.pop(0))
            case 5 if sent:
                name = rng.choice(list(sent)[-40:])
                if node_attempts.resolve(name, sent[name]) is NOT_RUN:
                    not_run.add(name)
        assert not dispatched & not_run
        assert len(node_attempts.ended_records) <= node_attempts.max_records
