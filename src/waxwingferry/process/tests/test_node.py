"""Tests that IDs differ between node processes."""

import contextlib
import json
import random
import signal

import anyio
import pytest

from waxwingferry.bench import ports
from waxwingferry.process import node
from waxwingferry.process import platform
from waxwingferry.process import settings
from waxwingferry.process.tests import fakes
from waxwingferry.process.tests import logged_process
from waxwingferry.request import claim_results


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


# Results that were still deferred were dropped, and their keys stayed claimed.
@pytest.mark.anyio
async def test_a_stop_waits_for_deferred_results_of_claims(
    monkeypatch,
) -> None:
    """Guards against keys that no one releases after a planned stop."""
    stopped = make_node(ports.PortAllocator())
    table = stopped.table
    assert isinstance(table, fakes.Table)
    claim = claim_results.Claim("claims/k", "c1", "digest")
    claimed = claim.make_row_value(claim_results.CLAIMED)
    await table.transact([platform.Write("claims/k", claimed, 0)])
    writer = stopped.claims.result_writer
    table.down = True
    await writer.write_or_defer(
        claim, claim.make_row_value(claim_results.RELEASED)
    )

    async def restore_table(_: float) -> None:
        table.down = False

    # The platform is back when the calls have ended.
    monkeypatch.setattr(stopped.tasks, "drain", restore_table)
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(writer.run)
            await stopped.stop()
            group.cancel_scope.cancel()
    finally:
        stopped.datagrams.close()
    assert table.value("claims/k")["state"] == claim_results.RELEASED


@contextlib.asynccontextmanager
async def run_node_process(directory):
    """Runs a node process without a platform until the context ends."""
    free_ports = ports.PortAllocator()
    options: dict[str, str | int] = {
        "node": "n0",
        "region": "r1",
        "failure_domain": "d1",
        "platform_url": "http://127.0.0.1:1",
    }
    for name in ("caller", "local", "peer", "admin"):
        options[f"{name}_port"] = free_ports.allocate()
    path = directory / "settings.yaml"
    path.write_text(json.dumps(options))
    async with logged_process.run(
        directory, "waxwingferry.process.node", "--settings_file", str(path)
    ) as process:
        await process.wait_for("node started")
        yield process


# The handlers were removed with the first signal.
@pytest.mark.anyio
async def test_a_second_signal_does_not_end_a_stop(tmp_path) -> None:
    """Guards against a stop that becomes abrupt with the next signal."""
    async with run_node_process(tmp_path) as process:
        process.process.send_signal(signal.SIGTERM)
        await process.wait_for("node stopping")
        process.process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


# SIGHUP had its default action, which ends the process.
@pytest.mark.anyio
async def test_a_reload_does_not_end_a_node(tmp_path) -> None:
    """Guards against requests lost because a node is told to reload."""
    async with run_node_process(tmp_path) as process:
        process.process.send_signal(signal.SIGHUP)
        await process.wait_for(
            "settings not reloaded; restart the process to apply them"
        )
        process.process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
