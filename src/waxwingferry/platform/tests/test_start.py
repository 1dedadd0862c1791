"""Tests of what a node loads when it starts, and of what it loads later."""

import gc
import json
import subprocess
import sys

import anyio
import pytest

from waxwingferry.bench import ports
from waxwingferry.platform import main
from waxwingferry.platform import settings_file
from waxwingferry.platform.tests import test_signals
from waxwingferry.process import garbage

# A node that uses none of what they serve needs none of these.
DEFERRED = [
    "fractions",
    "hashlib",
    "hmac",
    "hypercorn",
    "httpx",
    "ipaddress",
    "pathlib",
    "secrets",
    "statistics",
    "urllib.parse",
    "waxwingferry.platform.usage_api",
    "waxwingferry.platform.usage_duty",
    "waxwingferry.process.admin",
    "waxwingferry.process.duties",
    "yaml",
]

# Fails to load a deferred module while it handles a request, whose errors are
# otherwise answered and survived.
FAILING_IMPORT = """
import sys

import anyio

from waxwingferry import deferred
from waxwingferry.connection import exchange
from waxwingferry.connection import serve
from waxwingferry.process import logs

sys.modules["statistics"] = None
statistics = deferred.Module("statistics")
logs.configure_logs()


async def handle(connection, head):
    try:
        statistics.median([1])
    except Exception:
        print("caught")


async def main():
    server = serve.Server(handle)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, "127.0.0.1", 0)
        await server.listening.wait()
        client = exchange.Client("127.0.0.1", server.port)
        try:
            await client.request("GET", "/", 5.0)
        except exchange.ExchangeError:
            pass
        await anyio.sleep(5)
        print("survived")
        group.cancel_scope.cancel()


anyio.run(main)
"""

pytestmark = pytest.mark.anyio


def run_python(code: str) -> subprocess.CompletedProcess:
    """Runs code in a process of its own."""
    return subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        timeout=50,
        check=False,
    )


def test_a_start_imports_nothing_that_can_wait():
    """Guards against a slow start, in which requests pile up."""
    result = run_python(
        "import json, sys\n"
        "import waxwingferry.platform.main\n"
        f"names = {DEFERRED!r}\n"
        "print(json.dumps([name for name in names if name in sys.modules]))"
    )
    assert json.loads(result.stdout) == [], result.stderr


def test_a_deferred_import_that_fails_ends_the_process():
    """Guards against a process that goes on without one of its modules."""
    result = run_python(FAILING_IMPORT)
    assert result.returncode == 1
    assert "caught" not in result.stdout
    assert "survived" not in result.stdout
    [line] = [
        line for line in result.stdout.splitlines() if "not imported" in line
    ]
    assert json.loads(line)["module"] == "statistics"


async def test_garbage_is_collected_again_after_the_start():
    """Guards against a process whose memory grows until it ends."""
    free_ports = ports.PortAllocator()
    settings = settings_file.parse(test_signals.make_settings(free_ports))
    node = main.PlatformNode(settings)
    garbage.pause()
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(node.run)
            with anyio.fail_after(5):
                await node.metrics_server.listening.wait()
                await anyio.wait_all_tasks_blocked()
                assert gc.isenabled()
            group.cancel_scope.cancel()
    finally:
        node.datagrams.close()
        gc.enable()
        gc.unfreeze()
