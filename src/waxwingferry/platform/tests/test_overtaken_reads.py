"""Reads of the store that overtake each other, in random order.

What was read never replaces what is newer: rows and the version that they stand
for are one value.
"""

import copy
import random
from typing import Any

import anyio
import anyio.lowlevel
import hypothesis
from hypothesis import strategies

from waxwingferry.platform import decisions
from waxwingferry.platform import operator_document
from waxwingferry.platform import store
from waxwingferry.platform.tests import fake_store
from waxwingferry.platform.tests import memory_client
from waxwingferry.platform.tests import test_operator_document
from waxwingferry.process import platform
from waxwingferry.process.spreading import lease
from waxwingferry.process.spreading import members
from waxwingferry.process.tests import fakes
from waxwingferry.version import messages
from waxwingferry.version import revision
from waxwingferry.version import rollout

SETTINGS = hypothesis.settings(
    max_examples=150, deadline=None, derandomize=True, database=None
)
SEEDS = strategies.integers(0, 2**32)
DOMAINS = ("d1", "d2", "d3", "d4", "d5")


class Operator:
    """Changes rows of a store.

    Attributes:
        states: Content of the operator's table after each change.
    """

    def __init__(self, fake: fake_store.FakeStore, rng: random.Random):
        self.fake = fake
        self.rng = rng
        self.number = 0
        self.states: list[dict[str, Any]] = []
        self.put_config()

    def put_config(self) -> None:
        """Writes a config with the next number."""
        self.number += 1
        config = copy.deepcopy(test_operator_document.CONFIG)
        config["version"] = f"r{self.number}"
        self.fake.put("op", "config", config)
        self.record()

    def change(self) -> None:
        """Makes a random change, or writes to another table."""
        key = f"evacuate/{self.rng.choice(DOMAINS)}"
        match self.rng.randrange(4):
            case 0:
                self.put_config()
            case 1 if ("op", "", key) in self.fake.rows:
                self.fake.remove("op", key)
                self.record()
            case 2:
                self.fake.put("members", "n1", {"change": self.number})
            case _:
                self.number += 1
                self.fake.put("op", key, {"number": self.number})
                self.record()

    def record(self) -> None:
        """Records the state of the table."""
        self.states.append(
            {
                f"op/{key}": store._decode_value(row["value"])
                for (table, _, key), row in self.fake.rows.items()
                if table == "op"
            }
        )

    async def run(self, changes: int) -> None:
        """Makes changes while others read."""
        for _ in range(changes):
            for _ in range(self.rng.randrange(15)):
                await anyio.lowlevel.checkpoint()
            self.change()


@SETTINGS
@hypothesis.given(SEEDS)
def test_document_is_always_a_state_of_the_table_and_never_an_older_one(
    seed: int,
) -> None:
    """Guards against a document that mixes states, or goes back.

    A read of several pages got rows of different versions. The document that
    was made of them had the number of the newest change without the one before,
    and no later change of that number could correct it.
    """
    rng = random.Random(seed)
    fake = fake_store.FakeStore()
    operator = Operator(fake, rng)
    table = memory_client.make_table(fake, rng)
    document = operator_document.OperatorDocument(
        table, test_operator_document.BOUNDS
    )
    positions: list[int] = []

    def check() -> None:
        assert document.revision is not None
        content = {
            key: row["value"] for key, row in document.revision.content.items()
        }
        assert content in operator.states, "a state that never was"
        # A state may recur; the newest position counts.
        position = max(
            index
            for index, state in enumerate(operator.states)
            if state == content
        )
        assert not positions or position >= positions[-1], "an older state"
        positions.append(position)

    document.on_change = check

    async def read() -> None:
        for _ in range(rng.randrange(1, 4)):
            await document.read()

    async def watch() -> None:
        for _ in range(6):
            await document.watch()

    async def run() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(operator.run, 8)
            group.start_soon(watch)
            group.start_soon(read)
            group.start_soon(read)
        await document.watch()
        await document.watch()

    anyio.run(run)
    assert document.revision is not None
    content = {
        key: row["value"] for key, row in document.revision.content.items()
    }
    assert content == operator.states[-1]


