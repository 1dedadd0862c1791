"""A leave that was confirmed while the store was down is forgotten."""

import asyncio
import contextlib
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import fleet as fleets  # noqa: E402

CONTACT_S = 3.0
DRAIN_S = 2.0
# The store is down for this long at most ("platform_down", for_s = 4.5).
STORE_DOWN_S = 4.5
# "and a little longer (at times many seconds)"
LINGER_S = 16.0


async def play(fleet: fleets.Fleet) -> bool:
    """Lets a backend leave while the store is down, and kills all nodes."""
    record = fleet.record
    machines = [
        fleet.add_machine("node-1", "zone-a", "shop"),
        fleet.add_machine("node-2", "zone-b", "shop"),
        fleet.add_machine("node-3", "zone-c", "shop"),
    ]
    route = fleets.make_route("buy", "/buy/", "shop", "unsafe")
    fleet.store.put("op", "config", fleets.make_config(1, ["shop"], [route]))
    for machine in machines:
        await machine.start()
    backends = [
        await fleet.add_backend(machine, f"i-{number}")
        for number, machine in enumerate(machines, 1)
    ]
    await fleet.wait_ready(machines)
    # All rows are in the store by then.
    await asyncio.sleep(6.0)
    stop = asyncio.Event()
    callers = [
        asyncio.create_task(call(fleet, machine, stop)) for machine in machines
    ]
    await asyncio.sleep(3.0)
    leaving = backends[0]

    if fleets.has_trouble():
        record.write("the store is down")
        fleet.store.down = True
    down_s = record.now_s()
    leave = asyncio.create_task(leaving.leave(LINGER_S))
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(leaving.confirmed.wait(), 4.0)
    if leaving.confirmed_s is None:
        record.write("the leave was not confirmed: nothing binds")
    if fleets.has_trouble():
        for machine in machines:
            machine.signal(signal.SIGKILL)
    killed_s = record.now_s()
    await asyncio.sleep(max(down_s + STORE_DOWN_S - record.now_s(), 0))
    fleet.store.down = False
    record.write("the store is up")
    # Judged are requests that are sent while all machines are in touch.
    judged_s = max(killed_s, record.now_s()) + CONTACT_S
    await leave
    stop.set()
    await asyncio.gather(*callers)

    confirmed_s = leaving.confirmed_s
    if confirmed_s is None:
        return True
    late = [
        run
        for run in leaving.runs
        if run.at_s > max(confirmed_s + DRAIN_S, judged_s + 0.5)
    ]
    others = sum(len(backend.runs) for backend in backends[1:])
    record.write(
        f"confirmed at {confirmed_s:.3f}, judged from {judged_s + 0.5:.3f}: "
        f"{len(late)} requests ran at the backend that left, "
        f"{others} at the others all the time"
    )
    return not late


async def call(
    fleet: fleets.Fleet, machine: fleets.Machine, stop: asyncio.Event
) -> None:
    """Sends requests to one node, a few each second."""
    count = 0
    while not stop.is_set():
        count += 1
        await fleet.request(machine, "POST", f"/buy/{count}")
        await asyncio.sleep(0.15)


fleets.run_case(FOLDER, ["zone-a", "zone-b", "zone-c"], 31, play)
