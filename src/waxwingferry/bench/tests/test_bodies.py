"""The check of the bodies that targets ran requests with."""

import dataclasses

import pytest

from waxwingferry.bench import bodies
from waxwingferry.bench import experiment
from waxwingferry.connection import http1
from waxwingferry.emulator import ledger


@pytest.mark.parametrize(("size", "broken"), [(100, 0), (99, 1), (0, 1)])
def test_a_run_with_a_part_of_its_body_is_found(size, broken) -> None:
    """Guards against a check that passes truncated uploads."""
    body = bodies.make_body("r1", 100)
    head = http1.RequestHead("POST", "/", [("x-request-id", "r1")])
    entry = dataclasses.asdict(ledger.make_entry("e1", head, body[:size]))
    report = experiment.Report()
    sent = {"r1": bodies.describe(body)}
    truncated = bodies.check_bodies(report, {"t0": [entry]}, sent)
    assert truncated == len(report.violations) == broken
    assert report.checks == {bodies.WHOLE_BODIES: 1}
