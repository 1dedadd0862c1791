"""Weighs the rules of least-cost admission in a model of one target.

The target has 3 slots and changes its speed by a factor of 7. Load comes in
bursts above its capacity, and a refused caller comes back once. Prints the
tables of docs/design/least-cost-admission.md:

    PYTHONPATH=src python benchmarks/least_cost_admission.py [SEEDS]
"""

import collections
from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import random
import sys
import timeit

from waxwingferry.process.protection import admission
from waxwingferry.process.protection import estimate
from waxwingferry.process.protection import precedence
from waxwingferry.process.protection import stated_limit

SLOTS = 3
SERVICE_S = 0.051
DEADLINE_S = 1.5
OBJECTIVE_S = 0.3
RETURN_AFTER_S = 0.25
SLOW_FACTOR = 7.0
SLOW_SHARE = 0.25
PHASE_S = 0.5
# Interval of the target's load reports while it is busy.
SAMPLE_INTERVAL_S = 0.05
BURST_S = 1.0
BURST_PERIOD_S = 3.0
QUIET_LOAD = 0.5
END_S = 120.0


@dataclasses.dataclass(frozen=True)
class Kind:
    """Requests of one route.

    Attributes:
        name: Name of the route.
        share: Share of the arrivals.
        work: Mean service time relative to SERVICE_S.
        priority: Rank of the route; 0 is the most urgent.
        objective_s: Objective from the arrival.
        depth: Depth of the calls; more than 1 for nested ones.
        member: Member of the callers.
    """

    name: str = "r"
    share: float = 1.0
    work: float = 1.0
    priority: int = 0
    objective_s: float = OBJECTIVE_S
    depth: int = 1
    member: str = "external"


ONE_KIND = (Kind(),)
KINDS = (
    Kind("urgent long", 0.25, 2.0, 0, 0.3),
    Kind("plain", 0.35, 0.8, 1, 0.4),
    Kind("late short", 0.3, 0.4, 2, 0.5),
    Kind("nested", 0.1, 1.0, 1, 0.4, 2, "inner"),
)

# Kinds whose order by due time alone would serve less urgent ones more often.
MIXES = {
    "urgent long": (
        Kind("0", 0.3, 4.0, 0, 0.3),
        Kind("1", 0.4, 0.3, 1, 0.4),
        Kind("2", 0.3, 0.3, 2, 0.5),
    ),
    "rare least urgent": (
        Kind("0", 0.6, 1.0, 0, 0.3),
        Kind("1", 0.37, 1.0, 1, 0.4),
        Kind("2", 0.03, 0.3, 2, 0.5),
    ),
    "rare urgent": (
        Kind("0", 0.05, 3.0, 0, 0.3),
        Kind("1", 0.5, 1.0, 1, 0.4),
        Kind("2", 0.45, 0.5, 2, 0.5),
    ),
    "equal objectives": (
        Kind("0", 0.4, 2.0, 0, 0.3),
        Kind("1", 0.3, 1.0, 1, 0.3),
        Kind("2", 0.3, 0.3, 2, 0.3),
    ),
    "objectives far apart": (
        Kind("0", 0.4, 2.0, 0, 0.3),
        Kind("1", 0.3, 1.0, 1, 0.8),
        Kind("2", 0.3, 0.3, 2, 1.4),
    ),
    "objectives reversed": (
        Kind("0", 0.4, 1.0, 0, 1.0),
        Kind("1", 0.3, 1.0, 1, 0.5),
        Kind("2", 0.3, 1.0, 2, 0.3),
    ),
}


