"""Asks the nodes for their clocks and for the runs of a window."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import anyio
import structlog

from waxwingferry import boot_clock
from waxwingferry.connection import pool
from waxwingferry.process.spreading import members
from waxwingferry.process.spreading import peers
from waxwingferry.process.usage import local
from waxwingferry.process.usage import messages
from waxwingferry.process.usage import true_time
from waxwingferry.process.usage import windows

# After the end of a window, for clocks that differ and runs that are refused.
ASK_DELAY_S = 1.0
# Before a report is late, for storing and sending it.
REPORT_RESERVE_S = 3.0
RETRY_INTERVAL_S = 0.5
MAX_CONCURRENCY = 16
# A question that took longer arrived at an uncertain time: half of it may be
# counted in the wrong window, which is 2% of a window of 5 s.
MAX_ROUND_TRIP_S = 0.2
# A reply that took longer is not used. Timeouts don't count the time for which
# this machine was suspended, so there can be such replies.
MAX_USABLE_ROUND_TRIP_S = 1.0
# Rounds of questions, also if a report is late already: one may have been
# spoilt by a suspension of this machine.
MIN_ROUNDS = 2
# Questions to a node that answers no faster; then its best reply is used.
MAX_SLOW_REPLIES = 3
# Windows for which an unreachable node is waited for. Then it is asked once a
# window, so that a dead machine doesn't delay each report.
MAX_WINDOWS_AWAITED = 2
# Attempts to reach enough clocks for the first median. One attempt takes up
# to USAGE_TIMEOUT_S.
MAX_PROBES = 6

Ask = Callable[
    [members.MemberRow, messages.Question], Awaitable[messages.Reply]
]

KeepConnections = Callable[[list[members.MemberRow]], Awaitable[None]]

log = structlog.get_logger()


async def ignore_connections(rows: list[members.MemberRow]) -> None:
    """Default for Collector.keep_connections: does nothing."""


@dataclasses.dataclass(slots=True)
class _Answer:
    """The best reply of a node to the questions about one window."""

    reply: messages.Reply
    round_trip_s: float
    wall_offset_s: float
    count: int = 1

    def is_final(self) -> bool:
        return (
            self.round_trip_s <= MAX_ROUND_TRIP_S
            or self.count >= MAX_SLOW_REPLIES
        )


@dataclasses.dataclass(slots=True)
class _Collection:
    """What is known of the runs of one window.

    Attributes:
        answers: Best answers by node.
        gone: Incarnations of processes that don't run any more, by node.
        failed: Nodes that did not answer.
    """

    window: int
    answers: dict[str, _Answer] = dataclasses.field(default_factory=dict)
    gone: dict[str, str] = dataclasses.field(default_factory=dict)
    failed: set[str] = dataclasses.field(default_factory=set)

    def needs(self, row: members.MemberRow) -> bool:
        answer = self.answers.get(row.node)
        if answer is not None:
            return not answer.is_final()
        return self.gone.get(row.node) != row.incarnation


class Collector:
    """Collects the counts of windows from all live nodes.

    Args:
        usage: Records of this node, and those handed over to it.
        list_nodes: Returns the rows of the nodes to ask, this one included.
        ask: Sends a question to another node. Raises peers.PeerError.
        times: True time.
        window_s: Length of a window.
        late_s: Time after a window's end at which its report is late.
        clock: Returns the boot clock in seconds.
        sleep: Waits for a number of seconds.
        keep_connections: Closes the connections to other nodes than these.

    Attributes:
        locks: Let one question at a time be on its way to a node.
        unreachable: Successive windows without an answer, by node.
        round_trips_s: Newest round trip, by node.
    """

    def __init__(
        self,
        usage: local.LocalUsage,
        list_nodes: Callable[[], list[members.MemberRow]],
        ask: Ask,
        times: true_time.TrueTime,
        window_s: float,
        late_s: float,
        clock: Callable[[], float] = boot_clock.read_s,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
        keep_connections: KeepConnections = ignore_connections,
    ):
        self.usage = usage
        self.list_nodes = list_nodes
        self.ask = ask
        self.times = times
        self.window_s = window_s
        self.late_s = late_s
        self.clock = clock
        self.sleep = sleep
        self.keep_connections = keep_connections
        self.unreachable: dict[str, int] = {}
        self.round_trips_s: dict[str, float] = {}
        self.locks: dict[str, anyio.Lock] = {}
        self.limiter: anyio.CapacityLimiter | None = None

    async def find_true_time(self) -> bool:
        """Asks for clocks unless true time is known; returns whether it is.

        The first median needs the clocks of most nodes, since it is not
        limited in how far it moves true time. If most don't answer, three
        must do.
        """
        self.times.forget_if_old()
        probe = _Collection(-1)
        for _ in range(MAX_PROBES):
            if self.times.offset_s is not None:
                return True
            rows = self.list_nodes()
            await self._ask_all(rows, probe)
            if 2 * len(probe.answers) > len(rows):
                break
            await self.sleep(RETRY_INTERVAL_S)
        self._update_true_time(probe)
        return self.times.offset_s is not None

    async def collect(self, window: int) -> windows.Counts:
        """Returns the counts of a window once they are complete.

        Nodes that don't answer are asked again until REPORT_RESERVE_S before
        the report is late. Needs true time to be known.
        """
        collection = _Collection(window)
        end_s = windows.get_start_s(window + 1, self.window_s)
        deadline_s = end_s + self.late_s - REPORT_RESERVE_S
        round_count = 0
        while True:
            rows = self.list_nodes()
            await self._ask_all(rows, collection)
            awaited = [
                row.node
                for row in rows
                if collection.needs(row)
                and self.unreachable.get(row.node, 0) < MAX_WINDOWS_AWAITED
            ]
            round_count += 1
            now_s = self.times.read_s()
            is_over = now_s is None or now_s >= deadline_s
            if not awaited or (is_over and round_count >= MIN_ROUNDS):
                break
            await self.sleep(RETRY_INTERVAL_S)
        self._update_true_time(collection)
        self._record_unreachable(rows, collection)
        await self.keep_connections(rows)
        return self._merge(rows, collection)

    async def _ask_all(
        self, rows: list[members.MemberRow], collection: _Collection
    ) -> None:
        if self.limiter is None:
            self.limiter = anyio.CapacityLimiter(MAX_CONCURRENCY)
        # Nodes that hang must not hold up the others.
        ordered = sorted(
            rows, key=lambda row: self.unreachable.get(row.node, 0)
        )
        async with anyio.create_task_group() as group:
            for row in ordered:
                if collection.needs(row):
                    group.start_soon(self._ask_node, row, collection)

    async def _ask_node(
        self, row: members.MemberRow, collection: _Collection
    ) -> None:
        assert self.limiter is not None
        lock = self.locks.setdefault(row.node, anyio.Lock())
        async with lock, self.limiter:
            await self._ask_free_node(row, collection)

    async def _ask_free_node(
        self, row: members.MemberRow, collection: _Collection
    ) -> None:
        asked_s = self.clock()
        question = self._make_question(row.node, collection.window, asked_s)
        try:
            if row.node == self.usage.node:
                reply = self.usage.answer(question)
            else:
                reply = await self.ask(row, question)
        except peers.PeerError as error:
            if pool.is_refused(error):
                # No process listens there, so the records are gone.
                collection.gone[row.node] = row.incarnation
            collection.failed.add(row.node)
            log.debug("usage not told", node=row.node, error=str(error))
            return
        round_trip_s = self.clock() - asked_s
        if round_trip_s > MAX_USABLE_ROUND_TRIP_S:
            collection.failed.add(row.node)
            return
        self.round_trips_s[row.node] = round_trip_s
        arrived_s = asked_s + round_trip_s / 2
        answer = _Answer(reply, round_trip_s, reply.wall_s - arrived_s)
        earlier = collection.answers.get(row.node)
        if earlier is not None:
            answer.count = earlier.count + 1
            if earlier.round_trip_s < round_trip_s:
                earlier.count = answer.count
                return
        collection.answers[row.node] = answer

    def _make_question(
        self, node: str, window: int, now_s: float
    ) -> messages.Question:
        """Returns the question about a window, or about the clock only.

        Ages count from the arrival of the question, half of a round trip
        from now.
        """
        if window < 0 or self.times.offset_s is None:
            return messages.Question(0, 0, self.usage.node)
        from_s, to_s = self._find_span(window)
        arrives_s = now_s + min(
            self.round_trips_s.get(node, 0.0) / 2, MAX_ROUND_TRIP_S / 2
        )
        return messages.Question(
            max(round((arrives_s - from_s) * 1000), 0),
            max(round((arrives_s - to_s) * 1000), 0),
            self.usage.node,
        )

    def _find_span(self, window: int) -> tuple[float, float]:
        """Returns start and end of a window on this boot clock."""
        assert self.times.offset_s is not None
        start_s = windows.get_start_s(window, self.window_s)
        from_s = start_s - self.times.offset_s
        return from_s, from_s + self.window_s

    def _update_true_time(self, collection: _Collection) -> None:
        answers = list(collection.answers.values())
        exact = [
            answer
            for answer in answers
            if answer.round_trip_s <= MAX_ROUND_TRIP_S
        ]
        if len(exact) >= true_time.MIN_CLOCKS:
            answers = exact
        self.times.update(
            [answer.wall_offset_s for answer in answers],
            len(self.list_nodes()),
        )

    def _record_unreachable(
        self, rows: list[members.MemberRow], collection: _Collection
    ) -> None:
        """Updates for how many windows each node has not answered."""
        self.unreachable = {
            row.node: self.unreachable.get(row.node, 0) + 1
            for row in rows
            if row.node not in collection.answers
        }
        known = {row.node for row in rows}
        for node in [item for item in self.locks if item not in known]:
            if not self.locks[node].locked():
                del self.locks[node]
        self.round_trips_s = {
            node: value
            for node, value in self.round_trips_s.items()
            if node in known
        }

    def _merge(
        self, rows: list[members.MemberRow], collection: _Collection
    ) -> windows.Counts:
        answered = {
            (node, answer.reply.incarnation)
            for node, answer in collection.answers.items()
        }
        handed_over = self.usage.count_handed_over(
            *self._find_span(collection.window), answered
        )
        names = {node for node, _ in handed_over} | set(collection.answers)
        asked = {row.node for row in rows} | collection.failed
        missing = sorted(asked - names)
        if missing:
            log.warning(
                "usage of nodes is missing",
                window=collection.window,
                count=len(missing),
                nodes=missing[:10],
            )
        return windows.merge(
            [
                *(item.reply.counts for item in collection.answers.values()),
                *handed_over.values(),
            ]
        )
