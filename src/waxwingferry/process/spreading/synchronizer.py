"""Loads the document and the members at start, and keeps them up to date."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
from typing import Any

import anyio
import structlog

from waxwingferry import boot_clock
from waxwingferry.process import metrics
from waxwingferry.process import platform
from waxwingferry.process.spreading import current_document
from waxwingferry.process.spreading import gossip
from waxwingferry.process.spreading import lease
from waxwingferry.process.spreading import members
from waxwingferry.process.spreading import peers

INITIAL_LOAD_RETRY_S = 0.5
INITIAL_LOAD_RETRY_MAX_S = 5.0
FETCH_RETRY_S = 0.3
# Time that the table's own notification of a document is waited for.
FEED_HEAD_START_S = 1.0
SUSPECT_CHECK_INTERVAL_S = 0.5
MAX_CONCURRENT_CHECKS = 32
# Checks of one silent node in that interval, by all nodes together.
SILENT_CHECKS = 2
PAUSE_CHECK_INTERVAL_S = 0.5
# A process that did not run for this long may have missed a document.
PAUSE_LIMIT_S = 5.0
CATCH_UP_TIMEOUT_S = 3.0
# Peers whose rows complete a restored table at the start, and the time for it.
RESTORE_PEERS = 3
RESTORE_FETCH_TIMEOUT_S = 0.5
# Peers that are asked for the row of this node, and the time for it.
OWN_ROW_PEERS = 3
OWN_ROW_TIMEOUT_S = 0.3
OWN_ROW_CHECK_TIMEOUT_S = 0.15

log = structlog.get_logger()


class Synchronizer:
    """Keeps the document and the members of one node up to date.

    Args:
        configured: The document in force.
        membership: The known members.
        node_lease: Lease of this node.
        gossiper: Gossip protocol of this node.
        client: Fetches documents and rows from peers.
        counters: Metrics of the node.
        rng: Source of jitter.
        seeds: Peers to load the state from while the platform does not respond.
        clock: Time in seconds that includes suspension of the VM.

    Attributes:
        follows_table: Tells whether the table notifies this node of changes.
            It then fetches a document from a peer only if the table is late.
        read_missed_changes: Reads changes that the table did not notify this
            node of in time. Raises platform.PlatformError.
    """

    def __init__(
        self,
        configured: current_document.CurrentDocument,
        membership: members.Membership,
        node_lease: lease.Lease,
        gossiper: gossip.Gossiper,
        client: peers.PeerClient,
        counters: metrics.Metrics,
        rng: random.Random,
        seeds: tuple[gossip.Address, ...],
        clock: Callable[[], float] = boot_clock.read_s,
    ):
        self.configured = configured
        self.membership = membership
        self.node_lease = node_lease
        self.gossiper = gossiper
        self.client = client
        self.counters = counters
        self.rng = rng
        self.seeds = seeds
        self.clock = clock
        self.last_tick_s = clock()
        self.stale = False
        self.reads = 0
        self.follows_table: Callable[[], bool] = lambda: False
        self.read_missed_changes: Callable[[], Awaitable[None]] = _read_nothing

    def is_stale(self) -> bool:
        """Returns whether the process was paused and has not caught up.

        This is checked before each use of the document, because a resumed
        process may handle a call before any other task runs.
        """
        if self.clock() - self.last_tick_s > PAUSE_LIMIT_S:
            self.stale = True
        return self.stale

    async def load_initial_state(self) -> None:
        """Loads document and members; returns when the node may accept work.

        They are read from the table, or from other nodes while the table does
        not respond: seed peers, and nodes that have sent a datagram to this
        one. If both fail, the load is retried and the node accepts no work.
        """
        delay_s = INITIAL_LOAD_RETRY_S
        while not await self._load_once():
            log.warning("neither platform nor peers answer")
            with anyio.move_on_after(delay_s * self.rng.uniform(0.5, 1.5)):
                if self.gossiper.contact is None:
                    await self.gossiper.contacted.wait()
                else:
                    await anyio.sleep_forever()
            delay_s = min(delay_s * 2, INITIAL_LOAD_RETRY_MAX_S)

    async def _load_once(self) -> bool:
        try:
            await self._read_table()
            return True
        except platform.PlatformError as error:
            log.warning("platform not read", error=str(error))
        return await self._load_from_peers()

    async def _load_from_peers(self) -> bool:
        """Queries several nodes, so that the newest document is found.

        They are queried at the same time, as each may be silent for 2 s.
        """
        found = False

        async def load(address: gossip.Address) -> None:
            nonlocal found
            try:
                rows = await self.client.fetch_members(address)
                self.membership.apply_all(rows)
                self._raise_generation(rows)
                await self._fetch_document(address)
                found = True
            except peers.PeerError as error:
                log.info("peer request failed", error=str(error))

        async with anyio.create_task_group() as group:
            for address in self._find_peers():
                group.start_soon(load, address)
        return found and self.configured.number > 0

    async def complete_members(self) -> None:
        """Loads from peers the rows that a restore of the table may have lost.

        Among them is the row of this node's earlier process.
        """
        addresses = self._find_peers()[-RESTORE_PEERS:]
        with anyio.move_on_after(RESTORE_FETCH_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                for address in addresses:
                    group.start_soon(self._complete_members_from, address)

    async def _complete_members_from(self, address: gossip.Address) -> None:
        try:
            rows = await self.client.fetch_members(address)
        except peers.PeerError as error:
            log.info("members not fetched", error=str(error))
            return
        self.membership.apply_all(rows)
        self._raise_generation(rows)

    async def load_own_row(self) -> None:
        """Loads from peers what an earlier process of this node announced.

        It may have ended before it could write its newest row to the table.
        """

        def apply(row: members.MemberRow) -> None:
            self.membership.apply(row)
            self._raise_generation([row])

        await self._fetch_own_rows(OWN_ROW_TIMEOUT_S, apply)

    async def is_row_known(self, row: members.MemberRow) -> bool:
        """Tells whether a peer has a row of this node, or a newer one."""
        found: list[members.MemberRow] = []
        await self._fetch_own_rows(OWN_ROW_CHECK_TIMEOUT_S, found.append)
        return any(item.order >= row.order for item in found)

    async def _fetch_own_rows(
        self, timeout_s: float, on_row: Callable[[members.MemberRow], None]
    ) -> None:
        """Asks some peers for their row of this node.

        Args:
            timeout_s: Longest wait; some peers may not respond.
            on_row: Called with each row as it arrives.
        """

        async def fetch(address: gossip.Address) -> None:
            try:
                row = await self.client.fetch_member(
                    address, self.membership.node
                )
            except peers.PeerError as error:
                log.info("own row not fetched", error=str(error))
                return
            if row is not None:
                on_row(row)

        with anyio.move_on_after(timeout_s):
            async with anyio.create_task_group() as group:
                for address in self.gossiper.choose_peers(OWN_ROW_PEERS):
                    group.start_soon(fetch, address)

    def _find_peers(self) -> list[gossip.Address]:
        """Returns all seeds, the newest contact and some known peers."""
        addresses = self.rng.sample(list(self.seeds), len(self.seeds))
        if self.gossiper.contact is not None:
            addresses.append(self.gossiper.contact)
        addresses += self.gossiper.choose_peers(gossip.FANOUT)
        return list(dict.fromkeys(addresses))

    def _raise_generation(self, rows: list[members.MemberRow]) -> None:
        """Raises the own generation above those in rows of this node."""
        for row in rows:
            if (
                row.node == self.membership.node
                and not self.node_lease.confirmed
            ):
                own = self.membership.own
                if own is None or own.incarnation != row.incarnation:
                    self.node_lease.raise_generation(row.generation)

    async def _fetch_document(self, address: gossip.Address) -> bool:
        number, content = await self.client.fetch_document(address)
        return self.configured.apply_if_newer(number, content)

    async def _read_table(self) -> None:
        """Reads the document and the members at the same time.

        Raises:
            platform.PlatformError: One of them could not be read.
        """
        self.reads += 2
        errors: list[platform.PlatformError] = []

        async def read(function: Callable[[], Awaitable[Any]]) -> None:
            try:
                await function()
            except platform.PlatformError as error:
                errors.append(error)
                group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(read, self.configured.read)
            group.start_soon(read, self.node_lease.read_rows)
        if errors:
            raise errors[0]

    async def run_table_reader(self) -> None:
        """Reads changes from the table every 30 s."""
        while True:
            interval_s = lease.READ_INTERVAL_S
            await anyio.sleep(
                interval_s
                * self.rng.uniform(1 - lease.JITTER, 1 + lease.JITTER)
            )
            try:
                await self._read_table()
            except platform.PlatformError as error:
                self.counters.events.inc({"event": "platform_not_read"})
                log.warning("platform not read", error=str(error))

    async def run_fetcher(self) -> None:
        """Fetches documents and member rows that gossip requested."""
        while True:
            await self.gossiper.fetch_requested.wait()
            self.gossiper.fetch_requested = anyio.Event()
            announced, self.gossiper.newer_from = self.gossiper.newer_from, None
            if announced is not None:
                await self._wait_for_table(announced[1])
                if self._should_fetch(announced[1]):
                    await self._fetch_newer(announced[0])
            source, self.gossiper.sync_from = self.gossiper.sync_from, None
            if source is not None:
                await self._sync_members(source)

    async def _wait_for_table(self, revision: int) -> None:
        """Waits for the notification of a document that a peer announced.

        Gossip and the table's notification arrive at about the same time. If
        each node fetched the document twice, a change of a large one would
        fill the links of all nodes.
        """
        if not self.follows_table():
            return
        with anyio.move_on_after(FEED_HEAD_START_S):
            while self._should_fetch(revision):
                await self.configured.changed.wait()
            return
        try:
            await self.read_missed_changes()
        except platform.PlatformError as error:
            log.info("missed changes not read", error=str(error))

    async def read_missing_rows(self) -> None:
        """Reads the rows of the table unless gossip has delivered them.

        Raises:
            platform.PlatformError: The table could not be read.
        """
        if not self.gossiper.is_in_step():
            await self.node_lease.read_rows()

    def _should_fetch(self, revision: int) -> bool:
        """Returns whether a revision is newer and was not rejected before.

        Otherwise a node that can't parse the newest document would fetch it
        again for each datagram.
        """
        if revision == self.configured.rejected:
            return False
        return revision > self.configured.number

    async def _fetch_newer(self, address: gossip.Address) -> None:
        try:
            await self._fetch_document(address)
            return
        except peers.PeerError as error:
            log.info("document not fetched", error=str(error))
        self.counters.events.inc({"event": "document_not_fetched"})
        try:
            await self.configured.read()
        except platform.PlatformError as error:
            log.info("document not read", error=str(error))
        # The next datagram with a newer revision triggers another attempt.
        await anyio.sleep(FETCH_RETRY_S * self.rng.uniform(0.5, 1.5))

    async def _sync_members(self, address: gossip.Address) -> None:
        self.counters.events.inc({"event": "members_synced"})
        try:
            rows = await self.client.fetch_members(address)
            self.membership.apply_all(rows)
        except peers.PeerError as error:
            log.info("members not fetched", error=str(error))

    async def run_suspect_checks(self) -> None:
        """Checks suspects and silent nodes by opening a connection."""
        while True:
            await anyio.sleep(SUSPECT_CHECK_INTERVAL_S)
            due = self.membership.find_suspects()
            due += self._choose_silent()
            chosen = due[:MAX_CONCURRENT_CHECKS]
            async with anyio.create_task_group() as group:
                for row in chosen:
                    group.start_soon(self._check_member, row)

    def _choose_silent(self) -> list[members.MemberRow]:
        """Returns the silent nodes that this node checks now.

        A few nodes check each of them and tell the others if it is gone.
        """
        share = SILENT_CHECKS / self.membership.count_members()
        return [
            row
            for row in self.membership.find_silent()
            if self.rng.random() < share
        ]

    async def _check_member(self, row: members.MemberRow) -> None:
        if await peers.is_alive(row.address):
            self.membership.record_contact(row.node)
            return
        self.counters.events.inc({"event": "member_suspected"})
        if self.membership.mark_suspect(row.node):
            self.gossiper.add_suspect(row)

    async def run_pause_detection(self) -> None:
        """Detects pauses of this process and catches up after them."""
        while True:
            if self.is_stale():
                await self._catch_up()
            self.last_tick_s = self.clock()
            self._export_counts()
            await anyio.sleep(PAUSE_CHECK_INTERVAL_S)

    def _export_counts(self) -> None:
        counts = dataclasses.asdict(self.gossiper.counts)
        for name, value in counts.items():
            self.counters.events.set({"event": f"datagrams_{name}"}, value)
        self.counters.events.set(
            {"event": "member_rows_malformed"}, self.node_lease.malformed_rows
        )

    async def _catch_up(self) -> None:
        """Reads changes from the table or else from peers after a pause."""
        paused_s = self.clock() - self.last_tick_s
        log.warning("process was paused", paused_s=round(paused_s, 1))
        self.counters.events.inc({"event": "paused"})
        with anyio.move_on_after(CATCH_UP_TIMEOUT_S):
            try:
                await self._read_table()
                if self.node_lease.confirmed:
                    await self.node_lease.write_once()
            except platform.PlatformError:
                await self._catch_up_from_peers()
        # If both fail, the node is cut off and continues with its old state.
        self.stale = False

    async def _catch_up_from_peers(self) -> None:
        for address in self.gossiper.choose_peers(gossip.FANOUT):
            try:
                await self._fetch_document(address)
                self.membership.apply_all(
                    await self.client.fetch_members(address)
                )
                return
            except peers.PeerError as error:
                log.info("peer request failed", error=str(error))


async def _read_nothing() -> None:
    """Default for Synchronizer.read_missed_changes: does nothing."""
