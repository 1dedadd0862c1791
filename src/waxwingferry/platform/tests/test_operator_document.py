"""Tests of the conversion of the operator's rows to a revision."""

import copy
from typing import Any

import anyio
import pytest

from waxwingferry.connection import exchange
from waxwingferry.platform import operator_document
from waxwingferry.platform import settings_file
from waxwingferry.platform import store
from waxwingferry.platform.tests import fake_store
from waxwingferry.process import platform

pytestmark = pytest.mark.anyio

BOUNDS = settings_file.Bounds(0.2, 56, 0.1, 50, 1.5, 5)
CONFIG: dict[str, Any] = {
    "version": "r7",
    "services": [
        {
            "name": "desk",
            "health-path": "/health",
            "max-connections": 220,
            "warmup": "3s",
            "warmup-per-s": 6.9,
        },
        {"name": "registry"},
    ],
    "limits": {"max-header-bytes": 16384, "header-timeout": "3000ms"},
    "virtual-hosts": [
        {
            "authority": "A.example",
            "paths": [
                {
                    "name": "r1",
                    "prefix": "/a/",
                    "route-type": "unsafe",
                    "timeout": "1500ms",
                    "target-latency": "800ms",
                    "priority": 1,
                    "service": "desk",
                    "max-attempts": 2,
                },
                {
                    "name": "r2",
                    "prefix": "/a/b/",
                    "route-type": "safe",
                    "timeout": "1.2s",
                    "target-latency": "600ms",
                    "weighted-targets": [
                        {"service": "desk", "weight": 90},
                        {"service": "registry", "weight": 10},
                    ],
                    "max-attempts": 3,
                },
            ],
        }
    ],
}


async def test_a_configuration_is_decoded():
    """Guards against wrong routes, durations and idempotency."""
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", CONFIG)
        document = operator_document.OperatorDocument(table, BOUNDS)
        assert await document.read()
        revision = document.revision
        assert revision is not None
        unsafe_route = revision.match_route("POST", "/a/x?q=1", "a.example")
        assert unsafe_route is not None
        assert (unsafe_route.name, unsafe_route.idempotent) == ("r1", False)
        assert (unsafe_route.deadline_s, unsafe_route.objective_s) == (1.5, 0.8)
        safe_route = revision.match_route("GET", "/a/b/", "a.example")
        assert safe_route is not None
        assert safe_route.idempotent
        assert [part.weight for part in safe_route.weighted_services] == [
            90.0,
            10.0,
        ]
        assert revision.match_route("GET", "/a/", "b.example") is None
        assert revision.services["desk"].warmup_rate_per_s == 6.9
        assert revision.caller_limits.head_s == 3.0


async def test_downloads_may_be_repeated():
    """Guards against downloads that fail without a retry.

    Large responses have a route type of their own and are idempotent.
    """
    config = copy.deepcopy(CONFIG)
    config["virtual-hosts"][0]["paths"][0]["route-type"] = "download"
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", config)
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        assert document.revision is not None
        route = document.revision.match_route("GET", "/a/x", "a.example")
        assert route is not None
        assert route.idempotent


async def test_an_empty_store_is_watched_without_polling():
    """Guards against nodes that poll the store until the first change.

    The version of an empty store is 0, which the watch took for a table that
    was never read: each node read it 85 times in the first 0.6 s.
    """
    async with fake_store.run_store() as (fake, table):
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.watch()
        async with anyio.create_task_group() as group:
            group.start_soon(document.watch)
            fake.put("op", "config", CONFIG)
        assert document.revision is not None
        assert fake.paths_called == ["/-/rows-get", "/-/rows-feed"]


async def test_history_that_stays_expired_is_an_error():
    """Guards against polling without a pause while no history is served."""
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", CONFIG)
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        fake.oldest_kept = fake.version + 1
        with pytest.raises(store.HistoryExpiredError):
            await document.watch()


async def test_an_evacuation_with_an_empty_value_is_applied():
    """Guards against an evacuation that is ignored because its row is empty.

    Rows with an empty value were handled as undecodable, and a failure domain
    got 152 requests after its evacuation.
    """
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", CONFIG)
        fake.put("op", "evacuate/rimouski-b", {})
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        assert document.revision is not None
        assert document.revision.domains_out == {"rimouski-b"}
        fake.remove("op", "evacuate/rimouski-b")
        await document.watch()
        assert document.revision.domains_out == set()


