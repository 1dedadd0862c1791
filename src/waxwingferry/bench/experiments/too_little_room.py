"""Measures what is served, late and refused by priority under overload.

Routes of three priorities with different work share one service. First there
is room for all, then callers ask for 1.5 and 2.5 times what the targets can
serve. What is delayed or refused should be what costs callers least.
"""

import collections
import dataclasses
import random

import anyio

from waxwingferry.bench import cluster
from waxwingferry.bench import experiment
from waxwingferry.bench import load

TARGETS = 3
SLOTS = 4
# Long enough that the load generator and the nodes don't set the limit.
SERVICE_TIME_MS = 100.0
CAPACITY_PER_S = TARGETS * SLOTS / (SERVICE_TIME_MS / 1000)
OVERLOAD = {"room": 0.5, "1.5 times": 1.5, "2.5 times": 2.5}
# The guarantee of least-cost admission: a less urgent kind is not served more
# often than a more urgent one by over 5 percentage points.
MAX_INVERSION = 0.05
# With fewer requests of a kind, the shares vary by more than that by chance.
MIN_REQUESTS = 150
# A refusal that takes a larger part of the deadline is not early.
MAX_REFUSAL_SHARE = 0.5
# A target's limit grows after its start until it has served some requests.
WARM_UP_S = 3.0


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """Requests of one route.

    Attributes:
        share: Share of all requests.
    """

    name: str
    share: float
    priority: int
    objective_ms: int
    deadline_ms: int


KINDS = [
    Kind("order", 0.3, 0, 400, 4000),
    Kind("search", 0.4, 1, 800, 4000),
    Kind("export", 0.3, 2, 2000, 8000),
]
DOCUMENT = {
    "services": [
        {
            "name": "shop",
            "routes": [
                {
                    "path_prefix": f"/shop/{kind.name}",
                    "methods": ["GET"],
                    "idempotent": True,
                    "deadline_ms": kind.deadline_ms,
                    "objective_ms": kind.objective_ms,
                    "priority": kind.priority,
                }
                for kind in KINDS
            ],
        }
    ],
    "failure_domains": [{"name": "d1", "region": "r1"}],
}
COLUMNS = ["phase", "kind", "priority", "sent", "served", "late", "refused"]


async def run(options: experiment.Options) -> experiment.Report:
    """Runs the experiment."""
    report = experiment.Report()
    table = experiment.Table(
        f"three kinds at targets that serve {CAPACITY_PER_S:.0f} calls/s",
        [*COLUMNS, "p50 ms", "p99 ms"],
    )
    report.tables.append(table)
    async with cluster.run_cluster(
        {"shop": TARGETS},
        DOCUMENT,
        slots=SLOTS,
        behaviour={"service_time_ms": SERVICE_TIME_MS},
        domains=("d1",),
        first_port=options.first_port,
        seed=options.seed,
    ) as running:
        await _run_phase(options, running, 0.8, WARM_UP_S)
        for phase, factor in OVERLOAD.items():
            recorder = await _run_phase(
                options, running, factor, options.duration_s
            )
            _report_phase(report, phase, recorder)
            await anyio.sleep(0.5)
    return report


async def _run_phase(
    options: experiment.Options,
    running: cluster.Cluster,
    factor: float,
    duration_s: float,
) -> load.Recorder:
    ports = [item.ports["caller"] for item in running.instances]

    def make_request(rng: random.Random, number: int) -> load.Request:
        [kind] = rng.choices(KINDS, [item.share for item in KINDS])
        return load.Request(
            ("127.0.0.1", rng.choice(ports)),
            "GET",
            f"/shop/{kind.name}",
            kind.name,
            f"{kind.name}-{number}",
        )

    workload = load.Workload(factor * CAPACITY_PER_S, duration_s, make_request)
    return await load.run_load(workload, options.seed, keep_results=True)


def _report_phase(
    report: experiment.Report, phase: str, recorder: load.Recorder
) -> None:
    served_shares = {}
    for kind in KINDS:
        results = [
            item for item in recorder.results if item.request.label == kind.name
        ]
        outcomes = collections.Counter(item.outcome for item in results)
        answered = [item for item in results if item.outcome == "answered"]
        late = sum(
            item.latency_s * 1000 > kind.objective_ms for item in answered
        )
        sent = len(results)
        served = (len(answered) - late) / max(sent, 1)
        if sent >= MIN_REQUESTS:
            served_shares[kind] = served
        row = [
            phase,
            kind.name,
            kind.priority,
            sent,
            served,
            late / max(sent, 1),
            outcomes["not-run"] / max(sent, 1),
        ]
        report.figures[f"{phase}, {kind.name}"] = dict(
            zip(COLUMNS, row, strict=True)
        )
        report.tables[0].rows.append(
            [*row, *recorder.percentiles_ms(kind.name)[:2]]
        )
    _check_order(report, phase, served_shares)
    deadlines_s = {kind.name: kind.deadline_ms / 1000 for kind in KINDS}
    slowest = max(
        (
            item.latency_s / deadlines_s[item.request.label]
            for item in recorder.results
            if item.outcome == "not-run"
        ),
        default=0.0,
    )
    report.check(
        "excess is refused early",
        slowest <= MAX_REFUSAL_SHARE,
        f"{phase}: a refusal took {slowest:.2f} of its deadline",
    )
    report.check(
        "each call gets an answer or a refusal",
        recorder.outcomes["no-answer"] == 0,
        f"{phase}: {dict(recorder.reasons)}",
    )


def _check_order(
    report: experiment.Report, phase: str, served_shares: dict[Kind, float]
) -> None:
    for urgent, share in served_shares.items():
        for other, other_share in served_shares.items():
            if other.priority > urgent.priority:
                report.check(
                    "a less urgent kind is not served more often",
                    other_share <= share + MAX_INVERSION,
                    f"{phase}: {other.name} {other_share:.3f}, "
                    f"{urgent.name} {share:.3f}",
                )
