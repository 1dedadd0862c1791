"""A TCP and UDP relay that can close, reset, delay or silence connections.

Forwarded datagrams have the address of the sender's relay as their source, so
that nodes behind relays know each other by one address.
"""

import contextlib
import socket
import struct

import anyio

from waxwingferry.connection import tcp

RECEIVE_BYTES = 65536
# SO_LINGER with a timeout of 0 makes close() send a TCP reset.
_LINGER_RESET = struct.pack("ii", 1, 0)


class _RelayedConnection:
    """Both streams of one relayed connection."""

    def __init__(self, client: tcp.TcpStream, destination: tcp.TcpStream):
        self.client = client
        self.destination = destination
        self.silent = False
        self.scope = anyio.CancelScope()


class Relay:
    """Forwards connections and datagrams to one loopback port.

    Args:
        port: Loopback port to listen on.
        destination_port: Loopback port that connections are forwarded to.
        relays_by_port: Relays by destination port; this one is added.

    Attributes:
        delay_s: Delay before each chunk of bytes is forwarded.
        inbound_open: Set while bytes are forwarded to the destination.
        outbound_open: Set while bytes are forwarded back to the client.
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
        """Relays connections and datagrams until cancelled."""
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
                # Like a network, drops a datagram that can't be forwarded.
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
        """Holds bytes back and drops datagrams in one direction."""
        if inwards:
            self.inbound_open = anyio.Event()
        else:
            self.outbound_open = anyio.Event()

    def unblock(self) -> None:
        """Forwards bytes in both directions again."""
        self.inbound_open.set()
        self.outbound_open.set()

    def silence(self) -> int:
        """Stops forwarding on open connections; returns their number.

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
                # Bytes held back by block() are delivered after unblock().
                await direction_open.wait()
                if connection.silent:
                    # The other end isn't told of a close either.
                    await anyio.sleep_forever()
                await sink.send(data)
        if connection.silent:
            await anyio.sleep_forever()
        connection.scope.cancel()
