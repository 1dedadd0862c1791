"""Admission at the target's node when its target or node changes state."""

import contextlib

import anyio
import anyio.lowlevel
import msgspec
import pytest
import structlog

from waxwingferry.connection import http1
from waxwingferry.process import metrics
from waxwingferry.process import target
from waxwingferry.process.protection import load_shedding
from waxwingferry.request import calls
from waxwingferry.request import fingerprint
from waxwingferry.request import outcome
from waxwingferry.request import receive
from waxwingferry.version import document

READY = target.Announcement(
    service="s",
    version="v1",
    slots=2,
    host="127.0.0.1",
    port=1,
    incarnation="i1",
)
DOCUMENT = document.make_revision(
    1,
    document.Document(
        services=(
            document.Service(
                name="s",
                member_weights={"big": 3.0},
                routes=(document.Route(path_prefix="/"),),
            ),
        )
    ),
)


class ReceiverFixture:
    """A receiver whose target answers when release is set."""

    def __init__(self):
        self.counters = metrics.Metrics()
        self.receiver = receive.Receiver(
            "n1", lambda: False, lambda: DOCUMENT, self.counters
        )
        self.release = anyio.Event()
        self.sent: list[str] = []
        self.announce()

    def announce(self, **changes) -> None:
        """Announces the target with the given fields changed."""
        self.receiver.apply_announcement(
            msgspec.structs.replace(READY, **changes)
        )
        assert self.receiver.link is not None
        self.receiver.link.execute = self.send  # type: ignore

    @contextlib.asynccontextmanager
    async def send(self, attempt: calls.Attempt):
        """Replaces TargetClient.execute."""
        self.sent.append(attempt.attempt_id)
        await self.release.wait()

        async def receive_chunk() -> bytes | None:
            return None

        yield outcome.Answer(http1.ResponseHead(200, []), receive_chunk)

    async def run(self, name: str, results: dict, depth: int = 1) -> None:
        """Runs one attempt and records its outcome."""
        attempt = calls.Attempt(
            name,
            "s",
            "GET",
            "/",
            [],
            calls.Body(b""),
            calls.make_deadline(60),
            "m",
            depth,
            "n1",
        )
        async with self.receiver.execute(attempt) as result:
            results[name] = getattr(result, "reason", "answered")


@pytest.mark.anyio
async def test_leaving_node_accepts_work_until_it_is_closed() -> None:
    """Guards against refusals before other nodes know that this one leaves."""
    fixture = ReceiverFixture()
    fixture.release.set()
    results: dict = {}
    fixture.receiver.leaving = True
    await fixture.run("a", results)
    fixture.receiver.close()
    await fixture.run("b", results)
    assert results == {"a": "answered", "b": outcome.Reason.LEAVING}
    assert fixture.sent == ["a"]


@pytest.mark.anyio
async def test_draining_target_gets_no_queued_work() -> None:
    """Guards against sending queued work to a target that may stop any time."""
    fixture = ReceiverFixture()
    results: dict = {}
    async with anyio.create_task_group() as group:
        group.start_soon(fixture.run, "a", results)
        await anyio.wait_all_tasks_blocked()
        group.start_soon(fixture.run, "b", results)
        await anyio.wait_all_tasks_blocked()
        fixture.announce(state="draining")
        await anyio.wait_all_tasks_blocked()
        assert results == {"b": outcome.Reason.LEAVING}
        fixture.release.set()
    assert results["a"] == "answered"
    assert fixture.sent == ["a"]
    refused = fixture.counters.receive_refusals
    assert refused.get({"kind": "not_run", "reason": "leaving"}) == 1


