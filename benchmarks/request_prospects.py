"""Weighs an order by the prospects of nested calls, in a model of two services.

Targets of an upper service make two calls to targets of a lower service for
seven of ten requests of a route. Both use the program's own admission and load
shedding. The order under trial is the one specified in
docs/design/isolation-and-starts.md, section 2: while attempts wait, one whose
calls will probably be refused comes after those with better prospects. Prints
the table of docs/design/nested-calls-and-returns.md:

    PYTHONPATH=src python benchmarks/request_prospects.py [SEEDS]
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import functools
import heapq
import itertools
import math
import random
import statistics
import sys

from waxwingferry.process.protection import admission
from waxwingferry.process.protection import load_shedding
from waxwingferry.process.protection import permits
from waxwingferry.process.protection import precedence
from waxwingferry.process.protection import stated_limit
from waxwingferry.process.protection import waiting_order

SLOTS = 4
SERVICE_S = 0.05
UPPER_TARGETS = 4
DEADLINE_S = 1.5
OBJECTIVE_S = 0.3
CALL_SHARE = 0.7
CALLS = 2
# The work of a request has this many parts; it makes calls between them.
PARTS = 3
END_S = 15.0
# Requests that arrive before are not counted.
WARM_UP_S = 3.0
# The specified bounds of an observation, and the least prospect.
DECAY_S = 20.0
MIN_RUNS = 8
SHARE_LIFETIME_S = 1.0
MIN_PROSPECT = 0.5
# More than the steps of all due times: puts an attempt behind all that differ
# in nothing but their due times.
POOR_STEP = 1 << 63


class Clock:
    """Virtual clock in seconds."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self) -> float:
        """Returns the virtual time."""
        return self.now_s


class Prospects:
    """What the node of an upper target observes of nested calls.

    Args:
        clock: Virtual time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.observed_s = 0.0
        self.runs: collections.Counter[str] = collections.Counter()
        self.weights: dict[str, float] = collections.defaultdict(float)
        self.calling: dict[str, float] = collections.defaultdict(float)
        self.shares: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def record_run(self, route: str, called: bool) -> None:
        """Records a request that ran."""
        decay = math.exp((self.observed_s - self.clock()) / DECAY_S)
        self.observed_s = self.clock()
        for counts in (self.weights, self.calling):
            for name in counts:
                counts[name] *= decay
        self.runs[route] += 1
        self.weights[route] += 1
        self.calling[route] += called

    def record_share(self, share: float) -> None:
        """Records which share of its calls a lower target could serve."""
        self.shares.append((self.clock(), share))

    def find_cutoff(self, route: str) -> float:
        """Returns the level from which the prospects of a route are poor."""
        oldest_s = self.clock() - SHARE_LIFETIME_S
        while self.shares and self.shares[0][0] <= oldest_s:
            self.shares.popleft()
        if not self.shares or self.runs[route] < MIN_RUNS:
            return 1.0
        prospect = 1 - self.calling[route] / self.weights[route]
        if prospect >= MIN_PROSPECT:
            return 1.0
        return statistics.median(share for _, share in self.shares)


class ProspectOrder(waiting_order.WaitingOrder):
    """Order in which attempts with a poor prospect come after others.

    Attributes:
        prospects: What the node observed.
    """

    prospects: Prospects

    def make_ranks(
        self, items: Sequence[permits.Permit], now_s: float
    ) -> list[precedence.Rank]:
        """See waiting_order.WaitingOrder."""
        ranks = super().make_ranks(items, now_s)
        find_cutoff = functools.cache(self.prospects.find_cutoff)
        for number, permit in enumerate(items):
            level = load_shedding.compute_level(permit.request_id)
            if permit.request_id and level >= find_cutoff(permit.route):
                rank = ranks[number]
                ranks[number] = rank._replace(step=rank.step + POOR_STEP)
        return ranks


class LevelShedding:
    """Refuses calls above the level below which the recorded ones fit.

    The program's rule takes the levels of the calls that arrive for equally
    distributed. They are not if the callers prefer low ones.

    Args:
        clock: Virtual time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.arrivals: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def find_share(self, level: float, capacity_per_s: float) -> float:
        """Records a call; returns the level from which calls are refused."""
        now_s = self.clock()
        self.arrivals.append((now_s, level))
        while self.arrivals[0][0] <= now_s - load_shedding.WINDOW_S:
            self.arrivals.popleft()
        span_s = max(now_s - self.arrivals[0][0], load_shedding.MIN_SPAN_S)
        capacity = capacity_per_s * span_s
        count = len(self.arrivals)
        if count < load_shedding.MIN_ARRIVALS or count <= capacity + math.sqrt(
            capacity
        ):
            return 1.0
        return sorted(level for _, level in self.arrivals)[int(capacity)]