async def test_a_removed_evacuation_is_seen_after_the_history_expired():
    """Guards against an order kept because deleted rows have no version."""
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", CONFIG)
        fake.put("op", "evacuate/a", {})
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        fake.remove("op", "evacuate/a")
        fake.oldest_kept = fake.version
        await document.watch()
        assert document.revision is not None
        assert document.revision.domains_out == set()


async def test_a_rollout_order_has_the_version_of_its_row():
    """Guards against a repeated order handled as already decided."""
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", CONFIG)
        order = {"service": "desk", "target": "v2", "duration": "12s"}
        version = fake.put("op", "rollout/desk", order)
        fake.put("op", "rollout/registry", {"service": "registry"})
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        assert document.revision is not None
        assert list(document.revision.rollouts) == ["desk"]
        rollout_order = document.revision.rollouts["desk"]
        assert (
            rollout_order.version,
            rollout_order.duration_s,
            rollout_order.number,
        ) == (
            "v2",
            12.0,
            version,
        )


async def test_an_invalid_configuration_leaves_the_last_one_in_force():
    """Guards against a node that loses its routes by an invalid document."""
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", CONFIG)
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        number = document.number
        fake.put("op", "config", {"version": "r9"})
        await document.watch()
        assert document.number == number


def make_config(version: str) -> dict[str, Any]:
    """Returns a valid configuration with its own version."""
    return {**copy.deepcopy(CONFIG), "version": version}


def get_config_version(document: operator_document.OperatorDocument) -> str:
    """Returns the version of the configuration in force."""
    assert document.revision is not None
    return document.revision.content["op/config"]["value"]["version"]


async def test_changes_are_in_force_after_a_restore_from_a_copy():
    """Guards against nodes that keep an old document after a restore.

    The versions of the restored store are smaller, so its rows were taken for
    older ones, and each later poll got 410.
    """
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", make_config("r1"))
        backup = fake.copy()
        for number in range(2, 6):
            fake.put("op", "config", make_config(f"r{number}"))
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        number_before = document.number
        fake.restore(backup)
        fake.put("op", "config", make_config("r5"))
        await document.watch()
        assert document.number > number_before
        fake.put("op", "config", make_config("r6"))
        await document.watch()
        assert get_config_version(document) == "r6"


async def test_a_second_restore_is_followed():
    """Guards against handling only the first restore of a process."""
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", make_config("r1"))
        backup = fake.copy()
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        for number in range(2, 8):
            fake.access.status = 503
            with pytest.raises(platform.PlatformError):
                await document.watch()
            fake.access.status = 0
            fake.restore(backup)
            fake.put("op", "config", make_config(f"r{number}"))
            await document.watch()
            assert get_config_version(document) == f"r{number}"


async def test_no_change_is_missed_when_versions_are_given_out_again():
    """Guards against a poll from a version that now stands for another row.

    The response has only the changes after that version.
    """
    async with fake_store.run_store() as (fake, table):
        backup = fake.copy()
        fake.put("op", "config", make_config("r1"))
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        fake.restore(backup)
        fake.put("op", "evacuate/a", {})
        fake.put("op", "config", make_config("r2"))
        await document.watch()
        assert get_config_version(document) == "r2"
        assert document.revision is not None
        assert document.revision.domains_out == {"a"}


async def test_the_poll_after_a_failed_one_does_not_wait():
    """Guards against a poll that waits in a restored store without an answer.

    Its version exists again, and nothing changes after it.
    """
    async with fake_store.run_store() as (fake, table):
        backup = fake.copy()
        fake.put("op", "config", make_config("r1"))
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        fake.access.status = 503
        with pytest.raises(platform.PlatformError):
            await document.watch()
        fake.access.status = 0
        fake.restore(backup)
        fake.put("op", "config", make_config("r2"))
        with anyio.fail_after(5):
            await document.watch()
        assert get_config_version(document) == "r2"


async def test_the_poll_after_expired_history_and_a_failed_read_does_not_wait(
    monkeypatch,
):
    """Guards against changes that are not in force until a poll times out.

    The store was restored between the failed read and the poll, and nothing
    changes after the version that the poll starts from.
    """

    async def fail_to_read(table: str) -> None:
        raise platform.PlatformError(f"no response on {table}")

    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", make_config("r1"))
        backup = fake.copy()
        fake.put("op", "config", make_config("r2"))
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        fake.oldest_kept = fake.version + 1
        with monkeypatch.context() as patch:
            patch.setattr(table, "read_table", fail_to_read)
            with pytest.raises(platform.PlatformError):
                await document.watch()
        fake.oldest_kept = 0
        fake.restore(backup)
        fake.put("op", "config", make_config("r3"))
        with anyio.fail_after(5):
            await document.watch()
        assert get_config_version(document) == "r3"


