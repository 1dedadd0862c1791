"""The program waxwingferry-console, which serves the operator's web console."""

import anyio
import hypercorn.asyncio
import hypercorn.config

from waxwingferry.cli import client
from waxwingferry.console import app
from waxwingferry.process import program

HOST = "127.0.0.1"


async def serve(admin: client.Client, port: int) -> None:
    """Serves the console until SIGTERM or SIGINT."""
    config = hypercorn.config.Config()
    config.bind = [f"{HOST}:{port}"]
    config.loglevel = "warning"
    config.graceful_timeout = 1.0
    console_app = app.Console(admin, f"http://{HOST}:{port}").make_app()
    await hypercorn.asyncio.serve(console_app, config)  # type: ignore[arg-type]


def start(port: int = 8400) -> None:
    """Serves the console on the loopback address.

    Nodes and token are read from the same environment variables as for
    waxwingferry.

    Args:
        port: Port to listen on.
    """
    admin = client.make_client()
    print(f"console: http://{HOST}:{port}/", flush=True)
    anyio.run(serve, admin, port)


def main() -> None:
    """Runs the program."""
    program.run_program("waxwingferry-console", start)


if __name__ == "__main__":
    main()
