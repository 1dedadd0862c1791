"""A whole node beside another writer that leaves odd entries."""

import copy
import json
from typing import Any

import anyio
import pytest

from waxwingferry.bench import ports
from waxwingferry.connection import exchange
from waxwingferry.platform import main
from waxwingferry.platform import settings_file
from waxwingferry.platform.tests import fake_store
from waxwingferry.platform.tests import test_operator_document
from waxwingferry.platform.tests import test_settings_file
from waxwingferry.platform.tests import test_target_messages
from waxwingferry.process.spreading import members
from waxwingferry.process.tests import fakes

pytestmark = pytest.mark.anyio

# Runs that do not share a folder of lock files start at the lowest port.
FIRST_PORT = 26_000
DEEP = b'{"x":' + b"[" * 5000 + b"]" * 5000 + b"}"
ROW = members.format_row(fakes.make_row(1))
ODD_ROWS: dict[str, Any] = {
    "deep": DEEP,
    "bytes": b"\xff\x00",
    "list": b"[1]",
    "empty": b"",
    "port": {**ROW, "peer_port": 65536},
    "host": {**ROW, "host": "a..b"},
    "slots": {**ROW, "slots": 10**400},
    "generation": {**ROW, "generation": 2**53},
    "target": {**ROW, "target": "a\r\nb"},
    "state": {**ROW, "state": "resting"},
    "missing": {"service": "desk"},
    "service": {**ROW, "service": ["desk"]},
}


def make_node(
    store_port: int, free_ports: ports.PortAllocator
) -> main.PlatformNode:
    """Returns a node on loopback."""
    data = copy.deepcopy(test_settings_file.DATA)
    data["self"]["ip"] = ports.HOST
    # The port after the first internal one is for metrics.
    first_port = free_ports.allocate()
    while (next_port := free_ports.allocate()) != first_port + 1:
        first_port = next_port
    data["network"]["internal-ports"] = [first_port, next_port]
    data["network"]["seeds"] = []
    for purpose in data["network"]["listen"]:
        address = f"{ports.HOST}:{free_ports.allocate()}"
        data["network"]["listen"][purpose] = address
    data["self"]["app-addr"] = f"{ports.HOST}:{free_ports.allocate()}"
    data["provider"]["provider"]["address"] = f"{ports.HOST}:{store_port}"
    return main.PlatformNode(settings_file.parse(data))


async def wait_until(condition) -> None:
    """Waits until a condition holds."""
    with anyio.fail_after(20):
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(0.02)


async def send_heartbeat(node: main.PlatformNode, body: bytes) -> int:
    """Sends a heartbeat of the local target; returns the status."""
    client = exchange.Client(*node.settings.control_address)
    try:
        reply = await client.request(
            "POST", "/-/instances/i-1/heartbeat", 5.0, body
        )
    finally:
        await client.close()
    return reply.status


# The node ended when it read the deeply nested row, and again at each start.
async def test_a_node_runs_on_and_follows_changes_beside_odd_entries():
    """Guards against processes that end, or follow no list any more."""
    fake = fake_store.FakeStore()
    for name, value in ODD_ROWS.items():
        fake.put("members", name, value)
        fake.put("status", f"rollout/{name}", value)
        fake.put("op", f"rollout/{name}", value)
    fake.put("members", "n1", ROW)
    fake.put("op", "config", test_operator_document.CONFIG)
    server = fake.make_server(fake.access)
    free_ports = ports.PortAllocator(FIRST_PORT)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, ports.HOST, 0)
        await server.listening.wait()
        node = make_node(server.port, free_ports)
        group.start_soon(node.run)
        await wait_until(lambda: node.ready)
        assert list(node.members.records) == ["n1"]
        own_name = node.members.node
        fake.put("members", own_name, DEEP)
        await wait_until(lambda: node.control_server.port)
        assert await send_heartbeat(node, DEEP) == 400
        heartbeat = copy.deepcopy(test_target_messages.HEARTBEAT)
        host, port = node.settings.target_address
        heartbeat["address"] = f"{host}:{port}"
        heartbeat["info"]["service"] = "desk"
        body = json.dumps(heartbeat).encode()
        assert await send_heartbeat(node, body) == 200
        await wait_until(lambda: node.lease.confirmed)
        await node.resync()
        for name, value in ODD_ROWS.items():
            fake.put("op", f"evacuate/{name}", value)
        fake.put("op", "evacuate/a", {})
        await wait_until(
            lambda: (
                node.document.revision
                and "a" in node.document.revision.domains_out
            )
        )
        assert not node.stop_requested.is_set()
        group.cancel_scope.cancel()
    node.datagrams.close()