# A target that stated its leave in answers was sent further requests.
@pytest.mark.anyio
async def test_a_target_that_states_its_leave_gets_no_more_requests() -> None:
    """Guards against waiting for the announcement of a target that leaves."""
    fixture = ReceiverFixture()
    published: list[str] = []
    receiver = fixture.receiver
    receiver.on_leaving = lambda: published.append(receiver.format_load())
    results: dict = {}
    async with anyio.create_task_group() as group:
        group.start_soon(fixture.run, "a", results)
        await anyio.wait_all_tasks_blocked()
        group.start_soon(fixture.run, "b", results)
        await anyio.wait_all_tasks_blocked()
        receiver.record_statement("i1", target.Statement(leaving=True))
        # A later announcement or answer does not take the statement back.
        fixture.announce(state="ready")
        receiver.record_statement("i1", target.Statement())
        await fixture.run("c", results)
        fixture.release.set()
    assert results == {
        "a": "answered",
        "b": outcome.Reason.LEAVING,
        "c": outcome.Reason.LEAVING,
    }
    assert published == ["in_flight=1,queue=0,limit=1,slow=100,leaving=i1"]
    fixture.announce(incarnation="i2")
    await fixture.run("d", results)
    assert results["d"] == "answered"


@pytest.mark.anyio
async def test_slot_granted_before_a_restart_is_not_used_after_it() -> None:
    """Guards against a burst to a cold target that replaced another one."""
    fixture = ReceiverFixture()
    state = fixture.receiver.admission
    assert state is not None
    state.limit.value = 2
    results: dict = {}
    async with anyio.create_task_group() as group:
        for name in ("a", "b", "c", "d"):
            group.start_soon(fixture.run, name, results)
        await anyio.wait_all_tasks_blocked()
        assert fixture.sent == ["a", "b"]
        # Both slots are granted to waiting attempts, and the target is
        # replaced before these resume.
        fixture.release.set()
        fixture.release = anyio.Event()
        await anyio.lowlevel.checkpoint()
        fixture.announce(incarnation="i2")
        await anyio.wait_all_tasks_blocked()
        assert state.limit.value == 1
        assert len(fixture.sent) <= 3
        fixture.release.set()
    assert results["c"] == results["d"] == "answered"


@pytest.mark.anyio
async def test_requests_of_one_end_do_not_run_together() -> None:
    """Guards against innocent requests at each end of a deadly one.

    Retries would take all requests of the first end to the same target.
    """
    fixture = ReceiverFixture()
    assert fixture.receiver.admission is not None
    fixture.receiver.admission.limit.value = 2
    attempts = {
        name: calls.Attempt(
            name,
            "s",
            "GET",
            f"/{name}",
            [],
            calls.Body(b""),
            calls.make_deadline(60),
            "m",
            1,
            "n1",
        )
        for name in ("a", "b", "other", "c")
    }
    attempts["c"].reroutable = True
    results: dict[str, str] = {}

    async def run(name: str) -> None:
        async with fixture.receiver.execute(attempts[name]) as result:
            results[name] = getattr(result, "reason", "answered")
            if isinstance(result, outcome.Answer):
                assert await result.receive_chunk() is None

    suspects = fixture.receiver.suspects
    fingerprints = {
        name: fingerprint.compute_fingerprint(attempt)
        for name, attempt in attempts.items()
    }
    suspects.record_end(1, [fingerprints[name] for name in "abc"])
    async with anyio.create_task_group() as group:
        for name in attempts:
            group.start_soon(run, name)
        with anyio.fail_after(5):
            while len(fixture.sent) < 2:
                await anyio.lowlevel.checkpoint()
        await anyio.sleep(0.01)
        assert sorted(fixture.sent) == ["a", "other"]
        fixture.release.set()
    assert results == {
        "a": "answered",
        "b": "answered",
        "c": outcome.Reason.BUSY,
        "other": "answered",
    }
    assert not suspects.find_blamed_ends(fingerprints["b"])


