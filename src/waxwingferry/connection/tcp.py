"""TCP byte streams for the request path.

anyio's socket streams pause and resume reading around each receive, and yield
to the event loop around each send, which costs a cancel scope each time. The
streams here read ahead up to a limit, and suspend only when they have to
wait. They need anyio's asyncio backend.
"""

import abc
import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import fcntl
import os
import select
import socket
import sys
import termios
from typing import Any

import anyio
import anyio.abc
import structlog

from waxwingferry.connection import budget as budgets
from waxwingferry.connection import early_listeners

READ_AHEAD_BYTES = 65536
# Largest number of bytes received at once. The event loop's own buffer has 256
# kB, so that a few hundred connections could fill the memory at once.
RECEIVE_BUFFER_BYTES = 65536
# Smallest number for connections of clients, if their share of memory is small.
SCARCE_BUFFER_BYTES = 4096
# Received bytes that are not counted in the account, to save time; the memory
# of an idle connection includes them.
UNCOUNTED_BYTES = 4096
# Connections accepted at once, before any of them can be refused.
ACCEPT_BATCH = 64
LISTEN_BACKLOG = 1024

# Received bytes are copied from it before the next receive of any stream.
_receive_buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))

log = structlog.get_logger()


class Stream(anyio.abc.ByteStream):
    """A byte stream with receive timeouts and passive connection checks."""

    @abc.abstractmethod
    async def receive(
        self, max_bytes: int = 65536, timeout_s: float | None = None
    ) -> bytes:
        """Returns the next bytes; raises TimeoutError after timeout_s."""

    @abc.abstractmethod
    def is_open_and_idle(self) -> bool:
        """Tells whether the connection is open and has no unread data."""

    @abc.abstractmethod
    def is_closed_by_peer(self) -> bool:
        """Tells whether the peer has closed, even if data is unread."""

    def has_unacknowledged_data(self) -> bool:
        """Tells whether sent data may not have reached the peer's system."""
        return self.count_unacknowledged_bytes() > 0

    def count_unacknowledged_bytes(self) -> int:
        """Returns the number of sent bytes that the peer's system may lack."""
        return 0


