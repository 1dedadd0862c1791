"""A short soak with a fixed seed against real processes."""

import pytest

from waxwingferry.bench import experiment
from waxwingferry.bench.experiments import soak

DURATION_S = 12.0


@pytest.mark.anyio
@pytest.mark.timeout(150)
async def test_short_soak_breaks_no_promise() -> None:
    """Guards against doubled writes and untrue refusals under faults."""
    options = experiment.Options(1, duration_s=DURATION_S)
    report = await soak.run(options, soak.UNTIMED)
    assert report.violations == []
