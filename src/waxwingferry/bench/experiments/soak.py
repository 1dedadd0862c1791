"""Long randomised run that combines all faults and checks the guarantees.

Callers read, write and upload while nodes and targets are killed, paused,
restarted and drained, network paths between nodes are delayed, blocked in one
direction, reset and made silent, targets turn cold or slow, shed load, truncate
or swap their answers, or state a rate or that they leave, the platform is down,
slow or loses answers, failure domains are set to "out" and back to "in", and
operators change the document concurrently.
The targets' ledgers show which requests ran, and with which bodies.
"""

import bisect
import collections
import dataclasses
import math
import random
import time

import anyio
import httpx

from waxwingferry.bench import bodies
from waxwingferry.bench import callers
from waxwingferry.bench import cluster
from waxwingferry.bench import experiment
from waxwingferry.bench import faults

SERVICES = {"registry": 6, "desk": 4}
DOMAINS = ("d1", "d2", "d3", "d4")
CALLER_COUNT = 10
MAX_PROPAGATION_S = 3.0
MEAN_FAULT_INTERVAL_S = 0.7
SAMPLE_INTERVAL_S = 0.5
UPLOAD_SHARE = 0.3

# A target that states a rate may get RATE_EXCESS_RATIO times that rate, and
# RATE_EXCESS_REQUESTS, in any RATE_WINDOW_S from RATE_NOTICE_S after that on.
RATE_WINDOW_S = 4.0
RATE_NOTICE_S = 3.0
RATE_EXCESS_RATIO = 1.5
RATE_EXCESS_REQUESTS = 5
# Time after an answer with such a statement until no request arrives any more.
LEAVE_NOTICE_S = 2.0

ANSWERS_INTACT = "every answer is whole and the caller's own"
REFUSALS_TRUE = "a refusal that says not run is true"
AT_MOST_ONCE = "a non-idempotent request runs at most once"
COLD_TARGET_LIMIT = "a started target is never given more than it bears"
STATED_RATE = "a target that states a rate is given little more"
STATED_LEAVE = "a target that states that it leaves gets no new work after 2 s"
DOMAIN_OUT = "a failure domain that is out gets no new work after 3 s"
MONOTONIC_REVISIONS = "a revision in force never reverts"
PROPAGATION_TIME = "an accepted revision is in force everywhere within 3 s"
SINGLE_RACE_WINNER = "of operators that race at most one wins"
GUARANTEES = (
    ANSWERS_INTACT,
    REFUSALS_TRUE,
    AT_MOST_ONCE,
    bodies.WHOLE_BODIES,
    COLD_TARGET_LIMIT,
    STATED_RATE,
    STATED_LEAVE,
    DOMAIN_OUT,
    MONOTONIC_REVISIONS,
    PROPAGATION_TIME,
    SINGLE_RACE_WINNER,
)
# Guarantees without a time limit; they hold on a slow machine too.
TIMING_INDEPENDENT_GUARANTEES = (
    ANSWERS_INTACT,
    REFUSALS_TRUE,
    AT_MOST_ONCE,
    bodies.WHOLE_BODIES,
    MONOTONIC_REVISIONS,
)


@dataclasses.dataclass(slots=True)
class RevisionSample:
    """The revision that a node reported as in force.

    Attributes:
        at_s: Wall-clock time at which the request was sent.
    """

    at_s: float
    node: str
    incarnation: str
    revision: int


class RevisionSampler:
    """Polls the revision of all nodes.

    Args:
        running: The cluster.
        client: Client for the requests.
    """

    def __init__(self, running: cluster.Cluster, client: httpx.AsyncClient):
        self.running = running
        self.client = client
        self.samples: list[RevisionSample] = []

    async def run(self) -> None:
        """Samples until cancelled."""
        async with anyio.create_task_group() as group:
            for instance in self.running.instances:
                group.start_soon(self._sample, instance)

    async def _sample(self, instance: cluster.Instance) -> None:
        while True:
            at_s = time.time()
            status = await self.running.status(self.client, instance)
            if status:
                self.samples.append(
                    RevisionSample(
                        at_s,
                        instance.name,
                        status["incarnation"],
                        status["revision"],
                    )
                )
            await anyio.sleep(SAMPLE_INTERVAL_S)


