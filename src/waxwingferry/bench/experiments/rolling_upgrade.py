"""Runs nodes of an earlier commit and of this one together, under load.

Half of the nodes begin with the program of an earlier commit of this
repository. They are restarted one after the other with the present one, and
some nodes go back. In each phase a document change is made through a node of
each program. Without the repository's history the run is skipped.
"""

import io
import pathlib
import random
import subprocess
import tarfile
import tempfile

import anyio
import anyio.to_thread
import httpx

from waxwingferry.bench import callers
from waxwingferry.bench import cluster
from waxwingferry.bench import experiment

REPOSITORY = pathlib.Path(__file__).resolve().parents[4]
# Commits between the earlier program and the present one.
COMMITS_BACK = 40
SERVICES = {"registry": 4, "desk": 4}
DOMAINS = ("d1", "d2", "d3", "d4")
CALLER_COUNT = 8
LOAD_S = 30.0
PHASE_S = 2.0
PROPAGATION_S = 3.0


async def run(options: experiment.Options) -> experiment.Report:
    """Runs the experiment."""
    report = experiment.Report()
    with tempfile.TemporaryDirectory(prefix="waxwingferry-") as directory:
        source = pathlib.Path(directory)
        commit = await anyio.to_thread.run_sync(_extract_source, source)
        if not commit:
            report.tables.append(
                experiment.Table(
                    "skipped: there is no earlier commit to compare with", [""]
                )
            )
            return report
        report.figures["earlier_commit"] = commit
        await _run_mixed(options, source / "src", report)
    return report


def _extract_source(directory: pathlib.Path) -> str:
    """Extracts the package of the earlier commit; returns the commit or ""."""
    git = ["git", "-C", str(REPOSITORY)]
    try:
        commit = subprocess.run(
            [*git, "rev-parse", f"HEAD~{COMMITS_BACK}"],
            capture_output=True,
            check=True,
            text=True,
        ).stdout.strip()
        archive = subprocess.run(
            [*git, "archive", commit, "src"], capture_output=True, check=True
        ).stdout
    except (OSError, subprocess.CalledProcessError):
        return ""
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(directory, filter="data")
    return commit


async def _run_mixed(options, source: pathlib.Path, report) -> None:
    rng = random.Random(options.seed)
    names = list(SERVICES)
    call_log = callers.CallLog()
    running = cluster.Cluster(
        SERVICES,
        callers.make_document(names, DOMAINS),
        domains=DOMAINS,
        first_port=options.first_port,
        seed=options.seed,
    )
    earlier = rng.sample(running.instances, len(running.instances) // 2)
    for instance in earlier:
        instance.node_source = source
    try:
        await running.start()
        async with httpx.AsyncClient(trust_env=False, timeout=5) as http:
            async with anyio.create_task_group() as group:
                for number in range(CALLER_COUNT):
                    caller = callers.Caller(
                        f"c{number}",
                        random.Random(options.seed * 100 + number),
                        running.instances,
                        names,
                        call_log,
                    )
                    group.start_soon(caller.run, LOAD_S)
                await _change_programs(running, http, rng, source, report)
            await _check_nodes(running, http, report)
    finally:
        await anyio.to_thread.run_sync(running.stop)
    _check_calls(report, running, call_log)


async def _change_programs(running, http, rng, source, report) -> None:
    """Restarts all nodes with the other program, one after the other."""
    await _change_document_by_both(running, http, rng, report)
    for instance in rng.sample(running.instances, len(running.instances)):
        instance.node_source = None if instance.node_source else source
        instance.node.terminate()
        await anyio.to_thread.run_sync(instance.node.wait, 20)
        running.start_node(instance)
        await anyio.sleep(rng.uniform(0.0, 2 * PHASE_S / len(SERVICES)))
    await _change_document_by_both(running, http, rng, report)


async def _change_document_by_both(running, http, rng, report) -> None:
    for has_earlier in (False, True):
        instance = rng.choice(
            [
                item
                for item in running.instances
                if bool(item.node_source) == has_earlier
            ]
        )
        revision = await _change_document(running, http, instance)
        program = "earlier" if has_earlier else "present"
        report.check(
            "a node of each program accepts a document",
            revision is not None,
            f"{instance.name} with the {program} program",
        )
        await anyio.sleep(PROPAGATION_S)
        for other in running.instances:
            status = await running.status(http, other)
            report.check(
                "a document is in force at nodes of both programs within 3 s",
                status.get("revision") == revision,
                f"{other.name}: {status.get('revision')} instead of "
                f"{revision} of {instance.name}",
            )


async def _change_document(running, http, instance) -> int | None:
    current = await running.read_document(http, instance)
    if current is None:
        return None
    route = current["document"]["services"][0]["routes"][0]
    route["deadline_ms"] += 1
    return await running.write_document(http, instance, current, "a change")


async def _check_nodes(running, http, report) -> None:
    for instance in running.instances:
        status = await running.status(http, instance)
        counts = status.get("gossip", {})
        report.check(
            "nodes of both programs understand each other",
            counts.get("malformed") == 0,
            f"{instance.name}: {counts or 'no status'}",
        )


def _check_calls(report, running, call_log: callers.CallLog) -> None:
    runs = callers.count_runs(running.read_ledgers())
    wrong = set(call_log.wrong_answers())
    for entry in call_log.entries:
        name = entry.request_id
        report.check("no call is lost", entry.answered(), name)
        report.check(
            "every answer is whole and the caller's own",
            name not in wrong,
            name,
        )
        if entry.write:
            report.check(
                "a non-idempotent request runs at most once",
                runs[name] <= 1,
                f"{name} ran {runs[name]} times",
            )
    report.tables.append(call_log.make_table())
