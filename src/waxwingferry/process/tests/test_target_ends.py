"""Fault pattern: a target ends while it runs requests."""

import anyio
import anyio.lowlevel
import msgspec
import pytest

from waxwingferry.connection import pool
from waxwingferry.process import target
from waxwingferry.request import calls
from waxwingferry.request import outcome

pytestmark = pytest.mark.anyio

ANNOUNCEMENT = target.Announcement(
    service="s",
    version="v1",
    slots=4,
    host="127.0.0.1",
    port=1,
    incarnation="i1",
)


class SilentStream:
    """A stream that answers nothing until its target closes it."""

    def __init__(self, closed: anyio.Event):
        self.closed = closed

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Waits for the end of the stream."""
        await self.closed.wait()
        raise anyio.EndOfStream

    async def send(self, data: bytes) -> None:
        """Accepts a request."""
        await anyio.lowlevel.checkpoint()

    async def aclose(self) -> None:
        """Closes the stream."""


class BrokenOffStream(SilentStream):
    """A stream that brings the start of an answer until its target ends."""

    def __init__(self, closed: anyio.Event):
        super().__init__(closed)
        self.data = (
            b"HTTP/1.1 200 OK\r\nx-waxwing-attempt: a\r\n"
            b"content-length: 9\r\n\r\nstart"
        )

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Returns the start of the answer, then waits for the end."""
        data, self.data = self.data, b""
        return data or await super().receive(max_bytes)


class FakeTarget:
    """A target that answers nothing, with a client that records its end."""

    def __init__(self):
        self.listens = True
        self.closed = anyio.Event()
        self.time_s = 0.0
        self.ends: list[list[str]] = []
        self.client = target.TargetClient(
            ANNOUNCEMENT,
            connect=self.connect,  # type: ignore[arg-type]
            on_end=self.record_end,
            clock=lambda: self.time_s,
        )

    def record_end(self, in_flight: list[calls.Attempt]) -> set[str]:
        """Records an end; no attempt is its likely cause."""
        self.ends.append(sorted(item.attempt_id for item in in_flight))
        return set()

    async def connect(self, host: str, port: int) -> SilentStream:
        """Opens a connection."""
        await anyio.lowlevel.checkpoint()
        if not self.listens:
            raise pool.ConnectError from ConnectionRefusedError()
        return SilentStream(self.closed)

    async def run_and_close(self, *attempt_ids: str) -> list[outcome.Outcome]:
        """Sends attempts, closes all connections and returns the outcomes."""
        results: list[outcome.Outcome] = []

        async def run(attempt_id: str) -> None:
            async with self.client.execute(_make_attempt(attempt_id)) as result:
                results.append(result)

        async with anyio.create_task_group() as group:
            for attempt_id in attempt_ids:
                group.start_soon(run, attempt_id)
            while len(self.client.in_flight) < len(attempt_ids):
                await anyio.lowlevel.checkpoint()
            self.closed.set()
        return results


def _make_attempt(attempt_id: str) -> calls.Attempt:
    return calls.Attempt(
        attempt_id,
        "s",
        "GET",
        "/",
        [],
        calls.Body(b""),
        calls.make_deadline(60),
        "",
        1,
        "i",
    )


async def test_an_end_names_all_requests_in_flight_once() -> None:
    """Guards against ends that nobody can trace to a request."""
    fake = FakeTarget()

    async def stop_listening() -> None:
        while len(fake.client.in_flight) < 3:
            await anyio.lowlevel.checkpoint()
        fake.listens = False

    async with anyio.create_task_group() as group:
        group.start_soon(stop_listening)
        results = await fake.run_and_close("a", "b", "c")
    assert fake.ends == [["a", "b", "c"]]
    assert all(isinstance(result, outcome.Unknown) for result in results)


async def test_the_cause_of_an_end_is_known_when_it_cuts_an_answer() -> None:
    """Guards against retries of a request that ends targets as they answer."""
    closed = anyio.Event()
    closed.set()
    streams = [BrokenOffStream(closed)]

    async def connect(host: str, port: int) -> SilentStream:
        await anyio.lowlevel.checkpoint()
        if not streams:
            raise pool.ConnectError from ConnectionRefusedError()
        return streams.pop()

    client = target.TargetClient(
        ANNOUNCEMENT,
        connect=connect,  # type: ignore[arg-type]
        on_end=lambda in_flight: {item.attempt_id for item in in_flight},
    )
    async with client.execute(_make_attempt("a")) as result:
        assert isinstance(result, outcome.Answer)
        assert await result.receive_chunk() == b"start"
        with pytest.raises(outcome.AnswerCutError) as error:
            await result.receive_chunk()
    assert error.value.reason is outcome.Reason.ENDED_TARGET


async def test_a_target_that_still_listens_has_not_ended() -> None:
    """Guards against suspicion after a target has closed a connection."""
    fake = FakeTarget()
    await fake.run_and_close("a")
    assert not fake.ends


async def test_the_planned_end_of_a_target_is_not_reported() -> None:
    """Guards against suspicion of what ran when a draining target ended."""
    fake = FakeTarget()
    fake.client.announcement = msgspec.structs.replace(
        ANNOUNCEMENT, state="draining"
    )
    await fake.run_and_close("a")
    fake.client.record_successor()
    assert not fake.ends


@pytest.mark.parametrize(
    ("delay_s", "ended"),
    [(1.0, True), (target.RESTART_WINDOW_S + 1, False)],
)
async def test_a_target_that_is_started_again_at_once_has_ended(
    delay_s: float, ended: bool
) -> None:
    """Guards against ends hidden by a successor that listens already."""
    fake = FakeTarget()
    await fake.run_and_close("a", "b")
    fake.time_s += delay_s
    fake.client.record_successor()
    assert fake.ends == ([["a", "b"]] if ended else [])
