"""Stops a node, kills it after a while, and checks that no call is cut off.

Callers send more long calls to one node than all targets can run until the
kill, so that many wait in queues. Others hold connections to it open, and send
a long call on one after the other until the process has ended. The node gets
SIGTERM, then further signals to reload and to stop, and SIGKILL if it still
runs when the time in its settings is over. Another node stops beside it. Only a
call that was sent early and still ran shortly before the kill may be cut off.
"""

import contextlib
import dataclasses
import random
import signal
import subprocess
import time

import anyio
import anyio.to_thread

from waxwingferry.bench import callers
from waxwingferry.bench import cluster
from waxwingferry.bench import experiment
from waxwingferry.connection import http1
from waxwingferry.connection import pool
from waxwingferry.request import outcome

GRACE_S = 6.0
CONNECTION_COUNT = 30
SEND_INTERVAL_S = 0.2
# Calls that are in progress at SIGTERM, and the time in which they are sent.
EARLY_COUNT = 150
EARLY_TIME_S = 1.0
# The other node gets SIGTERM at a random time of this length after the first.
OTHER_STOP_TIME_S = 3.0
SIGNAL_INTERVAL_S = 0.5
# A connection that a request meets while it is being closed ends within this.
CLOSE_TIME_S = 0.2
DEADLINE_MS = 8000
SHORT_PATH = "/registry/prices"
LONG_PATH = "/registry/long"
SERVICE_TIME_MS = 5.0
# Long calls take 1.5 s on average, and at most until their deadline.
SLOW_FACTOR = 300.0

DOCUMENT = {
    "services": [
        {
            "name": "registry",
            "routes": [
                callers.make_read_route(DEADLINE_MS),
                {
                    "path_prefix": "/registry/",
                    "methods": ["POST"],
                    "idempotent": False,
                    "deadline_ms": DEADLINE_MS,
                },
            ],
        },
    ],
    "failure_domains": [{"name": "d1", "region": "r1"}],
}


@dataclasses.dataclass(slots=True)
class Call:
    """One long call and its end.

    Attributes:
        sent_after_s: Time from SIGTERM until it was sent.
        lasted_s: Time until its answer, or until its connection ended.
        result: answered, not-run, unknown, or the error of its connection.
    """

    request_id: str
    sent_after_s: float
    lasted_s: float = 0.0
    result: str = ""


async def run(options: experiment.Options) -> experiment.Report:
    """Runs the experiment."""
    report = experiment.Report()
    rng = random.Random(options.seed)
    calls: list[Call] = []
    async with cluster.run_cluster(
        {"registry": 6},
        DOCUMENT,
        behaviour={
            "service_time_ms": SERVICE_TIME_MS,
            "fail_path": LONG_PATH,
            "slow_factor": SLOW_FACTOR,
        },
        domains=("d1",),
        first_port=options.first_port,
        seed=options.seed,
        node_settings={"stop_grace_s": GRACE_S},
    ) as running:
        stopped = running.instances[0]
        connections = [
            await pool.connect_tcp("127.0.0.1", stopped.ports["caller"])
            for _ in range(CONNECTION_COUNT)
        ]
        clients = [http1.ClientConnection(stream) for stream in connections]
        for number, client in enumerate(clients):
            await _exchange(client, "GET", SHORT_PATH, f"short-{number}")
        async with anyio.create_task_group() as group:
            stop_s = time.monotonic() + EARLY_TIME_S
            for number in range(EARLY_COUNT):
                stream = await pool.connect_tcp(
                    "127.0.0.1", stopped.ports["caller"]
                )
                connections.append(stream)
                call = Call(f"early-{number}", time.monotonic() - stop_s)
                calls.append(call)
                client = http1.ClientConnection(stream)
                group.start_soon(_call, client, rng, call)
                await anyio.sleep(EARLY_TIME_S / EARLY_COUNT)
            stop_s = time.monotonic()
            group.start_soon(_stop, stopped.node, report)
            group.start_soon(
                _terminate_later,
                running.instances[1].node,
                rng.uniform(0, OTHER_STOP_TIME_S),
            )
            for number, client in enumerate(clients):
                call = Call(f"long-{number}", time.monotonic() - stop_s)
                calls.append(call)
                group.start_soon(_call, client, rng, call)
                await anyio.sleep(SEND_INTERVAL_S)
        for stream in connections:
            await stream.aclose()
        _check_calls(report, running, calls, stop_s)
    return report


async def _stop(
    process: subprocess.Popen | None, report: experiment.Report
) -> None:
    assert process is not None
    begin_s = time.monotonic()
    process.terminate()
    while process.poll() is None and time.monotonic() < begin_s + GRACE_S:
        with contextlib.suppress(subprocess.TimeoutExpired):
            await anyio.to_thread.run_sync(process.wait, SIGNAL_INTERVAL_S)
        for number in (signal.SIGHUP, signal.SIGTERM):
            process.send_signal(number)
    if process.poll() is None:
        process.kill()
        await anyio.to_thread.run_sync(process.wait)
    report.figures["stopped_after_s"] = time.monotonic() - begin_s


async def _terminate_later(
    process: subprocess.Popen | None, delay_s: float
) -> None:
    assert process is not None
    await anyio.sleep(delay_s)
    process.terminate()


async def _call(
    client: http1.ClientConnection, rng: random.Random, call: Call
) -> None:
    method = rng.choice(("GET", "POST"))
    sent_s = time.monotonic()
    try:
        head = await _exchange(client, method, LONG_PATH, call.request_id)
        call.result = http1.find_header(
            head.headers, outcome.OUTCOME_HEADER, "answered"
        )
    except http1.HttpError as error:
        call.result = type(error).__name__
    call.lasted_s = time.monotonic() - sent_s


async def _exchange(
    client: http1.ClientConnection, method: str, path: str, request_id: str
) -> http1.ResponseHead:
    headers = [("host", "127.0.0.1"), ("x-request-id", request_id)]
    await client.send_request(method, path, headers)
    head = await client.receive_head(2 * DEADLINE_MS / 1000)
    while await client.receive_chunk(GRACE_S):
        pass
    return head


def _check_calls(report, running, calls: list[Call], stop_s: float) -> None:
    """Checks the calls against the ledgers of the targets."""
    wall_offset_s = time.time() - time.monotonic()
    runs = {
        entry["request"]: entry
        for ledger in running.read_ledgers().values()
        for entry in ledger
    }
    table = experiment.Table(
        "calls of a node that stops",
        ["sent after s", "lasted s", "result", "run", "run ended after s"],
    )
    for call in calls:
        run_entry = runs.get(call.request_id)
        state, ended_after_s = "none", 0.0
        if run_entry is not None:
            state = run_entry["state"]
            ended_after_s = GRACE_S
            if run_entry["ended_s"]:
                ended_after_s = run_entry["ended_s"] - wall_offset_s - stop_s
        table.rows.append(
            [call.sent_after_s, call.lasted_s, call.result, state]
            + [ended_after_s]
        )
        # The target was at work until shortly before the kill.
        may_be_cut = (
            call.sent_after_s <= GRACE_S / 2
            and ended_after_s >= GRACE_S * 5 / 6
        )
        met_close = run_entry is None and call.lasted_s <= CLOSE_TIME_S
        report.check(
            "a stop that ends in a kill cuts off no request",
            call.result in ("answered", "not-run") or may_be_cut or met_close,
            f"{call.request_id}: sent {call.sent_after_s:.2f} s after SIGTERM, "
            f"{call.result} after {call.lasted_s:.2f} s",
        )
    report.tables.append(table)
