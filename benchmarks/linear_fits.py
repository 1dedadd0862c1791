"""Measures costs at several sizes and fits lines for docs/CAPACITY.md.

Each function measures processes on loopback or the program's own objects in
this process, and returns the points (x, y) with the fitted line.
"""

from collections.abc import Sequence
import dataclasses
import random
import time

import anyio
import anyio.abc
import gossip_cost
import httpx
import numpy as np
import psutil

from waxwingferry.bench import callers
from waxwingferry.bench import cluster
from waxwingferry.bench import load
from waxwingferry.bench.experiments import added_latency
from waxwingferry.connection import pool
from waxwingferry.process.choice import known_target
from waxwingferry.process.choice import routing
from waxwingferry.version import document

FIRST_PORT = 28000
RATES_PER_S = (60, 120, 180, 258)
MEMBER_COUNTS = (0, 110, 220, 440, 660)
CONNECTION_COUNTS = (0, 100, 200, 400)
CANDIDATE_COUNTS = (5, 15, 30, 60, 120)
SERVICE_COUNTS = (2, 5, 11, 22)
NODE_COUNTS = (2, 5, 8)
GOSSIP_MEMBER_COUNTS = (10, 110, 220, 440, 660)
KEYED_CALL_COUNTS = (20, 60, 100)
MEASUREMENT_S = 8.0
# Covers two of the reads that each node makes every 30 s.
PLATFORM_COUNTING_S = 60.0


@dataclasses.dataclass
class LinearFit:
    """Points of one measurement and the line fitted to them.

    Attributes:
        name: Name of the measurement.
        x_label: Quantity on the x axis.
        y_label: Quantity on the y axis with its unit.
        points: Measured pairs of x and y.
        slope: Slope of the line.
        intercept: Value of the line at x = 0.
        slope_error: Standard error of the slope.
    """

    name: str
    x_label: str
    y_label: str
    points: Sequence[tuple[float, float]]
    slope: float = 0.0
    intercept: float = 0.0
    slope_error: float = 0.0

    def fit(self) -> "LinearFit":
        """Fits the line by least squares; returns self."""
        x, y = np.array(self.points, dtype=float).T
        (slope, intercept), covariance = np.polyfit(x, y, 1, cov="unscaled")
        residuals = y - (slope * x + intercept)
        variance = (residuals**2).sum() / max(len(x) - 2, 1)
        self.slope = float(slope)
        self.intercept = float(intercept)
        self.slope_error = float(np.sqrt(covariance[0, 0] * variance))
        return self

    def at(self, x: float) -> float:
        """Returns the value of the line at x."""
        return self.intercept + self.slope * x


async def measure_node_passes() -> list[LinearFit]:
    """Measures the processor time of both nodes by call rate."""
    entry_points = []
    target_points = []
    async with cluster.run_cluster(
        {"registry": 1, "other": 1},
        added_latency.DOCUMENT,
        slots=64,
        behaviour={"service_time_ms": 0.0},
        domains=("d1",),
        first_port=FIRST_PORT,
    ) as running:
        target, entry = running.instances
        assert target.node is not None
        assert entry.node is not None
        await anyio.sleep(1.5)
        for rate in (RATES_PER_S[0], *RATES_PER_S):
            workload = added_latency.make_workload(
                entry.ports["caller"], "passes", MEASUREMENT_S
            )
            workload.rate_per_s = rate
            begin = [
                added_latency.processor_time_s([process.pid])
                for process in (entry.node, target.node)
            ]
            recorder = await load.run_load(workload, seed=int(rate))
            achieved = recorder.outcomes["answered"] / MEASUREMENT_S
            used = [
                added_latency.processor_time_s([process.pid]) - started
                for process, started in zip(
                    (entry.node, target.node), begin, strict=True
                )
            ]
            entry_points.append((achieved, 1000 * used[0] / MEASUREMENT_S))
            target_points.append((achieved, 1000 * used[1] / MEASUREMENT_S))
    y_label = "processor time (ms/s)"
    # The first load warms up limits and connection pools; it is left out.
    return [
        LinearFit("entry pass", "calls/s", y_label, entry_points[1:]).fit(),
        LinearFit("target pass", "calls/s", y_label, target_points[1:]).fit(),
    ]


