"""Stand-in for a target: slots, a ledger, announcements and drains."""

import json
import random
import signal
from typing import Annotated

import anyio
import httpx
import pydantic

from waxwingferry.connection import http1
from waxwingferry.connection import serve
from waxwingferry.process import target as target_interface
from waxwingferry.request import call

ANNOUNCE_INTERVAL_S = 1.0


class TargetSettings(pydantic.BaseModel):
    """Settings of one stand-in target.

    Attributes:
        name: Name of the target.
        service: Service that it serves.
        version: Version that it announces.
        slots: Requests that it works on at a time; more are shed.
        port: Port that it listens on.
        node_port: Local port of its node.
        service_time_ms: Mean time that a request takes.
        seed: Seed of its random choices.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    name: str
    service: str
    version: str = "v1"
    slots: int = 6
    host: str = "127.0.0.1"
    port: int
    node_port: int
    service_time_ms: Annotated[float, pydantic.Field(ge=0)] = 2.0
    seed: int = 1


class TargetStandIn:
    """One stand-in target.

    Args:
        options: Its settings.
    """

    def __init__(self, options: TargetSettings):
        self.options = options
        self.rng = random.Random(options.seed)
        self.incarnation = f"{self.rng.getrandbits(32):08x}"
        self.in_flight = 0
        self.most_in_flight = 0
        self.shed = 0
        self.ledger: list[dict[str, str]] = []
        self.draining = False
        self.server = serve.Server(self.handle)

    async def handle(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Answers one request."""
        while await connection.receive_chunk() is not None:
            pass
        if head.target == "/_ledger":
            body = json.dumps(
                {
                    "ledger": self.ledger,
                    "most_in_flight": self.most_in_flight,
                    "shed": self.shed,
                }
            )
            await connection.send_head(200, [], body.encode())
            return
        attempt = http1.find_header(head.headers, call.ATTEMPT_HEADER)
        echo = [(call.ATTEMPT_HEADER, attempt)]
        if self.in_flight >= self.options.slots:
            self.shed += 1
            echo.append((target_interface.NOT_RUN_HEADER, "true"))
            await connection.send_head(503, echo, b"shed\n")
            return
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        try:
            await self._work(connection, head, attempt, echo)
        finally:
            self.in_flight -= 1

    async def _work(self, connection, head, attempt, echo) -> None:
        mean_s = self.options.service_time_ms / 1000
        if mean_s:
            await anyio.sleep(self.rng.expovariate(1 / mean_s))
        request_id = http1.find_header(head.headers, "x-request-id")
        if head.method not in ("GET", "HEAD"):
            self.ledger.append({"request": request_id, "attempt": attempt})
        body = json.dumps(
            {"target": self.options.name, "request": request_id}
        ).encode()
        echo.append(("content-type", "application/json"))
        echo.append(("x-request-id", request_id))
        await connection.send_head(200, echo, body)

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then drains."""
        async with anyio.create_task_group() as group:
            options = self.options
            group.start_soon(self.server.serve, options.host, options.port)
            group.start_soon(self._announce)
            with anyio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT
            ) as signals:
                async for _ in signals:
                    break
            await self.server.drain()
            group.cancel_scope.cancel()

    async def _announce(self) -> None:
        options = self.options
        url = f"http://127.0.0.1:{options.node_port}/_local/announce"
        async with httpx.AsyncClient(trust_env=False, timeout=1.0) as client:
            while True:
                content = {
                    "service": options.service,
                    "version": options.version,
                    "slots": options.slots,
                    "host": options.host,
                    "port": options.port,
                    "incarnation": self.incarnation,
                    "state": "draining" if self.draining else "ready",
                }
                interval_s = ANNOUNCE_INTERVAL_S
                try:
                    await client.post(url, json=content)
                except httpx.HTTPError:
                    interval_s = 0.1
                await anyio.sleep(interval_s)
