"""Compares admission rules in a simulation of one target in virtual time.

Prints the tables of docs/policy-admission.md:

    PYTHONPATH=src python benchmarks/admission_rules.py [SEED]
"""

from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import random
import sys

from waxwingferry.process.protection import admission
from waxwingferry.process.protection import estimate
from waxwingferry.process.protection import limit as limits

SLOTS = 6
OVERLOAD_SLOWDOWN = 5.0

GROWTH_RULES = {
    "double after limit, up to half": limits.GrowthRule(None, None, 0.5),
    "add 1 after limit": limits.GrowthRule(None, None),
    "add 1 after 20": limits.GrowthRule(20, 20),
    "add 1 after 20, warm 8": limits.GrowthRule(20, 8),
    "add 1 after 20 and 250 ms": limits.GrowthRule(20, 20, 0.0, 0.25),
}


class Clock:
    """Virtual clock in seconds."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self) -> float:
        """Returns the virtual time."""
        return self.now_s


@dataclasses.dataclass
class Target:
    """A target that serves more concurrent requests as it warms up.

    Attributes:
        draw_service_time_s: Returns a random service time in seconds.
        warm_after: Requests served until the capacity grows by one.
        warm_s: Seconds until all slots can be used; 0 uses warm_after.
        slowdown: Returns the factor of a noisy neighbour at a given time.
    """

    draw_service_time_s: Callable[[], float]
    warm_after: int = 10
    warm_s: float = 0.0
    slowdown: Callable[[float], float] = lambda now_s: 1.0
    served: int = 0
    started_s: float = 0.0
    in_flight: int = 0
    overloads: int = 0
    last_overload_s: float = 0.0

    def current_capacity(self, now_s: float) -> int:
        """Returns how many concurrent requests run without overload."""
        if self.warm_s:
            share = (now_s - self.started_s) / self.warm_s
            return min(1 + int(share * SLOTS), SLOTS)
        return min(1 + self.served // self.warm_after, SLOTS)

    def begin(self, now_s: float) -> float:
        """Starts one request; returns its service time in seconds."""
        self.in_flight += 1
        time_s = self.draw_service_time_s() * self.slowdown(now_s)
        if self.in_flight > self.current_capacity(now_s):
            self.overloads += 1
            self.last_overload_s = now_s
            time_s *= OVERLOAD_SLOWDOWN
        return time_s


class Simulation:
    """Poisson arrivals, the admission code and one target.

    Args:
        rule: Growth rule of the limit.
        target: The model of the target.
        rate_per_s: Arrivals per second.
        deadline_s: Deadline of each request, from its arrival.
        min_chance_ratio: Setting of the estimate of the same name.
    """

    def __init__(
        self,
        target: Target,
        rate_per_s: float,
        rng: random.Random,
        rule: limits.GrowthRule = limits.DEFAULT_RULE,
        deadline_s: float = 1.0,
        min_chance_ratio: float | None = estimate.MIN_CHANCE_RATIO,
    ):
        self.clock = Clock()
        self.target = target
        self.rate_per_s = rate_per_s
        self.rng = rng
        self.deadline_s = deadline_s
        self.state = admission.Admission(SLOTS, rule=rule, clock=self.clock)
        self.state.estimate.min_chance_ratio = min_chance_ratio
        self.sequence = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.queued: list[admission.Permit] = []
        self.answer_times_s: list[float] = []
        self.timed_out = 0
        self.refused = 0
        self.full_limit_at_s: float | None = None
        self.low_s = 0.0

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedules an action at a virtual time."""
        heapq.heappush(self.events, (at_s, next(self.sequence), action))

    def run(self, end_s: float) -> "Simulation":
        """Runs the simulation until a virtual time."""
        self.at(self.clock.now_s, self.arrive)
        while self.events[0][0] < end_s:
            at_s, _, action = heapq.heappop(self.events)
            if self.state.limit.value <= SLOTS // 2:
                self.low_s += at_s - self.clock.now_s
            self.clock.now_s = at_s
            action()
            self.start_dispatched()
            if self.full_limit_at_s is None and self.state.limit.value == SLOTS:
                self.full_limit_at_s = at_s
        return self

    def arrive(self) -> None:
        """Submits one request and schedules the next arrival."""
        now_s = self.clock.now_s
        self.queued.append(self.state.submit("a", now_s + self.deadline_s))
        self.at(now_s + self.rng.expovariate(self.rate_per_s), self.arrive)

    def start_dispatched(self) -> None:
        """Starts dispatched requests and counts refused ones."""
        waiting = []
        for permit in self.queued:
            if permit.state is admission.State.RUNNING:
                self.start(permit)
            elif permit.state is admission.State.QUEUED:
                waiting.append(permit)
            else:
                self.refused += 1
        self.queued = waiting

    def start(self, permit: admission.Permit) -> None:
        """Starts the service of one request."""
        time_s = self.target.begin(self.clock.now_s)
        end_s = min(self.clock.now_s + time_s, permit.deadline_s)
        self.at(end_s, lambda: self.finish(permit, end_s))

    def finish(self, permit: admission.Permit, end_s: float) -> None:
        """Ends one request that was answered or exceeded its deadline."""
        self.target.in_flight -= 1
        self.target.served += 1
        if end_s < permit.deadline_s:
            self.answer_times_s.append(end_s)
            self.state.release(permit, admission.Ending.ANSWERED)
        else:
            self.timed_out += 1
            self.state.release(permit, admission.Ending.ABANDONED)

    def count(self, begin_s: float, end_s: float) -> int:
        """Returns the number of answers in an interval."""
        return sum(begin_s <= at_s < end_s for at_s in self.answer_times_s)


