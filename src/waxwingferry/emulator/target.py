"""Emulated target with slots, cold start, a request ledger, faults and drains.

Requests are served on any path. For a path "/SERVICE/chain/N" the target
calls "/SERVICE/chain/N-1" through its own node before it answers, which
gives call chains of any depth.

Control endpoints on the same port:

    GET  /_ledger   requests that ran here, as JSON
    POST /_control  JSON object that replaces some fields of Behaviour
    GET  /_health, /_load   may return outdated or wrong values
"""

import collections
import dataclasses
import json
import pathlib
import random
import time
from typing import Annotated
from typing import Any
from typing import Literal
from typing import TextIO

import anyio
import httpx
import pydantic

from waxwingferry.connection import http1
from waxwingferry.connection import message
from waxwingferry.connection import pool
from waxwingferry.connection import serve
from waxwingferry.emulator import ledger as ledgers
from waxwingferry.process import signals
from waxwingferry.process import target as target_interface
from waxwingferry.request import calls
from waxwingferry.request import outcome

ANNOUNCE_INTERVAL_S = 1.0
OVERLOAD_SLOWDOWN = 5.0
SPEED_CHANGE_INTERVAL_S = 0.005


class _NestedCallNotRunError(Exception):
    """The nested call was refused as not run."""


class Behaviour(pydantic.BaseModel):
    """Load model and injected faults of an emulated target.

    Attributes:
        service_time_ms: Mean of the exponentially distributed service time.
        speed_shift: Largest factor on the service time; the factor is drawn
            anew every few milliseconds. 1 keeps the speed constant.
        neighbour_slowdown: Factor on the service time while a noisy
            neighbour is active.
        neighbour_share: Share of the time that the neighbour is active.
        cold_bears: Concurrent requests that a cold target serves at full
            speed; None sets no limit below the slots.
        warm_after: Requests served until this number grows by one.
        fail_share: Share of matching requests answered with status 500.
        fail_path: Path prefix of the requests that fail, are slow or are
            refused.
        slow_factor: Factor on the service time of matching requests.
        refuse_share: Share of matching requests refused as not run.
        pass_on_refusals: Refuses a request as not run when its nested call
            was refused as not run.
        shed: Refuses every request as not run.
        hang: Leaves requests without an answer.
        cut_share: Share of answers truncated after half of the body.
        cross_share: Share of answers that carry another attempt's ID.
        answer_bytes: Size of the filler in each answer.
        health: Status that /_health returns, whatever the actual state.
        load: Load that /_load returns; None returns the actual load of
            load_lag_s ago.
        load_lag_s: Age of the load that /_load returns.
        draining: Announces that the target drains.
        max_rate_per_s: Highest rate of requests that responses state, or None
            to state none.
        leaving: States in responses that the target leaves.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    service_time_ms: Annotated[float, pydantic.Field(ge=0)] = 2.0
    speed_shift: Annotated[float, pydantic.Field(ge=1)] = 1.0
    neighbour_slowdown: Annotated[float, pydantic.Field(ge=1)] = 1.0
    neighbour_share: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.0
    cold_bears: Annotated[int, pydantic.Field(ge=1)] | None = None
    warm_after: Annotated[int, pydantic.Field(ge=1)] = 10
    fail_share: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.0
    fail_path: str = "/"
    slow_factor: Annotated[float, pydantic.Field(ge=0)] = 1.0
    refuse_share: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.0
    pass_on_refusals: bool = False
    shed: bool = False
    hang: bool = False
    cut_share: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.0
    cross_share: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.0
    answer_bytes: Annotated[int, pydantic.Field(ge=0)] = 100
    health: Literal["up", "down"] = "up"
    load: int | None = None
    load_lag_s: Annotated[float, pydantic.Field(ge=0)] = 0.5
    draining: bool = False
    max_rate_per_s: Annotated[float, pydantic.Field(ge=0)] | None = None
    leaving: bool = False


class TargetSettings(pydantic.BaseModel):
    """Settings of one emulated target.

    Attributes:
        name: Name of the target.
        service: Service that it provides.
        version: Version that it announces.
        slots: Maximum number of concurrent requests; more are shed.
        port: Port that it listens on.
        node_port: Local port of its node; 0 announces nothing.
        ledger_file: File that each change of the ledger is appended to, so
            that the ledger outlives the process; empty keeps it in memory.
        seed: Seed of its random decisions.
        behaviour: Initial behaviour.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    name: str
    service: str
    version: str = "v1"
    slots: Annotated[int, pydantic.Field(ge=1)] = 6
    host: str = "127.0.0.1"
    port: int
    node_port: int = 0
    ledger_file: str = ""
    seed: int = 1
    behaviour: Behaviour = Behaviour()


