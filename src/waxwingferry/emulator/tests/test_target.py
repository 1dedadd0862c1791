"""The stand-in target keeps to slots and deadlines."""

import pytest

from waxwingferry.connection.tests import wire
from waxwingferry.emulator import target

OPTIONS = target.TargetSettings(
    name="t0",
    service="desk",
    port=1,
    slots=1,
    behaviour=target.Behaviour(hang=True),
)
POST = (
    b"POST /desk/transfers HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n"
    b"x-request-id: r1\r\nx-waxwing-deadline-ms: 30\r\n\r\n"
)


@pytest.mark.anyio
async def test_work_ends_at_the_deadline_without_an_answer() -> None:
    """Guards against a stand-in that works on for callers long gone."""
    stand_in = target.TargetStandIn(OPTIONS)
    async with wire.run_server(stand_in.handle) as port:
        assert await wire.exchange(port, POST) == b""
    assert [entry.state for entry in stand_in.ledger] == ["expired"]
    assert stand_in.in_flight == 0
