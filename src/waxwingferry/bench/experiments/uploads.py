"""Uploads while targets are full, leave, restart and are killed.

Callers upload 1 KB to 16 MB, in chunks or with a length, through random nodes.
An upload that was refused as not run is sent again through another node. The
targets' ledgers show with which bodies the uploads ran.
"""

import collections
import dataclasses
import random
import signal
import time

import anyio
import anyio.to_thread
import httpx

from waxwingferry.bench import bodies
from waxwingferry.bench import cluster
from waxwingferry.bench import experiment
from waxwingferry.connection import http1
from waxwingferry.connection import pool
from waxwingferry.request import outcome

TARGET_COUNT = 4
SLOTS = 2
CALLER_COUNT = 10
SERVICE_TIME_MS = 40.0
# Service time of a target whose slots are made to fill up.
FULL_SERVICE_TIME_MS = 600.0
# Sizes in bytes and how often they are chosen. Nodes buffer 65,536 bytes.
SIZES = {
    1_000: 6,
    65_536: 4,
    65_537: 4,
    300_000: 6,
    2_000_000: 3,
    16_000_000: 1,
}
PART_BYTES = 50_000
DEADLINE_MS = 20_000
SEND_TIMEOUT_S = 25.0
MAX_SENDS = 20
RESEND_DELAY_S = 0.2
FAULT_S = (0.3, 1.2)
LATE_ARRIVAL_WAIT_S = 3.0
PATH = "/registry/uploads"
# Reason of a send whose node accepted no connection.
NOT_SENT = pool.ConnectError.__name__

DOCUMENT = {
    "services": [
        {
            "name": "registry",
            "routes": [
                {
                    "path_prefix": "/registry/",
                    "methods": ["POST"],
                    "idempotent": False,
                    "deadline_ms": DEADLINE_MS,
                }
            ],
        }
    ],
    "failure_domains": [{"name": "d1", "region": "r1"}],
}


@dataclasses.dataclass(slots=True)
class Send:
    """One send of an upload.

    Attributes:
        sent_bytes: Bytes of the body that were sent.
        result: Outcome, or "no-answer".
    """

    request_id: str
    sent_bytes: int = 0
    result: str = "no-answer"
    reason: str = ""
    latency_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Upload:
    """An upload and its sends.

    Attributes:
        description: Length and digest of its body.
    """

    name: str
    size: int
    chunked: bool
    description: bodies.Description
    sends: list[Send] = dataclasses.field(default_factory=list)


