"""A confirmed leave is forgotten: store down, then the node is killed."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import standins

STORE_DOWN_S = 4.5
KILLED_FOR_S = 3.0
DRAIN_S = 2.0
CONTACT_S = 3.0
# How long the backend serves after the confirmation of its leave.
SERVES_S = 14.0


async def send_traffic(world, entry, end_s):
    """Sends forty requests a second."""
    tasks = []
    while world.record.now_s() < end_s:
        tasks.append(
            asyncio.create_task(entry.request("GET", f"/a/{len(tasks)}"))
        )
        await asyncio.sleep(0.025)
    await asyncio.gather(*tasks)


async def case(world, trouble):
    """Lets a backend leave while the store is down, then kills its node."""
    await world.start_store(
        standins.make_config(
            1,
            [{"prefix": "/a/", "service": "files", "route-type": "safe"}],
            ["files", "front"],
        )
    )
    entry = await world.add_machine("front")
    nodes = [await world.add_machine("files") for _ in range(3)]
    for machine in (entry, *nodes):
        await machine.wait_ready()
    await world.add_backend(entry, "front", "i-front")
    backends = [
        await world.add_backend(
            machine, "files", f"i-files{number}", work_s=0.2
        )
        for number, machine in enumerate(nodes)
    ]
    # Traffic starts 10 s after the machines do.
    await asyncio.sleep(10)
    leaving, node = backends[0], nodes[0]
    down_s = world.record.now_s()
    traffic = asyncio.create_task(
        send_traffic(world, entry, down_s + 4 + SERVES_S)
    )
    world.store.silent = trouble
    world.record.write("store", silent=trouble)
    await asyncio.sleep(0.2)
    await leaving.leave(reports_draining=False)
    await asyncio.sleep(max(down_s + 2.0 - world.record.now_s(), 0))
    if trouble:
        await node.kill()
    await asyncio.sleep(max(down_s + STORE_DOWN_S - world.record.now_s(), 0))
    world.store.silent = False
    back_s = world.record.now_s()
    world.record.write("store", silent=False)
    if trouble:
        await asyncio.sleep(
            max(down_s + 2.0 + KILLED_FOR_S - world.record.now_s(), 0)
        )
        await node.start(bootstrap=False)
    await asyncio.sleep(leaving.acked_s + SERVES_S - world.record.now_s())
    leaving.stop()
    world.record.write("backend ends", backend=leaving.instance)
    await traffic
    # From here on both nodes, and the store, were undisturbed for `contact`.
    judged_s = leaving.acked_s + DRAIN_S
    if trouble:
        judged_s = max(
            judged_s, back_s + CONTACT_S, node.starts[-1] + CONTACT_S
        )
    late = [run for run in leaving.runs if run["at_s"] > judged_s]
    return [
        f"DRAIN: {run['attempt']} reached {leaving.instance}"
        f" {run['at_s'] - leaving.acked_s:.1f} s after its leave was confirmed"
        for run in late
    ]


if __name__ == "__main__":
    standins.run_case(
        case,
        pathlib.Path(__file__).resolve().parent,
        trouble=os.environ.get("TROUBLE", "1") != "0",
    )
