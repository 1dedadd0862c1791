"""Bounds on what the connections of clients hold together."""

import itertools

import anyio
import anyio.lowlevel
import pytest
import structlog.testing

from waxwingferry.connection import budget as budgets
from waxwingferry.connection import reader as reading
from waxwingferry.connection import serve
from waxwingferry.connection.tests import wire

KB = 1024
LIMIT = 1000 * KB


class Client:
    """A connection that records what the budget does with it."""

    def __init__(self, budget: budgets.Budget, held_bytes: int = 0):
        self.closed = False
        self.held_back = False
        account = budget.open(self.close, self.hold_back)
        assert account is not None
        self.account = account
        account.change(held_bytes)

    def close(self) -> None:
        """See budget.Account."""
        self.closed = True

    def hold_back(self, held_back: bool) -> None:
        """See budget.Account."""
        self.held_back = held_back


class Clock:
    """A clock that a test sets."""

    now_s = 100.0

    def __call__(self) -> float:
        """Returns the time that was set."""
        return self.now_s


@pytest.fixture
def clock() -> Clock:
    """The budget's clock."""
    return Clock()


@pytest.fixture
def budget(clock) -> budgets.Budget:
    """A budget for five connections."""
    return budgets.Budget(LIMIT, 5, clock=clock)


def test_near_the_limit_only_large_connections_are_held_back(budget):
    """Guards against ordinary clients that wait because of others."""
    small, large = Client(budget), Client(budget, 700 * KB)
    assert not large.held_back
    small.account.change(30 * KB)
    large.account.change(20 * KB)
    assert (small.held_back, large.held_back) == (False, True)
    assert budget.must_refuse(large.account, KB)
    assert not budget.must_refuse(small.account, KB)
    large.account.change(-400 * KB)
    assert not large.held_back
    assert not budget.must_refuse(large.account, KB)


def test_a_connection_within_its_share_is_read_from_again(budget):
    """Guards against a connection that is never read from again."""
    first, second = Client(budget, 600 * KB), Client(budget, 200 * KB)
    first.account.change(100 * KB)
    assert first.held_back
    first.account.change(-250 * KB)
    assert not first.held_back
    assert budget.used_bytes < budget.near_bytes
    assert not second.closed


def test_old_unfinished_heads_are_closed_first(budget, clock):
    """Guards against work that is lost for a client that sends no request."""
    running = Client(budget)
    running.account.begin_call(370 * KB)
    heads = []
    for _ in range(3):
        clock.now_s += 1
        heads.append(Client(budget))
        heads[-1].account.set_reader(255 * KB, head_open=True)
    small = Client(budget)
    small.account.set_reader(KB, head_open=True)
    assert [item.closed for item in heads] == [True, False, False]
    assert not running.closed
    assert not small.closed
    assert budget.used_bytes <= LIMIT


def test_requests_in_progress_are_closed_last(budget):
    """Guards against a started request that is lost before another's bytes."""
    running = Client(budget)
    running.account.begin_call(500 * KB)
    waiting = Client(budget, 300 * KB)
    running.account.change(200 * KB)
    assert (running.closed, waiting.closed) == (False, True)


def test_what_a_connection_held_is_released_once(budget):
    """Guards against a budget that shrinks or grows with each connection."""
    client = Client(budget, 50 * KB)
    client.account.begin_call(KB)
    budget.release(client.account)
    client.account.end_call(KB)
    budget.release(client.account)
    assert budget.used_bytes == 0
    assert not budget.accounts


def test_too_many_connections_close_the_one_that_waits_longest(budget, clock):
    """Guards against idle connections that keep ordinary clients out."""
    clients = []
    for _ in range(5):
        clock.now_s += 1
        clients.append(Client(budget))
    clients[0].account.begin_call(0)
    clients[3].account.set_reader(KB, head_open=True)
    Client(budget)
    assert [item.closed for item in clients] == [
        False,
        False,
        False,
        True,
        False,
    ]
    Client(budget)
    assert clients[1].closed


def test_a_connection_is_refused_while_all_others_are_busy(budget):
    """Guards against a request that is cut off for a new connection."""
    for _ in range(5):
        Client(budget).account.begin_call(0)
    assert budget.open(lambda: None, lambda held_back: None) is None


def test_a_reason_is_logged_once_in_a_while(budget, clock):
    """Guards against a log that a hostile client fills."""
    reasons: list[str] = []
    budget.on_limited = reasons.append
    with structlog.testing.capture_logs() as lines:
        for _ in range(100):
            budget.record_limited(budgets.REFUSED)
        clock.now_s += budgets.LOG_INTERVAL_S
        budget.record_limited(budgets.REFUSED)
        budget.record_limited(budgets.CLOSED)
    assert [(line["reason"], line["count"]) for line in lines] == [
        (budgets.REFUSED, 1),
        (budgets.REFUSED, 100),
        (budgets.CLOSED, 1),
    ]
    assert len(reasons) == 102


