"""Series of signals to a node process."""

from collections.abc import AsyncIterator
import contextlib
import copy
import json
import os
import pathlib
import signal

import anyio
import pytest

from waxwingferry.bench import ports
from waxwingferry.connection import exchange
from waxwingferry.connection import http1
from waxwingferry.connection import serve
from waxwingferry.platform import settings_file
from waxwingferry.platform.tests import fake_store
from waxwingferry.platform.tests import test_operator_document
from waxwingferry.platform.tests import test_settings_file
from waxwingferry.process.tests import logged_process

TIMEOUT_S = 20.0
TARGET_ID = "i-1"

pytestmark = pytest.mark.anyio


@contextlib.asynccontextmanager
async def run_node(
    directory: pathlib.Path, data: dict | None = None
) -> AsyncIterator[logged_process.LoggedProcess]:
    """Runs a node process while the context is active.

    Args:
        directory: Directory for the settings and the log.
        data: Settings; by default without a store and a target.
    """
    # Reserves the ports until the process has ended.
    free_ports = ports.PortAllocator()
    path = directory / "settings.toml"
    path.write_text(format_settings(data or make_settings(free_ports)))
    async with logged_process.run(
        directory,
        "waxwingferry.platform",
        **{settings_file.PATH_VARIABLE: str(path)},
    ) as process:
        yield process


def _allocate_internal_ports(free_ports: ports.PortAllocator) -> list[int]:
    """Returns two free ports in a row, the second one for the metrics."""
    first_port, last_port = free_ports.allocate(), free_ports.allocate()
    while last_port != first_port + 1:
        first_port, last_port = last_port, free_ports.allocate()
    return [first_port, last_port]


# Makes a process get SIGHUP when it begins to load the libraries that it uses.
SIGNAL_ON_IMPORT = """\
import importlib.abc
import os
import signal
import sys


class SignalOnImport(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == "anyio":
            sys.meta_path.remove(self)
            os.kill(os.getpid(), signal.SIGHUP)


sys.meta_path.insert(0, SignalOnImport())
"""


def make_settings(free_ports: ports.PortAllocator) -> dict:
    """Returns settings with free ports, without a store and a target."""
    data = copy.deepcopy(test_settings_file.DATA)
    data["self"]["ip"] = ports.HOST
    data["network"]["internal-ports"] = _allocate_internal_ports(free_ports)
    data["network"]["seeds"] = []
    for purpose in data["network"]["listen"]:
        data["network"]["listen"][purpose] = (
            f"{ports.HOST}:{free_ports.allocate()}"
        )
    data["provider"]["provider"]["address"] = (
        f"{ports.HOST}:{free_ports.allocate()}"
    )
    return data


def format_settings(data: dict) -> str:
    """Returns settings as TOML."""
    lines: list[str] = []
    _format_table("", data, lines)
    return "\n".join(lines) + "\n"


def _format_table(name: str, table: dict, lines: list[str]) -> None:
    """Appends a table in TOML; JSON has the same form for simple values."""
    if name:
        lines.append(f"[{name}]")
    for key, value in table.items():
        if not isinstance(value, dict):
            lines.append(f"{key} = {json.dumps(value)}")
    for key, value in table.items():
        if isinstance(value, dict):
            _format_table(f"{name}.{key}" if name else key, value, lines)


# The handlers were removed with the first SIGTERM, so a further signal ended
# the process with all requests in flight.
@pytest.mark.parametrize(
    "further", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT]
)
async def test_a_signal_during_a_stop_does_not_end_the_process(
    tmp_path, further
) -> None:
    """Guards against a stop that becomes abrupt with the next signal."""
    async with run_node(tmp_path) as node:
        await node.wait_for("node started")
        node.process.terminate()
        await node.wait_for("node stopping")
        node.process.send_signal(further)
        assert await node.wait() == 0
        assert node.count_events("node stopped") == 1


async def test_settings_are_reloaded_again_and_again(tmp_path) -> None:
    """Guards against a reload that ends the handling of signals."""
    async with run_node(tmp_path) as node:
        await node.wait_for("node started")
        for number in range(3):
            node.process.send_signal(signal.SIGHUP)
            await node.wait_for("settings reloaded", number + 1)
        node.process.terminate()
        assert await node.wait() == 0


async def test_settings_that_change_without_a_signal_are_reloaded(
    tmp_path,
) -> None:
    """Guards against calls that state the earlier service of their VM.

    The platform may write the settings file and send no signal.
    """
    data = make_settings(ports.PortAllocator())
    async with run_node(tmp_path, data) as node:
        await node.wait_for("node started")
        data["self"]["service"] = "other"
        (tmp_path / "settings.toml").write_text(format_settings(data))
        await node.wait_for("settings reloaded")
        node.process.terminate()
        assert await node.wait() == 0


async def test_a_reload_while_a_process_starts_does_not_end_it(
    tmp_path, monkeypatch
) -> None:
    """Guards against a node that ends because it is told to reload early."""
    (tmp_path / "sitecustomize.py").write_text(SIGNAL_ON_IMPORT)
    monkeypatch.setenv(
        "PYTHONPATH",
        os.pathsep.join([str(tmp_path), os.environ.get("PYTHONPATH", "")]),
    )
    async with run_node(tmp_path) as node:
        await node.wait_for("settings reloaded")
        node.process.terminate()
        assert await node.wait() == 0


