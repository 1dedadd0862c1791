"""Group membership: the newest row of each node, and the usable targets.

Rows of one node are ordered by (generation, change, incarnation):

- The generation is set once, when the process starts. It is the wall clock in
  milliseconds, raised above every generation that the table or a peer has for
  the node's name. A process therefore outranks its predecessor even if the
  clock was set back in between, and a clock step while the process runs has no
  effect.
- The change number counts the rows that one process announced.
- The incarnation breaks ties between processes with the same generation.

Lease renewals do not change the order. They are written only to the table,
where they appear as a new version of the row.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import time
from typing import Annotated
from typing import Any
from typing import Literal

import anyio
import msgspec
import structlog
import xxhash

from waxwingferry import invariants
from waxwingferry.process.choice import known_target

PREFIX = "members/"
LEASE_TTL_S = 180.0
# Maximum age that one read adds to a lease. A longer gap means that reads
# failed, in which case the other nodes could not renew their leases either.
MAX_AGE_STEP_S = 45.0
# A row that was not renewed for this long belongs to a VM that was replaced.
REMOVE_AFTER_S = 3600.0
# Bounds of the exponential backoff between connection checks of a suspect.
SUSPECT_RETRY_MIN_S = 1.0
SUSPECT_RETRY_MAX_S = 10.0
# Nodes that check whether the connections to the table are silent.
PROBERS = 2
# A node that may have a role and was not heard from for this long is checked.
SILENCE_LIMIT_S = 4.0
# Nodes at each end of an order of roles that are checked, so that it is known
# whether the successors of those that are gone are there.
CHECKED_RANKS = 3
# A stopping node gets messages for this long, as it still handles requests.
STOP_TIME_S = 10.0
MAX_MEMBERS = 5000

log = structlog.get_logger()

# The lengths are limited so that any row fits in a datagram.
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][\w.:-]{0,62}\Z")]
# Incarnations are sent in header fields.
_INCARNATION = r"[A-Za-z0-9][A-Za-z0-9_.:-]{0,62}"
Incarnation = Annotated[str, msgspec.Meta(pattern=rf"^{_INCARNATION}\Z")]
OptionalIncarnation = Annotated[
    str, msgspec.Meta(pattern=rf"^(?:{_INCARNATION})?\Z")
]
_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
# Resolving a host name would block the event loop with each datagram.
Host = Annotated[
    str,
    msgspec.Meta(
        pattern=rf"^(?:(?:{_OCTET}\.){{3}}{_OCTET}"
        r"|[0-9A-Fa-f]{1,4}:[0-9A-Fa-f:.]{1,40})\Z"
    ),
]
Counter = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
# Above each wall clock in milliseconds until the year 2286.
MAX_GENERATION = 10**13
Generation = Annotated[int, msgspec.Meta(ge=0, le=MAX_GENERATION)]


class MemberRow(msgspec.Struct, frozen=True, array_like=True):
    """What a node announces about itself and its target.

    A row is encoded as a JSON array in datagrams, eight of which fit in one,
    and as an object in the table. New fields must be appended.

    Attributes:
        generation: Orders the processes of one node.
        change: Orders the rows of one process.
        host: IP address of the node's peer listener.
        state: Whether the target takes work; "leaving" if it does but the node
            gives it none.
        target: Incarnation of the target, or empty.
        stopping: Whether the node process stops, whatever its target does.
    """

    node: Name
    service: Name
    version: Name
    region: Name
    failure_domain: Name
    host: Host
    peer_port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    incarnation: Incarnation
    state: Literal["ready", "draining", "leaving"]
    slots: Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    generation: Generation = 0
    change: Counter = 0
    target: OptionalIncarnation = ""
    stopping: bool = False

    @property
    def order(self) -> tuple[int, int, str]:
        """Sort key; of two rows of a node, the greater one is newer."""
        return (self.generation, self.change, self.incarnation)

    @property
    def has_left(self) -> bool:
        """Whether the node leaves, or gives its target no work for now."""
        return self.stopping or self.state == "leaving"

    @property
    def address(self) -> tuple[str, int]:
        """Address of the node's peer listener."""
        return (self.host, self.peer_port)

    def fingerprint(self) -> int:
        """Returns a hash of the node's name and the row's order."""
        text = f"{self.node}:{self.generation}:{self.change}:{self.incarnation}"
        return xxhash.xxh3_64_intdigest(text.encode())


