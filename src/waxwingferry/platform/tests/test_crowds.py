"""Load pattern: crowds of clients that are not inside the limits.

In a trial such clients ended a node: it ran out of memory. The number of
connections and the bounds are those of the crowd module.
"""

import pytest

from waxwingferry.platform.tests import crowd

pytestmark = [pytest.mark.anyio, pytest.mark.timeout(180)]

SHORT_LINES = b"a:\r\n" * 1000
# 16,000 bytes; the document allows heads of 16,384 bytes.
LEGAL_HEAD = crowd.HEAD.replace(b"POST", b"GET") + SHORT_LINES * 3 + b"\r\n"
# 190 fields of 80 bytes.
PIPELINED_HEAD = (
    crowd.HEAD.replace(b"POST", b"GET")
    + b"".join(b"x-%03d: %s\r\n" % (i, b"v" * 71) for i in range(190))
    + b"\r\n"
)
CHUNKED = crowd.HEAD + b"transfer-encoding: chunked\r\n\r\n"

CASES = {
    "head without end": crowd.Behaviour(crowd.HEAD, SHORT_LINES),
    "unfinished head, then silence": crowd.Behaviour(
        crowd.HEAD + SHORT_LINES * 23
    ),
    "unfinished legal head, then silence": crowd.Behaviour(
        crowd.HEAD + SHORT_LINES * 4
    ),
    "blank lines": crowd.Behaviour(repeated=b"\r\n" * 8192),
    "legal heads of short lines": crowd.Behaviour(repeated=LEGAL_HEAD),
    "pipelined heads": crowd.Behaviour(repeated=PIPELINED_HEAD * 40),
    "pipelined heads, not read": crowd.Behaviour(
        repeated=PIPELINED_HEAD * 40, reads=False
    ),
    "body announced over the limit": crowd.Behaviour(
        crowd.HEAD + b"content-length: 99999999999\r\n\r\n", b"x" * 65536
    ),
    "body without end": crowd.Behaviour(
        CHUNKED, b"10000\r\n" + b"x" * 65536 + b"\r\n"
    ),
    "chunks of one byte": crowd.Behaviour(CHUNKED, b"1\r\nx\r\n" * 10_000),
    "chunk extensions": crowd.Behaviour(CHUNKED + b"1;", b"e" * 65536),
    "trailers": crowd.Behaviour(CHUNKED + b"0\r\n", SHORT_LINES * 16),
    "responses not read": crowd.Behaviour(
        repeated=b"GET /a/large HTTP/1.1\r\nhost: a.example\r\n\r\n" * 100,
        reads=False,
    ),
}


@pytest.mark.parametrize("behaviour", CASES.values(), ids=CASES.keys())
async def test_a_crowd_neither_ends_nor_fills_the_node(
    tmp_path, behaviour: crowd.Behaviour
) -> None:
    """Guards against a process that runs out of memory, or hangs."""
    with crowd.run_alone():
        async with crowd.run_node(tmp_path) as node:
            assert await node.is_answering()
            before_mb = node.read_peak_mb()
            await crowd.run_crowd(node.settings.outbound_address, behaviour)
            assert node.process.process.poll() is None
            answering = await node.is_answering()
            peak_mb = node.read_peak_mb()
            print(f"memory: {before_mb:.1f} MB before, peak {peak_mb:.1f} MB")
            descriptors = node.count_descriptors()
    assert answering
    assert peak_mb - before_mb < crowd.GROWTH_MB
    assert descriptors < crowd.CONNECTIONS + crowd.OWN_FDS


async def test_a_crowd_of_connections_leaves_descriptors(tmp_path) -> None:
    """Guards against descriptors used up by connections that stay open."""
    with crowd.run_alone():
        async with crowd.run_node(tmp_path) as node:
            assert await node.is_answering()
            address = node.settings.outbound_address
            async with crowd.hold_crowd(
                address, crowd.HEAD, crowd.HELD_CONNECTIONS
            ):
                answering = await node.is_answering()
                descriptors = node.count_descriptors()
                print(f"descriptors: {descriptors}")
    assert answering
    assert descriptors < crowd.HELD_CONNECTIONS
