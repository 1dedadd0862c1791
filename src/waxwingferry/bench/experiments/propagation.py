"""Measures how fast a document reaches all nodes; checks for regressions.

Documents are applied through random nodes while the status of every node is
sampled. One node is paused (SIGSTOP) and resumed, another one is killed and
restarted. Finally a failure domain is set to "out" under load.
"""

import random
import signal
import time

import anyio
import anyio.to_thread
import httpx

from waxwingferry.bench import callers
from waxwingferry.bench import cluster
from waxwingferry.bench import experiment
from waxwingferry.cli import client

SERVICES = {"registry": 4, "desk": 4}
DOMAINS = ("d1", "d2", "d3", "d4")
CHANGE_COUNT = 8
MAX_PROPAGATION_S = 3.0
SAMPLE_INTERVAL_S = 0.04
NODE_PAUSE_S = 7.0
CALLER_COUNT = 6
DOMAIN_OUT_GRACE_S = 3.0
LOAD_DURATION_S = 8.0


class RevisionSampler:
    """Polls the document revision of every node.

    Attributes:
        history: Sampled revisions by node name and incarnation, in the order
            of the samples.
        latest: Last sampled revision by node name.
    """

    def __init__(self, running: cluster.Cluster, http: httpx.AsyncClient):
        self.running = running
        self.http = http
        self.history: dict[tuple[str, str], list[int]] = {}
        self.latest: dict[str, int] = {}

    async def run(self) -> None:
        """Samples until cancelled, with one task for each node."""
        async with anyio.create_task_group() as group:
            for instance in self.running.instances:
                group.start_soon(self._sample, instance)

    async def _sample(self, instance: cluster.Instance) -> None:
        while True:
            status = await self.running.status(self.http, instance)
            if status:
                key = (instance.name, status["incarnation"])
                self.history.setdefault(key, []).append(status["revision"])
                self.latest[instance.name] = status["revision"]
            await anyio.sleep(SAMPLE_INTERVAL_S)

    async def wait_for_revision(
        self, revision: int, names: list[str], begin_s: float
    ) -> float:
        """Waits until nodes have a revision; returns seconds since begin_s."""
        with anyio.move_on_after(4 * MAX_PROPAGATION_S):
            while True:
                if all(self.latest.get(n, 0) >= revision for n in names):
                    break
                await anyio.sleep(SAMPLE_INTERVAL_S / 2)
        return time.monotonic() - begin_s

    def check(self, report: experiment.Report) -> None:
        """Checks that no process returned to an older revision."""
        for (node, _), revisions in self.history.items():
            report.check(
                "a revision never goes back",
                revisions == sorted(revisions),
                f"{node}: {revisions}",
            )


def make_operator_client(
    instances: list[cluster.Instance], rng: random.Random
) -> client.Client:
    """Returns an operator's client that tries the nodes in random order."""
    shuffled = rng.sample(instances, len(instances))
    addresses = [f"127.0.0.1:{m.ports['admin']}" for m in shuffled]
    return client.Client(addresses, cluster.ADMIN_TOKEN)


async def change_deadline(operator: client.Client, deadline_ms: int) -> int:
    """Changes a route's deadline; returns the new document revision."""

    def change() -> int:
        base, content = operator.get_document()
        content["services"][0]["routes"][0]["deadline_ms"] = deadline_ms
        return operator.put_document(content, base, f"deadline {deadline_ms}")

    return await anyio.to_thread.run_sync(change)


async def run(options: experiment.Options) -> experiment.Report:
    """Runs the experiment."""
    document = callers.make_document(list(SERVICES), DOMAINS)
    report = experiment.Report()
    rng = random.Random(options.seed)
    async with cluster.run_cluster(
        SERVICES,
        document,
        domains=DOMAINS,
        first_port=options.first_port,
        seed=options.seed,
    ) as running:
        async with httpx.AsyncClient(trust_env=False) as http:
            sampler = RevisionSampler(running, http)
            async with anyio.create_task_group() as group:
                group.start_soon(sampler.run)
                await _apply_changes(running, sampler, rng, report)
                await _pause_node(running, sampler, rng, report)
                await _restart_node(running, sampler, rng, report)
                await _take_domain_out(running, sampler, rng, report)
                group.cancel_scope.cancel()
            sampler.check(report)
    return report


async def _apply_changes(running, sampler, rng, report) -> None:
    names = [instance.name for instance in running.instances]
    table = experiment.Table(
        "documents applied", ["revision", "s until in force everywhere"]
    )
    for number in range(CHANGE_COUNT):
        operator = make_operator_client(running.instances, rng)
        begin_s = time.monotonic()
        revision = await change_deadline(operator, 1000 + number)
        elapsed_s = await sampler.wait_for_revision(revision, names, begin_s)
        table.rows.append([str(revision), elapsed_s])
        report.check(
            "in force everywhere within 3 s",
            elapsed_s <= MAX_PROPAGATION_S,
            f"revision {revision}: {elapsed_s:.2f} s",
        )
    report.tables.append(table)
    times_s = sorted(row[1] for row in table.rows)
    report.figures["in_force_s"] = times_s


