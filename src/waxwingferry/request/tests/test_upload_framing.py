"""Bodies whose framing is broken reach no target as complete requests."""

import pytest

from waxwingferry.request import calls
from waxwingferry.request.tests import uploads

CHUNKED = b"Transfer-Encoding: chunked\r\n"
HELLO = b"5\r\nhello\r\n"
LAST = b"0\r\n\r\n"
# More than a node buffers, so that the request has been sent on in part.
LONG_CHUNK = b"%x\r\n%b\r\n" % (
    calls.MAX_BUFFERED_BODY_BYTES + 1,
    bytes(calls.MAX_BUFFERED_BODY_BYTES + 1),
)
CHUNK_CASES = {
    "prefix of the size": (400, b"0x5\r\nhello\r\n" + LAST),
    "sign of the size": (400, b"-5\r\nhello\r\n" + LAST),
    "no size": (400, b"\r\nhello\r\n" + LAST),
    "space behind the size": (400, b"5 \r\nhello\r\n" + LAST),
    "size of 68 bits": (400, b"F" * 17 + b"\r\nhello\r\n" + LAST),
    "bare line feed behind the size": (400, b"5\nhello\r\n" + LAST),
    "bare line feed behind the chunk": (400, b"5\r\nhello\n" + LAST),
    "bare line feeds at the end": (400, HELLO + b"0\n\n"),
    "chunk longer than its size": (400, b"4\r\nhello\r\n" + LAST),
    "chunk shorter than its size": (400, b"6\r\nhello\r\n" + LAST),
    "trailer without a colon": (400, HELLO + b"0\r\nabc\r\n\r\n"),
    "trailer with a length": (400, HELLO + b"0\r\nContent-Length: 1\r\n\r\n"),
    "long trailer": (431, HELLO + b"0\r\nA: " + b"a" * 40_000 + b"\r\n\r\n"),
    "many trailers": (431, HELLO + b"0\r\n" + b"A: b\r\n" * 9_000 + b"\r\n"),
    "long extension": (431, b"5;" + b"a" * 200_000 + b"\r\nhello\r\n" + LAST),
}
HEAD_CASES = {
    "two lengths": (400, b"Content-Length: 5\r\nContent-Length: 6\r\n"),
    "list of lengths": (400, b"Content-Length: 5, 5\r\n"),
    "sign of the length": (400, b"Content-Length: +5\r\n"),
    "length and chunks": (400, b"Content-Length: 5\r\n" + CHUNKED),
    "chunks and length": (400, CHUNKED + b"Content-Length: 5\r\n"),
    "chunked twice": (400, CHUNKED + CHUNKED),
    "length over the limit": (413, b"Content-Length: 99999999999\r\n"),
}


def send(
    parts: list[bytes],
    headers: bytes,
    hops: int = 1,
    end: str = "open",
) -> tuple[uploads.UploadCluster, tuple[int, str, str]]:
    """Returns the cluster, and what a client gets that sends raw bytes."""
    cluster = uploads.UploadCluster(1)
    found: list[tuple[int, str, str]] = []

    async def upload(cluster: uploads.UploadCluster) -> None:
        if hops == 2:
            cluster.refuse_at(0, "leaving")
        else:
            cluster.refuse_at(1, "leaving")
            cluster.refuse_at(2, "leaving")
            targets = cluster.nodes[0].membership.by_service["registry"]
            targets[:] = [item for item in targets if item.node == "n1"]
        found.append(await cluster.upload(parts, headers, end))

    uploads.run(cluster, upload)
    return cluster, found[0]


@pytest.mark.parametrize("hops", [1, 2])
@pytest.mark.parametrize("started", [False, True])
@pytest.mark.parametrize(
    ("status", "data"), CHUNK_CASES.values(), ids=CHUNK_CASES.keys()
)
def test_malformed_chunks_are_refused(status, data, started, hops) -> None:
    """Guards against a body that ends where its client did not end it."""
    parts = [LONG_CHUNK, data] if started else [data]
    cluster, found = send(parts, CHUNKED, hops)
    outcome = "unknown" if started else "not-run"
    assert found == (status, outcome, "bad_request")
    assert cluster.runs == []
    assert cluster.received == started


@pytest.mark.parametrize(
    ("status", "headers"), HEAD_CASES.values(), ids=HEAD_CASES.keys()
)
def test_lengths_that_disagree_are_refused(status, headers) -> None:
    """Guards against two nodes that see different ends of a body."""
    cluster, found = send([HELLO + LAST], headers)
    reason = "body_too_large" if status == 413 else "bad_request"
    assert found == (status, "not-run", reason)
    assert cluster.received == 0


@pytest.mark.parametrize("hops", [1, 2])
@pytest.mark.parametrize(
    ("headers", "parts"),
    [
        (CHUNKED, [HELLO]),
        (CHUNKED, [LONG_CHUNK, HELLO]),
        (CHUNKED, [LONG_CHUNK, HELLO, b"0\r\n"]),
        (CHUNKED, [LONG_CHUNK, b"5\r\nhe"]),
        (b"Content-Length: 10\r\n", [b"hello"]),
        (b"Content-Length: 200000\r\n", [bytes(100_000), bytes(99_999)]),
    ],
    ids=["chunk", "chunks", "no end", "part of a chunk", "short", "long"],
)
def test_a_body_that_is_broken_off_is_not_ended(headers, parts, hops) -> None:
    """Guards against a last chunk that the client did not send."""
    cluster, _ = send(parts, headers, hops, end="close")
    assert cluster.runs == []
    assert cluster.broken_off == cluster.received


@pytest.mark.parametrize("hops", [1, 2])
def test_trailers_and_extensions_do_not_change_a_body(hops) -> None:
    """Guards against valid uploads that are refused or changed."""
    parts = [LONG_CHUNK, b"5;a=b\r\nhello\r\n", b"0\r\nA: b\r\n\r\n"]
    cluster, found = send(parts, CHUNKED, hops)
    body = bytes(calls.MAX_BUFFERED_BODY_BYTES + 1) + b"hello"
    assert found[:2] == (200, "answered")
    assert cluster.runs == [uploads.describe(body)]
