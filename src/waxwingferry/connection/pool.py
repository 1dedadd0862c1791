"""Pool of persistent connections to one address."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import time

import anyio
import anyio.abc

from waxwingferry.connection import http1
from waxwingferry.connection import tcp

IDLE_TIMEOUT_S = 10.0
# Share of the keep-alive timeout announced by the server during which an idle
# connection is reused.
SERVER_TIMEOUT_SHARE = 0.8
CONNECT_TIMEOUT_S = 1.0


class ConnectError(Exception):
    """A connection could not be opened, so no request was sent."""


def is_refused(error: BaseException | None) -> bool:
    """Returns whether nothing listens at the address of a failed connect."""
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__
    return False


Connect = Callable[[str, int], Awaitable[anyio.abc.ByteStream]]


async def connect_tcp(host: str, port: int) -> anyio.abc.ByteStream:
    """Opens a TCP connection with Nagle's algorithm disabled.

    Raises:
        ConnectError: The connection was refused or timed out, or the address
            is invalid.
    """
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            return await tcp.connect(host, port)
    except (
        OSError,
        OverflowError,
        TimeoutError,
        ValueError,
    ) as error:
        raise ConnectError(
            f"cannot connect to {host}:{port}: {error!r}"
        ) from error


class Pool:
    """Idle connections to one address; each carries one request at a time.

    Args:
        host: IP address or host name of the peer.
        port: Port of the peer.
        connect: Opens a connection.
        clock: Returns monotonic time in seconds.
    """

    def __init__(
        self,
        host: str,
        port: int,
        connect: Connect = connect_tcp,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.host = host
        self.port = port
        self.connect = connect
        self.clock = clock
        self.idle: list[http1.ClientConnection] = []

    async def acquire(
        self,
        limit: Callable[
            [], contextlib.AbstractContextManager
        ] = contextlib.nullcontext,
    ) -> http1.ClientConnection:
        """Returns an idle connection, or opens a new one.

        Idle connections are checked without sending anything: a request sent
        on a connection that the peer has closed would have an unknown
        outcome.

        Args:
            limit: Makes the context in which a connection is opened.

        Raises:
            ConnectError: No connection could be opened.
            TimeoutError: The limit ended it before that was known.
        """
        while self.idle:
            connection = self.idle.pop()
            if (
                not self._is_expired(connection)
                and connection.is_open_and_idle()
            ):
                return connection
            await connection.close()
        with limit():
            stream = await self.connect(self.host, self.port)
        return http1.ClientConnection(stream)

    async def release(self, connection: http1.ClientConnection) -> None:
        """Returns a connection to the pool; closes it if it is not reusable.

        On TCP this does not suspend, so it completes in a cancelled task.
        """
        if not (connection.reusable and connection.ended):
            await connection.close()
            return
        connection.last_used_s = self.clock()
        self.idle.append(connection)
        await self.close_expired()

    async def close_expired(self) -> None:
        """Closes connections that have been idle for too long.

        The most recently released connection is reused first, so without this
        the other connections of a burst would stay open while there is
        traffic.
        """
        while self.idle and self._is_expired(self.idle[0]):
            await self.idle.pop(0).close()

    def _is_expired(self, connection: http1.ClientConnection) -> bool:
        timeout_s = IDLE_TIMEOUT_S
        if connection.server_idle_timeout_s is not None:
            # The server might close the connection while a request is on its
            # way.
            usable_s = connection.server_idle_timeout_s * SERVER_TIMEOUT_SHARE
            timeout_s = min(timeout_s, usable_s)
        return self.clock() - connection.last_used_s > timeout_s

    async def close(self) -> None:
        """Closes all idle connections."""
        while self.idle:
            await self.idle.pop().close()
