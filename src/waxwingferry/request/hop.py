"""What a request says of the calls above it: depth, time left, retry."""

import dataclasses
import re

from waxwingferry.connection import http1
from waxwingferry.request import call

_NUMBER = re.compile(r"[0-9]{1,9}")


@dataclasses.dataclass(slots=True, frozen=True)
class Hop:
    """The fields of a request that concern its place in a chain of calls.

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


def _parse(name: str, value: str) -> int:
    """Parses a number; int() would take signs, spaces and underscores."""
    if not _NUMBER.fullmatch(value):
        raise http1.HttpError(
            f"{name} = {value!r}: must be a number of 1 to 9 digits"
        )
    return int(value)
