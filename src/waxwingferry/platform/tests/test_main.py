"""Tests of readiness and of the rate limit during warm-up."""

import copy
import dataclasses
import time

import anyio
import msgspec
import pytest

from waxwingferry import invariants
from waxwingferry.bench import ports
from waxwingferry.connection import exchange
from waxwingferry.platform import header_fields
from waxwingferry.platform import main
from waxwingferry.platform import settings_file
from waxwingferry.platform import start
from waxwingferry.platform.tests import test_settings_file
from waxwingferry.process import breaches
from waxwingferry.process import core
from waxwingferry.process import target
from waxwingferry.process.protection import registration
from waxwingferry.process.spreading import gossip
from waxwingferry.process.spreading import members
from waxwingferry.process.tests import fakes
from waxwingferry.request import calls
from waxwingferry.version import revision

pytestmark = pytest.mark.anyio

READY_PATH = "/-/ready"


@pytest.fixture
def node():
    """A node on loopback without a store to connect to."""
    free_ports = ports.PortAllocator()
    data = copy.deepcopy(test_settings_file.DATA)
    data["self"]["ip"] = ports.HOST
    first_port = free_ports.allocate()
    data["network"]["internal-ports"] = [first_port, first_port + 1]
    for purpose in data["network"]["listen"]:
        data["network"]["listen"][purpose] = (
            f"{ports.HOST}:{free_ports.allocate()}"
        )
    store_address = f"{ports.HOST}:{free_ports.allocate()}"
    data["provider"]["provider"]["address"] = store_address
    node = main.PlatformNode(settings_file.parse(data))
    yield node
    node.datagrams.close()


def apply_document(node: main.PlatformNode, warmup_rate_per_s: float) -> None:
    """Sets the node's document and announces its target."""
    service = revision.Service(
        "desk", warmup_rate_per_s=warmup_rate_per_s, warmup_s=3.0
    )
    node.document.revision = revision.Revision(1, {}, [], {"desk": service})
    node.receiver.apply_announcement(
        target.Announcement(
            service="desk",
            version="v1",
            slots=6,
            host=ports.HOST,
            port=1,
            incarnation="i-1:1",
        )
    )


async def request_readiness(node: main.PlatformNode) -> int:
    """Returns the status of a readiness check."""
    async with anyio.create_task_group() as group:
        group.start_soon(node.readiness_server.serve, ports.HOST, 0)
        await node.readiness_server.listening.wait()
        client = exchange.Client(ports.HOST, node.readiness_server.port)
        reply = await client.request("GET", READY_PATH, 2.0)
        group.cancel_scope.cancel()
    return reply.status


@pytest.mark.parametrize(
    ("service", "port_offset", "expected"),
    [
        ("desk", 0, True),
        ("huvo11a", 0, True),
        ("unnamed", 0, False),
        ("desk", 1, False),
    ],
)
async def test_only_heartbeats_of_the_local_target_are_used(
    node, service, port_offset, expected
):
    """Guards against another writer's heartbeat that replaces the target."""
    apply_document(node, 6.9)
    host, port = node.settings.target_address
    announcement = target.Announcement(
        service, "v1", 6, host, port + port_offset, "i-2:9"
    )
    assert node.is_local_target(announcement) is expected


async def test_a_node_without_a_document_is_not_ready(node):
    """Guards against callers directed to a node without routes."""
    node.ready = True
    assert await request_readiness(node) == 503


async def test_a_node_with_a_document_is_ready(node):
    """Guards against a working node that reports that it is not ready."""
    node.ready = True
    apply_document(node, 6.9)
    assert await request_readiness(node) == 200


async def test_a_stopping_node_is_not_ready(node):
    """Guards against callers directed to a node that is stopping."""
    node.ready = True
    apply_document(node, 6.9)
    node.stop_requested.set()
    assert await request_readiness(node) == 503


# A reload during the stop changed nothing for it.
@pytest.mark.parametrize("during_stop", [False, True])
async def test_a_stop_keeps_to_a_reloaded_time(node, monkeypatch, during_stop):
    """Guards against calls cut off by a kill that is earlier than expected."""
    settings = dataclasses.replace(node.settings, stop_grace_s=3.0)
    assert node.settings.stop_grace_s == 6.0
    monkeypatch.setenv(settings_file.PATH_VARIABLE, "settings.toml")
    monkeypatch.setattr(settings_file, "load", lambda _: settings)
    if during_stop:
        await node.leave()
    node.reload()
    if not during_stop:
        await node.leave()
    assert calls.Deadline(node.entry.cutoff.at_s).remaining_s() < 3.0


# All calls of a node that stopped by itself were ended after the grace time.
@pytest.mark.parametrize(
    ("is_signalled", "expected_s"),
    [(False, breaches.DRAIN_LIMIT_S), (True, 6.0)],
)
async def test_only_a_signal_to_stop_begins_the_grace_time(
    node, is_signalled, expected_s
):
    """Guards against calls that are ended although no kill is near."""
    node.breaches.record(invariants.BrokenPromiseError("place"))
    await node.leave()
    if is_signalled:
        node.record_stop_signal()
    left_s = calls.Deadline(node.entry.cutoff.at_s).remaining_s()
    assert expected_s - 2.0 < left_s + core.STOP_RESERVE_S <= expected_s


