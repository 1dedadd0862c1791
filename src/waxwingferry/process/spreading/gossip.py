"""Gossip between nodes: JSON datagrams over UDP.

Each second a node sends a digest to one random peer. It contains the revision
of its document, a fingerprint of its member rows, and recently changed rows.
A peer with newer state replies with its own digest. Updates are forwarded
immediately to four random peers, each a bounded number of times. State that
datagrams don't deliver is fetched over the peer listener.
"""

from collections.abc import Callable
import dataclasses
import math
import random
import time
from typing import Annotated
from typing import Literal

import anyio
import msgspec
import structlog

from waxwingferry import decoding
from waxwingferry import invariants
from waxwingferry.process.spreading import members

MAX_DATAGRAM_BYTES = 1200
MAX_ROWS = 16
MAX_SUSPECTS = 6
DIGEST_INTERVAL_S = 1.0
# Random variation of the digest interval, as a share of it.
JITTER = 0.2
FANOUT = 4
# One pass to 4 peers reaches 98% of the nodes. Three passes reach all of 660
# except with a probability of 0.4%; digests reach the rest.
PASSES = 3
# Up to this size, one pass and the digests of one second reach all nodes.
SINGLE_PASS_NODES = 128
# Up to this size, a node sends its own row to all others directly.
SMALL_CLUSTER_NODES = 16
# Number of peers that a changed load is sent to. Sending it to more costs more
# bytes than the requests that a slow target refuses and that are then rerouted.
LOAD_FANOUT = 16
# In small clusters, and when there are many rows, such as when a failure domain
# returns, each row is forwarded only once.
REDUCED_PASSES = 1
COALESCE_S = 0.01
PASS_INTERVAL_S = 0.25
# A reply to a mismatching digest contains the rows changed within this time.
RECENT_S = 30.0
# A digest contains the rows whose updates may still be in transit.
DIGEST_RECENT_S = 3.0
# All control traffic of a node has a budget of 22 KB/s.
BYTES_PER_S = 11_000.0
BURST_BYTES = 33_000.0
# Digests to seeds merge groups of nodes that have no members in common.
SEED_SHARE = 0.1
# Digests differ temporarily while updates are in transit.
MISMATCHES_BEFORE_SYNC = 3
SYNC_INTERVAL_S = 30.0
IN_STEP_S = 2.0
MALFORMED_LOG_INTERVAL_S = 30.0

Address = tuple[str, int]

log = structlog.get_logger()


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A node process that refused connections."""

    node: members.Name
    incarnation: members.Name


class Datagram(msgspec.Struct, omit_defaults=True):
    """One message between two nodes.

    Attributes:
        sender: Name of the node that sent it.
        kind: Only a digest may cause a reply; news are updates that are
            forwarded.
        revision: Revision of the sender's document, or 0.
        fingerprint: Hash of all member rows of the sender.
        rows: Member rows that are new or recently changed.
        suspects: Nodes that refused the sender's connections. A receiver
            treats them as suspects only if its own connection check fails.
    """

    sender: members.Name
    kind: Literal["digest", "reply", "news"]
    revision: members.Counter
    fingerprint: int
    rows: Annotated[
        list[members.MemberRow], msgspec.Meta(max_length=MAX_ROWS)
    ] = []
    suspects: Annotated[
        list[Suspect], msgspec.Meta(max_length=MAX_SUSPECTS)
    ] = []


class LoadPush(msgspec.Struct, frozen=True, array_like=True):
    """The load of one target, pushed by its node.

    It is encoded as a MessagePack array, because it is the most frequent
    datagram.

    Attributes:
        slow_percent: Service time in percent; 100 is the normal one.
        wait_ms: Time until the rate that the target states allows a request;
            None if it states none.
        busy: Whether the node would refuse a request that may go elsewhere.
        incarnation: The process that pushes; empty if it doesn't state it.
    """

    node: members.Name
    in_flight: members.Counter
    queue: members.Counter
    limit: members.Counter
    slow_percent: members.Counter
    wait_ms: members.Counter | None = None
    busy: bool = False
    incarnation: members.OptionalIncarnation = ""


# First byte of a datagram with a LoadPush; JSON never begins with it.
LOAD_TYPE_BYTE = b"\x01"


def encode_load(push: LoadPush) -> bytes:
    """Returns the datagram with a load."""
    return LOAD_TYPE_BYTE + msgspec.msgpack.encode(push)


@dataclasses.dataclass(slots=True)
class _PendingItem:
    """An update that is being forwarded.

    It has a row, a suspect, or neither for a new document revision.
    """

    row: members.MemberRow | None = None
    suspect: Suspect | None = None
    passes: int = 0


@dataclasses.dataclass(slots=True)
class Counts:
    """Traffic counters of one node."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    malformed: int = 0
    oversized: int = 0
    delayed: int = 0


