"""Tests of port allocation to concurrent runs."""

from collections.abc import Iterator
import contextlib
import json
import socket
import subprocess
import sys

import pytest

from waxwingferry.bench import main
from waxwingferry.bench import ports
from waxwingferry.process import program

_OTHER_PROCESS = """
from waxwingferry.bench import ports
allocator = ports.PortAllocator()
print([allocator.allocate() for _ in range(3)], flush=True)
input()
"""


@contextlib.contextmanager
def _run_beside(code: str) -> Iterator[list[int]]:
    """Yields the ports that another process printed, while it runs."""
    with subprocess.Popen(
        [sys.executable, "-c", code],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as other:
        assert other.stdout is not None
        yield json.loads(other.stdout.readline())
        other.communicate("\n")


def test_runs_beside_each_other_take_different_ports() -> None:
    """Guards against concurrent runs that allocate the same ports.

    A port that nothing listens on yet looks free to another process, so only
    the lock file of its block keeps the other process away.
    """
    with _run_beside(_OTHER_PROCESS) as other_ports:
        allocator = ports.PortAllocator()
        own_ports = [allocator.allocate() for _ in range(3)]
    assert len(other_ports) == 3
    assert not set(own_ports) & set(other_ports)


_DROPPED_ALLOCATOR = """
import gc
from waxwingferry.bench import ports
print([ports.PortAllocator().allocate() for _ in range(3)], flush=True)
gc.collect()
input()
"""


def test_ports_of_a_dropped_allocator_stay_reserved() -> None:
    """Guards against ports that another run gets before they are bound.

    Tests make an allocator for one call, and their nodes start later.
    """
    with _run_beside(_DROPPED_ALLOCATOR) as other_ports:
        allocator = ports.PortAllocator()
        own_ports = [allocator.allocate() for _ in range(ports.BLOCK_SIZE)]
    assert len(set(other_ports)) == 3
    assert not set(own_ports) & set(other_ports)


@pytest.mark.parametrize("socket_type", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_port_in_use_is_not_handed_out(socket_type: socket.SocketKind) -> None:
    """Guards against allocating a port that another program is bound to."""
    allocator = ports.PortAllocator()
    allocator.allocate()
    with socket.socket(type=socket_type) as holder:
        if socket_type == socket.SOCK_STREAM:
            # Connections of an earlier run may be in TIME_WAIT on the port.
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        port = _bind_first_free(holder, allocator.remaining_ports)
        if socket_type == socket.SOCK_STREAM:
            holder.listen()
        assert allocator.allocate() > port


def _bind_first_free(holder: socket.socket, candidates: list[int]) -> int:
    """Binds a socket to the first port that no other program is bound to."""
    for port in candidates:
        with contextlib.suppress(OSError):
            holder.bind((ports.HOST, port))
            return port
    raise AssertionError("no port of the block is free")


def test_more_ports_than_one_block() -> None:
    """Guards against failure of a cluster that needs more than one block."""
    allocator = ports.PortAllocator()
    allocated_ports = [
        allocator.allocate() for _ in range(ports.BLOCK_SIZE + 5)
    ]
    assert len(set(allocated_ports)) == len(allocated_ports)


def test_port_of_outgoing_connections_is_refused() -> None:
    """Guards against listeners on ports that the kernel assigns to clients."""
    with pytest.raises(ports.PortError, match="first_port = 33000: must be"):
        ports.PortAllocator(33000)


def test_command_names_the_ports_allowed() -> None:
    """Guards against a traceback instead of a usage error."""
    with pytest.raises(program.UsageError, match="must be from 20000"):
        main.run_experiment("operator-race", first_port=33000)