class Clock:
    """Virtual clock in seconds."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self) -> float:
        """Returns the virtual time."""
        return self.now_s


def _make_limit(clock: Clock, slots: int) -> stated_limit.StatedLimit:
    return stated_limit.StatedLimit(slots, lambda: 1e9, clock)


@dataclasses.dataclass
class Request:
    """One request of a caller, with the permit of its current attempt."""

    kind: Kind
    arrived_s: float
    work_s: float
    permit: admission.Permit
    is_return: bool = False


@dataclasses.dataclass
class Counts:
    """Results of the requests of a kind; a return counts for its request."""

    arrived: int = 0
    good: int = 0
    late: int = 0
    refused: int = 0
    timed_out: int = 0


class Simulation:
    """Bursts of arrivals, the admission code and one target.

    Args:
        burst: Arrivals in a burst relative to the capacity at normal speed.
        seed: Seed of the arrivals and the speed.
        kinds: Kinds of requests.
        quiet: Arrivals between the bursts relative to the capacity.
        reports_slowness: Whether the target reports its slowness.
    """

    def __init__(
        self,
        burst: float,
        seed: int,
        kinds: tuple[Kind, ...] = ONE_KIND,
        quiet: float = QUIET_LOAD,
        reports_slowness: bool = True,
    ):
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.kinds = kinds
        self.burst = burst
        self.quiet = quiet
        self.phases = [
            SLOW_FACTOR if self.rng.random() < SLOW_SHARE else 1.0
            for _ in range(int((END_S + 60) / PHASE_S))
        ]
        self.state = admission.Admission(
            SLOTS,
            clock=self.clock,
            make_limit=functools.partial(_make_limit, self.clock),
            find_slowness=(
                self.find_slowness if reports_slowness else lambda: 1.0
            ),
        )
        self.sequence = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.queued: list[Request] = []
        self.counts: dict[str, Counts] = collections.defaultdict(Counts)

    def find_slowness(self) -> float:
        """Returns the slowness in the newest load report."""
        sampled_s = self.clock.now_s // SAMPLE_INTERVAL_S * SAMPLE_INTERVAL_S
        return self.phases[int(sampled_s / PHASE_S)]

    def find_end_s(self, work_s: float) -> float:
        """Returns when work that starts now ends at the target's speeds."""
        now_s = self.clock.now_s
        while True:
            number = int(now_s / PHASE_S + 1e-9)
            left_s = (number + 1) * PHASE_S - now_s
            factor = self.phases[number]
            if work_s * factor <= left_s:
                return now_s + work_s * factor
            work_s -= left_s / factor
            now_s = (number + 1) * PHASE_S

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedules an action at a virtual time."""
        heapq.heappush(self.events, (at_s, next(self.sequence), action))

    def run(self) -> "Simulation":
        """Runs the simulation until all requests have ended."""
        self.at(0.0, self.arrive)
        while self.events:
            at_s, _, action = heapq.heappop(self.events)
            self.clock.now_s = at_s
            action()
            self.update()
        return self

    def arrive(self) -> None:
        """Submits one request and schedules the next arrival."""
        now_s = self.clock.now_s
        if now_s > END_S:
            return
        weights = [kind.share for kind in self.kinds]
        kind = self.rng.choices(self.kinds, weights)[0]
        mean_work = sum(k.share * k.work for k in self.kinds) / sum(weights)
        work_s = SERVICE_S * kind.work * self.rng.lognormvariate(-0.08, 0.4)
        self.counts[kind.name].arrived += 1
        self.submit(kind, work_s, False)
        in_burst = now_s % BURST_PERIOD_S < BURST_S
        load = self.burst if in_burst else self.quiet
        rate_per_s = load * SLOTS / (SERVICE_S * mean_work)
        self.at(now_s + self.rng.expovariate(rate_per_s), self.arrive)

    def submit(self, kind: Kind, work_s: float, is_return: bool) -> None:
        """Submits an attempt."""
        now_s = self.clock.now_s
        permit = self.state.submit(
            kind.member,
            now_s + DEADLINE_S,
            kind.name,
            now_s + kind.objective_s,
            kind.priority,
            depth=kind.depth,
        )
        self.queued.append(Request(kind, now_s, work_s, permit, is_return))
        self.at(now_s + DEADLINE_S, self.state.advance)

    def update(self) -> None:
        """Starts dispatched requests and lets refused callers come back."""
        waiting = []
        for request in self.queued:
            if request.permit.state is admission.State.RUNNING:
                self.start(request)
            elif request.permit.state is admission.State.QUEUED:
                waiting.append(request)
            elif request.is_return or request.kind.depth > 1:
                self.counts[request.kind.name].refused += 1
            else:
                again = functools.partial(
                    self.submit, request.kind, request.work_s, True
                )
                self.at(self.clock.now_s + RETURN_AFTER_S, again)
        self.queued = waiting

    def start(self, request: Request) -> None:
        """Starts the service of one request."""
        deadline_s = request.permit.deadline_s
        end_s = min(self.find_end_s(request.work_s), deadline_s)
        self.at(end_s, lambda: self.finish(request, end_s < deadline_s))

    def finish(self, request: Request, answered: bool) -> None:
        """Ends one request that was answered or exceeded its deadline."""
        counts = self.counts[request.kind.name]
        if not answered:
            counts.timed_out += 1
            self.state.release(request.permit, admission.Ending.ABANDONED)
            return
        self.state.release(request.permit, admission.Ending.ANSWERED)
        if self.clock.now_s - request.arrived_s <= request.kind.objective_s:
            counts.good += 1
        else:
            counts.late += 1


def _record_undivided(
    self: estimate.Estimate, route: str, used_s: float, slowness: float = 1.0
) -> None:
    _RECORD(self, route, used_s)


_RECORD = estimate.Estimate.record
# Changed rules: what is replaced, and by which value.
Change = tuple[object, str, object]
VARIANTS: dict[str, list[Change]] = {
    "all rules": [],
    "2 x slots for a sole member": [(precedence, "SOLE_QUEUE_PER_SLOT", 2)],
    "no floor share": [(precedence, "FLOOR_INTERVAL", 10**9)],
    "no order by work": [(precedence, "URGENCY_STEP_S", 1e-6)],
    "urgency steps of 20 ms": [(precedence, "URGENCY_STEP_S", 0.02)],
    "urgency steps of 80 ms": [(precedence, "URGENCY_STEP_S", 0.08)],
    "no order of kinds": [(precedence, "KIND_MARGIN", 2.0)],
    "no slowness": [(estimate, "SLOW_PHASE_LEFT_S", 0.0)],
    "slowness without end": [(estimate, "SLOW_PHASE_LEFT_S", 1e9)],
    "times recorded undivided": [
        (estimate.Estimate, "record", _record_undivided)
    ],
}


def print_case(kinds: tuple[Kind, ...], burst: float, seeds: int) -> None:
    """Prints one line for each variant of the rules."""
    print(f"bursts of {burst} x capacity, {seeds} seeds")
    for name, changes in VARIANTS.items():
        old = [getattr(item, field) for item, field, _ in changes]
        for item, field, value in changes:
            setattr(item, field, value)
        totals: dict[str, Counts] = collections.defaultdict(Counts)
        for seed in range(seeds):
            for kind, counts in (
                Simulation(burst, seed, kinds).run().counts.items()
            ):
                for entry in dataclasses.fields(Counts):
                    total = getattr(totals[kind], entry.name)
                    total += getattr(counts, entry.name)
                    setattr(totals[kind], entry.name, total)
        for (item, field, _), value in zip(changes, old, strict=True):
            setattr(item, field, value)
        for kind in sorted(totals):
            c = totals[kind]
            print(
                f"{name:28} {kind:12} of {c.arrived:6}: in time {c.good:6}"
                f" late {c.late:5} refused {c.refused:6}"
                f" timed out {c.timed_out:3}"
            )


def print_orders_of_kinds(seeds: int) -> None:
    """Prints by how much a less urgent kind is served more often at most."""
    print("excess of a less urgent kind in points: with / without its order")
    for name, kinds in MIXES.items():
        cells = []
        for burst, quiet in ((0.6, 0.6), (1.3, 1.3), (2.5, 0.5)):
            excesses = []
            for margin in (precedence.KIND_MARGIN, 2.0):
                old = precedence.KIND_MARGIN
                precedence.KIND_MARGIN = margin
                excesses.append(
                    max(
                        find_excess(Simulation(burst, seed, kinds, quiet).run())
                        for seed in range(seeds)
                    )
                )
                precedence.KIND_MARGIN = old
            cells.append(f"{excesses[0]:6.1f} / {excesses[1]:5.1f}")
        print(f"{name:22}" + "".join(f"{cell:>18}" for cell in cells))


def find_excess(run: Simulation) -> float:
    """Returns the highest excess of a less urgent kind in points."""
    shares = [
        (counts.good + counts.late) / counts.arrived
        for _, counts in sorted(run.counts.items())
    ]
    pairs = itertools.combinations(shares, 2)
    return 100 * max(other - urgent for urgent, other in pairs)


def print_decision_times() -> None:
    """Prints the time of a decision with 32 queued attempts, by members."""
    for members in (1, 8, 32):
        clock = Clock()
        state = admission.Admission(
            8,
            clock=clock,
            make_limit=functools.partial(_make_limit, clock),
        )
        for number in range(200):
            permit = state.submit("a", clock.now_s + 60, f"r{number % 4}")
            clock.now_s += 0.05
            state.release(permit, admission.Ending.ANSWERED)
        for number in range(40):
            now_s = clock.now_s
            state.submit(
                f"m{number % members}",
                now_s + 60 + number,
                f"r{number % 4}",
                now_s + 0.3 + number * 0.01,
                number % 4,
                depth=1 + number % 2,
            )
        numbers = itertools.count()

        def submit(
            members: int = members,
            state: admission.Admission = state,
            now_s: float = clock.now_s,
            numbers: itertools.count = numbers,
        ) -> None:
            number = next(numbers)
            state.submit(
                f"m{number % members}",
                now_s + 60,
                f"r{number % 4}",
                now_s + 0.3 + number % 40 * 0.01,
                number % 4,
            )

        decisions: dict[str, Callable[[], object]] = {
            "dispatch": functools.partial(state.order.choose, clock.now_s),
            "submit": submit,
        }
        for name, decide in decisions.items():
            time_us = min(timeit.repeat(decide, number=500, repeat=5)) * 2000
            print(
                f"{name}, {len(state.queue)} attempts of {members} members:"
                f" {time_us:.1f} us"
            )


def main() -> None:
    """Prints all tables."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 4
    for burst in (1.5, 2.0, 3.0):
        print_case(ONE_KIND, burst, seeds)
    print_case(KINDS, 2.0, seeds)
    print_orders_of_kinds(seeds)
    print_decision_times()


if __name__ == "__main__":
    main()