class TcpStream(asyncio.BufferedProtocol, Stream):
    """One TCP connection.

    Args:
        accept: Called with the stream once it is connected.

    Attributes:
        account: Account of the memory that the connection of a client holds,
            or None.
        counted_bytes: Buffered bytes that the account has.
        held_back: Whether reading is stopped for lack of room.
        ended: Whether the peer closed, or the connection failed.
        closed: Whether this side closed the stream, or the connection is gone.
    """

    def __init__(self, accept: Callable[["TcpStream"], Any] | None = None):
        self.accept = accept
        self.transport: Any = None
        self.buffer: collections.deque[bytes] = collections.deque()
        self.buffered_bytes = 0
        self.reading_paused = False
        self.account: budgets.Account | None = None
        self.counted_bytes = 0
        self.held_back = False
        self.ended = False
        self.failed = False
        self.closed = False
        self.receive_waiter: asyncio.Future | None = None
        self.writable = asyncio.Event()
        self.writable.set()

    def connection_made(self, transport: Any) -> None:
        """Sets the transport up to send without delay or buffering."""
        self.transport = transport
        # A send returns once the operating system has accepted all bytes.
        transport.set_write_buffer_limits(0)
        raw_socket = transport.get_extra_info("socket")
        raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.accept is not None:
            self.accept(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where received bytes are put before buffer_updated."""
        account = self.account
        if account is None:
            return _receive_buffer
        budget = account.budget
        if budget.used_bytes > budget.near_bytes:
            return _receive_buffer[:SCARCE_BUFFER_BYTES]
        size = budget.receive_bytes
        if size >= RECEIVE_BUFFER_BYTES:
            return _receive_buffer
        return _receive_buffer[: max(size, SCARCE_BUFFER_BYTES)]

    def buffer_updated(self, nbytes: int) -> None:
        """Buffers received data; pauses reading at the read-ahead limit."""
        self.buffer.append(_receive_buffer[:nbytes].tobytes())
        self.buffered_bytes += nbytes
        waiter = self.receive_waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
        if self.buffered_bytes > UNCOUNTED_BYTES:
            if self.buffered_bytes >= READ_AHEAD_BYTES:
                self._update_reading()
            if self.account is not None:
                self._count_buffer()

    def _count_buffer(self) -> None:
        """Records the bytes that are buffered in the account."""
        assert self.account is not None
        size = self.buffered_bytes
        if size <= UNCOUNTED_BYTES:
            size = 0
        change, self.counted_bytes = size - self.counted_bytes, size
        self.account.change(change)

    def hold_back(self, held_back: bool) -> None:
        """Stops reading for lack of room, or resumes it."""
        self.held_back = held_back
        self._update_reading()

    def _update_reading(self) -> None:
        paused = self.held_back or self.buffered_bytes >= READ_AHEAD_BYTES
        if paused == self.reading_paused or self.closed or self.ended:
            return
        self.reading_paused = paused
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        """Records the peer's end of stream; this side can still send."""
        self.ended = True
        self._wake_receiver()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Records the loss of the connection and wakes waiting tasks."""
        self.ended = True
        self.failed = self.failed or exc is not None
        self.closed = True
        self._wake_receiver()
        self.writable.set()

    def pause_writing(self) -> None:
        """Makes sends wait until the transport can write again."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Lets waiting sends continue."""
        self.writable.set()

    def _wake_receiver(self) -> None:
        if self.receive_waiter is not None and not self.receive_waiter.done():
            self.receive_waiter.set_result(None)

    async def receive(
        self, max_bytes: int = 65536, timeout_s: float | None = None
    ) -> bytes:
        """Returns the next bytes.

        Args:
            max_bytes: Maximum number of bytes returned.
            timeout_s: Longest wait in seconds, or None for no limit.

        Raises:
            TimeoutError: No data arrived in time.
            anyio.EndOfStream: The peer closed its sending side.
            anyio.ClosedResourceError: This side closed the stream.
            anyio.BrokenResourceError: The connection failed.
        """
        while not self.buffer:
            self._check_readable()
            if self.receive_waiter is not None:
                raise anyio.BusyResourceError("reading from")
            loop = asyncio.get_running_loop()
            waiter = self.receive_waiter = loop.create_future()
            timer = None
            if timeout_s is not None:
                timer = loop.call_later(
                    max(timeout_s, 0), self._time_out_receive
                )
            try:
                await waiter
            finally:
                self.receive_waiter = None
                if timer is not None:
                    timer.cancel()
        data = self.buffer.popleft()
        if len(data) > max_bytes:
            self.buffer.appendleft(data[max_bytes:])
            data = data[:max_bytes]
        self.buffered_bytes -= len(data)
        if self.reading_paused:
            self._update_reading()
        if self.counted_bytes:
            self._count_buffer()
        return data

    def _check_readable(self) -> None:
        if self.failed:
            raise anyio.BrokenResourceError
        if self.ended:
            raise anyio.EndOfStream
        if self.closed:
            raise anyio.ClosedResourceError

    def _time_out_receive(self) -> None:
        if self.receive_waiter is not None and not self.receive_waiter.done():
            self.receive_waiter.set_exception(TimeoutError())

    async def send(self, item: bytes, timeout_s: float | None = None) -> None:
        """Sends bytes; returns once the operating system has accepted them.

        Args:
            item: The bytes.
            timeout_s: Longest wait in seconds, or None for no limit.

        Raises:
            TimeoutError: The bytes could not be sent in time.
            anyio.ClosedResourceError: This side closed the stream.
            anyio.BrokenResourceError: The connection failed.
        """
        self._check_writable()
        self.transport.write(item)
        if not self.writable.is_set():
            account = self.account
            if account is not None:
                account.change(len(item))
            try:
                with anyio.fail_after(timeout_s):
                    await self.writable.wait()
            finally:
                if account is not None:
                    account.change(-len(item))
            self._check_writable()

    def _check_writable(self) -> None:
        aborted = self.transport.is_closing() and not self.closed
        if aborted or self.failed or (self.closed and self.ended):
            raise anyio.BrokenResourceError
        if self.closed:
            raise anyio.ClosedResourceError

    async def send_eof(self) -> None:
        """Closes the sending side; receiving remains possible."""
        if not self.closed:
            with contextlib.suppress(OSError):
                self.transport.write_eof()

    async def aclose(self) -> None:
        """Closes the connection immediately, discarding unsent data."""
        self.abort()

    def abort(self) -> None:
        """Does the same as aclose."""
        if not self.closed:
            self.closed = True
            self.transport.abort()
        self._wake_receiver()
        self.writable.set()

    def discard(self) -> None:
        """Closes the connection and releases what was received."""
        self.abort()
        self.buffer.clear()
        self.buffered_bytes = 0

    def refuse(self, response: bytes) -> None:
        """Sends a response that fits the system's buffer, and closes."""
        self.transport.write(response)
        self.closed = True
        self.transport.close()

    def is_open_and_idle(self) -> bool:
        """Tells whether the connection is open and has no unread data."""
        if self.buffer or self.ended or self.closed:
            return False
        return not self.poll(select.POLLIN | select.POLLRDHUP)

    def is_closed_by_peer(self) -> bool:
        """Tells whether the peer has closed, even if data is unread."""
        return self.ended or self.closed or self.poll(select.POLLRDHUP)

    def count_unacknowledged_bytes(self) -> int:
        """See Stream."""
        raw_socket = self.transport.get_extra_info("socket")
        if self.closed or raw_socket.fileno() < 0:
            return 0
        try:
            count = fcntl.ioctl(raw_socket.fileno(), termios.TIOCOUTQ, bytes(4))
        except OSError as error:
            log.debug("length of the send queue not known", error=str(error))
            return 0
        return int.from_bytes(count, sys.byteorder, signed=True)

    def poll(self, events: int) -> bool:
        """Tells whether one of the select.poll events is set on the socket."""
        poller = select.poll()
        raw_socket = self.transport.get_extra_info("socket")
        poller.register(raw_socket.fileno(), events)
        return bool(poller.poll(0))


async def connect(host: str, port: int) -> TcpStream:
    """Opens a connection; raises OSError."""
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(TcpStream, host, port)
    return stream


@dataclasses.dataclass(slots=True, frozen=True)
class Listener:
    """An open listening socket.

    Attributes:
        port: Port that the socket listens on.
        close: Stops listening; accepted connections stay open.
    """

    port: int
    close: Callable[[], None]


@contextlib.asynccontextmanager
async def listen(
    host: str, port: int, accept: Callable[[TcpStream], Any]
) -> AsyncIterator[Listener]:
    """Accepts connections while the context is active.

    Args:
        host: IP address to listen on.
        port: Port to listen on, or 0 for a free one.
        accept: Called with each new connection.
    """
    loop = asyncio.get_running_loop()
    address: dict[str, Any] = {"host": host, "port": port}
    opened = early_listeners.take(host, port)
    if opened is not None:
        address = {"sock": opened}
    server = await loop.create_server(
        lambda: TcpStream(accept), backlog=ACCEPT_BATCH, **address
    )
    # The event loop accepts as many connections at once as its backlog has.
    with socket.socket(fileno=os.dup(server.sockets[0].fileno())) as listener:
        listener.listen(LISTEN_BACKLOG)
    try:
        yield Listener(server.sockets[0].getsockname()[1], server.close)
    finally:
        server.close()
