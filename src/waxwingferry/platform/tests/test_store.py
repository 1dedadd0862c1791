"""Tests of conditions, paging, change polls and failures of the store."""

import anyio
import pytest
import structlog.testing

from waxwingferry.platform import reported_rows
from waxwingferry.platform import store
from waxwingferry.platform.tests import fake_store
from waxwingferry.process import platform

pytestmark = pytest.mark.anyio


async def test_rows_are_read_and_written():
    """Guards against keys and values that are changed by the conversion."""
    async with fake_store.run_store() as (_, table):
        write = platform.Write("members/n1", {"slots": 6}, 0)
        versions = await table.transact([write])
        row = await table.read("members/n1")
        assert row == platform.Row("members/n1", {"slots": 6}, versions[0])
        assert await table.read("members/n2") is None


async def test_a_failed_condition_writes_nothing():
    """Guards against a 412 handled as a failure with unknown outcome."""
    async with fake_store.run_store() as (fake, table):
        version = fake.put("members", "n1", {"slots": 6})
        write = platform.Write("members/n1", {"slots": 9}, 0)
        with pytest.raises(platform.ConflictError) as caught:
            await table.transact([write])
        assert caught.value.row is not None
        assert caught.value.row.version == version


async def test_all_pages_of_a_table_are_read():
    """Guards against members missing after the first page."""
    async with fake_store.run_store() as (fake, table):
        for number in range(7):
            fake.put("members", f"n{number}", {"slots": 6})
        rows = await table.scan("members/")
        assert [row.key for row in rows] == [f"members/n{n}" for n in range(7)]


async def test_an_undecodable_row_has_no_value():
    """Guards against a crash on a row that another program wrote."""
    async with fake_store.run_store() as (fake, table):
        fake.put("members", "n1", b"\xff\x00")
        fake.put("members", "n2", b"[1]")
        rows = await table.scan("members/")
        assert [row.value for row in rows] == [None, None]


ODD_VALUES = {
    "deep": b'{"x":' + b"[" * 5000 + b"]" * 5000 + b"}",
    "deeper than its reader": b'{"x":' + b"[" * 900 + b"]" * 900 + b"}",
    "long number": b'{"slots":' + b"9" * 5000 + b"}",
    "infinite": b'{"slots":1e400}',
    "not a number": b'{"slots":NaN}',
    "invalid text": b'{"service":"\xff"}',
    "half a pair": b'{"service":"\\ud800"}',
    "empty": b"",
    "huge": b"[" + b"1," * 20_000 + b"1]",
}


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=list(ODD_VALUES))
async def test_an_odd_row_costs_only_itself(value):
    """Guards against one row that hides the others or ends their reader."""
    async with fake_store.run_store() as (fake, table):
        first_version = fake.put("members", "n1", {"slots": 6})
        fake.put("members", "n2", value)
        fake.put("members", "n3", {"slots": 7})
        found = {row.key: row for row in await table.scan("members/")}
        assert found["members/n1"].value == {"slots": 6}
        assert found["members/n3"].value == {"slots": 7}
        assert found["members/n2"].value is None
        assert found["members/n2"].malformed
        changes, version = await table.read_changes("members", first_version)
        assert [row.key for row in changes] == ["members/n2", "members/n3"]
        assert version == fake.version


async def test_an_odd_row_is_reported_once_per_version():
    """Guards against a log line and a count for each read of the row."""
    async with fake_store.run_store() as (fake, table):
        reports = []
        table.on_malformed = lambda: reports.append(1)
        fake.put("members", "n1", b"\xff")
        with structlog.testing.capture_logs() as lines:
            for _ in range(3):
                await table.scan("members/")
            assert len(reports) == 1
            fake.put("members", "n1", b"[1]")
            await table.scan("members/")
        assert len(reports) == 2
        assert [line["key"] for line in lines] == ["members/n1"] * 2


async def test_a_deeply_nested_response_is_a_platform_error(monkeypatch):
    """Guards against a reader that ends on a response it can't decode."""
    async with fake_store.run_store() as (_, table):
        nested = b'{"x":' + b"[" * 5000 + b"]" * 5000 + b"}"
        monkeypatch.setattr(fake_store.json, "dumps", lambda _: nested.decode())
        with pytest.raises(platform.PlatformError):
            await table.read_table("members")


@pytest.mark.parametrize("status", [429, 503, 500])
async def test_an_error_status_is_a_platform_error(status):
    """Guards against a refused request handled as a missing row."""
    async with fake_store.run_store() as (fake, table):
        fake.access.status = status
        with pytest.raises(platform.PlatformError):
            await table.read("members/n1")


