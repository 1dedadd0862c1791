"""Callers present keys of workspaces, and the target gets only their names."""

import contextlib
import random
from typing import Any
from typing import cast

import anyio
import pytest
import structlog.testing

from waxwingferry.connection import http1
from waxwingferry.connection import serve
from waxwingferry.connection.tests import wire
from waxwingferry.process import attempts
from waxwingferry.process import background
from waxwingferry.process import metrics
from waxwingferry.request import attempt_runner
from waxwingferry.request import calls
from waxwingferry.request import entry
from waxwingferry.request import keys
from waxwingferry.request import outcome
from waxwingferry.request import peer
from waxwingferry.request import receive
from waxwingferry.request import running
from waxwingferry.request.tests import entry_calls
from waxwingferry.version import api_keys
from waxwingferry.version import revision as revisions

pytestmark = pytest.mark.anyio

KEY = "k-5e0a71cf"
ACME = revisions.Workspace("acme", 1)
PLAIN = revisions.Workspace("plain")
AUTHORIZED = ("authorization", f"Bearer {KEY}")
FORGED = ("x-waxwing-workspace", "plain")


def make_revision(has_workspaces: bool = True) -> revisions.Revision:
    """Returns a document with a keyed route of priority 5 and an open one."""
    services = (revisions.WeightedService("desk"),)
    routes = [
        revisions.Route("keyed", services, "/keyed", priority=5),
        revisions.Route("open", services, "/open", priority=5, anonymous=True),
    ]
    by_digest = {
        api_keys.hash_key(KEY): ACME,
        api_keys.hash_key("Bearer of +/==~ \u00e9"): PLAIN,
        api_keys.hash_key("plain-key"): PLAIN,
    }
    return revisions.Revision(
        7,
        {},
        routes,
        {"desk": revisions.Service("desk", "x-member")},
        workspaces={"acme": ACME, "plain": PLAIN} if has_workspaces else None,
        workspaces_by_digest=by_digest if has_workspaces else None,
    )


def make_entry(revision: revisions.Revision | None) -> entry.EntryHandler:
    """Returns the entry of a node without targets."""
    nothing = cast(Any, None)
    return entry.EntryHandler(
        "n0",
        lambda: revision,
        nothing,
        nothing,
        nothing,
        nothing,
        metrics.Metrics(),
        random.Random(1),
    )


class FakeConnection:
    """Records the answer; the body must not be read before it."""

    def __init__(self):
        self.status = 0
        self.headers: http1.Headers = []
        self.answer_started = True

    async def receive_chunk(self) -> bytes | None:
        """Fails, since the caller may never send the body."""
        raise AssertionError("the body was read")

    async def send_head(self, status, headers, body=None) -> None:
        """Records an answer."""
        self.status, self.headers = status, headers


async def ask(
    node: entry.EntryHandler, path: str, headers: http1.Headers
) -> tuple[int, str]:
    """Returns status and reason of a refusal."""
    connection = FakeConnection()
    head = http1.RequestHead("POST", path, headers, has_body=True)
    await node.handle(cast(Any, connection), head)
    reason = http1.find_header(connection.headers, outcome.REASON_HEADER)
    challenge = http1.find_header(connection.headers, "www-authenticate")
    assert challenge == ("Bearer" if connection.status == 401 else "")
    return connection.status, reason


