"""Open-loop load generator with Poisson arrivals.

Latency is measured from the scheduled send time, so that a delayed send counts
as latency of the system under test (no coordinated omission).
"""

import collections
from collections.abc import Callable
import dataclasses
import random
import time

import anyio
from hdrh import histogram

from waxwingferry.bench import bodies
from waxwingferry.connection import http1
from waxwingferry.connection import pool

MAX_LATENCY_US = 60_000_000
PERCENTILES = (50.0, 99.0, 99.9)


@dataclasses.dataclass(slots=True)
class Request:
    """One request to send.

    Attributes:
        address: Host and port to send it to.
        target: Path of the request.
        label: Name under which its latency is recorded.
        request_id: Sent as x-request-id; the response must echo it.
        chunk_bytes: Size of the chunks that the body is sent in, or 0 to send
            it with its length.
    """

    address: tuple[str, int]
    method: str
    target: str
    label: str
    request_id: str
    headers: http1.Headers = dataclasses.field(default_factory=list)
    body: bytes = b""
    chunk_bytes: int = 0


@dataclasses.dataclass(slots=True)
class Result:
    """Result of one request.

    Attributes:
        status: Status code, or 0 without a complete response.
        outcome: answered, not-run, unknown or no-answer.
        reason: Reason of a refusal, or the error if there was no response.
        scheduled_s: Monotonic time of the scheduled send.
        latency_s: Time from the scheduled send to the end of the response.
        crossed: Whether the response belongs to another request.
        body: The complete body of the response.
    """

    request: Request
    status: int
    outcome: str
    reason: str
    scheduled_s: float
    latency_s: float
    crossed: bool = False
    body: bytes = b""


@dataclasses.dataclass
class Workload:
    """Workload of a load generator.

    Attributes:
        rate_per_s: Mean arrivals per second.
        duration_s: Duration of the load in seconds.
        make_request: Returns the request with the given number, counted from
            1; takes its random choices from the given source.
        timeout_s: Timeout of a call.
        max_open: Maximum concurrent calls; further arrivals aren't sent and
            are recorded as no-answer.
    """

    rate_per_s: float
    duration_s: float
    make_request: Callable[[random.Random, int], Request]
    timeout_s: float = 10.0
    max_open: int = 2000


class Recorder:
    """Collects results, with latency histograms by label.

    Args:
        keep_results: Whether to store each result in addition to the counts.

    Attributes:
        results: All results, if they are stored.
        outcomes: Number of results by outcome.
        reasons: Number of results by reason.
        crossed: Number of responses that belong to another request.
        unanswered: Number of results other than "answered", by label.
        histograms: Latencies in microseconds by label.
    """

    def __init__(self, keep_results: bool = False):
        self.keep_results = keep_results
        self.results: list[Result] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.reasons: collections.Counter[str] = collections.Counter()
        self.crossed = 0
        self.unanswered: collections.Counter[str] = collections.Counter()
        self.histograms: dict[str, histogram.HdrHistogram] = {}

    def record(self, result: Result) -> None:
        """Adds one result; the latency only if the request was answered."""
        self.outcomes[result.outcome] += 1
        if result.reason:
            self.reasons[result.reason] += 1
        self.crossed += result.crossed
        self.unanswered[result.request.label] += result.outcome != "answered"
        if self.keep_results:
            self.results.append(result)
        if result.outcome == "answered":
            self._get_histogram(result.request.label).record_value(
                min(int(result.latency_s * 1e6), MAX_LATENCY_US)
            )

    def _get_histogram(self, label: str) -> histogram.HdrHistogram:
        if label not in self.histograms:
            self.histograms[label] = histogram.HdrHistogram(
                1, MAX_LATENCY_US, 3
            )
        return self.histograms[label]

    def percentiles_ms(self, label: str) -> list[float]:
        """Returns the p50, p99 and p99.9 latency in milliseconds."""
        values = self._get_histogram(label)
        return [
            values.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        ]