async def test_a_lost_response_leaves_the_outcome_unknown():
    """Guards against waiting forever and against assuming no write."""
    async with fake_store.run_store() as (fake, table):
        fake.access.drop_responses = True
        with pytest.raises(platform.PlatformError):
            await table.transact([platform.Write("status/a", {}, 0)])
        assert ("status", "", "a") in fake.rows


async def test_a_missing_response_is_a_platform_error():
    """Guards against a task that waits forever for an unresponsive store."""
    async with fake_store.run_store() as (fake, table):
        fake.access.hangs = True
        with pytest.raises(platform.PlatformError):
            await table.read("members/n1")


async def test_an_outage_of_one_node_leaves_the_others_served():
    """Guards against state shared between clients."""
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", {})
        failing_access = fake_store.StoreAccess(status=503)
        async with anyio.create_task_group() as group:
            other = await fake_store.connect_node(fake, failing_access, group)
            with pytest.raises(platform.PlatformError):
                await other.read_table("op")
            assert (await table.read_table("op"))[1] == fake.version
            failing_access.status = 0
            assert (await other.read_table("op"))[1] == fake.version
            group.cancel_scope.cancel()


async def test_a_late_write_does_not_undo_a_newer_one():
    """Guards against a delayed write that overwrites a decision."""
    async with fake_store.run_store() as (fake, table):
        slow_access = fake_store.StoreAccess(
            write_delay_s=2 * fake_store.TIMEOUT_S
        )
        async with anyio.create_task_group() as group:
            other = await fake_store.connect_node(fake, slow_access, group)
            with pytest.raises(platform.PlatformError):
                await other.transact([platform.Write("status/a", {"n": 1}, 0)])
            await table.transact([platform.Write("status/a", {"n": 2}, 0)])
            await anyio.sleep(2 * fake_store.TIMEOUT_S)
            row = await table.read("status/a")
            group.cancel_scope.cancel()
        assert row is not None
        assert row.value == {"n": 2}


async def test_changes_wake_the_reader_and_include_removed_rows():
    """Guards against orders that stay in force after their row is deleted."""
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "evacuate/a", {})
        _, version = await table.read_table("op")
        async with anyio.create_task_group() as group:

            async def change() -> None:
                await anyio.sleep(0.05)
                fake.remove("op", "evacuate/a")

            group.start_soon(change)
            rows, newest = await table.read_changes("op", version)
        assert [(row.key, row.value) for row in rows] == [
            ("op/evacuate/a", None)
        ]
        assert newest == fake.version


async def test_expired_history_has_its_own_error():
    """Guards against change polls that fail forever after a 410."""
    async with fake_store.run_store() as (fake, table):
        fake.put("op", "config", {})
        fake.oldest_kept = 5
        with pytest.raises(store.HistoryExpiredError):
            await table.read_changes("op", 1)


async def test_a_restore_from_a_copy_is_reported_once():
    """Guards against a restore that leaves no trace in logs and metrics."""
    async with fake_store.run_store() as (fake, table):
        restores = []
        table.on_restored = lambda: restores.append(table.era)
        copy = fake.copy()
        fake.put("op", "config", {})
        await table.read_table("op")
        assert not restores
        fake.restore(copy)
        with structlog.testing.capture_logs() as logs:
            await table.read_table("op")
            await table.read_table("op")
        assert restores == [2]
        assert logs == [
            {
                "event": "store restored from a copy",
                "log_level": "warning",
                "old_era": 1,
                "new_era": 2,
                "old_version": 1,
                "new_version": 0,
            }
        ]


async def test_versions_of_the_first_era_are_those_of_the_store():
    """Guards against nodes of an earlier build that fall behind in an upgrade.

    They know nothing of eras and compare the numbers that nodes exchange.
    """
    async with fake_store.run_store() as (fake, table):
        version = fake.put("members", "n1", {"slots": 6})
        row = await table.read("members/n1")
        assert row is not None
        assert row.version == version


async def test_versions_grow_over_a_restore():
    """Guards against rows from after a restore that are taken for older."""
    async with fake_store.run_store() as (fake, table):
        backup = fake.copy()
        write = platform.Write("members/n1", {"slots": 6})
        [first] = await table.transact([write])
        [second] = await table.transact([write])
        fake.restore(backup)
        [third] = await table.transact([write])
        row = await table.read("members/n1")
        _, newest = await table.read_table("members")
        assert first < second < third
        assert row is not None
        assert row.version == newest == third


