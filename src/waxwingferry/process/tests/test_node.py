"""Tests that IDs differ between node processes."""

from collections.abc import AsyncIterator
import contextlib
import json
import random
import signal

import anyio
import pydantic
import pytest

from waxwingferry.bench import ports
from waxwingferry.connection import exchange
from waxwingferry.process import node
from waxwingferry.process import platform
from waxwingferry.process import settings
from waxwingferry.process import signals
from waxwingferry.process.spreading import peers
from waxwingferry.process.tests import fakes
from waxwingferry.process.tests import logged_process
from waxwingferry.request import claim_results

ADMIN_TOKEN = "t" * 16
TIMEOUT_S = 20.0


class HeldTable(fakes.Table):
    """A table whose responses to document reads a test holds back.

    Attributes:
        read_started: Set once a response is held.
        allowed: Set by the test to let all of them go.
    """

    def __init__(self):
        super().__init__()
        self.read_started = anyio.Event()
        self.allowed = anyio.Event()

    async def read(self, key):
        """See platform.Table."""
        self.read_started.set()
        await self.allowed.wait()
        return await super().read(key)


def make_node(
    port_allocator: ports.PortAllocator, table: fakes.Table | None = None
) -> node.Node:
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
        admin_tokens={"operator": pydantic.SecretStr(ADMIN_TOKEN)},
    )
    return node.Node(
        options,
        table or fakes.Table(),
        random.Random(1),
        None,  # type: ignore[arg-type]
    )


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


async def receive_no_signals() -> AsyncIterator[signal.Signals]:
    """Waits until it is cancelled."""
    await anyio.sleep_forever()
    yield signal.SIGTERM


# The administration server was cancelled as soon as the last call had ended.
@pytest.mark.anyio
async def test_a_stop_cuts_off_no_request_of_an_operator(monkeypatch) -> None:
    """Guards against operators who can't know if a change was made."""
    monkeypatch.setattr(
        signals,
        "receive_signals",
        lambda: contextlib.nullcontext(receive_no_signals()),
    )
    table = HeldTable()
    stopped = make_node(ports.PortAllocator(), table)
    replies = []

    async def get_history() -> None:
        client = exchange.Client(ports.HOST, stopped.settings.admin_port)
        headers = [("authorization", f"Bearer {ADMIN_TOKEN}")]
        replies.append(
            await client.request("GET", "/history", TIMEOUT_S, headers=headers)
        )

    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as group:
            group.start_soon(stopped.run)
            address = (ports.HOST, stopped.settings.admin_port)
            while not await peers.is_alive(address):  # noqa: ASYNC110
                await anyio.sleep(0.01)
            await table.read_started.wait()
            table.read_started = anyio.Event()
            group.start_soon(get_history)
            await table.read_started.wait()
            stopped.stop_requested.set()
            await stopped.stopped.wait()
            table.allowed.set()
    assert [item.status for item in replies] == [200]


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
