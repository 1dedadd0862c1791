"""Workspaces in the platform's document, and a node that serves them."""

import copy
import json
from typing import Any

import anyio
import pytest
import structlog.testing

from waxwingferry.bench import ports
from waxwingferry.connection import exchange
from waxwingferry.connection import http1
from waxwingferry.connection import serve
from waxwingferry.platform import header_fields
from waxwingferry.platform import operator_document
from waxwingferry.platform.tests import fake_store
from waxwingferry.platform.tests import test_odd_entries
from waxwingferry.platform.tests import test_operator_document
from waxwingferry.platform.tests import test_target_messages
from waxwingferry.process import metrics
from waxwingferry.request import receive
from waxwingferry.request.tests import test_keys
from waxwingferry.version import revision as revisions

pytestmark = pytest.mark.anyio

SECRET = "s3cr3t"
KEYS = [f"{SECRET}-{number}" for number in range(4)]
TENANTS: list[dict[str, Any]] = [
    {"name": "hule930", "api-keys": KEYS[:2], "priority": 0},
    {"name": "fida11", "api-keys": KEYS[2:3]},
]
HOST = "a.example"
# Apart from the ports that other tests of whole nodes use.
FIRST_PORT = 27_000


def make_config(tenants: Any, version: int = 8) -> dict[str, Any]:
    """Returns a configuration with a keyed and an anonymous path."""
    config = copy.deepcopy(test_operator_document.CONFIG)
    config["version"] = f"r{version}"
    config["virtual-hosts"][0]["paths"][1]["anonymous"] = True
    config["tenants"] = tenants
    return config


async def read_document(
    *configs: dict[str, Any],
) -> tuple[revisions.Revision, str]:
    """Returns the revision in force after some configurations, and all logs."""
    async with fake_store.run_store() as (fake, table):
        document = operator_document.OperatorDocument(
            table, test_operator_document.BOUNDS
        )
        with structlog.testing.capture_logs() as logs:
            for config in configs:
                fake.put("op", "config", config)
                await document.read()
        assert document.revision is not None
        return document.revision, repr(logs)


async def test_tenants_are_workspaces():
    """Guards against a key that opens another workspace, or none."""
    revision, _ = await read_document(make_config(TENANTS))
    found = [revision.find_workspace(key) for key in KEYS]
    hule, fida = revision.workspaces["hule930"], revision.workspaces["fida11"]
    assert found == [hule, hule, fida, None]
    assert (hule.priority, fida.priority) == (0, None)
    keyed = revision.match_route("POST", "/a/x", HOST)
    open_route = revision.match_route("GET", "/a/b/x", HOST)
    assert keyed is not None
    assert open_route is not None
    assert (keyed.anonymous, open_route.anonymous) == (False, True)
    assert SECRET not in repr([revision, hule, vars(revision)["workspaces"]])


@pytest.mark.parametrize("tenants", [None, []])
async def test_a_document_without_tenants_needs_no_keys(tenants):
    """Guards against calls that are refused where nobody has a key."""
    revision, _ = await read_document(make_config(tenants))
    assert revision.workspaces == {}


def change(index: int, **values: Any) -> list[dict[str, Any]]:
    """Returns the tenants with other values of one entry."""
    tenants = copy.deepcopy(TENANTS)
    tenants[index] |= {key.replace("_", "-"): v for key, v in values.items()}
    return tenants


