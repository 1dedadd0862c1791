"""Long randomised run that combines the faults and checks the promises.

Callers read and transfer while nodes and targets are killed, frozen,
restarted and drained, the paths between nodes are delayed, cut one way, reset
and made silent, targets turn cold or slow, shed, cut and cross their
answers, the platform is down, slow or loses answers, failure domains go out
and come back, and operators race. The targets' ledgers tell what ran.
"""

import collections
import dataclasses
import math
import random
import time

import anyio
import httpx

from waxwingferry.bench import callers
from waxwingferry.bench import cluster
from waxwingferry.bench import experiment
from waxwingferry.bench import faults

SERVICES = {"registry": 6, "desk": 4}
DOMAINS = ("d1", "d2", "d3", "d4")
CALLERS = 10
IN_FORCE_S = 3.0
MEAN_PAUSE_S = 0.7
SAMPLE_S = 0.5

WHOLE = "every answer is whole and the caller's own"
NOT_RUN = "a refusal that says not run is true"
ONCE = "a non-idempotent request runs at most once"
COLD = "a started target is never given more than it bears"
OUT = "a failure domain that is out gets no new work after 3 s"
NO_REVERT = "a revision in force never reverts"
IN_FORCE = "an accepted revision is in force everywhere within 3 s"
RACE = "of operators that race at most one wins"
PROMISES = (WHOLE, NOT_RUN, ONCE, COLD, OUT, NO_REVERT, IN_FORCE, RACE)
# Those that hold however slow the machine is.
UNTIMED = (WHOLE, NOT_RUN, ONCE, NO_REVERT)


@dataclasses.dataclass(slots=True)
class Sample:
    """The revision that one node said was in force at a time."""

    at_s: float
    node: str
    incarnation: str
    revision: int


class Sampler:
    """Asks all nodes for their revision again and again.

    Args:
        running: The cluster.
        client: Client for the requests.
    """

    def __init__(self, running: cluster.Cluster, client: httpx.AsyncClient):
        self.running = running
        self.client = client
        self.samples: list[Sample] = []

    async def run(self) -> None:
        """Samples until cancelled."""
        async with anyio.create_task_group() as group:
            for member in self.running.members:
                group.start_soon(self._sample, member)

    async def _sample(self, member: cluster.Member) -> None:
        while True:
            at_s = time.time()
            status = await self.running.status(self.client, member)
            if status:
                self.samples.append(
                    Sample(
                        at_s,
                        member.name,
                        status["incarnation"],
                        status["revision"],
                    )
                )
            await anyio.sleep(SAMPLE_S)


async def run(
    options: experiment.Options, promises: tuple[str, ...] = PROMISES
) -> experiment.Report:
    """Runs the soak.

    Args:
        options: Options of the run.
        promises: Promises to judge; each must be exercised.
    """
    journal = callers.Journal()
    names = list(SERVICES)
    document = callers.make_document(names, DOMAINS)
    running = cluster.Cluster(
        SERVICES,
        document,
        behaviour={"cold_bears": 1, "warm_after": 3},
        domains=DOMAINS,
        first_port=options.first_port,
        seed=options.seed,
    )
    async with cluster.run_behind_relays(running) as relays:
        async with httpx.AsyncClient(trust_env=False, timeout=5) as client:
            injector = faults.Injector(
                running, client, random.Random(options.seed), relays
            )
            sampler = Sampler(running, client)
            async with anyio.create_task_group() as group:
                group.start_soon(sampler.run)
                async with anyio.create_task_group() as work:
                    work.start_soon(
                        injector.run, options.duration_s, MEAN_PAUSE_S
                    )
                    for number in range(CALLERS):
                        caller = callers.Caller(
                            f"c{number}",
                            random.Random(options.seed * 100 + number),
                            running.members,
                            names,
                            journal,
                            give_up_s=8.0,
                        )
                        work.start_soon(caller.run, options.duration_s)
                await anyio.sleep(IN_FORCE_S + 2 * SAMPLE_S)
                group.cancel_scope.cancel()
    return _judge(running, journal, injector, sampler, promises)


