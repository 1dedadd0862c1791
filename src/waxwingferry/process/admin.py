"""The administration listener: status, health and metrics."""

import aioprometheus
import hypercorn.asyncio
import hypercorn.config
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from waxwingferry.process import members
from waxwingferry.process import metrics
from waxwingferry.request import receive


class Admin:
    """Serves the administration API of one node.

    Args:
        node: Name of the node.
        known: The targets known.
        receiver: Admission to the node's own target.
        counters: Metrics of the node.
        revision: Returns the number of the document in force, or 0.
    """

    def __init__(
        self,
        node: str,
        known: members.Members,
        receiver: receive.Receiver,
        counters: metrics.Metrics,
        revision,
    ):
        self.node = node
        self.known = known
        self.receiver = receiver
        self.counters = counters
        self.revision = revision

    def make_app(self) -> starlette.applications.Starlette:
        """Returns the ASGI application."""
        route = starlette.routing.Route
        return starlette.applications.Starlette(
            routes=[
                route("/healthz", self.get_health),
                route("/status", self.get_status),
                route("/metrics", self.get_metrics),
            ]
        )

    async def get_health(self, request: starlette.requests.Request):
        """Answers 200 while the node runs."""
        return starlette.responses.PlainTextResponse("ok\n")

    async def get_status(self, request: starlette.requests.Request):
        """Returns what the node knows, as JSON."""
        return starlette.responses.JSONResponse(
            {
                "node": self.node,
                "incarnation": self.receiver.incarnation,
                "revision": self.revision(),
                "load": self.receiver.load(),
                "members": {
                    name: {
                        "service": item.service,
                        "version": item.version,
                        "failure_domain": item.failure_domain,
                        "state": item.state,
                        "in_flight": item.in_flight,
                    }
                    for name, item in sorted(self.known.candidates.items())
                },
            }
        )

    async def get_metrics(self, request: starlette.requests.Request):
        """Returns the metrics in Prometheus text form."""
        self.receiver.update_gauges()
        accept = request.headers.getlist("accept")
        content, headers = aioprometheus.render(self.counters.registry, accept)
        return starlette.responses.Response(content, headers=headers)

    async def serve(self, host: str, port: int, stop) -> None:
        """Serves until the awaitable stop() returns."""
        config = hypercorn.config.Config()
        config.bind = [f"{host}:{port}"]
        config.loglevel = "warning"
        config.graceful_timeout = 1.0
        await hypercorn.asyncio.serve(
            self.make_app(),  # type: ignore[arg-type]
            config,
            shutdown_trigger=stop,
        )
