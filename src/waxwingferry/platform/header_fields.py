"""Header fields exchanged with the platform's callers and targets."""

from collections.abc import Callable
import dataclasses
import re

import structlog

from waxwingferry.connection import exchange
from waxwingferry.connection import http1
from waxwingferry.process import target
from waxwingferry.request import call_context
from waxwingferry.request import calls
from waxwingferry.request import outcome

REQUEST_ID = "x-waxwingferry-attempt-id"
DEADLINE_MS = "x-waxwingferry-deadline-ms"
CALLER_SERVICE = "x-waxwingferry-caller-service"
EXPECTED_TARGET = "x-waxwingferry-expect-instance"
NOT_RUN = "x-waxwingferry-not-executed"
LOAD = "x-waxwingferry-server-load"
TARGET_ID = "x-waxwingferry-instance-id"
WARMUP_MS = "x-waxwingferry-warmup-ms"
MAX_RATE = "server-limit"
LEAVING = "server-leaving"
# Name of the workspace whose key the caller presented.
TENANT = "x-waxwingferry-tenant"

# Set by the node itself; values sent by a caller are removed.
_NODE_SET_HEADERS = frozenset({CALLER_SERVICE, EXPECTED_TARGET, DEADLINE_MS})
HEALTHY_STATUS = 200
# Larger times are as good as none.
MAX_DEADLINE_MS = 999_999_999
_TIME_LEFT = re.compile(r"-?[0-9]{1,30}(?:\.[0-9]{1,30})?")
_MILLISECONDS = re.compile(r"[0-9]{1,9}")
_LOAD_FIGURE = re.compile(r"[0-9]{1,9}")
_HEALTH_FIELDS = frozenset(
    {
        REQUEST_ID,
        LOAD,
        TARGET_ID,
        WARMUP_MS,
        MAX_RATE,
        LEAVING,
        NOT_RUN,
        "connection",
        "content-length",
        "content-type",
        "date",
        "keep-alive",
        "retry-after",
        "server",
        "transfer-encoding",
    }
)
_MAX_UNKNOWN_FIELDS = 32

log = structlog.get_logger()


class PlatformCallerProtocol(call_context.CallerProtocol):
    """Header fields exchanged with the platform's callers.

    Args:
        get_service: Returns the service of the target on this VM, which sends
            the requests.
    """

    states_total_wait = True
    workspace_header = TENANT

    def __init__(self, get_service: Callable[[], str]):
        self.get_service = get_service

    def parse_context(self, headers: http1.Headers) -> call_context.CallContext:
        """See call_context.CallerProtocol."""
        text = http1.find_header(headers, DEADLINE_MS)
        deadline_ms = None
        if text:
            deadline_ms = _parse_deadline_ms(text)
        return call_context.CallContext(0, deadline_ms, False)

    def prepare_request_headers(self, headers: http1.Headers) -> http1.Headers:
        """See call_context.CallerProtocol."""
        forwarded = [
            item for item in headers if item[0] not in _NODE_SET_HEADERS
        ]
        return [*forwarded, (CALLER_SERVICE, self.get_service())]

    def find_request_id(self, headers: http1.Headers) -> str:
        """See call_context.CallerProtocol."""
        return http1.find_header(headers, REQUEST_ID)

    def prepare_answer_headers(
        self, headers: http1.Headers, attempt_id: str
    ) -> http1.Headers:
        """See call_context.CallerProtocol."""
        return headers


def _parse_deadline_ms(text: str) -> int:
    """Parses the time that a caller has left, in milliseconds.

    A target that calls on behalf of a request whose time has passed may state a
    negative one. Its call is refused like one that has no time left.

    Raises:
        http1.HttpError: The value is not a number (status 400).
    """
    if not _TIME_LEFT.fullmatch(text):
        raise http1.HttpError(f"{DEADLINE_MS} = {text!r}: must be a number")
    return round(min(max(float(text), 0.0), MAX_DEADLINE_MS))


