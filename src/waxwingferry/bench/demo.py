"""The demo: a small exchange under faults, called through the nodes.

Six targets serve the registry and four the trading desk. Callers read prices
and register transfers; a call that was refused or whose outcome is unknown
is sent again, a transfer with the same idempotency key. Meanwhile the
platform gets slow, loses answers and goes down, targets turn cold and drain,
and a node is restarted. The targets' ledgers tell what ran.
"""

import random
import signal

import anyio
import anyio.to_thread
import httpx

from waxwingferry.bench import callers
from waxwingferry.bench import cluster

SERVICES = {"registry": 6, "desk": 4}
DOMAINS = ("d1", "d2", "d3", "d4")
CALLERS = 12
DURATION_S = 18.0
PROGRESS_S = 3.0


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
        await restart_node(running, restarted)
        await running.control_target(client, draining, draining=False)


async def restart_node(
    running: cluster.Cluster, member: cluster.Member
) -> None:
    """Stops a node gracefully and starts it again."""
    assert member.node is not None
    member.node.send_signal(signal.SIGTERM)
    await anyio.to_thread.run_sync(member.node.wait, 20)
    running.start_node(member)


async def _show_progress(journal: callers.Journal) -> None:
    while True:
        await anyio.sleep(PROGRESS_S)
        count = len(journal.entries)
        _say(f"{count} calls, {journal.answered()} answered")


def _say(text: str) -> None:
    print(f"demo: {text}", flush=True)


async def run_demo(seed: int = 1) -> int:
    """Runs the demo; returns the exit code."""
    _say("starting the platform, 10 targets and 10 nodes")
    journal = callers.Journal()
    names = list(SERVICES)
    document = callers.make_document(names, DOMAINS)
    async with cluster.run_cluster(SERVICES, document, seed=seed) as running:
        _say(f"{CALLERS} callers for {DURATION_S:.0f} s")
        async with anyio.create_task_group() as group:
            group.start_soon(_show_progress, journal)
            async with anyio.create_task_group() as work:
                work.start_soon(_bring_about_faults, running)
                for number in range(CALLERS):
                    rng = random.Random(seed * 100 + number)
                    caller = callers.Caller(
                        f"c{number}", rng, running.members, names, journal
                    )
                    work.start_soon(caller.run, DURATION_S)
            group.cancel_scope.cancel()
        _say("stopping")
    return _finish(journal, running.read_ledgers())


def _finish(journal: callers.Journal, ledgers: dict[str, list[dict]]) -> int:
    ran = callers.count_runs(ledgers)
    calls = len(journal.entries)
    answered = journal.answered()
    doubled = sum(1 for count in ran.values() if count > 1)
    lost = calls - answered + len(journal.wrong_answers())
    lost += sum(
        entry.write and entry.answered() and not ran[entry.request_id]
        for entry in journal.entries
    )
    journal.print_tables()
    print(
        f"demo: {calls} calls, {answered} answered, "
        f"{lost} lost, {doubled} doubled"
    )
    return 1 if lost or doubled or not calls else 0
