"""HTTP client for control traffic: small requests and responses in memory."""

import dataclasses

import anyio

from waxwingferry.connection import http1
from waxwingferry.connection import pool

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_INTERIM_RESPONSES = 100


class ExchangeError(Exception):
    """No valid response was received; the request may have been executed."""


class ResponseTimeoutError(ExchangeError):
    """No response, or only a part of it, was received in time."""


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """A complete response."""

    status: int
    headers: http1.Headers
    body: bytes


class Client:
    """Sends requests to one address over persistent connections.

    A connection is not reused after a failed request. After a timeout, the idle
    connections are not reused either: if one of them went silent without a
    reset, all of them may have.

    Args:
        host: IP address of the server.
        port: Port of the server.
        connect: Opens a connection.
        max_body_bytes: Maximum size of a response's body.
    """

    def __init__(
        self,
        host: str,
        port: int,
        connect: pool.Connect = pool.connect_tcp,
        max_body_bytes: int = MAX_BODY_BYTES,
    ):
        self.max_body_bytes = max_body_bytes
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
        """Sends one request and returns its response.

        Raises:
            ResponseTimeoutError: The response did not arrive in time.
            ExchangeError: The connection failed, or the response was invalid or
                too large.
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
                        self.max_body_bytes,
                    )
                except BaseException:
                    connection.reusable = False
                    raise
                finally:
                    await self.pool.release(connection)
        except (http1.ReceiveTimeoutError, TimeoutError) as error:
            await self.close()
            message = f"{method} {self.authority}{target}: {error!r}"
            raise ResponseTimeoutError(message) from error
        except (http1.HttpError, pool.ConnectError) as error:
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
    max_body_bytes: int,
) -> Reply:
    await connection.send_request(method, target, headers, body)
    head = await connection.receive_head(timeout_s)
    interim_count = 0
    while head.status < 200:
        interim_count += 1
        if interim_count > MAX_INTERIM_RESPONSES:
            raise http1.HttpError("too many interim responses")
        head = await connection.receive_head(timeout_s)
    parts: list[bytes] = []
    size = 0
    while chunk := await connection.receive_chunk(timeout_s):
        size += len(chunk)
        if size > max_body_bytes:
            raise http1.HttpError("response body is too large")
        parts.append(chunk)
    return Reply(head.status, head.headers, b"".join(parts))
