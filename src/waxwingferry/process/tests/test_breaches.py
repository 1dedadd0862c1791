"""Broken invariants of a node: what ends, and what goes on."""

import anyio
import pytest

from waxwingferry import invariants
from waxwingferry.bench import ports
from waxwingferry.connection import exchange
from waxwingferry.connection import http1
from waxwingferry.process import breaches
from waxwingferry.process import metrics
from waxwingferry.process.tests import test_node

pytestmark = pytest.mark.anyio


class Harness:
    """Breaches of a node without network.

    Attributes:
        stops: Number of requests to stop the node.
    """

    def __init__(self):
        self.counters = metrics.Metrics()
        self.stops = 0
        self.breaches = breaches.Breaches(self.counters, self.request_stop)

    def request_stop(self) -> None:
        """Counts a request to stop."""
        self.stops += 1

    def count(self, place: str) -> float:
        """Returns how many broken invariants of a place were counted."""
        labels = {"event": "invariant_broken", "place": place}
        return float(self.counters.events.get(labels))  # type: ignore[arg-type]


def make_error(kind: type[invariants.BrokenInvariantError]) -> Exception:
    """Returns an error that was raised and caught."""
    try:
        raise kind("place", "detail")
    except invariants.BrokenInvariantError as error:
        return error


def test_only_a_broken_promise_stops_the_node() -> None:
    """Guards against a fault of one request that ends all of them."""
    harness = Harness()
    for _ in range(3):
        error = make_error(invariants.BrokenInvariantError)
        harness.breaches.record(error)
        harness.breaches.record(error)
    assert harness.count("place") == 3
    assert harness.stops == 0
    for _ in range(2):
        group = ExceptionGroup(
            "tasks", [ValueError(), make_error(invariants.BrokenPromiseError)]
        )
        harness.breaches.record(group)
    assert harness.count("place") == 5
    assert harness.stops == 1
    assert harness.breaches.promise_broken


def test_recording_never_fails(monkeypatch) -> None:
    """Guards against a handler of faults that is itself a fault."""
    harness = Harness()

    def fail(*_: object, **__: object) -> None:
        raise RuntimeError("test")

    monkeypatch.setattr(harness.counters.events, "inc", fail)
    monkeypatch.setattr(harness.breaches, "request_stop", fail)
    monkeypatch.setattr(breaches, "log", None)
    harness.breaches.record(make_error(invariants.BrokenPromiseError))
    assert harness.breaches.promise_broken


@pytest.mark.parametrize(
    ("kind", "stops"),
    [
        (invariants.BrokenInvariantError, 0),
        (invariants.BrokenPromiseError, 1),
        (KeyError, 0),
    ],
)
async def test_failed_task_runs_again(kind, stops: int) -> None:
    """Guards against a node that ends, or lives on without gossip."""
    harness = Harness()
    delays_s = []
    runs = 0

    async def sleep(delay_s: float) -> None:
        delays_s.append(delay_s)

    async def run() -> None:
        nonlocal runs
        runs += 1
        if runs < 4:
            raise kind("place")

    await harness.breaches.supervise(run, sleep)()
    assert runs == 4
    assert delays_s == [breaches.RESTART_DELAY_S] * 3
    assert harness.stops == stops


async def test_drain_after_a_broken_promise_is_bounded() -> None:
    """Guards against a process that long answers keep after such a breach."""
    harness = Harness()
    delays_s = []

    async def sleep(delay_s: float) -> None:
        delays_s.append(delay_s)

    harness.breaches.record(make_error(invariants.BrokenPromiseError))
    with pytest.raises(invariants.BrokenPromiseError):
        await harness.breaches.limit_drain(sleep)
    assert delays_s == [breaches.DRAIN_LIMIT_S]


async def test_node_drains_after_a_broken_promise() -> None:
    """Guards against requests that are cut off by a fault of another one.

    The process stops, but requests in progress are answered before.
    """
    allocator = ports.PortAllocator()
    node = test_node.make_node(allocator)
    began = anyio.Event()

    async def handle(
        connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        if head.target == "/fault":
            raise invariants.BrokenPromiseError("attempt_sent_once")
        began.set()
        await anyio.sleep(0.5)
        await connection.send_head(200, [], b"whole")

    node.caller_server.handler = handle
    replies = []

    async def request(target: str) -> None:
        client = exchange.Client(ports.HOST, node.settings.caller_port)
        replies.append(await client.request("GET", target, 5.0))

    async with anyio.create_task_group() as group:
        group.start_soon(node.run)
        await node.caller_server.listening.wait()
        group.start_soon(request, "/long")
        await began.wait()
        group.start_soon(request, "/fault")
    assert [reply.status for reply in replies] == [500, 200]
    assert node.breaches.promise_broken
    text = node.counters.render()[0].decode()
    assert 'event="invariant_broken",place="attempt_sent_once"' in text
