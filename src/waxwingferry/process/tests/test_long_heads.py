"""A request whose head has the legal size but thousands of lines."""

import anyio
import pytest

from waxwingferry.bench import cluster
from waxwingferry.connection import message
from waxwingferry.connection.tests import wire

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(120)]

DOCUMENT = {
    "services": [
        {
            "name": name,
            "routes": [
                {
                    "path_prefix": f"/{name}/",
                    "methods": ["GET"],
                    "idempotent": True,
                    "deadline_ms": 10_000,
                }
            ],
        }
        for name in ("near", "far")
    ],
    "failure_domains": [
        {"name": f"d{number}", "region": "r1"} for number in range(1, 5)
    ],
}
START = b"GET /%s/x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n"


def make_head(service: str, line: bytes) -> bytes:
    """Returns a head of the largest legal size that repeats a line."""
    start = START % service.encode()
    count = (message.DEFAULT_LIMITS.head_bytes - len(start) - 2) // len(line)
    return start + line * count + b"\r\n"


async def test_a_legal_head_of_thousands_of_lines_is_served() -> None:
    """Guards against a bound on fields that a legal head exceeds.

    The request passes its entry node and, for the second service, the
    connection to another node, which adds fields.
    """
    async with cluster.run_cluster({"near": 1, "far": 1}, DOCUMENT) as running:
        port = running.instances[0].ports["caller"]
        for service in ("near", "far"):
            for line in (b"a:\r\n", b"a:b\r\n", b"X-Long-Name: v\r\n"):
                with anyio.fail_after(30):
                    answer = await wire.exchange(port, make_head(service, line))
                assert answer.startswith(b"HTTP/1.1 200 "), answer[:400]
