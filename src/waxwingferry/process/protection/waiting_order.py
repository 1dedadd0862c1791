"""Applies the order of precedence to the queue of one target."""

from collections.abc import Sequence

from waxwingferry.process.protection import estimate as estimates
from waxwingferry.process.protection import fairness
from waxwingferry.process.protection import limit as limits
from waxwingferry.process.protection import permits
from waxwingferry.process.protection import precedence
from waxwingferry.process.protection import served_shares

# Minimum cost of an attempt, so that fair shares also hold before the first
# answer.
MIN_COST_S = 1e-4


class WaitingOrder:
    """Order of dispatch and eviction of the queued attempts.

    Args:
        queue: The queued attempts by member.
        estimate: Service times of the target.
        limit: Limit of the target.

    Attributes:
        served: How often attempts of each priority are served.
        passed_over: Dispatches since the floor share was used.
    """

    def __init__(
        self,
        queue: "fairness.FairQueue[permits.Permit]",
        estimate: estimates.Estimate,
        limit: limits.Limit,
    ):
        self.queue = queue
        self.estimate = estimate
        self.limit = limit
        self.served = served_shares.ServedShares()
        self.passed_over = 0

    def make_ranks(
        self, items: Sequence[permits.Permit], now_s: float
    ) -> list[precedence.Rank]:
        """Returns the ranks of attempts whose member queue is set."""
        service_s = self.estimate.find_mean_s()
        slots = self.limit.slots
        least_start = self.queue.find_least_start()
        works_s: dict[str, float] = {}
        over_served: dict[int, int] = {}
        ranks = []
        # Attempts of a member follow each other.
        member_queue = None
        over_share = False
        for permit in items:
            if permit.member_queue is not member_queue:
                member_queue = _find_member(permit)
                over_share = precedence.is_over_share(
                    member_queue.virtual_start - least_start,
                    member_queue.weight,
                    service_s,
                    slots,
                )
            route = permit.route
            if route not in works_s:
                works_s[route] = self.estimate.find_work_s(route)
            priority = permit.priority
            if priority not in over_served:
                over_served[priority] = precedence.count_over_served(
                    min(priority, served_shares.MAX_PRIORITY),
                    self.served.shares,
                )
            work_s = works_s[route]
            left_s = permit.objective_s - now_s
            ranks.append(
                precedence.make_rank(
                    over_share,
                    permit.depth,
                    over_served[priority],
                    left_s <= 0 or left_s < work_s,
                    permit.due,
                    work_s,
                )
            )
        return ranks

    def choose(self, now_s: float) -> permits.Permit:
        """Returns the queued attempt to dispatch next."""
        items = list(self.queue)
        if len(items) == 1:
            return items[0]
        ranks = self.make_ranks(items, now_s)
        index = precedence.find_first(ranks)
        floor = _find_floor(items, ranks, now_s)
        is_floor_due = self.passed_over >= precedence.FLOOR_INTERVAL - 1
        if is_floor_due and floor is not None:
            index = floor
        if index == floor:
            self.passed_over = 0
        elif self.passed_over < precedence.FLOOR_INTERVAL:
            self.passed_over += 1
        return items[index]

    def choose_evicted(
        self,
        items: Sequence[permits.Permit],
        ranks: Sequence[precedence.Rank],
        now_s: float,
    ) -> permits.Permit:
        """Returns the attempt that costs least if it is refused.

        Args:
            items: Attempts, the new one last.
            ranks: Their ranks.
            now_s: Monotonic time.
        """
        members = []
        counts: dict[str, int] = {}
        weights = {}
        for item in items:
            member_queue = _find_member(item)
            member = member_queue.member
            members.append(member)
            counts[member] = counts.get(member, 0) + 1
            weights[member] = member_queue.weight
        crowding = precedence.find_crowding(
            counts, weights.__getitem__, len(items) - 1
        )
        floor = _find_floor(items, ranks, now_s)
        index = precedence.find_evicted(ranks, members, crowding, floor)
        return items[index]

    def count_ahead(
        self,
        items: Sequence[permits.Permit],
        ranks: Sequence[precedence.Rank],
    ) -> int:
        """Returns how many queued attempts precede a new one.

        Members that are ahead come after the new attempt's member as soon as
        their lead exceeds the allowance.

        Args:
            items: The queued attempts and the new one.
            ranks: Their ranks.
        """
        own = ranks[-1]
        preceding = sum(rank <= own for rank in ranks) - 1
        member_queue = _find_member(items[-1])
        if not self.queue.active.keys() - {member_queue.member}:
            return preceding
        fair = self.queue.count_ahead(
            member_queue, max(self.estimate.find_mean_s(), MIN_COST_S)
        )
        fair -= sum(
            rank > own and item.member_queue is member_queue
            for item, rank in zip(items, ranks, strict=True)
        )
        allowance = round(precedence.SHARE_ALLOWANCE * self.limit.slots)
        return min(preceding, fair + allowance)


def _find_member(
    permit: permits.Permit,
) -> "fairness.MemberQueue[permits.Permit]":
    assert permit.member_queue is not None
    return permit.member_queue


def _find_floor(
    items: Sequence[permits.Permit],
    ranks: Sequence[precedence.Rank],
    now_s: float,
) -> int | None:
    waited = [(now_s - item.submitted_s) / item.lifetime_s for item in items]
    return precedence.find_floor(
        ranks, [item.priority for item in items], waited
    )
