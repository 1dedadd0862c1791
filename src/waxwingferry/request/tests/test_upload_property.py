"""A target gets exactly the bytes of an upload, or does not run it."""

import dataclasses
import random

from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from waxwingferry.request.tests import simulation
from waxwingferry.request.tests import uploads

EXAMPLES = 200
# Nodes buffer 65,536 bytes, and may get a little more with the last part.
LENGTHS = (0, 1_000, 65_535, 65_536, 65_537, 100_000, 200_001, 300_000)
TRAILERS = (b"", b"A: b\r\n", b"A: " + b"a" * 5_000 + b"\r\n")


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """An upload as its client sends it, and what happens to it.

    Attributes:
        sizes: Sizes of its parts; the last one is repeated.
        broken_off: Share of the parts after which it is broken off, or None.
        pauses: Numbers of the parts that follow a pause.
        node_steps: What each node refuses.
        target_steps: What each target does with its first request, if it is
            not run.
        faults: Faults of the first connections between nodes.
    """

    length: int
    sizes: list[int]
    chunked: bool
    trailer: bytes
    broken_off: float | None
    pauses: list[int]
    node_steps: list[str]
    target_steps: list[list[str]]
    faults: list[tuple[str, int, int]]


def make_scenario(rng: random.Random) -> Scenario:
    """Returns a scenario whose parts are drawn independently."""
    return Scenario(
        length=rng.choice(LENGTHS),
        sizes=[rng.randrange(1_000, 90_000) for _ in range(5)],
        chunked=rng.random() < 0.6,
        trailer=rng.choice(TRAILERS),
        broken_off=rng.choice((None, None, None, 0.3, 0.7, 0.95)),
        pauses=[rng.randrange(5) for _ in range(rng.randrange(3))],
        node_steps=rng.choices(("", *uploads.NODE_STEPS), k=3),
        target_steps=[
            rng.choice(([], [rng.choice(uploads.TARGET_STEPS)]))
            for _ in range(3)
        ],
        faults=[
            ("cut", rng.randrange(250_000), rng.choice((0, 10**9)))
            for _ in range(rng.choice((0, 0, 0, 1, 2)))
        ],
    )


# The parts are drawn from a seed, because hypothesis repeats parts of earlier
# examples: of 80, few had a refusal of a long upload with chunks.
@pytest.mark.timeout(180)
@settings(
    max_examples=EXAMPLES,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(st.integers(0, 2**64 - 1))
def test_an_upload_runs_whole_or_not_at_all(seed) -> None:
    """Guards against targets that run a request with a part of its body."""
    rng = random.Random(seed)
    scenario = make_scenario(rng)
    cluster = uploads.UploadCluster(seed)
    body = rng.randbytes(scenario.length)
    headers, parts = uploads.encode(
        body, scenario.sizes, scenario.chunked, scenario.trailer
    )
    end = "open"
    if scenario.broken_off is not None and parts:
        parts = parts[: int(scenario.broken_off * len(parts))]
        end = "close"
    found: list[tuple[int, str, str]] = []

    async def send(cluster: uploads.UploadCluster) -> None:
        for number, node in enumerate(cluster.nodes):
            cluster.refuse_at(number, scenario.node_steps[number])
            cluster.target_steps[node.name] = scenario.target_steps[number]
        cluster.network.scripted_faults[simulation.PEER_PORT] = scenario.faults
        found.append(await cluster.upload(parts, headers, end, scenario.pauses))

    uploads.run(cluster, send)
    status, result, _ = found[0]
    expected = [] if end == "close" else [uploads.describe(body)]
    assert cluster.runs in ([], expected), (scenario, found)
    if end == "close":
        return
    assert status, ("neither an answer nor a refusal", scenario)
    if status == 200:
        assert cluster.runs == expected, (scenario, found)
    if result == "not-run":
        assert not cluster.runs, (scenario, found)
