"""A stopping node is killed with requests that it has not answered.

A service has more work than it can do, most of it urgent. Requests of a route
with a long timeout wait for a slot. The node that took them from their callers
gets SIGTERM, and SIGKILL after the grace time.
"""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import standins  # noqa: E402

GRACE_S = 6.0
LOSS_SLACK_S = 0.2
# Requests that are at work in the last sixth of the grace time don't count.
LAST_PART_S = GRACE_S * 5 / 6
WORK_S = 0.6
URGENT_PER_S = 16
URGENT_S = 24.0
EXPORTS = 20
EXPORTS_AFTER_S = 6.0
EXPORT_INTERVAL_S = 0.1
EXPORT_DEADLINE_MS = 12_000
URGENT_DEADLINE_MS = 3000


class Request:
    """A request on a connection of its own.

    Args:
        world: World of the caller.
        machine: Machine whose node gets the request.
        path: Path of the request.
        deadline_ms: Time that the caller waits.
    """

    def __init__(
        self,
        world: standins.World,
        machine: standins.Machine,
        path: str,
        deadline_ms: int,
    ):
        self.world = world
        self.machine = machine
        self.deadline_ms = deadline_ms
        self.attempt_id, self.data = world.make_request(
            path, deadline_ms, "POST", b"order"
        )
        self.sent_s = 0.0
        self.ended_s = 0.0
        self.answer: standins.Answer | None = None
        self.is_refused = False

    async def send(self) -> None:
        """Sends the request and reads its answer."""
        record = self.world.record
        try:
            reader, writer = await self.world.connect(self.machine)
        except ConnectionError:
            self.is_refused = True
            return
        writer.write(self.data)
        self.sent_s = time.monotonic()
        try:
            async with asyncio.timeout(self.deadline_ms / 1000):
                self.answer = await standins.read_answer(reader)
        except TimeoutError:
            record.add("given up", id=self.attempt_id)
        self.ended_s = time.monotonic()
        status = self.answer.status if self.answer else "none"
        record.add("answered", id=self.attempt_id, status=status)
        writer.close()


async def play(troubled: bool) -> int:
    """Plays the case; returns 1 if the rule is broken, else 0."""
    work_times_s: dict[str, tuple[float, float]] = {}

    async def work(run: standins.Run) -> bytes | None:
        began_s = time.monotonic()
        work_times_s[run.attempt_id] = (began_s, began_s + WORK_S)
        await asyncio.sleep(WORK_S)
        return b"done" * 100

    urgent = standins.make_route(
        "pay", "/pay/", "ledger", "safe", "2s", "800ms"
    )
    export = standins.make_route(
        "export", "/export/", "ledger", "unsafe", "11s", "3s"
    )
    world = standins.World(
        FOLDER,
        [("ledger", "a"), ("ledger", "b"), ("front", "a"), ("front", "b")],
        [{**urgent, "priority": 0}, {**export, "priority": 2}],
        work,
        slots=3,
    )
    try:
        await world.start()
        return await call(world, troubled, work_times_s)
    finally:
        await world.stop()


async def send_urgent(world: standins.World) -> None:
    """Sends urgent requests by the node that is not stopped."""
    async with asyncio.TaskGroup() as group:
        for number in range(int(URGENT_PER_S * URGENT_S)):
            request = Request(
                world,
                world.machines[3],
                f"/pay/{number}",
                URGENT_DEADLINE_MS,
            )
            group.create_task(request.send())
            await asyncio.sleep(1 / URGENT_PER_S)


async def call(
    world: standins.World,
    troubled: bool,
    work_times_s: dict[str, tuple[float, float]],
) -> int:
    """Sends the requests; returns the result of the case."""
    machine = world.machines[2]
    assert machine.process is not None
    background = asyncio.create_task(send_urgent(world))
    await asyncio.sleep(EXPORTS_AFTER_S)
    exports = []
    tasks = []
    for number in range(EXPORTS):
        request = Request(
            world, machine, f"/export/{number}", EXPORT_DEADLINE_MS
        )
        exports.append(request)
        world.record.add("sent", id=request.attempt_id)
        tasks.append(asyncio.create_task(request.send()))
        await asyncio.sleep(EXPORT_INTERVAL_S)
    stopped_s = time.monotonic()
    if troubled:
        machine.process.send_signal(signal.SIGTERM)
        world.record.add("SIGTERM", node=machine.name)
        while time.monotonic() - stopped_s < GRACE_S:
            if machine.process.poll() is not None:
                break
            await asyncio.sleep(0.02)
        else:
            machine.process.send_signal(signal.SIGKILL)
            world.record.add("SIGKILL", node=machine.name)
    await asyncio.gather(*tasks)
    await background
    lost = []
    for request in exports:
        answer = request.answer
        if request.is_refused or (answer is not None and answer.complete):
            continue
        began_s, ended_s = work_times_s.get(request.attempt_id, (0.0, 0.0))
        at_work = began_s and ended_s > stopped_s + LAST_PART_S
        held_s = request.ended_s - request.sent_s
        if answer is None or at_work or held_s <= LOSS_SLACK_S:
            continue
        lost.append(request.attempt_id)
    statuses = [
        request.answer.status if request.answer else "none"
        for request in exports
    ]
    world.record.add("result", statuses=statuses, lost=len(lost))
    print(f"statuses: {statuses}")
    print(f"read, not at work and not answered: {len(lost)} (allowed: 0)")
    return 1 if lost else 0


if __name__ == "__main__":
    standins.run_case(play)