@pytest.mark.parametrize("source", ["store", "peer"])
async def test_a_config_of_the_copy_does_not_replace_a_newer_one(source):
    """Guards against a confirmed change that is undone by a restored store.

    The copy has an older config until the operator's rows are written again.
    """
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", make_config("r9"))
        backup = fake.copy()
        fake.put("op", "config", make_config("r10"))
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        fake.restore(backup)
        if source == "store":
            await document.watch()
        else:
            content = {"op/config": {"value": make_config("r9"), "version": 1}}
            number = platform.make_version(1, 1)
            assert not document.apply_if_newer(number, content)
        assert get_config_version(document) == "r10"
        fake.put("op", "evacuate/a", {})
        await document.watch()
        assert get_config_version(document) == "r10"
        fake.put("op", "config", make_config("r10"))
        await document.watch()
        assert document.revision is not None
        assert platform.get_era(document.number) == 1
        assert document.revision.domains_out == {"a"}
        fake.put("op", "config", make_config("r12"))
        await document.watch()
        assert get_config_version(document) == "r12"


@pytest.mark.parametrize("version", [None, 7, "seven", "r" + "9" * 400])
async def test_a_config_without_a_number_is_taken_from_the_copy(version):
    """Guards against a node that keeps its document for ever."""
    async with fake_store.run_store() as (fake, table):
        backup = fake.copy()
        fake.put("op", "config", make_config("r2"))
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        fake.restore(backup)
        fake.put("op", "config", {**make_config("r1"), "version": version})
        await document.read()
        assert get_config_version(document) == version


async def test_an_older_config_is_taken_within_an_era():
    """Guards against an operator's order that a node doesn't follow."""
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", make_config("r2"))
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        fake.put("op", "config", make_config("r1"))
        await document.watch()
        assert get_config_version(document) == "r1"


def test_a_document_is_made_before_the_event_loop_runs():
    """Guards against a node that ends as it starts."""
    table = store.StoreTable(exchange.Client("127.0.0.1", 1))
    operator_document.OperatorDocument(table, BOUNDS).interrupt_poll()


@pytest.mark.parametrize("source", ["store", "peer"])
async def test_a_waiting_poll_ends_when_a_restore_is_known(source):
    """Guards against a poll that outlives the store that it was sent to."""
    async with fake_store.run_store() as (fake, table):
        backup = fake.copy()
        fake.put("op", "config", make_config("r1"))
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        table.on_restored = document.interrupt_poll
        with anyio.fail_after(5):
            async with anyio.create_task_group() as group:
                group.start_soon(document.watch)
                await fake.polled.wait()
                fake.restore(backup)
                fake.put("op", "config", make_config("r2"))
                if source == "store":
                    await table.read("members/n1")
                else:
                    assert document.revision is not None
                    document.apply_if_newer(
                        platform.make_version(1, 1),
                        document.revision.content,
                    )
        # The rows that a peer passed on have the same number.
        assert document.version == platform.make_version(1, 1)
        assert document.rows["op/config"]["value"]["version"] == "r2"


async def test_a_document_of_a_peer_from_after_a_restore_is_newer():
    """Guards against a node without the store that ignores newer documents."""
    async with fake_store.run_store() as (fake, table):
        backup = fake.copy()
        fake.put("op", "config", make_config("r1"))
        fake.put("op", "config", make_config("r2"))
        cut_off = operator_document.OperatorDocument(table, BOUNDS)
        await cut_off.read()
        fake.restore(backup)
        fake.put("op", "config", make_config("r3"))
        async with anyio.create_task_group() as group:
            other_table = await fake_store.connect_node(
                fake, fake_store.StoreAccess(), group
            )
            other = operator_document.OperatorDocument(other_table, BOUNDS)
            await other.read()
            group.cancel_scope.cancel()
        assert other.revision is not None
        assert cut_off.apply_if_newer(other.number, other.revision.content)
        assert get_config_version(cut_off) == "r3"


async def test_an_open_order_keeps_its_rank_over_a_restore():
    """Guards against order numbers that go back with the store."""
    async with fake_store.run_store() as (fake, table):
        backup = fake.copy()
        order = {"service": "desk", "target": "v2", "duration": "12s"}
        for number in range(3):
            fake.put("op", "config", make_config(f"r{number}"))
        fake.put("op", "rollout/desk", order)
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        assert document.revision is not None
        before = document.revision.rollouts["desk"].number
        fake.restore(backup)
        fake.put("op", "rollout/desk", order)
        fake.put("op", "config", make_config("r2"))
        await document.watch()
        assert document.revision.rollouts["desk"].number > before