class ShareShedding(load_shedding.LoadShedding):
    """The program's rule."""

    def find_share(self, level: float, capacity_per_s: float) -> float:
        """Records a call; returns the level from which calls are refused."""
        self.record(0)
        span_s = max(
            self.clock() - self.arrivals[0][0], load_shedding.MIN_SPAN_S
        )
        share = capacity_per_s * span_s / self.counts[0]
        # The rule only answers for one parent; the highest level is refused
        # whenever any is.
        capacity = load_shedding.Capacity(capacity_per_s)
        is_over = self.should_refuse(HIGHEST_PARENT, 0, capacity)
        return share if is_over else 1.0


# Has a level above 0.99999, so that it is refused first.
HIGHEST_PARENT = next(
    str(number)
    for number in itertools.count()
    if load_shedding.compute_level(str(number)) > 0.99999
)


@dataclasses.dataclass(frozen=True)
class Case:
    """A load of the two services.

    Attributes:
        name: Name in the table.
        upper_load: Requests to the upper service relative to its capacity.
        lower_load: Calls to the lower service relative to its capacity, if the
            upper one runs as many requests as it can in order of arrival.
        calling_share: Share of the requests that are of a route with calls;
            requests of the other route make none.
        calls_at_end: Whether calls are made after all work of a request.
        lower_targets: Number of lower targets.
        lower_slots: Slots of each.
    """

    name: str
    upper_load: float
    lower_load: float
    calling_share: float = 1.0
    calls_at_end: bool = False
    lower_targets: int = 6
    lower_slots: int = 4


CASES = (
    Case("both", 2.0, 2.0),
    Case("both, calls at the end", 2.0, 2.0, calls_at_end=True),
    Case("both, small targets", 2.0, 2.0, lower_targets=12, lower_slots=1),
    Case("only the upper service", 2.0, 0.5),
    Case("only the lower service", 0.7, 2.0),
    Case("both, half without calls", 2.0, 2.0, 0.5),
    Case("both, half without calls, calls at the end", 2.0, 2.0, 0.5, True),
    Case("only the lower service, half without calls", 0.7, 2.0, 0.5),
)


@dataclasses.dataclass
class Request:
    """One request of a caller.

    Attributes:
        request_id: Its ID, which determines its level.
        route: Name of the route.
        is_counted: Whether it arrived after the warm-up.
        calls_left: Calls that it has not made yet.
        called: Whether it has made a call.
        failed: Whether one of its calls was refused.
        pending: Number of its calls that have not ended, and 1 while it runs.
    """

    request_id: str
    route: str
    is_counted: bool
    calls_left: int
    called: bool = False
    failed: bool = False
    pending: int = 1


