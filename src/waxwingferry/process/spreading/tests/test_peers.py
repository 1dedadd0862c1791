"""Tests of requests between nodes and of their datagrams."""

import pytest

from waxwingferry.process.spreading import peers


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
