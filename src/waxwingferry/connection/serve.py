"""HTTP server that runs one task per connection.

Requests that may overlap others of their connection run in tasks of their own.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import enum
import functools
import time

import anyio
import anyio.abc
import structlog

from waxwingferry.connection import budget as budgets
from waxwingferry.connection import closing
from waxwingferry.connection import faults
from waxwingferry.connection import http1
from waxwingferry.connection import message
from waxwingferry.connection import pipeline
from waxwingferry.connection import tcp

CALL_CHECK_DELAY_S = 0.05
CHECK_INTERVAL_S = 0.05
# Longest time between checks of idle connections, whose limit may change.
MAX_CHECK_INTERVAL_S = 1.0
# Time allowed for a request that was sent before the drain began to arrive.
DRAIN_GRACE_S = 0.2
CLOSE_INTERVAL_S = 0.01

log = structlog.get_logger()

Handler = Callable[[http1.ServerConnection, http1.RequestHead], Awaitable[None]]


class Unanswered(enum.Enum):
    """Why a connection ended without the response to a request it had read.

    Attributes:
        CLIENT_CLOSED: The client had closed the connection.
        BEHIND_CLOSE: It was sent behind a response that closes the connection,
            and was not started.
        ANSWER_CUT: A response of the connection could not be completed.
        NO_ROOM: The connection was closed because connections hold too much.
        ERROR: An unexpected error ended the connection.
        CANCELLED: The server ended the connection.
    """

    CLIENT_CLOSED = "client_closed"
    BEHIND_CLOSE = "behind_close"
    ANSWER_CUT = "answer_cut"
    NO_ROOM = "no_room"
    ERROR = "error"
    CANCELLED = "cancelled"


OnUnanswered = Callable[[http1.RequestHead, Unanswered], None]
OnRejected = Callable[[http1.RequestHead | None, http1.HttpError], None]


def ignore_report(*_: object) -> None:
    """Default for Server.on_unanswered and on_rejected: does nothing."""


class Server:
    """Accepts connections on one address and runs a handler per request.

    A call is cancelled when its client closes the connection, or only its
    sending side. While the request body is being read, receiving detects
    this; otherwise the socket is polled every CHECK_INTERVAL_S once the call
    has run for CALL_CHECK_DELAY_S.

    Args:
        handler: Answers one request on the given connection.
        interim_interval_s: Interval of 102 (Processing) responses while a
            call waits for its target, or None to send none.
        limits: Limits on one client.
        may_overlap: Tells whether a request may run beside others of its
            connection; by default each waits for the response before it.
        may_be_long: Tells whether the response to such a request may be sent
            before it is known to be whole. Requests behind it wait then.
        budget: Memory and number of the connections, or None for no bound.
        listens_while_draining: Whether connections are accepted until all
            requests have ended, for clients that would take a refused
            connection for the end of the process.

    Attributes:
        active: Connections, or exchanges of one, with a request in progress.
        connections: All open connections.
        idle: Connections that wait for a request.
        began: Set when a connection or a request has begun.
        changed: Set when a request or a connection has ended.
        listening: Set once the server accepts connections.
        port: Port that the server listens on.
        failures: Number of unexpected errors.
        handler_states_runs: Whether the handler sets may_have_run of its
            connection. Otherwise any request that fails may have run.
        on_fault: Called with each unexpected error. It ends one request, or a
            connection if its answer had begun or the error is its own.
        on_unanswered: Called with each request that was read and whose
            connection ended without a complete response.
        on_rejected: Called with each invalid request that gets an error
            response; its head is None if that was not read.
    """

    def __init__(
        self,
        handler: Handler,
        interim_interval_s: float | None = None,
        limits: message.Limits = message.DEFAULT_LIMITS,
        may_overlap: Callable[[http1.RequestHead], bool] | None = None,
        listens_while_draining: bool = False,
        budget: budgets.Budget | None = None,
        may_be_long: Callable[[http1.RequestHead], bool] = lambda head: False,
    ):
        self.may_be_long = may_be_long
        self.handler = handler
        self.budget = budget
        self.may_overlap = may_overlap
        self.listens_while_draining = listens_while_draining
        self.interim_interval_s = interim_interval_s
        self.limits = limits
        self.active: set[http1.ServerConnection] = set()
        self.connections: set[http1.ServerConnection] = set()
        self.idle: set[http1.ServerConnection] = set()
        self.stopping = False
        self.began = anyio.Event()
        self.changed = anyio.Event()
        self.listening = anyio.Event()
        self.listener: tcp.Listener | None = None
        self.failures = 0
        self.handler_states_runs = False
        self.on_unanswered: OnUnanswered = ignore_report
        self.on_rejected: OnRejected = ignore_report
        self.on_fault: faults.OnFault = faults.log_fault
        self.port = 0

    async def serve(self, host: str, port: int) -> None:
        """Serves until cancelled."""
        async with anyio.create_task_group() as task_group:

            def accept(stream: tcp.TcpStream) -> None:
                if self._open_account(stream):
                    task_group.start_soon(self.serve_connection, stream)

            async with tcp.listen(host, port, accept) as self.listener:
                self.port = self.listener.port
                self.listening.set()
                await self.run_periodic_checks(task_group)

    def _open_account(self, stream: tcp.TcpStream) -> bool:
        """Returns whether there is room for a connection."""
        if self.budget is None:
            return True
        stream.account = self.budget.open(stream.discard, stream.hold_back)
        if stream.account is None:
            stream.refuse(closing.NO_ROOM_RESPONSE)
        return stream.account is not None

    async def drain(self) -> None:
        """Closes all connections without interrupting a request.

        Returns once they are closed. A request that a client sent before it
        could detect the drain is answered, and the response tells the client
        to close the connection.
        """
        self.stopping = True
        for connection in self.active:
            connection.keep_alive = False
        await anyio.sleep(DRAIN_GRACE_S)
        if self.listens_while_draining:
            while self.active:
                await self._end_connections()
        if self.listener is not None:
            self.listener.close()
        # Requests on newly accepted connections may still be on their way.
        await anyio.sleep(DRAIN_GRACE_S)
        while self.connections:
            await self._end_connections()

    async def _end_connections(self) -> None:
        """Closes idle connections; waits for a change if there are none."""
        # They close while other requests run, since a request that begins
        # later may be cut off by the end of the process.
        for connection in list(self.idle):
            stream = connection.stream
            assert isinstance(stream, tcp.Stream)
            if stream.is_open_and_idle():
                closing.cancel(connection)
        await anyio.sleep(CLOSE_INTERVAL_S)
        if self.connections and not self.idle:
            self.changed = anyio.Event()
            await self.changed.wait()

    async def serve_connection(self, stream: tcp.Stream) -> None:
        """Serves one connection until it ends."""
        connection = http1.ServerConnection(stream, self.limits)
        account = None
        if isinstance(stream, tcp.TcpStream) and stream.account is not None:
            account = stream.account
            connection.use_account(account)
            account.close = functools.partial(
                closing.discard, connection, stream
            )
        self.connections.add(connection)
        self.began.set()
        try:
            async with stream:
                await self._serve_until_end(connection)
                await closing.close_lingering(connection, lambda: self.stopping)
        except Exception as error:
            self._record_fault(error)
        finally:
            if account is not None:
                account.budget.release(account)
            self.connections.discard(connection)
            self.changed.set()

    async def _serve_until_end(
        self, connection: http1.ServerConnection
    ) -> None:
        try:
            with anyio.CancelScope() as connection.scope:
                await self.serve_requests(connection)
        except http1.HttpError as error:
            log.debug("connection ended", error=str(error))
        except Exception as error:
            self._record_fault(error)

    def _record_fault(self, error: Exception) -> None:
        self.failures += 1
        self.on_fault(error)

    async def serve_requests(self, connection: http1.ServerConnection) -> None:
        """Handles the requests of one connection until it has to close."""
        requests = pipeline.Pipeline(connection)
        try:
            async with anyio.create_task_group() as group:
                requests.scope = group.cancel_scope
                try:
                    await self._serve_pipeline(requests, group)
                except Exception as error:
                    requests.fail(error)
        finally:
            self._report_unanswered(requests)
        if requests.error is not None:
            raise requests.error

    def _report_unanswered(self, requests: pipeline.Pipeline) -> None:
        heads = requests.list_unanswered()
        if not heads:
            return
        stream = requests.connection.stream
        reason = Unanswered.CANCELLED
        account = requests.connection.account
        if account is not None and account.closed:
            reason = Unanswered.NO_ROOM
        elif isinstance(stream, tcp.Stream) and stream.is_closed_by_peer():
            reason = Unanswered.CLIENT_CLOSED
        elif isinstance(requests.error, http1.HttpError):
            reason = Unanswered.ANSWER_CUT
        elif requests.error is not None:
            reason = Unanswered.ERROR
        for head in heads:
            self.on_unanswered(head, reason)

    async def _serve_pipeline(
        self, requests: pipeline.Pipeline, group: anyio.abc.TaskGroup
    ) -> None:
        """Starts the requests in order; overlapping ones run in the group."""
        connection = requests.connection
        while True:
            # The memory of the last request is not kept while the next one is
            # waited for.
            head: http1.RequestHead | None = None
            await requests.wait_for_room()
            try:
                head = await self._receive_head(requests)
            except http1.HttpError as error:
                await requests.wait_until_empty()
                await self._reject(connection, None, error)
                return
            if head is None:
                return
            if self._must_refuse(connection, head):
                refusal = message.NoRoomError()
                self.on_rejected(head, refusal)
                # It may have to wait for earlier responses.
                head.headers.clear()
                await requests.wait_until_empty()
                await closing.send_error_response(connection, refusal)
                return
            await requests.wait_for_whole_responses(self.may_be_long)
            if requests.closing or (self.stopping and requests.pending):
                # The client sends a request again that was sent behind a
                # closing response.
                await requests.wait_until_empty()
                self.on_unanswered(head, Unanswered.BEHIND_CLOSE)
                return
            if self.stopping:
                connection.keep_alive = False
            if self.may_overlap is not None and self.may_overlap(head):
                exchange = requests.add(head)
                exchange.keep_alive = connection.keep_alive
                group.start_soon(self._serve_overlapping, requests, exchange)
            else:
                await requests.wait_until_empty()
                if requests.closing:
                    self.on_unanswered(head, Unanswered.BEHIND_CLOSE)
                    return
                requests.exclusive = head
                await self._serve_call(connection, head)
                if connection.answer_started:
                    requests.exclusive = None
            if not (connection.keep_alive and connection.request_ended):
                await requests.wait_until_empty()
                return
            if self.stopping and not requests.pending:
                return

    def _must_refuse(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> bool:
        account = connection.account
        if account is None or not account.budget.must_refuse(
            account, http1.compute_call_memory(head)
        ):
            return False
        account.budget.record_limited(budgets.REFUSED, account.held_bytes)
        return True

    async def _receive_head(
        self, requests: pipeline.Pipeline
    ) -> http1.RequestHead | None:
        connection = requests.connection
        if not requests.pending:
            self.idle.add(connection)
        requests.receiving = True
        try:
            return await connection.receive_head()
        finally:
            requests.receiving = False
            self.idle.discard(connection)

    async def _serve_overlapping(
        self, requests: pipeline.Pipeline, exchange: pipeline.Exchange
    ) -> None:
        """Handles a request beside others and sends responses that are due."""
        try:
            await self._serve_call(exchange, exchange.request)
            exchange.finished = True
            requests.notify()
            if requests.pending[0] is exchange and not requests.advancing:
                await self._send_due_responses(requests)
        except Exception as error:
            requests.fail(error)

    async def _send_due_responses(self, requests: pipeline.Pipeline) -> None:
        connection = requests.connection
        self._begin(connection)
        try:
            await requests.advance()
        finally:
            self.active.discard(connection)
            self.changed.set()
        if requests.receiving and not requests.pending:
            connection.idle_since_s = time.monotonic()
            self.idle.add(connection)

    async def _serve_call(
        self, connection: http1.ServerConnection, head: http1.RequestHead
    ) -> None:
        self._begin(connection)
        connection.begin_call(head)
        connection.may_have_run = not self.handler_states_runs
        try:
            await self.handler(connection, head)
        except http1.HttpError as error:
            if connection.answer_started:
                # The response is incomplete, so the connection must close
                # without an end of message.
                raise
            await self._reject(connection, head, error)
        except Exception as error:
            self._record_fault(error)
            if connection.answer_started and not pipeline.discard_held(
                connection
            ):
                raise http1.ConnectionLostError("answer failed") from error
            await closing.send_fault_response(connection)
        finally:
            connection.end_call()
            self.active.discard(connection)
            self.changed.set()

    async def _reject(
        self,
        connection: http1.ServerConnection,
        head: http1.RequestHead | None,
        error: http1.HttpError,
    ) -> None:
        if not isinstance(error, http1.ConnectionLostError):
            self.on_rejected(head, error)
        await closing.send_error_response(connection, error)

    def _begin(self, connection: http1.ServerConnection) -> None:
        connection.call_started_s = time.monotonic()
        self.active.add(connection)
        self.began.set()

    def compute_check_delay(self, now_s: float) -> float | None:
        """Returns the time until the next check; None if none is due.

        Args:
            now_s: Monotonic time in seconds.
        """
        if self.active:
            return CHECK_INTERVAL_S
        if not self.connections:
            return None
        oldest_s = min(
            (item.idle_since_s or now_s for item in self.idle), default=now_s
        )
        # A connection that becomes idle later is due after the whole limit.
        due_s = min(oldest_s + self.limits.idle_s - now_s, MAX_CHECK_INTERVAL_S)
        return max(due_s, CHECK_INTERVAL_S)

    async def _wait_for_check(self) -> None:
        """Waits until a check is due."""
        if not self.active and not self.began.is_set():
            delay_s = self.compute_check_delay(time.monotonic())
            with anyio.move_on_after(delay_s):
                await self.began.wait()
        if self.active or self.began.is_set():
            # What begins meanwhile doesn't wake this task: waking it for each
            # short request took a quarter of the instructions of an exchange
            # over loopback.
            self.began = anyio.Event()
            await anyio.sleep(CHECK_INTERVAL_S)

    async def run_periodic_checks(
        self, task_group: anyio.abc.TaskGroup
    ) -> None:
        """Enforces idle and send timeouts and sends 102 responses.

        Calls whose client has disconnected are cancelled, too. A server
        without connections does no work.
        """
        last_interim_s = time.monotonic()
        while True:
            await self._wait_for_check()
            now_s = time.monotonic()
            try:
                self._cancel_overdue(now_s)
            except Exception as error:
                self._record_fault(error)
            if self.interim_interval_s is None:
                continue
            if now_s - last_interim_s >= self.interim_interval_s:
                last_interim_s = now_s
                self._start_interim_responses(task_group, now_s)

    def _cancel_overdue(self, now_s: float) -> None:
        """Closes idle connections and those whose client is gone or stalls."""
        for connection in list(self.idle):
            since_s = connection.idle_since_s
            if since_s and now_s - since_s > self.limits.idle_s:
                closing.cancel(connection)
        for connection in self.active:
            if now_s - connection.call_started_s < CALL_CHECK_DELAY_S:
                continue
            since_s = connection.sending_since_s
            stalled = since_s and now_s - since_s > self.limits.send_s
            stream = connection.stream
            if stalled or (
                isinstance(stream, tcp.Stream) and stream.is_closed_by_peer()
            ):
                closing.cancel(connection)

    def _start_interim_responses(
        self, task_group: anyio.abc.TaskGroup, now_s: float
    ) -> None:
        for connection in self.active:
            if now_s - connection.call_started_s < CALL_CHECK_DELAY_S:
                continue
            if connection.answer_started or connection.sending_interim:
                continue
            connection.sending_interim = True
            task_group.start_soon(_send_processing, connection)


async def _send_processing(connection: http1.ServerConnection) -> None:
    try:
        await connection.send_interim(102, "Processing")
    except http1.HttpError as error:
        log.debug("interim response not sent", error=str(error))
    except Exception:
        log.exception("interim response failed")
    finally:
        connection.sending_interim = False
