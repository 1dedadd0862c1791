"""Canary rollouts: moves a service to a new version, or rolls it back.

Until a rollout is decided, the new version gets a bounded share of the
requests, in short bursts, so that faults under load show as well. The node of
each target counts its responses by route. One node judges the new version
against the old one over the same time and writes the decision conditionally, so
that only one decision is made. A decision is final.

The store may be restored from an older copy. An order then has a higher number
but goes on, and the nodes write decisions again that the store lost.
"""

from collections.abc import Callable
import dataclasses
import time
from typing import Protocol

import anyio
import msgspec
import structlog

from waxwingferry.process import platform
from waxwingferry.process.choice import known_target
from waxwingferry.version import by_version
from waxwingferry.version import judgement
from waxwingferry.version import messages
from waxwingferry.version import revision
from waxwingferry.version import stored_decisions

# Share of the allowed exposure that is used before the decision. The rest
# covers requests that are in flight when the version is found bad.
PREDECISION_EXPOSURE = 0.7
# Canary requests are sent in the first BURST_S of each period.
BURST_PERIOD_S = 3.0
BURST_S = 1.0
# New targets start with the order. Requests to a cold target are paced, so a
# burst would not show how the version behaves under load.
WARMUP_MARGIN_S = 1.0
MAX_WARMUP_SHARE = 0.4
# A rollout is completed this long before its end. All requests after that use
# the new version, and only few of them may if it turns out to be bad.
COMPLETION_MARGIN_S = 0.8
# Minimum ratio of ready slots of the new version to those of the old one.
MIN_SLOT_RATIO = 0.6
# A version is rolled back early if so many bad responses would occur by chance
# with a probability below this.
EARLY_ROLLBACK_P_VALUE = 0.01
# At its end, a rollout is completed if the version is bad with at most this
# probability. A good version that is rolled back can be ordered again, but a
# bad one that is completed stays.
MAX_BAD_PROBABILITY = 0.15
# At its end, a rollout is rolled back if the version is bad with more than this
# probability. Between the two, it continues for the same time again.
ROLLBACK_BAD_PROBABILITY = 0.5
TICK_S = 0.2
PUSH_INTERVAL_S = 0.4
DECISION_REPEATS = 3
REPEAT_INTERVAL_S = 0.3
# Time after which the judge of the next rank takes over.
JUDGE_RANK_DELAY_S = 1.0
WRITE_RETRY_DELAY_S = 0.3
# How often a node asks another one whether an open rollout was decided.
# Decisions are sent in datagrams, which a network partition or a restart loses.
QUERY_INTERVAL_S = 1.0
JUDGE_COUNT = 2
# After a restore of the store nothing is judged for this time, in which nodes
# that know a lost decision write it again.
RESTORE_WAIT_S = 3.0
# Time after which the node of the next rank writes lost decisions again. Nodes
# of higher ranks than MAX_RESTORE_RANK follow, spread by their rank.
RESTORE_RANK_DELAY_S = 0.5
MAX_RESTORE_RANK = 10
RESTORE_SPREAD_S = 5.0

log = structlog.get_logger()


class DecisionStore(Protocol):
    """Persistent store of the decisions on version rollouts."""

    async def read_all(self) -> list[tuple[messages.Decision, int]]:
        """Returns all decisions with the versions of their rows.

        The number of a decision is the version of its row, as it belongs to
        the newest order before it. Raises platform.PlatformError.
        """

    async def write(self, decision: messages.Decision, if_version: int) -> None:
        """Writes a decision if the row still has a version; 0 for no row.

        Raises:
            platform.ConflictError: Another decision was written first.
            platform.PlatformError: The outcome is unknown.
        """


@dataclasses.dataclass(slots=True)
class _RolloutProgress:
    """Progress of one rollout at this node.

    Attributes:
        slack: Requests that may use the new version in addition to its share.
        calls: Calls of the service at this node since the order.
        exposed: Number of these calls that used the new version.
        stopped: Whether canary requests have been stopped.
        counts: Counts of the targets, by node.
        earlier_numbers: Numbers of the order before restores of the store.
    """

    order: revision.RolloutOrder
    started_s: float
    slack: float = 0.0
    calls: int = 0
    exposed: int = 0
    stopped: bool = False
    counts: dict[str, messages.TargetCounts] = dataclasses.field(
        default_factory=dict
    )
    earlier_numbers: list[int] = dataclasses.field(default_factory=list)

    def has_number(self, number: int) -> bool:
        """Returns whether the order has or had a number."""
        return number == self.order.number or number in self.earlier_numbers