@pytest.mark.anyio
async def test_requests_of_one_end_are_not_held_until_their_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a target that gets a request too late to answer it."""
    fixture = ReceiverFixture()
    assert fixture.receiver.admission is not None
    fixture.receiver.admission.limit.value = 2
    monkeypatch.setattr(receive, "MAX_SEPARATION_S", 2.0)
    deadline_s = 1.0
    attempts = [
        calls.Attempt(
            name,
            "s",
            "GET",
            f"/{name}",
            [],
            calls.Body(b""),
            calls.make_deadline(left_s),
            "m",
            1,
            "n1",
        )
        for name, left_s in (("a", 60), ("b", deadline_s))
    ]
    fixture.receiver.suspects.record_end(
        1, [fingerprint.compute_fingerprint(attempt) for attempt in attempts]
    )

    async def run(attempt: calls.Attempt) -> None:
        async with fixture.receiver.execute(attempt):
            pass

    async with anyio.create_task_group() as group:
        for attempt in attempts:
            group.start_soon(run, attempt)
        await anyio.sleep(deadline_s)
        assert fixture.sent == ["a", "b"]
        fixture.release.set()


@pytest.mark.anyio
async def test_an_answer_cut_short_does_not_clear_a_request() -> None:
    """Guards against a deadly request cleared by what it began to answer.

    A target that is started again at once has not been found to have ended
    when its answer is cut.
    """
    fixture = ReceiverFixture()
    attempt = calls.Attempt(
        "a",
        "s",
        "GET",
        "/",
        [],
        calls.Body(b""),
        calls.make_deadline(60),
        "m",
        1,
        "n1",
    )
    deadly = fingerprint.compute_fingerprint(attempt)
    fixture.receiver.suspects.record_end(1, [deadly])

    async def cut_short() -> bytes | None:
        raise outcome.AnswerCutError("connection lost")

    @contextlib.asynccontextmanager
    async def send(attempt: calls.Attempt):
        yield outcome.Answer(http1.ResponseHead(200, []), cut_short)

    assert fixture.receiver.link is not None
    fixture.receiver.link.execute = send  # type: ignore
    async with fixture.receiver.execute(attempt) as result:
        assert isinstance(result, outcome.Answer)
        with pytest.raises(outcome.AnswerCutError):
            await result.receive_chunk()
    assert fixture.receiver.suspects.find_blamed_ends(deadly) == {1}


@pytest.mark.anyio
async def test_smaller_slots_bound_the_limit_at_once() -> None:
    """Guards against a limit above a reduced number of slots."""
    fixture = ReceiverFixture()
    state = fixture.receiver.admission
    assert state is not None
    state.limit.value = 2
    fixture.announce(slots=1)
    assert state.limit.value == 1
    fixture.release.set()
    results: dict = {}
    await fixture.run("a", results)
    assert results == {"a": "answered"}


@pytest.mark.anyio
async def test_gauges_and_weights_follow_the_present_state() -> None:
    """Guards against weights or gauges that are read only once."""
    fixture = ReceiverFixture()
    fixture.receiver.update_gauges()
    gauge = fixture.counters.admission
    assert gauge.get({"value": "limit"}) == 1
    assert gauge.get({"value": "slots"}) == 2
    state = fixture.receiver.admission
    assert state is not None
    assert state.queue.weight("big") == 3.0
    assert state.queue.weight("other") == 1.0


@pytest.mark.anyio
async def test_outdated_slowness_does_not_count_at_admission() -> None:
    """Guards against refusals by the speed of a phase that has ended."""
    fixture = ReceiverFixture()
    receiver = fixture.receiver
    assert receiver.find_present_slowness() == 1.0
    receiver.record_sample(target.TargetLoad(1, 0, 2, slowness=7.0))
    assert receiver.find_present_slowness() == 7.0
    receiver.sampled_s -= receive.MAX_SLOWNESS_AGE_S + 0.001
    assert receiver.find_present_slowness() == 1.0


@pytest.mark.anyio
async def test_log_of_a_refusal_names_its_facts() -> None:
    """Guards against refusals whose cause can't be found afterwards."""
    fixture = ReceiverFixture()
    assert fixture.receiver.admission is not None
    results: dict = {}
    with structlog.testing.capture_logs() as lines:
        async with anyio.create_task_group() as group:
            for number in range(20):
                group.start_soon(fixture.run, f"a{number}", results)
            await anyio.wait_all_tasks_blocked()
            fixture.release.set()
    refused = [line for line in lines if line["event"] == "attempt refused"]
    assert refused
    facts = {"priority", "depth", "displaced_by", "late", "over_share"}
    assert all(facts <= line.keys() for line in refused)