def _member_row(number: int) -> dict:
    return {
        "service": f"s{number % 22}",
        "version": "v1",
        "region": f"r{number % 2}",
        "failure_domain": f"d{number % 6}",
        "host": "127.0.0.1",
        "peer_port": 1 + number,
        "incarnation": f"{number:016x}",
        "state": "ready",
        "slots": 8,
    }


async def measure_members() -> list[LinearFit]:
    """Measures memory and idle processor time of a node by members."""
    memory = []
    processor = []
    for index, count in enumerate(MEMBER_COUNTS):
        running = cluster.Cluster(
            {"registry": 1},
            added_latency.DOCUMENT,
            domains=("d1",),
            first_port=FIRST_PORT + 100 + index * 20,
        )
        try:
            await running.start()
            node = running.instances[0].node
            assert node is not None
            async with httpx.AsyncClient(trust_env=False) as client:
                await _write_members(client, running, count)
                await _wait_for_members(client, running, count + 1)
            begin_s = added_latency.processor_time_s([node.pid])
            await anyio.sleep(MEASUREMENT_S)
            used_s = added_latency.processor_time_s([node.pid]) - begin_s
            resident_bytes = psutil.Process(node.pid).memory_info().rss
            memory.append((count, resident_bytes / 1e6))
            processor.append((count, 1000 * used_s / MEASUREMENT_S))
        finally:
            running.stop()
    return [
        LinearFit("memory by members", "members", "resident MB", memory).fit(),
        LinearFit(
            "control by members",
            "members",
            "processor time (ms/s)",
            processor,
        ).fit(),
    ]


async def _write_members(client, running, count: int) -> None:
    writes = [
        {
            "key": f"members/x{number}",
            "value": _member_row(number),
            "if_version": None,
        }
        for number in range(count)
    ]
    if writes:
        url = f"{running.platform_url}/table/transact"
        (await client.post(url, json={"writes": writes})).raise_for_status()


async def _wait_for_members(client, running, count: int) -> None:
    with anyio.fail_after(60):
        while True:
            status = await running.status(client, running.instances[0])
            if len(status.get("members", {})) >= count:
                return
            await anyio.sleep(0.2)


async def measure_connections() -> LinearFit:
    """Measures the memory of a node by idle peer connections."""
    points = []
    running = cluster.Cluster(
        {"registry": 1},
        added_latency.DOCUMENT,
        domains=("d1",),
        first_port=FIRST_PORT + 300,
    )
    streams: list[anyio.abc.ByteStream] = []
    try:
        await running.start()
        instance = running.instances[0]
        assert instance.node is not None
        await anyio.sleep(2)
        for count in CONNECTION_COUNTS:
            while len(streams) < count:
                streams.append(
                    await pool.connect_tcp("127.0.0.1", instance.ports["peer"])
                )
            await anyio.sleep(0.5)
            resident_bytes = psutil.Process(instance.node.pid).memory_info().rss
            points.append((count, resident_bytes / 1e6))
    finally:
        for stream in streams:
            await stream.aclose()
        running.stop()
    return LinearFit(
        "memory by connections", "connections", "resident MB", points
    ).fit()


def measure_choice() -> LinearFit:
    """Measures the time of one routing decision by candidates."""
    points = []
    for count in CANDIDATE_COUNTS:
        candidates = [
            known_target.Candidate(node=f"n{number}", **_member_row(number))
            for number in range(count)
        ]
        router = routing.Router(random.Random(1))
        repeats = 5000
        begin_s = time.perf_counter()
        for _ in range(repeats):
            router.choose(candidates, frozenset(), set())
        elapsed_s = time.perf_counter() - begin_s
        points.append((count, 1e6 * elapsed_s / repeats))
    return LinearFit("choice", "candidates", "time (us)", points).fit()


def measure_document() -> list[LinearFit]:
    """Measures size and validation time of a document by services."""
    size = []
    seconds = []
    for count in SERVICE_COUNTS:
        content = _make_document(count)
        text = content.model_dump_json()
        size.append((count, len(text) / 1000))
        repeats = 50
        begin_s = time.perf_counter()
        for _ in range(repeats):
            parsed = document.Document.model_validate_json(text)
            document.make_revision(1, parsed)
        elapsed_s = time.perf_counter() - begin_s
        seconds.append((count, 1000 * elapsed_s / repeats))
    return [
        LinearFit("document size", "services", "kB", size).fit(),
        LinearFit("document check", "services", "time (ms)", seconds).fit(),
    ]


