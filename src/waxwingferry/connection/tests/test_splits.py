"""What a reader returns and holds doesn't depend on how bytes were split."""

import httptools
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from waxwingferry.connection import message
from waxwingferry.connection import message_events
from waxwingferry.connection import reader as reading

LIMITS = message.Limits(
    head_bytes=200, body_bytes=300, blank_bytes=100, framing_bytes=150
)
BLOCK_BYTES = 64
# A head within its limit has this many fields of the shortest form, and the
# reader detects a larger one within two blocks, but doesn't record its fields.
MAX_FIELDS = LIMITS.head_bytes // 3
MAX_UNFINISHED_BYTES = (
    message_events.HEAD_MEMORY_BYTES
    + MAX_FIELDS * message_events.FIELD_MEMORY_BYTES
    + LIMITS.head_bytes
    + 2 * BLOCK_BYTES
)
# Heads, and the fields of one that began earlier, that one block completes.
MAX_QUEUED_BYTES = MAX_UNFINISHED_BYTES + 4 * (
    message_events.HEAD_MEMORY_BYTES
    + BLOCK_BYTES * message_events.FIELD_MEMORY_BYTES
)

REQUEST = b"GET /a HTTP/1.1\r\nHost: a\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
NOISE = [
    b"GET /",
    b"a: b",
    b"\r\n",
    b"\r",
    b"x" * 30,
    b"\0",
    b"1\r\n",
    RESPONSE,
]
LINES = [b"a:\r\n", b"a: b\r\n", b"a:" + b" " * 20 + b"\r\n"]
CHUNKS = [b"1\r\nx\r\n", b"1;e=f\r\nx\r\n", b"20\r\n" + b"y" * 32 + b"\r\n"]

short_counts = strategies.integers(0, 5)
long_counts = strategies.integers(0, 90)


def repeat(pieces: list[bytes]) -> strategies.SearchStrategy[bytes]:
    """Returns a strategy for repetitions of one of the pieces."""
    return strategies.builds(
        lambda piece, count: piece * count,
        strategies.sampled_from(pieces),
        short_counts | long_counts,
    )


def join(*parts: strategies.SearchStrategy[bytes]):
    """Returns a strategy for the parts in a row."""
    return strategies.tuples(*parts).map(b"".join)


heads = join(strategies.just(REQUEST), repeat(LINES))
bodies = strategies.one_of(
    strategies.just(b"\r\n"),
    strategies.integers(0, 320).map(
        lambda size: b"Content-Length: %d\r\n\r\n" % size + b"z" * size
    ),
    join(
        strategies.just(CHUNKED),
        repeat(CHUNKS),
        strategies.just(b"0\r\n"),
        repeat(LINES),
        strategies.just(b"\r\n"),
    ),
)
messages = strategies.one_of(
    join(heads, bodies),
    join(heads, bodies),
    repeat([b"\r\n"]),
)
streams = join(
    strategies.lists(messages, max_size=6).map(b"".join),
    strategies.sampled_from([b"", *NOISE]),
)
cuts = strategies.lists(strategies.integers(0, 4000), max_size=30)


@pytest.fixture(autouse=True, scope="module")
def _small_blocks():
    patch = pytest.MonkeyPatch()
    patch.setattr(message_events, "BLOCK_BYTES", BLOCK_BYTES)
    yield
    patch.undo()


def make_reader(of_requests: bool) -> reading.Reader:
    """Returns a reader without a stream."""
    make_parser, make_head = (
        (httptools.HttpRequestParser, reading.make_request_head)
        if of_requests
        else (httptools.HttpResponseParser, reading.make_response_head)
    )
    return reading.Reader(None, make_parser, make_head, LIMITS)  # type: ignore[arg-type]


def read_events(of_requests: bool, parts: list[bytes]) -> list:
    """Returns what a reader returns, with body parts joined.

    Also checks the memory that it holds after each part, and after each event.
    """
    reader = make_reader(of_requests)
    events: list = []
    for part in parts:
        reader.feed(part)
        max_bytes = len(part) + MAX_UNFINISHED_BYTES + MAX_QUEUED_BYTES
        assert reader.held_bytes <= max_bytes
        while reader.queue:
            assert reader.held_bytes <= max_bytes
            try:
                event = reader.pop_event()
            except message.HttpError as error:
                return [*events, (error.status, str(error))]
            if (
                isinstance(event, bytes)
                and events
                and type(events[-1]) is bytes
            ):
                events[-1] += event
            else:
                events.append(event)
    return events


def split(data: bytes, places: list[int]) -> list[bytes]:
    """Returns the parts of data between the given places."""
    bounds = sorted(
        {0, len(data), *(item for item in places if item < len(data))}
    )
    return [
        data[begin:end] for begin, end in zip(bounds, bounds[1:], strict=False)
    ]


@settings(max_examples=500, deadline=None)
@given(strategies.booleans(), streams, cuts)
@example(True, REQUEST + b"a:\r\n" * 30, [1, 64, 65])
@example(True, REQUEST + b"a: " + b" " * 500, [70])
@example(True, b"\r\n" * 300, [3])
@example(
    True, b"POST /a HTTP/1.1\r\nHost: a\r\n" + CHUNKED + b"1\r\nx\r\n" * 200, []
)
@example(False, RESPONSE + CHUNKED + b"1;" + b"x" * 900, [80])
@example(False, RESPONSE + CHUNKED + b"0\r\n" + b"a:\r\n" * 200, [99])
@example(True, (REQUEST + b"\r\n") * 40, [500])
def test_events_do_not_depend_on_splits(
    of_requests: bool, data: bytes, places: list[int]
) -> None:
    """Guards against limits that hold for some splits only."""
    if not of_requests:
        data = data.replace(REQUEST, RESPONSE)
    whole = read_events(of_requests, [data])
    assert read_events(of_requests, split(data, places)) == whole
    assert read_events(of_requests, split(data, [*range(len(data))])) == whole


@pytest.mark.parametrize(
    ("first", "repeated"),
    [
        (REQUEST, b"a:\r\n"),
        (REQUEST + b"a:", b" "),
        (REQUEST + b"a:", b"b"),
        (REQUEST, b"b"),
        (b"GET /", b"a"),
        (b"", b"\r\n"),
        (REQUEST + CHUNKED, b"1\r\nx\r\n"),
        (REQUEST + CHUNKED + b"1;", b"e"),
        (REQUEST + CHUNKED + b"0\r\n", b"a:\r\n"),
        (REQUEST + CHUNKED + b"0\r\na:", b"b"),
    ],
)
def test_what_has_no_end_is_refused(first: bytes, repeated: bytes) -> None:
    """Guards against a client that sends without end and is never refused."""
    events = read_events(True, [first, *[repeated] * 2000])
    assert events[-1][0] in (400, 413, 431)
