"""The demo: a small exchange under faults, called through the nodes.

Six targets serve the registry and four the trading desk. Callers read prices
and register transfers; a call that was refused or whose outcome is unknown
is sent again, a transfer with the same idempotency key. Meanwhile the
platform gets slow, loses answers and goes down, targets turn cold and drain,
and a node is restarted. The targets' ledgers tell what ran.
"""

import collections
import json
import random
import signal
import time

import anyio
import anyio.to_thread
import httpx

from waxwingferry.bench import cluster
from waxwingferry.bench import load

SERVICES = {"registry": 6, "desk": 4}
CALLERS = 12
CALLS_PER_CALLER_S = 12.0
DURATION_S = 18.0
PROGRESS_S = 3.0
WRITE_SHARE = 0.3
RESEND_DELAY_S = 0.2
GIVE_UP_S = 20.0

DOCUMENT = {
    "services": [
        {
            "name": name,
            "routes": [
                {
                    "path_prefix": f"/{name}/",
                    "methods": ["GET", "HEAD"],
                    "idempotent": True,
                    "deadline_ms": 2000,
                },
                {
                    "path_prefix": f"/{name}/transfers",
                    "methods": ["POST"],
                    "idempotent": False,
                    "deadline_ms": 5000,
                },
            ],
        }
        for name in SERVICES
    ],
    "failure_domains": [
        {"name": f"d{number}", "region": "r1"} for number in range(1, 5)
    ],
}


class Tally:
    """What the callers saw.

    Attributes:
        calls: Calls begun; sending one again does not count.
        answered: Calls answered in the end.
        lost: Calls with a wrong answer, or with none in the end.
        written: Request ids of answered transfers.
        refused: Refusals and missing answers by reason.
    """

    def __init__(self):
        self.calls = 0
        self.answered = 0
        self.lost = 0
        self.written: set[str] = set()
        self.refused: collections.Counter[str] = collections.Counter()
        self.recorder = load.Recorder()

    def print_table(self) -> None:
        """Prints the closing table."""
        print(f"{'calls to':24}{'count':>8}{'p50 ms':>10}{'p99 ms':>10}")
        for label, values in sorted(self.recorder.histograms.items()):
            middle, high, _ = self.recorder.percentiles_ms(label)
            count = values.get_total_count()
            print(f"{label:24}{count:8}{middle:10.2f}{high:10.2f}")
        for reason, count in sorted(self.refused.items()):
            print(f"sent again after {reason:28}{count:6}")


class Caller:
    """One caller, with one call at a time.

    Args:
        name: Name of the caller.
        rng: Source of its choices.
        nodes: Nodes it may enter at.
        tally: Takes what it sees.
    """

    def __init__(
        self,
        name: str,
        rng: random.Random,
        nodes: list[cluster.Member],
        tally: Tally,
    ):
        self.name = name
        self.rng = rng
        self.nodes = nodes
        self.tally = tally
        self.client = load.Client()

    async def run(self) -> None:
        """Calls until the demo's time is over."""
        end_s = time.monotonic() + DURATION_S
        number = 0
        while time.monotonic() < end_s:
            number += 1
            await self._call(f"{self.name}-{number}")
            await anyio.sleep(self.rng.expovariate(CALLS_PER_CALLER_S))
        await self.client.close()

    async def _call(self, request_id: str) -> None:
        service = self.rng.choice(list(SERVICES))
        write = self.rng.random() < WRITE_SHARE
        self.tally.calls += 1
        begin_s = time.monotonic()
        while time.monotonic() < begin_s + GIVE_UP_S:
            request = self._make_request(service, write, request_id)
            result = await self.client.send(request, time.monotonic())
            if result.outcome == "answered" and result.status == 200:
                self._take_answer(result, write)
                return
            reason = result.reason or f"status {result.status}"
            self.tally.refused[f"{result.outcome}: {reason}"] += 1
            await anyio.sleep(RESEND_DELAY_S)
        self.tally.lost += 1

    def _make_request(
        self, service: str, write: bool, request_id: str
    ) -> load.Request:
        port = self.rng.choice(self.nodes).ports["caller"]
        return load.Request(
            ("127.0.0.1", port),
            "POST" if write else "GET",
            f"/{service}/" + ("transfers" if write else "prices/crab"),
            f"{service} {'transfer' if write else 'read'}",
            request_id,
            [("idempotency-key", request_id)] if write else [],
            b'{"quota_kg": 100}' if write else b"",
        )

    def _take_answer(self, result: load.Result, write: bool) -> None:
        self.tally.answered += 1
        self.tally.recorder.record(result)
        content = json.loads(result.body)
        if content["request"] != result.request.request_id:
            self.tally.lost += 1
        if write:
            self.tally.written.add(result.request.request_id)


async def _bring_about_faults(running: cluster.Cluster) -> None:
    """Brings about the faults of the demo, one after the other."""
    cold, draining, restarted = running.members[1], *running.members[-2:]
    async with httpx.AsyncClient(trust_env=False) as client:
        await anyio.sleep(2)
        _say("the platform is slow and loses one answer in five")
        await running.set_platform_faults(client, delay_s=0.05, lose_share=0.2)
        await anyio.sleep(3)
        _say("the platform is down for two seconds")
        await running.set_platform_faults(client, down=True)
        await anyio.sleep(2)
        await running.set_platform_faults(client)
        _say(f"target {cold.name} turns cold")
        await running.control_target(client, cold, cold_bears=1, turn_cold=True)
        await anyio.sleep(2)
        _say(f"target {draining.name} drains")
        await running.control_target(client, draining, draining=True)
        _say(f"node {restarted.name} is restarted")
        await _restart_node(running, restarted)
        await running.control_target(client, draining, draining=False)


async def _restart_node(
    running: cluster.Cluster, member: cluster.Member
) -> None:
    assert member.node is not None
    member.node.send_signal(signal.SIGTERM)
    await anyio.to_thread.run_sync(member.node.wait, 20)
    running.start_node(member)


async def _show_progress(tally: Tally) -> None:
    while True:
        await anyio.sleep(PROGRESS_S)
        _say(f"{tally.calls} calls, {tally.answered} answered")


def _say(text: str) -> None:
    print(f"demo: {text}", flush=True)


async def run_demo(seed: int = 1) -> int:
    """Runs the demo; returns the exit code."""
    _say("starting the platform, 10 targets and 10 nodes")
    tally = Tally()
    async with cluster.run_cluster(SERVICES, DOCUMENT, seed=seed) as running:
        _say(f"{CALLERS} callers for {DURATION_S:.0f} s")
        async with anyio.create_task_group() as group:
            group.start_soon(_show_progress, tally)
            async with anyio.create_task_group() as work:
                work.start_soon(_bring_about_faults, running)
                for number in range(CALLERS):
                    rng = random.Random(seed * 100 + number)
                    caller = Caller(f"c{number}", rng, running.members, tally)
                    work.start_soon(caller.run)
            group.cancel_scope.cancel()
        _say("stopping")
    return _finish(tally, running.read_ledgers())


def _finish(tally: Tally, ledgers: dict[str, list[dict]]) -> int:
    ran = collections.Counter(
        entry["request"]
        for ledger in ledgers.values()
        for entry in ledger
        if entry["write"] and entry["state"] == "done"
    )
    doubled = sum(1 for count in ran.values() if count > 1)
    lost = tally.lost + len(tally.written - set(ran))
    tally.print_table()
    print(
        f"demo: {tally.calls} calls, {tally.answered} answered, "
        f"{lost} lost, {doubled} doubled"
    )
    good = tally.answered == tally.calls and not lost and not doubled
    return 0 if good else 1