async def run(
    options: experiment.Options, guarantees: tuple[str, ...] = GUARANTEES
) -> experiment.Report:
    """Runs the soak.

    Args:
        options: Options of the run.
        guarantees: Guarantees to report; each must be checked at least once.
    """
    call_log = callers.CallLog()
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
            sampler = RevisionSampler(running, client)
            async with anyio.create_task_group() as group:
                group.start_soon(sampler.run)
                async with anyio.create_task_group() as workload:
                    workload.start_soon(
                        injector.run, options.duration_s, MEAN_FAULT_INTERVAL_S
                    )
                    for number in range(CALLER_COUNT):
                        caller = callers.Caller(
                            f"c{number}",
                            random.Random(options.seed * 100 + number),
                            running.instances,
                            names,
                            call_log,
                            give_up_s=8.0,
                            upload_share=UPLOAD_SHARE,
                        )
                        workload.start_soon(caller.run, options.duration_s)
                await anyio.sleep(MAX_PROPAGATION_S + 2 * SAMPLE_INTERVAL_S)
                group.cancel_scope.cancel()
    return _check_guarantees(running, call_log, injector, sampler, guarantees)


def _check_guarantees(
    running, call_log, injector, sampler, guarantees
) -> experiment.Report:
    report = experiment.Report()
    ledgers = running.read_ledgers()
    _check_calls(report, call_log, ledgers)
    sent = {
        entry.request_id: bodies.describe(entry.make_body())
        for entry in call_log.entries
    }
    bodies.check_bodies(report, ledgers, sent)
    _check_cold(report, ledgers, injector)
    _check_stated_rates(report, ledgers, injector)
    _check_stated_leaves(report, ledgers, injector)
    _check_domains(report, running, ledgers, injector)
    _check_revisions(report, sampler, injector)
    for winners in injector.race_winners:
        report.check(
            SINGLE_RACE_WINNER, winners <= 1, f"{winners} changes were accepted"
        )
    report.restrict_to(guarantees)
    report.tables += [_fault_table(injector), call_log.make_table()]
    report.figures["faults"] = [
        dataclasses.asdict(fault) for fault in injector.faults
    ]
    return report


def _check_calls(report, call_log, ledgers) -> None:
    wrong = set(call_log.wrong_answers())
    runs = callers.count_runs(ledgers)
    first_starts_s: dict[str, float] = {}
    for ledger in ledgers.values():
        for run in ledger:
            earliest_s = first_starts_s.get(run["request"], run["started_s"])
            first_starts_s[run["request"]] = min(earliest_s, run["started_s"])
    # Ledgers hold wall-clock times, the call log holds monotonic times; both
    # are of the same machine.
    wall_offset_s = time.time() - time.monotonic()
    for entry in call_log.entries:
        name = entry.request_id
        if entry.answered():
            report.check(ANSWERS_INTACT, name not in wrong, name)
        until_s = entry.not_run_until_s()
        if until_s is not None:
            first_start_s = first_starts_s.get(name, math.inf)
            report.check(
                REFUSALS_TRUE, first_start_s > until_s + wall_offset_s, name
            )
        if entry.write:
            count = runs[name]
            report.check(AT_MOST_ONCE, count <= 1, f"{name} ran {count} times")


def _check_cold(report, ledgers, injector) -> None:
    for name, ledger in ledgers.items():
        # A node can't know that a running target turned cold before the first
        # overload shows it.
        if name in injector.turned_cold:
            continue
        for entry in ledger:
            report.check(
                COLD_TARGET_LIMIT,
                not entry["overload"],
                f"{name}: {entry['entry_id']}",
            )


