"""Tests of what a node loads when it starts, and of what it loads later."""

import gc
import json
import os
import pathlib
import socket
import subprocess
import sys
import time

import anyio
import anyio.to_thread
import pytest

from waxwingferry.bench import ports
from waxwingferry.connection import exchange
from waxwingferry.platform import main
from waxwingferry.platform import parsing
from waxwingferry.platform import settings_file
from waxwingferry.platform import start
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

# Makes a process wait for a file before it loads the libraries that it uses.
WAIT_ON_IMPORT = """
import importlib.abc
import os
import sys
import time


class WaitOnImport(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == "anyio":
            sys.meta_path.remove(self)
            open(os.environ["WAIT_FOR"] + ".waiting", "w").close()
            while not os.path.exists(os.environ["WAIT_FOR"]):
                time.sleep(0.01)


sys.meta_path.insert(0, WaitOnImport())
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


def wait_for_file(path: pathlib.Path) -> None:
    """Returns once a file exists."""
    end_s = time.monotonic() + test_signals.TIMEOUT_S
    while not path.exists():
        assert time.monotonic() < end_s
        time.sleep(0.01)


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


async def test_a_report_while_the_node_loads_its_modules_is_answered(
    tmp_path, monkeypatch
):
    """Guards against a target that is announced a second after its node.

    Load pattern: nodes and targets start together after a loss of power, and a
    target repeats a refused report a second later.
    """
    (tmp_path / "sitecustomize.py").write_text(WAIT_ON_IMPORT)
    monkeypatch.setenv("WAIT_FOR", str(tmp_path / "go"))
    monkeypatch.setenv(
        "PYTHONPATH",
        os.pathsep.join([str(tmp_path), os.environ.get("PYTHONPATH", "")]),
    )
    # Reserves the ports until the process has ended.
    free_ports = ports.PortAllocator()
    data = test_signals.make_settings(free_ports)
    data["self"]["app-addr"] = "127.0.0.1:80"
    control = parsing.parse_address(data["network"]["listen"]["control"])
    heartbeat = {
        "address": data["self"]["app-addr"],
        "info": {
            "service": data["self"]["service"],
            "version": "v1",
            "zone": "a",
            "slots": 6,
        },
        "status": {"state": "ready", "sequence": 1},
    }
    statuses = []

    async def report() -> None:
        reply = await exchange.Client(*control).request(
            "POST",
            "/-/instances/i-1/heartbeat",
            test_signals.TIMEOUT_S,
            json.dumps(heartbeat).encode(),
        )
        statuses.append(reply.status)

    async with test_signals.run_node(tmp_path, data) as node:
        await anyio.to_thread.run_sync(wait_for_file, tmp_path / "go.waiting")
        async with anyio.create_task_group() as group:
            group.start_soon(report)
            await anyio.sleep(0.1)
            (tmp_path / "go").touch()
        assert statuses == [200]
        await node.wait_for("target announced")


@pytest.mark.parametrize("content", [None, "", "network = 1", "\xff", "["])
def test_settings_that_cannot_be_read_do_not_end_the_early_start(
    tmp_path, monkeypatch, content
):
    """Guards against an end without the message that names the setting."""
    path = tmp_path / "settings.toml"
    if content is not None:
        path.write_bytes(content.encode("latin-1"))
    monkeypatch.setenv(settings_file.PATH_VARIABLE, str(path))
    try:
        start.begin()
    finally:
        start.complete()
        gc.unfreeze()
    assert gc.isenabled()


async def test_a_socket_that_the_settings_do_not_name_any_more_is_closed(
    tmp_path, monkeypatch
):
    """Guards against clients that wait in a queue that nothing reads."""
    free_ports = ports.PortAllocator()
    data = test_signals.make_settings(free_ports)
    path = tmp_path / "settings.toml"
    path.write_text(test_signals.format_settings(data))
    monkeypatch.setenv(settings_file.PATH_VARIABLE, str(path))
    control = parsing.parse_address(data["network"]["listen"]["control"])
    try:
        start.begin()
        with socket.create_connection(control, 1):
            pass
    finally:
        start.complete()
        gc.unfreeze()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(control, 1)


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
