"""Tests of requests between nodes and of their datagrams."""

import json

import anyio
import pytest

from waxwingferry.connection import serve
from waxwingferry.process.spreading import configuration
from waxwingferry.process.spreading import members
from waxwingferry.process.spreading import peers
from waxwingferry.process.tests import fakes

pytestmark = pytest.mark.anyio

DEEP = b"[" * 5000 + b"]" * 5000
DOCUMENT = {"revision": 7, "document": {}}


@pytest.mark.parametrize(
    "address",
    [("a\x00b", 80), ("127.0.0.1", 70_000), ("127.0.0.1", -1)],
)
def test_a_datagram_to_an_invalid_address_is_counted(address):
    """Guards against a background task that ends by an address it was told."""
    datagrams = peers.DatagramSocket("127.0.0.1", 0)
    try:
        datagrams.send(address, b"x")
        assert datagrams.send_failures == 1
    finally:
        datagrams.close()


async def fetch(body: bytes, method):
    """Returns what a method of the client makes of a peer's response."""

    async def handle(connection, head):
        await connection.send_head(200, [], body)

    server = serve.Server(handle)
    failure: Exception | None = None
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, "127.0.0.1", 0)
        await server.listening.wait()
        address = ("127.0.0.1", server.port)
        try:
            return await method(peers.PeerClient(), address)
        except (peers.PeerError, RecursionError) as error:
            # Raised here, it would become a part of an ExceptionGroup.
            failure = error
        finally:
            group.cancel_scope.cancel()
    assert failure is not None
    raise failure


@pytest.mark.parametrize(
    "body",
    [
        DEEP,
        b'{"revision":7,"document":' + DEEP + b"}",
        b'{"revision":7,"document":' + b"[" * 900 + b"]" * 900 + b"}",
        b'{"revision":7,"document":1e400}',
        b'{"revision":7,"document":NaN}',
        b'{"revision":7,"document":"\xff"}',
        json.dumps({**DOCUMENT, "revision": 10**400}).encode(),
        json.dumps({**DOCUMENT, "revision": -1}).encode(),
        json.dumps({**DOCUMENT, "revision": True}).encode(),
        b"[1]",
        b"",
    ],
)
async def test_an_odd_document_of_a_peer_is_a_peer_error(body):
    """Guards against a fetcher that ends by the response of a peer."""
    with pytest.raises(peers.PeerError):
        await fetch(body, peers.PeerClient.fetch_document)


@pytest.mark.parametrize(
    "body",
    [b'{"rows":' + DEEP + b"}", b'{"rows":[[]]}', b'{"rows":7}', b"{}"],
)
async def test_odd_member_rows_of_a_peer_are_a_peer_error(body):
    """Guards against a fetcher that ends by the response of a peer."""
    with pytest.raises(peers.PeerError):
        await fetch(body, peers.PeerClient.fetch_members)


async def test_a_document_of_a_peer_is_fetched():
    """Guards against sound documents that are refused."""
    body = json.dumps(DOCUMENT).encode()
    assert await fetch(body, peers.PeerClient.fetch_document) == (7, {})


async def test_a_peer_tells_the_row_of_one_node():
    """Guards against a restarted node that loads the rows of all nodes."""
    membership = members.Membership("n0", fakes.Clock())
    membership.apply_all([fakes.make_row(1), fakes.make_row(2)])
    configured = configuration.Configuration(fakes.Table())

    async def handle(connection, head):
        assert peers.is_request_path(head.target)
        await peers.answer_request(
            connection, head.target, configured, membership
        )

    server = serve.Server(handle)
    client = peers.PeerClient()
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, "127.0.0.1", 0)
        await server.listening.wait()
        address = ("127.0.0.1", server.port)
        assert await client.fetch_member(address, "n2") == fakes.make_row(2)
        assert await client.fetch_member(address, "n3") is None
        assert len(await client.fetch_members(address)) == 2
        group.cancel_scope.cancel()
