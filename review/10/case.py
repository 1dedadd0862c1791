"""A cold backend gets twice its rate when its node is killed and restarted."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import fleet as fleets  # noqa: E402

WARMUP_S = 3.0
WARMUP_PER_S = 20
# warmup-per-s x cold-over + cold-slack
BOUND = 20 * 1.5 + 5
REQUESTS_PER_S = 240
ROUNDS = 3


async def play(fleet: fleets.Fleet) -> bool:
    """Kills the node of a cold backend, a few times."""
    record = fleet.record
    shop = fleet.add_machine("node-1", "zone-a", "shop")
    other = fleet.add_machine("node-2", "zone-b", "other")
    routes = [
        fleets.make_route("buy", "/buy/", "shop", "unsafe"),
        fleets.make_route("see", "/see/", "other"),
    ]
    config = fleets.make_config(1, ["shop", "other"], routes)
    fleet.store.put("op", "config", config)
    for machine in fleet.machines:
        await machine.start()
    backend = await fleet.add_backend(shop, "i-1", work_s=0.02)
    await fleet.add_backend(other, "i-2")
    await fleet.wait_ready(fleet.machines)
    await asyncio.sleep(6.0)
    stop = asyncio.Event()
    load = asyncio.create_task(send_load(fleet, other, stop))
    await asyncio.sleep(2.0)
    most = 0
    for number in range(ROUNDS):
        # "A backend may also become cold again at any moment."
        backend.cold_until_s = record.now_s() + WARMUP_S
        cold_s = record.now_s()
        record.write(f"backend i-1 is cold for {WARMUP_S} s")
        await asyncio.sleep(1.0 + 0.03 * number)
        if fleets.has_trouble():
            shop.signal(signal.SIGKILL)
        await asyncio.sleep(max(backend.cold_until_s - record.now_s(), 0))
        # Seconds that lie wholly in the cold time, after the node knows of it.
        times_s = [
            run.at_s
            for run in backend.runs
            if cold_s + 0.2 <= run.at_s < backend.cold_until_s
        ]
        count = find_most(times_s)
        record.write(f"most requests in one second while cold: {count}")
        most = max(most, count)
        await asyncio.sleep(2.0)
    stop.set()
    await load
    record.write(f"most: {most}, bound: {BOUND:g}")
    return most <= BOUND


def find_most(times_s: list[float]) -> int:
    """Returns the most events in any second."""
    return max(
        (
            sum(at_s <= other < at_s + 1.0 for other in times_s)
            for at_s in times_s
        ),
        default=0,
    )


async def send_load(
    fleet: fleets.Fleet, machine: fleets.Machine, stop: asyncio.Event
) -> None:
    """Sends requests to one node at a steady rate."""
    async with asyncio.TaskGroup() as group:
        count = 0
        while not stop.is_set():
            count += 1
            group.create_task(fleet.request(machine, "POST", f"/buy/{count}"))
            await asyncio.sleep(1 / REQUESTS_PER_S)


fleets.run_case(FOLDER, ["zone-a", "zone-b"], 33, play)
