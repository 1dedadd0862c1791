"""Measures the latency and processor time that nodes add to a call.

An open-loop load at the rate expected for one target in two years is sent to
the target directly, through its own node (one pass), through another node
(two passes), and through a hypercorn and httpx proxy as the baseline. The
phases are interleaved in short rounds, so that noise of the machine affects
all of them alike.
"""

import random
import signal

import anyio
import psutil

from waxwingferry.bench import callers
from waxwingferry.bench import cluster
from waxwingferry.bench import experiment
from waxwingferry.bench import load

RATE_PER_S = 258.0
MAX_ADDED_P99_MS = 1.1
ROUND_COUNT = 4
SLOTS = 64

DOCUMENT = {
    "services": [
        {
            "name": "registry",
            "routes": [callers.make_read_route(5000)],
        }
    ],
    "failure_domains": [{"name": "d1", "region": "r1"}],
}

BASELINE = "hypercorn + httpx"
DIRECT = "direct"
ONE_PASS = "one pass"
TWO_PASSES = "two passes"


def make_workload(port: int, label: str, duration_s: float) -> load.Workload:
    """Returns the workload of one phase."""

    def make_request(rng: random.Random, number: int) -> load.Request:
        return load.Request(
            ("127.0.0.1", port),
            "GET",
            "/registry/prices",
            label,
            f"{label}-{number}",
        )

    return load.Workload(RATE_PER_S, duration_s, make_request)


def processor_time_s(pids: list[int]) -> float:
    """Returns the processor time used so far by processes, in seconds."""
    total = 0.0
    for pid in pids:
        times = psutil.Process(pid).cpu_times()
        total += times.user + times.system
    return total


async def run(options: experiment.Options) -> experiment.Report:
    """Runs the experiment."""
    services = {"registry": 1, "other": 1}
    async with cluster.run_cluster(
        services,
        DOCUMENT,
        slots=SLOTS,
        behaviour={"service_time_ms": 0.0},
        domains=("d1",),
        first_port=options.first_port,
        seed=options.seed,
    ) as running:
        return await _measure(options, running)


async def _measure(
    options: experiment.Options, running: cluster.Cluster
) -> experiment.Report:
    own, other = running.instances
    baseline_port = running.ports.allocate()
    baseline = running.start_process(
        "waxwingferry.bench.baseline",
        f"--port={baseline_port}",
        f"--target_port={own.ports['target']}",
    )
    assert own.node is not None
    assert other.node is not None
    phases = {
        DIRECT: (own.ports["target"], []),
        ONE_PASS: (own.ports["caller"], [own.node.pid]),
        TWO_PASSES: (
            other.ports["caller"],
            [own.node.pid, other.node.pid],
        ),
        BASELINE: (baseline_port, [baseline.pid]),
    }
    try:
        await anyio.sleep(1.5)
        return await _run_phases(options, phases)
    finally:
        baseline.send_signal(signal.SIGTERM)
        baseline.wait(10)


async def _run_phases(options, phases) -> experiment.Report:
    recorder = load.Recorder()
    processor_s = dict.fromkeys(phases, 0.0)
    generator = load.LoadGenerator(random.Random(options.seed), recorder)
    for round_number in range(ROUND_COUNT + 1):
        if round_number == 1:
            # The first round warms up the target's limit and all connection
            # pools; its results are discarded.
            recorder = generator.recorder = load.Recorder()
            processor_s = dict.fromkeys(phases, 0.0)
        for label, (port, pids) in phases.items():
            begin_s = processor_time_s(pids)
            duration_s = options.duration_s / ROUND_COUNT
            await generator.run(make_workload(port, label, duration_s))
            processor_s[label] += processor_time_s(pids) - begin_s
    return _make_report(recorder, processor_s, phases)


def _make_report(recorder, processor_s, phases) -> experiment.Report:
    report = experiment.Report()
    table = experiment.Table(
        f"latency at {RATE_PER_S:.0f} calls/s (ms), timed from the "
        "scheduled send",
        ["path", "calls", "p50", "p99", "p99.9", "added p50", "added p99"]
        + ["processor ms/call"],
    )
    direct_ms = recorder.percentiles_ms(DIRECT)
    for label in phases:
        percentiles_ms = recorder.percentiles_ms(label)
        calls = recorder.histograms[label].get_total_count()
        added_by_percentile_ms = [
            value - base
            for value, base in zip(percentiles_ms, direct_ms, strict=True)
        ]
        cost_ms = 1000 * processor_s[label] / max(calls, 1)
        table.rows.append(
            [
                label,
                calls,
                *percentiles_ms,
                added_by_percentile_ms[0],
                added_by_percentile_ms[1],
                cost_ms,
            ]
        )
        report.figures[label] = {
            "calls": calls,
            "p50_ms": percentiles_ms[0],
            "p99_ms": percentiles_ms[1],
            "p99.9_ms": percentiles_ms[2],
            "added_p50_ms": added_by_percentile_ms[0],
            "added_p99_ms": added_by_percentile_ms[1],
            "processor_ms_per_call": cost_ms,
        }
    report.tables.append(table)
    for label in (ONE_PASS, TWO_PASSES):
        report.check(
            "every call through the nodes is answered",
            recorder.unanswered[label] == 0,
            f"{label}: {recorder.unanswered[label]} not answered; reasons "
            f"{dict(recorder.reasons)}",
        )
    added_ms = report.figures[TWO_PASSES]["added_p99_ms"]
    report.check(
        f"two passes add at most {MAX_ADDED_P99_MS} ms at p99",
        added_ms <= MAX_ADDED_P99_MS,
        f"{added_ms:.3f} ms",
    )
    return report
