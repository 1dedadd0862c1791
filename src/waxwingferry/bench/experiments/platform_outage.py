"""Runs a cluster through a long outage of the platform under load.

While the platform is down, a target's VM fails, a replacement VM that knows
only its seed peers joins, and a node leaves. Then the platform recovers, and
all nodes may write to it at the same time.
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
from waxwingferry.bench.experiments import propagation
from waxwingferry.process import program

SERVICES = {"registry": 5, "desk": 4}
DOMAINS = ("d1", "d2", "d3", "d4")
READER_COUNT = 6
# Writes wait for the platform, so they get callers of their own: reads must
# not wait behind them.
WRITER_COUNT = 2
GIVE_UP_S = 60.0
CALL_PERIOD_S = 1.0
DEAD_TARGET_GRACE_S = 3.0
MAX_LEAVE_PROPAGATION_S = 3.0
RECOVERY_WINDOW_S = 5.0
# One lease renewal, and one retry if the answer to it came too late.
MAX_MEMBER_WRITES_PER_NODE = 2


class OutageRun:
    """One run of the experiment.

    Attributes:
        phases: Name and start time of each phase, in order.
        entry_instances: Instances whose nodes the callers use.
    """

    def __init__(self, running, http, rng, report):
        self.running = running
        self.http = http
        self.rng = rng
        self.report = report
        self.call_log = callers.CallLog()
        self.finished = False
        self.phases: list[tuple[str, float]] = []
        # The first three instances are the seed peers of the cluster, so the
        # failing and the leaving instance are taken from the end.
        self.entry_instances = list(running.instances[:-2])
        self.dead_instance, self.leaving_instance = running.instances[-2:]

    def begin_phase(self, name: str) -> None:
        """Records the start of a phase."""
        self.phases.append((name, time.monotonic()))

    async def run_caller(
        self, number: int, rng: random.Random, write_share: float
    ) -> None:
        """Sends calls until the run has finished; completes the last call."""
        period = 0
        while not self.finished:
            period += 1
            caller = callers.Caller(
                f"c{number}-{period}",
                rng,
                self.entry_instances,
                list(SERVICES),
                self.call_log,
                give_up_s=GIVE_UP_S,
                write_share=write_share,
            )
            await caller.run(CALL_PERIOD_S)

    async def run(self) -> None:
        """Runs all phases in order."""
        self.begin_phase("before")
        await anyio.sleep(2)
        await self.running.set_platform_faults(self.http, down=True)
        self.begin_phase("platform down")
        await anyio.sleep(2)
        await self._check_change_refused()
        await self._kill_vm()
        await self._start_replacement_vm()
        await self._stop_node_gracefully()
        await self._restore_platform()

    async def _check_change_refused(self) -> None:
        operator = propagation.make_operator_client(
            self.running.instances, self.rng
        )
        try:
            await anyio.to_thread.run_sync(_change_deadline, operator)
            message = "accepted"
        except program.CommandError as error:
            message = str(error).replace("\n", " ")
        self.report.check(
            "a change is refused as not written",
            "nothing was written" in message,
            message,
        )

    async def _kill_vm(self) -> None:
        """Kills a node and its target; checks that calls avoid the target."""
        self.begin_phase("a VM is dead")
        for process in (self.dead_instance.node, self.dead_instance.target):
            process.kill()
            process.wait()
        await anyio.sleep(DEAD_TARGET_GRACE_S)
        refused_before = await self._count_refused_connections()
        await anyio.sleep(2)
        # Nodes probe a suspected instance again, but route no calls to it.
        refused_later = await self._count_refused_connections() - refused_before
        self.report.figures["refused_within_3_s"] = refused_before
        self.report.figures["refused_later"] = refused_later
        self.report.check(
            "a dead target gets no calls after 3 s",
            refused_later == 0,
            f"{refused_later:.0f} connections refused",
        )

    async def _count_refused_connections(self) -> float:
        total = 0.0
        for instance in self.entry_instances:
            port = instance.ports["admin"]
            reply = await self.http.get(f"http://127.0.0.1:{port}/metrics")
            for line in reply.text.splitlines():
                if "retries" in line and "connection_refused" in line:
                    total += float(line.rsplit(" ", 1)[1])
        return total

    async def _start_replacement_vm(self) -> None:
        """Restarts the dead VM under its name, knowing only its seed peers."""
        self.begin_phase("a fresh VM starts")
        status = await self.running.status(self.http, self.entry_instances[0])
        begin_s = time.monotonic()
        self.running.start_node(self.dead_instance)
        self.running.start_target(self.dead_instance)
        elapsed_s = await self._wait_until_serving(status["revision"], begin_s)
        self.report.figures["fresh_vm_s"] = elapsed_s
        self.report.check(
            "a fresh VM learns from its seeds and takes work",
            elapsed_s < 15,
            f"{elapsed_s:.1f} s",
        )

    async def _wait_until_serving(self, revision: int, begin_s: float) -> float:
        with anyio.move_on_after(15):
            while True:
                status = await self.running.status(
                    self.http, self.dead_instance
                )
                known = len(status.get("members", {}))
                ready = status.get("revision") == revision
                if ready and known == len(self.running.instances):
                    counts = await self._read_counts(self.dead_instance)
                    if counts.get("started", 0):
                        break
                await anyio.sleep(0.1)
        return time.monotonic() - begin_s

    async def _read_counts(self, instance) -> dict:
        try:
            return await self.running.counts(self.http, instance)
        except httpx.HTTPError:
            return {}

    async def _stop_node_gracefully(self) -> None:
        """Stops a node; all others must learn of it without the platform."""
        self.begin_phase("a node leaves")
        self.leaving_instance.node.send_signal(signal.SIGTERM)
        begin_s = time.monotonic()
        with anyio.move_on_after(2 * MAX_LEAVE_PROPAGATION_S):
            while True:
                if await self._leave_is_known_everywhere():
                    break
                await anyio.sleep(0.05)
        elapsed_s = time.monotonic() - begin_s
        self.report.figures["leave_known_s"] = elapsed_s
        self.report.check(
            "a leave is known everywhere within 3 s",
            elapsed_s <= MAX_LEAVE_PROPAGATION_S,
            f"{elapsed_s:.2f} s",
        )

    async def _leave_is_known_everywhere(self) -> bool:
        for instance in self.entry_instances:
            status = await self.running.status(self.http, instance)
            row = status["members"].get(self.leaving_instance.name)
            if row is None or row["state"] != "leaving":
                return False
        return True

    async def _restore_platform(self) -> None:
        """Ends the outage and counts the member row writes of all nodes."""
        self.begin_phase("platform back")
        before = await self._count_member_writes()
        await self.running.set_platform_faults(self.http)
        operator = propagation.make_operator_client(
            self.entry_instances, self.rng
        )
        revision = await anyio.to_thread.run_sync(_change_deadline, operator)
        await anyio.sleep(RECOVERY_WINDOW_S)
        writes = await self._count_member_writes() - before
        nodes = len(self.entry_instances) + 1
        self.report.figures["member_writes_at_return"] = writes
        self.report.check(
            "no storm of member rows when the platform returns",
            writes <= MAX_MEMBER_WRITES_PER_NODE * nodes,
            f"{writes} writes of {nodes} nodes in {RECOVERY_WINDOW_S:.0f} s",
        )
        for instance in [*self.entry_instances, self.dead_instance]:
            status = await self.running.status(self.http, instance)
            self.report.check(
                "changes go on after the outage",
                status.get("revision") == revision,
                f"{instance.name}: {status.get('revision')}",
            )

    async def _count_member_writes(self) -> int:
        total = 0
        for instance in [*self.entry_instances, self.dead_instance]:
            status = await self.running.status(self.http, instance)
            total += status["lease"]["writes"]
        return total

    def report_results(self) -> None:
        """Checks the calls and adds the table of reads by phase."""
        table = experiment.Table(
            "reads by phase", ["phase", "sent", "answered", "not run", "other"]
        )
        ends = [start_s for _, start_s in self.phases[1:]] + [float("inf")]
        for (name, start_s), end_s in zip(self.phases, ends, strict=True):
            table.rows.append([name, *self._count_reads(start_s, end_s)])
        self.report.tables.append(table)
        self.report.check(
            "reads go on in every phase",
            all(row[1] > 0 for row in table.rows),
            str([row[:2] for row in table.rows]),
        )
        self._check_writes()
        reads = [e for e in self.call_log.entries if not e.write]
        failed = [e.request_id for e in reads if not e.answered()]
        self.report.check(
            "reads are answered all through the outage",
            bool(reads) and not failed,
            f"{len(failed)} of {len(reads)} not answered",
        )

    def _check_writes(self) -> None:
        """Checks that every write completed and ran exactly once."""
        writes = [e for e in self.call_log.entries if e.write]
        run_counts = callers.count_runs(self.running.read_ledgers())
        self.report.figures["writes"] = len(writes)
        for entry in writes:
            self.report.check(
                "a keyed write ends once the platform is back, and runs once",
                entry.answered() and run_counts[entry.request_id] == 1,
                f"{entry.request_id}: {run_counts[entry.request_id]} runs, "
                f"{[(r.outcome, r.reason) for r in entry.sends[-3:]]}",
            )

    def _count_reads(self, start_s: float, end_s: float) -> list[int]:
        sends = [
            result
            for entry in self.call_log.entries
            if not entry.write
            for result in entry.sends
            if start_s <= result.scheduled_s < end_s
        ]
        answered = sum(r.outcome == "answered" for r in sends)
        not_run = sum(r.outcome == "not-run" for r in sends)
        return [len(sends), answered, not_run, len(sends) - answered - not_run]


def _change_deadline(operator) -> int:
    base, content = operator.get_document()
    content["services"][0]["routes"][0]["deadline_ms"] += 1
    return operator.put_document(content, base, "one more millisecond")


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
            outage_run = OutageRun(running, http, rng, report)
            async with anyio.create_task_group() as group:
                for number in range(READER_COUNT + WRITER_COUNT):
                    caller_rng = random.Random(rng.random())
                    write_share = 0.0 if number < READER_COUNT else 1.0
                    group.start_soon(
                        outage_run.run_caller, number, caller_rng, write_share
                    )
                await outage_run.run()
                outage_run.finished = True
            outage_run.report_results()
    return report
