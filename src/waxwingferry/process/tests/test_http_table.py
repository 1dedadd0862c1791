"""Tests of odd responses of the table service."""

import httpx
import pytest

from waxwingferry.process import http_table
from waxwingferry.process import platform

pytestmark = pytest.mark.anyio

ROW = b'{"key":"members/n1","value":{"slots":6},"version":7}'
DEEP = b"[" * 5000 + b"]" * 5000


def make_table(body: bytes, status: int = 200) -> http_table.HttpTable:
    """Returns a table whose service gives one response to all requests."""
    transport = httpx.MockTransport(
        lambda request: httpx.Response(status, content=body)
    )
    client = httpx.AsyncClient(
        base_url="http://table.example", transport=transport
    )
    return http_table.HttpTable(client)


@pytest.mark.parametrize("status", [200, 409])
@pytest.mark.parametrize(
    "body",
    [b"", b"\xff", b"[1]", b"{}", b"null", DEEP, b'{"row":' + DEEP + b"}"],
)
async def test_an_odd_response_is_a_platform_error(body, status):
    """Guards against a background task that ends by a response."""
    table = make_table(body, status)
    with pytest.raises(platform.PlatformError):
        await table.read("members/n1")
    with pytest.raises(platform.PlatformError):
        await table.scan("members/")
    with pytest.raises(platform.PlatformError):
        await table.transact([])


@pytest.mark.parametrize("value", [b"[1]", b"7", b'"x"', b"[[[[]]]]"])
async def test_an_odd_value_costs_only_its_row(value):
    """Guards against one row that hides the others."""
    odd = b'{"key":"members/n2","value":' + value + b',"version":8}'
    rows = await make_table(b'{"rows":[' + odd + b"," + ROW + b"]}").scan("m")
    assert rows == [
        platform.Row("members/n2", None, 8, malformed=True),
        platform.Row("members/n1", {"slots": 6}, 7),
    ]
