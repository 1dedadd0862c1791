"""Simulation of several nodes with one duty, without an event loop.

Each process runs its coroutines up to the next wait. The simulation decides
when a wait ends, so that a node can be frozen at any of them, and when and
whether the table applies a write and the response arrives.
"""

import dataclasses
import heapq
import random
from typing import Any

from waxwingferry.process import duties
from waxwingferry.process import platform

LEASE_S = 3.0
STALE_AFTER_S = 10.0
THAW_SLACK_S = 0.3
TIMEOUT_S = 1.5
LATENCY_S = 0.01
# Time after which the others see that a node does not answer.
SUSPECT_AFTER_S = 1.5
NAMES = ("n1", "n2", "n3")


@dataclasses.dataclass
class Wait:
    """A wait of a coroutine: a sleep, a read, a write or a send."""

    kind: str
    value: Any = None

    def __await__(self):
        """Suspends the coroutine until the simulation resumes it."""
        return (yield self)


class Server:
    """The table service: one row, a commit number and an era."""

    def __init__(self):
        self.row: platform.Row | None = None
        self.number = 0
        self.era = 0

    def read(self) -> platform.Row | None:
        """Returns the row; its version has the era."""
        if self.row is None:
            return None
        version = platform.make_version(self.era, self.row.version)
        return dataclasses.replace(self.row, version=version)

    def write(self, write: platform.Write):
        """Returns the new version or an error."""
        number = self.row.version if self.row else 0
        expected = write.if_version
        if expected is not None and platform.get_number(expected) != number:
            return platform.ConflictError(write.key, self.read())
        self.number += 1
        self.row = platform.Row(write.key, write.value, self.number)
        return platform.make_version(self.era, self.number)

    def restore(self, copy: tuple[platform.Row | None, int]) -> None:
        """Restores a copy, so that commit numbers are given out again."""
        self.row, self.number = copy
        self.era += 1


class Client:
    """The table as one process sees it, with the rules of StoreTable."""

    def __init__(self):
        self.era = 0
        self.calls = 0

    async def _call(self, kind: str, value=None):
        self.calls += 1
        outcome, era = await Wait(kind, value)
        if era < self.era:
            raise platform.PlatformError("late response of an earlier era")
        self.era = era
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    async def read(self, key):
        """See platform.Table."""
        return await self._call("read")

    async def transact(self, writes):
        """See platform.Table."""
        (write,) = writes
        era = self.era
        if write.if_version and platform.get_era(write.if_version) != era:
            raise platform.ConflictError(write.key, await self.read(write.key))
        version = await self._call("write", write)
        if write.if_version is not None and era != self.era:
            raise platform.PlatformError("restored before the write")
        return [version]


class RecordingApi:
    """The platform's API, which checks the rules of a duty."""

    def __init__(self):
        self.calls: list[tuple[float, str]] = []
        self.holders: dict[int, str] = {}
        self.highest = 0
        self.tokens: list[int] = []
        self.reports: dict[int, str] = {}

    def record_report(self, state: dict) -> None:
        """Records what a call that begins reports.

        Two calls with the same number must not differ.
        """
        report = self.reports.setdefault(state["number"], state["by"])
        assert report == state["by"], "two reports of one number"

    def receive(self, now_s, machine, incarnation, token, excused) -> None:
        """Receives a call; raises AssertionError if it breaks a rule."""
        holder = self.holders.setdefault(token, f"{machine}/{incarnation}")
        assert holder == f"{machine}/{incarnation}", "token of two holders"
        self.tokens.append(token)
        if not excused:
            assert token >= self.highest, "token went back"
            recent = [m for s, m in self.calls if now_s - s <= LEASE_S]
            if machine in recent:
                others = set(recent[recent.index(machine) :])
                assert others == {machine}, "holders A, B, A within the lease"
            self.calls.append((now_s, machine))
        self.highest = max(self.highest, token)


