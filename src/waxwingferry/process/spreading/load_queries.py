"""Asks a few nodes for the present load of their targets before a choice.

In a small cluster each node pushes changes of its target's load to all others.
In a larger one a push reaches a part of the entries only, so that most choices
would go by reports that are older than the slow phases of a VM. An entry then
samples targets and asks their nodes just before it chooses among those that
answer. Comparing a few sampled targets is enough for a balanced load (M.
Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001);
asking just in time is described by B. Wydrowski et al., "Load is not what you
should balance: Introducing Prequal", NSDI 2024.

A query is a datagram with the name of the node that asks, and the reply is the
same datagram as a push of the load. Queries have a budget of their own; beyond
it the entry chooses by the reports that it has.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import time

import anyio
import msgspec

from waxwingferry import decoding
from waxwingferry.process import metrics
from waxwingferry.process.choice import known_target
from waxwingferry.process.spreading import gossip
from waxwingferry.process.spreading import members

# First byte of each datagram; see version_rollouts.TYPE_BYTES.
TYPE_BYTE = b"\x07"
# A target's speed and load hardly change within this time.
FRESH_S = 0.05
# Several round trips within a region. A node that takes longer is cut off,
# stopped, or short of processor time, and is no good choice.
REPLY_TIMEOUT_S = 0.02
QUERIES_PER_S = 100.0
QUERY_BURST = 200.0
# Nodes that wait for the same reply. The queries of more are dropped, and those
# nodes choose among other targets.
MAX_ASKING = 256


class Query(msgspec.Struct, frozen=True, array_like=True):
    """A request for the load of the receiver's target.

    Attributes:
        node: Name of the node that asks.
    """

    node: members.Name


class LoadQueries:
    """Sends and answers the queries of one node.

    Args:
        gossiper: Gossip protocol of this node.
        update_load: Makes sure that the load of the local target is known as
            of now.
        make_push: Returns the load of the local target, or None if it takes
            no work.
        counters: Metrics of the node.
        clock: Monotonic time in seconds, that of the load reports.

    Attributes:
        asking: Nodes that wait for a reply of this one.
        asked: Set when a query arrives.
        reported: Set when a report arrives, then replaced.
    """

    def __init__(
        self,
        gossiper: gossip.Gossiper,
        update_load: Callable[[], Awaitable[None]],
        make_push: Callable[[], gossip.LoadPush | None],
        counters: metrics.Metrics,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.gossiper = gossiper
        self.update_load = update_load
        self.make_push = make_push
        self.counters = counters
        self.clock = clock
        self.asking: dict[str, None] = {}
        self.asked = anyio.Event()
        self.reported = anyio.Event()
        self.tokens = QUERY_BURST
        self.tokens_s = clock()
        self.decoder = msgspec.msgpack.Decoder(Query)
        gossiper.handlers[TYPE_BYTE] = self.receive

    def is_needed(self) -> bool:
        """Returns whether pushes reach only a part of the nodes."""
        return not self.gossiper.pushes_reach_all()

    def record_report(self) -> None:
        """Wakes the choices that wait for a report."""
        self.reported.set()
        self.reported = anyio.Event()

    async def find_reporting(
        self, candidates: list[known_target.Candidate]
    ) -> list[known_target.Candidate]:
        """Returns the candidates whose load is known as of now.

        The nodes of the others are asked and get a short time to reply.

        Args:
            candidates: Some targets of one service.
        """
        asked_s = self.clock()
        waiting = [
            item
            for item in candidates
            if not self._is_fresh(item, asked_s) and self._query(item.node)
        ]
        with anyio.move_on_after(REPLY_TIMEOUT_S):
            while any(item.load.at_s < asked_s for item in waiting):
                await self.reported.wait()
        for item in waiting:
            if item.load.at_s < asked_s:
                self.counters.events.inc({"event": "load_query_unanswered"})
        return [item for item in candidates if self._is_fresh(item, asked_s)]

    def _is_fresh(self, item: known_target.Candidate, now_s: float) -> bool:
        # The load of the local target is known without a report.
        is_local = item.node == self.gossiper.membership.node
        return is_local or now_s - item.load.at_s <= FRESH_S

    def _query(self, node: str) -> bool:
        """Asks a node; returns whether the budget allowed it."""
        now_s = self.clock()
        gained = (now_s - self.tokens_s) * QUERIES_PER_S
        self.tokens = min(self.tokens + gained, QUERY_BURST)
        self.tokens_s = now_s
        if self.tokens < 1:
            self.counters.events.inc({"event": "load_query_suppressed"})
            return False
        self.tokens -= 1
        self.counters.events.inc({"event": "load_query_sent"})
        query = Query(self.gossiper.membership.node)
        self.gossiper.send_to(node, TYPE_BYTE + msgspec.msgpack.encode(query))
        return True

    def receive(self, data: bytes) -> None:
        """Handles a query.

        Raises:
            decoding.DecodingError: The datagram is malformed.
        """
        query = decoding.decode(self.decoder.decode, data)
        if len(self.asking) >= MAX_ASKING:
            self.counters.events.inc({"event": "load_query_dropped"})
            return
        self.asking[query.node] = None
        self.asked.set()

    async def run(self) -> None:
        """Answers queries until cancelled."""
        while True:
            await self.asked.wait()
            self.asked = anyio.Event()
            await self.answer()

    async def answer(self) -> None:
        """Answers the queries that have arrived."""
        await self.update_load()
        asking, self.asking = self.asking, {}
        push = self.make_push()
        if push is None:
            return
        data = gossip.encode_load(push)
        for node in asking:
            self.gossiper.send_to(node, data)
