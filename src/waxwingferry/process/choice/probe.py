"""Load probes, sent only to candidates whose load report is stale.

Probes have a budget of messages, bytes and CPU time, and a probe that exceeds
it is not sent. So measuring load never costs more than that budget.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import json
import time
import types
from typing import Any

import anyio

from waxwingferry import decoding
from waxwingferry import invariants
from waxwingferry.connection import http1
from waxwingferry.connection import pool
from waxwingferry.process import metrics
from waxwingferry.process.choice import budget
from waxwingferry.process.choice import known_target
from waxwingferry.process.choice import load_stats

PROBE_PATH = "/_peer/load"
PROBE_TIMEOUT_S = 0.25
PROBE_INTERVAL_S = 1.0
WORKERS = 2
QUEUE_CAPACITY = 16

# A tenth of a node's budget for control traffic of 22 KB/s and 2.6% of a core.
BYTES_PER_S = 2200.0
CPU_S_PER_S = 0.0026

MAX_PROBE_BYTES = 600
RESERVED_CPU_S = 0.002


@dataclasses.dataclass(slots=True)
class ProbeCost:
    """Cost of one probe so far."""

    sent_bytes: int = 0
    received_bytes: int = 0
    cpu_s: float = 0.0


class ProbeBudget:
    """Limits probes by messages, bytes and CPU time.

    Bytes and CPU time are reserved before a probe and reconciled after it.
    A probe that costs more than reserved leaves a negative level, which stops
    further probes until the bucket has refilled.

    Args:
        probes_per_s: Returns the probe rate of the document in force.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        probes_per_s: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.probes_per_s = probes_per_s
        rate = probes_per_s()
        self.messages = budget.TokenBucket(rate, max(rate, 1.0), clock)
        self.bytes = budget.TokenBucket(BYTES_PER_S, 2 * MAX_PROBE_BYTES, clock)
        self.cpu = budget.TokenBucket(CPU_S_PER_S, 2 * RESERVED_CPU_S, clock)

    def reserve(self) -> str:
        """Reserves a probe; returns the exhausted resource, or "" if none."""
        rate = self.probes_per_s()
        if rate != self.messages.rate_per_s:
            self.messages.set_rate(rate, max(rate, 1.0))
        if not rate or not self.messages.available():
            return "messages"
        if not self.bytes.available(MAX_PROBE_BYTES):
            return "bytes"
        if not self.cpu.available(RESERVED_CPU_S):
            return "processor"
        reserved = (
            self.messages.spend(),
            self.bytes.spend(MAX_PROBE_BYTES),
            self.cpu.spend(RESERVED_CPU_S),
        )
        invariants.require(all(reserved), "probe_budget")
        return ""

    def reconcile(self, spent: ProbeCost) -> None:
        """Replaces a reservation by the actual cost of the probe."""
        total_bytes = spent.sent_bytes + spent.received_bytes
        _reconcile_bucket(self.bytes, MAX_PROBE_BYTES, total_bytes)
        _reconcile_bucket(self.cpu, RESERVED_CPU_S, spent.cpu_s)


def _reconcile_bucket(
    bucket: budget.TokenBucket, reserved: float, actual: float
) -> None:
    if actual <= reserved:
        bucket.refund(reserved - actual)
    else:
        bucket.charge(actual - reserved)


FetchLoad = Callable[
    [known_target.Candidate, ProbeCost], Awaitable[load_stats.LoadReport | None]
]