class Uploaders:
    """Callers that make one upload after the other.

    Args:
        instances: Instances whose nodes uploads are sent to.
        rng: Source of all random choices.
    """

    def __init__(self, instances: list[cluster.Instance], rng: random.Random):
        self.instances = instances
        self.rng = rng
        self.uploads: list[Upload] = []
        self.filler = rng.randbytes(max(SIZES))

    async def run(self, duration_s: float) -> None:
        """Makes uploads for the given duration."""
        end_s = time.monotonic() + duration_s
        async with anyio.create_task_group() as group:
            for _ in range(CALLER_COUNT):
                group.start_soon(self._run_caller, end_s)

    async def _run_caller(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await self._upload()
            await anyio.sleep(self.rng.expovariate(20))

    async def _upload(self) -> None:
        name = f"u{len(self.uploads)}"
        (size,) = self.rng.choices(list(SIZES), list(SIZES.values()))
        body = name.encode().ljust(16) + self.filler[: size - 16]
        upload = Upload(
            name, size, self.rng.random() < 0.5, bodies.describe(body)
        )
        self.uploads.append(upload)
        while len(upload.sends) < MAX_SENDS:
            send = Send(f"{name}/{len(upload.sends)}")
            upload.sends.append(send)
            begin_s = time.monotonic()
            try:
                with anyio.fail_after(SEND_TIMEOUT_S):
                    await self._send(upload, send, body)
            except (pool.ConnectError, http1.HttpError, TimeoutError) as error:
                send.reason = type(error).__name__
            send.latency_s = time.monotonic() - begin_s
            refused = send.result == "not-run"
            if not refused and send.reason != NOT_SENT:
                return
            await anyio.sleep(RESEND_DELAY_S)

    async def _send(self, upload: Upload, send: Send, body: bytes) -> None:
        port = self.rng.choice(self.instances).ports["caller"]
        client = http1.ClientConnection(
            await pool.connect_tcp("127.0.0.1", port)
        )
        headers = [("host", "a"), ("x-request-id", send.request_id)]
        if not upload.chunked:
            headers.append(("content-length", str(upload.size)))

        async def read_parts():
            async for part in bodies.iterate_parts(body, PART_BYTES):
                send.sent_bytes += len(part)
                yield part

        try:
            await client.send_request("POST", PATH, headers, b"", read_parts())
            head = await client.receive_head(SEND_TIMEOUT_S)
            while head.status < 200:
                head = await client.receive_head(SEND_TIMEOUT_S)
            while await client.receive_chunk(SEND_TIMEOUT_S) is not None:
                pass
        finally:
            with anyio.CancelScope(shield=True):
                await client.close()
        find = http1.find_header
        send.reason = find(head.headers, outcome.REASON_HEADER)
        send.result = find(head.headers, outcome.OUTCOME_HEADER, "answered")


class FaultInjector:
    """Makes targets full, lets them leave, and restarts or kills them.

    Args:
        running: The processes.
        rng: Source of all random choices.
        client: Client for the control requests to the targets.
    """

    def __init__(
        self,
        running: cluster.Cluster,
        rng: random.Random,
        client: httpx.AsyncClient,
    ):
        self.running = running
        self.rng = rng
        self.client = client
        self.counts: collections.Counter[str] = collections.Counter()

    async def run(self, duration_s: float) -> None:
        """Injects one fault after the other."""
        faults = (
            self.fill,
            self.leave,
            self.restart_target,
            self.kill_target,
            self.kill_node,
        )
        end_s = time.monotonic() + duration_s
        number = 0
        while time.monotonic() < end_s:
            await anyio.sleep(self.rng.uniform(0.1, 0.4))
            # Each fault comes about, however short the run.
            fault = faults[number % len(faults)]
            number += 1
            self.counts[fault.__name__] += 1
            await fault(self.rng.choice(self.running.instances))

    async def _change(self, instance: cluster.Instance, **changes) -> None:
        await self.running.control_target(self.client, instance, **changes)

    async def fill(self, instance: cluster.Instance) -> None:
        """Makes a target so slow that its slots fill up."""
        await self._change(instance, service_time_ms=FULL_SERVICE_TIME_MS)
        await anyio.sleep(self.rng.uniform(*FAULT_S))
        await self._change(instance, service_time_ms=SERVICE_TIME_MS)

    async def leave(self, instance: cluster.Instance) -> None:
        """Lets a target report that it leaves, and take it back."""
        await self._change(instance, draining=True)
        await anyio.sleep(self.rng.uniform(*FAULT_S))
        await self._change(instance, draining=False)

    async def restart_target(self, instance: cluster.Instance) -> None:
        """Stops a target, which ends its requests, and starts it again."""
        assert instance.target is not None
        instance.target.send_signal(signal.SIGTERM)
        await anyio.to_thread.run_sync(instance.target.wait)
        await self._start_target(instance)

    async def kill_target(self, instance: cluster.Instance) -> None:
        """Kills a target and starts it again."""
        assert instance.target is not None
        instance.target.kill()
        instance.target.wait()
        await self._start_target(instance)

    async def _start_target(self, instance: cluster.Instance) -> None:
        self.running.start_target(instance)
        url = f"http://127.0.0.1:{instance.ports['target']}/_health"
        with anyio.fail_after(cluster.START_TIMEOUT_S):
            while True:
                try:
                    await self.client.get(url)
                except httpx.HTTPError:
                    await anyio.sleep(0.05)
                else:
                    return

    async def kill_node(self, instance: cluster.Instance) -> None:
        """Kills a node and starts it again."""
        assert instance.node is not None
        instance.node.kill()
        instance.node.wait()
        self.running.start_node(instance)


async def run(options: experiment.Options) -> experiment.Report:
    """Runs the experiment."""
    report = experiment.Report()
    rng = random.Random(options.seed)
    async with cluster.run_cluster(
        {"registry": TARGET_COUNT},
        DOCUMENT,
        slots=SLOTS,
        behaviour={"service_time_ms": SERVICE_TIME_MS},
        domains=("d1",),
        first_port=options.first_port,
        seed=options.seed,
    ) as running:
        uploaders = Uploaders(running.instances, rng)
        async with httpx.AsyncClient(trust_env=False, timeout=5) as client:
            injector = FaultInjector(
                running, random.Random(options.seed + 1), client
            )
            async with anyio.create_task_group() as group:
                group.start_soon(uploaders.run, options.duration_s)
                group.start_soon(injector.run, options.duration_s)
        # Attempts that were refused must not arrive late.
        await anyio.sleep(LATE_ARRIVAL_WAIT_S)
        ledgers = running.read_ledgers()
    _check(report, uploaders.uploads, ledgers)
    rows = [[*item] for item in sorted(injector.counts.items())]
    report.tables.append(experiment.Table("faults", ["fault", "n"], rows))
    report.figures["faults"] = dict(injector.counts)
    return report


def _check(
    report: experiment.Report,
    uploads: list[Upload],
    ledgers: dict[str, list[dict]],
) -> None:
    sent = {
        send.request_id: upload.description
        for upload in uploads
        for send in upload.sends
    }
    bodies.check_bodies(report, ledgers, sent)
    runs = collections.Counter(
        entry["request"] for entries in ledgers.values() for entry in entries
    )
    for upload in uploads:
        count = sum(runs[send.request_id] for send in upload.sends)
        report.check(
            "an upload runs at most once",
            count <= 1,
            f"{upload.name} ran {count} times",
        )
        for send in upload.sends:
            if send.result == "not-run":
                report.check(
                    "a refusal that says not run is true",
                    not runs[send.request_id],
                    f"{send.request_id} {send.reason}",
                )
            if send.result == "answered":
                report.check(
                    "an answered upload has run",
                    runs[send.request_id] == 1,
                    send.request_id,
                )
    _add_tables(report, uploads, ledgers)


def _add_tables(
    report: experiment.Report,
    uploads: list[Upload],
    ledgers: dict[str, list[dict]],
) -> None:
    table = experiment.Table(
        "uploads",
        ["bytes", "framing", "uploads", "whole", "refused", "not sent"]
        + ["unknown", "truncated", "p50 s", "p99 s", "MB sent twice"],
    )
    digests = {
        entry["request"]: entry["body_sha256"]
        for entries in ledgers.values()
        for entry in entries
    }
    for size in SIZES:
        for chunked in (False, True):
            found = [
                item
                for item in uploads
                if (item.size, item.chunked) == (size, chunked)
            ]
            table.rows.append(
                [size, "chunks" if chunked else "length"]
                + _summarize(found, digests)
            )
    table.rows.append(["all", "", *_summarize(uploads, digests)])
    report.tables.append(table)
    reasons = collections.Counter(
        f"{send.result} {send.reason}".strip()
        for upload in uploads
        for send in upload.sends
    )
    rows = [[*item] for item in sorted(reasons.items())]
    report.tables.append(experiment.Table("sends", ["outcome", "n"], rows))
    report.figures["uploads"] = dict(
        zip(table.columns[2:], table.rows[-1][2:], strict=True)
    )
    report.figures["sends"] = dict(reasons)


def _summarize(uploads: list[Upload], digests: dict[str, str]) -> list:
    """Returns the cells of a table row behind its first two."""
    sends = [send for upload in uploads for send in upload.sends]
    results = collections.Counter(send.result for send in sends)
    whole = truncated = 0
    for upload in uploads:
        for send in upload.sends:
            digest = digests.get(send.request_id)
            is_whole = digest == upload.description.sha256
            whole += is_whole and send.result == "answered"
            truncated += digest is not None and not is_whole
    latencies_s = sorted(
        send.latency_s for send in sends if send.result == "answered"
    )
    p50_s = p99_s = 0.0
    if latencies_s:
        p50_s = latencies_s[len(latencies_s) // 2]
        p99_s = latencies_s[int(len(latencies_s) * 0.99)]
    # What was sent before the last send of an upload was sent again.
    twice = sum(
        send.sent_bytes for upload in uploads for send in upload.sends[:-1]
    )
    not_sent = sum(send.reason == NOT_SENT for send in sends)
    unknown = results["unknown"] + results["no-answer"] - not_sent
    counts = [len(uploads), whole, results["not-run"], not_sent, unknown]
    return [*counts, truncated, p50_s, p99_s, twice / 1e6]
