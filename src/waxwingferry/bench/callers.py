"""Callers that send a call again until it is answered, and their journal."""

import collections
import dataclasses
import json
import random
import time

import anyio

from waxwingferry.bench import cluster
from waxwingferry.bench import load

WRITE_SHARE = 0.3
RESEND_DELAY_S = 0.2


@dataclasses.dataclass(slots=True)
class CallRecord:
    """One call and how each of its sends ended.

    Attributes:
        request_id: Sent as x-request-id; writes use it as their key.
        write: Whether it must not run twice.
        sends: How each send ended, in order.
    """

    request_id: str
    service: str
    write: bool
    sends: list[load.Result] = dataclasses.field(default_factory=list)

    def answered(self) -> bool:
        """Tells whether the last send was answered well."""
        if not self.sends:
            return False
        last = self.sends[-1]
        return last.outcome == "answered" and last.status == 200

    def not_run_until_s(self) -> float | None:
        """Returns until when the call can't have begun to run.

        Returns:
            Monotonic time in seconds of the last refusal as not run before
            any other outcome, or None if the first send ended otherwise.
        """
        until_s = None
        for result in self.sends:
            if result.outcome != "not-run":
                break
            until_s = result.scheduled_s + result.latency_s
        return until_s


class Journal:
    """All calls of a run."""

    def __init__(self):
        self.entries: list[CallRecord] = []
        self.recorder = load.Recorder()
        self.resent: collections.Counter[str] = collections.Counter()

    def record(self, entry: CallRecord, result: load.Result) -> None:
        """Adds the end of one send."""
        entry.sends.append(result)
        if entry.answered():
            self.recorder.record(result)
            return
        reason = result.reason or f"status {result.status}"
        self.resent[f"{result.outcome}: {reason}"] += 1

    def answered(self) -> int:
        """Returns the number of calls answered so far."""
        return sum(entry.answered() for entry in self.entries)

    def wrong_answers(self) -> list[str]:
        """Returns calls whose answer is not whole or not their own."""
        return [
            entry.request_id
            for entry in self.entries
            if entry.answered() and not _answers_own_request(entry)
        ]

    def print_tables(self) -> None:
        """Prints latency by kind of call and what was sent again."""
        print(f"{'calls to':24}{'count':>8}{'p50 ms':>10}{'p99 ms':>10}")
        for label, latencies in sorted(self.recorder.histograms.items()):
            p50_ms, p99_ms, _ = self.recorder.percentiles_ms(label)
            count = latencies.get_total_count()
            print(f"{label:24}{count:8}{p50_ms:10.2f}{p99_ms:10.2f}")
        for reason, count in sorted(self.resent.items()):
            print(f"sent again after {reason:32}{count:6}")


def _answers_own_request(entry: CallRecord) -> bool:
    try:
        answer = json.loads(entry.sends[-1].body)
    except ValueError:
        return False
    return answer["request"] == entry.request_id


class Caller:
    """One caller, with one call at a time.

    Args:
        name: Name of the caller.
        rng: Source of its choices.
        nodes: Nodes it may enter at.
        services: Services it calls.
        journal: Takes what it sees.
        calls_per_s: Mean calls per second, at most.
        give_up_s: Time after which a call is not sent again.
        write_share: Share of calls that must not run twice.
    """

    def __init__(
        self,
        name: str,
        rng: random.Random,
        nodes: list[cluster.Member],
        services: list[str],
        journal: Journal,
        calls_per_s: float = 12.0,
        give_up_s: float = 20.0,
        write_share: float = WRITE_SHARE,
    ):
        self.name = name
        self.rng = rng
        self.nodes = nodes
        self.services = services
        self.journal = journal
        self.calls_per_s = calls_per_s
        self.give_up_s = give_up_s
        self.write_share = write_share
        self.client = load.Client()

    async def run(self, duration_s: float) -> None:
        """Calls until the time is over."""
        end_s = time.monotonic() + duration_s
        call_number = 0
        while time.monotonic() < end_s:
            call_number += 1
            await self._call(f"{self.name}-{call_number}")
            await anyio.sleep(self.rng.expovariate(self.calls_per_s))
        await self.client.close()

    async def _call(self, request_id: str) -> None:
        entry = CallRecord(
            request_id,
            self.rng.choice(self.services),
            self.rng.random() < self.write_share,
        )
        self.journal.entries.append(entry)
        started_s = time.monotonic()
        while time.monotonic() < started_s + self.give_up_s:
            request = self._make_request(entry)
            result = await self.client.send(request, time.monotonic())
            self.journal.record(entry, result)
            if entry.answered():
                return
            await anyio.sleep(RESEND_DELAY_S)

    def _make_request(self, entry: CallRecord) -> load.Request:
        address = ("127.0.0.1", self.rng.choice(self.nodes).ports["caller"])
        service, request_id = entry.service, entry.request_id
        if entry.write:
            return load.Request(
                address,
                "POST",
                f"/{service}/transfers",
                f"{service} transfer",
                request_id,
                [("idempotency-key", request_id)],
                b'{"quota_kg": 100}',
            )
        path = f"/{service}/prices/crab"
        return load.Request(address, "GET", path, f"{service} read", request_id)


def make_read_route(deadline_ms: int) -> dict:
    """Returns the route of reads at the service "registry"."""
    return {
        "path_prefix": "/registry/",
        "methods": ["GET"],
        "idempotent": True,
        "deadline_ms": deadline_ms,
    }


def make_document(
    services: list[str], domains: tuple[str, ...], domain_out: str = ""
) -> dict:
    """Returns the document that these callers need.

    Args:
        services: Names of the services.
        domains: Names of the failure domains.
        domain_out: Failure domain that is out, if any.
    """
    reads = {
        "methods": ["GET", "HEAD"],
        "idempotent": True,
        "deadline_ms": 2000,
    }
    writes = {"methods": ["POST"], "idempotent": False, "deadline_ms": 5000}
    return {
        "services": [
            {
                "name": name,
                "routes": [
                    {"path_prefix": f"/{name}/", **reads},
                    {"path_prefix": f"/{name}/transfers", **writes},
                ],
            }
            for name in services
        ],
        "failure_domains": [
            {
                "name": name,
                "region": "r1",
                "state": "out" if name == domain_out else "in",
            }
            for name in domains
        ],
    }


def count_runs(ledgers: dict[str, list[dict]]) -> collections.Counter[str]:
    """Returns how often each write began to run, by request id."""
    return collections.Counter(
        entry["request"]
        for ledger in ledgers.values()
        for entry in ledger
        if entry["write"]
    )
