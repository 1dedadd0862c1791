"""Nodes, a duty's row and an API in memory, on a virtual clock."""

import copy
import dataclasses
import random

import anyio
import anyio.lowlevel

from waxwingferry.process import metrics
from waxwingferry.process import platform
from waxwingferry.process.spreading import members
from waxwingferry.process.spreading import peers
from waxwingferry.process.tests import fakes
from waxwingferry.process.usage import collector
from waxwingferry.process.usage import local
from waxwingferry.process.usage import reporter
from waxwingferry.process.usage import true_time

WINDOW_S = 5.0
LATE_S = 10.0
LEASE_S = 3.0
# True time less the virtual clock; window 1000 begins with the test.
OFFSET_S = 1000 * WINDOW_S - 1000.0


class Clock(fakes.VirtualClock):
    """Virtual clock for deeper chains of tasks."""

    async def _run_ready_tasks(self) -> None:
        for _ in range(60):
            await anyio.lowlevel.checkpoint()


@dataclasses.dataclass
class Holding:
    """Stands in for process.duties.Holding."""

    holder: str
    token: int


@dataclasses.dataclass
class Row:
    """The duty's row in the table."""

    version: int
    holder: str
    token: int
    state: dict


class Duty:
    """Stands in for process.duties.Duty, with takeovers by command."""

    def __init__(self, world: "World", name: str):
        self.world = world
        self.name = name
        self.state: dict = {}
        self.act_until_s = 0.0
        self.token = -1
        self.version = 0
        self.taken_over_s = 0.0

    def holds(self) -> bool:
        return self.token >= 0

    def may_act(self) -> bool:
        return self.world.clock() < self.act_until_s

    def take_over(self) -> None:
        """Writes the row with a higher token."""
        row = self.world.row
        self.token = max(
            (row.token if row else 0) + 1,
            platform.make_version(self.world.era, 1),
        )
        self.state = copy.deepcopy(row.state) if row else {}
        self.act_until_s = 0.0
        self.taken_over_s = self.world.clock()
        self._write(self.state)

    def _write(self, state: dict) -> None:
        self.version = self.world.write(self.name, self.token, state)

    async def store(self, state: dict) -> Holding | None:
        world = self.world
        began_s = world.clock()
        await anyio.lowlevel.checkpoint()
        if not self.holds() or world.table_is_down:
            return None
        row = world.row
        if row is None or row.version != self.version:
            restored = row is None or row.token < self.token
            if restored and world.rng.random() < 0.5:
                # The holder writes its row again after a restore.
                self._write(self.state)
            elif row is not None and row.token == self.token:
                self.version, self.state = row.version, dict(row.state)
            else:
                self.token, self.act_until_s = -1, 0.0
            return None
        world.stores += 1
        fate = world.rng.random()
        if fate < world.loss_share / 2:
            return None
        if fate < world.loss_share:
            world.write(self.name, self.token, state)
            return None
        self._write(state)
        self.state = copy.deepcopy(state)
        if began_s < self.taken_over_s + LEASE_S:
            return None
        self.act_until_s = began_s + LEASE_S / 4
        return Holding(self.name, self.token)


class Node:
    """A node with records, a duty and a reporter."""

    def __init__(self, world: "World", number: int):
        self.world = world
        self.row = fakes.make_row(number)
        self.wall_error_s = 0.0
        self.hangs = False
        self.is_gone = False
        self.questions = 0
        self.usage = local.LocalUsage(
            self.row.node,
            self.row.incarnation,
            world.clock,
            lambda: world.clock() + OFFSET_S + self.wall_error_s,
        )
        self.duty = Duty(world, self.row.node)
        self.times = true_time.TrueTime(world.clock)
        self.collector = collector.Collector(
            self.usage,
            world.list_rows,
            world.ask,
            self.times,
            WINDOW_S,
            LATE_S,
            world.clock,
            world.clock.sleep,
        )
        self.counters = metrics.Metrics()
        self.reporter = reporter.Reporter(
            self.duty,
            self.collector,
            self.times,
            world.send,
            lambda: True,
            self.counters,
            WINDOW_S,
            LATE_S,
            LEASE_S,
            50.0,
            world.clock,
            world.clock.sleep,
        )


class World:
    """All nodes, the row and the API, which records calls and faults.

    Attributes:
        loss_share: Share of writes whose response is lost; half of these
            writes are not applied.
        accepted: Counts by window, as the API accepted them first.
        violations: Calls that must not happen.
        truth: Runs by window and workspace.
    """

    def __init__(self, node_count: int, seed: int = 1):
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.row: Row | None = None
        self.history: list[Row] = []
        self.version = 0
        self.era = 0
        self.stores = 0
        self.loss_share = 0.0
        self.table_is_down = False
        self.api_fault_share = 0.0
        self.accepted: dict[int, dict] = {}
        self.accepted_s: dict[int, float] = {}
        self.highest_token = -1
        self.violations: list[str] = []
        self.truth: dict[int, dict[str, int]] = {}
        self.nodes = [Node(self, number) for number in range(node_count)]

    def write(self, holder: str, token: int, state: dict) -> int:
        self.version += 1
        self.row = Row(self.version, holder, token, copy.deepcopy(state))
        self.history.append(self.row)
        return self.version

    def restore(self, age: int) -> None:
        """Restores the row from a copy that lacks the newest writes."""
        self.era += 1
        self.version += 1
        copied = self.history[-age - 1] if age < len(self.history) else None
        self.row = copied and dataclasses.replace(
            copied, version=self.version
        )

    def list_rows(self) -> list[members.MemberRow]:
        return [node.row for node in self.nodes]

    async def ask(self, row, question):
        node = next(item for item in self.nodes if item.row.node == row.node)
        node.questions += 1
        if node.hangs:
            await self.clock.sleep(1.0)
            raise peers.PeerError("timeout")
        if node.is_gone:
            raise peers.PeerError("refused") from ConnectionRefusedError()
        await self.clock.sleep(0.002)
        reply = node.usage.answer(question)
        await self.clock.sleep(0.002)
        return reply

    async def send(self, holding, report, timeout_s):
        if self.rng.random() < self.api_fault_share / 2:
            await self.clock.sleep(self.rng.uniform(0, 2))
            return reporter.SendResult.FAILED
        if holding.token < self.highest_token:
            self.violations.append(f"token {holding.token}")
        self.highest_token = max(self.highest_token, holding.token)
        counts = dict(report.counts)
        first = self.accepted.setdefault(report.window, counts)
        self.accepted_s.setdefault(report.window, self.clock())
        if first != counts:
            self.violations.append(f"window {report.window}")
        if self.rng.random() < self.api_fault_share / 2:
            return reporter.SendResult.FAILED
        return reporter.SendResult.CONFIRMED

    async def run(self, duration_s: float, interval_s: float = 0.05) -> None:
        """Lets targets run requests, and the reporters report."""
        for _ in range(round(duration_s / interval_s)):
            node = self.rng.choice(self.nodes)
            workspace = self.rng.choice(["a", "b", "c"])
            if not node.is_gone:
                node.usage.records.record(workspace)
                window = int((self.clock() + OFFSET_S) // WINDOW_S)
                counts = self.truth.setdefault(window, {})
                counts[workspace] = counts.get(workspace, 0) + 1
            await self.clock.run(interval_s)