class PlatformTargetProtocol(target.TargetProtocol):
    """Header fields exchanged with the platform's targets."""

    accepts_close_delimited = True
    skips_unmatched = True
    workspace_header = TENANT

    def make_headers(
        self, attempt: calls.Attempt, announcement: target.Announcement
    ) -> http1.Headers:
        """See target.TargetProtocol."""
        target_id, _ = target.split_incarnation(announcement.incarnation)
        headers = calls.forwarded_headers(attempt)
        headers += [
            (DEADLINE_MS, str(calls.remaining_ms(attempt))),
            (EXPECTED_TARGET, target_id),
        ]
        if attempt.workspace:
            # The entry node has removed what the caller sent.
            headers.append((TENANT, attempt.workspace))
        return headers

    def get_correlation_id(self, attempt: calls.Attempt) -> str:
        """See target.TargetProtocol."""
        return http1.find_header(attempt.headers, REQUEST_ID)

    def find_parent_id(self, attempt: calls.Attempt) -> str:
        """See target.TargetProtocol."""
        return self.get_correlation_id(attempt).rpartition(".")[0]

    def read_correlation_id(self, head: http1.ResponseHead) -> str:
        """See target.TargetProtocol."""
        return http1.find_header(head.headers, REQUEST_ID)

    def find_refusal(self, head: http1.ResponseHead) -> outcome.Reason | None:
        """See target.TargetProtocol."""
        if head.status == 421:
            return outcome.Reason.NO_TARGET
        if http1.find_header(head.headers, NOT_RUN):
            return outcome.Reason.TARGET_REFUSED
        return None

    def read_load(self, head: http1.ResponseHead) -> target.TargetLoad | None:
        """See target.TargetProtocol."""
        return _parse_load(head.headers)

    def read_statement(self, head: http1.ResponseHead) -> target.Statement:
        """See target.TargetProtocol."""
        return _parse_statement(head.headers)


class UnknownFields:
    """Logs each field of health responses that nothing reads, once.

    Targets may state something new there that they expect the system to obey.
    """

    def __init__(self):
        self.names: set[str] = set()

    def record(self, headers: http1.Headers) -> None:
        """Logs the unknown fields of one response."""
        for name, value in headers:
            if name in _HEALTH_FIELDS or name in self.names:
                continue
            if len(self.names) >= _MAX_UNKNOWN_FIELDS:
                return
            self.names.add(name)
            log.warning(
                "target states an unknown field", name=name, value=value
            )


def parse_health(
    reply: exchange.Reply, target_id: str
) -> target.TargetLoad | None:
    """Returns the load in a health response; None if from another target."""
    reported_id = http1.find_header(reply.headers, TARGET_ID)
    if reported_id and reported_id != target_id:
        return None
    # A target in warm-up sends the remaining time in each health response,
    # so a missing value means that it is warm.
    warmup_left_s = _parse_warmup_left_s(reply.headers) or 0.0
    load = _parse_load(reply.headers) or target.TargetLoad(0, 0, 0)
    return dataclasses.replace(
        load,
        warmup_left_s=warmup_left_s,
        statement=_parse_statement(reply.headers),
        healthy=_is_healthy(reply),
    )


def _is_healthy(reply: exchange.Reply) -> bool:
    # A target that has no room for the check says nothing about its health.
    has_no_room = bool(http1.find_header(reply.headers, NOT_RUN))
    return reply.status == HEALTHY_STATUS or has_no_room


def _parse_statement(headers: http1.Headers) -> target.Statement:
    return target.Statement(
        target.parse_rate(http1.find_header(headers, MAX_RATE)),
        http1.find_header(headers, LEAVING) == "1",
    )


def _parse_warmup_left_s(headers: http1.Headers) -> float | None:
    text = http1.find_header(headers, WARMUP_MS)
    return int(text) / 1000 if _MILLISECONDS.fullmatch(text) else None


def _parse_load(headers: http1.Headers) -> target.TargetLoad | None:
    """Parses running, waiting, slots and, optionally, slowness in percent."""
    text = http1.find_header(headers, LOAD)
    items = [item.strip() for item in text.split(",")]
    if len(items) < 3 or not all(map(_LOAD_FIGURE.fullmatch, items)):
        if text:
            log.debug("load report ignored: malformed", value=text)
        return None
    numbers = [int(item) for item in items]
    slowness = numbers[3] / 100 if len(numbers) > 3 else 1.0
    return target.TargetLoad(
        numbers[0],
        numbers[1],
        numbers[2],
        max(slowness, 0.01),
        _parse_warmup_left_s(headers),
    )
