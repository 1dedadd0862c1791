"""A short soak run with a fixed seed against separate processes."""

import pytest

from waxwingferry.bench import experiment
from waxwingferry.bench.experiments import soak

DURATION_S = 12.0


@pytest.mark.anyio
@pytest.mark.timeout(150)
async def test_short_soak_breaks_no_promise() -> None:
    """Guards against violated guarantees under random, overlapping faults.

    Checks the guarantees that hold on a machine of any speed, such as writes
    that run at most once and not-run refusals of requests that didn't run.
    """
    options = experiment.Options(1, duration_s=DURATION_S)
    report = await soak.run(options, soak.TIMING_INDEPENDENT_GUARANTEES)
    assert report.violations == []