@SETTINGS
@hypothesis.given(SEEDS)
def test_member_rows_are_never_skipped_or_replaced_by_older_ones(
    seed: int,
) -> None:
    """Guards against a row that no later read returns.

    Reads return the rows after the newest version that was read. A row of an
    earlier page that changed before a row of a later page was skipped.
    """
    rng = random.Random(seed)
    fake = fake_store.FakeStore()
    membership = members.Membership("n0", fakes.Clock())
    node_lease = lease.Lease(
        memory_client.make_table(fake, rng), membership, random.Random(1)
    )
    changes = dict.fromkeys(range(1, 7), 1)
    orders: dict[str, tuple] = {}

    def check(row: members.MemberRow) -> None:
        assert row.order > orders.get(row.node, (0, 0, ""))
        orders[row.node] = row.order

    membership.on_newer_row = check

    def put(number: int) -> None:
        row = fakes.make_row(number, change=changes[number])
        fake.put("members", row.node, members.format_row(row))

    async def write() -> None:
        for _ in range(10):
            for _ in range(rng.randrange(12)):
                await anyio.lowlevel.checkpoint()
            number = rng.choice(list(changes))
            changes[number] += 1
            put(number)
            if rng.random() < 0.3:
                # Gossip delivers rows in any order, too.
                older = rng.randrange(1, changes[number] + 1)
                membership.apply(fakes.make_row(number, change=older))

    async def read() -> None:
        for _ in range(4):
            await node_lease.read_rows()

    async def run() -> None:
        for number in changes:
            put(number)
        async with anyio.create_task_group() as group:
            group.start_soon(write)
            group.start_soon(read)
            group.start_soon(read)
        await node_lease.read_rows()

    anyio.run(run)
    for number, change in changes.items():
        record = membership.records[f"n{number}"]
        assert record.row.change == change
        assert record.version == fake.rows["members", "", f"n{number}"]["ver"]


@SETTINGS
@hypothesis.given(SEEDS)
def test_decisions_read_are_never_replaced_by_older_ones(seed: int) -> None:
    """Guards against an older read whose response came later.

    The versions of the rows went back with it, and a decision that is stored
    counted as lost by a restore.
    """
    rng = random.Random(seed)
    fake = fake_store.FakeStore()
    order = revision.RolloutOrder("desk", "v2", 16.0, 1)
    document = revision.Revision(
        1,
        {},
        [],
        {"desk": revision.Service("desk")},
        rollouts={"desk": order},
    )
    table = memory_client.make_table(fake, rng)
    controller = rollout.RolloutController(
        "n0",
        lambda: document,
        lambda service: [],
        decisions.StatusDecisionStore(table),
        lambda: ["n0"],
        lambda node, item: None,
        exposure_share=0.1,
        exposure_slack=50.0,
        clock=fakes.Clock(),
    )
    services = ("desk", "mail", "search")
    newest: dict[str, int] = {}

    def put(service: str) -> None:
        state = rng.choice(list(messages.State))
        value = {
            "service": service,
            "state": state.value,
            "target": f"v{rng.randrange(9)}",
        }
        fake.put("status", f"rollout/{service}", value)

    async def write() -> None:
        for _ in range(8):
            for _ in range(rng.randrange(12)):
                await anyio.lowlevel.checkpoint()
            put(rng.choice(services))

    def check() -> None:
        for service, version in controller.stored.versions.items():
            assert version >= newest.get(service, 0), "an older version"
            newest[service] = version
            stored = controller.stored.find(service)
            assert stored is not None
            assert platform.get_number(stored.number) == version
        for service, decision in controller.decisions.items():
            assert decision.number >= newest.get(f"{service} known", 0)
            newest[f"{service} known"] = decision.number

    async def read() -> None:
        for _ in range(4):
            await controller.load_decisions()
            check()

    async def run() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(write)
            for _ in range(3):
                group.start_soon(read)
        await controller.load_decisions()
        check()

    anyio.run(run)
    for service in services:
        row = fake.rows.get(("status", "", f"rollout/{service}"))
        if row is not None:
            assert controller.stored.versions[service] == row["ver"]