@pytest.mark.parametrize(
    ("tenants", "places"),
    [
        (
            change(1, api_keys=[KEYS[3], KEYS[1]]),
            ["tenants.1.api-keys.1", "tenants.0.api-keys.1"],
        ),
        (
            change(0, api_keys=[KEYS[0], KEYS[0]]),
            ["tenants.0.api-keys.0", "tenants.0.api-keys.1"],
        ),
        (change(1, name="hule930"), ["tenants.0.name", "tenants.1.name"]),
        (change(1, api_keys=[""]), ["tenants.1.api-keys.0"]),
        (change(1, api_keys=[SECRET * 40]), ["tenants.1.api-keys.0"]),
        (change(1, api_keys=SECRET), ["tenants.1.api-keys"]),
        (change(1, api_keys=[{SECRET: 1}]), ["tenants.1.api-keys"]),
        (change(1, name=[SECRET]), ["tenants.1.name"]),
        (change(1, name="a\r\nx: y"), ["tenants.1.name"]),
        (change(1, priority=SECRET), ["tenants.1.priority"]),
        (change(1, priority=1000), ["tenants.1.priority"]),
        ([SECRET], ["tenants.0"]),
        ({SECRET: SECRET}, ["tenants"]),
    ],
)
async def test_an_invalid_entry_refuses_the_whole_document(tenants, places):
    """Guards against ambiguous keys, and against keys in the logs.

    The version in force stays, with its keys.
    """
    revision, logs = await read_document(
        make_config(TENANTS), make_config(tenants, version=9)
    )
    assert revision.find_workspace(KEYS[0]) is not None
    assert revision.content["op/config"]["value"]["version"] == "r8"
    assert "document not understood" in logs
    for place in places:
        assert place in logs
    assert SECRET not in logs


@pytest.mark.parametrize(
    "key", ["\ud800" + SECRET, "\u00e9" + SECRET, "x" * 200]
)
async def test_an_odd_key_is_no_error(key):
    """Guards against a document refused for a key that nobody can send."""
    document = operator_document.OperatorDocument(
        None,  # type: ignore[arg-type]
        test_operator_document.BOUNDS,
    )
    config = make_config(change(1, api_keys=[key]))
    content = {"op/config": {"value": config, "version": 1}}
    assert document.apply_if_newer(1, content)
    assert document.revision is not None
    assert document.revision.find_workspace(key) is not None


async def test_values_that_are_null_count_as_missing():
    """Guards against a document refused for what a writer leaves open."""
    config = make_config(change(1, api_keys=None, priority=None))
    config["virtual-hosts"][0]["paths"][0]["anonymous"] = None
    revision, _ = await read_document(config)
    route = revision.match_route("POST", "/a/x", HOST)
    assert route is not None
    assert not route.anonymous
    assert revision.workspaces["fida11"].priority is None
    assert revision.find_workspace(KEYS[2]) is None


@pytest.mark.parametrize("value", ["false", 1, {}])
async def test_an_odd_anonymous_opens_no_path(value):
    """Guards against a path that is opened by a text that means the reverse."""
    config = make_config(TENANTS, version=9)
    config["virtual-hosts"][0]["paths"][0]["anonymous"] = value
    revision, _ = await read_document(make_config(TENANTS), config)
    route = revision.match_route("POST", "/a/x", HOST)
    assert route is not None
    assert not route.anonymous
    assert revision.content["op/config"]["value"]["version"] == "r8"


async def test_a_target_of_another_node_gets_the_name():
    """Guards against a forged name that an entry without tenants passes on."""
    revision, _ = await read_document(make_config(TENANTS))
    protocol = header_fields.PlatformTargetProtocol()
    receiver = receive.Receiver(
        "i1", lambda: False, lambda: revision, metrics.Metrics(), protocol
    )
    received = await test_keys.pass_on(
        receiver,
        [("authorization", f"Bearer {KEYS[0]}"), (header_fields.TENANT, "x")],
    )
    assert received.workspace == "acme"
    headers = protocol.make_headers(received, test_target_messages.ANNOUNCEMENT)
    names = [value for name, value in headers if name == header_fields.TENANT]
    assert names == ["acme"]
    assert SECRET not in repr(headers)
    assert not [name for name, _ in headers if name.startswith("x-waxwing-")]


