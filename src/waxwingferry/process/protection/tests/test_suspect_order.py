"""Crash reports that arrive in random order, late and repeatedly."""

import random

import hypothesis
from hypothesis import strategies

from waxwingferry.process.protection import crash_suspects
from waxwingferry.process.protection.tests import test_crash_suspects

REQUESTS = (1, 2, 3)


@hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    strategies.integers(0, 2**32),
    strategies.integers(1, crash_suspects.MAX_ENDS),
)
def test_reports_have_the_same_effect_in_any_order(
    seed: int, end_count: int
) -> None:
    """Guards against an older report that undoes a newer one.

    Nothing orders reports: an end is known or not, and once it is blamed or
    closed it stays so. What is known is the union of what was received.
    """
    rng = random.Random(seed)
    reports = []
    for request in REQUESTS:
        for number in range(end_count):
            at_s = 1000.0 + number * 2 * crash_suspects.SIMULTANEOUS_S
            end = crash_suspects.End(
                number, at_s, rng.random() < 0.5, rng.random() < 0.3
            )
            reports.append(crash_suspects.Report(request, (end,)))
            # The same end as other nodes know it.
            for _ in range(rng.randrange(3)):
                other = crash_suspects.End(
                    number, at_s, rng.random() < 0.5, rng.random() < 0.3
                )
                reports.append(crash_suspects.Report(request, (other,)))
    tables = []
    for _ in range(3):
        table = test_crash_suspects.Table()
        table.time_s = 1000.0 + end_count * 2 * crash_suspects.SIMULTANEOUS_S
        order = reports + rng.sample(reports, len(reports) // 2)
        rng.shuffle(order)
        closed: set[tuple[int, int]] = set()
        for report in order:
            table.merge([report])
            known = table.suspects.get(report.fingerprint, {})
            for end in known.values():
                if end.closed:
                    closed.add((report.fingerprint, end.target))
                assert end.closed == (
                    (report.fingerprint, end.target) in closed
                )
        tables.append(table)
    for request in REQUESTS:
        states = [table.suspects.get(request) for table in tables]
        assert states[0] == states[1] == states[2]