async def _pause_node(running, sampler, rng, report) -> None:
    """Pauses a node during a change, then calls it as soon as it resumes."""
    paused, *others = rng.sample(running.instances, len(running.instances))
    assert paused.node is not None
    paused.node.send_signal(signal.SIGSTOP)
    try:
        operator = make_operator_client(others, rng)
        revision = await change_deadline(operator, 2000)
        names = [instance.name for instance in others]
        await sampler.wait_for_revision(revision, names, time.monotonic())
        await anyio.sleep(NODE_PAUSE_S)
    finally:
        paused.node.send_signal(signal.SIGCONT)
    begin_s = time.monotonic()
    url = f"http://127.0.0.1:{paused.ports['caller']}/registry/prices/crab"
    try:
        reply = await sampler.http.get(url, timeout=5.0)
        first_outcome = reply.headers.get("x-waxwing-reason", "answered")
    except httpx.HTTPError as error:
        first_outcome = type(error).__name__
    elapsed_s = await sampler.wait_for_revision(
        revision, [paused.name], begin_s
    )
    report.figures["woken"] = {
        "first_call": first_outcome,
        "caught_up_s": elapsed_s,
    }
    report.tables.append(
        experiment.Table(
            f"{paused.name} paused for {NODE_PAUSE_S:.0f} s",
            ["first call after waking", "s until caught up"],
            [[first_outcome, elapsed_s]],
        )
    )
    report.check(
        "a woken process catches up within 3 s",
        elapsed_s <= MAX_PROPAGATION_S,
        f"{paused.name}: {elapsed_s:.2f} s",
    )


async def _restart_node(running, sampler, rng, report) -> None:
    """Kills a node; the new process must not use an older document."""
    killed = rng.choice(running.instances)
    assert killed.node is not None
    latest = max(sampler.latest.values())
    killed.node.kill()
    killed.node.wait()
    known_processes = set(sampler.history)
    running.start_node(killed)
    sampler.latest[killed.name] = 0
    elapsed_s = await sampler.wait_for_revision(
        latest, [killed.name], time.monotonic()
    )
    new_process_revisions = [
        revisions
        for key, revisions in sampler.history.items()
        if key not in known_processes and key[0] == killed.name
    ]
    for revisions in new_process_revisions:
        report.check(
            "a new process starts with the newest document",
            set(revisions) <= {0, latest},
            f"{killed.name}: {sorted(set(revisions))}",
        )
    report.figures["restarted_s"] = elapsed_s


async def _take_domain_out(running, sampler, rng, report) -> None:
    """Sets a domain to "out"; its targets get no new calls after 3 s."""
    call_log = callers.CallLog()
    names = list(SERVICES)
    out_domain = rng.choice(DOMAINS)
    domain_instances = [
        m for m in running.instances if m.failure_domain == out_domain
    ]
    async with anyio.create_task_group() as group:
        for number in range(CALLER_COUNT):
            caller = callers.Caller(
                f"c{number}",
                random.Random(rng.random()),
                running.instances,
                names,
                call_log,
            )
            group.start_soon(caller.run, LOAD_DURATION_S)
        await anyio.sleep(1.0)
        operator = make_operator_client(running.instances, rng)
        await anyio.to_thread.run_sync(
            set_domain_state, operator, out_domain, "out"
        )
        await anyio.sleep(DOMAIN_OUT_GRACE_S)
        before = [
            await running.counts(sampler.http, m) for m in domain_instances
        ]
        await anyio.sleep(2.0)
        after = [
            await running.counts(sampler.http, m) for m in domain_instances
        ]
    for instance, counts_before, counts_after in zip(
        domain_instances, before, after, strict=True
    ):
        report.check(
            "a domain that is out gets no new work after 3 s",
            counts_before.get("started", 0) == counts_after.get("started", 0),
            f"{instance.name}: {counts_before} then {counts_after}",
        )
    report.figures["domain_out_calls"] = len(call_log.entries)
    report.check(
        "calls go on while a domain is out",
        call_log.answered() == len(call_log.entries) > 0,
        f"{call_log.answered()} of {len(call_log.entries)} answered",
    )


def set_domain_state(operator: client.Client, name: str, state: str) -> int:
    """Sets the state of a failure domain; returns the new revision."""
    base, content = operator.get_document()
    for domain in content["failure_domains"]:
        if domain["name"] == name:
            domain["state"] = state
    return operator.put_document(content, base, f"{name} {state}")
