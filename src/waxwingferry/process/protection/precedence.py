"""Order of dispatch and eviction among attempts that wait for one target.

Pure functions of an attempt's facts. The attempt that sorts first is dispatched
next, and the one that sorts last is refused when the queue is full.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import functools
import math
from typing import NamedTuple

# Queue bounds per member that competes with others, and in total. One member
# can't fill the whole queue, so bursts of other members still fit.
MEMBER_QUEUE_PER_SLOT = 2
QUEUE_PER_SLOT = 4
# Queue bound of a member while no other member has queued attempts.
SOLE_QUEUE_PER_SLOT = 4
# Service that a member may have received beyond its fair share before its
# attempts come after those of others, in service times x slots. Below 1, the
# attempts that a member has in flight could put it behind.
SHARE_ALLOWANCE = 1.0
# Each priority rank counts like this much extra time until the objective. That
# is about how far the objectives of neighbouring ranks of a service differ.
PRIORITY_STEP_S = 0.1
# Attempts whose due times fall in one interval of this length are equally
# urgent. It is less than half of PRIORITY_STEP_S, so that the work never
# outweighs a rank.
URGENCY_STEP_S = 0.04
# Interval of attempts without a time until which they are due.
MAX_STEP = 1 << 62
# An attempt that has waited for this part of its time gets part of the floor.
AGED_AFTER = 0.5
# One in this many dispatches goes to an aged attempt if there is one. That is
# 5.6%; with 1 in 20, rounding gives less than the floor of 5%.
FLOOR_INTERVAL = 18
# A kind may be served more often than a more urgent one by this share. The
# requirement is 0.05 in all; with 0.02, the model exceeded it for rare kinds.
KIND_MARGIN = 0.01


class Rank(NamedTuple):
    """Sort key of an attempt; the smallest is dispatched first.

    Attributes:
        over_share: Whether its member is over its fair share.
        external: Whether it is not a nested call.
        over_served: Number of more urgent kinds that are served less often.
        late: Whether it will probably miss its objective.
        step: Interval that its due time is in.
        work_s: Expected service time.
        due_s: Time of its objective, later for less urgent priorities.
    """

    over_share: bool
    external: bool
    over_served: int
    late: bool
    step: int
    work_s: float
    due_s: float


# Creates a rank from a tuple in half the time of the generated constructor; a
# decision on a full queue ranks all of its attempts.
_new_rank = functools.partial(tuple.__new__, Rank)


def find_due(objective_s: float, priority: int) -> tuple[int, float]:
    """Returns the interval of an attempt's due time, and that time."""
    due_s = objective_s + priority * PRIORITY_STEP_S
    if not math.isfinite(due_s):
        return MAX_STEP, due_s
    return math.floor(due_s / URGENCY_STEP_S), due_s


def make_rank(
    over_share: bool,
    depth: int,
    over_served: int,
    late: bool,
    due: tuple[int, float],
    work_s: float,
) -> Rank:
    """Returns the rank of an attempt.

    Load patterns: many members of which one floods (over_share); nested calls
    whose parents hold slots elsewhere (depth); kinds of different work under
    overload, where the urgent one would miss its objective first and starve
    (over_served); a queue longer than the objective, where order of arrival
    answers all of it late (late); bursts of several kinds (due); and
    bursts of equally urgent requests of different work (work_s).
    """
    step, due_s = due
    return _new_rank(
        (over_share, depth <= 1, over_served, late, step, work_s, due_s)
    )


def is_over_share(
    lead_s: float, weight: float, service_s: float, slots: int
) -> bool:
    """Returns whether a member is over its fair share by the allowance.

    Load pattern: one member floods and others send now and then.

    Args:
        lead_s: Virtual time by which the member is ahead of the one with
            queued attempts that received least for its weight.
        weight: Weight of the member.
        service_s: Mean service time of the target.
        slots: Number of slots of the target.
    """
    return lead_s * weight > SHARE_ALLOWANCE * service_s * slots


