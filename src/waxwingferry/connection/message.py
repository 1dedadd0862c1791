"""Heads, header fields, errors and limits of HTTP/1.1 messages."""

from collections.abc import Iterable
import dataclasses
import http

# RFC 9110, section 7.6.1: header fields that apply to a single connection.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

# Fields that are forwarded even if "Connection" lists them: without them the
# request would reach another host or lose its framing.
_NEVER_HOP_BY_HOP = frozenset({"host", "content-length"})

Headers = list[tuple[str, str]]


class HttpError(Exception):
    """The peer violated the protocol, or the connection failed.

    Attributes:
        status: Status code of the error response if the peer is a client.
    """

    def __init__(self, message: str, status: int = 400):
        super().__init__(message)
        self.status = status


class ConnectionLostError(HttpError):
    """The connection failed, or the peer closed it within a message."""


class ReceiveTimeoutError(HttpError):
    """The peer sent no data, or sent it too slowly."""

    def __init__(self, message: str):
        super().__init__(message, status=408)


class NoRoomError(HttpError):
    """A request is refused because connections hold too much memory."""

    def __init__(self):
        super().__init__("too much memory is in use", status=503)


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits of a server on one client.

    Attributes:
        head_bytes: Size of a request head; a larger one is refused with 431.
            The number of its fields is not limited apart from that.
        body_bytes: Size of a request body; a larger one is refused with 413.
        blank_bytes: Blank lines before a request.
        framing_bytes: Bytes of chunk sizes, chunk extensions and trailers of
            a body that are allowed beside as many bytes as the body has. Only
            chunks of less than 5 bytes on average can exceed it without
            extensions, and only after some 13,000 of them.
        idle_s: Longest wait for the first byte of the next request.
        head_s: Longest time from the first byte of a head to its end.
        body_grace_s: Time spent waiting for a body that is allowed at any
            rate.
        min_body_bytes_per_s: Minimum rate of a body once the grace time is
            used up. Only time spent waiting for the client counts, so that
            backpressure from a slow target does not fail the client.
        send_s: Longest time for the client to accept one part of a response.
    """

    head_bytes: int = 32768
    body_bytes: int = 64 * 1024 * 1024
    blank_bytes: int = 4096
    framing_bytes: int = 65536
    idle_s: float = 75.0
    head_s: float = 10.0
    body_grace_s: float = 5.0
    min_body_bytes_per_s: float = 1024.0
    send_s: float = 30.0


DEFAULT_LIMITS = Limits()

# Bytes of the fields that a node adds to a message that it forwards. The values
# of some are taken from fields of the caller, such as its request ID.
ADDED_HEAD_BYTES = 16384


def make_forwarded_head_bytes(head_bytes: int) -> int:
    """Returns the limit on heads that a node has received and sent on.

    Each line may grow by the space behind its colon, which is a quarter of the
    shortest line.
    """
    return head_bytes + head_bytes // 4 + ADDED_HEAD_BYTES


@dataclasses.dataclass(slots=True)
class RequestHead:
    """Start line and fields of a request; field names are lower case.

    Attributes:
        target: Request target in origin form, or "*".
        keep_alive: Whether the client wants to keep the connection open.
        has_body: Whether the head announces a body that isn't empty.
        version: HTTP version, "1.0" or "1.1".
        expects_continue: Whether the client waits for a 100 (Continue)
            response before it sends the body.
        memory_bytes: Memory of the head, set by the reader.
    """

    method: str
    target: str
    # Not shown, because it may hold the credentials of a client.
    headers: Headers = dataclasses.field(repr=False)
    keep_alive: bool = True
    has_body: bool = False
    version: str = "1.1"
    expects_continue: bool = False
    memory_bytes: int = 0


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status line and fields of a response; field names are lower case.

    Attributes:
        self_delimited: Whether the head defines where the body ends.
            Otherwise the body ends with the connection, so that a truncated
            body can't be detected.
        memory_bytes: Memory of the head, set by the reader.
    """

    status: int
    headers: Headers
    keep_alive: bool = True
    self_delimited: bool = True
    memory_bytes: int = 0


def find_header(headers: Headers, name: str, default: str = "") -> str:
    """Returns the value of the first field of that name, or the default."""
    for key, value in headers:
        if key == name:
            return value
    return default


def end_to_end_headers(headers: Headers) -> Headers:
    """Returns the fields that may be forwarded to the next hop."""
    removed: Iterable[str] = HOP_BY_HOP
    for key, value in headers:
        if key == "connection":
            nominated = {token.strip().lower() for token in value.split(",")}
            removed = HOP_BY_HOP.union(removed, nominated - _NEVER_HOP_BY_HOP)
    return [item for item in headers if item[0] not in removed]


def encode_head(start_line: str, headers: Headers) -> bytes:
    """Returns the bytes of a head, including the empty line at its end."""
    lines = [f"{name}: {value}\r\n" for name, value in headers]
    return f"{start_line}\r\n{''.join(lines)}\r\n".encode("latin-1")


def encode_chunk(data: bytes) -> bytes:
    """Returns data as one chunk, or no bytes if data is empty.

    A chunk of size 0 would end the body.
    """
    if not data:
        return b""
    return b"%x\r\n%b\r\n" % (len(data), data)


# RFC 9110, section 15. Other codes are no valid responses.
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}"
    for status in http.HTTPStatus
}


def status_line(status: int) -> str:
    """Returns the status line of a response."""
    return STATUS_LINES.get(status) or f"HTTP/1.1 {status} Unknown"
