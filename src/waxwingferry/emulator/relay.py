"""A relay whose connections can be cut, reset, delayed or made silent.

Datagrams are passed on as well, and appear to come from the relay of their
sender, so that nodes behind relays know each other by one address.
"""

import contextlib
import socket
import struct

import anyio

from waxwingferry.connection import tcp

RECEIVE_BYTES = 65536
# SO_LINGER with a time of 0 makes the kernel reset a connection at its close.
_LINGER_RESET = struct.pack("ii", 1, 0)


class _RelayedConnection:
    """Both ends of one relayed connection."""

    def __init__(self, client: tcp.TcpStream, destination: tcp.TcpStream):
        self.client = client
        self.destination = destination
        self.silent = False
        self.scope = anyio.CancelScope()


class Relay:
    """Passes bytes on to one address.

    Args:
        port: Loopback port to listen on.
        destination_port: Loopback port that connections are passed on to.
        relays_by_port: Relays by the port that they pass on to; adds this one.

    Attributes:
        delay_s: Time for which each piece of bytes is held back.
        inbound_open: Set while bytes are passed on to the address.
        outbound_open: Set while bytes are passed back from it.
    """

    def __init__(
        self,
        port: int,
        destination_port: int,
        relays_by_port: "dict[int, Relay]",
    ):
        self.port = port
        self.relays_by_port = relays_by_port
        relays_by_port[destination_port] = self
        self.datagram_socket: socket.socket | None = None
        self.destination_port = destination_port
        self.connections: set[_RelayedConnection] = set()
        self.delay_s = 0.0
        self.inbound_open = anyio.Event()
        self.outbound_open = anyio.Event()
        self.unblock()

    async def serve(self) -> None:
        """Relays connections until cancelled."""
        async with anyio.create_task_group() as group:

            def accept(stream: tcp.TcpStream) -> None:
                group.start_soon(self._serve_connection, stream)

            async with tcp.listen("127.0.0.1", self.port, accept):
                await self._forward_datagrams()

    async def _forward_datagrams(self) -> None:
        with socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        ) as datagram_socket:
            datagram_socket.setblocking(False)
            datagram_socket.bind(("127.0.0.1", self.port))
            self.datagram_socket = datagram_socket
            while True:
                await anyio.wait_readable(datagram_socket)
                # A datagram that can't be passed on is lost, as on any path.
                with contextlib.suppress(OSError):
                    data, (_, from_port) = datagram_socket.recvfrom(
                        RECEIVE_BYTES
                    )
                    sender = self.relays_by_port.get(from_port, self)
                    can_forward = (
                        self.inbound_open.is_set()
                        and sender.outbound_open.is_set()
                    )
                    if sender.datagram_socket is not None and can_forward:
                        address = ("127.0.0.1", self.destination_port)
                        sender.datagram_socket.sendto(data, address)

    def block(self, inwards: bool) -> None:
        """Holds up bytes in one direction, and loses its datagrams."""
        if inwards:
            self.inbound_open = anyio.Event()
        else:
            self.outbound_open = anyio.Event()

    def unblock(self) -> None:
        """Passes bytes on in both directions again."""
        self.inbound_open.set()
        self.outbound_open.set()

    def silence(self) -> int:
        """Stops passing bytes on open connections; returns their number.

        The connections stay open at both ends, and new ones work.
        """
        for connection in self.connections:
            connection.silent = True
        return len(self.connections)

    def cut(self) -> int:
        """Closes all open connections; returns their number."""
        for connection in self.connections:
            connection.scope.cancel()
        return len(self.connections)

    def reset(self) -> int:
        """Resets all open connections; returns their number."""
        for connection in self.connections:
            for stream in (connection.client, connection.destination):
                raw_socket = stream.transport.get_extra_info("socket")
                raw_socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
                )
        return self.cut()

    async def _serve_connection(self, client: tcp.TcpStream) -> None:
        async with client:
            try:
                destination = await tcp.connect(
                    "127.0.0.1", self.destination_port
                )
            except OSError:
                return
            connection = _RelayedConnection(client, destination)
            self.connections.add(connection)
            async with destination:
                with connection.scope:
                    async with anyio.create_task_group() as group:
                        group.start_soon(
                            self._forward, connection, client, destination
                        )
                        group.start_soon(
                            self._forward, connection, destination, client
                        )
            self.connections.discard(connection)

    async def _forward(
        self,
        connection: _RelayedConnection,
        source: tcp.TcpStream,
        sink: tcp.TcpStream,
    ) -> None:
        with contextlib.suppress(
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            while True:
                data = await source.receive(RECEIVE_BYTES)
                await anyio.sleep(self.delay_s)
                direction_open = (
                    self.inbound_open
                    if source is connection.client
                    else self.outbound_open
                )
                # Bytes that a cut held up arrive after it.
                await direction_open.wait()
                if connection.silent:
                    # The other end learns nothing, not even of a close.
                    await anyio.sleep_forever()
                await sink.send(data)
        if connection.silent:
            await anyio.sleep_forever()
        connection.scope.cancel()
