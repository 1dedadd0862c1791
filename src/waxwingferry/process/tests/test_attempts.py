"""Fences and attempt states must hold whatever the order of arrival."""

import random

import pytest

from waxwingferry.process import attempts
from waxwingferry.request import outcome

NOT_RUN = attempts.Resolution.NOT_RUN


class Clock:
    """A clock that a test sets."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self) -> float:
        """Returns the time in seconds."""
        return self.now_s


def test_fence_refuses_a_late_arrival() -> None:
    """Guards against a run after the entry was told that there is none."""
    known = attempts.Attempts(Clock())
    assert known.resolve("a.1", 0) is NOT_RUN
    late = known.arrive("a.1", 0)
    assert late == outcome.NotRun(outcome.Reason.FENCED)


def test_frozen_node_refuses_what_outlived_its_fence() -> None:
    """Guards against a run after the fence was removed by its age."""
    clock = Clock()
    known = attempts.Attempts(clock)
    stamp_ms = known.now_ms()
    assert known.resolve("a.1", stamp_ms) is NOT_RUN
    clock.now_s += 10 * attempts.RETENTION_S
    late = known.arrive("a.1", stamp_ms)
    assert late == outcome.NotRun(outcome.Reason.STALE_ATTEMPT)
    assert not known.records


def test_finished_attempt_is_never_reported_as_not_run() -> None:
    """Guards against an untrue refusal after a record was removed."""
    clock = Clock()
    known = attempts.Attempts(clock, max_records=1)
    for name in ("a.1", "b.1"):
        record = known.arrive(name, known.now_ms())
        assert isinstance(record, attempts.Record)
        assert known.dispatch(record)
        known.finish(record)
    assert "a.1" not in known.records
    assert known.resolve("a.1", 0) is attempts.Resolution.UNKNOWN


def test_kept_answers_are_bounded_in_bytes() -> None:
    """Guards against memory that grows with the answers."""
    known = attempts.Attempts(Clock())
    body = b"x" * attempts.MAX_ANSWER_BYTES
    for number in range(300):
        record = known.arrive(f"{number}.1", known.now_ms())
        assert isinstance(record, attempts.Record)
        known.dispatch(record)
        known.finish(record, attempts.RetainedAnswer(200, [], body))
    assert known.retained_bytes <= attempts.MAX_RETAINED_BYTES
    first = known.resolve("0.1", 0)
    assert first is attempts.Resolution.FINISHED
    assert known.resolve("299.1", 0) is attempts.Resolution.ANSWER


@pytest.mark.parametrize("seed", range(20))
def test_any_order_of_arrival(seed: int) -> None:
    """Guards against orders in which a fence or a record is overtaken."""
    rng = random.Random(seed)
    clock = Clock()
    known = attempts.Attempts(clock, max_records=rng.choice((3, 30)))
    sent: dict[str, int] = {}
    unread: list[str] = []
    waiting: list[attempts.Record] = []
    running: list[attempts.Record] = []
    dispatched: set[str] = set()
    not_run: set[str] = set()
    for number in range(3000):
        clock.now_s += rng.choice((0.0, 0.001, 0.5, 0.5, 20.0, 200.0)) / 10
        match rng.randrange(6):
            case 0:
                sent[f"{number}.1"] = known.now_ms()
                unread.append(f"{number}.1")
            case 1 if unread:
                name = unread.pop(rng.randrange(len(unread)))
                found = known.arrive(name, sent[name])
                if isinstance(found, attempts.Record):
                    waiting.append(found)
            case 2 if waiting:
                record = waiting.pop(rng.randrange(len(waiting)))
                if known.dispatch(record):
                    assert record.attempt_id not in dispatched
                    dispatched.add(record.attempt_id)
                    running.append(record)
            case 3 if running:
                record = running.pop(rng.randrange(len(running)))
                known.finish(record)
            case 4 if waiting and rng.random() < 0.3:
                known.finish(waiting.pop(0))
            case 5 if sent:
                name = rng.choice(list(sent)[-40:])
                if known.resolve(name, sent[name]) is NOT_RUN:
                    not_run.add(name)
        assert not dispatched & not_run
        assert len(known.ended) <= known.max_records
