"""Emulated platform: a table service and an object store."""

import dataclasses
import random
from typing import Any

import anyio
import hypercorn.asyncio
import hypercorn.config
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing


@dataclasses.dataclass
class Faults:
    """Faults that the emulated platform injects.

    Attributes:
        down: Every request is refused with 503 before it has an effect.
        delay_s: Delay added to each answer.
        lose_answers: Number of writes that take effect but whose answer is
            replaced by an error.
        lose_share: Probability of the same for each later write.
        fail_share: Probability that a request is refused before it has an
            effect.
        seed: Seed of the random decisions for both probabilities.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_share: float = 0.0
    fail_share: float = 0.0
    seed: int = 1


class EmulatedPlatform:
    """State of one emulated platform: rows, objects and faults."""

    def __init__(self):
        self.rows: dict[str, dict[str, Any]] = {}
        self.objects: dict[str, bytes] = {}
        self.version = 0
        self.faults = Faults()
        self.rng = random.Random(1)
        self.reads = 0
        self.writes = 0

    def make_app(self) -> starlette.applications.Starlette:
        """Returns the ASGI application."""
        route = starlette.routing.Route
        return starlette.applications.Starlette(
            routes=[
                route("/table/row", self.read),
                route("/table/rows", self.scan),
                route("/table/transact", self.transact, methods=["POST"]),
                route("/objects/{name:path}", self.get_object),
                route("/objects/{name:path}", self.put_object, methods=["PUT"]),
                route("/control/faults", self.set_faults, methods=["POST"]),
                route("/control/counts", self.get_counts),
            ]
        )

    async def _apply_faults(self) -> starlette.responses.Response | None:
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        if self.faults.down or self.rng.random() < self.faults.fail_share:
            return _make_json_response({"error": "outage"}, 503)
        return None

    def _should_lose_answer(self) -> bool:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return True
        return self.rng.random() < self.faults.lose_share

    async def read(self, request: starlette.requests.Request):
        """Returns one row."""
        self.reads += 1
        fault_response = await self._apply_faults()
        return fault_response or _make_json_response(
            {"row": self.rows.get(request.query_params["key"])}
        )

    async def scan(self, request: starlette.requests.Request):
        """Returns the rows with a key prefix that changed after a version."""
        self.reads += 1
        fault_response = await self._apply_faults()
        if fault_response:
            return fault_response
        prefix = request.query_params["prefix"]
        after_version = int(request.query_params.get("after_version", "0"))
        rows = [
            row
            for key, row in self.rows.items()
            if key.startswith(prefix) and row["version"] > after_version
        ]
        return _make_json_response({"rows": rows})

    async def transact(self, request: starlette.requests.Request):
        """Applies all writes of a transaction, or none on a conflict."""
        self.writes += 1
        fault_response = await self._apply_faults()
        if fault_response:
            return fault_response
        writes = (await request.json())["writes"]
        for write in writes:
            row = self.rows.get(write["key"])
            expected_version = write["if_version"]
            if (
                expected_version is not None
                and expected_version != _current_version(row)
            ):
                return _make_json_response(
                    {"key": write["key"], "row": row}, 409
                )
        versions = []
        for write in writes:
            self.version += 1
            versions.append(self.version)
            self.rows[write["key"]] = {
                "key": write["key"],
                "value": write["value"],
                "version": self.version,
            }
        if self._should_lose_answer():
            return _make_json_response({"error": "answer lost"}, 504)
        return _make_json_response({"versions": versions})

    async def get_object(self, request: starlette.requests.Request):
        """Returns an object."""
        self.reads += 1
        fault_response = await self._apply_faults()
        if fault_response:
            return fault_response
        data = self.objects.get(request.path_params["name"])
        if data is None:
            return _make_json_response({"error": "no such object"}, 404)
        return starlette.responses.Response(data)

    async def put_object(self, request: starlette.requests.Request):
        """Writes an object."""
        self.writes += 1
        fault_response = await self._apply_faults()
        if fault_response:
            return fault_response
        self.objects[request.path_params["name"]] = await request.body()
        return starlette.responses.Response(status_code=204)

    async def set_faults(self, request: starlette.requests.Request):
        """Replaces the injected faults and reseeds the random decisions."""
        self.faults = Faults(**await request.json())
        self.rng = random.Random(self.faults.seed)
        return _make_json_response({})

    async def get_counts(self, request: starlette.requests.Request):
        """Returns the numbers of reads and writes received so far."""
        return _make_json_response({"reads": self.reads, "writes": self.writes})


def _current_version(row: dict[str, Any] | None) -> int:
    if row is None or row["value"] is None:
        return 0
    return row["version"]


def _make_json_response(
    data: Any, status: int = 200
) -> starlette.responses.Response:
    return starlette.responses.JSONResponse(data, status)


async def serve(host: str, port: int) -> None:
    """Serves the emulated platform until SIGTERM."""
    config = hypercorn.config.Config()
    config.bind = [f"{host}:{port}"]
    config.loglevel = "warning"
    config.graceful_timeout = 0.5
    app = EmulatedPlatform().make_app()
    await hypercorn.asyncio.serve(app, config)  # type: ignore[arg-type]