async def make_call(
    monkeypatch,
    path: str,
    headers: http1.Headers,
    revision: revisions.Revision | None = None,
    parent: running.Parent | None = None,
) -> calls.Call:
    """Returns the call that an entry makes of a request with the ID p1.1."""
    node = make_entry(revision or make_revision())
    if parent is not None:
        node.running.parents["p1"] = [parent]
    monkeypatch.setattr(node.protocol, "find_request_id", lambda _: "p1.1")
    head = http1.RequestHead("POST", path, headers)
    (call,) = await entry_calls.take_calls(
        monkeypatch, node, FakeConnection(), head
    )
    return call


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ([f"Bearer {KEY}"], ACME),
        ([f"bEARER   {KEY}  "], ACME),
        ([], outcome.Reason.KEY_MISSING),
        ([""], outcome.Reason.KEY_MISSING),
        (["Bearer "], outcome.Reason.KEY_MISSING),
        (["Bearer x"], outcome.Reason.KEY_UNKNOWN),
        ([f"Bearer {KEY.upper()}"], outcome.Reason.KEY_UNKNOWN),
        ([f"Bearer {KEY[:-1]}"], outcome.Reason.KEY_UNKNOWN),
        ([f"Bearer {KEY}, Bearer {KEY}"], outcome.Reason.KEY_UNKNOWN),
        ([f"Bearer {KEY}", f"Bearer {KEY}"], outcome.Reason.KEY_REPEATED),
        ([f"Basic {KEY}"], outcome.Reason.KEY_MALFORMED),
        ([KEY], outcome.Reason.KEY_MALFORMED),
        ([f"Bearer\t{KEY}"], outcome.Reason.KEY_MALFORMED),
        (["Bearer Bearer of +/==~ \u00e9"], outcome.Reason.KEY_MALFORMED),
        (["Bearer " + "x" * 8185], outcome.Reason.KEY_UNKNOWN),
        (["Bearer " + "x" * 8186], outcome.Reason.KEY_MALFORMED),
    ],
)
async def test_only_one_whole_key_opens_a_route(fields, expected):
    """Guards against accepted parts of keys, and a refused valid one."""
    headers = [("host", "a"), *(("authorization", item) for item in fields)]
    found = keys.authenticate(headers, make_revision())
    if isinstance(expected, outcome.Reason):
        assert found == outcome.NotRun(expected, 401)
    else:
        assert found is expected


@pytest.mark.parametrize(
    ("has_document", "path", "expected"),
    [
        (False, "/keyed", (503, "no_document")),
        (True, "/none", (404, "no_route")),
        (True, "/keyed", (401, "key_unknown")),
    ],
)
async def test_a_key_is_checked_after_document_and_route(
    has_document, path, expected
):
    """Guards against a 401 of a node that can't know the key yet."""
    node = make_entry(make_revision() if has_document else None)
    headers = [("host", "a"), ("authorization", "Bearer wrong-key")]
    assert await ask(node, path, headers) == expected


async def test_a_wrong_key_is_refused_before_other_checks():
    """Guards against work, and other refusals, for callers without a key."""
    node = make_entry(make_revision())
    node.in_flight = node.max_in_flight
    headers = [("host", "a"), (calls.DEADLINE_HEADER, "soon")]
    assert await ask(node, "/keyed", headers) == (401, "key_missing")


async def test_a_refusal_is_logged_without_the_key(monkeypatch):
    """Guards against keys in logs, and 401s that no record matches."""
    node = make_entry(make_revision())
    monkeypatch.setattr(node.protocol, "find_request_id", lambda _: "9c41")
    secret = "mistyped-" + KEY
    with structlog.testing.capture_logs() as logs:
        headers = [("host", "a"), ("authorization", f"Bearer {secret}")]
        await ask(node, f"/keyed?key={secret}", headers)
    (line,) = logs
    assert (line["request"], line["reason"]) == ("9c41", "key_unknown")
    assert KEY not in repr(line)
    assert secret not in node.counters.render()[0].decode()


@pytest.mark.parametrize(
    ("path", "key", "is_nested", "expected"),
    [
        ("/keyed", KEY, False, ("acme", "acme", 1)),
        # Without a priority of its own the route's counts.
        ("/keyed", "plain-key", False, ("plain", "plain", 5)),
        ("/open", KEY, False, ("", "m", 5)),
        ("/open", "wrong", False, ("", "m", 5)),
        # IDs can be imitated; a request with a key counts for its workspace.
        ("/keyed", KEY, True, ("acme", "other", 3)),
        ("/open", "wrong", True, ("", "other", 3)),
    ],
)
async def test_a_call_counts_for_its_workspace(
    monkeypatch, path, key, is_nested, expected
):
    """Guards against forged names and members, and keys sent to a target."""
    headers = [("host", "a"), ("x-member", "m"), FORGED]
    headers.append(("authorization", f"Bearer {key}"))
    parent = running.Parent("other", 3, 2)
    call = await make_call(
        monkeypatch, path, headers, parent=parent if is_nested else None
    )
    assert (call.workspace, call.member, call.urgency.priority) == expected
    assert call.depth == (3 if is_nested else 1)
    attempt = calls.make_attempt(call, 1, "i1")
    sent = calls.attempt_headers(attempt)
    found = [value for name, value in sent if name == FORGED[0]]
    assert found == ([expected[0]] if expected[0] else [])
    assert key not in repr([call, attempt, sent])


