"""HTTP API for administration: document, status, health and metrics.

    GET  /document            {"revision", "document"}
    GET  /document?revision=N returns an earlier revision in the same form
    PUT  /document            {"base", "document", "why", "change_id"}
        200 {"revision", "warnings"}; 409 conflict with another change;
        422 {"errors"}; 503 nothing written; 504 unknown, look up change_id in
        /history
    GET  /history?last=N      {"history": [...]}, newest first

    GET  /choice?service=NAME {"targets": [...]}, with their current cost

/healthz, /status, /metrics and /choice require no token. All other requests
require the header "authorization: Bearer TOKEN" with a token from the settings.
"""

from collections.abc import Callable
import hmac
import json
from typing import Annotated
from typing import Any

import aioprometheus
import pydantic
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing
import structlog

from waxwingferry.connection import budget
from waxwingferry.process import admin_server
from waxwingferry.process import metrics
from waxwingferry.process import platform
from waxwingferry.process import settings
from waxwingferry.process.choice import routing
from waxwingferry.process.spreading import configuration
from waxwingferry.process.spreading import members
from waxwingferry.request import receive
from waxwingferry.version import checks
from waxwingferry.version import document
from waxwingferry.version import shown_keys

MAX_BODY_BYTES = 512 * 1024
MAX_HISTORY = 100

log = structlog.get_logger()


class ChangeRequest(pydantic.BaseModel):
    """Body of PUT /document."""

    model_config = pydantic.ConfigDict(extra="forbid")

    base: Annotated[int, pydantic.Field(ge=0)]
    # Not shown, because it may hold API keys.
    document: Annotated[Any, pydantic.Field(repr=False)]
    why: Annotated[str, pydantic.Field(min_length=1, max_length=500)]
    change_id: Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{32}$")]


