"""A long answer that is broken off takes started requests along."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import standins

CLIENTS = 20
REQUESTS_BEHIND = 5
GARBLE_S = 5.5
# One of 50 answers of one of three backends is broken off.
BROKEN_OFF_EACH = 50
PACK_BYTES = 200_000
MAX_LOST = 3


class ProofBackend(standins.Backend):
    """Sends long answers; a faulty one breaks some of them off."""

    faulty = False
    sent = 25

    async def _run(self, method, target, headers, body, echo):
        response = await super()._run(method, target, headers, body, echo)
        head = response.partition(b"\r\n\r\n")[0].replace(
            b"Content-Length: 2", b"Content-Length: %d" % PACK_BYTES
        )
        pack = head + b"\r\n\r\n" + b"p" * PACK_BYTES
        if self.faulty:
            self.sent += 1
            if self.sent % BROKEN_OFF_EACH == 0:
                self.world.record.write("breaks off", attempt=echo[1])
                return pack[: PACK_BYTES // 2], True
        return pack


async def run_client(world, entry, number, end_s, lost):
    """Sends a download and further safe requests at once, again and again."""
    sent = 0
    while world.record.now_s() < end_s:
        reader, writer = await asyncio.open_connection(
            entry.ip, standins.OUTBOUND, limit=2**20
        )
        ids = []
        # The first request makes the connection a kept one.
        await send(world, writer, f"first-{number}-{sent}", "/row/", ids)
        await standins.read_message(reader)
        while world.record.now_s() < end_s:
            sent += 1
            ids = []
            await send(world, writer, f"pack-{number}-{sent}", "/pack/", ids)
            for index in range(REQUESTS_BEHIND):
                attempt = f"row-{number}-{sent}-{index}"
                await send(world, writer, attempt, "/row/", ids)
            if not await receive(world, reader, ids):
                world.record.write("connection ended", unanswered=ids)
                lost += ids[1:]
                break
            await asyncio.sleep(0.5)
        writer.close()


async def send(world, writer, attempt, path, ids):
    """Sends one request without waiting for its answer."""
    ids.append(attempt)
    writer.write(
        f"GET {path} HTTP/1.1\r\nHost: {standins.HOST_NAME}\r\n"
        f"X-Waxwingferry-Attempt-Id: {attempt}\r\n"
        "X-Waxwingferry-Deadline-Ms: 3000\r\n\r\n".encode()
    )
    await writer.drain()
    world.record.write("sent", attempt=attempt)


async def receive(world, reader, ids):
    """Receives all answers; removes the answered requests from the ids."""
    while ids:
        try:
            message = await standins.read_message(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return False
        if message is None:
            return False
        world.record.write(
            "answered", attempt=ids.pop(0), status=message[0][9:12]
        )
    return True


async def case(world, trouble):
    """Lets a backend break off a few of its long answers."""
    await world.start_store(
        standins.make_config(
            1,
            [
                {
                    "prefix": "/pack/",
                    "service": "proofs",
                    "route-type": "download",
                },
                {"prefix": "/row/", "service": "rows", "route-type": "safe"},
            ],
            ["proofs", "rows", "front"],
        )
    )
    services = ["front"] + ["proofs"] * 3 + ["rows"] * 2
    machines = [await world.add_machine(service) for service in services]
    for machine in machines:
        await machine.wait_ready()
    for number, machine in enumerate(machines):
        kind = ProofBackend if machine.service == "proofs" else standins.Backend
        backend = kind(
            world,
            machine,
            machine.service,
            f"i-{machine.service}{number}",
            slots=60,
            work_s=0.05 if machine.service == "proofs" else 0.3,
        )
        world.backends.append(backend)
        await backend.start()
    # Traffic starts 10 s after the machines do.
    await asyncio.sleep(10)
    lost = []
    end_s = world.record.now_s() + 20
    clients = [
        asyncio.create_task(run_client(world, machines[0], number, end_s, lost))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(5)
    world.backends[1].faulty = trouble
    world.record.write("garble", backend=world.backends[1].instance)
    await asyncio.sleep(GARBLE_S)
    world.backends[1].faulty = False
    await asyncio.gather(*clients)
    ran = {run["attempt"] for run in world.runs()}
    lost = [attempt for attempt in lost if attempt in ran]
    if len(lost) <= MAX_LOST:
        return []
    return [
        f"LOST: {attempt} was run by a sound backend; its kept connection"
        " closed without an answer"
        for attempt in lost
    ]


if __name__ == "__main__":
    standins.run_case(case, pathlib.Path(__file__).resolve().parent)
