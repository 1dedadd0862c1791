"""Connections to one address, kept open between calls."""

from collections.abc import Awaitable
from collections.abc import Callable
import time

import anyio
import anyio.abc

from waxwingferry.connection import http1
from waxwingferry.connection import tcp

IDLE_TIMEOUT_S = 10.0
# Part of the idle time stated by the server for which a connection is used.
SERVER_TIMEOUT_SHARE = 0.8
CONNECT_TIMEOUT_S = 1.0


class ConnectError(Exception):
    """No connection could be opened, so nothing has been sent."""


Connect = Callable[[str, int], Awaitable[anyio.abc.ByteStream]]


async def connect_tcp(host: str, port: int) -> anyio.abc.ByteStream:
    """Opens a TCP connection without delayed sends.

    Raises:
        ConnectError: The peer refused or did not answer in time.
    """
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            return await tcp.connect(host, port)
    except (OSError, TimeoutError) as error:
        raise ConnectError(f"cannot connect to {host}:{port}") from error


class Pool:
    """Idle connections to one address; each carries one call at a time.

    Args:
        host: IP number or name of the peer.
        port: Port of the peer.
        connect: Opens a connection.
        clock: Returns the time in seconds.
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

    async def acquire(self) -> http1.ClientConnection:
        """Returns an idle connection, or opens one.

        Idle connections are checked without sending anything: a request
        sent on one that the other end closed would have an unknown outcome.

        Raises:
            ConnectError: No connection could be opened.
        """
        while self.idle:
            connection = self.idle.pop()
            if not self._is_expired(connection) and connection.is_quiet():
                return connection
            await connection.close()
        stream = await self.connect(self.host, self.port)
        return http1.ClientConnection(stream)

    async def release(self, connection: http1.ClientConnection) -> None:
        """Takes a connection back; closes it unless it is clean.

        On TCP this does not suspend, so it completes in a cancelled task.
        """
        if not (connection.reusable and connection.ended):
            await connection.close()
            return
        connection.last_used_s = self.clock()
        self.idle.append(connection)
        await self.close_expired()

    async def close_expired(self) -> None:
        """Closes connections that were idle for too long.

        The last one released is used first, so after a burst of calls the
        others would stay open for as long as calls go on.
        """
        while self.idle and self._is_expired(self.idle[0]):
            await self.idle.pop(0).close()

    def _is_expired(self, connection: http1.ClientConnection) -> bool:
        timeout_s = IDLE_TIMEOUT_S
        if connection.server_idle_timeout_s is not None:
            # A request must not cross the server's close.
            usable_s = connection.server_idle_timeout_s * SERVER_TIMEOUT_SHARE
            timeout_s = min(timeout_s, usable_s)
        return self.clock() - connection.last_used_s > timeout_s

    async def close(self) -> None:
        """Closes all idle connections."""
        while self.idle:
            await self.idle.pop().close()
