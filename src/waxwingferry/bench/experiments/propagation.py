"""Time until a document is in force everywhere, and that none goes back.

Documents are applied through random nodes, and the status of all nodes is
sampled. One node is paused and woken, one is killed and started again. Then
a failure domain is taken out under load.
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
CHANGES = 8
IN_FORCE_S = 3.0
SAMPLE_S = 0.04
PAUSE_S = 7.0
CALLERS = 6
OUT_GRACE_S = 3.0
LOAD_S = 8.0


class Watch:
    """Samples the revision of every node.

    Attributes:
        seen: Revisions of each node process in the order seen.
    """

    def __init__(self, running: cluster.Cluster, http: httpx.AsyncClient):
        self.running = running
        self.http = http
        self.seen: dict[tuple[str, str], list[int]] = {}
        self.newest: dict[str, int] = {}

    async def run(self) -> None:
        """Samples until cancelled, one task for each node."""
        async with anyio.create_task_group() as group:
            for member in self.running.members:
                group.start_soon(self._sample, member)

    async def _sample(self, member: cluster.Member) -> None:
        while True:
            status = await self.running.status(self.http, member)
            if status:
                key = (member.name, status["incarnation"])
                self.seen.setdefault(key, []).append(status["revision"])
                self.newest[member.name] = status["revision"]
            await anyio.sleep(SAMPLE_S)

    async def wait_for(
        self, revision: int, names: list[str], begin_s: float
    ) -> float:
        """Waits until nodes have a revision; returns the seconds it took."""
        with anyio.move_on_after(4 * IN_FORCE_S):
            while True:
                if all(self.newest.get(n, 0) >= revision for n in names):
                    break
                await anyio.sleep(SAMPLE_S / 2)
        return time.monotonic() - begin_s

    def check(self, report: experiment.Report) -> None:
        """Checks that no process went back to an older revision."""
        for (node, _), revisions in self.seen.items():
            report.check(
                "a revision never goes back",
                revisions == sorted(revisions),
                f"{node}: {revisions}",
            )


def make_operator(
    members: list[cluster.Member], rng: random.Random
) -> client.Client:
    """Returns an operator's client that asks nodes in a random order."""
    chosen = rng.sample(members, len(members))
    addresses = [f"127.0.0.1:{m.ports['admin']}" for m in chosen]
    return client.Client(addresses, cluster.ADMIN_TOKEN)


async def change_deadline(operator: client.Client, deadline_ms: int) -> int:
    """Applies a document with another deadline; returns its revision."""

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
            watch = Watch(running, http)
            async with anyio.create_task_group() as group:
                group.start_soon(watch.run)
                await _apply_changes(running, watch, rng, report)
                await _pause_a_node(running, watch, rng, report)
                await _restart_a_node(running, watch, rng, report)
                await _take_domain_out(running, watch, rng, report)
                group.cancel_scope.cancel()
            watch.check(report)
    return report


async def _apply_changes(running, watch, rng, report) -> None:
    names = [member.name for member in running.members]
    table = experiment.Table(
        "documents applied", ["revision", "s until in force everywhere"]
    )
    for number in range(CHANGES):
        operator = make_operator(running.members, rng)
        begin_s = time.monotonic()
        revision = await change_deadline(operator, 1000 + number)
        seconds = await watch.wait_for(revision, names, begin_s)
        table.rows.append([str(revision), seconds])
        report.check(
            "in force everywhere within 3 s",
            seconds <= IN_FORCE_S,
            f"revision {revision}: {seconds:.2f} s",
        )
    report.tables.append(table)
    times_s = sorted(row[1] for row in table.rows)
    report.figures["in_force_s"] = times_s


async def _pause_a_node(running, watch, rng, report) -> None:
    """Wakes a paused process after changes, and calls it at once."""
    paused, *others = rng.sample(running.members, len(running.members))
    assert paused.node is not None
    paused.node.send_signal(signal.SIGSTOP)
    try:
        operator = make_operator(others, rng)
        revision = await change_deadline(operator, 2000)
        names = [member.name for member in others]
        await watch.wait_for(revision, names, time.monotonic())
        await anyio.sleep(PAUSE_S)
    finally:
        paused.node.send_signal(signal.SIGCONT)
    begin_s = time.monotonic()
    url = f"http://127.0.0.1:{paused.ports['caller']}/registry/prices/crab"
    try:
        reply = await watch.http.get(url, timeout=5.0)
        first_result = reply.headers.get("x-waxwing-reason", "answered")
    except httpx.HTTPError as error:
        first_result = type(error).__name__
    seconds = await watch.wait_for(revision, [paused.name], begin_s)
    report.figures["woken"] = {
        "first_call": first_result,
        "caught_up_s": seconds,
    }
    report.tables.append(
        experiment.Table(
            f"{paused.name} paused for {PAUSE_S:.0f} s",
            ["first call after waking", "s until caught up"],
            [[first_result, seconds]],
        )
    )
    report.check(
        "a woken process catches up within 3 s",
        seconds <= IN_FORCE_S,
        f"{paused.name}: {seconds:.2f} s",
    )


async def _restart_a_node(running, watch, rng, report) -> None:
    """Kills a node; its new process must not act on an older document."""
    killed = rng.choice(running.members)
    assert killed.node is not None
    newest = max(watch.newest.values())
    killed.node.kill()
    killed.node.wait()
    old = set(watch.seen)
    running.start_node(killed)
    watch.newest[killed.name] = 0
    seconds = await watch.wait_for(newest, [killed.name], time.monotonic())
    fresh = [
        revisions
        for key, revisions in watch.seen.items()
        if key not in old and key[0] == killed.name
    ]
    for revisions in fresh:
        report.check(
            "a new process starts with the newest document",
            set(revisions) <= {0, newest},
            f"{killed.name}: {sorted(set(revisions))}",
        )
    report.figures["restarted_s"] = seconds


async def _take_domain_out(running, watch, rng, report) -> None:
    """Takes a domain out under load; its targets get nothing after 3 s."""
    journal = callers.Journal()
    names = list(SERVICES)
    out = rng.choice(DOMAINS)
    inside = [m for m in running.members if m.failure_domain == out]
    async with anyio.create_task_group() as group:
        for number in range(CALLERS):
            caller = callers.Caller(
                f"c{number}",
                random.Random(rng.random()),
                running.members,
                names,
                journal,
            )
            group.start_soon(caller.run, LOAD_S)
        await anyio.sleep(1.0)
        operator = make_operator(running.members, rng)
        await anyio.to_thread.run_sync(_set_out, operator, out)
        await anyio.sleep(OUT_GRACE_S)
        before = [await running.counts(watch.http, m) for m in inside]
        await anyio.sleep(2.0)
        after = [await running.counts(watch.http, m) for m in inside]
    for member, old, new in zip(inside, before, after, strict=True):
        report.check(
            "a domain that is out gets no new work after 3 s",
            old.get("started", 0) == new.get("started", 0),
            f"{member.name}: {old} then {new}",
        )
    report.figures["domain_out_calls"] = len(journal.entries)
    report.check(
        "calls go on while a domain is out",
        journal.answered() == len(journal.entries) > 0,
        f"{journal.answered()} of {len(journal.entries)} answered",
    )


def _set_out(operator: client.Client, name: str) -> int:
    base, content = operator.get_document()
    for domain in content["failure_domains"]:
        if domain["name"] == name:
            domain["state"] = "out"
    return operator.put_document(content, base, f"{name} out")
