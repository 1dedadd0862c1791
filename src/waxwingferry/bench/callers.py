"""Closed-loop callers that resend a call until it succeeds, and their log."""

import collections
import dataclasses
import json
import random
import time

import anyio

from waxwingferry.bench import bodies
from waxwingferry.bench import cluster
from waxwingferry.bench import experiment
from waxwingferry.bench import load

WRITE_SHARE = 0.3
RESEND_DELAY_S = 0.2
# Uploads have no idempotency key, since nodes must buffer the bodies of keyed
# requests. Nodes buffer 65,536 bytes of others and pass the rest on.
UPLOAD_SIZES = (1_000, 65_536, 65_537, 150_000, 300_000)
UPLOAD_CHUNK_BYTES = 20_000
TRANSFER_BODY = b'{"quota_kg": 100}'


@dataclasses.dataclass(slots=True)
class CallRecord:
    """One call and the results of all its sends.

    Attributes:
        request_id: Sent as x-request-id; writes also use it as their
            idempotency key.
        write: Whether the call is a write, which must not run twice.
        upload_bytes: Length of the body if the call is an upload, or 0.
        sends: Result of each send, in order.
    """

    request_id: str
    service: str
    write: bool
    upload_bytes: int = 0
    sends: list[load.Result] = dataclasses.field(default_factory=list)

    def make_body(self) -> bytes:
        """Returns the body of the call's request."""
        if self.upload_bytes:
            return bodies.make_body(self.request_id, self.upload_bytes)
        return TRANSFER_BODY if self.write else b""

    def answered(self) -> bool:
        """Returns whether the last send was answered with status 200."""
        if not self.sends:
            return False
        last = self.sends[-1]
        return last.outcome == "answered" and last.status == 200

    def not_run_until_s(self) -> float | None:
        """Returns the time until which the call must not have started to run.

        Returns:
            Monotonic time in seconds at which the last of the leading not-run
            refusals arrived, or None if the first send had another outcome.
        """
        until_s = None
        for result in self.sends:
            if result.outcome != "not-run":
                break
            until_s = result.scheduled_s + result.latency_s
        return until_s


class CallLog:
    """Log of all calls of a run.

    Attributes:
        resent: Number of unsuccessful sends by outcome and reason.
    """

    def __init__(self):
        self.entries: list[CallRecord] = []
        self.recorder = load.Recorder()
        self.resent: collections.Counter[str] = collections.Counter()

    def record(self, entry: CallRecord, result: load.Result) -> None:
        """Adds the result of one send."""
        entry.sends.append(result)
        if entry.answered():
            self.recorder.record(result)
            return
        reason = result.reason or f"status {result.status}"
        self.resent[f"{result.outcome}: {reason}"] += 1

    def answered(self) -> int:
        """Returns the number of calls that have succeeded so far."""
        return sum(entry.answered() for entry in self.entries)

    def wrong_answers(self) -> list[str]:
        """Returns ids of calls with a truncated or another call's answer."""
        return [
            entry.request_id
            for entry in self.entries
            if entry.answered() and not _answers_own_request(entry)
        ]

    def make_table(self) -> experiment.Table:
        """Returns a table of the calls and of the reasons for resending."""
        return experiment.Table(
            "calls",
            ["what", "count"],
            [
                ["calls", len(self.entries)],
                ["answered", self.answered()],
                *[[f"resent after {k}", v] for k, v in self.resent.items()],
            ],
        )

    def print_tables(self) -> None:
        """Prints latency by label and the reasons for resending."""
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
    """A closed-loop caller with one call in flight at a time.

    Args:
        name: Name of the caller, used as the prefix of its request ids.
        rng: Source of all random choices.
        nodes: Nodes that calls are sent to, one at random for each send.
        services: Services to call.
        call_log: Records all calls and their results.
        calls_per_s: Upper bound of the mean call rate: pauses between calls
            are exponential with this rate.
        give_up_s: Time after which a call is not sent again.
        write_share: Share of calls that are writes.
        upload_share: Share of the writes that are uploads, which are sent
            again only if they have not run.
    """

    def __init__(
        self,
        name: str,
        rng: random.Random,
        nodes: list[cluster.Instance],
        services: list[str],
        call_log: CallLog,
        calls_per_s: float = 12.0,
        give_up_s: float = 20.0,
        write_share: float = WRITE_SHARE,
        upload_share: float = 0.0,
    ):
        self.name = name
        self.rng = rng
        self.nodes = nodes
        self.services = services
        self.call_log = call_log
        self.calls_per_s = calls_per_s
        self.give_up_s = give_up_s
        self.write_share = write_share
        self.upload_share = upload_share
        self.client = load.Client()

    async def run(self, duration_s: float) -> None:
        """Makes calls for the given duration."""
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
        if entry.write and self.rng.random() < self.upload_share:
            entry.upload_bytes = self.rng.choice(UPLOAD_SIZES)
        self.call_log.entries.append(entry)
        started_s = time.monotonic()
        while time.monotonic() < started_s + self.give_up_s:
            request = self._make_request(entry)
            result = await self.client.send(request, time.monotonic())
            self.call_log.record(entry, result)
            if entry.answered():
                return
            if entry.upload_bytes and result.outcome != "not-run":
                return
            await anyio.sleep(RESEND_DELAY_S)

    def _make_request(self, entry: CallRecord) -> load.Request:
        address = ("127.0.0.1", self.rng.choice(self.nodes).ports["caller"])
        service, request_id = entry.service, entry.request_id
        if entry.write:
            is_upload = bool(entry.upload_bytes)
            return load.Request(
                address,
                "POST",
                f"/{service}/transfers",
                f"{service} {'upload' if is_upload else 'transfer'}",
                request_id,
                [] if is_upload else [("idempotency-key", request_id)],
                entry.make_body(),
                is_upload * self.rng.choice((0, UPLOAD_CHUNK_BYTES)),
            )
        path = f"/{service}/prices/crab"
        return load.Request(address, "GET", path, f"{service} read", request_id)


def make_read_route(deadline_ms: int) -> dict:
    """Returns a route for reads of the service "registry"."""
    return {
        "path_prefix": "/registry/",
        "methods": ["GET"],
        "idempotent": True,
        "deadline_ms": deadline_ms,
    }


def make_document(
    services: list[str], domains: tuple[str, ...], domain_out: str = ""
) -> dict:
    """Returns a document with routes for the calls of these callers.

    Args:
        services: Names of the services.
        domains: Names of the failure domains.
        domain_out: Failure domain in state "out", if any.
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
    """Returns how often each write started to run, by request id."""
    return collections.Counter(
        entry["request"]
        for ledger in ledgers.values()
        for entry in ledger
        if entry["write"]
    )