def test_budgets_follow_from_memory_and_descriptors():
    """Guards against clients that use the room of peers and of files."""
    for memory_mb, descriptors in ((200, 1024), (552, 4096)):
        memory_bytes = memory_mb * budgets.MIB
        clients = budgets.make_client_budget(memory_bytes, descriptors)
        internal = budgets.make_internal_budget(memory_bytes)
        used = clients.limit_bytes + internal.limit_bytes
        assert used < (memory_bytes - budgets.PROCESS_BYTES) / 2
        room = descriptors - budgets.FILE_DESCRIPTORS
        assert 100 < clients.max_connections <= room / 2
        idle_bytes = clients.max_connections * budgets.CONNECTION_BYTES
        assert idle_bytes <= clients.limit_bytes / 2


# 290 kB when parsed.
HEAD = b"GET / HTTP/1.1\r\nhost: a\r\n" + b"a:\r\n" * 1500 + b"\r\n"


@pytest.mark.anyio
async def test_a_request_without_room_is_refused_as_not_run():
    """Guards against a client that can't tell whether its request ran."""
    handled = 0

    async def handle(connection, head) -> None:
        nonlocal handled
        handled += 1
        await connection.send_head(200, [], b"")

    budget = budgets.Budget(LIMIT, 10)
    other = Client(budget, int(LIMIT * budgets.NEAR_SHARE) - 150 * KB)
    for _ in range(18):
        # Makes the share of a connection smaller than one request.
        budget.accounts.add(
            budgets.Account(budget, other.close, other.hold_back)
        )
    other.account.calls = 1
    budget.max_connections = 100
    server = serve.Server(handle, budget=budget)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, wire.HOST, 0)
        await server.listening.wait()
        with anyio.fail_after(5):
            answer = await wire.exchange(server.port, HEAD)
        other.account.change(-other.account.held_bytes)
        with anyio.fail_after(5):
            stream = await anyio.connect_tcp(wire.HOST, server.port)
            async with stream:
                await stream.send(HEAD)
                assert (await stream.receive()).startswith(b"HTTP/1.1 200")
                assert budget.used_bytes < 2 * budgets.CONNECTION_BYTES
        group.cancel_scope.cancel()
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"x-waxwing-outcome: not-run\r\n" in answer
    assert b"retry-after: 1\r\n" in answer
    assert handled == 1
    assert budget.used_bytes == 0


@pytest.mark.anyio
async def test_a_connection_without_room_is_refused_as_not_run():
    """Guards against descriptors used up by connections in progress."""
    budget = budgets.Budget(LIMIT, 1)
    started = anyio.Event()

    async def handle(connection, head) -> None:
        started.set()
        await anyio.sleep_forever()

    server = serve.Server(handle, budget=budget)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, wire.HOST, 0)
        await server.listening.wait()
        async with await anyio.connect_tcp(wire.HOST, server.port) as stream:
            await stream.send(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            await started.wait()
            answer = await wire.exchange(server.port, b"")
        group.cancel_scope.cancel()
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"x-waxwing-outcome: not-run\r\n" in answer


@pytest.mark.anyio
async def test_a_request_that_is_cut_off_is_reported():
    """Guards against a request that ends without a trace in the log."""
    budget = budgets.Budget(LIMIT, 5)
    started = anyio.Event()
    reported = anyio.Event()
    reports = []

    async def handle(connection, head) -> None:
        started.set()
        await anyio.sleep_forever()

    def record(head, reason) -> None:
        reports.append((head.target, reason))
        reported.set()

    server = serve.Server(handle, budget=budget)
    server.on_unanswered = record
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, wire.HOST, 0)
        await server.listening.wait()
        async with await anyio.connect_tcp(wire.HOST, server.port) as stream:
            await stream.send(b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n")
            await started.wait()
            next(iter(budget.accounts)).change(2 * LIMIT)
            with anyio.fail_after(5):
                await reported.wait()
        group.cancel_scope.cancel()
    assert reports == [("/x", serve.Unanswered.NO_ROOM)]
    assert budget.used_bytes == 0


@pytest.mark.anyio
async def test_a_busy_connection_lets_others_run():
    """Guards against one client that delays all others.

    The stream always has data, so that only the reader's own steps end a turn.
    """
    handled = 0

    async def handle(connection, head) -> None:
        nonlocal handled
        handled += 1
        await connection.send_head(200, [], b"")

    request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
    connection, _ = wire.make_server_connection(
        *wire.split_into_parts(request * 2000)
    )
    counts = [0]
    async with anyio.create_task_group() as group:

        async def observe() -> None:
            while handled < 2000:
                counts.append(handled)
                await anyio.lowlevel.checkpoint()

        group.start_soon(observe)
        await serve.Server(handle).serve_requests(connection)
    assert handled == 2000
    turns = [later - earlier for earlier, later in itertools.pairwise(counts)]
    assert max(turns) <= reading.MAX_STEPS
