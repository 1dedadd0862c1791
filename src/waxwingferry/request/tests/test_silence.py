"""Detection of silent connections, as opposed to slow targets and nodes."""

import anyio
import pytest

from waxwingferry.connection import http1
from waxwingferry.process import attempts
from waxwingferry.request import calls
from waxwingferry.request import resolve
from waxwingferry.request import silence
from waxwingferry.request.tests import simulation

TIMEOUT = http1.ReceiveTimeoutError("nothing")


class FakeConnection:
    """A connection with scripted events."""

    def __init__(self, events: list):
        self.events = events

    async def receive_chunk(self, timeout_s: float) -> bytes | None:
        """Returns the next event, or times out."""
        if not self.events:
            await anyio.sleep(timeout_s)
            raise TIMEOUT
        event = self.events.pop(0)
        if isinstance(event, Exception):
            raise event
        return event

    receive_head = receive_chunk


class FakeResolver:
    """A node that responds with a fixed status, or not if it is None."""

    def __init__(self, status: resolve.AttemptStatus | None):
        self.status = status

    async def fetch_status(
        self, candidate, attempt
    ) -> resolve.AttemptStatus | None:
        """Returns the fixed status."""
        return self.status


def _make_monitor(
    events: list, sent_bytes: int | None
) -> silence.SilenceMonitor:
    attempt = calls.Attempt(
        "a.1", "s", "GET", "/", [], calls.Body(b""), calls.make_deadline(60),
        "", 1, "i",
    )  # fmt: skip
    status = None
    if sent_bytes is not None:
        status = resolve.AttemptStatus(attempts.Resolution.RUNNING, sent_bytes)
    return silence.SilenceMonitor(
        FakeConnection(events),  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        attempt,
        FakeResolver(status),  # type: ignore[arg-type]
    )


@pytest.mark.anyio
async def test_missing_body_bytes_mean_a_silent_connection() -> None:
    """Guards against waiting for a silent connection until the deadline."""
    monitor = _make_monitor([b"abc", TIMEOUT, TIMEOUT], 6)
    assert await monitor.receive_chunk() == b"abc"
    with pytest.raises(silence.ConnectionSilentError):
        await monitor.receive_chunk()


@pytest.mark.anyio
@pytest.mark.parametrize("sent_bytes", [3, None])
async def test_unsent_body_is_awaited(sent_bytes: int | None) -> None:
    """Guards against aborting the answer of a slow target or stopped node."""
    monitor = _make_monitor([b"abc", *[TIMEOUT] * 5, b"def"], sent_bytes)
    assert await monitor.receive_chunk() == b"abc"
    assert await monitor.receive_chunk() == b"def"


@pytest.mark.anyio
async def test_body_without_progress_ends(monkeypatch) -> None:
    """Guards against a progress timeout that is restarted without progress."""
    monkeypatch.setattr(calls, "PROGRESS_TIMEOUT_S", 0.5)
    monitor = _make_monitor([b"abc"], 3)
    monitor.attempt.deadline = calls.make_deadline(0)
    assert await monitor.receive_chunk() == b"abc"
    with anyio.fail_after(10):
        with pytest.raises(http1.ReceiveTimeoutError):
            await monitor.receive_chunk()


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("silent_after", "expected"),
    [(0, "answered"), (30_000, "not-run"), (100_000, "unknown")],
)
async def test_long_request_through_two_nodes(
    silent_after: int, expected: str
) -> None:
    """Guards against two readers of one connection, and a stalled upload."""
    cluster = simulation.SimulatedCluster(1)
    cluster.targets = {"n2"}
    # The node forwards a body to its target after the first 64 KiB.
    fault = ("silent" if silent_after else "", silent_after, 1_000_000)
    async with anyio.create_task_group() as group:
        await cluster.start(group)
        await anyio.sleep(0.25)
        cluster.network.scripted_faults[simulation.PEER_PORT] = [fault]
        body = b"x" * 400_000
        reply = await cluster.send("n1", "send-1", body=body)
        counters = cluster.nodes[0].counters
        group.cancel_scope.cancel()
    simulation.check_outcomes(cluster, [reply])
    assert reply.outcome == expected
    found = counters.events.values.get({"event": "connection_silent"})
    assert found == (1 if silent_after else None)


@pytest.mark.anyio
async def test_late_heartbeat_clears_the_suspicion() -> None:
    """Guards against a slow entry mistaking its own delay for silence."""
    head = http1.ResponseHead(200, [])
    events = [TIMEOUT, http1.ResponseHead(102, []), TIMEOUT, head]
    monitor = _make_monitor(events, 0)
    assert await monitor.receive_head() is head


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("fault", "service_time_s", "frozen_s", "silent"),
    [
        (("silent", 100, 1_000_000), 0.01, 0.0, 1),
        (("silent", 1_000_000, 300), 0.01, 0.0, 1),
        (("", 0, 0), 0.8, 0.0, 0),
        (("", 0, 0), 0.01, 0.8, 0),
    ],
    ids=["request silent", "answer silent", "slow target", "stopped node"],
)
async def test_silence_is_counted(
    fault, service_time_s: float, frozen_s: float, silent: int
) -> None:
    """Guards against mistaking slowness for silence, and vice versa."""
    cluster = simulation.SimulatedCluster(1)
    cluster.targets = {"n2"}
    cluster.service_times_s = (service_time_s,)

    def freeze() -> None:
        node = cluster.nodes[1]
        node.frozen = True
        cluster.network.call_later(frozen_s, setattr, node, "frozen", False)

    if frozen_s:
        cluster.on_run = freeze
    async with anyio.create_task_group() as group:
        await cluster.start(group)
        await anyio.sleep(0.25)
        cluster.network.scripted_faults[simulation.PEER_PORT] = [fault]
        reply = await cluster.send("n1", "send-1", "key")
        counters = cluster.nodes[0].counters
        group.cancel_scope.cancel()
    simulation.check_outcomes(cluster, [reply])
    assert counters.events.values.get({"event": "connection_silent"}) in (
        (silent,) if silent else (None, 0)
    )
