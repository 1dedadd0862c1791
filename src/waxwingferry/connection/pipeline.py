"""Overlapping requests of one connection, answered in their order.

A client may send further requests before the first one is answered. Requests
that may run beside others are started as they arrive. Their responses are held
until all earlier ones have been sent.
"""

import collections
from collections.abc import Callable

import anyio

from waxwingferry import invariants
from waxwingferry.connection import http1
from waxwingferry.connection import message

# Requests of one connection that may be in progress at once. The client's other
# requests stay unread, so that TCP slows it down.
MAX_OVERLAPPING = 8
# Bytes of responses that one connection may hold until their turn. A response
# that does not fit waits, and so does the target that sends it.
MAX_HELD_BYTES = 256 * 1024


class Exchange(http1.ServerConnection):
    """A request without a body that may overlap others, and its response.

    Handlers use it in place of the connection. What is sent before the turn
    of the response is held, so that the handler need not wait for others.

    Args:
        pipeline: Pipeline of the connection.
        head: Head of the request.

    Attributes:
        request: Head of the request.
        held: Parts of the response that are held until its turn.
        sending: Whether sending to the client has begun, or may begin.
        turn: Set once parts are sent to the client without being held.
        finished: Whether the handler has ended.
    """

    def __init__(self, pipeline: "Pipeline", head: message.RequestHead):
        connection = pipeline.connection
        super().__init__(
            connection.stream, connection.limits, connection.reader
        )
        self.pipeline = pipeline
        self.request = head
        self.head = head
        self.keep_alive = head.keep_alive
        self.scope = connection.scope
        self.account = connection.account
        self.held: list[bytes] = []
        self.sending = False
        self.turn = anyio.Event()
        self.finished = False

    def has_requests_behind(self) -> bool:
        """Tells whether a later request of the connection was started."""
        return self.pipeline.pending[-1] is not self

    def _add_connection_field(self, headers: message.Headers) -> None:
        if self.has_requests_behind():
            # The client would take the requests behind a closing response for
            # unread, although they have been started.
            return
        super()._add_connection_field(headers)
        if not self.keep_alive:
            self.pipeline.closing = True

    async def _write(self, data: bytes) -> None:
        pipeline = self.pipeline
        if not self.turn.is_set():
            if pipeline.may_hold(len(data)):
                pipeline.change_held(len(data))
                self.held.append(data)
                return
            await self.turn.wait()
        await super()._write(data)

    def discard_held(self) -> bool:
        """Discards a response of which nothing has been sent yet.

        Returns:
            Whether another response may be sent in its place.
        """
        if self.sending:
            return False
        self.pipeline.change_held(-sum(map(len, self.held)))
        self.held = []
        self.answer_started = False
        return True

    async def take_turn(self) -> None:
        """Sends what is held; later parts are sent at once."""
        self.sending = True
        while self.held:
            parts, self.held = self.held, []
            data = b"".join(parts)
            try:
                await super()._write(data)
            finally:
                self.pipeline.change_held(-len(data))
        self.turn.set()


class Pipeline:
    """The overlapping requests of one connection.

    Args:
        connection: The connection.

    Attributes:
        pending: Exchanges in the order of their requests, until their
            responses have been sent.
        held_bytes: Bytes held by all exchanges.
        closing: Whether a response has announced that the connection closes.
        advancing: Whether responses that are due are being sent.
        receiving: Whether the next request head is being received.
        exclusive: Request that runs alone and isn't answered yet, or None.
        error: First error that ended the connection, or None.
        scope: Cancels all work of the pipeline.
    """

    def __init__(self, connection: http1.ServerConnection):
        self.connection = connection
        self.pending: collections.deque[Exchange] = collections.deque()
        self.held_bytes = 0
        self.closing = False
        self.receiving = False
        self.exclusive: message.RequestHead | None = None
        self.error: Exception | None = None
        self.scope = anyio.CancelScope()
        self.advancing = False
        self._changed = anyio.Event()

    def may_hold(self, size: int) -> bool:
        """Returns whether a part of a response may wait for its turn here.

        Otherwise the target that sends it has to wait.
        """
        account = self.connection.account
        if account is not None and account.held_back:
            return False
        return self.held_bytes + size <= MAX_HELD_BYTES

    def change_held(self, size: int) -> None:
        """Adds to the bytes that are held."""
        self.held_bytes += size
        if self.connection.account is not None:
            self.connection.account.change(size)

    def add(self, head: message.RequestHead) -> Exchange:
        """Adds a request behind the pending ones."""
        exchange = Exchange(self, head)
        if not self.pending:
            exchange.sending = True
            exchange.turn.set()
        self.pending.append(exchange)
        invariants.require(
            len(self.pending) <= MAX_OVERLAPPING, "pipeline_length"
        )
        return exchange

    async def advance(self) -> None:
        """Removes finished exchanges and gives the next one its turn."""
        invariants.require(not self.advancing, "pipeline_order")
        self.advancing = True
        while self.pending and self.pending[0].finished:
            if not self.pending[0].turn.is_set():
                await self.pending[0].take_turn()
            self.pending.popleft()
            self.connection.answer_started = True
            self.notify()
            if self.pending:
                await self.pending[0].take_turn()
        self.advancing = False
        if self.closing and not self.pending:
            self.scope.cancel()

    def fail(self, error: Exception) -> None:
        """Ends the connection with an error."""
        if self.error is None:
            self.error = error
        self.scope.cancel()

    async def wait_for_room(self) -> None:
        """Returns once another request may be started."""
        while len(self.pending) >= MAX_OVERLAPPING:
            await self._changed.wait()

    async def wait_for_whole_responses(
        self, may_be_long: Callable[[message.RequestHead], bool]
    ) -> None:
        """Returns once no response can take further requests along.

        If the rest of a response that was sent in part is lost, the connection
        ends, and requests that were started behind it get no response.

        Args:
            may_be_long: Tells whether the response to a request may be sent
                before it is known to be whole.
        """
        while self.pending and (
            (self.pending[0].answer_started and not self.pending[0].finished)
            or any(
                not exchange.finished and may_be_long(exchange.request)
                for exchange in self.pending
            )
        ):
            await self._changed.wait()

    async def wait_until_empty(self) -> None:
        """Returns once all responses have been sent."""
        while self.pending:
            await self._changed.wait()

    def list_unanswered(self) -> list[message.RequestHead]:
        """Returns the started requests without a complete response."""
        requests = [exchange.request for exchange in self.pending]
        return [self.exclusive, *requests] if self.exclusive else requests

    def notify(self) -> None:
        """Wakes the tasks that wait for a change."""
        self._changed.set()
        self._changed = anyio.Event()


def discard_held(connection: http1.ServerConnection) -> bool:
    """Discards a response that is held; returns whether another may be sent."""
    return isinstance(connection, Exchange) and connection.discard_held()