def _two_values(rng: random.Random) -> float:
    return 0.005 if rng.random() < 0.9 else 0.155


def _exponential(rng: random.Random, mean_s: float) -> Callable[[], float]:
    return lambda: rng.expovariate(1 / mean_s)


def print_cold_starts(seed: int) -> None:
    """Prints overloads and time to the full limit for each growth rule."""
    print("cold start, arrivals 1.2 x capacity: overloads / s to full limit")
    cases: list[tuple[str, float, int, float]] = [
        ("2ms,10", 0.002, 10, 0.0),
        ("2ms,18", 0.002, 18, 0.0),
        ("2ms,40", 0.002, 40, 0.0),
        ("50ms,10", 0.05, 10, 0.0),
        ("2ms,2s", 0.002, 10, 2.0),
    ]
    print(f"{'rule':32}" + "".join(f"{name:>15}" for name, *_ in cases))
    for name, rule in GROWTH_RULES.items():
        cells = []
        for _, mean_s, warm_after, warm_s in cases:
            rng = random.Random(seed)
            target = Target(_exponential(rng, mean_s), warm_after, warm_s)
            run = Simulation(target, 1.2 * SLOTS / mean_s, rng, rule)
            run.run(1500 * mean_s)
            time_to_full = (
                f"{run.full_limit_at_s:.2f}" if run.full_limit_at_s else "never"
            )
            cells.append(f"{target.overloads:>7} /{time_to_full:>6}")
        print(f"{name:32}" + "".join(cells))


def _make_neighbour_bursts(
    length_s: float, period_s: float
) -> Callable[[float], float]:
    """Returns a factor of 4 in periodic bursts that start after 5 s."""
    return lambda now_s: (
        4.0 if now_s >= 5 and (now_s - 5) % period_s < length_s else 1.0
    )


def print_slow_periods(seed: int) -> None:
    """Prints the effect of slow periods and of an unannounced cold start."""
    print("\narrivals 0.7 x capacity from 5 s to 11 s: answers / s at a limit")
    print(
        "of half the slots or less; unannounced cold start: overloads after it"
    )
    print(
        f"{'rule':32}{'no burst':>15}{'0.1 s each 1 s':>16}"
        f"{'3 s once':>15}{'turns cold':>12}"
    )
    slowdowns = [
        _make_neighbour_bursts(0.0, 1.0),
        _make_neighbour_bursts(0.1, 1.0),
        _make_neighbour_bursts(3.0, 100.0),
    ]
    for name, rule in GROWTH_RULES.items():
        cells = []
        for slowdown in slowdowns:
            rng = random.Random(seed)
            target = Target(_exponential(rng, 0.002), 1, slowdown=slowdown)
            run = Simulation(target, 0.7 * SLOTS / 0.002, rng, rule)
            run.at(5.0, functools.partial(setattr, run, "low_s", 0.0))
            run.run(11.0)
            cells.append(f"{run.count(5, 11):>8} /{run.low_s:5.2f}")
        cells.append(f"{_count_overloads_after_turning_cold(seed, rule):>11}")
        print(f"{name:32}" + " ".join(cells))


def _count_overloads_after_turning_cold(
    seed: int, rule: limits.GrowthRule
) -> int:
    rng = random.Random(seed)
    target = Target(_exponential(rng, 0.002))
    run = Simulation(target, 0.7 * SLOTS / 0.002, rng, rule)

    def turn_cold() -> None:
        target.served = 0
        target.overloads = 0

    run.at(5.0, turn_cold)
    run.run(9.0)
    return target.overloads


def print_estimates(seed: int) -> None:
    """Prints goodput and wasted work for each estimate of the service time."""
    print("\ndeadline 60 ms, arrivals 1.5 x capacity, 20 s: in time / run but")
    print("late / refused, by service time distribution")
    distributions = ("constant 20", "exp. 20", "9 of 10 5, else 155")
    print(f"{'rule':24}" + "".join(f"{name:>24}" for name in distributions))
    rules = {
        "none (deadline only)": 0.0,
        "mean": None,
        "half of the chance": 0.5,
        "3/4 of the chance": 0.75,
        "9/10 of the chance": 0.9,
    }
    for rule_name, min_chance_ratio in rules.items():
        cells = []
        for name in distributions:
            rng = random.Random(seed)
            draws: dict[str, Callable[[], float]] = {
                distributions[0]: lambda: 0.02,
                distributions[1]: _exponential(rng, 0.02),
                distributions[2]: functools.partial(_two_values, rng),
            }
            run = Simulation(
                Target(draws[name], 1),
                1.5 * SLOTS / 0.02,
                rng,
                deadline_s=0.06,
                min_chance_ratio=min_chance_ratio,
            )
            if min_chance_ratio == 0.0:
                run.state.estimate.should_refuse = (  # type: ignore
                    lambda route, left_s, initial_s, contended: left_s <= 0
                )
            run.run(20.0)
            cells.append(
                f"{len(run.answer_times_s):>9} "
                f"/{run.timed_out:5} /{run.refused:6}"
            )
        print(f"{rule_name:24}" + "".join(f"{c:>24}" for c in cells))


def main() -> None:
    """Prints all tables."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print_cold_starts(seed)
    print_slow_periods(seed)
    print_estimates(seed)


if __name__ == "__main__":
    main()