class RecordingTarget:
    """A target that answers each request and keeps its fields."""

    def __init__(self):
        self.server = serve.Server(self.handle)
        self.requests: list[http1.RequestHead] = []

    async def handle(self, connection, head) -> None:
        """Answers a request."""
        if head.target != "/health":
            self.requests.append(head)
        await connection.send_head(
            200,
            [
                (header_fields.REQUEST_ID, _find(head, "REQUEST_ID")),
                (header_fields.TARGET_ID, "i-1"),
            ],
            b"ok",
        )


def _find(head: http1.RequestHead, name: str) -> str:
    return http1.find_header(head.headers, getattr(header_fields, name))


async def test_a_node_serves_workspaces_by_the_keys_in_force(capsys):
    """Guards against keys that work too long, too late, or reach a target."""
    fake = fake_store.FakeStore()
    fake.put("op", "config", make_config(TENANTS))
    store_server = fake.make_server(fake.access)
    target = RecordingTarget()
    with structlog.testing.capture_logs() as logs:
        async with anyio.create_task_group() as group:
            group.start_soon(store_server.serve, ports.HOST, 0)
            await store_server.listening.wait()
            node = test_odd_entries.make_node(
                store_server.port, ports.PortAllocator(FIRST_PORT)
            )
            group.start_soon(target.server.serve, *node.settings.target_address)
            await target.server.listening.wait()
            group.start_soon(node.run)
            await test_odd_entries.wait_until(
                lambda: node.ready and node.control_server.port
            )
            await _announce(node)
            await test_odd_entries.wait_until(
                lambda: node.members.by_service.get("desk")
            )
            client = exchange.Client(*node.settings.outbound_address)
            client.authority = HOST

            async def ask(path: str, *fields: tuple[str, str]) -> int:
                headers = [(header_fields.REQUEST_ID, "r1"), *fields]
                headers.append((header_fields.TENANT, "forged"))
                reply = await client.request("GET", path, 5.0, b"", headers)
                return reply.status

            def make_field(number: int) -> tuple[str, str]:
                return "authorization", f"Bearer {KEYS[number]}"

            assert await ask("/a/x", make_field(0)) == 200
            assert await ask("/a/x", make_field(2)) == 200
            assert await ask("/a/b/x", make_field(0)) == 200
            assert await ask("/a/x") == 401
            assert await ask("/a/x", make_field(3)) == 401
            fake.put("op", "config", make_config(change(0, api_keys=KEYS[3:])))
            await test_odd_entries.wait_until(
                lambda: (
                    node.document.revision
                    and node.document.revision.find_workspace(KEYS[3])
                )
            )
            assert await ask("/a/x", make_field(3)) == 200
            assert await ask("/a/x", make_field(0)) == 401
            await client.close()
            group.cancel_scope.cancel()
    node.datagrams.close()
    names = [_find(head, "TENANT") for head in target.requests]
    assert names == ["hule930", "fida11", "", "hule930"]
    for head in target.requests:
        fields = [name for name, _ in head.headers]
        assert "authorization" not in fields
        assert fields.count(header_fields.TENANT) <= 1
        assert not [name for name in fields if name.startswith("x-waxwing-")]
    refused = [line for line in logs if line["event"] == "request refused"]
    assert [(line["request"], line["reason"]) for line in refused] == [
        ("r1", "key_missing"),
        ("r1", "key_unknown"),
        ("r1", "key_unknown"),
    ]
    assert SECRET not in repr(logs)
    assert SECRET not in node.counters.render()[0].decode()
    assert SECRET not in capsys.readouterr().out


async def _announce(node) -> None:
    heartbeat = copy.deepcopy(test_target_messages.HEARTBEAT)
    host, port = node.settings.target_address
    heartbeat["address"] = f"{host}:{port}"
    heartbeat["info"]["service"] = "desk"
    body = json.dumps(heartbeat).encode()
    assert await test_odd_entries.send_heartbeat(node, body) == 200
