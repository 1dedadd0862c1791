"""Bounds on what the clients' connections of a process hold together.

Each connection has an account of the memory that it holds: received bytes,
parsed heads, requests in progress, and responses that the client does not read.
Near the limit of the budget, connections that hold more than an equal share are
not read from, and their requests are refused. Above the limit, connections are
closed: those with an unfinished head first, the oldest of them before others,
then those that hold most, and those with a request in progress last.
"""

from collections.abc import Callable
import dataclasses
import resource
import sys
import time

import structlog

MIB = 1024 * 1024
# Share of the limit above which reading stops and requests are refused. The
# rest is for what connections within their share receive meanwhile.
NEAR_SHARE = 0.75
# Part of a connection's share that it may receive at once.
RECEIVE_SHARE = 0.25
# Memory of a connection without a request: its task, stream and parser. 17 kB
# were measured with 400 idle connections. 4 kB that it has received and a small
# parsed head are not counted elsewhere.
CONNECTION_BYTES = 24 * 1024
# Memory of a request in progress besides its head and body: its tasks, what is
# recorded of its attempts, and its connection to the target or a peer. 26.4 KiB
# were measured in a process with 500 such requests for its own target.
CALL_BYTES = 27 * 1024
# Share of the limit that idle connections may use.
IDLE_SHARE = 0.5
# Memory of a process without clients, including a document of a large site.
PROCESS_BYTES = 40 * MIB
# Shares of the memory beyond that. The rest is for fragmentation, for what a
# request costs while it is forwarded, and for other processes.
CLIENT_SHARE = 0.2
INTERNAL_SHARE = 0.25
# The largest documents of a few operators at once.
ADMIN_SHARE = 0.02
# Descriptors reserved for files and the administration API.
FILE_DESCRIPTORS = 200
# Share of the other descriptors for connections of clients. A request in
# progress needs another one to a peer or the target.
CLIENT_DESCRIPTOR_SHARE = 0.5
# Used where the operating system sets no limit; the memory bounds the number of
# connections then.
UNLIMITED_DESCRIPTORS = 1_000_000
# Least that a group gets if the settings state little: a few of the largest
# heads at once, and some connections.
MIN_LIMIT_BYTES = 4 * MIB
MIN_CONNECTIONS = 16
# Shortest time between two log lines with the same reason.
LOG_INTERVAL_S = 10.0

# Reasons for limiting a connection.
CONNECTIONS = "connections"
IDLE_CLOSED = "idle_closed"
PAUSED = "reading_paused"
REFUSED = "request_refused"
HEAD_CLOSED = "unfinished_head_closed"
CLOSED = "largest_closed"

log = structlog.get_logger()


class Account:
    """Memory that one connection holds.

    Args:
        budget: Budget that the connection belongs to.
        close: Closes the connection at once.
        hold_back: Stops (True) or resumes (False) reading from it.

    Attributes:
        held_bytes: Memory that the connection holds.
        reader_bytes: Part of it that was received and not taken.
        calls: Number of requests in progress.
        head_since_s: Time when the unfinished head began, or 0 without one.
        waiting_since_s: Time since when no request is in progress.
        held_back: Whether reading is stopped.
        closed: Whether the connection has ended.
    """

    __slots__ = (
        "budget",
        "calls",
        "close",
        "closed",
        "head_since_s",
        "held_back",
        "held_bytes",
        "hold_back",
        "reader_bytes",
        "waiting_since_s",
    )

    def __init__(
        self,
        budget: "Budget",
        close: Callable[[], None],
        hold_back: Callable[[bool], None],
    ):
        self.budget = budget
        self.close = close
        self.hold_back = hold_back
        self.held_bytes = 0
        self.reader_bytes = 0
        self.calls = 0
        self.head_since_s = 0.0
        self.waiting_since_s = budget.clock()
        self.held_back = False
        self.closed = False

    def change(self, size: int) -> None:
        """Adds to the memory that is held; a negative size is released."""
        if self.closed:
            return
        budget = self.budget
        self.held_bytes += size
        budget.used_bytes += size
        if size > 0:
            if budget.used_bytes > budget.near_bytes:
                budget.relieve(self)
        elif budget.held_back:
            budget.resume(self)

    def set_reader(self, size: int, head_open: bool) -> None:
        """Records the memory of what was received and not taken.

        Args:
            size: Memory in bytes.
            head_open: Whether a head is unfinished.
        """
        if not head_open:
            self.head_since_s = 0.0
        elif not self.head_since_s:
            self.head_since_s = self.budget.clock()
        if size != self.reader_bytes:
            change = size - self.reader_bytes
            self.reader_bytes = size
            self.change(change)

    def begin_call(self, size: int) -> None:
        """Records that a request is in progress."""
        self.calls += 1
        self.change(size)

    def end_call(self, size: int) -> None:
        """Records the end of a request, with what it held."""
        self.calls -= 1
        if not self.calls:
            self.waiting_since_s = self.budget.clock()
        self.change(-size)