async def test_calls_state_the_service_of_the_reloaded_settings(
    node, monkeypatch
):
    """Guards against calls that state the earlier service of their VM.

    A target of another service had taken over the address, and the settings
    had changed with a signal.
    """
    monkeypatch.setenv(settings_file.PATH_VARIABLE, "settings.toml")
    settings = dataclasses.replace(node.settings, service="other")
    monkeypatch.setattr(settings_file, "load", lambda _: settings)
    node.reload()
    headers = node.entry.protocol.prepare_request_headers([])
    assert headers == [(header_fields.CALLER_SERVICE, "other")]


async def test_the_warmup_rate_stays_below_the_bound_of_the_platform(node):
    """Guards against a rate that leaves no margin for bunched requests."""
    apply_document(node, 6.9)
    bounds = node.settings.bounds
    max_rate_per_s = 6.9 * bounds.warmup_rate_factor + bounds.warmup_rate_slack
    assert 6.9 < node.get_warmup_rate() <= max_rate_per_s - 2


async def test_without_a_configured_rate_the_warmup_rate_is_zero(node):
    """Guards against a rate that is derived from the slack alone."""
    apply_document(node, 0.0)
    assert node.get_warmup_rate() == 0.0


async def test_a_restore_of_the_store_reaches_all_owners_of_state(node):
    """Guards against a part of the node that a restore leaves behind."""
    node.store.on_restored()
    assert node.lease.may_be_lost
    assert node.rollouts.restore_pending
    assert not node.rollouts.decisions_current


@pytest.mark.parametrize(
    ("incarnation", "slowness"),
    [("", 3.0), (fakes.make_row(1).incarnation, 3.0), ("another", 1.0)],
)
async def test_loads_of_another_process_are_ignored(
    node, incarnation, slowness
):
    """Guards against requests to a process that has been replaced.

    Load pattern: all nodes restart after a loss of power, and reply before
    their new rows are known. Each request was refused by several of them.
    """
    node.members.apply(fakes.make_row(1))
    push = gossip.LoadPush("n1", 0, 0, 6, 300, incarnation=incarnation)
    node.record_load_push(push)
    assert node.members.candidates["n1"].load.slowness == slowness


async def test_a_node_is_ready_while_a_peer_does_not_respond(node, monkeypatch):
    """Guards against a restarted node that is late because a peer is gone."""

    async def do_nothing():
        pass

    monkeypatch.setattr(node.synchronizer, "load_initial_state", do_nothing)
    monkeypatch.setattr(node.synchronizer, "load_own_row", anyio.sleep_forever)
    monkeypatch.setattr(node, "load_decisions", do_nothing)
    announced = anyio.Event()
    monkeypatch.setattr(node, "announce", announced.set)
    with anyio.fail_after(5):
        async with anyio.create_task_group() as group:
            group.start_soon(node.join)
            await announced.wait()
            group.cancel_scope.cancel()
    assert node.ready


def restart_beside_target(
    node: main.PlatformNode, monkeypatch, status: int, warmup_ms: int = 0
) -> None:
    """Lets the node find a ready row of its predecessor in the table.

    Args:
        node: The node that starts.
        monkeypatch: The pytest fixture.
        status: Status of the target's health path.
        warmup_ms: Time for which the target is cold.
    """
    service = revision.Service(
        "desk", health_path="/health", warmup_rate_per_s=20.0, warmup_s=3.0
    )
    node.document.revision = revision.Revision(1, {}, [], {"desk": service})
    row = fakes.make_row(1, target="i-1:7", incarnation="earlier")
    node.members.apply(msgspec.structs.replace(row, node=node.settings.node))
    headers = [
        (header_fields.TARGET_ID, "i-1"),
        (header_fields.WARMUP_MS, str(warmup_ms)),
    ]
    reply = exchange.Reply(status, headers, b"")

    async def respond(*_):
        return reply

    monkeypatch.setattr(node.target_client, "request", respond)


def takes_work(node: main.PlatformNode) -> bool:
    """Returns whether the node would send a request to its target."""
    return node.receiver.find_closed_reason() is None


def make_report(node: main.PlatformNode) -> registration.Heartbeat:
    """Returns a heartbeat of the target that was there before the restart."""
    announcement = target.Announcement(
        "desk", "v1", 6, *node.settings.target_address, "i-1:7"
    )
    return registration.Heartbeat("i-1", 7, 40, 0.0, announcement)


# The leave was confirmed without the table; all nodes that knew were killed.
async def test_a_stored_row_does_not_outweigh_a_target_that_leaves(
    node, monkeypatch
):
    """Guards against requests to a target whose confirmed leave was forgotten.

    48 of them ran 6 to 16 s after the confirmation.
    """
    restart_beside_target(node, monkeypatch, status=503)
    with anyio.move_on_after(0.1):
        await node.restore_target()
    assert not takes_work(node)