def _make_document(count: int) -> document.Document:
    services = [
        {
            "name": f"s{number}",
            "member_weights": {f"m{m}": 1.0 for m in range(3)},
            "routes": [
                {"path_prefix": f"/s{number}/r{route}/", "idempotent": True}
                for route in range(6)
            ],
        }
        for number in range(count)
    ]
    domains = [
        {"name": f"d{number}", "region": f"r{number % 2}"}
        for number in range(6)
    ]
    return document.Document.model_validate(
        {"services": services, "failure_domains": domains}
    )


async def measure_platform() -> list[LinearFit]:
    """Measures platform reads and writes per second by nodes."""
    reads = []
    writes = []
    for index, count in enumerate(NODE_COUNTS):
        running = cluster.Cluster(
            {"registry": count},
            added_latency.DOCUMENT,
            first_port=FIRST_PORT + 400 + index * 60,
        )
        try:
            await running.start()
            url = f"{running.platform_url}/control/counts"
            async with httpx.AsyncClient(trust_env=False) as client:
                await anyio.sleep(5)
                begin = (await client.get(url)).json()
                await anyio.sleep(PLATFORM_COUNTING_S)
                end = (await client.get(url)).json()
        finally:
            running.stop()
        operations = {name: end[name] - begin[name] for name in end}
        reads.append((count, operations["reads"] / PLATFORM_COUNTING_S))
        writes.append((count, operations["writes"] / PLATFORM_COUNTING_S))
    return [
        LinearFit("platform reads", "nodes", "reads/s", reads).fit(),
        LinearFit("platform writes", "nodes", "writes/s", writes).fit(),
    ]


async def measure_claims() -> LinearFit:
    """Measures platform writes by calls with an idempotency key."""
    points = []
    names = ["registry"]
    content = callers.make_document(names, ("d1",))
    async with cluster.run_cluster(
        {"registry": 1},
        content,
        slots=64,
        domains=("d1",),
        first_port=FIRST_PORT + 700,
    ) as running:
        url = f"{running.platform_url}/control/counts"
        address = ("127.0.0.1", running.instances[0].ports["caller"])
        load_client = load.Client()
        async with httpx.AsyncClient(trust_env=False) as client:
            await anyio.sleep(5)
            for count in KEYED_CALL_COUNTS:
                before = (await client.get(url)).json()["writes"]
                for number in range(count):
                    key = f"{count}-{number}"
                    request = load.Request(
                        address,
                        "POST",
                        "/registry/transfers",
                        "keyed",
                        key,
                        [("idempotency-key", key)],
                    )
                    result = await load_client.send(request, time.monotonic())
                    assert result.outcome == "answered", result
                    # Stays below the default budget of claim writes.
                    await anyio.sleep(0.02)
                await anyio.sleep(1)
                after = (await client.get(url)).json()["writes"]
                points.append((count, after - before))
        await load_client.close()
    return LinearFit("claim writes", "keyed calls", "writes", points).fit()


async def measure_gossip() -> list[LinearFit]:
    """Measures digest cost and propagation time of a change by members."""
    rng = random.Random(1)
    cost = []
    size = []
    spread = []
    for count in GOSSIP_MEMBER_COUNTS:
        used = await gossip_cost.measure_datagrams(count, 0, rng)
        cost.append((count, 1e6 * sum(used)))
        network = gossip_cost.make_network(count, rng)
        size.append((count, gossip_cost.measure_bytes(network)))
        times_s = gossip_cost.measure_spread(network, rng)
        spread.append((count, max(times_s)))
    return [
        LinearFit("gossip digest", "members", "time (us)", cost).fit(),
        LinearFit("gossip bytes", "members", "bytes/s", size).fit(),
        LinearFit("in force", "members", "worst time (s)", spread).fit(),
    ]


async def measure_all() -> list[LinearFit]:
    """Runs all measurements in sequence."""
    fits = await measure_node_passes()
    fits += await measure_members()
    fits.append(await measure_connections())
    fits.append(measure_choice())
    fits += measure_document()
    fits.append(await measure_claims())
    fits += await measure_gossip()
    fits += await measure_platform()
    return fits
