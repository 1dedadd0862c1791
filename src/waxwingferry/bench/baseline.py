"""Baseline for latency comparisons: a reverse proxy on hypercorn and httpx."""

import anyio
import httpx
import hypercorn.asyncio
import hypercorn.config
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing
import uvloop

from waxwingferry.connection import http1
from waxwingferry.process import program


def make_app(target_port: int) -> starlette.applications.Starlette:
    """Returns an application that forwards all requests to one target."""
    client = httpx.AsyncClient(
        base_url=f"http://127.0.0.1:{target_port}",
        trust_env=False,
        limits=httpx.Limits(max_connections=200),
    )

    async def forward(request: starlette.requests.Request):
        request_headers = [
            item
            for item in http1.end_to_end_headers(request.headers.items())
            if item[0] not in ("host", "content-length")
        ]
        upstream_response = await client.request(
            request.method,
            request.url.path,
            headers=request_headers,
            content=await request.body(),
        )
        response_headers = [
            item
            for item in http1.end_to_end_headers(
                upstream_response.headers.multi_items()
            )
            if item[0] != "content-length"
        ]
        return starlette.responses.Response(
            upstream_response.content,
            upstream_response.status_code,
            dict(response_headers),
        )

    route = starlette.routing.Route(
        "/{path:path}", forward, methods=["GET", "POST"]
    )
    return starlette.applications.Starlette(routes=[route])


def serve(port: int, target_port: int) -> None:
    """Runs the baseline proxy until SIGTERM.

    Args:
        port: Port to listen on.
        target_port: Port of the target on 127.0.0.1.
    """
    config = hypercorn.config.Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.loglevel = "error"
    config.graceful_timeout = 0.5
    anyio.run(
        hypercorn.asyncio.serve,  # type: ignore[arg-type]
        make_app(target_port),
        config,
        backend_options={"loop_factory": uvloop.new_event_loop},
    )


if __name__ == "__main__":
    program.run_program("waxwingferry-baseline", serve)
