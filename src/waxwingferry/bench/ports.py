"""Loopback ports that no two runs on one machine share."""

import fcntl
import pathlib
import socket
import tempfile
import typing

HOST = "127.0.0.1"

# Number of ports that one lock covers; a chosen granularity.
BLOCK_SIZE = 100

# Ports of the search. From 32768 on, the Linux kernel gives ports to outgoing
# connections (net.ipv4.ip_local_port_range), so a listener could find its
# port taken by any process at any moment.
LOWEST_PORT = 20000
END_PORT = 32700


class PortError(Exception):
    """No port could be reserved."""


class Ports:
    """Hands out loopback ports that are free and reserved for this process.

    Each block of ports has a lock file, held until the process ends, so that
    runs beside each other take different blocks.

    Args:
        first_port: Where the search starts.

    Raises:
        PortError: The first port is outside the allowed range.
    """

    def __init__(self, first_port: int = LOWEST_PORT):
        check_first_port(first_port)
        self.next_block_start = first_port - first_port % BLOCK_SIZE
        self.first_port = first_port
        self.remaining_ports: list[int] = []
        self.lock_files: list[typing.IO] = []
        self.directory = pathlib.Path(tempfile.gettempdir(), "waxwingferry")

    def take(self) -> int:
        """Returns a port that nothing listens on.

        Raises:
            PortError: No port is left.
        """
        while True:
            while self.remaining_ports:
                port = self.remaining_ports.pop(0)
                if _is_free(port):
                    return port
            self.remaining_ports = self._reserve_block()

    def _reserve_block(self) -> list[int]:
        self.directory.mkdir(exist_ok=True)
        while self.next_block_start < END_PORT:
            block_start = self.next_block_start
            self.next_block_start += BLOCK_SIZE
            file = (self.directory / f"ports-{block_start}.lock").open("w")
            try:
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                file.close()
                continue
            self.lock_files.append(file)
            block_ports = range(
                block_start, min(block_start + BLOCK_SIZE, END_PORT)
            )
            return [port for port in block_ports if port >= self.first_port]
        raise PortError(f"no free port from {self.first_port} to {END_PORT}")


def check_first_port(first_port: int) -> None:
    """Raises a PortError if a search must not start at this port."""
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
                # A listener may follow one whose connections still close.
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True
