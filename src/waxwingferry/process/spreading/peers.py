"""Requests between nodes, and the UDP socket for gossip.

GET /_peer/document -> {"revision", "document"}; 404 if there is none
GET /_peer/members  -> {"rows": [...]}
GET /_peer/members/NODE -> {"rows": [...]}, with the row of that node if known
"""

from collections.abc import Callable
import socket
from typing import Any

import anyio
import msgspec
import structlog

from waxwingferry import decoding
from waxwingferry.connection import exchange
from waxwingferry.connection import http1
from waxwingferry.connection import pool
from waxwingferry.process.spreading import current_document
from waxwingferry.process.spreading import gossip
from waxwingferry.process.spreading import members
from waxwingferry.process.usage import messages

DOCUMENT_PATH = "/_peer/document"
MEMBERS_PATH = "/_peer/members"
FETCH_TIMEOUT_S = 2.0
MAX_DATAGRAMS_PER_WAKEUP = 64
# A reply later than this would be of another time than the question's, and
# several questions must fit into the time that a report may take.
USAGE_TIMEOUT_S = 1.0
# The counts of 1,000 workspaces with names of 200 characters.
MAX_USAGE_REPLY_BYTES = 1024 * 1024
# The largest number that datagrams announce; no later one could be followed.
MAX_REVISION = 2**53

log = structlog.get_logger()


class PeerError(Exception):
    """A peer sent no valid response."""


class PeerClient:
    """Fetches documents and member rows from peers.

    Args:
        connect: Opens a connection.
    """

    def __init__(self, connect: pool.Connect = pool.connect_tcp):
        self.connect = connect
        self.usage_clients: dict[gossip.Address, exchange.Client] = {}

    async def fetch_document(self, address: gossip.Address) -> tuple[int, Any]:
        """Returns the revision number and content of a peer's document.

        Raises:
            PeerError: The peer sent no valid response.
        """
        data = await self._get(address, DOCUMENT_PATH)
        number = data.get("revision")
        if (
            type(number) is not int
            or not 0 < number <= MAX_REVISION
            or "document" not in data
        ):
            raise PeerError(f"{address[0]}:{address[1]}: invalid document")
        return number, data["document"]

    async def fetch_members(
        self, address: gossip.Address
    ) -> list[members.MemberRow]:
        """Returns all member rows of a peer.

        Raises:
            PeerError: The peer sent no valid response.
        """
        return await self._fetch_rows(address, MEMBERS_PATH)

    async def fetch_member(
        self, address: gossip.Address, node: str
    ) -> members.MemberRow | None:
        """Returns the row that a peer has of one node, or None.

        Raises:
            PeerError: The peer sent no valid response.
        """
        rows = await self._fetch_rows(address, f"{MEMBERS_PATH}/{node}")
        return next((row for row in rows if row.node == node), None)

    async def _fetch_rows(
        self, address: gossip.Address, path: str
    ) -> list[members.MemberRow]:
        data = await self._get(address, path)
        try:
            return msgspec.convert(data.get("rows"), list[members.MemberRow])
        except msgspec.ValidationError as error:
            raise PeerError(str(error)) from error

    async def fetch_usage(
        self, address: gossip.Address, question: messages.Question
    ) -> messages.Reply:
        """Returns a peer's reply to a question about usage.

        The connection is kept for the next question.

        Raises:
            PeerError: The peer sent no valid response.
        """
        client = self._get_usage_client(address)
        path = messages.format_question(question)
        try:
            reply = await client.request("GET", path, USAGE_TIMEOUT_S)
            if reply.status != 200:
                raise PeerError(f"{client.authority}{path}: {reply.status}")
            return messages.parse_reply(decoding.decode_json(reply.body))
        except (
            exchange.ExchangeError,
            decoding.DecodingError,
            messages.MessageError,
        ) as error:
            raise PeerError(f"{client.authority}{path}: {error!r}") from error

    async def hand_over_usage(
        self, address: gossip.Address, body: bytes, timeout_s: float
    ) -> None:
        """Hands records of runs over to a peer.

        Raises:
            PeerError: The peer did not confirm them.
        """
        client = exchange.Client(*address, self.connect)
        try:
            reply = await client.request("POST", messages.PATH, timeout_s, body)
        except exchange.ExchangeError as error:
            raise PeerError(f"{client.authority}: {error!r}") from error
        finally:
            await client.close()
        if reply.status != 200:
            raise PeerError(f"{client.authority}: {reply.status}")

    async def keep_usage_clients(self, addresses: set[gossip.Address]) -> None:
        """Closes the connections to nodes that are not asked any more."""
        for address in list(self.usage_clients):
            if address not in addresses:
                await self.usage_clients.pop(address).close()

    def _get_usage_client(self, address: gossip.Address) -> exchange.Client:
        client = self.usage_clients.get(address)
        if client is None:
            client = exchange.Client(
                *address, self.connect, max_body_bytes=MAX_USAGE_REPLY_BYTES
            )
            self.usage_clients[address] = client
        return client

    async def _get(self, address: gossip.Address, path: str) -> dict[str, Any]:
        client = exchange.Client(*address, self.connect)
        try:
            reply = await client.request("GET", path, FETCH_TIMEOUT_S)
            data = None
            if reply.status == 200:
                data = decoding.decode_json(reply.body)
        except (exchange.ExchangeError, decoding.DecodingError) as error:
            raise PeerError(f"{client.authority}{path}: {error!r}") from error
        finally:
            await client.close()
        if not isinstance(data, dict):
            raise PeerError(f"{client.authority}{path}: {reply.status}")
        return data