@dataclasses.dataclass(slots=True)
class _LogState:
    """When a reason was logged last, and how often it occurred since."""

    logged_s: float
    count: int = 0


class Budget:
    """Memory and number of connections of a group of listeners.

    Args:
        limit_bytes: Memory that the connections may hold together.
        max_connections: Number of connections that may be open.
        name: Name of the group in log lines.
        clock: Returns monotonic time in seconds.

    Attributes:
        used_bytes: Memory that all connections hold.
        accounts: Accounts of the open connections.
        held_back: Accounts of connections that are not read from.
        receive_bytes: How much a connection may receive before it is processed
            while the limit is not near. It is a part of its share, so that
            connections that all receive at once don't exceed the limit.
        on_limited: Called with the reason each time a connection is limited.
    """

    def __init__(
        self,
        limit_bytes: int,
        max_connections: int,
        name: str = "clients",
        clock: Callable[[], float] = time.monotonic,
    ):
        self.limit_bytes = limit_bytes
        self.near_bytes = int(limit_bytes * NEAR_SHARE)
        self.max_connections = max_connections
        self.name = name
        self.clock = clock
        self.used_bytes = 0
        self.accounts: set[Account] = set()
        self.held_back: set[Account] = set()
        self.on_limited: Callable[[str], None] = lambda reason: None
        self.receive_bytes = limit_bytes
        self._log_states: dict[str, _LogState] = {}

    @property
    def share_bytes(self) -> float:
        """Equal share of each connection."""
        return self.limit_bytes / max(len(self.accounts), 1)

    def open(
        self,
        close: Callable[[], None],
        hold_back: Callable[[bool], None],
    ) -> Account | None:
        """Returns the account of a new connection.

        If there are too many connections, the one that has waited longest is
        closed: first of those with an unfinished head, then of idle ones.

        Returns:
            None if there is no room for the connection.
        """
        if len(self.accounts) >= self.max_connections:
            waiting = [item for item in self.accounts if not item.calls]
            if not waiting:
                self.record_limited(CONNECTIONS)
                return None
            self._close(min(waiting, key=_order_of_waiting), IDLE_CLOSED)
        account = Account(self, close, hold_back)
        self.accounts.add(account)
        self.receive_bytes = int(self.share_bytes * RECEIVE_SHARE)
        account.change(CONNECTION_BYTES)
        return account

    def release(self, account: Account) -> None:
        """Removes the account of a connection that has ended."""
        if account.closed:
            return
        account.closed = True
        self.accounts.discard(account)
        self.receive_bytes = int(self.share_bytes * RECEIVE_SHARE)
        self.held_back.discard(account)
        self.used_bytes -= account.held_bytes
        if self.held_back:
            self._resume_all()

    def must_refuse(self, account: Account, size: int) -> bool:
        """Returns whether a new request of a connection has to be refused.

        Args:
            account: Account of the connection.
            size: Memory that the request needs, in bytes.
        """
        return (
            self.used_bytes + size > self.near_bytes
            and account.held_bytes + size > self.share_bytes
        )

    def relieve(self, account: Account) -> None:
        """Stops reading from, or closes connections, near the limit.

        Args:
            account: Account whose connection has begun to hold more.
        """
        if not account.held_back and account.held_bytes > self.share_bytes:
            account.held_back = True
            self.held_back.add(account)
            self.record_limited(PAUSED)
            account.hold_back(True)
        if self.used_bytes <= self.limit_bytes:
            return
        for victim in sorted(self.accounts, key=_order_of_closing):
            if self.used_bytes <= self.limit_bytes:
                return
            self._close(victim, HEAD_CLOSED if victim.head_since_s else CLOSED)

    def resume(self, account: Account) -> None:
        """Resumes reading where there is room again.

        Args:
            account: Account whose connection holds less than before.
        """
        if self.used_bytes <= self.near_bytes:
            self._resume_all()
        elif account.held_back and account.held_bytes <= self.share_bytes:
            self._resume(account)

    def _resume_all(self) -> None:
        if self.used_bytes <= self.near_bytes:
            for account in list(self.held_back):
                self._resume(account)

    def _resume(self, account: Account) -> None:
        self.held_back.discard(account)
        account.held_back = False
        account.hold_back(False)

    def _close(self, account: Account, reason: str) -> None:
        self.record_limited(reason, account.held_bytes)
        self.release(account)
        account.close()

    def record_limited(self, reason: str, held_bytes: int = 0) -> None:
        """Counts and logs that a connection was limited."""
        self.on_limited(reason)
        now_s = self.clock()
        state = self._log_states.get(reason)
        if state is None:
            state = self._log_states[reason] = _LogState(now_s - LOG_INTERVAL_S)
        state.count += 1
        if now_s - state.logged_s < LOG_INTERVAL_S:
            return
        log.warning(
            "client connections limited",
            reason=reason,
            listeners=self.name,
            count=state.count,
            held_bytes=held_bytes,
            used_bytes=self.used_bytes,
            limit_bytes=self.limit_bytes,
            connections=len(self.accounts),
            max_connections=self.max_connections,
        )
        state.logged_s = now_s
        state.count = 0