class SpeedVariation:
    """Random slowdown of a target that changes within milliseconds.

    Args:
        rng: Random source of the changes.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.factor = 1.0
        self.interval_number = -1
        self.neighbour_until_s = 0.0

    def slowdown(self, behaviour: Behaviour, now_s: float) -> float:
        """Returns the factor on service times at the given time."""
        interval_number = int(now_s / SPEED_CHANGE_INTERVAL_S)
        if interval_number != self.interval_number:
            self.interval_number = interval_number
            self.factor = self.rng.uniform(1.0, behaviour.speed_shift)
            if self.rng.random() < behaviour.neighbour_share / 20:
                # Bursts last 20 intervals, hence the division by 20.
                self.neighbour_until_s = now_s + 20 * SPEED_CHANGE_INTERVAL_S
        if now_s < self.neighbour_until_s:
            return self.factor * behaviour.neighbour_slowdown
        return self.factor


class EmulatedTarget:
    """One emulated target.

    Args:
        options: Its settings.
    """

    def __init__(self, options: TargetSettings):
        self.options = options
        self.behaviour = options.behaviour
        self.rng = random.Random(options.seed)
        self.speed_variation = SpeedVariation(random.Random(options.seed + 1))
        self.incarnation = f"{random.SystemRandom().getrandbits(32):08x}"
        self.in_flight = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.ledger: list[ledgers.LedgerEntry] = []
        self.served_since_cold = 0
        self.load_history: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.last_attempt = ""
        # Up to two nodes have added fields to a head.
        head_bytes = message.make_forwarded_head_bytes(
            message.make_forwarded_head_bytes(message.DEFAULT_LIMITS.head_bytes)
        )
        self.server = serve.Server(
            self.handle, limits=message.Limits(head_bytes=head_bytes)
        )
        self.node_pool = pool.Pool("127.0.0.1", options.node_port)
        self.ledger_file: TextIO | None = None
        if options.ledger_file:
            path = pathlib.Path(options.ledger_file)
            self.ledger_file = path.open("a", encoding="utf-8", buffering=1)

    def current_capacity(self) -> int:
        """Returns the concurrent requests that it serves at full speed now."""
        if self.behaviour.cold_bears is None:
            return self.options.slots
        warmup_gain = self.served_since_cold // self.behaviour.warm_after
        return min(self.behaviour.cold_bears + warmup_gain, self.options.slots)

    async def handle(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Handles one request, including those to the control endpoints."""
        parts = []
        while (chunk := await connection.receive_chunk()) is not None:
            parts.append(chunk)
        body = b"".join(parts)
        if head.target.startswith("/_"):
            await self._handle_control(connection, head, body)
            return
        attempt = http1.find_header(head.headers, calls.ATTEMPT_HEADER)
        response_headers = [
            (calls.ATTEMPT_HEADER, attempt),
            *self._make_statement(),
        ]
        if self.behaviour.shed or self.in_flight >= self.options.slots:
            self.counts["shed"] += 1
            response_headers.append((target_interface.NOT_RUN_HEADER, "true"))
            await connection.send_head(503, response_headers, b"shed\n")
            return
        if self._should_refuse(head):
            self.counts["refused"] += 1
            response_headers.append((target_interface.NOT_RUN_HEADER, "true"))
            await connection.send_head(503, response_headers, b"refused\n")
            return
        await self._run(connection, head, body, response_headers)

    def _make_statement(self) -> http1.Headers:
        headers = []
        if self.behaviour.max_rate_per_s is not None:
            headers.append(
                (
                    target_interface.MAX_RATE_HEADER,
                    f"{self.behaviour.max_rate_per_s:.3f}",
                )
            )
        if self.behaviour.leaving:
            headers.append((target_interface.LEAVING_HEADER, "true"))
        return headers

    def _should_refuse(self, head: http1.RequestHead) -> bool:
        behaviour = self.behaviour
        matches = head.target.startswith(behaviour.fail_path)
        return matches and self.rng.random() < behaviour.refuse_share

    async def _run(self, connection, head, body, response_headers) -> None:
        entry = self._record_start(head, body)
        try:
            with anyio.move_on_after(_remaining_s(head)) as scope:
                await self._process(head)
            if scope.cancelled_caught:
                # The request had no effect, and its caller has timed out.
                entry.state = "expired"
                self.counts["expired"] += 1
                raise http1.ConnectionLostError("the deadline has passed")
            entry.state = "done"
            self._append_to_ledger_file(entry)
            await self._send_answer(connection, head, response_headers, entry)
        except _NestedCallNotRunError:
            entry.state = "refused"
            self.counts["refusals_passed_on"] += 1
            response_headers.append((target_interface.NOT_RUN_HEADER, "true"))
            await connection.send_head(
                503, response_headers, b"nested call refused\n"
            )
        finally:
            if entry.state == "running":
                entry.state = "cancelled"
                self.counts["cancelled"] += 1
            entry.ended_s = time.time()
            self.in_flight -= 1
            self.served_since_cold += 1
            self._append_to_ledger_file(entry)

    def _record_start(
        self, head: http1.RequestHead, body: bytes
    ) -> ledgers.LedgerEntry:
        entry = ledgers.make_entry(
            f"{self.incarnation}-{len(self.ledger)}", head, body
        )
        self.ledger.append(entry)
        self.in_flight += 1
        self.load_history.append((time.monotonic(), self.in_flight))
        self.counts["started"] += 1
        self.counts["most_in_flight"] = max(
            self.counts["most_in_flight"], self.in_flight
        )
        if self.in_flight > self.current_capacity():
            self.counts["overloads"] += 1
            entry.overload = True
        self._append_to_ledger_file(entry)
        return entry

    def _append_to_ledger_file(self, entry: ledgers.LedgerEntry) -> None:
        # The file is line buffered: the operating system has each entry at
        # once, so a killed process loses no request that had started.
        if self.ledger_file is not None:
            self.ledger_file.write(json.dumps(dataclasses.asdict(entry)) + "\n")

    async def _process(self, head: http1.RequestHead) -> None:
        behaviour = self.behaviour
        if behaviour.hang:
            await anyio.sleep(600)
        mean_s = behaviour.service_time_ms / 1000
        duration_s = self.rng.expovariate(1 / mean_s) if mean_s else 0.0
        duration_s *= self.speed_variation.slowdown(behaviour, time.monotonic())
        if head.target.startswith(behaviour.fail_path):
            duration_s *= behaviour.slow_factor
        if self.in_flight > self.current_capacity():
            duration_s *= OVERLOAD_SLOWDOWN
        if duration_s:
            await anyio.sleep(duration_s)
        if "/chain/" in head.target:
            await self._call_next_in_chain(head)

    async def _call_next_in_chain(self, head: http1.RequestHead) -> None:
        """Makes the next call of a chain through the target's own node."""
        prefix, _, number = head.target.rpartition("/")
        if int(number) <= 0:
            return
        forwarded_names = (
            calls.DEADLINE_HEADER,
            calls.DEPTH_HEADER,
            calls.RETRY_HEADER,
            calls.MEMBER_HEADER,
            "x-request-id",
        )
        headers = [item for item in head.headers if item[0] in forwarded_names]
        headers.append(("host", "127.0.0.1"))
        connection = await self.node_pool.acquire()
        try:
            await connection.send_request(
                head.method, f"{prefix}/{int(number) - 1}", headers
            )
            reply = await connection.receive_head(60)
            while await connection.receive_chunk(60) is not None:
                pass
        finally:
            with anyio.CancelScope(shield=True):
                await self.node_pool.release(connection)
        if reply.status != 200:
            self.counts["nested_failures"] += 1
            outcome_value = http1.find_header(
                reply.headers, outcome.OUTCOME_HEADER
            )
            if self.behaviour.pass_on_refusals and outcome_value == "not-run":
                raise _NestedCallNotRunError

    async def _send_answer(
        self, connection, head, response_headers, entry
    ) -> None:
        behaviour = self.behaviour
        matches = head.target.startswith(behaviour.fail_path)
        if matches and self.rng.random() < behaviour.fail_share:
            entry.state = "failed"
            await connection.send_head(500, response_headers, b"failed\n")
            return
        if self.rng.random() < behaviour.cross_share:
            response_headers = [
                (calls.ATTEMPT_HEADER, self.last_attempt or "0.1")
            ]
        self.last_attempt = entry.attempt
        content = {
            "target": self.options.name,
            "version": self.options.version,
            "request": entry.request,
            "filler": "x" * behaviour.answer_bytes,
        }
        body = json.dumps(content).encode()
        response_headers.append(("content-type", "application/json"))
        response_headers.append(("x-request-id", entry.request))
        if self.rng.random() < behaviour.cut_share:
            response_headers.append(("content-length", str(len(body))))
            await connection.send_head(200, response_headers, None)
            await connection.send_chunk(body[: len(body) // 2])
            raise http1.HttpError("answer cut short on purpose")
        await connection.send_head(200, response_headers, body)

    async def _handle_control(self, connection, head, body: bytes) -> None:
        data: Any
        match head.target:
            case "/_ledger":
                entries = [dataclasses.asdict(item) for item in self.ledger]
                data = {"ledger": entries, "counts": dict(self.counts)}
            case "/_control":
                changes = json.loads(body)
                if changes.pop("turn_cold", False):
                    self.served_since_cold = 0
                values = self.behaviour.model_dump() | changes
                self.behaviour = Behaviour.model_validate(values)
                data = self.behaviour.model_dump()
            case "/_health":
                data = {"status": self.behaviour.health}
            case "/_load":
                data = {"in_flight": self._load_to_report()}
            case _:
                await connection.send_head(404, [], b"")
                return
        await connection.send_head(200, [], json.dumps(data).encode())

    def _load_to_report(self) -> int:
        if self.behaviour.load is not None:
            return self.behaviour.load
        oldest_s = time.monotonic() - self.behaviour.load_lag_s
        value = 0
        while self.load_history and self.load_history[0][0] <= oldest_s:
            value = self.load_history.popleft()[1]
        return value

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then drains."""
        stop_requested = anyio.Event()
        with signals.receive_signals() as received:
            async with anyio.create_task_group() as group:
                options = self.options
                group.start_soon(
                    signals.handle_signals,
                    received,
                    stop_requested,
                    signals.reject_reload,
                )
                group.start_soon(self.server.serve, options.host, options.port)
                if options.node_port:
                    group.start_soon(self._announce)
                await stop_requested.wait()
                await self.server.drain()
                group.cancel_scope.cancel()

    def make_announcement(self) -> dict[str, Any]:
        """Returns the announcement of the target's address and state."""
        options = self.options
        return {
            "service": options.service,
            "version": options.version,
            "slots": options.slots,
            "host": options.host,
            "port": options.port,
            "incarnation": self.incarnation,
            "state": "draining" if self.behaviour.draining else "ready",
        }

    async def _announce(self) -> None:
        port = self.options.node_port
        url = f"http://127.0.0.1:{port}/_local/announce"
        async with httpx.AsyncClient(trust_env=False, timeout=1.0) as client:
            while True:
                interval_s = ANNOUNCE_INTERVAL_S
                try:
                    await client.post(url, json=self.make_announcement())
                except httpx.HTTPError:
                    interval_s = 0.1
                await anyio.sleep(interval_s)


def _remaining_s(head: http1.RequestHead) -> float | None:
    """Returns the time until the request's deadline, or None without one."""
    text = http1.find_header(head.headers, calls.DEADLINE_HEADER)
    return int(text) / 1000 if text.isdigit() else None
