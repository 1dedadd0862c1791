"""Demo: callers of two services behind nodes while faults are injected.

Six targets serve "registry" and four serve "desk". Callers read prices and
register transfers. A call that is refused or whose outcome is unknown is sent
again; a transfer keeps its idempotency key. Meanwhile the platform is slow,
loses responses and goes down, targets become cold or drain, and a node
restarts. The targets' ledgers show which requests were executed.
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
CALLER_COUNT = 12
DURATION_S = 18.0
PROGRESS_INTERVAL_S = 3.0


async def _inject_faults(running: cluster.Cluster) -> None:
    """Injects the faults of the demo one after the other."""
    cold, draining, restarted = running.instances[1], *running.instances[-2:]
    async with httpx.AsyncClient(trust_env=False) as client:
        await anyio.sleep(2)
        _print_line("the platform is slow and loses one answer in five")
        await running.set_platform_faults(client, delay_s=0.05, lose_share=0.2)
        await anyio.sleep(3)
        _print_line("the platform is down for two seconds")
        await running.set_platform_faults(client, down=True)
        await anyio.sleep(2)
        await running.set_platform_faults(client)
        _print_line(f"target {cold.name} turns cold")
        await running.control_target(client, cold, cold_bears=1, turn_cold=True)
        await anyio.sleep(2)
        _print_line(f"target {draining.name} drains")
        await running.control_target(client, draining, draining=True)
        _print_line(f"node {restarted.name} is restarted")
        await restart_node(running, restarted)
        await running.control_target(client, draining, draining=False)


async def restart_node(
    running: cluster.Cluster, instance: cluster.Instance
) -> None:
    """Stops a node gracefully and starts it again."""
    assert instance.node is not None
    instance.node.send_signal(signal.SIGTERM)
    await anyio.to_thread.run_sync(instance.node.wait, 20)
    running.start_node(instance)


async def _report_progress(call_log: callers.CallLog) -> None:
    while True:
        await anyio.sleep(PROGRESS_INTERVAL_S)
        count = len(call_log.entries)
        _print_line(f"{count} calls, {call_log.answered()} answered")


def _print_line(text: str) -> None:
    print(f"demo: {text}", flush=True)


async def run_demo(seed: int = 1) -> int:
    """Runs the demo and returns the exit code."""
    _print_line("starting the platform, 10 targets and 10 nodes")
    call_log = callers.CallLog()
    names = list(SERVICES)
    document = callers.make_document(names, DOMAINS)
    async with cluster.run_cluster(SERVICES, document, seed=seed) as running:
        _print_line(f"{CALLER_COUNT} callers for {DURATION_S:.0f} s")
        async with anyio.create_task_group() as background_group:
            background_group.start_soon(_report_progress, call_log)
            async with anyio.create_task_group() as workload_group:
                workload_group.start_soon(_inject_faults, running)
                for number in range(CALLER_COUNT):
                    rng = random.Random(seed * 100 + number)
                    caller = callers.Caller(
                        f"c{number}", rng, running.instances, names, call_log
                    )
                    workload_group.start_soon(caller.run, DURATION_S)
            background_group.cancel_scope.cancel()
        _print_line("stopping")
    return _print_summary(call_log, running.read_ledgers())


def _print_summary(
    call_log: callers.CallLog, ledgers: dict[str, list[dict]]
) -> int:
    run_counts = callers.count_runs(ledgers)
    calls = len(call_log.entries)
    answered = call_log.answered()
    duplicated = sum(1 for count in run_counts.values() if count > 1)
    lost = calls - answered + len(call_log.wrong_answers())
    lost += sum(
        entry.write and entry.answered() and not run_counts[entry.request_id]
        for entry in call_log.entries
    )
    call_log.print_tables()
    print(
        f"demo: {calls} calls, {answered} answered, "
        f"{lost} lost, {duplicated} doubled"
    )
    return 1 if lost or duplicated or not calls else 0
