"""Identities of node processes."""

import random

import pytest

from waxwingferry.process import node
from waxwingferry.process import settings
from waxwingferry.process.tests import fakes

FIRST_PORT = 30900


def make_node(port: int) -> node.Node:
    """Returns a node whose random choices come from a fixed seed."""
    options = settings.NodeSettings(
        node="n0",
        caller_port=port,
        local_port=port + 1,
        peer_port=port + 2,
        admin_port=port + 3,
        region="r1",
        failure_domain="d1",
        platform_url="http://127.0.0.1:1",
    )
    return node.Node(options, fakes.Table(), random.Random(1), None)  # type: ignore[arg-type]


@pytest.mark.anyio
async def test_equal_seeds_give_no_equal_identities() -> None:
    """Guards against two processes that take each other's claims for theirs."""
    first, second = make_node(FIRST_PORT), make_node(FIRST_PORT + 10)
    try:
        assert first.incarnation != second.incarnation
        claims = [item.claims.rng.getrandbits(128) for item in (first, second)]
        assert claims[0] != claims[1]
        calls = [item.entry.rng.getrandbits(64) for item in (first, second)]
        assert calls[0] != calls[1]
    finally:
        first.datagrams.close()
        second.datagrams.close()