class NestingProtocol(target.TargetProtocol):
    """Attempt IDs have the form "PARENT.CHILD"."""

    def find_parent_id(self, attempt: calls.Attempt) -> str:
        """See target.TargetProtocol."""
        return attempt.attempt_id.partition(".")[0]


@pytest.mark.anyio
async def test_nested_calls_beyond_the_capacity_are_shed_by_parent(
    monkeypatch,
) -> None:
    """Guards against calls that are served for parents that fail anyway."""
    fixture = ReceiverFixture()
    receiver = fixture.receiver
    receiver.target_protocol = NestingProtocol()
    assert receiver.admission is not None
    monkeypatch.setattr(
        receiver.admission,
        "find_capacity",
        lambda: load_shedding.Capacity(2.0),
    )
    # Much fewer than nine tenths of the calls fit, but more than a fiftieth.
    levels = {"kept": 0.02, "shed": 0.9}
    monkeypatch.setattr(
        receive.load_shedding, "compute_level", levels.__getitem__
    )
    results: dict = {}
    async with anyio.create_task_group() as group:
        # They take the target's slots, and one of them waits.
        for name in ("a", "b", "c"):
            group.start_soon(fixture.run, name, results)
        await anyio.wait_all_tasks_blocked()
        for number in range(20):
            group.start_soon(fixture.run, f"shed.{number}", results, 2)
        await anyio.wait_all_tasks_blocked()
        assert results["shed.19"] is outcome.Reason.LOAD_SHED
        group.start_soon(fixture.run, "kept.1", results, 2)
        # Requests of callers are refused by the queue only.
        group.start_soon(fixture.run, "shed", results, 1)
        await anyio.wait_all_tasks_blocked()
        assert results.get("kept.1") is not outcome.Reason.LOAD_SHED
        assert results.get("shed") is not outcome.Reason.LOAD_SHED
        fixture.release.set()


@pytest.mark.anyio
async def test_demand_is_recorded_with_the_work_of_its_route() -> None:
    """Guards against calls that are shed as if they took no slot."""
    fixture = ReceiverFixture()
    state = fixture.receiver.admission
    assert state is not None
    for _ in range(100):
        state.estimate.record("s", 0.5)
    fixture.release.set()
    results: dict = {}
    await fixture.run("p.1", results, 2)
    await fixture.run("q", results, 1)
    works_s = fixture.receiver.load_shedding.works_s
    assert fixture.receiver.load_shedding.counts == {0: 2}
    assert works_s[0] == pytest.approx(1.0, rel=0.1)


@pytest.mark.anyio
async def test_nested_call_that_can_be_sent_at_once_is_not_shed(
    monkeypatch,
) -> None:
    """Guards against refusals while the target has a free slot."""
    fixture = ReceiverFixture()
    receiver = fixture.receiver
    receiver.target_protocol = NestingProtocol()
    assert receiver.admission is not None
    monkeypatch.setattr(
        receiver.admission,
        "find_capacity",
        lambda: load_shedding.Capacity(0.0),
    )
    monkeypatch.setattr(receive.load_shedding, "compute_level", lambda _: 0.9)
    fixture.release.set()
    results: dict = {}
    for number in range(20):
        await fixture.run(f"p.{number}", results, 2)
    assert set(results.values()) == {"answered"}
