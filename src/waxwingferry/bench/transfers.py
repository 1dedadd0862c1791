"""Transfers that are resent with an idempotency key, and their checks."""

import collections
import json
import random
import time

import anyio
import httpx

from waxwingferry.bench import bodies
from waxwingferry.bench import callers
from waxwingferry.bench import cluster
from waxwingferry.bench import experiment
from waxwingferry.bench import load

DEADLINE_MS = 2000
MAX_SENDS = 4
UNKEYED_SHARE = 0.25
RESEND_AFTER_ANSWER_SHARE = 0.2

DOCUMENT = {
    "services": [
        {
            "name": "registry",
            "routes": [
                {
                    "path_prefix": "/registry/",
                    "idempotent": True,
                    "deadline_ms": DEADLINE_MS,
                },
                {
                    "path_prefix": "/registry/transfers",
                    "methods": ["POST"],
                    "deadline_ms": DEADLINE_MS,
                },
            ],
        }
    ],
    "failure_domains": [
        {"name": f"d{number}", "region": "r1"} for number in range(1, 5)
    ],
    "budgets": {"claim_writes_per_s": 2000},
}


class TransferCallers:
    """Concurrent callers that make transfers; each send has its own request id.

    A transfer with a key may be sent several times, one without a key only
    once.

    Args:
        instances: Instances whose nodes transfers are sent to.
        rng: Source of all random choices.
        prefix: Prefix of the transfers' ids.
        upload_sizes: Lengths of the bodies of transfers without a key; by
            default they are as short as the others.

    Attributes:
        sends: Results of all sends.
    """

    def __init__(
        self,
        instances: list[cluster.Instance],
        rng: random.Random,
        prefix: str = "t",
        upload_sizes: tuple[int, ...] = (),
    ):
        self.upload_sizes = upload_sizes
        self.prefix = prefix.replace(" ", "-")
        self.instances = instances
        self.rng = rng
        self.sends: list[load.Result] = []
        self.client = load.Client(timeout_s=5.0)
        self.transfer_count = 0

    async def run(self, callers: int, duration_s: float) -> None:
        """Runs several callers that each make one transfer after the other."""
        end_s = time.monotonic() + duration_s
        async with anyio.create_task_group() as group:
            for _ in range(callers):
                group.start_soon(self._run_caller, end_s)

    async def _run_caller(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            self.transfer_count += 1
            transfer_id = f"{self.prefix}{self.transfer_count}"
            keyed = self.rng.random() >= UNKEYED_SHARE
            await self._send_transfer(transfer_id, keyed)
            await anyio.sleep(self.rng.expovariate(20))

    async def _send_transfer(self, transfer_id: str, keyed: bool) -> None:
        for send_number in range(MAX_SENDS if keyed else 1):
            result = await self.send(
                transfer_id, f"{transfer_id}/{send_number}", keyed
            )
            answered = result.outcome == "answered"
            if answered and self.rng.random() >= RESEND_AFTER_ANSWER_SHARE:
                return
            await anyio.sleep(self.rng.uniform(0.02, 0.3))

    async def send(self, transfer_id: str, request_id: str, keyed: bool):
        """Sends a transfer once to a random node and records the result."""
        instance = self.rng.choice(self.instances)
        body, chunk_bytes = callers.TRANSFER_BODY, 0
        if self.upload_sizes and not keyed:
            size = self.rng.choice(self.upload_sizes)
            body = bodies.make_body(request_id, size)
            chunk_bytes = self.rng.choice((0, callers.UPLOAD_CHUNK_BYTES))
        request = load.Request(
            ("127.0.0.1", instance.ports["caller"]),
            "POST",
            "/registry/transfers",
            transfer_id,
            request_id,
            [("idempotency-key", transfer_id)] if keyed else [],
            body,
            chunk_bytes,
        )
        result = await self.client.send(request, time.monotonic())
        self.sends.append(result)
        return result

    def check(
        self,
        ledgers: dict[str, list[dict]],
        report: experiment.Report,
    ) -> None:
        """Checks all transfers and sends against the targets' ledgers."""
        run_counts = collections.Counter(
            entry["request"].partition("/")[0]
            for entries in ledgers.values()
            for entry in entries
            if entry["write"]
        )
        executed_ids = {
            e["request"] for items in ledgers.values() for e in items
        }
        for transfer_id in {send.request.label for send in self.sends}:
            report.check(
                "a transfer runs at most once",
                run_counts[transfer_id] <= 1,
                f"{transfer_id} ran {run_counts[transfer_id]} times",
            )
        for send in self.sends:
            self._check_send(send, executed_ids, report)
        sent = {
            send.request.request_id: bodies.describe(send.request.body)
            for send in self.sends
        }
        bodies.check_bodies(report, ledgers, sent)

    def _check_send(
        self,
        send: load.Result,
        executed_ids: set[str],
        report: experiment.Report,
    ) -> None:
        request_id = send.request.request_id
        if send.outcome == "not-run":
            report.check(
                "not run is true",
                request_id not in executed_ids,
                f"{request_id} {send.reason}",
            )
        if send.outcome != "answered" or send.status != 200:
            return
        answered_id = json.loads(send.body)["request"]
        report.check(
            "an answer belongs to its request",
            answered_id.partition("/")[0] == send.request.label,
            f"{request_id} got the answer of {answered_id}",
        )
        report.check(
            "an answered transfer has run",
            answered_id in executed_ids,
            f"{answered_id} is in no ledger",
        )

    def table(self, title: str) -> experiment.Table:
        """Returns the number and latency of sends by outcome and reason."""
        table = experiment.Table(title, ["outcome", "sends", "p50 s", "max s"])
        latencies_by_outcome: dict[str, list[float]] = {}
        for send in self.sends:
            outcome = f"{send.outcome} {send.reason}".strip()
            if send.outcome == "answered":
                outcome += " keyed" if send.request.headers else " unkeyed"
            latencies_by_outcome.setdefault(outcome, []).append(send.latency_s)
        for outcome, latencies_s in sorted(latencies_by_outcome.items()):
            latencies_s.sort()
            median_s = latencies_s[len(latencies_s) // 2]
            table.rows.append(
                [outcome, len(latencies_s), median_s, latencies_s[-1]]
            )
        return table


async def read_events(
    client: httpx.AsyncClient, instances: list[cluster.Instance]
) -> dict[str, int]:
    """Returns event counters summed over all reachable nodes."""
    total: collections.Counter[str] = collections.Counter()
    for instance in instances:
        url = f"http://127.0.0.1:{instance.ports['admin']}/metrics"
        try:
            text = (await client.get(url)).text
        except httpx.HTTPError:
            continue
        for line in text.splitlines():
            if line.startswith("waxwingferry_events_total{"):
                name = line.partition('event="')[2].partition('"')[0]
                if name:
                    total[name] += int(float(line.rpartition(" ")[2]))
    return dict(total)


def events_table(events: dict[str, int]) -> experiment.Table:
    """Returns a table of event counters."""
    table = experiment.Table("events at nodes still running", ["event", "n"])
    table.rows = [[name, count] for name, count in sorted(events.items())]
    return table
