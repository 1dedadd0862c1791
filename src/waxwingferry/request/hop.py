"""What a request says of the calls above it: depth, time left, retry."""

import dataclasses
import re

from waxwingferry.connection import http1
from waxwingferry.request import call
from waxwingferry.request import outcome

_NUMBER = re.compile(r"[0-9]{1,9}")


@dataclasses.dataclass(slots=True, frozen=True)
class Hop:
    """The fields of a request that concern its position in a chain of calls.

    Attributes:
        depth: Depth of the caller; 0 for a caller outside.
        deadline_ms: Time left, or None if the caller sets no limit.
        is_retry: Whether an entry further up made this a retry.
    """

    depth: int
    deadline_ms: int | None
    is_retry: bool


def parse_hop(headers: http1.Headers) -> Hop:
    """Parses the fields.

    Raises:
        http1.HttpError: A value is malformed (status 400).
    """
    find = http1.find_header
    deadline = find(headers, call.DEADLINE_HEADER)
    retry = find(headers, call.RETRY_HEADER, "0")
    if retry not in ("0", "1"):
        raise http1.HttpError(
            f"{call.RETRY_HEADER} = {retry!r}: must be 0 or 1"
        )
    return Hop(
        _parse(call.DEPTH_HEADER, find(headers, call.DEPTH_HEADER, "0")),
        _parse(call.DEADLINE_HEADER, deadline) if deadline else None,
        retry == "1",
    )


class Edge:
    """How callers are spoken to: the project's own fields.

    A platform with other fields has an edge of its own.
    """

    def parse_hop(self, headers: http1.Headers) -> Hop:
        """Returns what a request says of the calls above it.

        Raises:
            http1.HttpError: A value is malformed (status 400).
        """
        return parse_hop(headers)

    def mark_request(self, headers: http1.Headers) -> http1.Headers:
        """Returns the fields that go to the target with a request."""
        return headers

    def name_request(self, headers: http1.Headers) -> str:
        """Returns the caller's own name of a request, for logs."""
        return ""

    def mark_answer(
        self, headers: http1.Headers, attempt_id: str
    ) -> http1.Headers:
        """Returns the fields of an answer as the caller gets them."""
        return [
            *headers,
            (outcome.OUTCOME_HEADER, "answered"),
            (call.ATTEMPT_HEADER, attempt_id),
        ]


OWN_EDGE = Edge()


def _parse(name: str, value: str) -> int:
    """Parses a number; int() would take signs, spaces and underscores."""
    if not _NUMBER.fullmatch(value):
        raise http1.HttpError(
            f"{name} = {value!r}: must be a number of 1 to 9 digits"
        )
    return int(value)
