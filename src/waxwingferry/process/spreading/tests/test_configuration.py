"""Writing documents: concurrent changes, lost responses and outages."""

import contextlib
import random

import anyio
import pytest

from waxwingferry.process import platform
from waxwingferry.process.spreading import configuration
from waxwingferry.process.spreading import current_document
from waxwingferry.process.tests import fakes
from waxwingferry.version import document

pytestmark = pytest.mark.anyio


def _make_document(number: int) -> document.Document:
    route = document.Route(path_prefix=f"/{number}")
    service = document.Service(name="desk", routes=(route,))
    return document.Document(services=(service,))


def _make_change(base: int, rng: random.Random, number: int = 0):
    change_id = f"{rng.getrandbits(128):032x}"
    content = _make_document(number)
    return configuration.Change(
        content, base, "ann", f"why {number}", change_id
    )


async def _sleep(delay_s: float) -> None:
    await anyio.lowlevel.checkpoint()


@pytest.mark.parametrize("seed", range(20))
async def test_concurrent_changes_are_each_accepted_or_refused(seed):
    """Guards against a change that silently overwrites another one."""
    rng = random.Random(seed)
    table = fakes.Table(rng)
    table.lose_share = 0.4
    nodes = [configuration.Configuration(table, sleep=_sleep) for _ in range(4)]
    results = {}

    async def operate(operator: int) -> None:
        for step in range(6):
            node = rng.choice(nodes)
            change = _make_change(node.number, rng, operator * 10 + step)
            results[change.change_id] = (change, await node.accept(change))
            await anyio.lowlevel.checkpoint()

    async with anyio.create_task_group() as group:
        for operator in range(5):
            group.start_soon(operate, operator)
    await nodes[0].read()
    history = {}
    for number in range(1, nodes[0].number + 1):
        row = await nodes[0].read_history(number)
        assert row is not None
        history[row["change_id"]] = row
    accepted = {
        change_id: (change, result)
        for change_id, (change, result) in results.items()
        if isinstance(result, configuration.Accepted)
    }
    assert set(accepted) == set(history)
    for change_id, (change, result) in accepted.items():
        row = history[change_id]
        assert row["revision"] == result.revision == change.base + 1
        assert (row["who"], row["why"]) == (change.who, change.why)
    assert all(
        isinstance(result, configuration.Accepted | configuration.Conflict)
        for _, result in results.values()
    )


async def test_conflict_shows_the_difference_to_the_base():
    """Guards against a conflict without the newer revision and its diff."""
    table, rng = fakes.Table(), random.Random(1)
    one = configuration.Configuration(table)
    two = configuration.Configuration(table)
    await one.accept(_make_change(0, rng, 1))
    await two.read()
    await one.accept(_make_change(1, rng, 2))
    result = await two.accept(_make_change(1, rng, 3))
    assert isinstance(result, configuration.Conflict)
    assert (result.revision, result.who, result.why) == (2, "ann", "why 2")
    assert "-  - path_prefix: /1" in result.difference
    assert "+  - path_prefix: /2" in result.difference
    assert two.number == 2


async def test_conflict_reports_a_base_missing_from_the_history():
    """Guards against a diff that shows the whole document as new."""
    table = fakes.Table()
    content = _make_document(1).model_dump(mode="json")
    for revision in (1, 2):
        value = {"revision": revision, "document": content}
        await table.transact([platform.Write("document/current", value)])
    node = configuration.Configuration(table)
    result = await node.accept(_make_change(1, random.Random(1)))
    assert isinstance(result, configuration.Conflict)
    assert result.difference == "revision 1 is not in the history"


async def test_lost_response_is_resolved_by_reading_back():
    """Guards against a second write after the first took effect."""
    table, rng = fakes.Table(), random.Random(1)
    table.lose_share = 1.0
    node = configuration.Configuration(table, sleep=_sleep)
    result = await node.accept(_make_change(0, rng))
    assert result == configuration.Accepted(1)
    assert table.writes == 1


async def test_change_during_an_outage_is_refused_without_a_write():
    """Guards against a change that takes effect after it was refused."""
    table = fakes.Table()
    table.down = True
    node = configuration.Configuration(table, sleep=_sleep)
    result = await node.accept(_make_change(0, random.Random(1)))
    assert isinstance(result, configuration.Unavailable)
    assert table.writes == 0


async def test_outage_after_the_write_is_undecided():
    """Guards against reporting a change as refused that may be written."""
    table = fakes.Table()

    class Broken(fakes.Table):
        async def transact(self, writes):
            """Applies the writes, then simulates an outage."""
            await table.transact(writes)
            self.down = True
            return await self.read("")

    broken = Broken()
    node = configuration.Configuration(broken, sleep=_sleep)
    result = await node.accept(_make_change(0, random.Random(1)))
    assert isinstance(result, configuration.Undecided)


def test_older_revision_is_never_activated():
    """Guards against code that bypasses the check in apply_if_newer()."""
    node = configuration.Configuration(fakes.Table())
    content = _make_document(1)
    assert node.apply_if_newer(5, content.model_dump(mode="json"))
    assert not node.apply_if_newer(4, content.model_dump(mode="json"))
    with pytest.raises(current_document.OlderRevisionError):
        node._activate(document.make_revision(5, content))


@pytest.mark.parametrize(
    "value", [{}, {"revision": "9"}, {"revision": 9}, {"revision": [9]}]
)
async def test_a_row_that_is_no_document_leaves_the_last_one(value):
    """Guards against a reader of the table that ends by such a row."""
    table = fakes.Table()
    configured = configuration.Configuration(table, sleep=_sleep)
    await configured.accept(_make_change(0, random.Random(1)))
    table.rows[document.DOCUMENT_KEY] = platform.Row(
        document.DOCUMENT_KEY, value, 99
    )
    with contextlib.suppress(platform.PlatformError):
        await configured.read()
    assert configured.number == 1