async def test_a_request_that_looks_nested_needs_a_key(monkeypatch):
    """Guards against callers that get in with the ID of a running request."""
    node = make_entry(make_revision())
    monkeypatch.setattr(node.protocol, "find_request_id", lambda _: "p1.1")
    with node.running.track("p1", running.Parent()):
        assert (await ask(node, "/keyed", [("host", "a")]))[0] == 401


async def test_without_workspaces_nothing_changes(monkeypatch):
    """Guards against lost credentials of targets that have their own keys."""
    headers = [("host", "a"), AUTHORIZED, ("x-member", "m")]
    call = await make_call(
        monkeypatch, "/keyed", headers, make_revision(has_workspaces=False)
    )
    assert (call.workspace, call.member) == ("", "m")
    assert AUTHORIZED in call.headers


async def pass_on(
    receiver: receive.Receiver, headers: http1.Headers
) -> calls.Attempt:
    """Returns what the node of a target makes of another node's attempt.

    Args:
        receiver: Receiver of the target's node.
        headers: Fields that the entry node leaves in the attempt.
    """
    taken: list[calls.Attempt] = []

    class Target:
        @contextlib.asynccontextmanager
        async def execute(self, attempt):
            taken.append(attempt)
            yield outcome.NotRun(outcome.Reason.BUSY)

    runner = attempt_runner.AttemptRunner(
        cast(Any, Target()),
        attempts.Attempts(),
        background.Background(),
        receiver.counters,
    )
    sent = calls.Attempt(
        "c1.1",
        "desk",
        "GET",
        "/keyed",
        headers,
        calls.Body(b""),
        calls.make_deadline(1.0),
        "",
        1,
        receiver.incarnation,
        node_time_ms=runner.records.now_ms(),
        workspace="acme",
    )
    connection = FakeConnection()
    connection.receive_chunk = _end_body  # type: ignore[method-assign]
    head = http1.RequestHead("GET", "/keyed", calls.attempt_headers(sent))
    handler = peer.PeerHandler(receiver, runner)
    await handler.handle(cast(Any, connection), head)
    (attempt,) = taken
    return attempt


async def _end_body() -> None:
    return None


@pytest.mark.parametrize(
    ("framing", "sent", "closes"),
    [
        (b"Content-Length: 9", b"complete!", False),
        (b"Content-Length: 9", b"part", True),
        (b"Content-Length: 9\r\nExpect: 100-continue", b"", True),
        (b"Transfer-Encoding: chunked", b"3\r\nabc\r\n", True),
        (b"Transfer-Encoding: chunked", b"3\r\nabc\r\n0\r\n\r\n", False),
    ],
)
async def test_a_401_does_not_wait_for_the_body(framing, sent, closes):
    """Guards against callers without a key that hold a connection.

    The connection stays usable only if the whole body has arrived.
    """
    node = make_entry(make_revision())
    server = serve.Server(node.handle, may_overlap=node.overlaps.may_overlap)
    request = b"POST /keyed HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n%s"
    with anyio.fail_after(10):
        async with anyio.create_task_group() as group:
            group.start_soon(server.serve, wire.HOST, 0)
            await server.listening.wait()
            async with await anyio.connect_tcp(
                wire.HOST, server.port
            ) as stream:
                await stream.send(request % (framing, sent))
                answer = await stream.receive()
                assert answer.startswith(b"HTTP/1.1 401 ")
                assert b"\r\nwww-authenticate: Bearer\r\n" in answer
                assert (b"\r\nconnection: close\r\n" in answer) is closes
                if closes:
                    with pytest.raises(anyio.EndOfStream):
                        await stream.receive()
                else:
                    await stream.send(request % (framing, sent))
                    assert b" 401 " in await stream.receive()
            group.cancel_scope.cancel()
