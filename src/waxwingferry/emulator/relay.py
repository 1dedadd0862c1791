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
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class _Pair:
    """Both ends of one relayed connection."""

    def __init__(self, near: tcp.TcpStream, far: tcp.TcpStream):
        self.near = near
        self.far = far
        self.silent = False
        self.scope = anyio.CancelScope()


class Relay:
    """Passes bytes on to one address.

    Args:
        port: Loopback port to listen on.
        to_port: Loopback port that connections are passed on to.
        known: Relays by the port that they pass on to; adds this one.

    Attributes:
        delay_s: Time for which each piece of bytes is held back.
        way_in: Set while bytes are passed on to the address.
        way_out: Set while bytes are passed back from it.
    """

    def __init__(self, port: int, to_port: int, known: "dict[int, Relay]"):
        self.port = port
        self.known = known
        known[to_port] = self
        self.datagrams: socket.socket | None = None
        self.to_port = to_port
        self.open: set[_Pair] = set()
        self.delay_s = 0.0
        self.way_in = anyio.Event()
        self.way_out = anyio.Event()
        self.unblock()

    async def serve(self) -> None:
        """Relays connections until cancelled."""
        async with anyio.create_task_group() as group:

            def accept(stream: tcp.TcpStream) -> None:
                group.start_soon(self._serve_pair, stream)

            async with tcp.listen("127.0.0.1", self.port, accept):
                await self._pass_datagrams()

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
                    passes = self.way_in.is_set() and sender.way_out.is_set()
                    if sender.datagrams is not None and passes:
                        address = ("127.0.0.1", self.to_port)
                        sender.datagrams.sendto(data, address)

    def block(self, inwards: bool) -> None:
        """Holds up bytes in one direction, and loses its datagrams."""
        if inwards:
            self.way_in = anyio.Event()
        else:
            self.way_out = anyio.Event()

    def unblock(self) -> None:
        """Passes bytes on in both directions again."""
        self.way_in.set()
        self.way_out.set()

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

    def reset(self) -> int:
        """Resets all open connections; returns their number."""
        for pair in self.open:
            for stream in (pair.near, pair.far):
                raw = stream.transport.get_extra_info("socket")
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE
                )
        return self.cut()

    async def _serve_pair(self, near: tcp.TcpStream) -> None:
        async with near:
            try:
                far = await tcp.connect("127.0.0.1", self.to_port)
            except OSError:
                return
            pair = _Pair(near, far)
            self.open.add(pair)
            async with far:
                with pair.scope:
                    async with anyio.create_task_group() as group:
                        group.start_soon(self._pass_on, pair, near, far)
                        group.start_soon(self._pass_on, pair, far, near)
            self.open.discard(pair)

    async def _pass_on(
        self,
        pair: _Pair,
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
                way = self.way_in if source is pair.near else self.way_out
                # Bytes that a cut held up arrive after it.
                await way.wait()
                if pair.silent:
                    # The other end learns nothing, not even of a close.
                    await anyio.sleep_forever()
                await sink.send(data)
        if pair.silent:
            await anyio.sleep_forever()
        pair.scope.cancel()