class RowError(Exception):
    """A member row is malformed."""


def parse_row(node: str, data: Any) -> MemberRow:
    """Validates a row from the table.

    Raises:
        RowError: The row is malformed.
    """
    try:
        values = {
            "generation": 0,
            "change": 0,
            "target": "",
            "stopping": False,
            **data,
            "node": node,
        }
        ordered = [values[name] for name in MemberRow.__struct_fields__]
        return msgspec.convert(ordered, MemberRow)
    except (msgspec.ValidationError, KeyError, TypeError) as error:
        raise RowError(repr(error)) from error


def format_row(row: MemberRow) -> dict[str, Any]:
    """Returns a row in the format of the table."""
    return msgspec.structs.asdict(row)


@dataclasses.dataclass(slots=True)
class Record:
    """A member row with its local state.

    Attributes:
        changed_s: Monotonic time at which the row was received.
        version: Version of the row in the table, or 0 if unknown.
        age_s: Time since the last observed renewal, counted only while the
            table could be read.
        suspect: Whether this node failed to connect to the member.
        check_requested: Whether a peer reported the member as suspect, so
            that this node has to check it.
        heard_s: Monotonic time at which the member was last heard from, or its
            row was received.
    """

    row: MemberRow
    changed_s: float
    heard_s: float
    version: int = 0
    age_s: float = 0.0
    suspect: bool = False
    check_requested: bool = False
    suspect_until_s: float = 0.0
    suspect_delay_s: float = SUSPECT_RETRY_MIN_S