class Prober:
    """Sends the probes that the router requests.

    Args:
        fetch: Requests the load of a target's node.
        probe_budget: Budget of the probes.
        counters: Metrics of the node.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        fetch: FetchLoad,
        probe_budget: ProbeBudget,
        counters: metrics.Metrics,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.fetch = fetch
        self.probe_budget = probe_budget
        self.counters = counters
        self.clock = clock
        self.send, self.receive = anyio.create_memory_object_stream[
            known_target.Candidate
        ](QUEUE_CAPACITY)

    def request_probe(self, candidate: known_target.Candidate) -> None:
        """Queues a probe if the budget allows it; never blocks."""
        stats = candidate.stats
        if stats.probe_pending or self.clock() < stats.probe_after_s:
            return
        if self.send.statistics().current_buffer_used >= QUEUE_CAPACITY:
            self._count_event("probe_denied_queue")
            return
        exhausted = self.probe_budget.reserve()
        if exhausted:
            self._count_event(f"probe_denied_{exhausted}")
            return
        stats.probe_pending = True
        self.send.send_nowait(candidate)

    def _count_event(self, name: str) -> None:
        self.counters.events.inc({"name": name})

    async def run(self) -> None:
        """Sends queued probes until cancelled."""
        async with anyio.create_task_group() as group:
            for _ in range(WORKERS):
                group.start_soon(self._work)

    async def _work(self) -> None:
        while True:
            candidate = await self.receive.receive()
            await self.probe(candidate)

    async def probe(self, candidate: known_target.Candidate) -> None:
        """Sends one probe whose cost has been reserved."""
        spent = ProbeCost()
        report = None
        self._count_event("probe_sent")
        try:
            with anyio.move_on_after(PROBE_TIMEOUT_S):
                report = await _measure_cpu_time(
                    _as_coroutine(self.fetch(candidate, spent)), spent
                )
        finally:
            self.probe_budget.reconcile(spent)
            candidate.stats.probe_pending = False
            candidate.stats.probe_after_s = self.clock() + PROBE_INTERVAL_S
        if report is None:
            self._count_event("probe_failed")
            return
        candidate.load = report


async def _as_coroutine(
    awaitable: Awaitable[load_stats.LoadReport | None],
) -> load_stats.LoadReport | None:
    return await awaitable


@types.coroutine
def _measure_cpu_time(coroutine: Coroutine[Any, Any, Any], spent: ProbeCost):
    """Awaits a coroutine and adds the CPU time of its own steps."""
    value: Any = None
    error: BaseException | None = None
    while True:
        begin_s = time.thread_time()
        try:
            step = (
                coroutine.send(value)
                if error is None
                else coroutine.throw(error)
            )
        except StopIteration as stop:
            return stop.value
        finally:
            spent.cpu_s += time.thread_time() - begin_s
        value, error = None, None
        try:
            value = yield step
        except BaseException as caught:  # Raised again in the coroutine.
            error = caught


class HttpLoadClient:
    """Requests the load of target nodes over pooled connections.

    Args:
        connect: Opens a connection.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        connect: pool.Connect = pool.connect_tcp,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.connect = connect
        self.clock = clock
        self.pools: dict[tuple[str, int], pool.Pool] = {}

    async def __call__(
        self, candidate: known_target.Candidate, spent: ProbeCost
    ) -> load_stats.LoadReport | None:
        """Returns a node's load report, or None if the request failed."""
        address = (candidate.host, candidate.peer_port)
        if address not in self.pools:
            self.pools[address] = pool.Pool(*address, self.connect)
        peer_pool = self.pools[address]
        try:
            connection = await peer_pool.acquire()
        except pool.ConnectError:
            return None
        try:
            return await self._exchange(connection, spent)
        except http1.HttpError:
            connection.reusable = False
            return None
        finally:
            with anyio.CancelScope(shield=True):
                await peer_pool.release(connection)

    async def _exchange(
        self, connection: http1.ClientConnection, spent: ProbeCost
    ) -> load_stats.LoadReport | None:
        before = connection.sent_bytes
        await connection.send_request("GET", PROBE_PATH, [("host", "peer")])
        spent.sent_bytes += connection.sent_bytes - before
        head = await connection.receive_head(PROBE_TIMEOUT_S)
        while head.status < 200:
            head = await connection.receive_head(PROBE_TIMEOUT_S)
        spent.received_bytes += len("HTTP/1.1 200 OK\r\n\r\n") + sum(
            len(name) + len(value) + len(": \r\n")
            for name, value in head.headers
        )
        body = b""
        while chunk := await connection.receive_chunk(PROBE_TIMEOUT_S):
            spent.received_bytes += len(chunk)
            body += chunk
            if len(body) > MAX_PROBE_BYTES:
                raise http1.HttpError("load response is too large")
        if head.status != 200:
            return None
        return decode_load(body, self.clock())


def encode_load(load: str) -> bytes:
    """Returns the response body of a probe, from an x-waxwing-load text."""
    parts = dict(item.split("=", 1) for item in load.split(","))
    return json.dumps(
        {
            name: int(value) if value.isdigit() else value
            for name, value in parts.items()
        }
    ).encode()


def decode_load(body: bytes, now_s: float) -> load_stats.LoadReport | None:
    """Returns the report in a response body, or None if it is malformed."""
    try:
        data = decoding.decode_json(body)
        text = ",".join(f"{name}={value}" for name, value in data.items())
    except (decoding.DecodingError, AttributeError):
        return None
    return load_stats.parse_load(text, now_s)
