"""Restarts targets and nodes under load and checks the load on cold targets.

An emulated target can serve one request at a time when it starts, and one
more for each ten that it has served. It counts the requests beyond that limit
as overloads. Targets and nodes are killed and restarted in an order derived
from the seed. At the end one target turns cold without reporting it.
"""

import collections
import contextlib
import random

import anyio
import httpx

from waxwingferry.bench import callers
from waxwingferry.bench import cluster
from waxwingferry.bench import experiment
from waxwingferry.bench import load

SLOTS = 6
SERVICE_TIME_MS = 20.0
RATE_PER_S = 500.0
RESTART_COUNT = 6
RESTART_INTERVAL_S = 1.5
READ_ATTEMPTS = 100
COLD_BEHAVIOUR = {
    "cold_bears": 1,
    "warm_after": 10,
    "service_time_ms": SERVICE_TIME_MS,
}

DOCUMENT = {
    "services": [
        {
            "name": "registry",
            "routes": [callers.make_read_route(500)],
        }
    ],
    "failure_domains": [{"name": "d1", "region": "r1"}],
}


class TargetCounts:
    """Counters of each target, separate for each of its starts.

    Attributes:
        starts: Counters by target name, one for each start in order.
    """

    def __init__(self):
        self.starts: dict[str, list[collections.Counter[str]]] = {}

    async def read(self, client, running, instance) -> None:
        """Reads the counters of a target; retries while it is starting."""
        starts = self.starts.setdefault(instance.name, [collections.Counter()])
        for _ in range(READ_ATTEMPTS):
            with contextlib.suppress(httpx.HTTPError):
                counts = await running.counts(client, instance)
                starts[-1] = collections.Counter(counts)
                return
            await anyio.sleep(0.1)
        raise cluster.ClusterError(f"target {instance.name} does not answer")


async def run(options: experiment.Options) -> experiment.Report:
    """Runs the experiment."""
    report = experiment.Report()
    async with cluster.run_cluster(
        {"registry": 3},
        DOCUMENT,
        slots=SLOTS,
        behaviour=COLD_BEHAVIOUR,
        domains=("d1",),
        first_port=options.first_port,
        seed=options.seed,
    ) as running:
        await _measure(options, running, report)
    return report


async def _measure(options, running, report) -> None:
    recorder = load.Recorder()
    generator = load.LoadGenerator(random.Random(options.seed), recorder)
    ports = [item.ports["caller"] for item in running.instances]
    workload = load.Workload(
        RATE_PER_S,
        RESTART_COUNT * RESTART_INTERVAL_S + 6.0,
        lambda rng, number: _make_request(rng, number, ports),
    )
    counts = TargetCounts()
    async with httpx.AsyncClient(trust_env=False) as client:
        async with anyio.create_task_group() as group:
            group.start_soon(generator.run, workload)
            await anyio.sleep(RESTART_INTERVAL_S)
            await _restart_processes(options, running, client, counts)
            for instance in running.instances:
                await counts.read(client, running, instance)
            silent_cold_turn = await _turn_cold(running, client)
    _report_starts(report, counts)
    _report_load(report, recorder, silent_cold_turn)


def _make_request(
    rng: random.Random, number: int, ports: list[int]
) -> load.Request:
    port = rng.choice(ports)
    address = ("127.0.0.1", port)
    return load.Request(address, "GET", "/registry/a", "read", f"r-{number}")


async def _restart_processes(options, running, client, counts) -> None:
    rng = random.Random(options.seed + 1)
    for _ in range(RESTART_COUNT):
        instance = rng.choice(running.instances)
        restarted = rng.choice(["target", "node", "both"])
        await counts.read(client, running, instance)
        if restarted in ("node", "both"):
            _kill(instance.node)
            running.start_node(instance)
        if restarted in ("target", "both"):
            _kill(instance.target)
            counts.starts[instance.name].append(collections.Counter())
            running.start_target(instance)
        await anyio.sleep(RESTART_INTERVAL_S * rng.uniform(0.5, 1.5))


def _kill(process) -> None:
    process.kill()
    process.wait()


async def _turn_cold(running, client) -> tuple[int, int]:
    """Turns a target cold; returns its overloads and requests from then on."""
    instance = running.instances[0]
    before = await running.counts(client, instance)
    await running.control_target(client, instance, turn_cold=True)
    await anyio.sleep(3.0)
    after = await running.counts(client, instance)
    return (
        after.get("overloads", 0) - before.get("overloads", 0),
        after["started"] - before["started"],
    )


def _report_starts(report, counts) -> None:
    table = experiment.Table(
        "each start of a target that bears 1 at a time when it is cold",
        ["target", "start", "served", "most at a time", "overloads", "shed"],
    )
    for name, starts in counts.starts.items():
        for number, start_counts in enumerate(starts, 1):
            overloads = start_counts["overloads"] + start_counts["shed"]
            table.rows.append(
                [
                    name,
                    number,
                    start_counts["started"],
                    start_counts["most_in_flight"],
                ]
                + [start_counts["overloads"], start_counts["shed"]]
            )
            if not start_counts["started"]:
                continue
            report.check(
                "a target that has just started is given what it bears",
                overloads == 0,
                f"{name}, start {number}: {overloads} requests beyond it",
            )
    report.tables.append(table)
    report.figures["starts"] = {
        name: [dict(item) for item in starts]
        for name, starts in counts.starts.items()
    }


def _report_load(report, recorder, silent_cold_turn) -> None:
    p50_ms, p99_ms, _ = recorder.percentiles_ms("read")
    table = experiment.Table(
        f"{RATE_PER_S:.0f} calls/s during all restarts",
        ["answered", "not run", "unknown", "no answer", "p50 ms", "p99 ms"]
        + ["overloads after a silent cold turn", "of requests"],
    )
    outcomes = recorder.outcomes
    table.rows.append(
        [outcomes[name] for name in ("answered", "not-run", "unknown")]
        + [outcomes["no-answer"], p50_ms, p99_ms, *silent_cold_turn]
    )
    report.tables.append(table)
    report.figures["load"] = dict(outcomes)
    report.figures["reasons"] = dict(recorder.reasons)
    report.figures["silent_cold_turn"] = silent_cold_turn
