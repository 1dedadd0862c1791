"""Allocation of loopback ports to concurrent runs on one machine."""

import dataclasses
import fcntl
import pathlib
import socket
import tempfile
import typing

HOST = "127.0.0.1"

# Number of ports that one lock file covers.
BLOCK_SIZE = 100

# Range of allocated ports, END_PORT excluded. From 32768 on, the Linux kernel
# assigns ports to outgoing connections (net.ipv4.ip_local_port_range), so a
# listener could find its port in use by any process at any time.
LOWEST_PORT = 20000
END_PORT = 32700


class PortError(Exception):
    """The first port is out of range, or no free port is left."""


@dataclasses.dataclass(slots=True)
class _Block:
    """Block of ports that this process holds until it ends.

    Attributes:
        lock_file: Its lock file.
        next_port: Port to hand out next, so that the ports of an allocator
            that is gone are used again as late as possible. Their listeners
            may not have started yet, or not have ended.
    """

    lock_file: typing.IO
    next_port: int


_held_blocks: dict[int, _Block] = {}


class PortAllocator:
    """Allocates loopback ports that are free and reserved for this process.

    Each block of ports has a lock file, which the process holds until it ends,
    so that concurrent runs use different blocks. The allocators of a process
    share its blocks: with blocks of their own, the many allocators of a test
    run would have to give them back while their ports may be in use.

    Args:
        first_port: Lowest port to allocate.

    Raises:
        PortError: The first port is outside the allowed range.
    """

    def __init__(self, first_port: int = LOWEST_PORT):
        check_first_port(first_port)
        self.next_block_start = first_port - first_port % BLOCK_SIZE
        self.first_port = first_port
        self.remaining_ports: list[int] = []
        self.directory = pathlib.Path(tempfile.gettempdir(), "waxwingferry")

    def allocate(self) -> int:
        """Returns a free port that was not returned before.

        Raises:
            PortError: No free port is left.
        """
        while True:
            while self.remaining_ports:
                port = self.remaining_ports.pop(0)
                if _is_free(port):
                    block = _held_blocks[port - port % BLOCK_SIZE]
                    block.next_port = port + 1
                    return port
            self.remaining_ports = self._reserve_block()

    def _reserve_block(self) -> list[int]:
        self.directory.mkdir(exist_ok=True)
        while self.next_block_start < END_PORT:
            block_start = self.next_block_start
            self.next_block_start += BLOCK_SIZE
            block = _hold_block(self.directory, block_start)
            if block is None:
                continue
            ports = range(block_start, min(block_start + BLOCK_SIZE, END_PORT))
            ordered = sorted(ports, key=lambda port: port < block.next_port)
            return [port for port in ordered if port >= self.first_port]
        raise PortError(
            f"no free port in the range [{self.first_port}, {END_PORT})"
        )


def _hold_block(directory: pathlib.Path, start: int) -> _Block | None:
    """Returns a block of this process, or None if another process holds it."""
    block = _held_blocks.get(start)
    if block is not None:
        return block
    file = (directory / f"ports-{start}.lock").open("w")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        file.close()
        return None
    block = _held_blocks[start] = _Block(file, start)
    return block


def check_first_port(first_port: int) -> None:
    """Raises a PortError if the port is outside the allowed range."""
    if not LOWEST_PORT <= first_port < END_PORT:
        raise PortError(
            f"first_port = {first_port}: must be from {LOWEST_PORT} to "
            f"{END_PORT - 1}; the kernel gives higher ports to outgoing "
            "connections"
        )


def _is_free(port: int) -> bool:
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=socket_type) as probe:
            if socket_type == socket.SOCK_STREAM:
                # Connections of an earlier listener may still be closing.
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True
