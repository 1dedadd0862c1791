"""Tells which requests of one connection may run beside each other.

Load pattern: downloads that are broken off, with requests behind them. Only the
end of its connection shows that an answer of which a part was sent is cut, and
it ends the requests behind it as well. If requests behind an answer up to
calls.MAX_BUFFERED_BODY_BYTES were started, it is read completely before its
first part is sent. Behind one that may be longer, requests are not started
before it has been sent completely.
"""

import collections
from collections.abc import Callable
import math
import time

import structlog

from waxwingferry.connection import http1
from waxwingferry.request import calls
from waxwingferry.version import revision as revisions

MAX_ROUTES = 1024
# A route counts as one with long answers for this time after the last of them.
# Until then its short answers hold up the requests behind them as well.
LONG_ANSWER_MEMORY_S = 600.0

log = structlog.get_logger()


class Overlaps:
    """Decides by the document and by the answers of each route.

    A route without an answer so far may have long ones. The first long answer
    of a route that had short ones can still take along requests behind it,
    which may all be repeated.

    Args:
        revision: Returns the newest document known, or None.
        clock: Monotonic time in seconds.
        on_long: Called when a route that had no long answers has one.

    Attributes:
        long_until_s: For each route with an answer, the time until which its
            answers may be long; the route that was asked for least recently
            comes first.
    """

    def __init__(
        self,
        revision: Callable[[], revisions.Revision | None],
        clock: Callable[[], float] = time.monotonic,
        on_long: Callable[[], None] = lambda: None,
    ):
        self.on_long = on_long
        self.revision = revision
        self.clock = clock
        self.long_until_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def may_overlap(self, head: http1.RequestHead) -> bool:
        """Tells whether a request may run beside others of its connection.

        A request that must not be repeated waits for its turn: if the
        connection closes before that, its client knows that it has not run.
        """
        if head.has_body or head.version != "1.1":
            return False
        route = self._match_route(head)
        return route is not None and route.idempotent

    def may_be_long(self, head: http1.RequestHead) -> bool:
        """Tells whether an answer may be sent before it is known to be whole.

        Called only if another request arrives before the answer is sent.
        """
        if head.method == "HEAD":
            return False
        route = self._match_route(head)
        if route is None:
            return False
        if route.name not in self.long_until_s:
            return True
        self.long_until_s.move_to_end(route.name)
        return self.clock() < self.long_until_s[route.name]

    def record_answer(
        self,
        call: calls.Call,
        connection: http1.ServerConnection,
        whole: bool,
    ) -> None:
        """Records how long an answer was.

        Args:
            call: The call.
            connection: Connection that the answer was sent on.
            whole: Whether it was sent completely.
        """
        if call.method == "HEAD" or not call.idempotent:
            return
        until_s = self.long_until_s.get(call.route, -math.inf)
        size = connection.answer_bytes
        if size > calls.MAX_BUFFERED_BODY_BYTES:
            now_s = self.clock()
            if until_s <= now_s:
                # At most one line for a route in LONG_ANSWER_MEMORY_S.
                log.info(
                    "requests wait behind the answers of a route",
                    route=call.route,
                    request=call.request_id,
                    sent_bytes=size,
                    whole=whole,
                )
                self.on_long()
            until_s = now_s + LONG_ANSWER_MEMORY_S
        elif not whole:
            return
        self.long_until_s[call.route] = until_s
        if len(self.long_until_s) > MAX_ROUTES:
            self.long_until_s.popitem(last=False)

    def _match_route(self, head: http1.RequestHead) -> revisions.Route | None:
        revision = self.revision()
        if revision is None:
            return None
        host = http1.find_header(head.headers, "host")
        return revision.match_route(head.method, head.target, host)