def is_request_path(path: str) -> bool:
    """Tells whether a path is that of a request between nodes."""
    return path in (DOCUMENT_PATH, MEMBERS_PATH) or path.startswith(
        f"{MEMBERS_PATH}/"
    )


async def answer_request(
    connection: http1.ServerConnection,
    path: str,
    configured: current_document.CurrentDocument,
    membership: members.Membership,
) -> None:
    """Responds to a request for the document or the member rows."""
    while await connection.receive_chunk() is not None:
        pass
    data: dict[str, Any]
    if path != DOCUMENT_PATH:
        _, _, node = path.removeprefix(MEMBERS_PATH).partition("/")
        rows = membership.find_rows(node) if node else membership.all_rows()
        data = {"rows": [msgspec.to_builtins(row) for row in rows]}
    elif configured.revision is None:
        await connection.send_head(404, [], b"no document\n")
        return
    else:
        revision = configured.revision
        data = {"revision": revision.number, "document": revision.content}
    headers = [("content-type", "application/json")]
    await connection.send_head(200, headers, msgspec.json.encode(data))


async def is_alive(
    address: gossip.Address, connect: pool.Connect = pool.connect_tcp
) -> bool:
    """Returns whether a peer accepts a connection."""
    try:
        stream = await connect(*address)
    except pool.ConnectError:
        return False
    await anyio.aclose_forcefully(stream)
    return True


class DatagramSocket:
    """The UDP socket of a node.

    Args:
        host: IP address to bind to.
        port: Port to bind to.
    """

    def __init__(self, host: str, port: int):
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((host, port))
        self.send_failures = 0

    def send(self, address: gossip.Address, data: bytes) -> None:
        """Sends a datagram; failures are counted, not raised."""
        try:
            self.socket.sendto(data, address)
        except (OSError, OverflowError, TypeError, ValueError) as error:
            # All but OSError mean that the address is invalid.
            self.send_failures += 1
            log.debug("datagram not sent", host=address[0], error=repr(error))

    async def run(
        self, receive: Callable[[bytes, gossip.Address], None]
    ) -> None:
        """Calls receive for each datagram until cancelled."""
        while True:
            await anyio.wait_readable(self.socket)
            for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
                try:
                    data, address = self.socket.recvfrom(
                        gossip.MAX_DATAGRAM_BYTES + 1
                    )
                except BlockingIOError:
                    break
                except OSError as error:
                    # ICMP errors for datagrams sent earlier are raised here.
                    log.debug("datagram not delivered", error=str(error))
                    continue
                receive(data, address[:2])

    def close(self) -> None:
        """Closes the socket."""
        self.socket.close()