def _order_of_waiting(account: Account) -> tuple[bool, float]:
    head_since_s = account.head_since_s
    return not head_since_s, head_since_s or account.waiting_since_s


def _order_of_closing(account: Account) -> tuple[int, float]:
    """Returns a key: old unfinished heads, then what holds most.

    A head within the connection's share is no reason to close it before
    others. Requests in progress come last, because their work is lost.
    """
    if account.calls:
        return 2, -account.held_bytes
    above_share = account.held_bytes > account.budget.share_bytes
    if account.head_since_s and above_share:
        return 0, account.head_since_s
    return 1, -account.held_bytes


def read_max_descriptors() -> int:
    """Returns the operating system's limit on descriptors of this process."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return UNLIMITED_DESCRIPTORS
    return soft_limit


def make_client_budget(memory_bytes: int, max_descriptors: int) -> Budget:
    """Returns the budget for the connections of callers.

    Args:
        memory_bytes: Memory of the machine.
        max_descriptors: Number of descriptors that the process may open.
    """
    limit_bytes = _compute_limit(memory_bytes, CLIENT_SHARE)
    connections = (max_descriptors - FILE_DESCRIPTORS) * CLIENT_DESCRIPTOR_SHARE
    idle_connections = limit_bytes * IDLE_SHARE // CONNECTION_BYTES
    return Budget(
        limit_bytes,
        max(int(min(connections, idle_connections)), MIN_CONNECTIONS),
    )


def make_internal_budget(memory_bytes: int) -> Budget:
    """Returns the budget for peers, the target and the platform.

    The number of their connections is not limited: a connection that is closed
    or refused would cost requests of ordinary callers.

    Args:
        memory_bytes: Memory of the machine.
    """
    limit_bytes = _compute_limit(memory_bytes, INTERNAL_SHARE)
    return Budget(limit_bytes, sys.maxsize, "internal")


def make_admin_budget(memory_bytes: int, max_connections: int) -> Budget:
    """Returns the budget for the connections of the administration API.

    Args:
        memory_bytes: Memory of the machine.
        max_connections: Number of connections that may be open.
    """
    limit_bytes = _compute_limit(memory_bytes, ADMIN_SHARE)
    return Budget(limit_bytes, max_connections, "administration")


def _compute_limit(memory_bytes: int, share: float) -> int:
    return max(int((memory_bytes - PROCESS_BYTES) * share), MIN_LIMIT_BYTES)
