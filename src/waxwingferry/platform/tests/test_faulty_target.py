"""Fault patterns: a target repeats an earlier refusal, or breaks off a head."""

import anyio
import anyio.lowlevel
import pytest

from waxwingferry.platform import header_fields
from waxwingferry.process import target
from waxwingferry.request import calls
from waxwingferry.request import outcome

pytestmark = pytest.mark.anyio

DEADLINE_S = 5.0
ANNOUNCEMENT = target.Announcement("s", "v1", 1, "127.0.0.1", 1, "t:1")
ID_FIELD = header_fields.REQUEST_ID.encode()
REFUSAL_FIELD = header_fields.NOT_RUN.encode()


class ScriptedStream:
    """A byte stream that responds to each request with scripted packets.

    Args:
        script: For each request, the packets that follow it. The stream ends
            cleanly after the last one.
    """

    def __init__(self, script: list[list[bytes]]):
        self.script = script
        self.packets: list[bytes] = []
        self.closed = False

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Returns the next packet."""
        await anyio.lowlevel.checkpoint()
        if not self.packets:
            raise anyio.EndOfStream
        return self.packets.pop(0)

    async def send(self, data: bytes) -> None:
        """Accepts a request."""
        if self.script:
            self.packets += self.script.pop(0)

    async def aclose(self) -> None:
        """Records that the stream was closed."""
        self.closed = True


def make_client(*scripts: list[list[bytes]]) -> target.TargetClient:
    """Returns a client whose connections follow the scripts in turn."""
    streams = [ScriptedStream(script) for script in scripts]

    async def connect(host: str, port: int) -> ScriptedStream:
        return streams.pop(0)

    return target.TargetClient(
        ANNOUNCEMENT,
        header_fields.PlatformTargetProtocol(),
        connect=connect,  # type: ignore[arg-type]
    )


async def send(client: target.TargetClient, request_id: str) -> str:
    """Sends one request; returns the kind of its outcome or its body."""
    attempt = calls.Attempt(
        f"{request_id}.1",
        "s",
        "POST",
        "/",
        [(header_fields.REQUEST_ID, request_id)],
        calls.Body(b""),
        calls.make_deadline(DEADLINE_S),
        "",
        1,
        "i",
    )
    async with client.execute(attempt) as result:
        if not isinstance(result, outcome.Answer):
            return type(result).__name__
        body = b""
        try:
            while part := await result.receive_chunk():
                body += part
        except outcome.AnswerCutError:
            return "cut"
        return body.decode()


def make_answer(request_id: str, body: bytes = b"whole") -> bytes:
    """Returns a complete 200 response."""
    return b"HTTP/1.1 200 OK\r\n%s: %s\r\ncontent-length: %d\r\n\r\n%s" % (
        ID_FIELD,
        request_id.encode(),
        len(body),
        body,
    )


def make_refusal(request_id: str) -> bytes:
    """Returns a refusal; without a request ID if that is empty."""
    id_field = b"%s: %s\r\n" % (ID_FIELD, request_id.encode())
    return (
        b"HTTP/1.1 503 Service Unavailable\r\n%s%s: 1\r\n"
        b"content-length: 0\r\n\r\n"
        % (id_field if request_id else b"", REFUSAL_FIELD)
    )


# A refusal without an ID, written once more on a connection in
# use again, was taken for that of a request which the target was running.
@pytest.mark.parametrize("repeated", [make_refusal(""), make_refusal("a")])
@pytest.mark.parametrize("earlier", [make_refusal("a"), make_answer("a")])
async def test_a_repeated_refusal_is_not_taken_for_the_next_requests_own(
    earlier: bytes, repeated: bytes
) -> None:
    """Guards against "not run" for a request that the target runs."""
    client = make_client(
        [[earlier], [repeated, make_answer("b")]], [[make_answer("b")]]
    )
    await send(client, "a")
    assert await send(client, "b") in ("whole", "Unknown")


async def test_the_first_refusal_of_a_connection_needs_no_request_id() -> None:
    """Guards against an unknown outcome where no other response is possible."""
    client = make_client([[make_refusal("")]])
    assert await send(client, "a") == "NotRun"
    assert not client.pool.idle


@pytest.mark.parametrize("size", [1, 20, len(make_refusal("a")) - 1])
async def test_a_connection_with_part_of_another_response_is_not_kept(
    size: int,
) -> None:
    """Guards against a response that began before its request was sent."""
    client = make_client([[make_answer("a") + make_refusal("a")[:size]]])
    assert await send(client, "a") == "whole"
    assert not client.pool.idle


# An answer whose head was broken off was passed on as a whole one.
@pytest.mark.parametrize("after_another", [False, True])
async def test_an_answer_broken_off_in_its_head_is_no_answer(
    after_another: bool,
) -> None:
    """Guards against an empty or short body that looks complete."""
    whole = make_answer("b", b"twelve bytes")
    head_end = whole.index(b"\r\n\r\n") + 4
    for size in range(len(whole)):
        broken = [whole[:size]] if size else []
        script = [broken]
        if after_another:
            script = [[make_answer("a")], broken]
        client = make_client(script)
        if after_another:
            assert await send(client, "a") == "whole"
        expected = "Unknown" if size < head_end else "cut"
        assert await send(client, "b") == expected, whole[:size]
        assert not client.pool.idle


async def test_a_head_broken_off_by_a_line_end_is_no_answer() -> None:
    """Guards against a head that ends where a field would begin."""
    for ending in (b"", b"\r", b"\n", b"\r\n", b"\r\n\r"):
        for fields in (b"", b"%s: b" % ID_FIELD, b"%s: b\r\nx" % ID_FIELD):
            head = b"HTTP/1.1 200 OK\r\n" + fields + ending
            if head.endswith(b"\r\n\r\n"):
                continue
            client = make_client([[head]])
            assert await send(client, "b") == "Unknown", head


# A target that had taken over the address of another one stated
# that it leaves, and the other one, which did not leave, got nothing more.
async def test_a_misdirected_response_says_nothing_about_the_target() -> None:
    """Guards against the state of one target recorded for another."""
    misdirected = (
        b"HTTP/1.1 421 Misdirected Request\r\n%s: a\r\n"
        b"server-limit: 2.5\r\nserver-leaving: 1\r\n"
        b"x-waxwingferry-server-load: 9,9,9\r\ncontent-length: 0\r\n\r\n"
        % ID_FIELD
    )
    client = make_client([[misdirected]], [[make_answer("b")]])
    recorded: list[object] = []
    client.on_load = recorded.append
    client.on_statement = lambda *args: recorded.append(args)
    assert await send(client, "a") == "NotRun"
    assert recorded == []
    assert await send(client, "b") == "whole"
    assert recorded == [("t:1", target.Statement())]