class RolloutController:
    """Controls the rollouts of all services at one node.

    Args:
        node: Name of this node.
        get_revision: Returns the document in force.
        candidates: Returns the known targets of a service.
        decision_store: Persistent store of the decisions on version rollouts.
        judges: Returns the nodes that may judge, by rank.
        send: Sends a message to a node.
        exposure_share: Share of a service's requests that a bad version may
            get.
        exposure_slack: Additional requests that it may get, over all nodes.
        clock: Monotonic time in seconds.

    Attributes:
        peers: Returns the other nodes that messages are sent to. Nodes that
            must not judge may still route requests.
        count_nodes: Returns the number of nodes that share the slack.
    """

    def __init__(
        self,
        node: str,
        get_revision: Callable[[], revision.Revision | None],
        candidates: Callable[[str], list[known_target.Candidate]],
        decision_store: DecisionStore,
        judges: Callable[[], list[str]],
        send: Callable[[str, messages.Message], None],
        exposure_share: float,
        exposure_slack: float,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.node = node
        self.get_revision = get_revision
        self.candidates = candidates
        self.decision_store = decision_store
        self.judges = judges
        self.send = send
        self.exposure_share = exposure_share
        self.exposure_slack = exposure_slack
        self.clock = clock
        self.peers: Callable[[], list[str]] = lambda: [
            item for item in judges() if item != node
        ]
        self.count_nodes: Callable[[], int] = lambda: max(len(judges()), 1)
        # Rank of this node among the judges, as last logged.
        self.logged_rank: int | None = None
        self.progress_by_service: dict[str, _RolloutProgress] = {}
        self.decisions: dict[str, messages.Decision] = {}
        # Whether the decisions from before the start of this process are known.
        self.decisions_loaded = False
        # Whether the decisions were read after the newest restore of the store,
        # when other nodes had the time to write lost ones again.
        self.decisions_current = True
        self.stored = stored_decisions.StoredDecisions(decision_store)
        self.own_counts: dict[str, messages.TargetCounts] = {}
        # Sums of the counts that were pushed last, and to which judges.
        self.pushed: dict[str, tuple[int, list[str]]] = {}
        # Time of the newest restore of the store, and whether this node has
        # not yet checked which decisions it lost.
        self.restored_s: float | None = None
        self.restore_pending = False
        self.query_count = 0
        # Number of the first revision that this process received.
        self.first_revision: int | None = None

    # Selection of targets

    def filter_targets(
        self, service: str, targets: list[known_target.Candidate], canary: bool
    ) -> list[known_target.Candidate]:
        """Returns the targets that a call may use.

        Args:
            service: Service of the call.
            targets: All targets of the service.
            canary: Whether the call uses the new version.
        """
        progress = self._find_progress(service)
        decision = self.decisions.get(service)
        if progress is not None and not self._is_decided(progress):
            new = by_version.select_version(targets, progress.order.version)
            old = by_version.exclude_version(targets, progress.order.version)
            if canary and not progress.stopped:
                return by_version.select_canary_targets(new) or old or new
            return old or ([] if progress.stopped else new)
        if decision is not None:
            if decision.state is messages.State.COMPLETED:
                return (
                    by_version.select_version(targets, decision.version)
                    or targets
                )
            return by_version.exclude_version(targets, decision.version)
        return by_version.select_version(
            targets, by_version.find_majority_version(targets)
        )

    def select_canary(self, service: str) -> bool:
        """Counts a call; returns whether it uses the new version."""
        progress = self._find_progress(service)
        if (
            progress is None
            or not self._is_open(progress)
            or not self.decisions_loaded
        ):
            return False
        progress.calls += 1
        allowed = self.exposure_share * progress.calls + progress.slack
        if progress.exposed + 1 > allowed * PREDECISION_EXPOSURE:
            return False
        since_warmup_s = (
            self.clock()
            - progress.started_s
            - self._find_warmup_s(progress.order)
        )
        if since_warmup_s < 0 or since_warmup_s % BURST_PERIOD_S > BURST_S:
            return False
        progress.exposed += 1
        return True

    def _find_warmup_s(self, order: revision.RolloutOrder) -> float:
        """Returns how long the new targets get no requests after the order."""
        in_force = self.get_revision()
        service = in_force.services.get(order.service) if in_force else None
        warmup_s = service.warmup_s if service else 0.0
        return min(
            warmup_s + WARMUP_MARGIN_S, MAX_WARMUP_SHARE * order.duration_s
        )

    def _find_progress(self, service: str) -> _RolloutProgress | None:
        in_force = self.get_revision()
        if in_force is None:
            return None
        self._record_first_revision(in_force)
        order = in_force.rollouts.get(service)
        if order is None:
            return None
        progress = self.progress_by_service.get(service)
        if progress is not None and _is_continued(progress.order, order):
            self._carry_over(progress, order)
        if progress is None or progress.order.number != order.number:
            progress = _RolloutProgress(
                order, self.clock(), self._find_slack(order)
            )
            self.progress_by_service[service] = progress
            self.own_counts.pop(service, None)
            log.info(
                "version rollout ordered",
                service=service,
                version=order.version,
                number=order.number,
                duration_s=order.duration_s,
            )
        return progress

    def _carry_over(
        self, progress: _RolloutProgress, order: revision.RolloutOrder
    ) -> None:
        """Continues a rollout whose order has a new number after a restore."""
        decided = self._is_decided(progress)
        progress.earlier_numbers.append(progress.order.number)
        progress.order = order
        service = order.service
        if decided:
            self.decisions[service] = msgspec.structs.replace(
                self.decisions[service], number=order.number
            )
        if service in self.own_counts:
            self.own_counts[service].number = order.number
            self.pushed.pop(service, None)
        log.info(
            "version rollout continues after a restore",
            service=service,
            version=order.version,
            number=order.number,
            decided=decided,
        )

    def _record_first_revision(self, in_force: revision.Revision) -> None:
        if self.first_revision is None:
            self.first_revision = in_force.number

    def _find_slack(self, order: revision.RolloutOrder) -> float:
        """Returns this node's part of the exposure beyond the share.

        A process that starts during a rollout gets none, because the previous
        process of the node may have used it.
        """
        if self.first_revision is None or order.number <= self.first_revision:
            return 0.0
        return self.exposure_slack / self.count_nodes()

    def _is_decided(self, progress: _RolloutProgress) -> bool:
        decision = self.decisions.get(progress.order.service)
        if decision is None or decision.version != progress.order.version:
            return False
        return decision.number >= progress.order.number

    def _is_open(self, progress: _RolloutProgress) -> bool:
        return not progress.stopped and not self._is_decided(progress)

    # Counts and messages

    def count_result(
        self,
        service: str,
        version: str,
        route: str,
        failed: bool,
        service_s: float,
    ) -> None:
        """Counts a response of the local target while a rollout is open.

        Args:
            service: Service of the target.
            version: Version of the target.
            route: Route of the request.
            failed: Whether the response was a failure.
            service_s: Service time, scaled to a machine of normal speed.
        """
        progress = self._find_progress(service)
        if progress is None or self._is_decided(progress):
            return
        own_counts = self.own_counts.get(service)
        if own_counts is None or own_counts.version != version:
            own_counts = messages.TargetCounts(
                self.node, service, version, progress.order.number, []
            )
            self.own_counts[service] = own_counts
        for item in own_counts.routes:
            if item.route == route:
                break
        else:
            item = judgement.RouteCount(route)
            own_counts.routes.append(item)
        if failed:
            item.failed += 1
        else:
            item.steps[judgement.find_bucket(service_s)] += 1

    def receive_counts(self, counts: messages.TargetCounts) -> None:
        """Stores a node's counts, or replies with the decision if it exists."""
        decision = self.decisions.get(counts.service)
        if decision is not None and decision.number >= counts.number:
            self.send(counts.node, decision)
            return
        progress = self._find_progress(counts.service)
        if progress is not None and progress.has_number(counts.number):
            progress.counts[counts.node] = counts

    def receive_stop(self, stop: messages.Stop) -> None:
        """Stops canary requests of an open rollout."""
        progress = self._find_progress(stop.service)
        if progress is not None and progress.has_number(stop.number):
            if not progress.stopped:
                log.info("version rollout stopped", service=stop.service)
            progress.stopped = True

    def receive_decision(self, decision: messages.Decision) -> None:
        """Stores a decision, unless a newer one is known."""
        decision = self._renumber(decision)
        known = self.decisions.get(decision.service)
        if known is not None and known.number >= decision.number:
            return
        self.decisions[decision.service] = decision
        log.info(
            "version rollout decided",
            service=decision.service,
            version=decision.version,
            number=decision.number,
            state=decision.state.value,
        )

    def _renumber(self, decision: messages.Decision) -> messages.Decision:
        """Gives the order's number to a decision from before a restore."""
        progress = self.progress_by_service.get(decision.service)
        if progress is None or decision.version != progress.order.version:
            return decision
        era = platform.get_era(decision.number)
        for number in progress.earlier_numbers:
            if platform.get_era(number) == era and decision.number >= number:
                return msgspec.structs.replace(
                    decision, number=progress.order.number
                )
        return decision

    async def load_ordered_decisions(self) -> None:
        """Loads the decisions if there are orders; raises PlatformError.

        The node reads them when the first order comes.
        """
        in_force = self.get_revision()
        if in_force is not None and in_force.rollouts:
            await self.load_decisions()

    async def load_decisions(self) -> None:
        """Loads all decisions from the store; raises PlatformError."""
        found = await self.stored.read()
        is_outdated = False
        for decision, version in found:
            if self._is_order_outdated(decision.service, version):
                # It can't be told which of the two decisions is the newer one
                # until the document is from after the restore as well.
                is_outdated = True
                continue
            self.receive_decision(decision)
        if not is_outdated:
            self.decisions_loaded = True
        self.decisions_current = not is_outdated and not self._is_settling()

    def _is_order_outdated(self, service: str, version: int) -> bool:
        """Returns whether the order known is from before a row's era."""
        self._find_progress(service)
        progress = self.progress_by_service.get(service)
        in_force = self.get_revision()
        if progress is None or (
            in_force is not None and service not in in_force.rollouts
        ):
            return False
        return platform.get_era(progress.order.number) < platform.get_era(
            version
        )

    # Restores of the store

    def handle_restore(self) -> None:
        """Waits with judgements, as the store may have lost decisions."""
        self.restored_s = self.clock()
        self.restore_pending = True
        self.decisions_current = False

    def _knows_decisions(self) -> bool:
        """Returns whether no decision is missing that a judge must know."""
        return self.decisions_loaded and self.decisions_current

    def _is_settling(self) -> bool:
        """Returns whether other nodes may still write decisions again."""
        return (
            self.restored_s is not None
            and self.clock() - self.restored_s < RESTORE_WAIT_S
        )

    def _find_restore_delay_s(self) -> float:
        """Returns after which time this node writes lost decisions again."""
        ranked = self.judges()
        rank = ranked.index(self.node) if self.node in ranked else len(ranked)
        delay_s = min(rank, MAX_RESTORE_RANK) * RESTORE_RANK_DELAY_S
        if rank > MAX_RESTORE_RANK:
            delay_s += RESTORE_SPREAD_S * rank / max(len(ranked), 1)
        return delay_s

    async def _restore_decisions(self) -> None:
        """Writes decisions again that a restore of the store lost."""
        if not self.decisions:
            self.restore_pending = False
        if not self.restore_pending or self.restored_s is None:
            return
        if self.clock() - self.restored_s < self._find_restore_delay_s():
            return
        try:
            await self.load_decisions()
            if self._has_outdated_order():
                return
            for decision in self._find_lost_decisions():
                log.warning(
                    "decision lost by a restore; writing it again",
                    service=decision.service,
                    version=decision.version,
                    state=decision.state.value,
                )
                await self.decision_store.write(
                    decision, self.stored.versions.get(decision.service, 0)
                )
        except (platform.PlatformError, platform.ConflictError) as error:
            # The next attempt reads again what the store has.
            log.info("lost decisions not written", error=str(error))
            return
        self.restore_pending = False

    def _has_outdated_order(self) -> bool:
        """Returns whether the document is from before the restore."""
        in_force = self.get_revision()
        return in_force is None or any(
            self._is_order_outdated(service, version)
            for service, version in self.stored.versions.items()
        )

    def _find_lost_decisions(self) -> list[messages.Decision]:
        lost = []
        for service, decision in self.decisions.items():
            progress = self._find_progress(service)
            stored = self.stored.find(service)
            if progress is None:
                is_lost = stored is None
            elif self._is_decided(progress):
                is_lost = (
                    stored is None or stored.number < progress.order.number
                )
            else:
                is_lost = False
            if is_lost:
                lost.append(decision)
        return lost

    def receive_query(self, query: messages.DecisionQuery) -> None:
        """Replies to a node with the decision or stop of a rollout, if any."""
        decision = self.decisions.get(query.service)
        if decision is not None and decision.number >= query.number:
            self.send(query.node, decision)
            return
        progress = self.progress_by_service.get(query.service)
        if progress is None or not progress.has_number(query.number):
            return
        if progress.stopped:
            stop = messages.Stop(query.service, query.number)
            self.send(query.node, stop)

    # Judgement

    async def run(self) -> None:
        """Pushes the counts of the local target and judges, until cancelled."""
        last_push_s = -PUSH_INTERVAL_S
        last_query_s = self.clock()
        while True:
            await anyio.sleep(TICK_S)
            in_force = self.get_revision()
            if in_force is None:
                continue
            self._record_first_revision(in_force)
            due = self.clock() - last_push_s >= PUSH_INTERVAL_S
            for service in in_force.rollouts:
                progress = self._find_progress(service)
                if progress is None or self._is_decided(progress):
                    continue
                own_counts = self.own_counts.get(service)
                if due and own_counts is not None:
                    self._push_counts(own_counts)
                await self._judge(progress)
            if due:
                last_push_s = self.clock()
            if self.clock() - last_query_s >= QUERY_INTERVAL_S:
                last_query_s = self.clock()
                await self._restore_decisions()
                await self._send_queries(in_force)

    async def _send_queries(self, in_force: revision.Revision) -> None:
        """Queries a node per open rollout, and the store if not yet loaded."""
        others = self.peers()
        for service in in_force.rollouts:
            progress = self._find_progress(service)
            if progress is None or self._is_decided(progress) or not others:
                continue
            self.query_count += 1
            self.send(
                others[self.query_count % len(others)],
                messages.DecisionQuery(
                    self.node, service, progress.order.number
                ),
            )
        must_load = not self._knows_decisions() and not self._is_settling()
        if in_force.rollouts and must_load:
            await self._try_load_decisions()

    def _push_counts(self, own_counts: messages.TargetCounts) -> None:
        """Sends changed counts to the judges, and all counts to new judges."""
        judges = self.judges()[:JUDGE_COUNT]
        total = sum(item.total for item in own_counts.routes)
        if self.pushed.get(own_counts.service) == (total, judges):
            return
        self.pushed[own_counts.service] = (total, judges)
        for judge in judges:
            if judge == self.node:
                self.receive_counts(own_counts)
            else:
                self.send(judge, own_counts)

    async def _judge(self, progress: _RolloutProgress) -> None:
        ranked = self.judges()
        rank = ranked.index(self.node) if self.node in ranked else len(ranked)
        self._log_rank(progress, rank, ranked)
        if rank >= JUDGE_COUNT or not self._knows_decisions():
            return
        elapsed_s = (
            self.clock() - progress.started_s - rank * JUDGE_RANK_DELAY_S
        )
        state, why = self._decide(progress, elapsed_s)
        if state is None:
            return
        if state is messages.State.ROLLED_BACK:
            # The store may be unavailable; stop canary requests meanwhile.
            progress.stopped = True
            self._broadcast(
                messages.Stop(progress.order.service, progress.order.number)
            )
        decision = messages.Decision(
            progress.order.service,
            progress.order.version,
            progress.order.number,
            state,
        )
        log.info(
            "version rollout judged",
            service=decision.service,
            version=decision.version,
            state=state.value,
            why=why,
            elapsed_s=round(elapsed_s, 1),
        )
        await self._write(decision)

    def _log_rank(
        self, progress: _RolloutProgress, rank: int, ranked: list[str]
    ) -> None:
        """Logs who judges when this node begins to judge or ceases to."""
        rank = min(rank, JUDGE_COUNT)
        if rank == self.logged_rank:
            return
        self.logged_rank = rank
        log.info(
            "judge of version rollouts",
            service=progress.order.service,
            judges=ranked[:JUDGE_COUNT],
            judges_itself=rank < JUDGE_COUNT,
        )

    def _decide(
        self, progress: _RolloutProgress, elapsed_s: float
    ) -> tuple[messages.State | None, str]:
        """Returns the final state, or None if undecided, and the reason."""
        order = progress.order
        new = messages.merge_counts(
            progress.counts.values(), order.version, True
        )
        old = messages.merge_counts(
            progress.counts.values(), order.version, False
        )
        bad = judgement.find_regression(old, new, EARLY_ROLLBACK_P_VALUE)
        if bad:
            return messages.State.ROLLED_BACK, bad
        if elapsed_s < order.duration_s - COMPLETION_MARGIN_S:
            return None, ""
        samples = sum(item.total for item in new.values())
        bad_probability = judgement.estimate_bad_probability(old, new)
        why = (
            f"bad with a probability of {bad_probability:.3f} "
            f"by {samples} answers"
        )
        if bad_probability > ROLLBACK_BAD_PROBABILITY:
            return messages.State.ROLLED_BACK, why
        if bad_probability <= MAX_BAD_PROBABILITY and self._has_enough_slots(
            order
        ):
            return messages.State.COMPLETED, why
        if elapsed_s > 2 * order.duration_s:
            return messages.State.ROLLED_BACK, "too little evidence"
        return None, ""

    def _has_enough_slots(self, order: revision.RolloutOrder) -> bool:
        targets = self.candidates(order.service)
        new = by_version.select_version(targets, order.version)
        old = by_version.exclude_version(targets, order.version)
        available = sum(item.slots for item in new if item.state == "ready")
        needed = sum(item.slots for item in old if item.state == "ready")
        return available > 0 and available >= needed * MIN_SLOT_RATIO

    async def _write(self, decision: messages.Decision) -> None:
        try:
            # Shows a restore that this node hasn't noticed. The condition of
            # the write could hold again where another decision was lost.
            await self.load_decisions()
            progress = self._find_progress(decision.service)
            if (
                not self._knows_decisions()
                or progress is None
                or progress.order.number != decision.number
                or self._is_decided(progress)
            ):
                log.info("decision withdrawn", service=decision.service)
                return
            expected = self.stored.versions.get(decision.service, 0)
            await self.decision_store.write(decision, expected)
        except platform.ConflictError as error:
            log.info("another decision came first", error=str(error))
            version = error.row.version if error.row else 0
            self.stored.record_conflict(decision.service, version)
            await self._try_load_decisions()
            return
        except platform.PlatformError as error:
            log.warning("decision not written", error=str(error))
            await anyio.sleep(WRITE_RETRY_DELAY_S)
            await self._try_load_decisions()
            return
        self.receive_decision(decision)
        for _ in range(DECISION_REPEATS):
            self._broadcast(decision)
            await anyio.sleep(REPEAT_INTERVAL_S)

    def _broadcast(self, item: messages.Message) -> None:
        for node in self.peers():
            self.send(node, item)

    async def _try_load_decisions(self) -> None:
        try:
            await self.load_decisions()
        except platform.PlatformError as error:
            log.warning("decisions not read", error=str(error))


def _is_continued(
    old: revision.RolloutOrder, new: revision.RolloutOrder
) -> bool:
    """Returns whether an order is the old one, written again after a restore.

    Within one era, an equal order with another number is a repeated one.
    """
    return (
        old.version == new.version
        and old.duration_s == new.duration_s
        and platform.get_era(old.number) < platform.get_era(new.number)
    )
