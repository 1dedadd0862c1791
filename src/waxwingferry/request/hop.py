"""What a request says of the calls above it: depth, time left, retry."""

import dataclasses
import re

from waxwingferry.connection import http1
from waxwingferry.request import call as calls
from waxwingferry.request import outcome

_NUMBER = re.compile(r"[0-9]{1,9}")


@dataclasses.dataclass(slots=True, frozen=True)
class CallContext:
    """The fields of a request that concern its position in a chain of calls.

    Attributes:
        depth: Depth of the caller; 0 for a caller outside.
        deadline_ms: Time left, or None if the caller sets no limit.
        is_retry: Whether an entry further up made this a retry.
    """

    depth: int
    deadline_ms: int | None
    is_retry: bool


def parse_context(headers: http1.Headers) -> CallContext:
    """Parses the fields.

    Raises:
        http1.HttpError: A value is malformed (status 400).
    """
    find = http1.find_header
    deadline = find(headers, calls.DEADLINE_HEADER)
    retry = find(headers, calls.RETRY_HEADER, "0")
    if retry not in ("0", "1"):
        raise http1.HttpError(
            f"{calls.RETRY_HEADER} = {retry!r}: must be 0 or 1"
        )
    return CallContext(
        _parse(calls.DEPTH_HEADER, find(headers, calls.DEPTH_HEADER, "0")),
        _parse(calls.DEADLINE_HEADER, deadline) if deadline else None,
        retry == "1",
    )


class CallerProtocol:
    """How callers are spoken to: the project's own fields.

    A platform with other fields implements its own.
    """

    def parse_context(self, headers: http1.Headers) -> CallContext:
        """Returns what a request says of the calls above it.

        Raises:
            http1.HttpError: A value is malformed (status 400).
        """
        return parse_context(headers)

    def prepare_request_headers(self, headers: http1.Headers) -> http1.Headers:
        """Returns the fields that go to the target with a request."""
        return headers

    def find_request_id(self, headers: http1.Headers) -> str:
        """Returns the caller's own name of a request, for logs."""
        return ""

    def prepare_answer_headers(
        self, headers: http1.Headers, attempt_id: str
    ) -> http1.Headers:
        """Returns the fields of an answer as the caller gets them."""
        return [
            *headers,
            (outcome.OUTCOME_HEADER, "answered"),
            (calls.ATTEMPT_HEADER, attempt_id),
        ]


DEFAULT_PROTOCOL = CallerProtocol()


def _parse(name: str, value: str) -> int:
    """Parses a number; int() would take signs, spaces and underscores."""
    if not _NUMBER.fullmatch(value):
        raise http1.HttpError(
            f"{name} = {value!r}: must be a number of 1 to 9 digits"
        )
    return int(value)