ORDER = {"service": "registry", "target": "v2", "duration": "12s"}


@pytest.mark.parametrize(
    "change",
    [
        {"service": ["registry"]},
        {"service": {}},
        {"service": ""},
        {"target": []},
        {"target": 7},
        {"duration": "9" * 400 + "s"},
        {"duration": "1e999s"},
        {"duration": "-5s"},
        {"duration": 12},
    ],
)
async def test_an_odd_rollout_order_costs_only_itself(change):
    """Guards against an order that hides the configuration and the others."""
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", CONFIG)
        fake.put("op", "rollout/desk", {**ORDER, "service": "desk"})
        fake.put("op", "rollout/registry", {**ORDER, **change})
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        assert document.revision is not None
        assert list(document.revision.rollouts) == ["desk"]
        fake.put("op", "evacuate/a", {})
        await document.watch()
        assert document.revision.domains_out == {"a"}


@pytest.mark.parametrize(
    "config",
    [
        None,
        [],
        {**CONFIG, "limits": [1]},
        {**CONFIG, "services": [{"name": "desk", "warmup-per-s": 10**400}]},
        {**CONFIG, "services": [{"name": ["desk"]}]},
        {**CONFIG, "services": [{"name": "desk", "warmup": "9" * 400 + "s"}]},
        {**CONFIG, "services": [{"name": "desk", "max-connections": 1e400}]},
        {**CONFIG, "virtual-hosts": [{"authority": 7, "paths": [{}]}]},
    ],
)
def test_an_odd_configuration_of_a_peer_is_rejected(config):
    """Guards against a process that ends by a document it can't convert."""
    document = operator_document.OperatorDocument(
        store.StoreTable(exchange.Client("127.0.0.1", 1)), BOUNDS
    )
    content = {"op/config": {"value": config, "version": 3}}
    assert not document.apply_if_newer(3, content)
    assert document.rejected == 3


async def test_an_unchanged_route_is_not_parsed_again(monkeypatch):
    """Guards against changes that cost as much as the whole document.

    A change of one of 1,468 routes took 20 ms of processor time at each node.
    """
    parsed: list[str] = []
    make_route = operator_document._make_route

    def count_route(host, path):
        parsed.append(path["name"])
        return make_route(host, path)

    monkeypatch.setattr(operator_document, "_make_route", count_route)
    config = copy.deepcopy(CONFIG)
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", config)
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        assert sorted(parsed) == ["r1", "r2"]
        config["virtual-hosts"][0]["paths"][1]["timeout"] = "1.5s"
        fake.put("op", "config", config)
        await document.read()
        assert sorted(parsed) == ["r1", "r2", "r2"]
        assert document.revision is not None
        changed = document.revision.match_route("GET", "/a/b/", "a.example")
        assert changed is not None
        assert changed.deadline_s == 1.5
        del config["virtual-hosts"][0]["paths"][0]
        fake.put("op", "config", config)
        await document.read()
        assert len(parsed) == 3
        assert document.revision.match_route("GET", "/a/x", "a.example") is None


async def test_the_table_is_read_once_at_the_start():
    """Guards against a second read by each node of a fleet that starts.

    The start and the watch both read the table if no version is known.
    """
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", CONFIG)
        document = operator_document.OperatorDocument(table, BOUNDS)
        async with anyio.create_task_group() as group:
            group.start_soon(document.read)
            group.start_soon(document.watch)
        assert document.revision is not None
        assert fake.paths_called == ["/-/rows-get"]


async def test_a_change_is_seen_although_connections_went_silent(monkeypatch):
    """Guards against a config that is not in force until a long poll times out.

    The connections to the store went silent without a reset, and all nodes
    went on with the older config for 11.7 s.
    """
    monkeypatch.setattr(operator_document, "PROBE_WAIT_S", 0.05)
    monkeypatch.setattr(operator_document, "PROBE_MARGIN_S", 0.05)
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", make_config("r1"))
        document = operator_document.OperatorDocument(table, BOUNDS)
        document.is_prober = lambda: True
        await document.read()
        with anyio.fail_after(5):
            async with anyio.create_task_group() as group:
                group.start_soon(document.watch)
                await fake.polled.wait()
                fake.silence()
                fake.put("op", "config", make_config("r2"))
        assert get_config_version(document) == "r2"
        assert document.others_may_be_silent()


