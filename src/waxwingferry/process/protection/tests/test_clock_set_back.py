"""A target that restarts under its ID after its clock was set back."""

import pytest

from waxwingferry.process.protection import registration
from waxwingferry.process.protection import succession
from waxwingferry.process.protection.tests import test_registration

pytestmark = pytest.mark.anyio

# Targets repeat a heartbeat that is not confirmed within this time.
REPEAT_S = 0.9


@pytest.fixture
def harness(monkeypatch) -> test_registration.RegistrationHarness:
    """A registration that waits only briefly for the table."""
    monkeypatch.setattr(registration, "CONFIRM_WAIT_S", 0.02)
    return test_registration.RegistrationHarness()


async def repeat_heartbeat(
    harness: test_registration.RegistrationHarness,
    started_ms: int,
    state: str = "ready",
    first_sequence: int = 1,
) -> float:
    """Repeats a heartbeat until it is confirmed; returns how long it took."""
    begin_s = harness.clock.now_s
    for number in range(6):
        if await harness.send_heartbeat(
            started_ms, first_sequence + number, state
        ):
            return harness.clock.now_s - begin_s
        harness.clock.now_s += REPEAT_S
    raise AssertionError("the heartbeat was never confirmed")


def find_incarnation(harness: test_registration.RegistrationHarness) -> str:
    """Returns the incarnation that the node sends requests to."""
    assert harness.receiver.link is not None
    return harness.receiver.link.announcement.incarnation


async def test_target_with_an_earlier_start_is_used(harness) -> None:
    """Guards against a target whose heartbeats are confirmed and ignored."""
    await harness.send_heartbeat(started_ms=20, sequence=50)
    harness.clock.now_s += 2.0
    assert await repeat_heartbeat(harness, 10) <= 2.0
    assert find_incarnation(harness) == "i-1:10"
    assert harness.state == "ready"
    # A late heartbeat of the one before, which has the later start.
    for _ in range(3):
        await harness.send_heartbeat(started_ms=20, sequence=51)
    assert find_incarnation(harness) == "i-1:10"
    assert await harness.send_heartbeat(started_ms=10, sequence=9)


@pytest.mark.parametrize("message", ["heartbeat", "deregistration"])
@pytest.mark.parametrize("is_known", [False, True])
async def test_leave_of_a_target_with_an_earlier_start_takes_effect(
    harness, message: str, is_known: bool
) -> None:
    """Guards against requests to a target after its confirmed leave.

    The leave was confirmed and ignored, and the target got requests until it
    ended. A leave is not confirmed before it takes effect.
    """
    await harness.send_heartbeat(started_ms=20, sequence=50)
    harness.clock.now_s += 2.0
    if is_known:
        await repeat_heartbeat(harness, 10)
    else:
        assert not await harness.send_heartbeat(started_ms=10, sequence=1)
    confirmed = False
    for number in range(8):
        if message == "heartbeat":
            confirmed = await harness.send_heartbeat(
                10, 100 + number, "draining"
            )
        else:
            confirmed = await harness.registration.handle_deregistration("i-1")
        if confirmed:
            break
        harness.clock.now_s += REPEAT_S
    assert confirmed
    assert harness.state == "draining"
    await repeat_heartbeat(harness, 10, first_sequence=200)
    assert harness.state == "draining"
    assert find_incarnation(harness) == "i-1:10"


@pytest.mark.parametrize("is_known", [False, True])
@pytest.mark.parametrize("count", [1, 5])
@pytest.mark.parametrize("state", ["ready", "draining"])
async def test_late_heartbeats_of_an_ended_target_have_no_effect(
    harness, is_known: bool, count: int, state: str
) -> None:
    """Guards against requests to a target that ended long ago.

    The network or a pause of the node delays any number of heartbeats; they
    arrive together, or one by one between those of the target that runs.
    """
    if is_known:
        await harness.send_heartbeat(started_ms=10, sequence=1)
    await harness.send_heartbeat(started_ms=20, sequence=1)
    for number in range(count):
        await harness.send_heartbeat(10, 50 + number, state)
        harness.clock.now_s += 0.01
    assert find_incarnation(harness) == "i-1:20"
    for number in range(count):
        await harness.send_heartbeat(10, 90 + number, state)
        harness.clock.now_s += REPEAT_S
        await harness.send_heartbeat(20, 2 + number)
        assert find_incarnation(harness) == "i-1:20"
        assert harness.state == "ready"


async def test_wrongly_displaced_target_comes_back(harness) -> None:
    """Guards against a target that gets no more work at all.

    A target that ends and still sends may displace the one that started later,
    if a restarted node knows neither.
    """
    await harness.send_heartbeat(started_ms=20, sequence=1)
    await repeat_heartbeat(harness, 10)
    assert find_incarnation(harness) == "i-1:10"
    await repeat_heartbeat(harness, 20, first_sequence=2)
    assert find_incarnation(harness) == "i-1:20"


async def test_number_of_remembered_incarnations_is_bounded(harness) -> None:
    """Guards against memory that grows with each restart of a target."""
    for number in range(3 * succession.MAX_KNOWN):
        await harness.send_heartbeat(started_ms=100 + number)
    known = harness.registration.succession._earlier
    assert len(known) == succession.MAX_KNOWN
