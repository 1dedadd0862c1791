"""The demo: both services of a small exchange, called through the nodes."""

import collections
import random
import time

import anyio
import httpx

from waxwingferry.bench import cluster

SERVICES = {"registry": 6, "desk": 4}
CALLERS = 12
DURATION_S = 15.0
WRITE_SHARE = 0.3

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
    """What the callers saw."""

    def __init__(self):
        self.calls = 0
        self.answered = 0
        self.lost = 0
        self.refused: collections.Counter = collections.Counter()
        self.written: set[str] = set()
        self.not_run: set[str] = set()
        self.latencies_ms: dict[str, list[float]] = {}


async def run_caller(
    number: int, seed: int, nodes: list[cluster.Member], tally: Tally
) -> None:
    """Calls both services one request after the other."""
    rng = random.Random(seed * 100 + number)
    end_s = time.monotonic() + DURATION_S
    async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
        count = 0
        while time.monotonic() < end_s:
            count += 1
            await _call(client, rng, f"c{number}-{count}", nodes, tally)
            await anyio.sleep(rng.expovariate(50))


async def _call(client, rng, request_id, nodes, tally) -> None:
    service = rng.choice(list(SERVICES))
    write = rng.random() < WRITE_SHARE
    port = rng.choice(nodes).ports["caller"]
    path = f"/{service}/" + ("transfers" if write else "prices/crab")
    tally.calls += 1
    begin_s = time.monotonic()
    try:
        reply = await client.request(
            "POST" if write else "GET",
            f"http://127.0.0.1:{port}{path}",
            headers={"x-request-id": request_id},
            content=b'{"quota_kg": 100}' if write else None,
        )
    except httpx.HTTPError as error:
        tally.refused[f"no answer: {type(error).__name__}"] += 1
        return
    kind = f"{service} {'transfer' if write else 'read'}"
    elapsed_ms = (time.monotonic() - begin_s) * 1000
    tally.latencies_ms.setdefault(kind, []).append(elapsed_ms)
    if reply.status_code == 200:
        tally.answered += 1
        if reply.headers.get("x-request-id") != request_id:
            tally.lost += 1
        if write:
            tally.written.add(request_id)
        return
    tally.refused[reply.headers.get("x-waxwing-reason", "none")] += 1
    if reply.headers.get("x-waxwing-outcome") == "not-run":
        tally.not_run.add(request_id)


def _print_table(tally: Tally) -> None:
    print(f"{'calls to':24}{'count':>8}{'p50 ms':>10}{'p99 ms':>10}")
    for kind, values in sorted(tally.latencies_ms.items()):
        values.sort()
        middle = values[len(values) // 2]
        high = values[int(len(values) * 0.99)]
        print(f"{kind:24}{len(values):8}{middle:10.2f}{high:10.2f}")
    for reason, count in sorted(tally.refused.items()):
        print(f"refused: {reason:15}{count:8}")


async def run_demo(seed: int = 1) -> int:
    """Runs the demo; returns the exit code."""
    print("demo: starting the platform, 10 targets and 10 nodes")
    tally = Tally()
    async with cluster.run_cluster(SERVICES, DOCUMENT, seed=seed) as running:
        print(f"demo: {CALLERS} callers for {DURATION_S:.0f} s")
        async with anyio.create_task_group() as group:
            for number in range(CALLERS):
                group.start_soon(
                    run_caller, number, seed, running.members, tally
                )
        async with httpx.AsyncClient(trust_env=False) as client:
            ledgers = await running.ledgers(client)
        print("demo: stopping")
    ran = collections.Counter(
        entry["request"]
        for data in ledgers.values()
        for entry in data["ledger"]
        if entry["write"]
    )
    doubled = sum(1 for count in ran.values() if count > 1)
    lost = tally.lost + len(tally.written - set(ran))
    untrue = len(tally.not_run & set(ran))
    _print_table(tally)
    if untrue:
        print(f"refusals that said not run, but had run: {untrue}")
    print(
        f"demo: {tally.calls} calls, {tally.answered} answered, "
        f"{lost} lost, {doubled} doubled"
    )
    return 1 if lost or doubled or untrue or not tally.answered else 0