async def test_a_signal_to_a_stopped_node_leaves_its_exit_code(
    tmp_path,
) -> None:
    """Guards against a complete stop that looks like a crash."""
    async with run_node(tmp_path) as node:
        await node.wait_for("node started")
        node.process.terminate()
        await node.wait_for("node stopped")
        with anyio.fail_after(TIMEOUT_S):
            while node.process.poll() is None:
                node.process.send_signal(signal.SIGHUP)
                node.process.send_signal(signal.SIGTERM)
                await anyio.sleep(0.001)
        assert await node.wait() == 0


# Errors that were not expected ended the process with all requests in flight.
async def test_settings_that_fail_to_load_do_not_end_the_process(
    tmp_path,
) -> None:
    """Guards against requests lost because a reload finds odd settings."""
    data = make_settings(ports.PortAllocator())
    content = format_settings(data)
    async with run_node(tmp_path, data) as node:
        await node.wait_for("node started")
        path = tmp_path / "settings.toml"
        data["timing"]["bounds"]["cold-over"] = 10**400
        for number, odd in enumerate(
            (
                "x = " + "[" * 5000 + "]" * 5000,
                format_settings(data),
                content[: len(content) // 2],
                "",
            )
        ):
            path.write_text(odd)
            node.process.send_signal(signal.SIGHUP)
            await node.wait_for("settings not reloaded", number + 1)
        path.write_text(content)
        node.process.send_signal(signal.SIGHUP)
        await node.wait_for("settings reloaded")
        node.process.terminate()
        assert await node.wait() == 0


class SlowTarget:
    """A target that answers its requests once a test allows it.

    Attributes:
        started: Set once the target has a request.
        answer_allowed: Set by the test.
    """

    def __init__(self):
        self.server = serve.Server(self.handle)
        self.started = anyio.Event()
        self.answer_allowed = anyio.Event()

    async def handle(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Answers health checks at once, and other requests when allowed."""
        attempt_id = http1.find_header(
            head.headers, "x-waxwingferry-attempt-id"
        )
        headers = [
            ("x-waxwingferry-attempt-id", attempt_id),
            ("x-waxwingferry-instance-id", TARGET_ID),
            ("x-waxwingferry-server-load", "0,0,6,100"),
        ]
        if head.target != "/health":
            self.started.set()
            await self.answer_allowed.wait()
        await connection.send_head(200, headers, b"whole")


async def request(
    address: tuple[str, int], method: str, path: str, body: bytes = b""
) -> exchange.Reply:
    """Sends one request on a connection of its own."""
    client = exchange.Client(*address)
    client.authority = "a.example"
    headers = [("x-waxwingferry-deadline-ms", "15000")]
    return await client.request(method, path, TIMEOUT_S, body, headers)


async def wait_for_readiness(
    settings: settings_file.Settings, status: int
) -> None:
    """Returns once the node says that it is, or isn't, ready."""
    while True:
        reply = await request(settings.readiness_address, "GET", "/-/ready")
        if reply.status == status:
            return
        await anyio.sleep(0.02)


async def announce_target(settings: settings_file.Settings) -> None:
    """Sends the first heartbeat of the target."""
    host, port = settings.target_address
    heartbeat = {
        "address": f"{host}:{port}",
        "born": 1,
        "info": {"service": "desk", "version": "v1", "zone": "a", "slots": 6},
        "status": {"state": "ready", "sequence": 1},
    }
    reply = await request(
        settings.control_address,
        "POST",
        f"/-/instances/{TARGET_ID}/heartbeat",
        json.dumps(heartbeat).encode(),
    )
    assert reply.status == 200


# Callers of a stopping node lost their requests when the node got a signal.
@pytest.mark.parametrize(
    "further",
    [(signal.SIGHUP,), (signal.SIGTERM, signal.SIGINT)],
    ids=["reload", "stop-again"],
)
async def test_a_signal_during_a_stop_cuts_off_no_request(
    tmp_path, further
) -> None:
    """Guards against requests lost because a stopping node gets a signal."""
    target = SlowTarget()
    fake = fake_store.FakeStore()
    config = copy.deepcopy(test_operator_document.CONFIG)
    for route in config["virtual-hosts"][0]["paths"]:
        route["timeout"] = f"{TIMEOUT_S}s"
    fake.put("op", "config", config)
    store_server = fake.make_server(fake.access)
    free_ports = ports.PortAllocator()
    data = make_settings(free_ports)
    data["timing"]["bounds"]["grace"] = "60s"
    replies: list[exchange.Reply] = []
    async with anyio.create_task_group() as servers:
        for server in (target.server, store_server):
            servers.start_soon(server.serve, ports.HOST, 0)
            await server.listening.wait()
        data["self"]["app-addr"] = f"{ports.HOST}:{target.server.port}"
        data["provider"]["provider"]["address"] = (
            f"{ports.HOST}:{store_server.port}"
        )
        settings = settings_file.parse(data)
        async with run_node(tmp_path, data) as node:
            await node.wait_for("document in force")
            await wait_for_readiness(settings, 200)
            await announce_target(settings)

            async def send() -> None:
                replies.append(
                    await request(
                        settings.outbound_address, "POST", "/a/x", b"order"
                    )
                )

            async with anyio.create_task_group() as group:
                group.start_soon(send)
                await target.started.wait()
                node.process.terminate()
                await node.wait_for("node stopping")
                for number in further:
                    node.process.send_signal(number)
                await node.wait_for("signal received", 1 + len(further))
                target.answer_allowed.set()
            assert await node.wait() == 0
        servers.cancel_scope.cancel()
    assert [(item.status, item.body) for item in replies] == [(200, b"whole")]