class Gossiper:
    """The gossip protocol of one node.

    Args:
        membership: The known members; calls add_row through on_newer_row.
        revision: Returns the revision of the document in force, or 0.
        send: Sends a datagram, without guarantee of delivery.
        rng: Source of peers and jitter.
        seeds: Addresses used while no peers are known.
        clock: Monotonic time in seconds.

    Attributes:
        on_load: Called with each load pushed by another node.
        handlers: Handlers for datagrams of other modules, by first byte, which
            must not begin JSON or a LoadPush. They may raise DecodingError.
        newer_from: A peer that has a newer document, and its revision.
        contact: Address that the newest datagram of another node came from,
            or None.
        contacted: Set once there is a contact.
        sync_from: A peer whose member rows have differed for several digests.
        matched_s: Monotonic time of the latest digest of a peer with the same
            member rows.
        announces_widely: Tells whether the revision of a new document is sent
            to all nodes at once, because most may not know of it yet.
    """

    def __init__(
        self,
        membership: members.Membership,
        revision: Callable[[], int],
        send: Callable[[Address, bytes], None],
        rng: random.Random,
        seeds: tuple[Address, ...] = (),
        clock: Callable[[], float] = time.monotonic,
    ):
        self.membership = membership
        self.revision = revision
        self.send = send
        self.rng = rng
        self.seeds = seeds
        self.clock = clock
        self.counts = Counts()
        self.pending: dict[str, _PendingItem] = {}
        self.has_pending = anyio.Event()
        self.newer_from: tuple[Address, int] | None = None
        self.contact: Address | None = None
        self.contacted = anyio.Event()
        self.sync_from: Address | None = None
        self.fetch_requested = anyio.Event()
        self.mismatches = 0
        self.matched_s = -math.inf
        self.malformed_logged_s = clock() - MALFORMED_LOG_INTERVAL_S
        self.synced_s = clock() - SYNC_INTERVAL_S
        self.tokens = BURST_BYTES
        self.tokens_s = clock()
        self.encoder = msgspec.json.Encoder()
        self.decoder = msgspec.json.Decoder(Datagram)
        self.load_decoder = msgspec.msgpack.Decoder(LoadPush)
        self.on_load: Callable[[LoadPush], None] = lambda push: None
        self.handlers: dict[bytes, Callable[[bytes], None]] = {}
        self.announces_widely: Callable[[], bool] = lambda: False

    def add_row(self, row: members.MemberRow) -> None:
        """Queues a new member row for forwarding."""
        self.pending[row.node] = _PendingItem(row)
        self.has_pending.set()

    def add_revision(self) -> None:
        """Queues the revision of a new document for forwarding."""
        self.pending[""] = _PendingItem()
        self.has_pending.set()

    def add_suspect(self, row: members.MemberRow) -> None:
        """Queues a request to other nodes to check a suspect."""
        suspect = Suspect(row.node, row.incarnation)
        self.pending[f"?{row.node}"] = _PendingItem(suspect=suspect)
        self.has_pending.set()

    def receive(self, data: bytes, address: Address) -> None:
        """Handles one datagram; invalid ones are counted and dropped."""
        self.counts.received += 1
        self.counts.received_bytes += len(data)
        if len(data) > MAX_DATAGRAM_BYTES:
            self.counts.oversized += 1
            return
        if data[:1] == LOAD_TYPE_BYTE:
            self._receive_load(data[1:], address)
            return
        handler = self.handlers.get(data[:1])
        if handler is not None:
            self._call_handler(handler, data[1:], address)
            return
        try:
            datagram = decoding.decode(self.decoder.decode, data)
        except decoding.DecodingError as error:
            self._count_malformed(address, error)
            return
        if datagram.sender == self.membership.node:
            return
        self._record_contact(address)
        self.membership.record_contact(datagram.sender)
        self.membership.apply_all(datagram.rows)
        for suspect in datagram.suspects:
            self.membership.request_check(suspect.node, suspect.incarnation)
        own_revision = self.revision()
        if datagram.revision > own_revision:
            self._request_document(address, datagram.revision)
        same = datagram.fingerprint == self.membership.fingerprint
        if datagram.kind != "news":
            self._track_mismatch(same, address)
        behind = datagram.revision < own_revision or not same
        if datagram.kind == "digest" and behind:
            self.send_digest(address, "reply")

    def pushes_reach_all(self) -> bool:
        """Returns whether a pushed load reaches all other nodes."""
        return len(self.membership.records) <= LOAD_FANOUT + 1

    def push_load(self, push: LoadPush) -> None:
        """Sends the load of the local target to random peers."""
        data = encode_load(push)
        for address in self.choose_peers(LOAD_FANOUT):
            self._transmit(address, data, urgent=True)

    def send_to(self, node: str, data: bytes) -> None:
        """Sends another module's datagram to a node if it is a member."""
        record = self.membership.records.get(node)
        if record is not None:
            self._transmit(record.row.address, data, urgent=True)

    def send_to_random(self, data: bytes, count: int) -> None:
        """Sends another module's datagram to random peers."""
        for address in self.choose_peers(count):
            self._transmit(address, data)

    def _call_handler(
        self, handler: Callable[[bytes], None], data: bytes, address: Address
    ) -> None:
        try:
            handler(data)
        except decoding.DecodingError as error:
            self._count_malformed(address, error)

    def _count_malformed(
        self, address: Address, error: decoding.DecodingError
    ) -> None:
        self.counts.malformed += 1
        now_s = self.clock()
        if now_s - self.malformed_logged_s < MALFORMED_LOG_INTERVAL_S:
            return
        self.malformed_logged_s = now_s
        log.warning(
            "malformed datagram dropped",
            host=address[0],
            error=str(error),
            count=self.counts.malformed,
        )

    def _record_contact(self, address: Address) -> None:
        self.contact = address
        self.contacted.set()

    def _receive_load(self, data: bytes, address: Address) -> None:
        try:
            push = decoding.decode(self.load_decoder.decode, data)
        except decoding.DecodingError as error:
            self._count_malformed(address, error)
            return
        self._record_contact(address)
        self.membership.record_contact(push.node)
        self.on_load(push)

    def _request_document(self, address: Address, revision: int) -> None:
        if self.newer_from is None or self.newer_from[1] <= revision:
            self.newer_from = (address, revision)
        self.fetch_requested.set()

    def is_in_step(self) -> bool:
        """Returns whether a peer recently had the same member rows."""
        return self.clock() - self.matched_s < IN_STEP_S

    def _track_mismatch(self, same: bool, address: Address) -> None:
        if same:
            self.mismatches = 0
            self.matched_s = self.clock()
            return
        self.mismatches += 1
        due = self.clock() - self.synced_s >= SYNC_INTERVAL_S
        if self.mismatches >= MISMATCHES_BEFORE_SYNC and due:
            self.mismatches = 0
            self.synced_s = self.clock()
            self.sync_from = address
            self.fetch_requested.set()
            own = self.membership.own
            if own is not None:
                # If the other nodes lack only this row, none of them fetches.
                self.add_row(own)

    def send_digest(
        self, address: Address, kind: Literal["digest", "reply"] = "digest"
    ) -> None:
        """Sends a digest with as many recent rows as fit.

        If there are too many, a random sample is sent.
        """
        span_s = DIGEST_RECENT_S if kind == "digest" else RECENT_S
        recent = self.membership.recent_rows(self.clock() - span_s)
        if len(recent) > MAX_ROWS:
            recent = self.rng.sample(recent, MAX_ROWS)
        data, _ = self._encode(kind, recent)
        self._transmit(address, data)

    def _encode(
        self,
        kind: Literal["digest", "reply", "news"],
        rows: list[members.MemberRow],
        suspects: list[Suspect] | None = None,
    ) -> tuple[bytes, int]:
        """Returns a datagram and the number of rows that it contains."""
        datagram = Datagram(
            self.membership.node,
            kind,
            self.revision(),
            self.membership.fingerprint,
            suspects=suspects or [],
        )
        # An empty list of rows is omitted together with its field name.
        size = len(self.encoder.encode(datagram)) + len(b',"rows":[]')
        for row in rows[:MAX_ROWS]:
            size += len(self.encoder.encode(row)) + 1
            if size > MAX_DATAGRAM_BYTES:
                break
            datagram.rows.append(row)
        data = self.encoder.encode(datagram)
        invariants.require(len(data) <= MAX_DATAGRAM_BYTES, "datagram_length")
        return data, len(datagram.rows)

    def _transmit(
        self, address: Address, data: bytes, urgent: bool = False
    ) -> None:
        now_s = self.clock()
        gained = (now_s - self.tokens_s) * BYTES_PER_S
        self.tokens = min(self.tokens + gained, BURST_BYTES)
        self.tokens_s = now_s
        if self.tokens < len(data) and not urgent:
            self.counts.delayed += 1
            return
        self.tokens = max(self.tokens - len(data), 0)
        invariants.require(self.tokens <= BURST_BYTES, "datagram_bytes")
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self.send(address, data)

    def choose_peers(self, count: int) -> list[Address]:
        """Returns random peers, or seeds if there are no peers."""
        peers: list[Address] = [row.address for row in self.membership.peers()]
        peers = peers or list(self.seeds)
        return self.rng.sample(peers, min(count, len(peers)))

    def send_periodic_digest(self) -> None:
        """Sends the periodic digest to one random peer or seed."""
        if self.seeds and self.rng.random() < SEED_SHARE:
            self.send_digest(self.rng.choice(self.seeds))
            return
        for address in self.choose_peers(1):
            self.send_digest(address)

    def send_pending(self) -> None:
        """Sends all pending updates to random peers once."""
        self._send_revision_and_suspects()
        items = list(self.pending.values())
        rows = [item.row for item in items if item.row is not None]
        passes = None
        while rows:
            if self.tokens_left() < FANOUT * MAX_DATAGRAM_BYTES:
                return
            data, count = self._encode("news", rows)
            if not count:
                # Names of another writer may take several bytes per character.
                log.warning("member row not forwarded", node=rows[0].node)
                del self.pending[rows.pop(0).node]
                continue
            for address in self._choose_receivers(rows[:count]):
                self._transmit(address, data)
            if passes is None:
                few = len(self.membership.records) <= SINGLE_PASS_NODES
                many = count < len(rows)
                passes = REDUCED_PASSES if few or many else PASSES
            for row in rows[:count]:
                self._count_pass(row.node, passes)
            rows = rows[count:]

    def _choose_receivers(self, rows: list[members.MemberRow]) -> list[Address]:
        """Returns the peers to forward rows to.

        In a small cluster a node sends its own row to all others. Each of
        them forwards it to one more, in case the sender can't reach it.
        """
        if len(self.membership.records) > SMALL_CLUSTER_NODES:
            return self.choose_peers(FANOUT)
        own = any(row.node == self.membership.node for row in rows)
        return self.choose_peers(SMALL_CLUSTER_NODES if own else 1)

    def _send_revision_and_suspects(self) -> None:
        """Sends the pending revision and suspects.

        The revision is sent even if the byte budget is used up. It is one
        short datagram per peer and must not be delayed by rows.
        """
        urgent = "" in self.pending
        named = [
            (key, item.suspect)
            for key, item in self.pending.items()
            if item.suspect is not None
        ][:MAX_SUSPECTS]
        if not urgent and not named:
            return
        suspects = [suspect for _, suspect in named]
        data, _ = self._encode("news", [], suspects)
        first = urgent and not self.pending[""].passes
        wide = first and self.announces_widely()
        for address in self.choose_peers(
            len(self.membership.records) if wide else FANOUT
        ):
            self._transmit(address, data, urgent)
        for key in [""] * urgent + [key for key, _ in named]:
            self._count_pass(key, PASSES)

    def _count_pass(self, key: str, passes: int) -> None:
        item = self.pending[key]
        item.passes += 1
        invariants.require(item.passes <= PASSES, "datagram_passes")
        if item.passes >= passes:
            del self.pending[key]

    def tokens_left(self) -> float:
        """Returns the number of bytes that may be sent now."""
        gained = (self.clock() - self.tokens_s) * BYTES_PER_S
        return min(self.tokens + gained, BURST_BYTES)

    async def run_digests(self) -> None:
        """Sends a digest each second."""
        while True:
            await anyio.sleep(
                DIGEST_INTERVAL_S * self.rng.uniform(1 - JITTER, 1 + JITTER)
            )
            self.send_periodic_digest()

    async def run_dissemination(self) -> None:
        """Sends updates as soon as there are any."""
        while True:
            await self.has_pending.wait()
            self.has_pending = anyio.Event()
            await anyio.sleep(COALESCE_S)
            while self.pending:
                self.send_pending()
                with anyio.move_on_after(PASS_INTERVAL_S):
                    await self.has_pending.wait()
                self.has_pending = anyio.Event()
