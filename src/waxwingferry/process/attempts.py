"""Attempts at the target's node: states, fences and retained answers.

A fence marks an attempt as not run. The attempt is refused if it arrives after
that has been reported to its entry node.

Records are bounded in number and age, so a fence or a finished record may have
been evicted when a late copy of the attempt or a query arrives, for example
after the process was suspended for minutes with the attempt in a socket buffer.
Each attempt therefore carries a node time: a reading of this process's clock
that the entry node obtained before it sent the attempt. The node time of an
attempt is never later than its record. Once a record has been evicted, any
attempt that it may have belonged to has a node time that is too old. Such
attempts are refused, and queries about them return "unknown".
"""

import collections
from collections.abc import Callable
import dataclasses
import enum
import time

import anyio

from waxwingferry import invariants
from waxwingferry.connection import http1
from waxwingferry.request import calls
from waxwingferry.request import outcome

RETENTION_S = 60.0
MAX_RECORDS = 20_000
MAX_ANSWER_BYTES = 65_536
MAX_RETAINED_BYTES = 16 * 1024 * 1024


class State(enum.Enum):
    """Processing state of an attempt."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    FENCED = "fenced"


class Resolution(enum.Enum):
    """Result of a query about an attempt; only what the node can prove."""

    NOT_RUN = "not_run"
    RUNNING = "running"
    FINISHED = "finished"
    ANSWER = "answer"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, frozen=True)
class RetainedAnswer:
    """A complete answer of the target."""

    status: int
    headers: http1.Headers
    body: bytes


@dataclasses.dataclass(slots=True, eq=False)
class Record:
    """State of one attempt at this node.

    Attributes:
        node_time_ms: Time of this process, read by the entry node before it
            sent the attempt.
        changed_s: Time of the last change of state.
        dispatched: Whether any bytes may have been sent to the target.
        not_run: Whether the target proved that it did not run the attempt.
        answer: Retained answer of a finished attempt, if any.
        sent_bytes: Bytes of the answer's body written to the connection.
        scope: Cancels the attempt while it is queued.
        deadline: Deadline of the attempt, None of a fence.
        ended: Set when the attempt is finished or fenced.
    """

    attempt_id: str
    node_time_ms: int
    state: State
    changed_s: float
    dispatched: bool = False
    not_run: bool = False
    answer: RetainedAnswer | None = None
    sent_bytes: int = 0
    scope: anyio.CancelScope | None = None
    deadline: calls.Deadline | None = None
    ended: anyio.Event = dataclasses.field(default_factory=anyio.Event)


class Attempts:
    """Records of all attempts received by one node process.

    Invariants, which are checked: an attempt is dispatched at most once,
    and never after it was reported as not run.

    Args:
        clock: Monotonic clock in seconds.
        retention_s: How long ended attempts and fences are retained.
        max_records: Maximum number of ended attempts and fences retained.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        retention_s: float = RETENTION_S,
        max_records: int = MAX_RECORDS,
    ):
        self.clock = clock
        self.retention_s = retention_s
        self.max_records = max_records
        self.start_s = clock()
        self.records: dict[str, Record] = {}
        self.ended_records: collections.deque[Record] = collections.deque()
        self.records_with_answer: collections.deque[Record] = (
            collections.deque()
        )
        self.retained_bytes = 0
        self.newest_removed_ms = -1

    def now_ms(self) -> int:
        """Returns the time in milliseconds since this object was created."""
        return int((self.clock() - self.start_s) * 1000)

    def is_stale(self, node_time_ms: int) -> bool:
        """Returns whether a record of this time may have been evicted."""
        now_ms = self.now_ms()
        return (
            node_time_ms <= self.newest_removed_ms
            or node_time_ms > now_ms
            or now_ms - node_time_ms >= self.retention_s * 1000
        )

    def register(
        self, attempt_id: str, node_time_ms: int
    ) -> Record | outcome.NotRun | outcome.Unknown:
        """Creates the record of an attempt that has arrived, or refuses it."""
        self._evict()
        record = self.records.get(attempt_id)
        if record is not None:
            if record.state is State.FENCED:
                return outcome.NotRun(outcome.Reason.FENCED)
            # The first copy may run or have run, so the outcome is unknown.
            return outcome.Unknown(outcome.Reason.DUPLICATE_ATTEMPT)
        if self.is_stale(node_time_ms):
            return outcome.NotRun(outcome.Reason.STALE_ATTEMPT)
        record = Record(attempt_id, node_time_ms, State.QUEUED, self.clock())
        self.records[attempt_id] = record
        return record

    def dispatch(self, record: Record) -> bool:
        """Marks an attempt as sent to the target, unless it is fenced.

        Returns:
            Whether it may be sent.
        """
        if record.state is State.FENCED:
            return False
        invariants.require_promise(
            record.state is State.QUEUED
            and not record.dispatched
            and self.records.get(record.attempt_id) is record,
            "attempt_dispatched_once",
            record.state,
        )
        record.dispatched = True
        record.state = State.RUNNING
        record.changed_s = self.clock()
        return True

    def finish(
        self,
        record: Record,
        answer: RetainedAnswer | None = None,
        not_run: bool = False,
    ) -> None:
        """Ends an attempt, and removes it if it was never dispatched.

        A removed attempt is treated like one that never arrived: resolving it
        creates a fence.
        """
        if record.state is State.FENCED:
            return
        invariants.require_promise(
            record.state is not State.FINISHED, "attempt_finished_once"
        )
        if not record.dispatched:
            del self.records[record.attempt_id]
            record.state = State.FENCED
            record.ended.set()
            return
        record.not_run = not_run
        if answer is not None and len(answer.body) <= MAX_ANSWER_BYTES:
            record.answer = answer
            self._retain_answer(record)
        self._end(record, State.FINISHED)

    def withdraw(self, record: Record) -> bool:
        """Fences an attempt that is still queued.

        Returns:
            Whether it is fenced, which is false once it was dispatched.
        """
        if record.state is State.QUEUED:
            self._end(record, State.FENCED)
            if record.scope is not None:
                record.scope.cancel()
        return record.state is State.FENCED

    def move_deadline(self, attempt_id: str, at_s: float) -> bool:
        """Moves the deadline of an attempt that has not ended.

        Args:
            attempt_id: ID of the attempt.
            at_s: Time on the boot clock.

        Returns:
            Whether the attempt is known.
        """
        record = self.records.get(attempt_id)
        if record is None or record.deadline is None:
            return False
        record.deadline.move(at_s)
        return True

    def get_resolution(self, attempt_id: str, node_time_ms: int) -> Resolution:
        """Returns the resolution of an attempt without creating a fence."""
        self._evict()
        record = self.records.get(attempt_id)
        if record is None:
            stale = self.is_stale(node_time_ms)
            return Resolution.UNKNOWN if stale else Resolution.NOT_RUN
        match record.state:
            case State.QUEUED | State.FENCED:
                return Resolution.NOT_RUN
            case State.RUNNING:
                return Resolution.RUNNING
        if record.not_run:
            return Resolution.NOT_RUN
        if record.answer is not None:
            return Resolution.ANSWER
        return Resolution.FINISHED

    def resolve(self, attempt_id: str, node_time_ms: int) -> Resolution:
        """Returns the resolution of an attempt; for NOT_RUN, also fences it."""
        result = self.get_resolution(attempt_id, node_time_ms)
        if result is not Resolution.NOT_RUN:
            return result
        record = self.records.get(attempt_id)
        if record is None:
            record = Record(
                attempt_id, node_time_ms, State.QUEUED, self.clock()
            )
            self.records[attempt_id] = record
        if record.state is State.QUEUED:
            self.withdraw(record)
        invariants.require_promise(
            (not record.dispatched or record.not_run)
            and record.state in (State.FENCED, State.FINISHED),
            "attempt_not_run",
        )
        return result

    def _end(self, record: Record, state: State) -> None:
        record.state = state
        record.changed_s = self.clock()
        record.ended.set()
        self.ended_records.append(record)
        self._evict()

    def _retain_answer(self, record: Record) -> None:
        assert record.answer is not None
        self.records_with_answer.append(record)
        self.retained_bytes += len(record.answer.body)
        while self.retained_bytes > MAX_RETAINED_BYTES:
            self._drop_answer(self.records_with_answer.popleft())

    def _drop_answer(self, record: Record) -> None:
        if record.answer is not None:
            self.retained_bytes -= len(record.answer.body)
            record.answer = None

    def _evict(self) -> None:
        """Removes ended attempts that are too old or too many."""
        oldest_s = self.clock() - self.retention_s
        while self.ended_records:
            record = self.ended_records[0]
            if (
                len(self.ended_records) <= self.max_records
                and record.changed_s > oldest_s
            ):
                return
            self.ended_records.popleft()
            del self.records[record.attempt_id]
            self._drop_answer(record)
            while (
                self.records_with_answer
                and self.records_with_answer[0].answer is None
            ):
                self.records_with_answer.popleft()
            removed_ms = int((record.changed_s - self.start_s) * 1000)
            invariants.require_promise(
                record.node_time_ms <= removed_ms, "attempt_node_time"
            )
            self.newest_removed_ms = max(self.newest_removed_ms, removed_ms)
