"""Load pattern: a crowd that sends endless messages to the admin port.

The crowd, its size and the thresholds were fixed before the bounds of the
administration API were implemented. No test depends on how fast the machine is.
"""

import contextlib
import os
import pathlib
import re

import anyio
import httpx
import pytest

from waxwingferry.bench import cluster
from waxwingferry.bench import ports
from waxwingferry.platform.tests import crowd

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(180)]

CONNECTIONS = 100
# Memory that the settings state, and how much more the process may use than
# before the crowd.
MEMORY_MB = 64
GROWTH_MB = 10
# The default of limits.admin_connections.
ADMIN_CONNECTIONS = 64
# Descriptors that a node may open meanwhile for other connections and files.
OTHER_FDS = 16
ANSWER_TIMEOUT_S = 30.0

DOCUMENT = {
    "services": [
        {
            "name": "near",
            "routes": [
                {
                    "path_prefix": "/near/",
                    "methods": ["GET"],
                    "idempotent": True,
                    "deadline_ms": 10_000,
                }
            ],
        }
    ],
    "failure_domains": [{"name": "d1", "region": "r1"}],
}
HEAD = (
    "PUT /document HTTP/1.1\r\nhost: a.example\r\n"
    f"authorization: Bearer {cluster.ADMIN_TOKEN}\r\n"
).encode()
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
SHORT_LINES = b"a:\r\n" * 1000
PIPELINED = b"GET /metrics HTTP/1.1\r\nhost: a.example\r\n\r\n" * 100

CASES = {
    "head without end": crowd.Behaviour(HEAD + b"a: ", b"v" * 65536),
    "short lines without end": crowd.Behaviour(HEAD, SHORT_LINES),
    "unfinished head, then silence": crowd.Behaviour(HEAD + SHORT_LINES * 3),
    "body announced over the limit": crowd.Behaviour(
        HEAD + b"content-length: 99999999999\r\n\r\n", b"x" * 65536
    ),
    "body without end": crowd.Behaviour(
        CHUNKED, b"10000\r\n" + b"x" * 65536 + b"\r\n"
    ),
    "chunks of one byte": crowd.Behaviour(CHUNKED, b"1\r\nx\r\n" * 10_000),
    "chunk extensions": crowd.Behaviour(CHUNKED + b"1;", b"e" * 65536),
    "trailers": crowd.Behaviour(CHUNKED + b"0\r\n", SHORT_LINES * 16),
    "unfinished body, then silence": crowd.Behaviour(
        HEAD + b"content-length: 524288\r\n\r\n" + b"x" * 500_000
    ),
    "pipelined requests": crowd.Behaviour(repeated=PIPELINED),
    "pipelined requests, not read": crowd.Behaviour(
        repeated=PIPELINED, reads=False
    ),
}


class CrowdedNode:
    """The only node of a cluster, as a process of its own."""

    def __init__(self, running: cluster.Cluster):
        instance = running.instances[0]
        assert instance.node is not None
        self.process = instance.node
        self.caller_port = instance.ports["caller"]
        self.admin_address = (ports.HOST, instance.ports["admin"])

    def read_peak_mb(self) -> float:
        """Returns the largest resident memory so far, in MB."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        match = re.search(r"VmHWM:\s+(\d+) kB", status)
        assert match is not None
        return int(match[1]) / 1024

    def count_descriptors(self) -> int:
        """Returns the number of open descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def is_answering(self) -> bool:
        """Sends ordinary requests until both ports have answered one."""
        pending = [
            f"http://{ports.HOST}:{self.caller_port}/near/x",
            f"http://{ports.HOST}:{self.admin_address[1]}/healthz",
        ]
        with anyio.move_on_after(ANSWER_TIMEOUT_S):
            while pending:
                async with httpx.AsyncClient(trust_env=False) as client:
                    with contextlib.suppress(httpx.HTTPError):
                        if (await client.get(pending[0])).status_code == 200:
                            pending.pop(0)
                            continue
                await anyio.sleep(0.1)
        return not pending

    async def warm_up(self) -> None:
        """Sends one request of each kind, whose code is loaded by it."""
        url = f"http://{ports.HOST}:{self.admin_address[1]}"
        headers = {"authorization": f"Bearer {cluster.ADMIN_TOKEN}"}
        async with httpx.AsyncClient(trust_env=False) as client:
            assert (await client.get(f"{url}/metrics")).status_code == 200
            reply = await client.put(
                f"{url}/document", headers=headers, content=b"x" * 500_000
            )
            assert reply.status_code == 422

    async def closes_connections(self, descriptors: int) -> bool:
        """Waits until at most the given number of descriptors is open."""
        with anyio.move_on_after(ANSWER_TIMEOUT_S):
            while self.count_descriptors() > descriptors:  # noqa: ASYNC110
                await anyio.sleep(0.1)
            return True
        return False


@contextlib.asynccontextmanager
async def run_node():
    """Runs a node with little memory, and its target."""
    limits = {"memory_mb": MEMORY_MB}
    with crowd.run_alone():
        async with cluster.run_cluster(
            {"near": 1}, DOCUMENT, node_settings={"limits": limits}
        ) as running:
            node = CrowdedNode(running)
            await node.warm_up()
            assert await node.is_answering()
            yield node


@pytest.mark.parametrize("behaviour", CASES.values(), ids=CASES.keys())
async def test_a_crowd_on_the_admin_port_neither_ends_nor_fills_the_node(
    behaviour: crowd.Behaviour,
) -> None:
    """Guards against memory and descriptors used up through the admin port."""
    async with run_node() as node:
        before_mb, before_fds = node.read_peak_mb(), node.count_descriptors()
        await crowd.run_crowd(node.admin_address, behaviour, CONNECTIONS)
        assert node.process.poll() is None
        answering = await node.is_answering()
        peak_mb = node.read_peak_mb()
        closed = await node.closes_connections(before_fds + OTHER_FDS)
        print(f"memory: {before_mb:.1f} MB before, peak {peak_mb:.1f} MB")
        print(f"descriptors: {before_fds}, then {node.count_descriptors()}")
    assert answering
    assert peak_mb - before_mb < GROWTH_MB
    assert closed


async def test_a_crowd_of_admin_connections_leaves_descriptors() -> None:
    """Guards against descriptors used up by connections that stay open."""
    async with run_node() as node:
        before_fds = node.count_descriptors()
        async with crowd.hold_crowd(node.admin_address, HEAD, CONNECTIONS):
            answering = await node.is_answering()
            descriptors = node.count_descriptors()
            print(f"descriptors: {before_fds}, then {descriptors}")
    assert answering
    assert descriptors < before_fds + ADMIN_CONNECTIONS + OTHER_FDS
