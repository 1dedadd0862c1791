"""Tests that IDs differ between node processes."""

import random

import pytest

from waxwingferry.bench import ports
from waxwingferry.process import node
from waxwingferry.process import settings
from waxwingferry.process.tests import fakes


def make_node(port_allocator: ports.PortAllocator) -> node.Node:
    """Returns a node with a fixed random seed."""
    options = settings.NodeSettings(
        node="n0",
        caller_port=port_allocator.allocate(),
        local_port=port_allocator.allocate(),
        peer_port=port_allocator.allocate(),
        admin_port=port_allocator.allocate(),
        region="r1",
        failure_domain="d1",
        platform_url="http://127.0.0.1:1",
    )
    return node.Node(options, fakes.Table(), random.Random(1), None)  # type: ignore[arg-type]


@pytest.mark.anyio
async def test_equal_seeds_give_different_ids() -> None:
    """Guards against nodes that mistake each other's claims for their own."""
    port_allocator = ports.PortAllocator()
    first, second = make_node(port_allocator), make_node(port_allocator)
    try:
        assert first.incarnation != second.incarnation
        claims = [item.claims.rng.getrandbits(128) for item in (first, second)]
        assert claims[0] != claims[1]
        calls = [item.entry.rng.getrandbits(64) for item in (first, second)]
        assert calls[0] != calls[1]
    finally:
        first.datagrams.close()
        second.datagrams.close()
