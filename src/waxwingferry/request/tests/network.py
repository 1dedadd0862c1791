"""An in-memory network that injects connection faults."""

from collections.abc import Callable
import random

import anyio
import anyio.abc

from waxwingferry.connection import pool
from waxwingferry.connection import tcp

CALLER_PORT = 1
# Bytes that a silent connection accepts before sending blocks.
BUFFER_BYTES = 65536


class Stream(tcp.Stream):
    """One end of a connection.

    Attributes:
        fault: "", "cut" (closed), "silent" (bytes are dropped), "late"
            (delivery is delayed), "doubled" (an answer is delivered twice) or
            "crossed" (two answers are swapped).
        fault_after: Bytes delivered in this direction before the fault, or
            messages for "doubled" and "crossed".
        sends_answers: Whether this end sends answers.
    """

    def __init__(
        self, network: "Network", fault: str = "", fault_after: int = 0
    ):
        self.network = network
        self.fault = fault
        self.fault_after = fault_after
        self.sends_answers = False
        self.server = ("", 0)
        self.peer: Stream = self
        self.chunks: list[bytes] = []
        self.ended = False
        self.closed = False
        self.receiving = False
        self.dropped_bytes = 0
        self.frozen: Callable[[], bool] = lambda: False
        self.changed = anyio.Event()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def is_open_and_idle(self) -> bool:
        """See tcp.Stream."""
        return not (self.chunks or self.ended or self.closed)

    def is_closed_by_peer(self) -> bool:
        """See tcp.Stream."""
        return self.ended or self.closed

    async def receive(
        self, max_bytes: int = 65536, timeout_s: float | None = None
    ) -> bytes:
        """Returns the next bytes."""
        if self.receiving:
            raise anyio.BusyResourceError("reading from")
        self.receiving = True
        try:
            with anyio.fail_after(timeout_s):
                return await self._receive()
        finally:
            self.receiving = False

    async def _receive(self) -> bytes:
        while self.frozen() or not self.chunks:
            if self.closed:
                raise anyio.ClosedResourceError
            if self.ended and not self.chunks:
                raise anyio.EndOfStream
            with anyio.move_on_after(0.02 if self.frozen() else None):
                await self.changed.wait()
        return self.chunks.pop(0)

    def deliver(self, data: bytes) -> None:
        """Queues bytes that arrive from the network."""
        self.chunks.append(data)
        self._notify()

    async def send(self, data: bytes) -> None:
        """Sends bytes, subject to the fault of the connection."""
        await anyio.lowlevel.checkpoint()
        while self.frozen():  # noqa: ASYNC110
            await anyio.sleep(0.02)
        if self.closed or self.ended:
            raise anyio.BrokenResourceError
        passed, data = self._split(data)
        if passed:
            self.peer.deliver(passed)
        if not data:
            return
        match self.fault:
            case "cut":
                self.end()
                self.peer.end()
            case "silent":
                self.dropped_bytes += len(data)
                while self.dropped_bytes > BUFFER_BYTES and not self.closed:
                    await self.changed.wait()
            case "late":
                delay_s = self.network.rng.uniform(0.1, 1.2)
                self.network.call_later(delay_s, self.peer.deliver, data)
            case "doubled" if self.sends_answers:
                self.peer.deliver(data)
                self.peer.deliver(data)
            case "crossed" if self.sends_answers:
                self.network.cross(self.peer, data)
            case "doubled" | "crossed":
                self.peer.deliver(data)

    def _split(self, data: bytes) -> tuple[bytes, bytes]:
        """Returns the bytes before the fault and those subject to it."""
        if not self.fault:
            return data, b""
        if self.fault in ("doubled", "crossed"):
            # Whole messages are mixed up; TCP preserves the order of bytes.
            self.fault_after -= 1
            return (data, b"") if self.fault_after >= 0 else (b"", data)
        passed = data[: self.fault_after]
        self.fault_after -= len(passed)
        return passed, data[len(passed) :]

    def end(self) -> None:
        """Signals the end of the data that this end receives."""
        self.ended = True
        self._notify()

    async def send_eof(self) -> None:
        """Not used."""

    async def aclose(self) -> None:
        """Closes the connection; the peer of a silent one isn't notified."""
        if not self.closed:
            self.closed = True
            self._notify()
            if self.fault != "silent":
                self.peer.end()


class Network:
    """Connects in-memory servers.

    Args:
        rng: Random source of all faults.
        group: Runs delayed deliveries and accepted connections.
        fault_rate: Share of connections with a fault.
    """

    def __init__(
        self,
        rng: random.Random,
        group: anyio.abc.TaskGroup,
        fault_rate: float,
    ):
        self.rng = rng
        self.group = group
        self.fault_rate = fault_rate
        self.servers: dict[tuple[str, int], Callable] = {}
        self.faults: dict[str, int] = {}
        self.held_answers: dict[tuple[str, int], tuple[Stream, bytes]] = {}
        self.scripted_faults: dict[int, list[tuple[str, int, int]]] = {}

    def call_later(self, delay_s: float, run: Callable, *args) -> None:
        """Calls a function after a delay."""

        async def wait() -> None:
            await anyio.sleep(delay_s)
            run(*args)

        self.group.start_soon(wait)

    def cross(self, receiver: Stream, data: bytes) -> None:
        """Swaps two answers of one server."""
        other = self.held_answers.pop(receiver.server, None)
        if other is None:
            self.held_answers[receiver.server] = (receiver, data)
            return
        other[0].deliver(data)
        receiver.deliver(other[1])

    def draw_fault(self) -> tuple[str, int, int]:
        """Returns the fault of a new connection and its offset both ways."""
        if self.rng.random() >= self.fault_rate:
            return "", 0, 0
        kinds = ("cut", "silent", "late", "doubled", "crossed")
        fault = self.rng.choice(kinds)
        self.faults[fault] = self.faults.get(fault, 0) + 1
        if fault in ("doubled", "crossed"):
            return fault, 0, self.rng.randrange(4)
        after = self.rng.choice((0, self.rng.randrange(1500)))
        return fault, after, self.rng.choice((after, after // 4))

    async def connect(self, host: str, port: int) -> Stream:
        """Opens a connection; refused for an address without a server."""
        await anyio.lowlevel.checkpoint()
        accept = self.servers.get((host, port))
        if accept is None:
            refused = ConnectionRefusedError()
            raise pool.ConnectError(f"{host}:{port} refused") from refused
        fault, after, answer_after = self.draw_fault()
        if self.scripted_faults.get(port):
            fault, after, answer_after = self.scripted_faults[port].pop(0)
        client = Stream(self, fault, after)
        server = Stream(self, fault, answer_after)
        # Answers on callers' own connections are not mixed up.
        server.sends_answers = port != CALLER_PORT
        client.server = (host, port)
        client.peer, server.peer = server, client
        accept(server)
        return client