def find_first(ranks: Sequence[Rank]) -> int:
    """Returns the index of the attempt to dispatch next.

    Load pattern: any queue; of equal ranks the oldest attempt is chosen.
    """
    return ranks.index(min(ranks))


def find_evicted(
    ranks: Sequence[Rank],
    members: Sequence[str],
    crowding: set[str],
    spared: int | None = None,
) -> int:
    """Returns the index of the attempt to refuse when the queue is full.

    Load pattern: a burst of less urgent requests fills the queue just before
    an urgent one arrives. Attempts of a member within its share are spared
    while there are others. Of equal ranks the newest is refused.

    Args:
        ranks: Ranks of the queued attempts, then of the new one.
        members: Names of their members.
        crowding: Members that hold more than their part of the queue.
        spared: Index of the attempt that the floor share is for, or None.
    """
    candidates = [i for i, rank in enumerate(ranks) if rank.over_share]
    if not candidates:
        candidates = [i for i, name in enumerate(members) if name in crowding]
    if not candidates:
        candidates = list(range(len(ranks)))
    if len(candidates) > 1:
        candidates = [i for i in candidates if i != spared]
    return max(candidates, key=lambda i: (ranks[i], i))


def find_crowding(
    counts: Mapping[str, int], weight: Callable[[str], float], bound: int
) -> set[str]:
    """Returns the members that hold more than their part of a full queue.

    Load pattern: one member fills the queue while others queue a few attempts
    each. If the number of attempts is above the bound, there is at least one.

    Args:
        counts: Number of attempts by member.
        weight: Returns the weight of a member.
        bound: Number of attempts that the queue may hold.
    """
    total = sum(map(weight, counts))
    return {
        member
        for member, count in counts.items()
        if count * total > bound * weight(member)
    }


def find_member_bound(is_alone: bool, has_objective: bool, slots: int) -> int:
    """Returns how many attempts one member may queue.

    Load pattern: all external requests of a service belong to one member. The
    part of the queue that is kept for other members is then never used.
    Without an objective before the deadline, a longer queue only means that
    attempts are sent just before their deadlines.

    Args:
        is_alone: Whether no other member has queued attempts.
        has_objective: Whether the new attempt has an objective of its own.
        slots: Number of slots of the target.
    """
    has_longer_queue = is_alone and has_objective
    per_slot = (
        SOLE_QUEUE_PER_SLOT if has_longer_queue else MEMBER_QUEUE_PER_SLOT
    )
    return per_slot * slots


def count_over_served(priority: int, served_shares: Mapping[int, float]) -> int:
    """Returns how many more urgent kinds are served less often than a kind.

    Load pattern: lasting overload by kinds of different work. Short requests
    of a less urgent kind meet their objectives when long urgent ones cannot.

    Args:
        priority: Priority of the kind.
        served_shares: Share of attempts that were dispatched, by priority.
    """
    own = served_shares.get(priority)
    if own is None:
        return 0
    return sum(
        other < priority and own > share + KIND_MARGIN
        for other, share in served_shares.items()
    )


def find_floor(
    ranks: Sequence[Rank],
    priorities: Sequence[int],
    waited: Sequence[float],
) -> int | None:
    """Returns the index of the attempt that the floor share is for, or None.

    Load pattern: a lasting overload by more urgent kinds, in which the least
    urgent attempts would be evicted or wait in vain until their deadlines.
    A kind that is served more often than a more urgent one gets nothing.

    Args:
        ranks: Ranks of the attempts.
        priorities: Their priorities.
        waited: Part of their time until the deadline that they have waited.
    """
    most_urgent = min(priorities)
    candidates = [
        (priorities[i], waited[i], -i)
        for i, rank in enumerate(ranks)
        if (priorities[i] > most_urgent or waited[i] >= AGED_AFTER)
        and rank.external
        and not rank.over_share
        and not rank.over_served
    ]
    return -max(candidates)[2] if candidates else None