def _judge(running, journal, injector, sampler, promises) -> experiment.Report:
    report = experiment.Report()
    ledgers = running.read_ledgers()
    _check_calls(report, journal, ledgers)
    _check_cold(report, ledgers, injector)
    _check_domains(report, running, ledgers, injector)
    _check_revisions(report, sampler, injector)
    for winners in injector.race_winners:
        report.check(RACE, winners <= 1, f"{winners} changes were accepted")
    report.keep(promises)
    report.tables += [_fault_table(injector), _call_table(journal)]
    report.figures["faults"] = [
        dataclasses.asdict(fault) for fault in injector.faults
    ]
    return report


def _check_calls(report, journal, ledgers) -> None:
    wrong = set(journal.wrong_answers())
    runs = callers.count_runs(ledgers)
    started_s: dict[str, float] = {}
    for ledger in ledgers.values():
        for run in ledger:
            first_s = started_s.get(run["request"], run["started_s"])
            started_s[run["request"]] = min(first_s, run["started_s"])
    # Ledgers hold wall-clock times of the same machine.
    wall_offset_s = time.time() - time.monotonic()
    for entry in journal.entries:
        name = entry.request_id
        if entry.answered():
            report.check(WHOLE, name not in wrong, name)
        until_s = entry.not_run_until_s()
        if until_s is not None:
            begun_s = started_s.get(name, math.inf)
            report.check(NOT_RUN, begun_s > until_s + wall_offset_s, name)
        if entry.write:
            count = runs[name]
            report.check(ONCE, count <= 1, f"{name} ran {count} times")


def _check_cold(report, ledgers, injector) -> None:
    for name, ledger in ledgers.items():
        # Before any evidence, nobody can know that a target turned cold.
        if name in injector.turned_cold:
            continue
        for entry in ledger:
            report.check(
                COLD, not entry["overload"], f"{name}: {entry['entry_id']}"
            )


def _check_domains(report, running, ledgers, injector) -> None:
    outs = [item for item in injector.faults if item.name == "domain out"]
    for fault in outs:
        begin_s = fault.begin_s + faults.OUT_GRACE_S
        inside = [
            m for m in running.members if m.failure_domain == fault.victim
        ]
        for member in inside:
            late = [
                entry
                for entry in ledgers[member.name]
                if begin_s <= entry["started_s"] <= fault.end_s
            ]
            report.check(
                OUT,
                not late,
                f"{len(late)} requests at {member.name} in {fault.victim}",
            )


def _check_revisions(report, sampler, injector) -> None:
    highest: dict[tuple[str, str], int] = collections.defaultdict(int)
    first_s: dict[tuple[str, str], float] = {}
    for sample in sampler.samples:
        key = (sample.node, sample.incarnation)
        first_s.setdefault(key, sample.at_s)
        report.check(
            NO_REVERT,
            sample.revision >= highest[key],
            f"{sample.node}: {sample.revision} after {highest[key]}",
        )
        highest[key] = max(highest[key], sample.revision)
        due = [
            number
            for at_s, number in injector.accepted
            if at_s + IN_FORCE_S <= sample.at_s
        ]
        # A process that has just started takes no work before it knows one.
        starts = (
            sample.revision == 0 and sample.at_s < first_s[key] + IN_FORCE_S
        )
        if due and not starts and not _was_frozen(injector, sample):
            report.check(
                IN_FORCE,
                sample.revision >= max(due),
                f"{sample.node}: {sample.revision} instead of {max(due)}",
            )


def _was_frozen(injector, sample: Sample) -> bool:
    """Tells whether a node could not act just before a sample."""
    return any(
        fault.victim == sample.node
        and "node" in fault.name
        and fault.begin_s <= sample.at_s
        and (not fault.end_s or sample.at_s <= fault.end_s + IN_FORCE_S)
        for fault in injector.faults
    )


def _fault_table(injector) -> experiment.Table:
    counts = collections.Counter(fault.name for fault in injector.faults)
    rows = [[name, count] for name, count in sorted(counts.items())]
    return experiment.Table("faults brought about", ["fault", "times"], rows)


def _call_table(journal) -> experiment.Table:
    rows = [
        ["calls", len(journal.entries)],
        ["answered", journal.answered()],
        *[[f"sent again after {k}", v] for k, v in journal.resent.items()],
    ]
    return experiment.Table("calls", ["what", "count"], rows)
