"""Measures the latency and processor time that nodes add to a call.

Starts a platform, two nodes and two targets as processes on loopback. A load
process sends the same calls directly to a target, through the target's own
node (one pass) and through another node (two passes), one after the other in
each round. The load is open loop: calls are sent at scheduled times whether or
not earlier ones were answered, and latency counts from the scheduled time.

Processor time per call is that of the nodes, less their idle use.

    PYTHONPATH=src python benchmarks/pass_cost.py run --first_port 22000
"""

import dataclasses
import json
import pathlib
import random
import subprocess
import sys
import time

import anyio
import psutil
import uvloop

from waxwingferry.bench import cluster
from waxwingferry.bench import load as loads
from waxwingferry.process import program

RATE_PER_S = 258.0
IDLE_MEASUREMENT_S = 2.0
# High enough that no call is queued or shed.
SLOTS = 64
OK_STATUS = 200
CALL_PATHS = ("direct", "one pass", "two passes")
HEADERS = [
    ("user-agent", "pass-cost/1"),
    ("accept", "application/json"),
    ("accept-encoding", "identity"),
    ("traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"),
]
DOCUMENT = {
    "services": [
        {
            "name": name,
            "routes": [
                {
                    "path_prefix": f"/{name}/",
                    "methods": ["GET"],
                    "idempotent": True,
                    "deadline_ms": 2000,
                }
            ],
        }
        for name in ("near", "far")
    ],
    "failure_domains": [
        {"name": f"d{number}", "region": "r1"} for number in range(1, 5)
    ],
}


def load(port: int, path: str, rate: float, seconds: float, seed: int) -> None:
    """Runs the load on one call path and prints its latencies as JSON.

    Args:
        port: Port to call.
        path: Path to call.
        rate: Calls per second.
        seconds: Duration.
        seed: Seed of the intervals between calls.
    """

    def make_request(rng: random.Random, number: int) -> loads.Request:
        address = ("127.0.0.1", port)
        return loads.Request(address, "GET", path, "", str(number), HEADERS)

    workload = loads.Workload(rate, seconds, make_request)
    backend = {"loop_factory": uvloop.new_event_loop}
    recorder = anyio.run(
        loads.run_load, workload, seed, True, backend_options=backend
    )
    latencies_ms = [
        result.latency_s * 1000
        for result in recorder.results
        if result.status == OK_STATUS
    ]
    failed = len(recorder.results) - len(latencies_ms)
    print(json.dumps({"latencies_ms": latencies_ms, "failed": failed}))


@dataclasses.dataclass
class PathCost:
    """Latency and processor time of one call path over all rounds.

    Attributes:
        node_cpu_s: Processor time of both nodes, less their idle use.
        seconds: Duration of the measurement.
    """

    latencies_ms: list[float] = dataclasses.field(default_factory=list)
    failed: int = 0
    node_cpu_s: float = 0.0
    seconds: float = 0.0

    def quantile_ms(self, share: float) -> float:
        """Returns a quantile of the latencies."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def _processor_time_s(processes: list[psutil.Process]) -> float:
    return sum(sum(item.cpu_times()[:2]) for item in processes)


async def _run_load_process(
    port: int, path: str, rate: float, seconds: float, seed: int
) -> dict:
    arguments = [str(port), path, str(rate), str(seconds), str(seed)]
    finished = await anyio.run_process(
        [sys.executable, str(pathlib.Path(__file__)), "load", *arguments],
        stderr=subprocess.STDOUT,
    )
    return json.loads(finished.stdout)


async def _measure_paths(
    first_port: int, rate: float, seconds: float, rounds: int
) -> dict[str, PathCost]:
    costs = {call_path: PathCost() for call_path in CALL_PATHS}
    async with cluster.run_cluster(
        {"near": 1, "far": 1},
        DOCUMENT,
        behaviour={"service_time_ms": 0.0},
        slots=SLOTS,
        first_port=first_port,
    ) as running:
        entry_member = running.instances[0]
        call_paths = {
            "direct": (entry_member.ports["target"], "/near/x"),
            "one pass": (entry_member.ports["caller"], "/near/x"),
            "two passes": (entry_member.ports["caller"], "/far/x"),
        }
        nodes = [
            psutil.Process(instance.node.pid)
            for instance in running.instances
            if instance.node is not None
        ]
        for port, path in call_paths.values():
            await _run_load_process(port, path, rate, 1.0, seed=0)
        before_s = _processor_time_s(nodes)
        await anyio.sleep(IDLE_MEASUREMENT_S)
        idle_share = (_processor_time_s(nodes) - before_s) / IDLE_MEASUREMENT_S
        for number in range(rounds):
            for call_path, (port, path) in call_paths.items():
                cost = costs[call_path]
                before_s = _processor_time_s(nodes)
                begin_s = time.monotonic()
                result = await _run_load_process(
                    port, path, rate, seconds, number + 1
                )
                elapsed_s = time.monotonic() - begin_s
                used_s = _processor_time_s(nodes) - before_s
                cost.node_cpu_s += used_s - idle_share * elapsed_s
                cost.seconds += elapsed_s
                cost.latencies_ms += result["latencies_ms"]
                cost.failed += result["failed"]
    print(f"nodes idle: {idle_share * 100 / len(nodes):.2f} % of a core each")
    return costs


def run(
    first_port: int = 22000,
    rate: float = RATE_PER_S,
    seconds: float = 3.0,
    rounds: int = 3,
) -> None:
    """Measures all call paths and prints a table.

    Args:
        first_port: First port of the range to use.
        rate: Calls per second.
        seconds: Duration of the load on each call path in each round.
        rounds: Number of rounds.
    """
    costs = anyio.run(_measure_paths, first_port, rate, seconds, rounds)
    direct = costs["direct"]
    print(
        f"{'way':12}{'calls':>7}{'failed':>8}{'p50 ms':>9}{'p99 ms':>9}"
        f"{'added p50':>11}{'added p99':>11}{'node cpu ms/call':>18}"
    )
    for call_path, cost in costs.items():
        calls = len(cost.latencies_ms)
        p50_ms = cost.quantile_ms(0.5)
        p99_ms = cost.quantile_ms(0.99)
        print(
            f"{call_path:12}{calls:7}{cost.failed:8}{p50_ms:9.3f}{p99_ms:9.3f}"
            f"{p50_ms - direct.quantile_ms(0.5):11.3f}"
            f"{p99_ms - direct.quantile_ms(0.99):11.3f}"
            f"{cost.node_cpu_s * 1000 / calls:18.3f}"
        )


if __name__ == "__main__":
    program.run_program("pass_cost", {"run": run, "load": load})
