"""Entry and receiver while the clock moves on between any two readings."""

import contextlib
import random
from typing import Any
from typing import cast

import anyio
import anyio.lowlevel
import hypothesis
from hypothesis import strategies
import pytest

from waxwingferry import boot_clock
from waxwingferry.connection import http1
from waxwingferry.process import metrics
from waxwingferry.process.choice import routing
from waxwingferry.process.spreading import members
from waxwingferry.process.tests import fakes
from waxwingferry.request import calls
from waxwingferry.request import entry
from waxwingferry.request import outcome
from waxwingferry.request.tests import test_entry_limits
from waxwingferry.request.tests import test_receive
from waxwingferry.version import revision

LEFT_S = (-1e9, -1.0, -1e-3, 0.0, 1e-3, 2e-3, 5e-3, 0.01, 1.0, 999_999.999)
PAUSES_S = (0.0, 1e-4, 1e-3, 4e-3, 0.011, 2.0, 3600.0)

SETTINGS = hypothesis.settings(
    max_examples=150, deadline=None, derandomize=True, database=None
)


class PausingClock:
    """Clock that moves on before each reading, as a paused process sees it."""

    def __init__(self, pauses_s: list[float]):
        self.now_s = 1000.0
        self.pauses_s = pauses_s
        self.readings = 0

    def __call__(self) -> float:
        """Returns the time."""
        self.now_s += self.pauses_s[self.readings % len(self.pauses_s)]
        self.readings += 1
        return self.now_s


@contextlib.contextmanager
def use_clock(clock: PausingClock):
    """Lets deadlines go by a clock."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(boot_clock, "read_s", clock)
        yield


CASES = strategies.lists(
    strategies.tuples(strategies.sampled_from(LEFT_S), strategies.booleans()),
    min_size=1,
    max_size=6,
)
PAUSES = strategies.lists(
    strategies.sampled_from(PAUSES_S), min_size=1, max_size=25
)


def make_attempt(name: str, left_s: float, is_nested: bool) -> calls.Attempt:
    """Returns an attempt for the target of test_receive."""
    urgency = calls.Urgency(calls.make_deadline(left_s / 2), 1)
    return calls.Attempt(
        name,
        "s",
        "GET",
        "/",
        [],
        calls.Body(b""),
        calls.make_deadline(left_s),
        "m",
        2 if is_nested else 1,
        "n1",
        urgency=urgency,
    )


@SETTINGS
@hypothesis.given(CASES, PAUSES)
def test_receiver_answers_or_refuses_at_any_pause(
    cases: list[tuple[float, bool]], pauses_s: list[float]
) -> None:
    """Guards against a deadline that passes between two readings.

    Each attempt is answered or refused as not run, and gives its slot back.
    """
    clock = PausingClock(pauses_s)
    results: list[outcome.Outcome] = []

    async def run_attempt(
        fixture: test_receive.ReceiverFixture, attempt: calls.Attempt
    ) -> None:
        async with fixture.receiver.execute(attempt) as result:
            results.append(result)

    async def run() -> None:
        fixture = test_receive.ReceiverFixture()
        receiver = fixture.receiver
        assert receiver.admission is not None
        receiver.admission.clock = clock
        receiver.admission.now.clock = clock
        async with anyio.create_task_group() as group:
            for number, (left_s, is_nested) in enumerate(cases):
                attempt = make_attempt(f"a{number}", left_s, is_nested)
                group.start_soon(run_attempt, fixture, attempt)
            await anyio.lowlevel.checkpoint()
            fixture.release.set()
        assert receiver.admission.in_flight == 0
        assert not receiver.admission.queue
        assert not receiver.running.parents

    with use_clock(clock):
        anyio.run(run)
    assert len(results) == len(cases)
    for result in results:
        assert isinstance(result, outcome.Answer) or (
            result == outcome.NotRun(outcome.Reason.DEADLINE_TOO_SHORT)
        )


class FakeForwarder:
    """Nodes that answer, or refuse the first attempts of a call."""

    def __init__(self, refusals: int):
        self.refusals = refusals

    @contextlib.asynccontextmanager
    async def execute(self, candidate, attempt):
        """See forward.Forwarder."""
        self.refusals -= 1
        if self.refusals >= 0:
            yield outcome.NotRun(outcome.Reason.QUEUE_FULL)
            return
        yield outcome.make_answer(http1.ResponseHead(200, []), b"")


@SETTINGS
@hypothesis.given(
    strategies.sampled_from(LEFT_S), PAUSES, strategies.integers(0, 3)
)
def test_entry_answers_or_refuses_at_any_pause(
    left_s: float, pauses_s: list[float], refusals: int
) -> None:
    """Guards against a call whose deadline passes between two readings."""
    clock = PausingClock(pauses_s)

    async def run() -> None:
        membership = members.Membership("entry", fakes.Clock())
        for number in range(4):
            membership.apply(fakes.make_row(number))
        document = revision.Revision(
            1, {}, [], {}, budgets=revision.Budgets(retry_ratio=0.5)
        )
        node = entry.EntryHandler(
            "entry",
            lambda: document,
            membership,
            routing.Router(random.Random(1), clock=clock),
            cast(Any, FakeForwarder(refusals)),
            cast(Any, None),
            metrics.Metrics(),
            random.Random(1),
        )
        node.retry_policy.now.clock = clock
        call = calls.Call(
            call_id="c1",
            service="desk",
            method="GET",
            request_target="/",
            headers=[],
            body=calls.Body(b""),
            deadline=calls.make_deadline(left_s),
            member="",
            depth=1,
            idempotent=True,
            caller_deadline=calls.make_deadline(left_s),
        )
        for _ in range(3):
            node.retry_policy.count_call(call)
        connection = test_entry_limits.FakeConnection()
        connection.is_head_request = lambda: False  # type: ignore[attr-defined]
        connection.supports_chunked = lambda: True  # type: ignore[attr-defined]
        await node._run_call(cast(Any, connection), call)
        assert connection.status in (200, 503)
        for candidate in membership.candidates.values():
            assert candidate.stats.in_flight == 0

    with use_clock(clock):
        anyio.run(run)