class Client:
    """HTTP client with pooled connections that returns errors as results.

    Args:
        timeout_s: Timeout of a call, in seconds.
    """

    def __init__(self, timeout_s: float = 10.0):
        self.timeout_s = timeout_s
        self.pools: dict[tuple[str, int], pool.Pool] = {}

    async def send(self, request: Request, scheduled_s: float) -> Result:
        """Sends a request; a failure gives a result with no-answer."""
        try:
            with anyio.fail_after(self.timeout_s):
                return await self._exchange(request, scheduled_s)
        except TimeoutError:
            return make_no_answer(request, scheduled_s, "timeout")
        except (pool.ConnectError, http1.HttpError) as error:
            reason = type(error).__name__
            return make_no_answer(request, scheduled_s, reason)

    async def _exchange(self, request: Request, scheduled_s: float) -> Result:
        connection_pool = self.pools.get(request.address)
        if connection_pool is None:
            connection_pool = self.pools[request.address] = pool.Pool(
                *request.address
            )
        connection = await connection_pool.acquire()
        try:
            headers = [
                ("host", f"{request.address[0]}:{request.address[1]}"),
                ("x-request-id", request.request_id),
                *request.headers,
            ]
            body, rest = request.body, None
            if request.chunk_bytes:
                rest = bodies.iterate_parts(body, request.chunk_bytes)
                body = b""
            await connection.send_request(
                request.method, request.target, headers, body, rest
            )
            head = await connection.receive_head(self.timeout_s)
            while head.status < 200:
                head = await connection.receive_head(self.timeout_s)
            chunks = []
            while chunk := await connection.receive_chunk(self.timeout_s):
                chunks.append(chunk)
        finally:
            with anyio.CancelScope(shield=True):
                await connection_pool.release(connection)
        return _make_result(request, scheduled_s, head, b"".join(chunks))

    async def close(self) -> None:
        """Closes all idle connections of the pools."""
        for connection_pool in self.pools.values():
            await connection_pool.close()


def make_no_answer(request: Request, scheduled_s: float, reason: str) -> Result:
    """Returns the result of a call without a complete response."""
    latency_s = time.monotonic() - scheduled_s
    return Result(request, 0, "no-answer", reason, scheduled_s, latency_s)


def _make_result(
    request: Request,
    scheduled_s: float,
    head: http1.ResponseHead,
    body: bytes,
) -> Result:
    find_header = http1.find_header
    outcome = find_header(head.headers, "x-waxwing-outcome", "answered")
    echoed_id = find_header(head.headers, "x-request-id", request.request_id)
    return Result(
        request,
        head.status,
        outcome,
        find_header(head.headers, "x-waxwing-reason"),
        scheduled_s,
        time.monotonic() - scheduled_s,
        crossed=outcome == "answered" and echoed_id != request.request_id,
        body=body,
    )


class LoadGenerator:
    """Generates open-loop load.

    Args:
        rng: Source of arrival times and requests.
        recorder: Collects the results.

    Attributes:
        open_calls: Number of calls in flight.
    """

    def __init__(self, rng: random.Random, recorder: Recorder):
        self.rng = rng
        self.recorder = recorder
        self.client = Client()
        self.open_calls = 0

    async def run(self, workload: Workload) -> None:
        """Generates the load and waits for all calls to end."""
        self.client.timeout_s = workload.timeout_s
        next_arrival_s = time.monotonic()
        end_s = next_arrival_s + workload.duration_s
        number = 0
        async with anyio.create_task_group() as group:
            while True:
                next_arrival_s += self.rng.expovariate(workload.rate_per_s)
                if next_arrival_s >= end_s:
                    break
                delay_s = next_arrival_s - time.monotonic()
                if delay_s > 0:
                    await anyio.sleep(delay_s)
                number += 1
                request = workload.make_request(self.rng, number)
                group.start_soon(self._call, workload, request, next_arrival_s)
        await self.client.close()

    async def _call(
        self, workload: Workload, request: Request, scheduled_s: float
    ) -> None:
        if self.open_calls >= workload.max_open:
            result = make_no_answer(request, scheduled_s, "max_open")
            self.recorder.record(result)
            return
        self.open_calls += 1
        try:
            self.recorder.record(await self.client.send(request, scheduled_s))
        finally:
            self.open_calls -= 1


async def run_load(
    workload: Workload, seed: int, keep_results: bool = False
) -> Recorder:
    """Generates the load with a new generator and returns the results."""
    recorder = Recorder(keep_results)
    await LoadGenerator(random.Random(seed), recorder).run(workload)
    return recorder