# A health path may be wrong, and the leave may have been seen by nobody alive.
async def test_a_restored_target_that_does_not_report_gets_no_more_work(
    node, monkeypatch
):
    """Guards against a forgotten leave of a target that seems healthy."""
    monkeypatch.setattr(registration, "REPORT_WAIT_S", 0.0, raising=False)
    restart_beside_target(node, monkeypatch, status=200)
    await node.restore_target()
    assert not takes_work(node)
    node.ready = True
    await node.registration.handle_heartbeat(make_report(node))
    assert takes_work(node)
    assert node.members.own is not None
    assert node.members.own.state == "ready"


@pytest.mark.parametrize("status", [200, 503])
async def test_a_restored_target_that_reports_gets_work(
    node, monkeypatch, status
):
    """Guards against a sound target that is given up after a restart."""
    monkeypatch.setattr(registration, "REPORT_WAIT_S", 0.05, raising=False)
    restart_beside_target(node, monkeypatch, status)
    async with anyio.create_task_group() as group:
        group.start_soon(node.restore_target)
        await anyio.wait_all_tasks_blocked()
        assert takes_work(node) is (status == 200)
        await node.registration.handle_heartbeat(make_report(node))
    assert takes_work(node)


async def test_a_restored_target_that_is_waited_for_can_leave(
    node, monkeypatch
):
    """Guards against a leave that a restarted node never announces."""
    monkeypatch.setattr(registration, "CONFIRM_WAIT_S", 0.01)
    node.ready = True
    restart_beside_target(node, monkeypatch, status=503)
    with anyio.move_on_after(0.1):
        await node.restore_target()
    await node.registration.handle_deregistration("i-1")
    assert node.members.own is not None
    assert node.members.own.state == "draining"


# A planned removal: the target drains, then its node gets SIGTERM.
async def test_a_node_whose_target_drains_announces_that_it_stops(node):
    """Guards against a removed node that counts as a member for an hour."""
    apply_document(node, 6.9)
    node.ready = True
    node.announce()
    other = members.Membership("zz", fakes.Clock())
    other.announce(msgspec.structs.replace(fakes.make_row(1), node="zz"))
    assert node.receiver.link is not None
    node.receiver.apply_announcement(
        msgspec.structs.replace(
            node.receiver.link.announcement, state="draining"
        )
    )
    await node.leave()
    assert node.members.own is not None
    assert node.members.own.state == "draining"
    other.apply(node.members.own)
    assert not other.is_live(node.settings.node, node.incarnation)
    assert not node.members.is_prober()


def find_dispatch_delay_s(node: main.PlatformNode) -> float:
    """Returns the time until the target may get its next request."""
    admission = node.receiver.admission
    assert admission is not None
    due_s = admission.limit.find_dispatch_time_s()
    return max(due_s - time.monotonic(), 0.0)


# The killed process had used up the rate of the second; its successor used it
# up once more.
@pytest.mark.parametrize(("warmup_ms", "waits"), [(2500, True), (0, False)])
async def test_a_cold_target_gets_its_rate_once_over_a_restart(
    node, monkeypatch, warmup_ms, waits
):
    """Guards against twice the warm-up rate when a node is killed (FAILBACK).

    A cold target that bears 20 requests a second got 58 in one.
    """
    monkeypatch.setattr(start, "BEGAN_S", time.monotonic(), raising=False)
    restart_beside_target(node, monkeypatch, 200, warmup_ms)
    with anyio.move_on_after(0.1):
        await node.restore_target()
    delay_s = find_dispatch_delay_s(node)
    assert (0.5 < delay_s <= 1.0) if waits else delay_s == 0
    # What can't be sent before its deadline is refused at once.
    admission = node.receiver.admission
    wait_s = admission.limit.estimate_rate_limit_wait_s(0)
    assert (wait_s > 0.5) is waits


async def test_a_cold_target_that_started_with_its_node_gets_work_at_once(
    node, monkeypatch
):
    """Guards against a second without work after a loss of power."""
    monkeypatch.setattr(start, "BEGAN_S", time.monotonic(), raising=False)
    monkeypatch.setattr(start, "BEGAN_UNIX_S", time.time(), raising=False)
    restart_beside_target(node, monkeypatch, status=200)
    host, port = node.settings.target_address
    incarnation = f"i-2:{time.time() * 1000:.0f}"
    announcement = target.Announcement("desk", "v1", 6, host, port, incarnation)
    await node.registration.handle_heartbeat(
        registration.Heartbeat("i-2", 9, 1, 3.0, announcement)
    )
    assert node.receiver.admission.limit.is_cold()
    assert find_dispatch_delay_s(node) == 0


async def test_the_window_of_an_earlier_process_is_waited_out_once(
    node, monkeypatch
):
    """Guards against a cold target that gets nothing after that window."""
    monkeypatch.setattr(
        start, "BEGAN_S", time.monotonic() - 1.01, raising=False
    )
    restart_beside_target(node, monkeypatch, 200, warmup_ms=2500)
    with anyio.move_on_after(0.1):
        await node.restore_target()
    assert find_dispatch_delay_s(node) == 0
