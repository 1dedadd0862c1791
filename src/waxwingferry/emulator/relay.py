"""A relay whose open TCP connections can be cut or made silent.

Datagrams are passed on as well, and appear to come from the relay of their
sender, so that nodes behind relays know each other by one address.
"""

import contextlib
import socket

import anyio
import anyio.abc

from waxwingferry.connection import pool

RECEIVE_BYTES = 65536


class _Pair:
    """Both ends of one relayed connection."""

    def __init__(self, near: anyio.abc.ByteStream):
        self.near = near
        self.far: anyio.abc.ByteStream | None = None
        self.silent = False
        self.scope = anyio.CancelScope()


class Relay:
    """Passes bytes on to one address.

    Args:
        port: Loopback port to listen on.
        to_port: Loopback port that connections are passed on to.
        known: Relays by the port that they pass on to; adds this one.
    """

    def __init__(self, port: int, to_port: int, known: "dict[int, Relay]"):
        self.port = port
        self.known = known
        known[to_port] = self
        self.datagrams: socket.socket | None = None
        self.to_port = to_port
        self.open: set[_Pair] = set()

    async def serve(self) -> None:
        """Relays connections until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        async with listener, anyio.create_task_group() as group:
            group.start_soon(self._pass_datagrams)
            await listener.serve(self._serve_pair)

    async def _pass_datagrams(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as own:
            own.setblocking(False)
            own.bind(("127.0.0.1", self.port))
            self.datagrams = own
            while True:
                await anyio.wait_readable(own)
                # A datagram that can't be passed on is lost, as on any path.
                with contextlib.suppress(OSError):
                    data, (_, from_port) = own.recvfrom(RECEIVE_BYTES)
                    sender = self.known.get(from_port, self)
                    if sender.datagrams is not None:
                        address = ("127.0.0.1", self.to_port)
                        sender.datagrams.sendto(data, address)

    def silence(self) -> int:
        """Stops passing bytes on open connections; returns their number.

        The connections stay open at both ends, and new ones work.
        """
        for pair in self.open:
            pair.silent = True
        return len(self.open)

    def cut(self) -> int:
        """Closes all open connections; returns their number."""
        for pair in self.open:
            pair.scope.cancel()
        return len(self.open)

    async def _serve_pair(self, stream: anyio.abc.SocketStream) -> None:
        pair = _Pair(stream)
        async with stream:
            try:
                far = await pool.connect_tcp("127.0.0.1", self.to_port)
            except pool.ConnectError:
                return
            self.open.add(pair)
            async with far:
                with pair.scope:
                    async with anyio.create_task_group() as group:
                        group.start_soon(self._pass_on, pair, stream, far)
                        group.start_soon(self._pass_on, pair, far, stream)
            self.open.discard(pair)

    async def _pass_on(
        self,
        pair: _Pair,
        source: anyio.abc.ByteStream,
        sink: anyio.abc.ByteStream,
    ) -> None:
        with contextlib.suppress(
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            while True:
                data = await source.receive(RECEIVE_BYTES)
                if pair.silent:
                    # The other end learns nothing, not even of a close.
                    await anyio.sleep_forever()
                await sink.send(data)
        if pair.silent:
            await anyio.sleep_forever()
        pair.scope.cancel()
