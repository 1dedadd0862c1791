"""A machine whose service has changed states the earlier one in its calls."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import standins

REUSE_DELAY_S = 2.0
# Time after the reload by which calls must state the new service.
ALLOWED_S = 4.0


async def case(world, trouble):
    """Gives the address of a backend to one of another service."""
    await world.start_store(
        standins.make_config(
            1,
            [{"prefix": "/stock/", "service": "stock", "route-type": "safe"}],
            ["registry", "desk", "stock"],
        )
    )
    machine = await world.add_machine("registry")
    other = await world.add_machine("registry")
    stock = await world.add_machine("stock")
    for item in (machine, other, stock):
        await item.wait_ready()
    first = await world.add_backend(machine, "registry", "i-registry1")
    await world.add_backend(other, "registry", "i-registry2")
    target = await world.add_backend(stock, "stock", "i-stock")
    # Traffic starts 10 s after the machines do.
    await asyncio.sleep(10)
    service = "registry"
    for number in range(20):
        await machine.request("GET", f"/stock/before-{number}")
        await asyncio.sleep(0.05)
    if trouble:
        await first.leave()
        await asyncio.sleep(2.5)
        await first.deregister()
        first.stop()
        world.record.write("backend ends", backend=first.instance)
        await asyncio.sleep(REUSE_DELAY_S + 0.5)
        service = machine.service = "desk"
        machine.write_settings()
        world.record.write("settings", node=machine.name, service=service)
        machine.send_signal(signal.SIGHUP)
        await world.add_backend(machine, "desk", "i-desk")
    await asyncio.sleep(ALLOWED_S)
    judged_s = world.record.now_s()
    for number in range(60):
        # A call that the backend on this machine makes.
        await machine.request("GET", f"/stock/after-{number}")
        await asyncio.sleep(0.1)
    return [
        f"UNASKED: {run['attempt']} was run with the caller service"
        f" {run['caller']}; that of its machine is {service}"
        for run in target.runs
        if run["at_s"] > judged_s and run["caller"] != service
    ]


if __name__ == "__main__":
    standins.run_case(case, pathlib.Path(__file__).resolve().parent)
