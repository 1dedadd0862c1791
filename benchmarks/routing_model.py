"""Compares the routing policies of process.choice.routing on the same load.

A discrete-event simulation with a virtual clock generates arrivals and service
times; the routers are the program's own, one for each entry node. Targets
change their speed within milliseconds, and a noisy neighbour slows one target
at a time.

    PYTHONPATH=src python benchmarks/routing_model.py --help
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import json
import random
import sys

import fire

from waxwingferry.process.choice import budget
from waxwingferry.process.choice import cost
from waxwingferry.process.choice import known_target
from waxwingferry.process.choice import probe
from waxwingferry.process.choice import routing
from waxwingferry.request import retry

NODE_DELAY_S = 0.00005
DOMAIN_DELAY_S = 0.0005
REGION_DELAY_S = 0.015
QUEUE_PER_SLOT = 2
FAIL_FAST_S = 0.0002
# The standard deviation is half of the mean, so that the tail of latencies
# comes from queues and slow targets rather than from long requests.
SERVICE_TIME_GAMMA_SHAPE = 4.0
PROBES_PER_S = 10.0
RETRY_RATIO = 0.1
PROBE_PROCESSOR_S = 0.0005


@dataclasses.dataclass
class Scenario:
    """Load and targets of one simulation.

    Attributes:
        utilisation: Arrival rate as a share of the capacity of all targets.
        service_s: Mean service time at full speed.
        shift_every_s: Mean time between slow periods of a target.
        shift_length_s: Mean duration of a slow period.
        shift_factor: Factor on the service time in a slow period.
        neighbour_factor: Factor on the service time beside a noisy neighbour.
        neighbour_s: Time until the noisy neighbour moves to another target.
        failing: Number of targets that fail fast.
        cold: Number of targets that start cold.
        skewed_entries: Whether a fifth of the entries get half of the calls.
        retry: How calls refused for overload are retried: none, free (twice,
            no budget), budget (twice) or restrained (once, half of the
            budget, only on a target with estimated capacity).
    """

    name: str = "shifts"
    targets: int = 10
    entries: int = 10
    slots: int = 6
    domains: int = 4
    regions: int = 1
    utilisation: float = 0.6
    service_s: float = 0.005
    duration_s: float = 6.0
    shift_every_s: float = 0.2
    shift_length_s: float = 0.02
    shift_factor: float = 5.0
    neighbour_factor: float = 3.0
    neighbour_s: float = 0.5
    failing: int = 0
    cold: int = 0
    skewed_entries: bool = False
    retry: str = "restrained"


class Target:
    """One target with its node: slots, limit, queue and current speed."""

    def __init__(self, simulation: "Simulation", number: int):
        scenario = simulation.scenario
        self.simulation = simulation
        self.number = number
        self.slots = scenario.slots
        self.limit = 1 if number < scenario.cold else scenario.slots
        self.failing = number >= scenario.targets - scenario.failing
        self.in_flight = 0
        self.successes = 0
        self.queue: list[tuple[float, Callable]] = []
        self.slowdown = 1.0
        self.neighbour_slowdown = 1.0
        self.served = 0
        self.queued = 0

    def arrive(self, reply: Callable) -> None:
        """Starts, queues or refuses one attempt; replies with its result."""
        if self.failing:
            self.simulation.after(FAIL_FAST_S, reply, routing.Result.FAILED)
            return
        if self.in_flight < self.limit:
            self._start_request(reply)
            return
        if len(self.queue) >= QUEUE_PER_SLOT * self.slots:
            reply(routing.Result.OVERLOADED)
            return
        self.queued += 1
        self.queue.append((self.simulation.now_s, reply))

    def _start_request(self, reply: Callable) -> None:
        self.in_flight += 1
        mean_s = (
            self.simulation.scenario.service_s
            * self.slowdown
            * self.neighbour_slowdown
        )
        service_time_s = self.simulation.rng.gammavariate(
            SERVICE_TIME_GAMMA_SHAPE, mean_s / SERVICE_TIME_GAMMA_SHAPE
        )
        self.simulation.after(service_time_s, self._finish_request, reply)

    def _finish_request(self, reply: Callable) -> None:
        self.served += 1
        reply(routing.Result.ANSWERED)
        self.in_flight -= 1
        self.successes += 1
        if self.successes >= self.limit and self.limit < self.slots:
            self.successes = 0
            doubled = min(self.limit * 2, max(self.slots // 2, 1))
            self.limit = max(doubled, self.limit + 1)
        while self.queue and self.in_flight < self.limit:
            self._start_request(self.queue.pop(0)[1])

    def report(self) -> routing.LoadReport:
        """Returns the current load report."""
        return routing.LoadReport(
            self.in_flight, len(self.queue), self.limit, self.simulation.now_s
        )


class EntryNode:
    """One entry node: a router and its own view of the targets."""

    def __init__(
        self, simulation: "Simulation", number: int, policy: routing.Policy
    ):
        self.simulation = simulation
        self.location = make_location(simulation.scenario, number)
        self.retries = budget.RatioBudget(RETRY_RATIO, lambda: simulation.now_s)
        self.budget = probe.ProbeBudget(
            lambda: PROBES_PER_S, lambda: simulation.now_s
        )
        self.candidates = [
            self._make_candidate(other)
            for other in range(simulation.scenario.targets)
        ]
        own_target = (
            simulation.targets[number]
            if number < len(simulation.targets)
            else None
        )
        self.router = routing.Router(
            random.Random(simulation.seed * 1000 + number),
            lambda: simulation.now_s,
            policy,
            location=self.location,
            request_probe=self.probe,
            local_load=(lambda: format_load(own_target.report()))
            if own_target
            else None,
        )

    def _make_candidate(self, number: int) -> known_target.Candidate:
        location = make_location(self.simulation.scenario, number)
        return known_target.Candidate(
            node=location.node,
            service="registry",
            version="v1",
            region=location.region,
            failure_domain=location.failure_domain,
            host="",
            peer_port=number,
            incarnation="1",
            state="ready",
            slots=self.simulation.scenario.slots,
        )

    def probe(self, candidate: known_target.Candidate) -> None:
        """Sends a probe, at most one at a time to each target."""
        stats = candidate.stats
        if stats.probe_pending or self.simulation.now_s < stats.probe_after_s:
            return
        if self.budget.reserve():
            return
        self.budget.reconcile(probe.ProbeCost(60, 140, PROBE_PROCESSOR_S))
        stats.probe_pending = True
        stats.probe_after_s = self.simulation.now_s + probe.PROBE_INTERVAL_S
        self.simulation.probes += 1
        target = self.simulation.targets[candidate.peer_port]
        delay_s = self.one_way_delay_s(candidate)

        def store_report(report: routing.LoadReport) -> None:
            candidate.stats.probe_pending = False
            candidate.load = dataclasses.replace(
                report, at_s=self.simulation.now_s
            )

        def answer() -> None:
            self.simulation.after(delay_s, store_report, target.report())

        self.simulation.after(delay_s, answer)

    def one_way_delay_s(self, candidate: known_target.Candidate) -> float:
        """Returns the one-way network delay to a candidate in seconds."""
        if candidate.node == self.location.node:
            return 0.0
        if candidate.region != self.location.region:
            return REGION_DELAY_S
        if candidate.failure_domain != self.location.failure_domain:
            return DOMAIN_DELAY_S
        return NODE_DELAY_S

    def call(self) -> None:
        """Runs one call with the retries that the scenario allows."""
        self.retries.count_call()
        self.attempt(self.simulation.now_s, set())

    def attempt(self, call_started_s: float, tried: set[str]) -> None:
        """Runs one attempt, or refuses the call if none is possible."""
        candidate = self.router.choose(self.candidates, frozenset(), tried)
        if candidate is None or (
            tried and not self.should_retry(candidate, tried)
        ):
            self.simulation.refused += 1
            return
        self.simulation.retries += bool(tried)
        self.router.begin_attempt(candidate)
        sent_s = self.simulation.now_s
        delay_s = self.one_way_delay_s(candidate)
        target = self.simulation.targets[candidate.peer_port]

        def finish(result: routing.Result, report: routing.LoadReport) -> None:
            candidate.load = dataclasses.replace(
                report, at_s=self.simulation.now_s
            )
            self.router.finish_attempt(candidate)
            self.router.record_result(
                self.candidates,
                candidate,
                result,
                self.simulation.now_s - sent_s,
            )
            self.handle_result(result, call_started_s, tried | {candidate.node})

        def reply(result: routing.Result) -> None:
            self.simulation.after(delay_s, finish, result, target.report())

        self.simulation.after(delay_s, target.arrive, reply)

    def should_retry(
        self, candidate: known_target.Candidate, tried: set[str]
    ) -> bool:
        """Returns whether a call refused for overload is retried."""
        match self.simulation.scenario.retry:
            case "free":
                return len(tried) <= 2
            case "budget":
                return len(tried) <= 2 and self.retries.spend()
            case "restrained":
                may_retry = len(tried) <= 1 and self.router.has_capacity(
                    candidate
                )
                return may_retry and self.retries.spend(retry.OVERLOAD_SHARE)
        return False

    def handle_result(
        self, result: routing.Result, call_started_s: float, tried: set[str]
    ) -> None:
        """Records the result of an attempt; retries after an overload."""
        match result:
            case routing.Result.ANSWERED:
                elapsed_s = self.simulation.now_s - call_started_s
                self.simulation.latencies_s.append(elapsed_s)
            case routing.Result.OVERLOADED:
                self.attempt(call_started_s, tried)
            case _:
                self.simulation.failed += 1


def make_location(scenario: Scenario, number: int) -> cost.Location:
    """Returns the location of the node with this number."""
    domain = number % scenario.domains
    return cost.Location(
        f"n{number}", f"r{domain % scenario.regions}", f"d{domain}"
    )


def format_load(report: routing.LoadReport) -> str:
    """Returns a report in the format of the header x-waxwing-load."""
    return (
        f"in_flight={report.in_flight},"
        f"queue={report.queue},limit={report.limit}"
    )


class Simulation:
    """Discrete-event simulation of arrivals, entry nodes and targets."""

    def __init__(self, scenario: Scenario, variant: str, seed: int):
        self.scenario = scenario
        self.seed = seed
        self.rng = random.Random(seed)
        self.arrivals = random.Random(seed + 1)
        self.speeds = random.Random(seed + 2)
        self.now_s = 0.0
        self.events: list = []
        self.sequence = itertools.count()
        self.latencies_s: list[float] = []
        self.refused = self.failed = self.retries = self.probes = 0
        self.calls = 0
        self.targets = [Target(self, n) for n in range(scenario.targets)]
        self.entries = [
            EntryNode(self, n, routing.Policy(variant))
            for n in range(scenario.entries)
        ]

    def after(self, delay_s: float, action: Callable, *arguments) -> None:
        """Schedules an action after a delay."""
        item = (self.now_s + delay_s, next(self.sequence), action, arguments)
        heapq.heappush(self.events, item)

    def run(self) -> None:
        """Runs until the last call has ended; checks the in-flight counts."""
        self.after(0.0, self._arrive)
        self.after(0.0, self._move_noisy_neighbour)
        for target in self.targets:
            self.after(0.0, self._change_speed, target)
        while self.events:
            self.now_s, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        for entry in self.entries:
            assert all(item.in_flight == 0 for item in entry.candidates)

    def _accepts_calls(self) -> bool:
        return self.now_s < self.scenario.duration_s

    def _arrive(self) -> None:
        if not self._accepts_calls():
            return
        self.calls += 1
        self._choose_entry().call()
        scenario = self.scenario
        capacity = scenario.targets * scenario.slots / scenario.service_s
        rate = capacity * scenario.utilisation
        self.after(self.arrivals.expovariate(rate), self._arrive)

    def _choose_entry(self) -> EntryNode:
        # 0.375 + 0.625 / 5 = half of the calls enter at a fifth of the entries.
        count = len(self.entries)
        if self.scenario.skewed_entries and self.arrivals.random() < 0.375:
            count = max(count // 5, 1)
        return self.entries[self.arrivals.randrange(count)]

    def _change_speed(self, target: Target) -> None:
        if not self._accepts_calls():
            return
        scenario = self.scenario
        was_full_speed = target.slowdown == 1.0
        target.slowdown = scenario.shift_factor if was_full_speed else 1.0
        mean_s = (
            scenario.shift_length_s
            if was_full_speed
            else scenario.shift_every_s
        )
        self.after(
            self.speeds.expovariate(1 / mean_s), self._change_speed, target
        )

    def _move_noisy_neighbour(self) -> None:
        for target in self.targets:
            target.neighbour_slowdown = 1.0
        if not self._accepts_calls():
            return
        slowed = self.speeds.choice(self.targets)
        slowed.neighbour_slowdown = self.scenario.neighbour_factor
        self.after(self.scenario.neighbour_s, self._move_noisy_neighbour)


@dataclasses.dataclass
class Figures:
    """Results of one simulation; times in milliseconds."""

    scenario: str
    variant: str
    seed: int
    calls: int
    p50: float
    p99: float
    p999: float
    refused: int
    failed: int
    retries: int
    probes: int
    spread: float


def measure(scenario: Scenario, variant: str, seed: int) -> Figures:
    """Runs one simulation and returns its figures."""
    simulation = Simulation(scenario, variant, seed)
    simulation.run()
    values = sorted(simulation.latencies_s)
    served = [
        target.served for target in simulation.targets if not target.failing
    ]

    def quantile(share: float) -> float:
        return round(values[int(len(values) * share)] * 1000, 2)

    return Figures(
        scenario.name,
        variant,
        seed,
        simulation.calls,
        quantile(0.5),
        quantile(0.99),
        quantile(0.999),
        simulation.refused,
        simulation.failed,
        simulation.retries,
        simulation.probes,
        round(max(served) / max(min(served), 1), 2),
    )


SCENARIOS = {
    item.name: item
    for item in (
        Scenario("shifts"),
        Scenario("busy", utilisation=0.75),
        *(
            Scenario(f"over-{way}", utilisation=1.0, retry=way)
            for way in ("none", "free", "budget", "restrained")
        ),
        *(
            Scenario(f"shifts-{way}", retry=way)
            for way in ("none", "free", "budget", "restrained")
        ),
        Scenario("failing", utilisation=0.4, failing=1),
        Scenario("cold", utilisation=0.5, cold=3, duration_s=3.0),
        Scenario("skewed", skewed_entries=True),
        Scenario("regions", regions=2, duration_s=4.0),
        # Size expected in two years: one service, called through all 660
        # entries. Each entry calls a target less than once a second.
        Scenario(
            "sparse",
            targets=30,
            entries=660,
            service_s=0.015,
            duration_s=4.0,
            domains=6,
        ),
        Scenario("many", targets=30, entries=30, slots=6, duration_s=2.0),
    )
}


def main(
    scenario: str = "",
    variants: str = "",
    seeds: int = 3,
    output: str = "",
) -> None:
    """Prints the figures of all policies on the same load.

    Args:
        scenario: Names of scenarios separated by plus signs; empty for all.
        variants: Names of policies separated by plus signs; empty for all.
        seeds: Number of seeds, counted from 1.
        output: File to write the figures to as JSON lines.
    """
    names = scenario.split("+") if scenario else list(SCENARIOS)
    policies = (
        variants.split("+")
        if variants
        else [item.value for item in routing.Policy]
    )
    rows = []
    print(
        f"{'scenario':16}{'variant':16}{'calls':>7}{'p50':>7}{'p99':>8}"
        f"{'p99.9':>8}{'refused':>8}{'failed':>7}{'retries':>8}"
        f"{'probes':>7}{'spread':>7}"
    )
    for name in names:
        for variant in policies:
            runs = [
                measure(SCENARIOS[name], variant, seed)
                for seed in range(1, seeds + 1)
            ]
            rows += runs
            _print_mean(runs)
    if output:
        with open(output, "w", encoding="utf-8") as file:
            for row in rows:
                file.write(json.dumps(dataclasses.asdict(row)) + "\n")


def _print_mean(runs: list[Figures]) -> None:
    def mean(name: str) -> float:
        return sum(getattr(run, name) for run in runs) / len(runs)

    first = runs[0]
    print(
        f"{first.scenario:16}{first.variant:16}{mean('calls'):7.0f}"
        f"{mean('p50'):7.2f}{mean('p99'):8.2f}{mean('p999'):8.2f}"
        f"{mean('refused'):8.1f}{mean('failed'):7.1f}"
        f"{mean('retries'):8.1f}{mean('probes'):7.1f}{mean('spread'):7.2f}"
    )
    sys.stdout.flush()


if __name__ == "__main__":
    fire.Fire(main)
