"""Nodes with duties and reporters, a table and an API, on a virtual clock."""

import copy
import random

import anyio
import anyio.lowlevel

from waxwingferry.process import duties
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
        for _ in range(30):
            await anyio.lowlevel.checkpoint()


class Table:
    """Table with one row of interest, which can be restored.

    Attributes:
        loss_share: Share of writes whose response is lost; half of these
            writes are not applied.
        history: All values and versions of rows, oldest first.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.rows: dict[str, platform.Row] = {}
        self.history: list[dict[str, platform.Row]] = [{}]
        self.number = 0
        self.restores = 0
        self.writes = 0
        self.loss_share = 0.0
        self.is_down = False

    def restore(self, age: int) -> None:
        """Restores a copy that lacks the newest writes."""
        self.restores += 1
        copied = self.history[max(len(self.history) - 1 - age, 0)]
        self.rows = {}
        for key, row in copied.items():
            self.number += 1
            version = platform.make_version(self.restores, self.number)
            self.rows[key] = platform.Row(key, row.value, version)

    async def read(self, key):
        """See platform.Table."""
        await anyio.lowlevel.checkpoint()
        if self.is_down:
            raise platform.PlatformError("down")
        return copy.deepcopy(self.rows.get(key))

    async def scan(self, prefix, after_version=0):
        """See platform.Table."""
        raise NotImplementedError

    async def transact(self, writes):
        """See platform.Table."""
        await anyio.lowlevel.checkpoint()
        fate = self.rng.random()
        if self.is_down or fate < self.loss_share / 2:
            raise platform.PlatformError("not applied")
        (write,) = writes
        row = self.rows.get(write.key)
        if write.if_version != (row.version if row else 0):
            raise platform.ConflictError(write.key, copy.deepcopy(row))
        self.writes += 1
        self.number += 1
        version = platform.make_version(self.restores, self.number)
        value = copy.deepcopy(write.value)
        self.rows[write.key] = platform.Row(write.key, value, version)
        self.history.append(dict(self.rows))
        await anyio.lowlevel.checkpoint()
        if fate < self.loss_share:
            raise platform.PlatformError("response lost")
        return [version]


class Node:
    """A process of a node, with records, a duty and a reporter.

    Attributes:
        wall_error_s: Error of its wall clock.
        hangs: Whether it does not answer questions.
        live: Whether other nodes take it for a live member.
    """

    def __init__(self, world: "World", number: int, life: int = 0):
        self.world = world
        self.number = number
        self.life = life
        self.row = fakes.make_row(number, incarnation=f"{number}a{life}")
        self.wall_error_s = 0.0
        self.hangs = False
        self.live = True
        self.is_gone = False
        self.questions = 0
        self.scope = anyio.CancelScope()
        name, incarnation = self.row.node, self.row.incarnation
        self.usage = local.LocalUsage(
            name,
            incarnation,
            world.clock,
            lambda: world.clock() + OFFSET_S + self.wall_error_s,
        )
        self.duty = duties.Duty(
            "usage_reporting",
            name,
            incarnation,
            world.table,
            lambda: world.candidate == number,
            world.is_live,
            LEASE_S,
            2 * WINDOW_S,
            world.clock,
            world.clock.sleep,
            world.rng,
            lambda: world.table.restores,
        )
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
        self.reporter = reporter.Reporter(
            self.duty,
            self.collector,
            self.times,
            world.send,
            lambda: True,
            metrics.Metrics(),
            WINDOW_S,
            LATE_S,
            LEASE_S,
            50.0,
            world.clock,
            world.clock.sleep,
        )

    async def run(self) -> None:
        """Runs until killed."""
        with self.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.duty.run)
                group.start_soon(self.reporter.run)


class World:
    """All nodes, the table and the API, which records calls and faults.

    Attributes:
        candidate: Number of the node that may take the duty over.
        accepted: Counts by window, as the API accepted them first.
        accepted_s: Time of that.
        violations: Calls that must not happen.
        truth: Runs by window and workspace.
    """

    def __init__(self, node_count: int, seed: int = 1):
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.table = Table(self.rng)
        self.candidate = 0
        self.api_fault_share = 0.0
        self.accepted: dict[int, dict] = {}
        self.accepted_s: dict[int, float] = {}
        self.highest_token = -1
        self.violations: list[str] = []
        self.truth: dict[int, dict[str, int]] = {}
        self.nodes = [Node(self, number) for number in range(node_count)]

    async def __aenter__(self):
        self.group: anyio.abc.TaskGroup = anyio.create_task_group()
        await self.group.__aenter__()
        for node in self.nodes:
            self.group.start_soon(node.run)
        return self

    async def __aexit__(self, *exc_info):
        self.group.cancel_scope.cancel()
        return await self.group.__aexit__(*exc_info)

    def kill(self, number: int, restarts: bool = False) -> None:
        """Ends a process, and starts another one of the same node."""
        node = self.nodes[number]
        node.scope.cancel()
        node.live = False
        node.is_gone = True
        if restarts:
            self.nodes[number] = Node(self, number, node.life + 1)
            self.group.start_soon(self.nodes[number].run)

    def is_live(self, name: str, incarnation: str) -> bool:
        """Stands in for Membership.is_live."""
        return any(
            (item.row.node, item.row.incarnation) == (name, incarnation)
            and item.live
            for item in self.nodes
        )

    def list_rows(self) -> list[members.MemberRow]:
        """Returns the rows of all nodes."""
        return [node.row for node in self.nodes]

    async def ask(self, row, question):
        """Stands in for PeerClient.fetch_usage."""
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
        """Stands in for UsageApi.send, with an API that checks calls."""
        if self.rng.random() < self.api_fault_share / 2:
            await self.clock.sleep(self.rng.uniform(0, 2))
            return reporter.SendResult.FAILED
        if holding.token < self.highest_token:
            self.violations.append(f"token {holding.token}")
        self.highest_token = max(self.highest_token, holding.token)
        counts = dict(report.counts)
        if report.window not in self.accepted and (
            report.window < max(self.accepted, default=0)
        ):
            self.violations.append(f"order of {report.window}")
        first = self.accepted.setdefault(report.window, counts)
        self.accepted_s.setdefault(report.window, self.clock())
        if first != counts:
            self.violations.append(f"counts of window {report.window}")
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
