"""Faults of the relay between two ends."""

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
    """Runs a relay; yields it with both ends of one connection."""
    free = ports.Ports()
    port, to_port = free.take(), free.take()
    made = relay.Relay(port, to_port, {})
    ends: list[tcp.TcpStream] = []
    accepted = anyio.Event()

    def accept(stream: tcp.TcpStream) -> None:
        ends.append(stream)
        accepted.set()

    async with anyio.create_task_group() as group:
        async with tcp.listen(ports.HOST, to_port, accept):
            group.start_soon(made.serve)
            near = await connect(port)
            await near.send(b"a")
            await accepted.wait()
            assert await ends[0].receive() == b"a"
            yield made, near, ends[0]
            await near.aclose()
            await ends[0].aclose()
        group.cancel_scope.cancel()


async def connect(port: int) -> tcp.TcpStream:
    """Connects once the relay listens."""
    while True:
        with contextlib.suppress(OSError):
            return await tcp.connect(ports.HOST, port)
        await anyio.sleep(0.01)


async def test_bytes_are_delayed() -> None:
    """Guards against a delay that does nothing."""
    async with run_relay() as (made, near, far):
        made.delay_s = 0.2
        begin_s = time.monotonic()
        await near.send(b"late")
        assert await far.receive() == b"late"
        assert time.monotonic() - begin_s >= 0.2


@pytest.mark.parametrize("inwards", [True, False])
async def test_one_direction_is_held_up(inwards: bool) -> None:
    """Guards against a cut that takes both ways, or loses bytes."""
    async with run_relay() as (made, near, far):
        made.block(inwards)
        held, open_way = (near, far) if inwards else (far, near)
        await held.send(b"held")
        await open_way.send(b"passes")
        assert await held.receive() == b"passes"
        with pytest.raises(TimeoutError):
            await open_way.receive(timeout_s=0.2)
        made.unblock()
        assert await open_way.receive() == b"held"


async def test_open_connections_are_reset() -> None:
    """Guards against a reset that looks like an orderly close."""
    async with run_relay() as (made, near, far):
        assert made.reset() == 1
        with pytest.raises(anyio.BrokenResourceError):
            await near.receive()
        with pytest.raises(anyio.BrokenResourceError):
            await far.receive()


async def test_a_silent_connection_hides_the_close() -> None:
    """Guards against silence that a close ends."""
    async with run_relay() as (made, near, far):
        assert made.silence() == 1
        await near.send(b"lost")
        await near.aclose()
        with pytest.raises(TimeoutError):
            await far.receive(timeout_s=0.2)
