"""Moves a service's traffic to a new version, or takes it back.

Until the move is decided, the new version gets a bounded part of the requests,
in short bursts, so that badness under load shows as well. The nodes beside the
targets count answers by route; one node judges the new version against the old
one over the same time and writes the decision under a condition. Once decided,
a move never changes.
"""

from collections.abc import Callable
import dataclasses
import time
from typing import Protocol

import anyio
import structlog

from waxwingferry.process import platform
from waxwingferry.process.choice import known_target
from waxwingferry.version import by_version
from waxwingferry.version import judgement
from waxwingferry.version import messages
from waxwingferry.version import revision

# Part of the allowed exposure that is used before the decision. The rest is
# for what is on its way when the version is found bad.
EXPOSURE_USED = 0.7
# The requests of a period go to the new version within its first part.
BURST_PERIOD_S = 3.0
BURST_S = 1.0
# New targets start with the order. A burst at a cold one would be paced, and
# would show nothing of the version under load.
WARM_MARGIN_S = 1.0
MOST_WARM_SHARE = 0.4
# The move is completed this long before its end: all requests after that meet
# the new version, and few of them may if it is bad after all.
COMPLETE_BEFORE_END_S = 0.8
# Places of new targets, as a share of those of old targets, that must be ready.
LEAST_PLACES = 0.6
# A version is taken back at once if so many bad answers would come by chance
# with this probability.
EARLY_ROLLBACK_P_VALUE = 0.01
# A move is completed if the version is bad with no more than the first
# probability, and taken back at its end with more than the second: a good
# version taken back is ordered again, a bad one that was completed is not.
# Between the two it goes on for as long again.
MAX_BAD_PROBABILITY = 0.15
DOUBT_TO_TAKE_BACK = 0.5
TICK_S = 0.2
PUSH_INTERVAL_S = 0.4
REPEATS = 3
REPEAT_GAP_S = 0.3
# A node acts in place of a judge of lower rank after this time.
RANK_DELAY_S = 1.0
WRITE_RETRY_S = 0.3
# How often a node asks one other whether an open move was decided: decisions
# are told by datagrams, which a cut or a restart loses.
QUESTION_INTERVAL_S = 1.0
JUDGES = 2

log = structlog.get_logger()


class DecisionStore(Protocol):
    """Persistent store of the decisions on version rollouts."""

    async def read_all(self) -> list[tuple[messages.Decision, int]]:
        """Returns all decisions with their rows' versions.

        The number of a decision is its row's version: it belongs to the
        newest order before it. Raises platform.PlatformError.
        """

    async def write(self, decision: messages.Decision, if_version: int) -> None:
        """Writes a decision if the row has a version, 0 for none.

        Raises:
            platform.ConflictError: Another decision came first.
            platform.PlatformError: The outcome is unknown.
        """


@dataclasses.dataclass(slots=True)
class _MoveProgress:
    """One move as this node sees it.

    Attributes:
        slack: Requests that may meet the new version besides its share.
        calls: Requests of the service at this node since the order.
        exposed: Those of them that went to the new version.
    """

    move: revision.RolloutOrder
    seen_s: float
    slack: float = 0.0
    calls: int = 0
    exposed: int = 0
    stopped: bool = False
    counts: dict[str, messages.TargetCounts] = dataclasses.field(
        default_factory=dict
    )


