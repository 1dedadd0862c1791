"""Measures what one and two passes through nodes add to a call.

Starts a platform, two nodes and two targets as processes on loopback. A load
process sends the same calls straight to a target, through the target's own
node (one pass), and through another node (two passes), in turn within one
run. Calls are sent at scheduled times whether or not earlier ones were
answered, and latency counts from the scheduled time.

Processor time per call is that of the nodes, less their use while idle.

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
IDLE_S = 2.0
# Enough that no call of the bench waits or is shed.
SLOTS = 64
OK_STATUS = 200
WAYS = ("direct", "one pass", "two passes")
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
    """Runs the load of one way and prints its latencies as JSON.

    Args:
        port: Port to call.
        path: Path to call.
        rate: Calls per second.
        seconds: Duration.
        seed: Seed of the gaps between calls.
    """

    def make_request(rng: random.Random, number: int) -> loads.Request:
        address = ("127.0.0.1", port)
        return loads.Request(address, "GET", path, "", str(number), HEADERS)

    plan = loads.Plan(rate, seconds, make_request)
    backend = {"loop_factory": uvloop.new_event_loop}
    recorder = anyio.run(
        loads.run_load, plan, seed, True, backend_options=backend
    )
    latencies_ms = [
        result.latency_s * 1000
        for result in recorder.results
        if result.status == OK_STATUS
    ]
    failed = len(recorder.results) - len(latencies_ms)
    print(json.dumps({"latencies_ms": latencies_ms, "failed": failed}))


@dataclasses.dataclass
class Tally:
    """What one way cost over all rounds.

    Attributes:
        node_cpu_s: Processor time of both nodes.
        seconds: Time measured.
    """

    latencies_ms: list[float] = dataclasses.field(default_factory=list)
    failed: int = 0
    node_cpu_s: float = 0.0
    seconds: float = 0.0

    def quantile_ms(self, share: float) -> float:
        """Returns a quantile of the latencies."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def _cpu_s(processes: list[psutil.Process]) -> float:
    return sum(sum(item.cpu_times()[:2]) for item in processes)


async def _measure(
    port: int, path: str, rate: float, seconds: float, seed: int
) -> dict:
    arguments = [str(port), path, str(rate), str(seconds), str(seed)]
    finished = await anyio.run_process(
        [sys.executable, str(pathlib.Path(__file__)), "load", *arguments],
        stderr=subprocess.STDOUT,
    )
    return json.loads(finished.stdout)


async def _run(
    first_port: int, rate: float, seconds: float, rounds: int
) -> dict[str, Tally]:
    tallies = {way: Tally() for way in WAYS}
    async with cluster.run_cluster(
        {"near": 1, "far": 1},
        DOCUMENT,
        behaviour={"service_time_ms": 0.0},
        slots=SLOTS,
        first_port=first_port,
    ) as running:
        near = running.members[0]
        ways = {
            "direct": (near.ports["target"], "/near/x"),
            "one pass": (near.ports["caller"], "/near/x"),
            "two passes": (near.ports["caller"], "/far/x"),
        }
        nodes = [
            psutil.Process(member.node.pid)
            for member in running.members
            if member.node is not None
        ]
        for port, path in ways.values():
            await _measure(port, path, rate, 1.0, seed=0)
        before_s = _cpu_s(nodes)
        await anyio.sleep(IDLE_S)
        idle_share = (_cpu_s(nodes) - before_s) / IDLE_S
        for number in range(rounds):
            for way, (port, path) in ways.items():
                tally = tallies[way]
                before_s = _cpu_s(nodes)
                begin_s = time.monotonic()
                result = await _measure(port, path, rate, seconds, number + 1)
                elapsed_s = time.monotonic() - begin_s
                used_s = _cpu_s(nodes) - before_s
                tally.node_cpu_s += used_s - idle_share * elapsed_s
                tally.seconds += elapsed_s
                tally.latencies_ms += result["latencies_ms"]
                tally.failed += result["failed"]
    print(f"nodes idle: {idle_share * 100 / len(nodes):.2f} % of a core each")
    return tallies


def run(
    first_port: int = 22000,
    rate: float = RATE_PER_S,
    seconds: float = 3.0,
    rounds: int = 3,
) -> None:
    """Measures all ways and prints a table.

    Args:
        first_port: First of the ports used.
        rate: Calls per second.
        seconds: Duration of each way in each round.
        rounds: Number of rounds.
    """
    tallies = anyio.run(_run, first_port, rate, seconds, rounds)
    direct = tallies["direct"]
    print(
        f"{'way':12}{'calls':>7}{'failed':>8}{'p50 ms':>9}{'p99 ms':>9}"
        f"{'added p50':>11}{'added p99':>11}{'node cpu ms/call':>18}"
    )
    for way, tally in tallies.items():
        calls = len(tally.latencies_ms)
        middle_ms = tally.quantile_ms(0.5)
        high_ms = tally.quantile_ms(0.99)
        print(
            f"{way:12}{calls:7}{tally.failed:8}{middle_ms:9.3f}{high_ms:9.3f}"
            f"{middle_ms - direct.quantile_ms(0.5):11.3f}"
            f"{high_ms - direct.quantile_ms(0.99):11.3f}"
            f"{tally.node_cpu_s * 1000 / calls:18.3f}"
        )


if __name__ == "__main__":
    program.run_program("pass_cost", {"run": run, "load": load})
