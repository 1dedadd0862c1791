"""Load balancing: invariants under random load, and each signal alone."""

import random

import pytest

from waxwingferry.process.choice import known_target
from waxwingferry.process.choice import load_stats
from waxwingferry.process.choice import outliers
from waxwingferry.process.choice import routing


class Clock:
    """Clock that a test sets."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self) -> float:
        """Returns the time that the test has set."""
        return self.now_s


def make_candidates(count: int, slots: int = 6) -> list[known_target.Candidate]:
    """Returns targets of one service in four failure domains."""
    return [
        known_target.Candidate(
            node=f"n{number}",
            service="registry",
            version="v1",
            region="r1",
            failure_domain=f"d{number % 4}",
            host="",
            peer_port=1,
            incarnation="1",
            state="ready",
            slots=slots,
        )
        for number in range(count)
    ]


def make_router(seed: int, clock: Clock, policy=routing.Policy.WEIGHTED):
    """Returns a router that uses the test's clock."""
    return routing.Router(random.Random(seed), clock, policy)


def count_choices(
    router, candidates, attempts: int = 200, **more
) -> dict[str, int]:
    """Returns how often each target is chosen if nothing changes."""
    counts = dict.fromkeys((item.node for item in candidates), 0)
    for _ in range(attempts):
        chosen = router.choose(candidates, frozenset(), set(), **more)
        counts[chosen.node] += 1
    return counts


@pytest.mark.parametrize("policy", routing.Policy)
@pytest.mark.parametrize("seed", range(5))
def test_random_history_keeps_invariants(policy, seed) -> None:
    """Guards against leaked in-flight counts and choices of excluded targets.

    Rows are replaced while attempts are in flight. If a new row copies the
    in-flight count, the attempts decrement the old row, and the count of the
    new row never returns to zero.
    """
    rng = random.Random(seed)
    clock = Clock()
    router = make_router(seed, clock, policy)
    candidates = make_candidates(7)
    running: list[known_target.Candidate] = []
    for _ in range(2000):
        clock.now_s += rng.expovariate(200)
        out = frozenset(f"d{n}" for n in range(4) if rng.random() < 0.2)
        tried = {f"n{n}" for n in range(7) if rng.random() < 0.2}
        index = rng.randrange(7)
        old = candidates[index]
        if rng.random() < 0.1:
            new = make_candidates(7)[index]
            new.state = rng.choice(["ready", "ready", "leaving", "draining"])
            new.incarnation = rng.choice(["1", "2"])
            if new.incarnation == old.incarnation:
                new.stats = old.stats
            candidates[index] = new
        chosen = router.choose(candidates, out, tried)
        if chosen is not None:
            assert chosen.state == "ready"
            assert chosen.failure_domain not in out
            assert chosen.node not in tried
            router.begin_attempt(chosen)
            running.append(chosen)
        while len(running) > rng.randrange(20):
            done = running.pop(rng.randrange(len(running)))
            done.load = load_stats.LoadReport(
                rng.randrange(9), rng.randrange(12), 6, clock.now_s
            )
            result = rng.choice(list(routing.Result))
            router.record_result(candidates, done, result, rng.expovariate(100))
            router.finish_attempt(done)
        max_ejected = outliers.MAX_EJECTED_SHARE * len(candidates)
        assert outliers.count_ejected(candidates, clock.now_s) <= max_ejected
    for item in running:
        router.finish_attempt(item)
    assert all(item.in_flight == 0 for item in candidates)


def test_target_that_fails_fast_gets_little() -> None:
    """Guards against a failing target that attracts work by looking idle."""
    clock = Clock()
    router = make_router(1, clock)
    candidates = make_candidates(6)
    sent = 0
    for _ in range(3000):
        clock.now_s += 0.002
        chosen = router.choose(candidates, frozenset(), set())
        fails = chosen.node == "n0"
        sent += fails
        # The other targets are half full; the failing one is always idle.
        busy = 0 if fails else 3
        chosen.load = load_stats.LoadReport(busy, 0, 6, clock.now_s)
        result = routing.Result.FAILED if fails else routing.Result.ANSWERED
        router.record_result(candidates, chosen, result, 0.01)
    assert sent < 3000 / 6 / 2


def test_service_that_fails_everywhere_ejects_none() -> None:
    """Guards against ejections that remove the remaining capacity."""
    clock = Clock()
    router = make_router(1, clock)
    candidates = make_candidates(6)
    for _ in range(500):
        clock.now_s += 0.002
        chosen = router.choose(candidates, frozenset(), set())
        router.record_result(candidates, chosen, routing.Result.FAILED, 0.01)
    assert outliers.count_ejected(candidates, clock.now_s) <= 1


