"""Tests of the faults that the relay injects."""

from collections.abc import AsyncIterator
import contextlib
import time

import anyio
import pytest

from waxwingferry.bench import ports
from waxwingferry.connection import tcp
from waxwingferry.emulator import relay

pytestmark = pytest.mark.anyio


@contextlib.asynccontextmanager
async def run_relay() -> AsyncIterator[
    tuple[relay.Relay, tcp.TcpStream, tcp.TcpStream]
]:
    """Runs a relay; yields it and both ends of one connection."""
    free = ports.PortAllocator()
    port, to_port = free.allocate(), free.allocate()
    running = relay.Relay(port, to_port, {})
    accepted_ends: list[tcp.TcpStream] = []
    accepted = anyio.Event()

    def accept(stream: tcp.TcpStream) -> None:
        accepted_ends.append(stream)
        accepted.set()

    async with anyio.create_task_group() as group:
        async with tcp.listen(ports.HOST, to_port, accept):
            group.start_soon(running.serve)
            client = await connect(port)
            await client.send(b"a")
            await accepted.wait()
            assert await accepted_ends[0].receive() == b"a"
            yield running, client, accepted_ends[0]
            await client.aclose()
            await accepted_ends[0].aclose()
        group.cancel_scope.cancel()


async def connect(port: int) -> tcp.TcpStream:
    """Connects, retrying until the relay listens."""
    while True:
        with contextlib.suppress(OSError):
            return await tcp.connect(ports.HOST, port)
        await anyio.sleep(0.01)


async def test_bytes_are_delayed() -> None:
    """Guards against a delay setting without effect."""
    async with run_relay() as (running, client, server):
        running.delay_s = 0.2
        begin_s = time.monotonic()
        await client.send(b"late")
        assert await server.receive() == b"late"
        assert time.monotonic() - begin_s >= 0.2


@pytest.mark.parametrize("inwards", [True, False])
async def test_blocks_one_direction(inwards: bool) -> None:
    """Guards against blocking both directions, and against lost bytes."""
    async with run_relay() as (running, client, server):
        running.block(inwards)
        blocked_end, open_end = (
            (client, server) if inwards else (server, client)
        )
        await blocked_end.send(b"held")
        await open_end.send(b"passes")
        assert await blocked_end.receive() == b"passes"
        with pytest.raises(TimeoutError):
            await open_end.receive(timeout_s=0.2)
        running.unblock()
        assert await open_end.receive() == b"held"


async def test_resets_open_connections() -> None:
    """Guards against an orderly close in place of a reset."""
    async with run_relay() as (running, client, server):
        assert running.reset() == 1
        with pytest.raises(anyio.BrokenResourceError):
            await client.receive()
        with pytest.raises(anyio.BrokenResourceError):
            await server.receive()


async def test_silenced_connection_hides_a_close() -> None:
    """Guards against forwarding the close of a silenced connection."""
    async with run_relay() as (running, client, server):
        assert running.silence() == 1
        await client.send(b"lost")
        await client.aclose()
        with pytest.raises(TimeoutError):
            await server.receive(timeout_s=0.2)
