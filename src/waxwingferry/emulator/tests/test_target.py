"""Tests of the emulated target."""

import pytest

from waxwingferry.connection.tests import wire
from waxwingferry.emulator import target

SETTINGS = target.TargetSettings(
    name="t0",
    service="desk",
    port=1,
    slots=1,
    behaviour=target.Behaviour(hang=True),
)
TRANSFER_REQUEST = (
    b"POST /desk/transfers HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n"
    b"x-request-id: r1\r\nx-waxwing-deadline-ms: 30\r\n\r\n"
)


@pytest.mark.anyio
async def test_request_expires_at_its_deadline_without_an_answer() -> None:
    """Guards against processing a request after its caller has timed out."""
    emulated = target.EmulatedTarget(SETTINGS)
    async with wire.run_server(emulated.handle) as port:
        assert await wire.exchange(port, TRANSFER_REQUEST) == b""
    assert [entry.state for entry in emulated.ledger] == ["expired"]
    assert emulated.in_flight == 0