class Admin:
    """Serves the administration API of one node.

    Args:
        node: Name of the node.
        membership: Known nodes and their targets.
        receiver: Admission to the local target.
        counters: Metrics of the node.
        configured: Holder of the document in force.
        tokens: Bearer token of each operator, by operator name.
        extra_status: Returns additional entries for /status.
        explain: Returns the targets of a service and what the router would
            base its next choice on.
    """

    def __init__(
        self,
        node: str,
        membership: members.Membership,
        receiver: receive.Receiver,
        counters: metrics.Metrics,
        configured: configuration.Configuration,
        tokens: dict[str, pydantic.SecretStr],
        extra_status: Callable[[], dict[str, Any]] = dict,
        explain: Callable[[str], list[routing.Explanation]] = lambda _: [],
    ):
        self.node = node
        self.membership = membership
        self.receiver = receiver
        self.counters = counters
        self.configured = configured
        self.tokens = tokens
        self.extra_status = extra_status
        self.explain = explain

    def make_app(self) -> starlette.applications.Starlette:
        """Returns the ASGI application."""
        route = starlette.routing.Route
        routes = [
            route("/healthz", self.get_health),
            route("/status", self.get_status),
            route("/metrics", self.get_metrics),
            route("/choice", self.get_choice),
        ]
        if self.tokens:
            routes += [
                route("/document", self.get_document, methods=["GET"]),
                route("/document", self.put_document, methods=["PUT"]),
                route("/history", self.get_history),
            ]
        return starlette.applications.Starlette(routes=routes)

    def authenticate(self, request: starlette.requests.Request) -> str | None:
        """Returns the operator's name, or None without a valid token.

        Every token is compared, each in constant time, so that the response
        time reveals nothing about them.
        """
        scheme, _, presented = request.headers.get(
            "authorization", ""
        ).partition(" ")
        operator = None
        for name, token in self.tokens.items():
            expected = token.get_secret_value().encode()
            matches = hmac.compare_digest(presented.encode(), expected)
            if matches and scheme.lower() == "bearer":
                operator = name
        return operator

    async def get_health(self, request: starlette.requests.Request):
        """Returns 200 while the process runs."""
        return starlette.responses.PlainTextResponse("ok\n")

    async def get_status(self, request: starlette.requests.Request):
        """Returns the state of the node and its known members as JSON."""
        return _json_response(
            {
                "node": self.node,
                "incarnation": self.receiver.incarnation,
                "revision": self.configured.number,
                "load": self.receiver.format_load(),
                **self.extra_status(),
                "members": {
                    name: {
                        "service": item.service,
                        "version": item.version,
                        "failure_domain": item.failure_domain,
                        "state": item.state,
                        "in_flight": item.in_flight,
                    }
                    for name, item in sorted(self.membership.candidates.items())
                },
            }
        )

    async def get_choice(self, request: starlette.requests.Request):
        """Returns the targets of a service with their current routing cost."""
        service = request.query_params.get("service", "")
        if service not in self.membership.by_service:
            allowed = ", ".join(sorted(self.membership.by_service)) or "none"
            error = f"service = {service!r}: must be one of {allowed}"
            return _json_response({"error": error}, 422)
        return _json_response(
            {
                "targets": [
                    {
                        "node": item.node,
                        "cost": item.cost.total,
                        "excluded": item.excluded_by,
                        "report_age_ms": item.report_age_ms,
                    }
                    for item in self.explain(service)
                ]
            }
        )

    async def get_metrics(self, request: starlette.requests.Request):
        """Returns the metrics in the Prometheus text format."""
        self.receiver.update_gauges()
        accept = request.headers.getlist("accept")
        content, headers = aioprometheus.render(self.counters.registry, accept)
        return starlette.responses.Response(content, headers=headers)

    async def get_document(self, request: starlette.requests.Request):
        """Returns the document in force, or an earlier revision."""
        if self.authenticate(request) is None:
            return _unauthorized_response()
        number = _parse_query_int(request, "revision", self.configured.number)
        if number is None:
            return _json_response(
                {"error": "revision: must be an integer >= 0"}, 422
            )
        revision = self.configured.revision
        if revision is not None and number == revision.number:
            return _json_response(
                {"revision": number, "document": revision.content}
            )
        if number == 0:
            return _json_response({"revision": 0, "document": None})
        try:
            entry = await self.configured.read_history(number)
        except platform.PlatformError as error:
            return _json_response({"error": str(error)}, 503)
        if entry is None:
            return _json_response(
                {"error": f"revision {number} not found"}, 404
            )
        return _json_response(
            {"revision": number, "document": entry["document"]}
        )

    async def get_history(self, request: starlette.requests.Request):
        """Returns the history of document changes, newest first."""
        if self.authenticate(request) is None:
            return _unauthorized_response()
        count = _parse_query_int(request, "last", 10)
        if count is None or not 1 <= count <= MAX_HISTORY:
            return _json_response(
                {"error": f"last: must be 1 to {MAX_HISTORY}"}, 422
            )
        entries: list[dict[str, Any]] = []
        try:
            await self.configured.read()
            number = self.configured.number
            while number > 0 and len(entries) < count:
                entry = await self.configured.read_history(number)
                if entry is not None:
                    entry = {k: v for k, v in entry.items() if k != "document"}
                    entries.append(entry)
                number -= 1
                if entry is None:
                    break
        except platform.PlatformError as error:
            return _json_response({"error": str(error)}, 503)
        return _json_response({"history": entries})

    async def put_document(self, request: starlette.requests.Request):
        """Stores a new document, or returns why it was rejected."""
        operator = self.authenticate(request)
        if operator is None:
            return _unauthorized_response()
        body = await _read_body(request)
        if body is None:
            too_large = f"body: must be at most {MAX_BODY_BYTES} bytes"
            return _json_response({"errors": [too_large]}, 413)
        try:
            change_request = ChangeRequest.model_validate_json(body)
        except pydantic.ValidationError as error:
            return _json_response(
                {"errors": [settings.describe_error(error)]}, 422
            )
        parsed_document, errors = document.check(change_request.document)
        if parsed_document is not None:
            # Only the program of the operator knows the base.
            _, errors = shown_keys.restore(
                parsed_document.model_dump(mode="json"), None
            )
        if parsed_document is None or errors:
            return _json_response({"errors": errors}, 422)
        change = configuration.Change(
            parsed_document,
            change_request.base,
            operator,
            change_request.why,
            change_request.change_id,
        )
        result = await self.configured.accept(change)
        log.info(
            "document change",
            who=operator,
            why=change_request.why,
            base=change_request.base,
            change_id=change_request.change_id,
            result=type(result).__name__,
        )
        return _change_response(
            result,
            change_request.change_id,
            [item.text for item in checks.find_warnings(parsed_document)],
        )

    async def serve(
        self, host: str, port: int, stop, connections: budget.Budget
    ) -> None:
        """Serves until the awaitable returned by stop() completes."""
        server = admin_server.AdminServer(
            self.make_app(), connections, MAX_BODY_BYTES
        )
        await server.run(host, port, stop)


async def _read_body(request: starlette.requests.Request) -> bytes | None:
    """Returns the body, or None if it exceeds MAX_BODY_BYTES."""
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            return None
    return bytes(body)


def _change_response(
    result: configuration.Result, change_id: str, warnings: list[str]
) -> starlette.responses.Response:
    match result:
        case configuration.Accepted(revision):
            return _json_response({"revision": revision, "warnings": warnings})
        case configuration.Conflict():
            return _json_response(
                {
                    "error": "another change came first; nothing was written",
                    "revision": result.revision,
                    "who": result.who,
                    "why": result.why,
                    "difference": result.difference,
                },
                409,
            )
        case configuration.Unavailable(reason):
            return _json_response(
                {"error": f"nothing was written: {reason}"}, 503
            )
        case configuration.Undecided(reason):
            return _json_response(
                {"error": reason, "change_id": change_id}, 504
            )


def _parse_query_int(
    request: starlette.requests.Request, name: str, default: int
) -> int | None:
    value = request.query_params.get(name, str(default))
    return int(value) if value.isascii() and value.isdigit() else None


def _unauthorized_response() -> starlette.responses.Response:
    response = _json_response(
        {"error": "authorization: bearer token required"}, 401
    )
    response.headers["www-authenticate"] = "Bearer"
    return response


def _json_response(
    data: Any, status: int = 200
) -> starlette.responses.Response:
    return starlette.responses.Response(
        json.dumps(data) + "\n", status, media_type="application/json"
    )