class RolloutController:
    """The moves of all services at one node.

    Args:
        node: Name of this node.
        newest: Returns the document in force.
        candidates: Returns the known targets of a service.
        decision_store: Persistent store of the decisions on version rollouts.
        judges: Returns the nodes that may judge, by rank.
        send: Sends a message to a node.
        share: Part of a service's requests that a bad version may get.
        slack: Further requests that it may get, over all nodes.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        node: str,
        newest: Callable[[], revision.Revision | None],
        candidates: Callable[[str], list[known_target.Candidate]],
        decision_store: DecisionStore,
        judges: Callable[[], list[str]],
        send: Callable[[str, messages.Message], None],
        share: float,
        slack: float,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.node = node
        self.newest = newest
        self.candidates = candidates
        self.decision_store = decision_store
        self.judges = judges
        self.send = send
        self.share = share
        self.slack = slack
        self.clock = clock
        self.progress_by_service: dict[str, _MoveProgress] = {}
        self.decisions: dict[str, messages.Decision] = {}
        # Whether the decisions made before this process started are known.
        self.informed = False
        self.row_versions: dict[str, int] = {}
        self.own: dict[str, messages.TargetCounts] = {}
        self.asked = 0
        # Number of the first document that this process knew.
        self.first_number: int | None = None

    # Choosing

    def filter_targets(
        self, service: str, known: list[known_target.Candidate], canary: bool
    ) -> list[known_target.Candidate]:
        """Returns the targets that a call may use.

        Args:
            service: Service of the call.
            known: All targets of the service.
            canary: Whether the call tries the new version.
        """
        progress = self._find_progress(service)
        decision = self.decisions.get(service)
        if progress is not None and not self._is_decided(progress):
            new = by_version.choose_with(known, progress.move.version)
            old = by_version.choose_without(known, progress.move.version)
            if canary and not progress.stopped:
                return by_version.choose_with_place(new) or old or new
            return old or ([] if progress.stopped else new)
        if decision is not None:
            if decision.state is messages.State.COMPLETED:
                return by_version.choose_with(known, decision.version) or known
            return by_version.choose_without(known, decision.version)
        return by_version.choose_with(known, by_version.find_usual(known))

    def select_canary(self, service: str) -> bool:
        """Counts a call; returns whether it tries the new version."""
        progress = self._find_progress(service)
        if progress is None or not self._is_open(progress) or not self.informed:
            return False
        progress.calls += 1
        allowed = self.share * progress.calls + progress.slack
        if progress.exposed + 1 > allowed * EXPOSURE_USED:
            return False
        waited_s = (
            self.clock() - progress.seen_s - self._find_warm_s(progress.move)
        )
        if waited_s < 0 or waited_s % BURST_PERIOD_S > BURST_S:
            return False
        progress.exposed += 1
        return True

    def _find_warm_s(self, move: revision.RolloutOrder) -> float:
        """Returns how long the new targets get nothing while they are cold."""
        newest = self.newest()
        service = newest.services.get(move.service) if newest else None
        warmup_s = service.warmup_s if service else 0.0
        return min(warmup_s + WARM_MARGIN_S, MOST_WARM_SHARE * move.duration_s)

    def _find_progress(self, service: str) -> _MoveProgress | None:
        newest = self.newest()
        if newest is None:
            return None
        self._note_first(newest)
        move = newest.rollouts.get(service)
        if move is None:
            return None
        progress = self.progress_by_service.get(service)
        if progress is None or progress.move.number != move.number:
            progress = _MoveProgress(move, self.clock(), self._find_slack(move))
            self.progress_by_service[service] = progress
            self.own.pop(service, None)
            log.info(
                "version rollout ordered",
                service=service,
                version=move.version,
                number=move.number,
                duration_s=move.duration_s,
            )
        return progress

    def _note_first(self, newest: revision.Revision) -> None:
        if self.first_number is None:
            self.first_number = newest.number

    def _find_slack(self, move: revision.RolloutOrder) -> float:
        """Returns this node's part of the exposure allowed besides the share.

        A process that starts during a move gets none: the one before it may
        have used it.
        """
        if self.first_number is None or move.number <= self.first_number:
            return 0.0
        return self.slack / max(len(self.judges()), 1)

    def _is_decided(self, progress: _MoveProgress) -> bool:
        decision = self.decisions.get(progress.move.service)
        if decision is None or decision.version != progress.move.version:
            return False
        return decision.number >= progress.move.number

    def _is_open(self, progress: _MoveProgress) -> bool:
        return not progress.stopped and not self._is_decided(progress)

    # Counting

    def count_result(
        self,
        service: str,
        version: str,
        route: str,
        failed: bool,
        used_s: float,
    ) -> None:
        """Counts an answer of the own target while a move is open.

        Args:
            service: Service of the target.
            version: Version of the target.
            route: Route of the request.
            failed: Whether it was a failure.
            used_s: Time that the target took, as on a machine as usual.
        """
        progress = self._find_progress(service)
        if progress is None or self._is_decided(progress):
            return
        own = self.own.get(service)
        if own is None or own.version != version:
            own = messages.TargetCounts(
                self.node, service, version, progress.move.number, []
            )
            self.own[service] = own
        for item in own.routes:
            if item.route == route:
                break
        else:
            item = judgement.RouteCount(route)
            own.routes.append(item)
        if failed:
            item.failed += 1
        else:
            item.steps[judgement.find_step(used_s)] += 1

    def receive_counts(self, push: messages.TargetCounts) -> None:
        """Takes another node's counts; tells it if the move is decided."""
        decision = self.decisions.get(push.service)
        if decision is not None and decision.number >= push.number:
            self.send(push.node, decision)
            return
        progress = self._find_progress(push.service)
        if progress is not None and progress.move.number == push.number:
            progress.counts[push.node] = push

    def receive_stop(self, stop: messages.Stop) -> None:
        """Sends nothing more to the version of an open move."""
        progress = self._find_progress(stop.service)
        if progress is not None and progress.move.number == stop.number:
            if not progress.stopped:
                log.info("version rollout stopped", service=stop.service)
            progress.stopped = True

    def receive_decision(self, decision: messages.Decision) -> None:
        """Takes a decision, unless a later one is known."""
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

    async def load_decisions(self) -> None:
        """Reads the decisions made so far; raises PlatformError."""
        for decision, version in await self.decision_store.read_all():
            self.row_versions[decision.service] = version
            self.receive_decision(decision)
        self.informed = True

    def receive_query(self, question: messages.DecisionQuery) -> None:
        """Tells another node how a move ended or that it is stopped."""
        decision = self.decisions.get(question.service)
        if decision is not None and decision.number >= question.number:
            self.send(question.node, decision)
            return
        progress = self.progress_by_service.get(question.service)
        if progress is None or progress.move.number != question.number:
            return
        if progress.stopped:
            stop = messages.Stop(question.service, question.number)
            self.send(question.node, stop)

    # Judging

    async def run(self) -> None:
        """Pushes own counts and judges, until cancelled."""
        pushed: dict[str, int] = {}
        last_push_s = -PUSH_INTERVAL_S
        asked_s = self.clock()
        while True:
            await anyio.sleep(TICK_S)
            newest = self.newest()
            if newest is None:
                continue
            self._note_first(newest)
            due = self.clock() - last_push_s >= PUSH_INTERVAL_S
            for service in newest.rollouts:
                progress = self._find_progress(service)
                if progress is None or self._is_decided(progress):
                    continue
                own = self.own.get(service)
                if due and own is not None:
                    total = sum(item.total for item in own.routes)
                    if pushed.get(service) != total:
                        pushed[service] = total
                        self._push(own)
                await self._judge(progress)
            if due:
                last_push_s = self.clock()
            if self.clock() - asked_s >= QUESTION_INTERVAL_S:
                asked_s = self.clock()
                await self._ask(newest)

    async def _ask(self, newest: revision.Revision) -> None:
        """Asks one node of each open move, and the store if it is unread."""
        others = [node for node in self.judges() if node != self.node]
        for service in newest.rollouts:
            progress = self._find_progress(service)
            if progress is None or self._is_decided(progress) or not others:
                continue
            self.asked += 1
            self.send(
                others[self.asked % len(others)],
                messages.DecisionQuery(
                    self.node, service, progress.move.number
                ),
            )
        if newest.rollouts and not self.informed:
            await self._learn_quietly()

    def _push(self, own: messages.TargetCounts) -> None:
        for judge in self.judges()[:JUDGES]:
            if judge == self.node:
                self.receive_counts(own)
            else:
                self.send(judge, own)

    async def _judge(self, progress: _MoveProgress) -> None:
        ranked = self.judges()
        rank = ranked.index(self.node) if self.node in ranked else len(ranked)
        if rank >= JUDGES or not self.informed:
            return
        elapsed_s = self.clock() - progress.seen_s - rank * RANK_DELAY_S
        state, why = self._weigh(progress, elapsed_s)
        if state is None:
            return
        if state is messages.State.ROLLED_BACK:
            # The table may be away; nobody sends to a bad version meanwhile.
            progress.stopped = True
            self._tell_all(
                messages.Stop(progress.move.service, progress.move.number)
            )
        decision = messages.Decision(
            progress.move.service,
            progress.move.version,
            progress.move.number,
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

    def _weigh(
        self, progress: _MoveProgress, elapsed_s: float
    ) -> tuple[messages.State | None, str]:
        """Returns how a move ends by now, or None, and the reason."""
        move = progress.move
        new = messages.merge(progress.counts.values(), move.version, True)
        old = messages.merge(progress.counts.values(), move.version, False)
        bad = judgement.find_regression(old, new, EARLY_ROLLBACK_P_VALUE)
        if bad:
            return messages.State.ROLLED_BACK, bad
        if elapsed_s < move.duration_s - COMPLETE_BEFORE_END_S:
            return None, ""
        samples = sum(item.total for item in new.values())
        doubt = judgement.estimate_bad_probability(old, new)
        why = f"bad with a probability of {doubt:.3f} by {samples} answers"
        if doubt > DOUBT_TO_TAKE_BACK:
            return messages.State.ROLLED_BACK, why
        if doubt <= MAX_BAD_PROBABILITY and self._has_places(move):
            return messages.State.COMPLETED, why
        if elapsed_s > 2 * move.duration_s:
            return messages.State.ROLLED_BACK, "too little evidence"
        return None, ""

    def _has_places(self, move: revision.RolloutOrder) -> bool:
        known = self.candidates(move.service)
        new = by_version.choose_with(known, move.version)
        old = by_version.choose_without(known, move.version)
        places = sum(item.slots for item in new if item.state == "ready")
        needed = sum(item.slots for item in old if item.state == "ready")
        return places > 0 and places >= needed * LEAST_PLACES

    async def _write(self, decision: messages.Decision) -> None:
        expected = self.row_versions.get(decision.service, 0)
        try:
            await self.decision_store.write(decision, expected)
        except platform.ConflictError as error:
            log.info("another decision came first", error=str(error))
            self.row_versions[decision.service] = (
                error.row.version if error.row else 0
            )
            await self._learn_quietly()
            return
        except platform.PlatformError as error:
            log.warning("decision not written", error=str(error))
            await anyio.sleep(WRITE_RETRY_S)
            await self._learn_quietly()
            return
        self.receive_decision(decision)
        for _ in range(REPEATS):
            self._tell_all(decision)
            await anyio.sleep(REPEAT_GAP_S)

    def _tell_all(self, item: messages.Message) -> None:
        for node in self.judges():
            if node != self.node:
                self.send(node, item)

    async def _learn_quietly(self) -> None:
        try:
            await self.load_decisions()
        except platform.PlatformError as error:
            log.warning("decisions not read", error=str(error))
