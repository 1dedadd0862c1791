"""Load pattern: downloads that are broken off, with requests behind them.

A client sends a download and further safe requests on one connection. Only the
end of the connection shows that an answer was cut, so requests that had been
started behind it ran at sound targets and got no answer (review/e2).
"""

import contextlib
import random
import types
from typing import Any
from typing import cast

import anyio
import pytest

from waxwingferry.connection import http1
from waxwingferry.connection import serve
from waxwingferry.connection.tests import test_pipeline
from waxwingferry.process import metrics
from waxwingferry.process.choice import routing
from waxwingferry.process.spreading import members
from waxwingferry.process.tests import fakes
from waxwingferry.request import calls
from waxwingferry.request import entry
from waxwingferry.request import outcome
from waxwingferry.request import overlapping
from waxwingferry.version import document

pytestmark = pytest.mark.anyio

PACK_BYTES = 200_000
ROW_BYTES = 40
SERVICE_TIME_S = 0.02
ROWS = [f"/row/{number}" for number in range(5)]


class Targets:
    """Targets with long and short answers, some of which are cut.

    Attributes:
        ran: Requests that were run, in order.
        cut: Requests whose answers are cut.
        most_running: Most requests that ran at a time.
    """

    def __init__(self):
        self.ran: list[str] = []
        self.cut: set[str] = set()
        self.running = 0
        self.most_running = 0

    @contextlib.asynccontextmanager
    async def execute(self, candidate, attempt):
        """See forward.Forwarder."""
        path = attempt.request_target
        self.ran.append(path)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        await anyio.sleep(SERVICE_TIME_S)
        self.running -= 1
        size = PACK_BYTES if path.startswith("/pack/") else ROW_BYTES
        parts = [path.encode().ljust(size // 2), b" " * (size // 2)]
        if path in self.cut:
            parts.pop()

        async def receive_chunk() -> bytes | None:
            if parts:
                return parts.pop(0)
            if path in self.cut:
                raise outcome.AnswerCutError("cut")
            return None

        headers = [("content-length", str(size))]
        yield outcome.Answer(http1.ResponseHead(200, headers), receive_chunk)


def make_document() -> document.Document:
    """Returns a document with a route for each kind of request."""
    return document.Document.model_validate(
        {
            "services": [
                {
                    "name": "desk",
                    "routes": [
                        {"path_prefix": prefix, "idempotent": True}
                        for prefix in ("/pack/", "/row/")
                    ],
                }
            ]
        }
    )


class Caller:
    """A caller's connection to an entry node, in memory."""

    def __init__(self, targets: Targets):
        self.stream = test_pipeline.MemoryStream()
        membership = members.Membership("entry", fakes.Clock())
        for number in range(4):
            membership.apply(fakes.make_row(number))
        revision = document.make_revision(1, make_document())
        self.node = entry.EntryHandler(
            "entry",
            lambda: revision,
            membership,
            routing.Router(random.Random(1)),
            cast(Any, targets),
            cast(Any, None),
            metrics.Metrics(),
            random.Random(1),
        )
        self.server = serve.Server(
            self.node.handle,
            may_overlap=self.node.overlaps.may_overlap,
            may_be_long=self.node.overlaps.may_be_long,
        )

    async def send(self, *paths: str) -> None:
        """Sends requests at once."""
        await self.stream.sender.send(
            b"".join(
                b"GET %b HTTP/1.1\r\nHost: a\r\n\r\n" % path.encode()
                for path in paths
            )
        )

    async def wait_answered(self, count: int) -> None:
        """Returns once so many answers have been sent."""
        with anyio.fail_after(5):
            while len(self.find_answered()) < count:  # noqa: ASYNC110
                await anyio.sleep(SERVICE_TIME_S)

    def find_answered(self) -> list[str]:
        """Returns the requests whose answers were sent completely."""
        found = []
        for body in self.stream.bodies():
            path = body.rstrip().decode()
            size = PACK_BYTES if path.startswith("/pack/") else ROW_BYTES
            if len(body) == size:
                found.append(path)
        return found

    async def serve(self) -> None:
        """Serves the connection until it ends."""
        connection = http1.ServerConnection(cast(Any, self.stream))
        with anyio.fail_after(10), contextlib.suppress(http1.HttpError):
            await self.server.serve_requests(connection)


@pytest.mark.parametrize(
    "earlier", [[], ["/row/x"], ["/pack/1", "/row/x"]], ids=len
)
async def test_a_cut_download_takes_no_started_request_along(earlier) -> None:
    """Guards against requests that run and get neither answer nor refusal."""
    targets = Targets()
    targets.cut.add("/pack/2")
    caller = Caller(targets)
    async with anyio.create_task_group() as group:
        group.start_soon(caller.serve)
        for number, path in enumerate(earlier):
            await caller.send(path)
            await caller.wait_answered(number + 1)
        await caller.send("/pack/2", *ROWS)
    assert "/pack/2" in targets.ran
    answered = caller.find_answered()
    lost = [path for path in targets.ran if path not in answered]
    assert lost == ["/pack/2"]


async def test_requests_behind_a_whole_download_are_answered() -> None:
    """Guards against requests that wait for a download that has ended."""
    targets = Targets()
    caller = Caller(targets)
    async with anyio.create_task_group() as group:
        group.start_soon(caller.serve)
        await caller.send("/row/x", "/pack/1", *ROWS)
        await caller.wait_answered(2 + len(ROWS))
        caller.stream.sender.close()
    assert caller.find_answered() == ["/row/x", "/pack/1", *ROWS]
    # Short requests still run side by side.
    assert targets.most_running > 1


def test_routes_are_remembered_for_a_time_and_in_a_bound() -> None:
    """Guards against routes without bound, and one long answer for ever."""
    clock = fakes.Clock()
    revision = document.make_revision(1, make_document())
    counted: list[None] = []
    overlaps = overlapping.Overlaps(
        lambda: revision, clock, lambda: counted.append(None)
    )
    head = http1.RequestHead("GET", "/pack/1", [])
    route = revision.match_route("GET", "/pack/1", "")
    assert route is not None
    assert overlaps.may_be_long(head)

    def record(name: str, size: int, whole: bool) -> None:
        connection = cast(Any, types.SimpleNamespace(answer_bytes=size))
        call = types.SimpleNamespace(
            method="GET", idempotent=True, route=name, request_id="r"
        )
        overlaps.record_answer(cast(Any, call), connection, whole)

    record(route.name, 10, False)
    assert overlaps.may_be_long(head)
    record(route.name, 10, True)
    assert not overlaps.may_be_long(head)
    for _ in range(2):
        record(route.name, calls.MAX_BUFFERED_BODY_BYTES + 1, False)
    assert len(counted) == 1
    record(route.name, 10, True)
    assert overlaps.may_be_long(head)
    clock.now_s += overlapping.LONG_ANSWER_MEMORY_S
    assert not overlaps.may_be_long(head)
    for number in range(overlapping.MAX_ROUTES):
        record(f"other {number}", 10, True)
    assert len(overlaps.long_until_s) == overlapping.MAX_ROUTES
    assert overlaps.may_be_long(head)