class Membership:
    """The members known to this node.

    Attributes:
        candidates: All targets by node, for the entry.
        removed_orders: Orders of removed rows, so that a peer that still
            has them can't add them again.
        leaving_targets: Incarnations of targets that leave, with the process of
            their node that announced it; empty if a target stated it in a
            response. A later process may not know of it and announce the
            target as ready.
        predecessor: Newest row of another process of this node, or None.
        on_predecessor: Called when the predecessor changes.
        fingerprint: Hash of all rows, independent of their order of arrival.

    Args:
        node: Name of this node.
        clock: Monotonic time in seconds.
        on_newer_row: Called with each row that replaces an older one.
        on_name_conflict: Called with a row of this node's name that another
            process wrote and that outranks the own row.
    """

    def __init__(
        self,
        node: str,
        clock: Callable[[], float] = time.monotonic,
        on_newer_row: Callable[[MemberRow], None] = lambda row: None,
        on_name_conflict: Callable[[MemberRow], None] = lambda row: None,
    ):
        self.node = node
        self.clock = clock
        self.on_newer_row = on_newer_row
        self.on_name_conflict = on_name_conflict
        self.own: MemberRow | None = None
        self.predecessor: MemberRow | None = None
        self.on_predecessor: Callable[[], None] = lambda: None
        self.own_changed = anyio.Event()
        self.records: dict[str, Record] = {}
        self.candidates: dict[str, known_target.Candidate] = {}
        self.removed_orders: dict[str, tuple[int, int, str]] = {}
        self.leaving_targets: dict[str, str] = {}
        self.usable_targets: dict[str, list[known_target.Candidate]] | None = (
            None
        )
        self.member_count: int | None = None
        self.fingerprint = 0
        self.last_table_read_s: float | None = None

    @property
    def by_service(self) -> dict[str, list[known_target.Candidate]]:
        """Usable targets by service.

        Suspects and targets with an expired lease are included only if the
        service has no other ready target.
        """
        if self.usable_targets is None:
            self.usable_targets = self._group_usable()
        return self.usable_targets

    def _clear_derived(self) -> None:
        """Clears what is computed again from the records when needed."""
        self.usable_targets = None
        self.member_count = None

    def announce(self, row: MemberRow) -> None:
        """Sets this node's own row and increments its change number."""
        invariants.require_promise(row.node == self.node, "own_row_node")
        if self.own is not None:
            is_older = row.generation < self.own.generation
            invariants.require_promise(not is_older, "own_row_order")
            row = msgspec.structs.replace(row, change=self.own.change + 1)
        self.own = row
        self._store(row)
        self.own_changed.set()
        self.on_newer_row(row)

    def apply(self, row: MemberRow, forward: bool = True) -> bool:
        """Stores a row if it is newer; returns whether it was.

        Args:
            row: A row of any node.
            forward: Whether other nodes are told of a newer row.
        """
        if row.node == self.node:
            self._check_name_conflict(row)
            return False
        if not self.is_newer(row):
            return False
        if row.node not in self.records and len(self.records) >= MAX_MEMBERS:
            log.error("member list is full", node=row.node)
            return False
        self._store(row)
        if forward:
            self.on_newer_row(row)
        return True

    def is_newer(self, row: MemberRow) -> bool:
        """Returns whether a row is newer than the one known of its node."""
        known = self.records.get(row.node)
        if known is not None and row.order <= known.row.order:
            return False
        return row.order > self.removed_orders.get(row.node, _MIN_ORDER)

    def _check_name_conflict(self, row: MemberRow) -> None:
        previous = self.predecessor
        from_other_process = (
            self.own is None or row.incarnation != self.own.incarnation
        )
        if from_other_process and (
            previous is None or row.order > previous.order
        ):
            self.predecessor = row
            self._record_state(row)
            self.on_predecessor()
        if self.own is None or row.incarnation == self.own.incarnation:
            return
        if row.order > self.own.order:
            self.on_name_conflict(row)

    def _store(self, row: MemberRow) -> None:
        old = self.records.get(row.node)
        if old is not None:
            # In whatever order the network or the table delivers them.
            invariants.require(row.order > old.row.order, "member_row_order")
            self.fingerprint ^= old.row.fingerprint()
        self.fingerprint ^= row.fingerprint()
        now_s = self.clock()
        self.records[row.node] = Record(row, now_s, now_s)
        self._record_state(row)
        self._update_candidate(row)
        self._clear_derived()

    def record_leaving(self, target: str) -> None:
        """Records that a target stated in a response that it leaves.

        Args:
            target: Incarnation of the target.
        """
        if not target or target in self.leaving_targets:
            return
        self._remember_leaving(target, "")
        log.info("leave passed on in an answer", target=target)
        for record in self.records.values():
            if record.row.target == target:
                self._update_candidate(record.row)
        self._clear_derived()

    def _record_state(self, row: MemberRow) -> None:
        """Records whether a node's process announces that its target leaves."""
        announced_by = self.leaving_targets.get(row.target)
        if row.state == "draining" and row.target and announced_by != "":
            self._remember_leaving(row.target, row.incarnation)
        elif row.state == "ready" and announced_by == row.incarnation:
            # The process that announced it withdraws it.
            del self.leaving_targets[row.target]

    def _remember_leaving(self, target: str, announced_by: str) -> None:
        while len(self.leaving_targets) >= MAX_MEMBERS:
            del self.leaving_targets[next(iter(self.leaving_targets))]
        self.leaving_targets[target] = announced_by

    def _mark_leaving(self, row: MemberRow) -> MemberRow:
        """Returns a row whose state is draining if its target leaves."""
        if row.state == "ready" and row.target in self.leaving_targets:
            return msgspec.structs.replace(row, state="draining")
        return row

    def _update_candidate(self, row: MemberRow) -> None:
        row = self._mark_leaving(row)
        old = self.candidates.get(row.node)
        if old is not None and old.incarnation == row.incarnation:
            # Calls in flight refer to this object and update its counters.
            for name in _CANDIDATE_FIELDS:
                setattr(old, name, getattr(row, name))
            return
        values = {name: getattr(row, name) for name in _CANDIDATE_FIELDS}
        self.candidates[row.node] = known_target.Candidate(**values)

    def apply_renewed(
        self, row: MemberRow, version: int, forward: bool = True
    ) -> None:
        """Stores a row whose node just wrote or renewed it in the table."""
        if row.order <= self.removed_orders.get(row.node, _MIN_ORDER):
            del self.removed_orders[row.node]
        self.apply(row, forward)
        record = self.records.get(row.node)
        if record is not None and record.row.incarnation == row.incarnation:
            record.version = max(version, record.version)
            self.record_renewal(row.node)

    def record_renewal(self, node: str) -> None:
        """Resets the age of a node's lease."""
        record = self.records.get(node)
        if record is None:
            return
        if record.age_s > LEASE_TTL_S:
            self._clear_derived()
        record.age_s = 0.0

    def age_leases(self) -> list[Record]:
        """Adds the time since the last successful read to all lease ages.

        Returns:
            The records that were removed because of their age.
        """
        now_s = self.clock()
        last_s, self.last_table_read_s = self.last_table_read_s, now_s
        if last_s is None:
            return []
        step_s = min(now_s - last_s, MAX_AGE_STEP_S)
        for record in self.records.values():
            record.age_s += step_s
        self._clear_derived()
        old = [
            record
            for node, record in self.records.items()
            if record.age_s > REMOVE_AFTER_S and node != self.node
        ]
        for record in old:
            self._remove_member(record.row)
        return old

    def _remove_member(self, row: MemberRow) -> None:
        del self.records[row.node]
        del self.candidates[row.node]
        self.fingerprint ^= row.fingerprint()
        while len(self.removed_orders) >= MAX_MEMBERS:
            del self.removed_orders[next(iter(self.removed_orders))]
        self.removed_orders[row.node] = row.order
        log.info("expired member removed", node=row.node)

    def find_suspects(self) -> list[MemberRow]:
        """Returns the nodes that are due for a connection check.

        These are nodes that recently refused a connection, nodes that a peer
        could not connect to, and suspects whose backoff has elapsed.
        """
        now_s = self.clock()
        found = []
        for node, record in self.records.items():
            if node == self.node:
                continue
            refused_s = self.candidates[node].refused_at_s
            refused = now_s - refused_s < 2 * SUSPECT_RETRY_MIN_S
            if record.suspect:
                if now_s >= record.suspect_until_s:
                    found.append(record.row)
            elif record.check_requested or (refused and refused_s > 0):
                record.check_requested = False
                found.append(record.row)
        return found

    def request_check(self, node: str, incarnation: str) -> None:
        """Requests a check because a peer could not connect to a process."""
        record = self.records.get(node)
        if record is not None and record.row.incarnation == incarnation:
            record.check_requested = True

    def mark_suspect(self, node: str) -> bool:
        """Marks a node as suspect after a failed connection.

        It is excluded at once, until it is reachable again.

        Returns:
            Whether the node was not a suspect before.
        """
        record = self.records.get(node)
        if record is None or node == self.node:
            return False
        if record.suspect:
            doubled_s = record.suspect_delay_s * 2
            record.suspect_delay_s = min(doubled_s, SUSPECT_RETRY_MAX_S)
        record.suspect_until_s = self.clock() + record.suspect_delay_s
        if record.suspect:
            return False
        record.suspect = True
        self._clear_derived()
        log.warning("member does not answer", node=node)
        return True

    def record_contact(self, node: str) -> None:
        """Records that a node was heard from or accepted a connection."""
        record = self.records.get(node)
        if record is not None:
            record.heard_s = self.clock()
            self.clear_suspect(node)

    def clear_suspect(self, node: str) -> None:
        """Clears the suspicion of a node that is reachable again."""
        record = self.records.get(node)
        if record is None or not record.suspect:
            return
        record.suspect = False
        record.suspect_delay_s = SUSPECT_RETRY_MIN_S
        log.info("member answers again", node=node)
        self._clear_derived()

    def _is_current(self, node: str) -> bool:
        record = self.records[node]
        return not record.suspect and record.age_s <= LEASE_TTL_S

    def _group_usable(self) -> dict[str, list[known_target.Candidate]]:
        groups: dict[str, list[known_target.Candidate]] = {}
        for item in self.candidates.values():
            groups.setdefault(item.service, []).append(item)
        return {
            service: self._choose_usable(items)
            for service, items in groups.items()
        }

    def _choose_usable(
        self, items: list[known_target.Candidate]
    ) -> list[known_target.Candidate]:
        current = [item for item in items if self._is_current(item.node)]
        if any(item.state == "ready" for item in current):
            return current
        return items

    def recent_rows(self, newer_than_s: float) -> list[MemberRow]:
        """Returns rows received after a monotonic time, newest first."""
        recent = [
            record
            for record in self.records.values()
            if record.changed_s >= newer_than_s
        ]
        recent.sort(key=lambda record: -record.changed_s)
        return [record.row for record in recent]

    def all_rows(self) -> list[MemberRow]:
        """Returns the newest row of each node."""
        return [record.row for record in self.records.values()]

    def find_rows(self, node: str) -> list[MemberRow]:
        """Returns the newest row of one node, or none.

        Its state is draining if its target leaves, although a later process of
        the node may have announced it as ready.
        """
        record = self.records.get(node)
        return [] if record is None else [self._mark_leaving(record.row)]

    def peers(self) -> list[MemberRow]:
        """Returns the other nodes that messages are sent to.

        These are the nodes that are neither suspects nor have stopped.
        """
        stopped_before_s = self.clock() - STOP_TIME_S
        return [
            record.row
            for node, record in self.records.items()
            if node != self.node
            and not record.suspect
            and not (
                record.row.stopping and record.changed_s < stopped_before_s
            )
        ]

    def list_role_nodes(self) -> list[MemberRow]:
        """Returns the nodes that may have a role in the cluster, by name.

        Probers, judges and the candidate for duties are chosen from it. It has
        no suspects, no nodes with an expired lease and none that announced
        their leave. This node is in it once it or an earlier process of it has
        announced itself.
        """
        rows = [
            record.row
            for node, record in self.records.items()
            if node != self.node and self._may_have_role(record.row)
        ]
        if self.own is None:
            # Whether the earlier process left doesn't matter: this one is here.
            rows += [self.predecessor] if self.predecessor else []
        elif not self.own.has_left:
            rows.append(self.own)
        rows.sort(key=lambda row: row.node)
        return rows

    def list_role_names(self) -> list[str]:
        """Returns the names of list_role_nodes."""
        return [row.node for row in self.list_role_nodes()]

    def _may_have_role(self, row: MemberRow) -> bool:
        return not row.has_left and self._is_current(row.node)

    def count_members(self) -> int:
        """Returns the number of nodes that share a limit.

        A node that this one can't reach may use its share, so suspects count
        until their leases expire. Nodes that announced their leave don't.
        """
        if self.member_count is None:
            others = sum(
                record.age_s <= LEASE_TTL_S and not record.row.stopping
                for node, record in self.records.items()
                if node != self.node
            )
            self.member_count = others + 1
        return self.member_count

    def rank_probers(self) -> list[str]:
        """Returns the nodes in the order in which they probe the table.

        The last ones by name come first, and of these one for each failure
        domain.
        """
        rows = self.list_role_nodes()[::-1]
        last_by_domain: dict[str, str] = {}
        for row in rows:
            last_by_domain.setdefault(row.failure_domain, row.node)
        names = [*last_by_domain.values(), *(row.node for row in rows)]
        return list(dict.fromkeys(names))

    def is_prober(self) -> bool:
        """Tells whether this node is one of the first in rank_probers.

        A node without a target is none, so that nodes that start together and
        don't know each other yet do not all probe.
        """
        return self.node in self.rank_probers()[:PROBERS]

    def find_silent(self) -> list[MemberRow]:
        """Returns nodes that may have a role and were not heard from lately.

        If nobody sends a node work, no refused connection shows that it is
        gone.
        """
        names = self.list_role_names()
        chosen = {
            *names[:CHECKED_RANKS],
            *names[-CHECKED_RANKS:],
            *self.rank_probers()[:CHECKED_RANKS],
        }
        heard_before_s = self.clock() - SILENCE_LIMIT_S
        return [
            record.row
            for node in sorted(chosen - {self.node})
            if (record := self.records[node]).heard_s < heard_before_s
        ]

    def is_duty_candidate(self) -> bool:
        """Tells whether this node is the one that takes duties over.

        It is the last live ready node by name. A node that
        has not announced itself is none, because it may not know the others.
        """
        if self.own is None or self.own.state != "ready":
            return False
        return not any(
            row.node > self.node and row.state == "ready"
            for row in self.list_role_nodes()
        )

    def is_live(self, node: str, incarnation: str) -> bool:
        """Tells whether a process of a node is a live member.

        It is not if the node left, is a suspect, has an expired lease or is
        run by another process. A node whose target drains is live.
        """
        record = self.records.get(node)
        return (
            record is not None
            and record.row.incarnation == incarnation
            and self._may_have_role(record.row)
        )

    def apply_all(self, rows: Iterable[MemberRow]) -> int:
        """Stores the newer ones of several rows; returns their number."""
        return sum(self.apply(row) for row in rows)


_MIN_ORDER = (-1, -1, "")
_CANDIDATE_FIELDS = (
    "node",
    "service",
    "version",
    "region",
    "failure_domain",
    "host",
    "peer_port",
    "incarnation",
    "state",
    "slots",
    "target",
)
