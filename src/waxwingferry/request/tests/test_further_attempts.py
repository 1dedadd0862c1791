"""Each path that makes a further attempt sends an upload whole or not again.

The paths are driven with real nodes over an in-memory network. For uploads that
are refused after a part was read, see also test_uploads.
"""

import pytest

from waxwingferry.connection import http1
from waxwingferry.connection.tests import wire
from waxwingferry.request import calls
from waxwingferry.request.tests import simulation
from waxwingferry.request.tests import uploads

LONG = bytes(range(256)) * 1200
SHORT = LONG[:20_000]


def send(
    cluster: uploads.UploadCluster,
    body: bytes,
    chunked: bool,
    prepare=lambda cluster: None,
    fields: bytes = b"",
) -> tuple[int, str, str]:
    """Returns status, outcome and reason that a client gets for an upload."""
    found: list[tuple[int, str, str]] = []

    async def upload(cluster: uploads.UploadCluster) -> None:
        prepare(cluster)
        headers, parts = uploads.encode(body, [30_000], chunked)
        found.append(await cluster.upload(parts, headers + fields))

    uploads.run(cluster, upload)
    return found[0]


def check(
    cluster: uploads.UploadCluster, body: bytes, found: tuple[int, str, str]
) -> None:
    """Checks that the upload ran whole and once, or was truly refused."""
    status, result, reason = found
    assert cluster.runs in ([], [uploads.describe(body)]), found
    assert status, "neither an answer nor a refusal"
    if status == 200:
        assert cluster.runs
    if result == "not-run":
        assert not cluster.runs, reason


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("body", [SHORT, LONG], ids=["short", "long"])
@pytest.mark.parametrize("step", uploads.NODE_STEPS)
def test_a_refusal_by_nodes(step, body, chunked) -> None:
    """Guards against a part of an upload that runs at the next target.

    Covers free retries, leaving, warm-up, stated rates, quarantine and
    restarted nodes. All nodes refuse but one; a short upload must reach it,
    unless the refusal is final or its retries spend the retry budget.
    """
    cluster = uploads.UploadCluster(1)

    def prepare(cluster: uploads.UploadCluster) -> None:
        cluster.refuse_at(0, step)
        cluster.refuse_at(1, step)

    found = send(cluster, body, chunked, prepare)
    check(cluster, body, found)
    if body is SHORT and step not in ("quarantine", "no target"):
        assert found[0] == 200


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("body", [SHORT, LONG], ids=["short", "long"])
@pytest.mark.parametrize("step", uploads.TARGET_STEPS)
def test_a_refusal_or_close_by_targets(step, body, chunked) -> None:
    """Guards against a repeat after a target's refusal or a lost connection.

    Covers connections of process/target.py that turn out to be closed.
    """
    cluster = uploads.UploadCluster(2)
    for name in ("n1", "n2", "n3"):
        cluster.target_steps[name] = [step]
    check(cluster, body, send(cluster, body, chunked))


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("after", [0, 300, 50_000, 150_000])
@pytest.mark.parametrize("kind", ["cut", "silent"])
def test_a_lost_connection_between_nodes(kind, after, chunked) -> None:
    """Guards against a repeat after a fence (request/forward.py)."""
    cluster = uploads.UploadCluster(3)

    def prepare(cluster: uploads.UploadCluster) -> None:
        cluster.refuse_at(0, "leaving")
        cluster.network.scripted_faults[simulation.PEER_PORT] = [
            (kind, after, 0 if kind == "silent" else 10**9)
        ]

    check(cluster, LONG, send(cluster, LONG, chunked, prepare))


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize(
    "step",
    [
        *(step for step in uploads.NODE_STEPS if step != "warm-up"),
        "refuse at once",
        "refuse in the middle",
    ],
)
def test_a_refusal_does_not_wait_for_the_rest_of_an_upload(
    step, chunked
) -> None:
    """Guards against a refusal that comes only at the deadline.

    The client sends a part of the body and waits. Its deadline is later than
    the time after which the test fails.
    """
    cluster = uploads.UploadCluster(5)
    found: list[tuple[int, str, str]] = []

    async def upload(cluster: uploads.UploadCluster) -> None:
        for number, node in enumerate(cluster.nodes):
            if step in uploads.NODE_STEPS:
                cluster.refuse_at(number, step)
            else:
                cluster.target_steps[node.name] = [step]
        headers, parts = uploads.encode(LONG, [100_000], chunked)
        found.append(await cluster.upload(parts[:-1], headers))

    uploads.run(cluster, upload)
    status, result, _ = found[0]
    assert (status, result) == (503, "not-run")
    assert http1.find_header(cluster.answer.headers, "retry-after")
    assert cluster.runs == []


@pytest.mark.parametrize("chunked", [False, True])
def test_a_claim_takes_no_upload_that_is_not_buffered(chunked) -> None:
    """Guards against a claimed call that could send its body only once."""
    cluster = uploads.UploadCluster(4)
    found = send(cluster, LONG, chunked, fields=b"Idempotency-Key: k\r\n")
    assert found == (413, "not-run", "body_too_large")
    assert not cluster.received
    assert not cluster.table.rows


def test_no_attempt_is_made_with_a_body_that_was_begun() -> None:
    """Guards against a path that doesn't ask whether the body can be sent."""

    async def chunks():
        yield b"x"

    stream = calls.BodyStream(chunks())
    call = calls.Call(
        call_id="c",
        service="s",
        method="POST",
        request_target="/",
        headers=[],
        body=calls.Body(b"", stream),
        deadline=calls.make_deadline(1),
        member="",
        depth=1,
        idempotent=True,
    )
    calls.make_attempt(call, 1, "i")
    stream.begun = True
    with pytest.raises(calls.BodyError):
        calls.make_attempt(call, 2, "i")


@pytest.mark.anyio
async def test_a_body_that_was_skipped_has_no_end() -> None:
    """Guards against the end of a skipped body taken for that of a whole one.

    A response discards what has been received of a body that nobody read. A
    reader that asked afterwards got an end and could send a last chunk.
    """
    data = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab"
    connection, _ = wire.make_server_connection(data, b"cd")
    await connection.receive_head()
    await connection.send_head(503, [], b"")
    with pytest.raises(http1.HttpError):
        while await connection.receive_chunk() is not None:
            pass