async def test_a_poll_of_a_silent_store_is_an_error(monkeypatch):
    """Guards against a store outage that is taken for a lost connection."""
    monkeypatch.setattr(operator_document, "PROBE_WAIT_S", 0.01)
    monkeypatch.setattr(operator_document, "PROBE_MARGIN_S", 0.01)
    monkeypatch.setattr(store, "FEED_TIMEOUT_MARGIN_S", 0.05)
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", make_config("r1"))
        document = operator_document.OperatorDocument(table, BOUNDS)
        document.is_prober = lambda: True
        await document.read()
        fake.access.hangs = True
        with pytest.raises(platform.PlatformError):
            await document.watch()
        assert not document.others_may_be_silent()


async def test_missed_changes_replace_a_silent_poll():
    """Guards against a node that learns of each change from peers only.

    A peer knows of a change, and the poll of this node does not deliver it.
    """
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", make_config("r1"))
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        await table.read("members/n1")
        with anyio.fail_after(5):
            async with anyio.create_task_group() as group:
                group.start_soon(document.watch)
                await fake.polled.wait()
                fake.silence()
                fake.put("op", "config", make_config("r2"))
                await document.read_missed_changes()
        assert get_config_version(document) == "r2"
        assert not document.others_may_be_silent()


async def test_a_late_poll_does_not_undo_a_newer_change():
    """Guards against an older config that a late response brings back."""
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", make_config("r1"))
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        assert document.version is not None
        fake.put("op", "config", make_config("r2"))
        changes = await table.read_changes("op", document.version, 0.0)
        fake.put("op", "config", make_config("r3"))
        await document.read_missed_changes()
        assert not document._apply_changes(*changes)
        fake.put("op", "evacuate/a", {})
        await document.watch()
        assert get_config_version(document) == "r3"


@pytest.mark.parametrize("found_by", ["expired history", "read", "peer"])
async def test_a_restore_that_the_store_does_not_state_is_followed(found_by):
    """Guards against changes that no node takes after versions went back.

    Real nodes beside a store that states no era answered 404 on an added route
    until the versions had passed those from before.
    """
    async with fake_store.run_store() as (fake, table):
        fake.states_era = False
        backup = fake.copy()
        for number in range(3):
            fake.put("op", "config", make_config(f"r{number + 1}"))
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        fake.restore(backup)
        fake.put("op", "config", make_config("r4"))
        with anyio.fail_after(5):
            if found_by == "expired history":
                await document.watch()
            elif found_by == "read":
                document.poll_failed = True
                await document.watch()
            else:
                content = {"op/config": {"value": make_config("r4")}}
                number = platform.make_version(1, 1)
                assert document.apply_if_newer(number, content)
                await document.read()
                assert document.version == number
            assert get_config_version(document) == "r4"
            fake.put("op", "config", make_config("r5"))
            await document.watch()
        assert get_config_version(document) == "r5"
        assert table.restores == 1


async def test_overtaken_responses_show_no_restore():
    """Guards against a restore that a slow response is taken for."""
    async with fake_store.run_store() as (fake, table):
        fake.states_era = False
        fake.put("op", "config", make_config("r1"))
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        reply = exchange.Reply(200, [], b'{"rows": [], "ver": 1}')
        fake.put("op", "config", make_config("r2"))
        known_version = table.newest_version
        await document.read()
        table._check_version(reply, known_version)
        assert table.restores == 0


async def test_a_read_that_a_change_overtakes_is_not_applied():
    """Guards against an older config that comes back with the next change.

    The response of a read was late, and a poll delivered a change meanwhile.
    The rows went back while the version stayed.
    """
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", make_config("r1"))
        document = operator_document.OperatorDocument(table, BOUNDS)
        await document.read()
        late = await table.read_table("op")
        fake.put("op", "config", make_config("r2"))
        await document.watch()
        assert not document._replace_rows(*late)
        fake.put("op", "evacuate/a", {})
        await document.watch()
        assert get_config_version(document) == "r2"
        assert document.revision is not None
        assert document.revision.domains_out == {"a"}


async def test_a_long_poll_ends_when_the_node_becomes_a_prober():
    """Guards against silent connections that no node probes for 25 s.

    At the start nodes don't know each other, and none is a prober.
    """
    probers: list[bool] = []
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", make_config("r1"))
        document = operator_document.OperatorDocument(table, BOUNDS)
        document.is_prober = lambda: bool(probers)
        await document.read()
        with anyio.fail_after(5):
            async with anyio.create_task_group() as group:
                group.start_soon(document.watch)
                await fake.polled.wait()
                document.start_probing_if_due()
                assert document.polls_long
                probers.append(True)
                document.start_probing_if_due()
        assert not document.polls_long
        assert fake.paths_called.count("/-/rows-get") == 1
