"""Crowds of connections that send what no ordinary client sends.

The node is a process of its own with lowered limits. Tests check only what does
not depend on the speed of the machine: that the process lives, that its memory
and descriptors stay under a bound, and that it answers one ordinary request.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import copy
import dataclasses
import fcntl
import os
import pathlib
import re
import tempfile

import anyio

from waxwingferry.bench import ports
from waxwingferry.connection import exchange
from waxwingferry.connection import http1
from waxwingferry.connection import message
from waxwingferry.connection import serve
from waxwingferry.platform import settings_file
from waxwingferry.platform.tests import fake_store
from waxwingferry.platform.tests import test_operator_document
from waxwingferry.platform.tests import test_signals
from waxwingferry.process.tests import logged_process

# Fixed before the limits were implemented.
CONNECTIONS = 60
# Memory that the settings state, and how much more the process may use than
# before the crowd.
MEMORY_MB = 64
GROWTH_MB = 10
MAX_FDS = 280
# More than half of the descriptors that are not reserved for files.
HELD_CONNECTIONS = 60
# Descriptors that the node has besides those of the crowd: listeners, table,
# target and log.
OWN_FDS = 40
# A crowd ends after this time if the node has not closed its connections.
CROWD_S = 5.0
MAX_SENT_BYTES = 4 * 1024 * 1024
ANSWER_TIMEOUT_S = 30.0
HEAD = b"POST /a/x HTTP/1.1\r\nhost: a.example\r\n"
LARGE_ANSWER = b"x" * 200_000


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """What each connection of a crowd sends.

    Attributes:
        first: Bytes sent once.
        repeated: Bytes sent again and again afterwards, or none.
        reads: Whether responses are read.
    """

    first: bytes = b""
    repeated: bytes = b""
    reads: bool = True


class Target:
    """A target that answers at once, with a large answer on one path."""

    def __init__(self):
        # The node adds fields to a head.
        limits = message.Limits(head_bytes=65536)
        self.server = serve.Server(self.handle, limits=limits)

    async def handle(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        """Answers one request."""
        attempt_id = http1.find_header(
            head.headers, "x-waxwingferry-attempt-id"
        )
        headers = [
            ("x-waxwingferry-attempt-id", attempt_id),
            ("x-waxwingferry-instance-id", test_signals.TARGET_ID),
            ("x-waxwingferry-server-load", "0,0,6,100"),
        ]
        while await connection.receive_chunk():
            pass
        body = LARGE_ANSWER if head.target.endswith("/large") else b"whole"
        await connection.send_head(200, headers, body)


@contextlib.contextmanager
def run_alone():
    """Lets one crowd run at a time on this machine."""
    path = pathlib.Path(tempfile.gettempdir(), "waxwingferry-crowd.lock")
    with path.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


@dataclasses.dataclass
class CrowdedNode:
    """A node process with its settings."""

    process: logged_process.LoggedProcess
    settings: settings_file.Settings

    def read_peak_mb(self) -> float:
        """Returns the largest resident memory so far, in MB."""
        status = pathlib.Path(f"/proc/{self.process.process.pid}/status")
        match = re.search(r"VmHWM:\s+(\d+) kB", status.read_text())
        assert match is not None
        return int(match[1]) / 1024

    def count_descriptors(self) -> int:
        """Returns the number of open descriptors."""
        return len(os.listdir(f"/proc/{self.process.process.pid}/fd"))

    async def is_answering(self) -> bool:
        """Sends an ordinary request until it is answered."""
        with anyio.move_on_after(ANSWER_TIMEOUT_S):
            while True:
                with contextlib.suppress(exchange.ExchangeError):
                    reply = await test_signals.request(
                        self.settings.outbound_address, "POST", "/a/x", b"order"
                    )
                    if (reply.status, reply.body) == (200, b"whole"):
                        return True
                await anyio.sleep(0.1)
        return False


@contextlib.asynccontextmanager
async def run_node(directory: pathlib.Path) -> AsyncIterator[CrowdedNode]:
    """Runs a node with lowered limits, its table and its target."""
    fake = fake_store.FakeStore()
    fake.put("op", "config", copy.deepcopy(test_operator_document.CONFIG))
    target, store_server = Target(), fake.make_server(fake.access)
    data = test_signals.make_settings(ports.PortAllocator())
    data["self"]["limits"] = {"memory-mb": MEMORY_MB, "max-fds": MAX_FDS}
    async with anyio.create_task_group() as servers:
        for server in (target.server, store_server):
            servers.start_soon(server.serve, ports.HOST, 0)
            await server.listening.wait()
        data["self"]["app-addr"] = f"{ports.HOST}:{target.server.port}"
        data["provider"]["provider"]["address"] = (
            f"{ports.HOST}:{store_server.port}"
        )
        settings = settings_file.parse(data)
        async with test_signals.run_node(directory, data) as process:
            await process.wait_for("document in force")
            await test_signals.wait_for_readiness(settings, 200)
            await test_signals.announce_target(settings)
            yield CrowdedNode(process, settings)
        servers.cancel_scope.cancel()


async def run_crowd(
    address: tuple[str, int],
    behaviour: Behaviour,
    connections: int = CONNECTIONS,
) -> None:
    """Runs a crowd until it is closed, has sent its bytes or time is up."""
    with anyio.move_on_after(CROWD_S):
        async with anyio.create_task_group() as group:
            for _ in range(connections):
                group.start_soon(_run_connection, address, behaviour)


@contextlib.asynccontextmanager
async def hold_crowd(
    address: tuple[str, int], first: bytes, connections: int
) -> AsyncIterator[None]:
    """Holds connections open that have sent some bytes and nothing more."""
    writers = []
    try:
        for _ in range(connections):
            _, writer = await asyncio.open_connection(*address)
            writers.append(writer)
            writer.write(first)
        yield
    finally:
        for writer in writers:
            writer.transport.abort()


async def _run_connection(
    address: tuple[str, int], behaviour: Behaviour
) -> None:
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(*address)
        try:
            async with anyio.create_task_group() as group:
                if behaviour.reads:
                    group.start_soon(_read_until_closed, reader, group)
                await _send(writer, behaviour)
                if not behaviour.reads or not behaviour.repeated:
                    # Stays silent, so that what it sent is held.
                    await anyio.sleep_forever()
                group.cancel_scope.cancel()
        except* OSError:
            pass
        finally:
            writer.transport.abort()


async def _send(writer: asyncio.StreamWriter, behaviour: Behaviour) -> None:
    writer.write(behaviour.first)
    await writer.drain()
    sent_bytes = 0
    while behaviour.repeated and sent_bytes < MAX_SENT_BYTES:
        writer.write(behaviour.repeated)
        sent_bytes += len(behaviour.repeated)
        await writer.drain()


async def _read_until_closed(reader: asyncio.StreamReader, group) -> None:
    while await reader.read(65536):
        pass
    group.cancel_scope.cancel()
