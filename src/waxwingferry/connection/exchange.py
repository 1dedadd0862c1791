"""Whole exchanges with one address, for control traffic."""

import dataclasses

import anyio

from waxwingferry.connection import http1
from waxwingferry.connection import pool

MAX_BODY_BYTES = 16 * 1024 * 1024


class ExchangeError(Exception):
    """No usable answer came; the request may have been carried out."""


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """A whole answer."""

    status: int
    headers: http1.Headers
    body: bytes


class Client:
    """Sends requests to one address over connections kept open.

    A connection on which an answer failed is closed, never reused.

    Args:
        host: IP number of the server.
        port: Port of the server.
        connect: Opens a connection.
    """

    def __init__(
        self, host: str, port: int, connect: pool.Connect = pool.connect_tcp
    ):
        self.host = host
        self.pool = pool.Pool(host, port, connect)
        self.authority = f"{host}:{port}"

    async def request(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes = b"",
        headers: http1.Headers | None = None,
    ) -> Reply:
        """Returns the answer to one request.

        Raises:
            ExchangeError: None came in time, or it was not whole.
        """
        try:
            with anyio.fail_after(timeout_s):
                connection = await self.pool.acquire()
                try:
                    return await _exchange(
                        connection,
                        method,
                        target,
                        [("host", self.authority), *(headers or [])],
                        body,
                        timeout_s,
                    )
                except BaseException:
                    connection.reusable = False
                    raise
                finally:
                    await self.pool.release(connection)
        except (http1.HttpError, pool.ConnectError, TimeoutError) as error:
            message = f"{method} {self.authority}{target}: {error!r}"
            raise ExchangeError(message) from error

    async def close(self) -> None:
        """Closes all idle connections."""
        await self.pool.close()


async def _exchange(
    connection: http1.ClientConnection,
    method: str,
    target: str,
    headers: http1.Headers,
    body: bytes,
    timeout_s: float,
) -> Reply:
    await connection.send_request(method, target, headers, body)
    head = await connection.receive_head(timeout_s)
    while head.status < 200:
        head = await connection.receive_head(timeout_s)
    parts: list[bytes] = []
    size = 0
    while chunk := await connection.receive_chunk(timeout_s):
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            raise http1.HttpError("the answer is too large")
        parts.append(chunk)
    return Reply(head.status, head.headers, b"".join(parts))