def test_report_of_no_load_does_not_decide_alone() -> None:
    """Guards against a target that gets all work by reporting no load."""
    clock = Clock()
    router = make_router(2, clock)
    candidates = make_candidates(6)
    share = 0
    for _ in range(2000):
        clock.now_s += 0.001
        chosen = router.choose(candidates, frozenset(), set())
        router.begin_attempt(chosen)
        share += chosen.node == "n0"
        lies = chosen.node == "n0"
        busy = load_stats.LoadReport(0 if lies else 3, 0, 60 if lies else 6)
        busy.at_s = clock.now_s
        chosen.load = busy
        if not lies or share % 4 == 0:
            # The target with false reports finishes one attempt in four, so
            # the others stay in flight.
            router.record_result(
                candidates, chosen, routing.Result.ANSWERED, 0.01
            )
            router.finish_attempt(chosen)
    assert share < 2000 / 6


def test_cold_target_gets_little_but_something() -> None:
    """Guards against overloading a cold target, and against starving it."""
    clock = Clock()
    router = make_router(3, clock)
    candidates = make_candidates(6)
    for item in candidates:
        router.begin_attempt(item)
        item.load = load_stats.LoadReport(5, 0, 6, clock.now_s)
        router.finish_attempt(item)
    cold = candidates[0]
    cold.load = load_stats.LoadReport(0, 0, 1, clock.now_s)
    assert router.choose([cold, candidates[1]], frozenset(), set()) is cold
    router.begin_attempt(cold)
    counts = count_choices(router, candidates)
    assert counts["n0"] == 0


def test_refused_target_serves_if_nothing_else_does() -> None:
    """Guards against refusing a call while a target may have recovered."""
    clock = Clock()
    router = make_router(4, clock)
    candidates = make_candidates(2)
    router.record_result(
        candidates, candidates[0], routing.Result.UNAVAILABLE, 0.001
    )
    assert count_choices(router, candidates)["n0"] == 0
    only = router.choose(candidates, frozenset({"d1"}), set())
    assert only is candidates[0]


def test_far_target_is_chosen_when_near_one_is_full() -> None:
    """Guards against overloading the nearest target."""
    clock = Clock()
    router = make_router(5, clock)
    router.location = routing.cost.Location("n9", "r1", "d0")
    near, far = make_candidates(2)
    far.region = "r2"
    for item in (near, far):
        item.load = load_stats.LoadReport(0, 0, 6, clock.now_s)
    assert count_choices(router, [near, far])["n0"] == 200
    near.load = load_stats.LoadReport(6, 0, 6, clock.now_s)
    assert count_choices(router, [near, far])["n1"] == 200


def test_explanation_names_exclusions_and_costs() -> None:
    """Guards against an explanation that contradicts the choice."""
    clock = Clock()
    router = make_router(6, clock)
    candidates = make_candidates(4)
    candidates[0].state = "leaving"
    lines = router.explain(candidates, frozenset({"d1"}), {"n2"})
    reasons = {line.node: line.excluded_by for line in lines}
    assert reasons == {
        "n0": "leaving",
        "n1": "domain_out",
        "n2": "tried",
        "n3": "",
    }
    assert lines[0].node == "n3"
    assert lines[0].cost.total > 0


@pytest.mark.parametrize(
    "text",
    [
        "",
        "in_flight=1",
        "in_flight=-1,queue=0,limit=6",
        "a,b,c",
        f"in_flight=1,queue=0,limit=6,slow={'9' * 400}",
        f"in_flight=1,queue=0,limit=6,wait={'9' * 400}",
        f"in_flight={'9' * 400},queue=0,limit=6",
        f"in_flight=1,queue=0,limit={'9' * 5000}",
        "in_flight=\u00b2,queue=0,limit=6",
        "in_flight=1_0,queue=0,limit=6",
    ],
)
def test_malformed_report_is_no_report(text: str) -> None:
    """Guards against malformed reports that lower the cost of a target."""
    assert load_stats.parse_load(text, 0.0) is None


def test_burst_that_is_over_does_not_keep_work_at_the_own_target() -> None:
    """Guards against an average utilisation that does not decay after a burst.

    Without the decay, nested calls accumulate at the local target until calls
    that wait for each other hold all its slots, while all others are idle.
    """
    clock = Clock()
    router = make_router(7, clock)
    router.location = routing.cost.Location("n0", "r1", "d0")
    candidates = make_candidates(6)
    own = candidates[0]
    router.local_load = lambda: f"in_flight={own.in_flight},queue=0,limit=6"
    for _ in range(500):
        clock.now_s += 0.002
        chosen = router.choose(candidates, frozenset(), set())
        chosen.load = load_stats.LoadReport(6, 12, 6, clock.now_s)
        router.record_result(
            candidates, chosen, routing.Result.OVERLOADED, 0.001
        )
    clock.now_s += 3.0
    for _ in range(14):
        chosen = router.choose(candidates, frozenset(), set())
        router.begin_attempt(chosen)
    assert own.in_flight < 6
