"""Workspaces share a target while one of them floods it.

The clock is simulated: the test has no network and waits for nothing.
"""

import heapq
import random

import pytest

from waxwingferry.process.protection import admission as admissions

SLOTS = 8
MEAN_SERVICE_S = 0.05
CAPACITY_PER_S = SLOTS / MEAN_SERVICE_S
DEADLINE_S = 1.5
DURATION_S = 60.0
# Each workspace asks for more than an equal share of the capacity, so that
# fewer answers mean that it was served less often, not that it asked less.
SMALL_PER_S, LARGE_PER_S, FLOOD_PER_S = 2.5, 15.0, 800.0
RATES_PER_S = {
    **{f"small-{number}": SMALL_PER_S for number in range(78)},
    **{f"large-{number}": LARGE_PER_S for number in range(3)},
    "flood": FLOOD_PER_S,
}
# Bound of docs/design/overload-and-workspaces.md.
MIN_SHARE_OF_AVERAGE = 0.25


class Simulation:
    """One target, and callers that don't wait for answers.

    Attributes:
        served: Requests answered in time, by workspace.
    """

    def __init__(self, seed: int, priorities: dict[str, int]):
        self.rng = random.Random(seed)
        self.priorities = priorities
        self.now_s = 1000.0
        self.admission = admissions.Admission(SLOTS, clock=lambda: self.now_s)
        self.admission.limit.value = SLOTS
        self.served = dict.fromkeys(RATES_PER_S, 0)
        self.queued: list[tuple[str, admissions.Permit]] = []
        # Time, a number that breaks ties, workspace, and the request that
        # ends, or None if one arrives.
        self.events: list[tuple[float, int, str, admissions.Permit | None]] = []
        self.event_count = 0

    def _add_event(
        self, delay_s: float, name: str, permit: admissions.Permit | None
    ) -> None:
        self.event_count += 1
        event = (self.now_s + delay_s, self.event_count, name, permit)
        heapq.heappush(self.events, event)

    def _add_arrival(self, name: str) -> None:
        self._add_event(self.rng.expovariate(RATES_PER_S[name]), name, None)

    def run(self) -> None:
        """Runs the simulation."""
        end_s = self.now_s + DURATION_S
        for name in RATES_PER_S:
            self._add_arrival(name)
        while self.events[0][0] < end_s:
            self.now_s, _, name, permit = heapq.heappop(self.events)
            if permit is None:
                self._submit(name)
                self._add_arrival(name)
            else:
                permit.record_head(self.now_s)
                self.served[name] += self.now_s <= permit.deadline_s
                self.admission.release(permit, admissions.Ending.ANSWERED)
            self._start_dispatched()

    def _submit(self, name: str) -> None:
        deadline_s = self.now_s + DEADLINE_S
        permit = self.admission.submit(
            name,
            deadline_s,
            "r",
            deadline_s,
            priority=self.priorities.get(name, 0),
        )
        self.queued.append((name, permit))

    def _start_dispatched(self) -> None:
        waiting = []
        for name, permit in self.queued:
            if permit.state is admissions.State.RUNNING:
                service_s = MEAN_SERVICE_S * self.rng.uniform(0.5, 1.5)
                self._add_event(service_s, name, permit)
            elif permit.state is admissions.State.QUEUED:
                waiting.append((name, permit))
        self.queued = waiting


@pytest.mark.parametrize(
    "priorities",
    [{}, dict.fromkeys(RATES_PER_S, 2) | {"flood": 0}],
    ids=["equal", "flood is urgent"],
)
@pytest.mark.parametrize("seed", range(2))
def test_no_workspace_is_crowded_out_by_a_flood(seed, priorities) -> None:
    """Guards against workspaces that get no answers while another floods.

    The average is that over all workspaces, the flooding one included.
    """
    simulation = Simulation(seed, priorities)
    simulation.run()
    served = simulation.served
    average = sum(served.values()) / len(served)
    assert average > 0.8 * CAPACITY_PER_S * DURATION_S / len(served)
    assert min(served.values()) >= MIN_SHARE_OF_AVERAGE * average