class Node:
    """One machine and its present process."""

    def __init__(self, simulation: "Simulation", name: str):
        self.simulation = simulation
        self.name = name
        self.frozen_until_s = self.cut_until_s = 0.0
        self.unreachable_since_s = 0.0
        self.freeze_at = ("", 0.0)
        self.dead: frozenset[str] = frozenset()
        self.next_write = ("", 0.0)
        self.process = 0
        self.start()

    def start(self) -> None:
        """Starts a new process; the earlier one is gone."""
        self.process += 1
        self.client = Client()
        clock = self.simulation
        self.duty = self.simulation.duty_class(
            "usage",
            self.name,
            str(self.process),
            self.client,
            self.is_candidate,
            self.is_holder_live,
            LEASE_S,
            STALE_AFTER_S,
            lambda: clock.now_s,
            lambda delay_s: Wait("sleep", delay_s),
            random.Random(self.process),
            lambda: self.client.era,
        )
        self.run(self.duty.run())
        self.run(self.act(self.duty))

    def run(self, task) -> None:
        """Runs a coroutine of the present process."""
        self.simulation.tasks.append(task)
        self.simulation.resume(self, self.process, task, None)

    def is_candidate(self) -> bool:
        """Returns whether no later node seems to be live."""
        return self.name == max(
            name
            for name in NAMES
            if name == self.name or not self.seems_ended(name)
        )

    def seems_ended(self, name: str) -> bool:
        """Returns whether this node takes another one for ended."""
        other = self.simulation.nodes[name]
        now_s = self.simulation.now_s
        return name in self.dead or (
            max(other.frozen_until_s, other.cut_until_s) > now_s
            and now_s - other.unreachable_since_s > SUSPECT_AFTER_S
        )

    def is_holder_live(self, holder: str, incarnation: str) -> bool:
        """Returns whether a process seems to be live."""
        if holder != self.name and self.seems_ended(holder):
            return False
        return incarnation == str(self.simulation.nodes[holder].process)

    async def act(self, duty) -> None:
        """Stores a state and then calls the API as long as it may.

        A new holder sends the stored state again. If states may be missing, it
        skips the numbers that others may have sent.
        """
        last = None
        while True:
            if self.simulation.now_s < duty.act_from_s:
                # Others may still act on states that this one does not show.
                await Wait("sleep", 0.4)
                continue
            state = duty.state
            number = state.get("number", 0) + 1
            if duty.state_incomplete:
                number = max(number, *self.simulation.api.reports, 0) + 1
            if duty.state_incomplete or duty.holding == last or not state:
                state = {"number": number, "by": f"{self.name}/{self.process}"}
            holding = await duty.store(state)
            last = holding or last
            while holding and duty.may_act():
                await Wait("send", (holding, state))
                await Wait("sleep", 0.2)
            await Wait("sleep", 0.4)

    def freeze(self, duration_s: float) -> None:
        """Freezes all processes of this machine."""
        self.unreachable_since_s = self.simulation.now_s
        until_s = self.simulation.now_s + duration_s
        self.frozen_until_s = max(self.frozen_until_s, until_s)

    def cut(self, duration_s: float) -> None:
        """Cuts this machine off from the table, the API and the others."""
        self.unreachable_since_s = self.simulation.now_s
        until_s = self.simulation.now_s + duration_s
        self.cut_until_s = max(self.cut_until_s, until_s)


class Simulation:
    """Nodes, table and API on one clock."""

    def __init__(self, duty_class=duties.Duty):
        self.now_s = 100.0
        self.duty_class = duty_class
        self.queue: list = []
        self.sequence = 0
        self.tasks: list = []
        self.server = Server()
        self.api = RecordingApi()
        self.nodes: dict[str, Node] = {}
        for name in NAMES:
            self.nodes[name] = Node(self, name)

    def close(self) -> None:
        """Ends all coroutines."""
        for task in self.tasks:
            task.close()

    def schedule(self, due_s: float, action, *args) -> None:
        """Schedules an action at a time."""
        self.sequence += 1
        heapq.heappush(self.queue, (due_s, self.sequence, action, args))

    def advance(self, duration_s: float) -> None:
        """Runs what is due within a time."""
        end_s = self.now_s + duration_s
        while self.queue and self.queue[0][0] <= end_s:
            self.now_s, _, action, args = heapq.heappop(self.queue)
            action(*args)
        self.now_s = end_s

    def resume(self, node: Node, process: int, task, value) -> None:
        """Continues a coroutine, once its machine is not frozen."""
        if node.process != process:
            return
        if node.frozen_until_s > self.now_s:
            self.schedule(
                node.frozen_until_s, self.resume, node, process, task, value
            )
            return
        wait = task.send(value)
        if node.freeze_at[0] == wait.kind:
            node.freeze(node.freeze_at[1])
            node.freeze_at = ("", 0.0)
        resume = (self.resume, node, process, task)
        match wait.kind:
            case "sleep":
                self.schedule(self.now_s + wait.value, *resume, None)
            case "send":
                holding, state = wait.value
                self.api.record_report(state)
                self._send(node, process, holding.token)
                self.schedule(self.now_s + LATENCY_S, *resume, None)
            case "read" | "write":
                self._call_table(node, wait, resume)

    def _send(self, node: Node, process: int, token: int) -> None:
        held_until_s = max(node.frozen_until_s, node.cut_until_s)
        if held_until_s > self.now_s:
            self.schedule(held_until_s, self._send, node, process, token)
            return
        excused = self.now_s - held_until_s <= THAW_SLACK_S
        self.api.receive(self.now_s, node.name, process, token, excused)

    def _call_table(self, node: Node, wait: Wait, resume) -> None:
        """Applies a call and answers it, or lets it time out."""
        fault, delay_s = "", LATENCY_S
        if wait.kind == "write":
            (fault, late_s), node.next_write = node.next_write, ("", 0.0)
            delay_s += late_s
        answer_s = self.now_s + delay_s + LATENCY_S
        is_cut = node.cut_until_s > self.now_s
        answered = not fault and not is_cut and delay_s < TIMEOUT_S
        state = {"done": False}

        def apply() -> None:
            outcome = (
                self.server.write(wait.value)
                if wait.kind == "write"
                else self.server.read()
            )
            if answered:
                state["done"] = True
                self.schedule(answer_s, *resume, (outcome, self.server.era))

        if not is_cut:
            self.schedule(self.now_s + delay_s, apply)
        if not answered:
            error = platform.PlatformError("no response")
            # A response that times out says nothing of the era.
            outcome = (error, node.client.era)
            self.schedule(self.now_s + TIMEOUT_S, *resume, outcome)
