"""Takes a failure domain out and back under load, twice.

An open-loop load runs through all nodes. The second time, the platform stops
answering as soon as the change is accepted. The ledgers show which targets got
work in which phase; latencies are reported by phase.
"""

import dataclasses
import random
import time

import anyio
import anyio.to_thread
import httpx

from waxwingferry.bench import callers
from waxwingferry.bench import cluster
from waxwingferry.bench import experiment
from waxwingferry.bench import load
from waxwingferry.bench.experiments import propagation

SERVICES = {"registry": 4, "desk": 4}
DOMAINS = ("d1", "d2", "d3", "d4")
RATE_PER_S = 120.0
SERVICE_TIME_MS = 10.0
WARM_UP_S = 4.0
# Section 1 of the design requires: no new work after a few seconds.
OUT_GRACE_S = 3.0
OUT_S = 7.0
# Time in which a domain that is back gets work again.
BACK_S = 5.0


@dataclasses.dataclass(slots=True)
class Move:
    """One move of a domain out and back.

    Attributes:
        domain: Name of the domain.
        platform_down: Whether the platform stopped answering meanwhile.
        out_s: Monotonic time when the change to "out" was accepted.
        back_s: Monotonic time when the change to "in" was accepted.
    """

    domain: str
    platform_down: bool
    out_s: float = 0.0
    back_s: float = 0.0


async def run(options: experiment.Options) -> experiment.Report:
    """Runs the experiment."""
    report = experiment.Report()
    rng = random.Random(options.seed)
    moves = [
        Move(domain, platform_down)
        for domain, platform_down in zip(
            rng.sample(DOMAINS, 2), (False, True), strict=True
        )
    ]
    recorder = load.Recorder(keep_results=True)
    async with cluster.run_cluster(
        SERVICES,
        callers.make_document(list(SERVICES), DOMAINS),
        behaviour={"service_time_ms": SERVICE_TIME_MS},
        domains=DOMAINS,
        first_port=options.first_port,
        seed=options.seed,
    ) as running:
        generator = load.LoadGenerator(random.Random(options.seed), recorder)
        ports = [item.ports["caller"] for item in running.instances]
        duration_s = WARM_UP_S + len(moves) * (OUT_S + BACK_S) + 2.0
        workload = load.Workload(
            RATE_PER_S,
            duration_s,
            lambda rng, number: _make_request(rng, number, ports),
        )
        begin_s = time.monotonic()
        async with anyio.create_task_group() as group:
            group.start_soon(generator.run, workload)
            await anyio.sleep(WARM_UP_S)
            async with httpx.AsyncClient(trust_env=False, timeout=5) as http:
                for move in moves:
                    await _move(running, http, rng, move)
        _check_ledgers(report, running, moves)
        _report_calls(report, recorder, moves, begin_s + WARM_UP_S / 2)
    return report


def _make_request(
    rng: random.Random, number: int, ports: list[int]
) -> load.Request:
    service = rng.choice(list(SERVICES))
    is_write = rng.random() < 0.3
    return load.Request(
        ("127.0.0.1", rng.choice(ports)),
        "POST" if is_write else "GET",
        f"/{service}/transfers" if is_write else f"/{service}/prices",
        "write" if is_write else "read",
        f"r-{number}",
    )


async def _move(running, http, rng, move: Move) -> None:
    """Takes the domain out and back; both changes go through random nodes."""
    operator = propagation.make_operator_client(running.instances, rng)
    await anyio.to_thread.run_sync(
        propagation.set_domain_state, operator, move.domain, "out"
    )
    move.out_s = time.monotonic()
    if move.platform_down:
        await running.set_platform_faults(http, down=True)
    await anyio.sleep(OUT_S)
    await running.set_platform_faults(http)
    # Taken before the change, because nodes may apply it at once.
    move.back_s = time.monotonic()
    await anyio.to_thread.run_sync(
        propagation.set_domain_state, operator, move.domain, "in"
    )
    await anyio.sleep(BACK_S)


def _check_ledgers(report, running, moves: list[Move]) -> None:
    wall_offset_s = time.time() - time.monotonic()
    ledgers = running.read_ledgers()
    for move in moves:
        for instance in running.instances:
            if instance.failure_domain != move.domain:
                continue
            starts_s = [
                entry["started_s"] - wall_offset_s
                for entry in ledgers[instance.name]
            ]
            late_count = sum(
                move.out_s + OUT_GRACE_S <= start_s <= move.back_s
                for start_s in starts_s
            )
            report.check(
                f"a domain that is out gets no new work {OUT_GRACE_S:.0f} s on",
                not late_count,
                f"{instance.name} in {move.domain}: {late_count} requests",
            )
            report.check(
                "a domain that is back gets work again",
                any(
                    move.back_s <= start_s <= move.back_s + BACK_S
                    for start_s in starts_s
                ),
                f"{instance.name} in {move.domain}",
            )


def _report_calls(report, recorder, moves: list[Move], warm_s: float) -> None:
    """Checks that no call is lost, and tabulates each phase."""
    phases = [("before", warm_s, moves[0].out_s)]
    for move in moves:
        name = f"{move.domain} with the platform down"
        name = name if move.platform_down else move.domain
        left_s = move.out_s + OUT_GRACE_S
        phases += [
            (f"{name}: leaves", move.out_s, left_s),
            (f"{name}: out", left_s, move.back_s),
            (f"{name}: returns", move.back_s, move.back_s + BACK_S),
        ]
    table = experiment.Table(
        f"{RATE_PER_S:.0f} calls/s by phase",
        ["phase", "calls", "answered", "not run", "p50 ms", "p99 ms"],
    )
    for name, begin_s, end_s in phases:
        phase_recorder = load.Recorder()
        for result in recorder.results:
            if begin_s <= result.scheduled_s < end_s:
                result.request.label = "any"
                phase_recorder.record(result)
        outcomes = phase_recorder.outcomes
        p50_ms, p99_ms, _ = phase_recorder.percentiles_ms("any")
        table.rows.append(
            [name, outcomes.total(), outcomes["answered"], outcomes["not-run"]]
            + [p50_ms, p99_ms]
        )
    report.tables.append(table)
    for result in recorder.results:
        report.check(
            "no call is lost while a domain leaves and returns",
            result.outcome in ("answered", "not-run"),
            f"{result.request.request_id}: {result.outcome} {result.reason}",
        )
