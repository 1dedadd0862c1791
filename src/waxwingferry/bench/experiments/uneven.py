"""Measures how uneven demand meets targets of uneven speed.

The targets of one service differ by four times in speed, and most callers use
the nodes of one failure domain, whose targets are the slowest. Its excess
should be served by the other domains before any request is refused.
"""

import random

import httpx

from waxwingferry.bench import callers
from waxwingferry.bench import cluster
from waxwingferry.bench import experiment
from waxwingferry.bench import load

SLOTS = 4
DOMAINS = ("d1", "d2", "d3")
TARGETS = 6
# Mean service time of the targets of each failure domain.
SERVICE_TIME_MS = {"d1": 240.0, "d2": 120.0, "d3": 60.0}
CAPACITY_PER_S = sum(
    TARGETS / len(DOMAINS) * SLOTS / (item / 1000)
    for item in SERVICE_TIME_MS.values()
)
# Callers of the slowest domain, which alone serves 14% of the capacity.
CROWDED_SHARE = 0.8
LOAD_SHARES = {"half": 0.5, "three quarters": 0.75}
OBJECTIVE_MS = 1200
# Below its capacity, the service refuses next to nothing whoever asks.
MAX_REFUSED_SHARE = 0.02
WARM_UP_S = 3.0
DOCUMENT = {
    "services": [
        {
            "name": "registry",
            "routes": [
                callers.make_read_route(6000) | {"objective_ms": OBJECTIVE_MS}
            ],
        }
    ],
    "failure_domains": [
        {"name": name, "region": "r1"} for name in sorted(SERVICE_TIME_MS)
    ],
}
COLUMNS = ["phase", "callers of", "sent", "served", "late", "refused"]


async def run(options: experiment.Options) -> experiment.Report:
    """Runs the experiment."""
    report = experiment.Report()
    report.tables = [
        experiment.Table(
            f"uneven callers of targets for {CAPACITY_PER_S:.0f} calls/s",
            [*COLUMNS, "p50 ms", "p99 ms"],
        ),
        experiment.Table(
            "requests that ran, by failure domain of the target",
            ["phase", *DOMAINS],
        ),
    ]
    async with (
        cluster.run_cluster(
            {"registry": TARGETS},
            DOCUMENT,
            slots=SLOTS,
            domains=DOMAINS,
            first_port=options.first_port,
            seed=options.seed,
        ) as running,
        httpx.AsyncClient(trust_env=False) as client,
    ):
        for instance in running.instances:
            await running.control_target(
                client,
                instance,
                service_time_ms=SERVICE_TIME_MS[instance.failure_domain],
            )
        await _run_phase(options, running, 0.5, WARM_UP_S)
        for phase, share in LOAD_SHARES.items():
            before = _count_runs(running)
            recorder = await _run_phase(
                options, running, share, options.duration_s
            )
            after = _count_runs(running)
            report.tables[1].rows.append(
                [phase, *(after[name] - before[name] for name in DOMAINS)]
            )
            _report_phase(report, phase, recorder)
    return report


def _count_runs(running: cluster.Cluster) -> dict[str, int]:
    """Returns the number of requests that ran, by failure domain."""
    ledgers = running.read_ledgers()
    counts = dict.fromkeys(DOMAINS, 0)
    for instance in running.instances:
        counts[instance.failure_domain] += len(ledgers[instance.name])
    return counts


async def _run_phase(
    options: experiment.Options,
    running: cluster.Cluster,
    share: float,
    duration_s: float,
) -> load.Recorder:
    crowded = [
        item for item in running.instances if item.failure_domain == DOMAINS[0]
    ]
    others = [item for item in running.instances if item not in crowded]

    def make_request(rng: random.Random, number: int) -> load.Request:
        is_crowded = rng.random() < CROWDED_SHARE
        instance = rng.choice(crowded if is_crowded else others)
        label = DOMAINS[0] if is_crowded else "others"
        return load.Request(
            ("127.0.0.1", instance.ports["caller"]),
            "GET",
            "/registry/prices",
            label,
            f"{label}-{number}",
        )

    workload = load.Workload(share * CAPACITY_PER_S, duration_s, make_request)
    return await load.run_load(workload, options.seed, keep_results=True)


def _report_phase(
    report: experiment.Report, phase: str, recorder: load.Recorder
) -> None:
    for label in (DOMAINS[0], "others"):
        results = [
            item for item in recorder.results if item.request.label == label
        ]
        sent = max(len(results), 1)
        refused = sum(item.outcome == "not-run" for item in results) / sent
        answered = [item for item in results if item.outcome == "answered"]
        late = sum(item.latency_s * 1000 > OBJECTIVE_MS for item in answered)
        row = [
            phase,
            label,
            len(results),
            (len(answered) - late) / sent,
            late / sent,
            refused,
        ]
        report.figures[f"{phase}, {label}"] = dict(
            zip(COLUMNS, row, strict=True)
        )
        report.tables[0].rows.append(
            [*row, *recorder.percentiles_ms(label)[:2]]
        )
        report.check(
            "others' capacity is used before a request is refused",
            refused <= MAX_REFUSED_SHARE,
            f"{phase}: {refused:.3f} of the requests from {label} refused",
        )
    report.check(
        "each call gets an answer or a refusal",
        recorder.outcomes["no-answer"] == 0,
        f"{phase}: {dict(recorder.reasons)}",
    )
