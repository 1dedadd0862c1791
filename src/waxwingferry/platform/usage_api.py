"""Client of the platform's API for usage reports."""

from collections.abc import Callable
import socket
import struct

import anyio
import anyio.abc
import msgspec
import structlog

from waxwingferry.connection import exchange
from waxwingferry.connection import http1
from waxwingferry.connection import pool
from waxwingferry.connection import tcp
from waxwingferry.process import duties
from waxwingferry.process.usage import reporter
from waxwingferry.process.usage import windows

PATH = "/usage"
HOLDER_HEADER = "x-waxwingferry-duty-holder"
TOKEN_HEADER = "x-waxwingferry-fencing-token"
# The API is allowed to be slow. Waiting for its response is not an act.
RESPONSE_TIMEOUT_S = 10.0
MAX_RESPONSE_BYTES = 64 * 1024
# Refusals of a token that is lower than one seen before.
_TOKEN_REFUSED = frozenset({403, 409, 412})

log = structlog.get_logger()


class UsageApi:
    """Sends reports over one connection at a time.

    Args:
        host: IP address of the API.
        port: Port of the API.
        checks_tokens: Whether the API refuses lower tokens.
        connect: Opens a connection.
        may_act: Returns whether a call may still begin. Asked again once a
            connection is open, since opening it takes time.

    Attributes:
        stream: Stream of the newest connection, or None.
    """

    def __init__(
        self,
        host: str,
        port: int,
        checks_tokens: bool = False,
        connect: pool.Connect = pool.connect_tcp,
        may_act: Callable[[], bool] = lambda: True,
    ):
        self.checks_tokens = checks_tokens
        self.connect = connect
        self.may_act = may_act
        self.stream: anyio.abc.ByteStream | None = None
        self.client = exchange.Client(
            host, port, self._connect, MAX_RESPONSE_BYTES
        )

    async def _connect(self, host: str, port: int) -> anyio.abc.ByteStream:
        self.stream = None
        stream = await self.connect(host, port)
        _discard_on_close(stream)
        self.stream = stream
        if not self.may_act():
            await stream.aclose()
            raise pool.ConnectError("the time to act ended while connecting")
        return stream

    async def send(
        self,
        holding: duties.Holding,
        report: windows.Report,
        arrival_timeout_s: float,
    ) -> reporter.SendResult:
        """Sends one report and waits for the response.

        Args:
            holding: Holder and token that the call names.
            report: The window and its counts.
            arrival_timeout_s: Time within which the call must have arrived.
                If it has not, the connection is reset, so that it can't
                arrive when another node may be the holder.
        """
        headers: http1.Headers = [
            (HOLDER_HEADER, holding.holder),
            (TOKEN_HEADER, str(holding.token)),
            ("content-type", "application/json"),
        ]
        body = msgspec.json.encode(
            {"window-id": report.window, "counts": report.counts}
        )
        reply: exchange.Reply | None = None
        error = "the call did not arrive in time"
        async with anyio.create_task_group() as group:
            group.start_soon(
                self._cancel_unless_arrived,
                arrival_timeout_s,
                group.cancel_scope,
            )
            try:
                reply = await self.client.request(
                    "POST", PATH, RESPONSE_TIMEOUT_S, body, headers
                )
            except exchange.ExchangeError as caught:
                error = str(caught)
            group.cancel_scope.cancel()
        if reply is None:
            await self.client.close()
            log.warning("usage not sent", window=report.window, error=error)
            return reporter.SendResult.FAILED
        return self._classify(report.window, reply)

    async def _cancel_unless_arrived(
        self, timeout_s: float, scope: anyio.CancelScope
    ) -> None:
        await anyio.sleep(max(timeout_s, 0))
        stream = self.stream
        if not isinstance(stream, tcp.Stream) or (
            stream.has_unacknowledged_data()
        ):
            scope.cancel()

    def _classify(
        self, window: int, reply: exchange.Reply
    ) -> reporter.SendResult:
        if reply.status == 200:
            return reporter.SendResult.CONFIRMED
        log.warning("usage refused", window=window, status=reply.status)
        if self.checks_tokens and reply.status in _TOKEN_REFUSED:
            return reporter.SendResult.TOKEN_REFUSED
        return reporter.SendResult.FAILED


def _discard_on_close(stream: anyio.abc.ByteStream) -> None:
    """Makes the system reset the connection when it is closed.

    Otherwise it would go on to send a request that is not acknowledged, which
    could arrive after a cut of the network.
    """
    if isinstance(stream, tcp.TcpStream):
        raw_socket = stream.transport.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