class Model:
    """Two services, of which one calls the other.

    Args:
        case: The load.
        uses_prospects: Whether the upper targets' nodes use prospects.
        make_shedding: Rule by which lower targets refuse calls.
        seed: Seed of the arrivals and choices.

    Attributes:
        counted: Requests that arrived after the warm-up.
        served: Those that ran and had all calls served.
        ran: Those that ran.
        without_calls: Those that ran and made no call.
    """

    def __init__(
        self,
        case: Case,
        uses_prospects: bool,
        make_shedding: "Callable[[Clock], ShareShedding | LevelShedding]",
        seed: int,
    ):
        self.case = case
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.counted = self.served = self.ran = self.without_calls = 0
        self.capacity_per_s = UPPER_TARGETS * SLOTS / SERVICE_S
        run_per_s = min(case.upper_load, 1.0) * self.capacity_per_s
        calls_per_s = run_per_s * case.calling_share * CALL_SHARE * CALLS
        self.lower_per_s = calls_per_s / case.lower_load
        self.prospects = [Prospects(self.clock) for _ in range(UPPER_TARGETS)]
        self.upper = [self._make_admission(SLOTS) for _ in self.prospects]
        if uses_prospects:
            for state, prospects in zip(
                self.upper, self.prospects, strict=True
            ):
                state.order = ProspectOrder(
                    state.queue, state.estimate, state.limit
                )
                state.order.prospects = prospects
        self.lower = [
            self._make_admission(case.lower_slots)
            for _ in range(case.lower_targets)
        ]
        self.shedding = [make_shedding(self.clock) for _ in self.lower]
        # Attempts with what to do when they are dispatched or refused.
        self.waiting: dict[
            admission.Permit, tuple[Callable[[], None], Callable[[], None]]
        ] = {}

    def _make_admission(self, slots: int) -> admission.Admission:
        return admission.Admission(
            slots,
            clock=self.clock,
            make_limit=lambda slots: stated_limit.StatedLimit(
                slots, lambda: 1e9, self.clock
            ),
        )

    def run(self) -> None:
        """Runs the model."""
        self._arrive()
        while self.events:
            self.clock.now_s, _, event = heapq.heappop(self.events)
            event()
            for state in self.upper + self.lower:
                state.advance()
            for permit, (start, fail) in list(self.waiting.items()):
                if permit.state is not admission.State.QUEUED:
                    del self.waiting[permit]
                    is_running = permit.state is admission.State.RUNNING
                    (start if is_running else fail)()

    def find_bound(self) -> float:
        """Returns how many of the requests that ran could be served at most.

        Each one with calls needs two calls of the lower service.
        """
        span_s = END_S - WARM_UP_S
        served_calls = self.lower_per_s * span_s
        return min(self.without_calls + served_calls / CALLS, self.ran)

    def _after(self, delay_s: float, event: Callable[[], None]) -> None:
        item = (self.clock.now_s + delay_s, next(self.numbers), event)
        heapq.heappush(self.events, item)

    def _arrive(self, elapsed_s: float = 0.0) -> None:
        if elapsed_s >= END_S:
            return
        rate_per_s = self.capacity_per_s * self.case.upper_load
        delay_s = self.rng.expovariate(rate_per_s)

        def submit() -> None:
            self._submit(elapsed_s + delay_s > WARM_UP_S)
            self._arrive(elapsed_s + delay_s)

        self._after(delay_s, submit)

    def _submit(self, is_counted: bool) -> None:
        is_calling = self.rng.random() < self.case.calling_share
        makes_calls = is_calling and self.rng.random() < CALL_SHARE
        request = Request(
            f"{self.rng.getrandbits(64):016x}",
            "calling" if is_calling else "plain",
            is_counted,
            CALLS if makes_calls else 0,
        )
        self.counted += is_counted
        index = self.rng.randrange(UPPER_TARGETS)
        now_s = self.clock.now_s
        permit = self.upper[index].submit(
            "m",
            now_s + DEADLINE_S,
            request.route,
            now_s + OBJECTIVE_S,
            request_id=request.request_id,
        )
        part_s = self.rng.uniform(0.5, 1.5) * SERVICE_S / PARTS
        work = functools.partial(
            self._work, index, permit, request, part_s, PARTS
        )
        self.waiting[permit] = (work, lambda: None)

    def _work(
        self,
        index: int,
        permit: admission.Permit,
        request: Request,
        part_s: float,
        parts: int,
    ) -> None:
        """Works for a part of the time, then makes calls or ends."""

        def proceed() -> None:
            is_last = parts == 1
            if is_last or not self.case.calls_at_end:
                count = request.calls_left if is_last else 1
                for _ in range(min(count, request.calls_left)):
                    if not request.failed:
                        self._call(index, request)
            if is_last or request.failed:
                self._end(index, permit, request)
            else:
                self._work(index, permit, request, part_s, parts - 1)

        self._after(part_s, proceed)

    def _call(self, index: int, request: Request) -> None:
        """Makes a call; the target goes on without waiting for its answer."""
        request.calls_left -= 1
        request.called = True
        called = self.rng.randrange(len(self.lower))
        state = self.lower[called]
        level = load_shedding.compute_level(request.request_id)
        # The lower targets run calls only, so that the mean of all is theirs.
        mean_s = max(state.estimate.find_mean_s(), waiting_order.MIN_COST_S)
        share = self.shedding[called].find_share(
            level, state.find_capacity().slots / mean_s
        )
        has_room = state.can_dispatch() and not state.queue
        if level >= share and not has_room:
            self.prospects[index].record_share(share)
            request.failed = True
            return
        now_s = self.clock.now_s
        permit = state.submit(
            "m", now_s + DEADLINE_S, "call", now_s + OBJECTIVE_S, depth=2
        )
        request.pending += 1
        mean_s = len(self.lower) * self.case.lower_slots / self.lower_per_s
        work_s = self.rng.uniform(0.5, 1.5) * mean_s

        def end() -> None:
            state.release(permit, admission.Ending.ANSWERED)
            self._settle(request)

        def fail() -> None:
            request.failed = True

        self.waiting[permit] = (lambda: self._after(work_s, end), fail)

    def _end(
        self, index: int, permit: admission.Permit, request: Request
    ) -> None:
        self.prospects[index].record_run(request.route, request.called)
        self.upper[index].release(permit, admission.Ending.ANSWERED)
        self.ran += request.is_counted
        self.without_calls += request.is_counted and not request.called
        self._settle(request)

    def _settle(self, request: Request) -> None:
        """Counts a request as served once it and its calls have ended."""
        request.pending -= 1
        if not request.pending and not request.failed:
            self.served += request.is_counted


def print_case(case: Case, seeds: int) -> None:
    """Prints one row: requests served without and with prospects."""
    cells = []
    for make_shedding in (ShareShedding, LevelShedding):
        served: dict[bool, list[int]] = {False: [], True: []}
        bound = 0.0
        for uses_prospects, seed in itertools.product(
            (False, True), range(seeds)
        ):
            model = Model(case, uses_prospects, make_shedding, seed)
            model.run()
            served[uses_prospects].append(model.served)
            if not uses_prospects:
                bound += model.find_bound()
        ratios = [
            used / unused
            for unused, used in zip(served[False], served[True], strict=True)
        ]
        unused, used = sum(served[False]), sum(served[True])
        cells.append(
            f"{unused} / {used} / {bound:.0f} | {used / unused:.3f} "
            f"({min(ratios):.3f} to {max(ratios):.3f})"
        )
    print(f"| {case.name} | {' | '.join(cells)} |", flush=True)


def main() -> None:
    """Prints the table."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 4
    for case in CASES:
        print_case(case, seeds)


if __name__ == "__main__":
    main()