def _check_stated_rates(report, ledgers, injector) -> None:
    for stated in injector.stated_rates:
        allowed = (
            RATE_EXCESS_RATIO * stated.rate_per_s * RATE_WINDOW_S
            + RATE_EXCESS_REQUESTS
        )
        starts_s = sorted(
            entry["started_s"]
            for entry in ledgers[stated.instance]
            if stated.begin_s + RATE_NOTICE_S
            <= entry["started_s"]
            <= stated.end_s
        )
        most = max(
            (
                bisect.bisect_left(starts_s, start_s + RATE_WINDOW_S) - index
                for index, start_s in enumerate(starts_s)
            ),
            default=0,
        )
        report.check(
            STATED_RATE,
            most <= allowed,
            f"{most} requests in {RATE_WINDOW_S} s at {stated.instance}, "
            f"which states {stated.rate_per_s:.2f} a second",
        )


def _check_stated_leaves(report, ledgers, injector) -> None:
    for fault in injector.faults:
        if fault.name != "target states that it leaves":
            continue
        entries = [
            entry
            for entry in ledgers[fault.victim]
            if fault.begin_s <= entry["started_s"] <= fault.end_s
        ]
        answered_s = min(
            (
                entry["ended_s"]
                for entry in entries
                if entry["state"] in ("done", "failed")
            ),
            default=math.inf,
        )
        late_count = sum(
            entry["started_s"] > answered_s + LEAVE_NOTICE_S
            for entry in entries
        )
        report.check(
            STATED_LEAVE,
            not late_count,
            f"{late_count} requests at {fault.victim}",
        )


def _check_domains(report, running, ledgers, injector) -> None:
    domain_faults = [
        item for item in injector.faults if item.name == "domain out"
    ]
    for fault in domain_faults:
        begin_s = fault.begin_s + faults.OUT_GRACE_S
        domain_instances = [
            m for m in running.instances if m.failure_domain == fault.victim
        ]
        for instance in domain_instances:
            late_entries = [
                entry
                for entry in ledgers[instance.name]
                if begin_s <= entry["started_s"] <= fault.end_s
            ]
            report.check(
                DOMAIN_OUT,
                not late_entries,
                f"{len(late_entries)} requests at {instance.name} "
                f"in {fault.victim}",
            )


def _check_revisions(report, sampler, injector) -> None:
    highest_revision: dict[tuple[str, str], int] = collections.defaultdict(int)
    first_samples_s: dict[tuple[str, str], float] = {}
    for sample in sampler.samples:
        key = (sample.node, sample.incarnation)
        first_samples_s.setdefault(key, sample.at_s)
        report.check(
            MONOTONIC_REVISIONS,
            sample.revision >= highest_revision[key],
            f"{sample.node}: {sample.revision} after {highest_revision[key]}",
        )
        highest_revision[key] = max(highest_revision[key], sample.revision)
        due_revisions = [
            number
            for at_s, number in injector.accepted
            if at_s + MAX_PROPAGATION_S <= sample.at_s
        ]
        # A process that has just started accepts no calls before it has read
        # a revision.
        is_starting = (
            sample.revision == 0
            and sample.at_s < first_samples_s[key] + MAX_PROPAGATION_S
        )
        if (
            due_revisions
            and not is_starting
            and not _could_not_act(injector, sample)
        ):
            report.check(
                PROPAGATION_TIME,
                sample.revision >= max(due_revisions),
                f"{sample.node}: {sample.revision} "
                f"instead of {max(due_revisions)}",
            )


def _could_not_act(injector, sample: RevisionSample) -> bool:
    """Returns whether a fault kept the node from acting before a sample."""
    return any(
        fault.victim == sample.node
        and "node" in fault.name
        and fault.begin_s <= sample.at_s
        and (not fault.end_s or sample.at_s <= fault.end_s + MAX_PROPAGATION_S)
        for fault in injector.faults
    )


def _fault_table(injector) -> experiment.Table:
    counts = collections.Counter(fault.name for fault in injector.faults)
    rows = [[name, count] for name, count in sorted(counts.items())]
    return experiment.Table("faults brought about", ["fault", "times"], rows)
