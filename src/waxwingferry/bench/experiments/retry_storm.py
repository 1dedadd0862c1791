"""Retries in a chain of 14 calls whose last link refuses, and in overload.

The last link refuses as not run and each target above passes that on, which
is the worst case for retries: every entry of the chain may try again. Then
twice as many calls arrive as the targets can serve.
"""

import random

import httpx

from waxwingferry.bench import cluster
from waxwingferry.bench import counters
from waxwingferry.bench import experiment
from waxwingferry.bench import load
from waxwingferry.request import call

TARGETS = 6
SLOTS = 12
RETRY_RATIO = 0.1
DEADLINE_MS = 5000
LINKS = call.MAX_DEPTH
CHAIN = f"/registry/chain/{LINKS - 1}"
LAST_LINK = "/registry/chain/0"
CHAIN_RATE_PER_S = 15.0

FLAT = "/registry/prices"
FLAT_SERVICE_TIME_MS = 200.0
FLAT_CAPACITY_PER_S = TARGETS * SLOTS / (FLAT_SERVICE_TIME_MS / 1000)
OVERLOAD = 2.0

# Answers within twice the mean wait of a full queue count as in time.
REFUSAL_LIMIT_MS = DEADLINE_MS / 2

DOCUMENT = {
    "services": [
        {
            "name": "registry",
            "routes": [
                {
                    "path_prefix": "/registry/",
                    "methods": ["GET"],
                    "idempotent": True,
                    "deadline_ms": DEADLINE_MS,
                }
            ],
        }
    ],
    "failure_domains": [
        {"name": f"d{number}", "region": "r1"} for number in range(1, 5)
    ],
    "budgets": {"retry_ratio": RETRY_RATIO},
}

COLUMNS = [
    "phase",
    "calls",
    "answered",
    "not run",
    "last link / call",
    "retries / call",
    "p99 ms",
    "refusal p99 ms",
]


class Storm:
    """One run over a cluster.

    Args:
        options: Options of the run.
        running: The cluster.
        client: Client for control and counters.
        report: Takes tables and checks.
    """

    def __init__(self, options, running, client, report):
        self.options: experiment.Options = options
        self.running: cluster.Cluster = running
        self.client: httpx.AsyncClient = client
        self.report: experiment.Report = report
        self.table = experiment.Table("retry storm", COLUMNS)
        report.tables.append(self.table)

    async def control(self, **changes) -> None:
        """Changes how all targets behave."""
        for member in self.running.members:
            await self.running.control_target(self.client, member, **changes)

    async def run_phase(
        self, name: str, path: str, rate_per_s: float, share: float
    ) -> None:
        """Makes one load, and checks what the retries came to."""
        before = await counters.read_counters(self.client, self.running)
        arrived = await self._count_arrivals(path)
        plan = self._make_plan(name, path, rate_per_s, share)
        recorder = await load.run_load(plan, self.options.seed, keep=True)
        after = await counters.read_counters(self.client, self.running)
        arrivals = await self._count_arrivals(path) - arrived
        calls = sum(recorder.outcomes.values())
        retries = counters.sum_counters(after - before, "retries")
        refused_ms = sorted(
            item.latency_s * 1000
            for item in recorder.results
            if item.outcome == "not-run"
        )
        refusal_ms = (
            refused_ms[int(len(refused_ms) * 0.99)] if refused_ms else 0
        )
        self._check(name, path, recorder, arrivals, retries, refusal_ms)
        row = [
            name,
            calls,
            recorder.outcomes["answered"],
            recorder.outcomes["not-run"],
            arrivals / calls,
            retries / calls,
            recorder.percentiles_ms(name)[1],
            float(refusal_ms),
        ]
        self.table.rows.append(row)
        self.report.figures[name] = dict(zip(COLUMNS, row, strict=True))

    def _make_plan(self, name, path, rate_per_s, share) -> load.Plan:
        def make_request(rng: random.Random, number: int) -> load.Request:
            member = rng.choice(self.running.members)
            address = ("127.0.0.1", member.ports["caller"])
            return load.Request(address, "GET", path, name, f"{name}-{number}")

        return load.Plan(
            rate_per_s, self.options.duration_s * share, make_request
        )

    async def _count_arrivals(self, path: str) -> int:
        """Returns how often the last link, or a flat call, got to a target."""
        last = LAST_LINK if path == CHAIN else path
        total = 0
        for member in self.running.members:
            counts = await self.running.counts(self.client, member)
            total += counts.get("refused", 0)
        for ledger in self.running.read_ledgers().values():
            total += sum(item["path"] == last for item in ledger)
        return total

    def _check(
        self, name, path, recorder, arrivals, retries, refusal_ms
    ) -> None:
        calls = sum(recorder.outcomes.values())
        levels = LINKS if path == CHAIN else 1
        check = self.report.check
        check(
            "retries stay within their budget",
            retries <= RETRY_RATIO * calls * levels,
            f"{name}: {retries} retries for {calls} x {levels} calls",
        )
        check(
            "a brown-out does not multiply in a chain",
            arrivals <= calls * (1 + RETRY_RATIO * levels),
            f"{name}: {arrivals} attempts at the last link for {calls} calls",
        )
        check(
            "excess is refused before its deadline",
            refusal_ms <= REFUSAL_LIMIT_MS,
            f"{name}: p99 of refusals {refusal_ms:.0f} ms",
        )
        check(
            "each call gets an answer or a refusal",
            recorder.outcomes["no-answer"] == 0,
            f"{name}: {dict(recorder.reasons)}",
        )


async def run(options: experiment.Options) -> experiment.Report:
    """Runs the experiment."""
    report = experiment.Report()
    async with (
        cluster.run_cluster(
            {"registry": TARGETS},
            DOCUMENT,
            slots=SLOTS,
            behaviour={"service_time_ms": 1.0, "pass_on_refusals": True},
            first_port=options.first_port,
            seed=options.seed,
            node_settings={"random_seed": options.seed},
        ) as running,
        httpx.AsyncClient(trust_env=False) as client,
    ):
        storm = Storm(options, running, client, report)
        await storm.run_phase("warm-up", FLAT, 200.0, 0.2)
        await storm.run_phase("healthy chain", CHAIN, CHAIN_RATE_PER_S, 0.4)
        await storm.control(fail_path=LAST_LINK, refuse_share=0.3)
        await storm.run_phase("30% refused", CHAIN, CHAIN_RATE_PER_S, 0.7)
        await storm.control(refuse_share=1.0)
        await storm.run_phase("all refused", CHAIN, CHAIN_RATE_PER_S, 0.7)
        await storm.control(
            refuse_share=0.0, service_time_ms=FLAT_SERVICE_TIME_MS
        )
        rate_per_s = OVERLOAD * FLAT_CAPACITY_PER_S
        await storm.run_phase("overload", FLAT, rate_per_s, 0.7)
    return report
