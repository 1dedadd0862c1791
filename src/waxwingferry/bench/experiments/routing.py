"""Compares target selection policies under the same load.

Each policy runs on a separate cluster with the same seeds for arrivals and
targets. The speed of a target changes every five milliseconds, and noisy
neighbours slow it down. Each call enters through a random node.
"""

import random
import time

import httpx

from waxwingferry.bench import callers
from waxwingferry.bench import cluster
from waxwingferry.bench import counters
from waxwingferry.bench import experiment
from waxwingferry.bench import load
from waxwingferry.process.choice import probe
from waxwingferry.process.choice import routing

TARGET_COUNT = 8
SLOTS = 6
SERVICE_TIME_MS = 30.0
RATE_PER_S = 440.0
WARM_UP_S = 3.0
PHASE_DURATION_SHARE = 0.4
PROBES_PER_S = 10.0

TARGET_BEHAVIOUR = {
    "service_time_ms": SERVICE_TIME_MS,
    "speed_shift": 4.0,
    "neighbour_slowdown": 4.0,
    "neighbour_share": 0.1,
}

DOCUMENT = {
    "services": [
        {
            "name": "registry",
            "routes": [callers.make_read_route(5000)],
        }
    ],
    "failure_domains": [
        {"name": f"d{number}", "region": "r1"} for number in range(1, 5)
    ],
    "budgets": {"probe_per_s": PROBES_PER_S},
}

COLUMNS = [
    "variant",
    "calls",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "refused",
    "retries",
    "probes",
    "spread",
]


def make_workload(
    running: cluster.Cluster, label: str, duration_s: float
) -> load.Workload:
    """Returns a workload that sends calls to all nodes at random."""

    def make_request(rng: random.Random, number: int) -> load.Request:
        instance = rng.choice(running.instances)
        return load.Request(
            ("127.0.0.1", instance.ports["caller"]),
            "GET",
            "/registry/prices",
            label,
            f"{label}-{number}",
        )

    return load.Workload(RATE_PER_S, duration_s, make_request)


async def run(options: experiment.Options) -> experiment.Report:
    """Runs the experiment."""
    report = experiment.Report()
    table = experiment.Table("choice of targets", COLUMNS)
    report.tables.append(table)
    for policy in routing.Policy:
        async with cluster.run_cluster(
            {"registry": TARGET_COUNT},
            DOCUMENT,
            slots=SLOTS,
            behaviour=TARGET_BEHAVIOUR,
            first_port=options.first_port,
            seed=options.seed,
            node_settings={"choice": policy.value},
        ) as running:
            row = await _measure(options, running, policy.value, report)
        table.rows.append(row)
        report.figures[policy.value] = dict(zip(COLUMNS, row, strict=True))
    return report


async def _measure(
    options: experiment.Options,
    running: cluster.Cluster,
    policy: str,
    report: experiment.Report,
) -> list:
    begin_s = time.monotonic()
    await load.run_load(
        make_workload(running, "warm-up", WARM_UP_S), options.seed + 1
    )
    async with httpx.AsyncClient(trust_env=False) as client:
        counters_before = await counters.read_counters(client, running)
        counts_before = await _read_counts(client, running)
        recorder = await load.run_load(
            make_workload(
                running, policy, options.duration_s * PHASE_DURATION_SHARE
            ),
            options.seed,
        )
        counters_after = await counters.read_counters(client, running)
        counts_after = await _read_counts(client, running)
    elapsed_s = time.monotonic() - begin_s
    _check_results(
        report, policy, recorder, counters_after, counts_after, elapsed_s
    )
    shares = [
        counts_after[name]["started"] - counts_before[name].get("started", 0)
        for name in counts_after
    ]
    change = counters_after - counters_before
    return [
        policy,
        sum(recorder.outcomes.values()),
        *recorder.percentiles_ms(policy),
        recorder.outcomes["not-run"],
        counters.sum_counters(change, "retries"),
        change["events:probe_sent"],
        max(shares) / max(min(shares), 1),
    ]


async def _read_counts(
    client: httpx.AsyncClient, running: cluster.Cluster
) -> dict[str, dict[str, int]]:
    return {
        instance.name: await running.counts(client, instance)
        for instance in running.instances
    }


def _check_results(
    report, policy, recorder, counters_after, counts_after, elapsed_s
) -> None:
    probes = counters_after["events:probe_sent"]
    # Token buckets are full at the start of the load, because the nodes start
    # up to some seconds earlier.
    allowed_by_rate = TARGET_COUNT * PROBES_PER_S * (elapsed_s + 1)
    allowed_by_bytes = TARGET_COUNT * probe.BYTES_PER_S * (elapsed_s + 1) / 100
    report.check(
        "probes stay within their budget",
        probes <= min(allowed_by_rate, allowed_by_bytes),
        f"{policy}: {probes} probes in {elapsed_s:.1f} s",
    )
    report.check(
        "each answer belongs to its request",
        recorder.crossed == 0,
        f"{policy}: {recorder.crossed} mismatched answers",
    )
    report.check(
        "each call gets an answer or a refusal",
        recorder.outcomes["no-answer"] == 0,
        f"{policy}: {dict(recorder.reasons)}",
    )
    for name, target_counts in counts_after.items():
        peak_in_flight = target_counts.get("most_in_flight", 0)
        shed = target_counts.get("shed", 0)
        report.check(
            "no target gets more than its slots",
            peak_in_flight <= SLOTS and not shed,
            f"{policy}: {name}: {peak_in_flight} in flight, {shed} shed",
        )