async def test_pages_from_before_and_after_a_restore_are_not_mixed(monkeypatch):
    """Guards against a table read half from a store and half from its copy."""
    async with fake_store.run_store() as (fake, table):
        for number in range(5):
            fake.put("members", f"n{number}", {"slots": 6})
        backup = fake.copy()
        fake.put("members", "n0", {"slots": 9})
        read_page = table._read_page

        async def read_and_restore(*args):
            page = await read_page(*args)
            if fake.era == store.FIRST_ERA:
                fake.restore(backup)
            return page

        monkeypatch.setattr(table, "_read_page", read_and_restore)
        rows, version = await table.read_table("members")
        assert len(rows) == 5
        assert {row.value["slots"] for row in rows} == {6}
        assert version == platform.make_version(1, 5)


async def test_a_late_response_of_an_earlier_era_is_dropped():
    """Guards against rows from before a restore that arrive after it."""
    async with fake_store.run_store() as (fake, table):
        fake.restore(fake.copy())
        await table.read("members/n1")
        fake.era = store.FIRST_ERA
        with pytest.raises(platform.PlatformError):
            await table.read("members/n1")
        assert table.era == 2


async def test_a_condition_from_before_a_restore_does_not_hold():
    """Guards against a write over a row that has the version of another one."""
    async with fake_store.run_store() as (fake, table):
        backup = fake.copy()
        [version] = await table.transact(
            [platform.Write("status/a", {"n": 1}, 0)]
        )
        fake.restore(backup)
        fake.put("status", "a", {"n": 2})
        await table.read("status/b")
        for _ in range(2):
            with pytest.raises(platform.ConflictError) as caught:
                await table.transact(
                    [platform.Write("status/a", {"n": 3}, version)]
                )
            assert caught.value.row is not None
            assert caught.value.row.value == {"n": 2}
        row = await table.read("status/a")
        assert row is not None
        assert row.value == {"n": 2}


@pytest.mark.parametrize("existed", [False, True])
async def test_a_write_that_a_restore_overtook_is_not_confirmed(existed):
    """Guards against a condition that only held for the restored copy."""
    async with fake_store.run_store() as (fake, table):
        backup = fake.copy()
        version = 0
        if existed:
            version = fake.put("status", "a", {"n": 1})
        await table.read("status/a")

        def restore() -> None:
            fake.restore(backup)
            if existed:
                fake.put("status", "a", {"n": 2})

        fake.access.before_write = restore
        with pytest.raises(platform.PlatformError):
            await table.transact(
                [platform.Write("status/a", {"n": 3}, version)]
            )


async def test_a_write_without_condition_is_confirmed_over_a_restore():
    """Guards against a needless second write after a restore."""
    async with fake_store.run_store() as (fake, table):
        backup = fake.copy()
        await table.read("status/a")
        fake.access.before_write = lambda: fake.restore(backup)
        [version] = await table.transact([platform.Write("status/a", {})])
        assert version == platform.make_version(1, 1)


@pytest.mark.parametrize("era", ["", "x", "-1", "1.5", "4096", "9" * 5000])
async def test_a_malformed_era_is_ignored(era):
    """Guards against versions out of range and against a failed response."""
    async with fake_store.run_store() as (fake, table):
        version = fake.put("members", "n1", {})
        await table.read("members/n1")
        fake.era = era
        row = await table.read("members/n1")
        assert row is not None
        assert row.version == version
        assert table.era == store.FIRST_ERA


@pytest.mark.parametrize(("era", "count"), [("", 0), ("x", 1)])
async def test_a_malformed_era_is_logged_once(era, count):
    """Guards against a log line for each response of the store."""
    async with fake_store.run_store() as (fake, table):
        fake.era = era
        with structlog.testing.capture_logs() as logs:
            for _ in range(3):
                await table.read("members/n1")
        events = [line["event"] for line in logs]
        assert events.count("store era malformed") == count


def test_reported_rows_are_bounded() -> None:
    """Guards against memory that grows with the number of odd rows."""
    reported = reported_rows.ReportedRows()
    for number in range(reported_rows.MAX_REPORTED_ROWS + 5):
        assert reported.add(f"members/n{number}", 1)
    assert len(reported.versions) == reported_rows.MAX_REPORTED_ROWS
    assert not reported.add(f"members/n{reported_rows.MAX_REPORTED_ROWS}", 1)
    assert reported.add(f"members/n{reported_rows.MAX_REPORTED_ROWS}", 2)


async def test_a_request_after_a_timeout_uses_a_new_connection():
    """Guards against requests on connections that went silent, one by one.

    Each would wait for its own timeout.
    """
    async with fake_store.run_store() as (fake, table):
        await table.read("op/config")
        async with anyio.create_task_group() as group:
            # Two requests at once use two connections.
            group.start_soon(table.read, "op/config")
            group.start_soon(table.read, "op/config")
        fake.silence()
        with pytest.raises(store.ResponseTimeoutError):
            await table.read("op/config")
        assert await table.read("op/config") is None
