"""After connections to the store went silent, a config isn't noticed."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import standins

CONFIG_S = 2.0
CONTACT_S = 3.0


def make_config(version, service):
    """Returns a config whose route leads to a service."""
    return standins.make_config(
        version,
        [{"prefix": "/a/", "service": service, "route-type": "safe"}],
        ["old", "new", "front"],
    )


async def send_traffic(world, entry, end_s):
    """Sends twenty requests a second."""
    tasks = []
    while world.record.now_s() < end_s:
        tasks.append(
            asyncio.create_task(entry.request("GET", f"/a/{len(tasks)}"))
        )
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)


async def case(world, trouble):
    """Silences the connections to the store, and changes the config later."""
    await world.start_store(make_config(1, "old"))
    entry = await world.add_machine("front")
    old_node = await world.add_machine("old")
    new_node = await world.add_machine("new")
    for machine in (entry, old_node, new_node):
        await machine.wait_ready()
    await world.add_backend(entry, "front", "i-front")
    old = await world.add_backend(old_node, "old", "i-old")
    new = await world.add_backend(new_node, "new", "i-new")
    # Traffic starts 10 s after the machines do.
    await asyncio.sleep(10)
    end_s = world.record.now_s() + 40
    traffic = asyncio.create_task(send_traffic(world, entry, end_s))
    await asyncio.sleep(1)
    if trouble:
        world.store_proxy.silence()
        world.record.write("open connections to the store go silent")
    await asyncio.sleep(CONTACT_S + 1)
    world.store.put("op", "config", make_config(2, "new"))
    changed_s = world.record.now_s()
    await traffic
    first_new_s = min((run["at_s"] for run in new.runs), default=None)
    world.record.write("first request at the new service", at_s=first_new_s)
    return [
        f"CONFIG: {run['attempt']} was run by the old service"
        f" {run['at_s'] - changed_s:.1f} s after the config was confirmed"
        for run in old.runs
        if run["at_s"] > changed_s + CONFIG_S + 0.1
    ]


if __name__ == "__main__":
    standins.run_case(
        case,
        pathlib.Path(__file__).resolve().parent,
        trouble=os.environ.get("TROUBLE", "1") != "0",
    )
