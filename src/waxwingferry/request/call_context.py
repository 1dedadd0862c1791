"""Fields that describe the calls above a request, and caller protocols."""

import dataclasses
import re

from waxwingferry.connection import http1
from waxwingferry.request import calls
from waxwingferry.request import outcome

_NUMBER = re.compile(r"[0-9]{1,9}")


@dataclasses.dataclass(slots=True, frozen=True)
class CallContext:
    """Fields of a request that describe the chain of calls it belongs to.

    Attributes:
        depth: Depth of the caller; 0 for an external caller.
        deadline_ms: Time left, or None if the caller sets no limit.
        is_retry: Whether an entry node further up the chain has retried.
    """

    depth: int
    deadline_ms: int | None
    is_retry: bool


def parse_context(headers: http1.Headers) -> CallContext:
    """Parses the fields that nodes set.

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
        _parse_number(
            calls.DEPTH_HEADER, find(headers, calls.DEPTH_HEADER, "0")
        ),
        _parse_number(calls.DEADLINE_HEADER, deadline) if deadline else None,
        retry == "1",
    )


class CallerProtocol:
    """Header fields exchanged with callers; by default this project's own.

    A platform with other fields overrides the methods.

    Attributes:
        states_total_wait: Whether the time left that a caller states is what
            remains of one wait over all its tries. The time that is missing
            in comparison to other callers then shows how long it has waited.
        workspace_header: Field that tells a target the caller's workspace.
    """

    states_total_wait = False
    workspace_header = calls.WORKSPACE_HEADER

    def parse_context(self, headers: http1.Headers) -> CallContext:
        """Returns the call chain that a request belongs to.

        Raises:
            http1.HttpError: A value is malformed (status 400).
        """
        return parse_context(headers)

    def prepare_request_headers(self, headers: http1.Headers) -> http1.Headers:
        """Returns the fields to forward to the target with a request."""
        return headers

    def find_request_id(self, headers: http1.Headers) -> str:
        """Returns the caller's identifier of a request, for logs, or ""."""
        return ""

    def prepare_answer_headers(
        self, headers: http1.Headers, attempt_id: str
    ) -> http1.Headers:
        """Returns the fields of an answer to send to the caller."""
        return [
            *headers,
            (outcome.OUTCOME_HEADER, "answered"),
            (calls.ATTEMPT_HEADER, attempt_id),
        ]


DEFAULT_PROTOCOL = CallerProtocol()


def _parse_number(name: str, value: str) -> int:
    """Parses a number; int() would accept signs, spaces and underscores."""
    if not _NUMBER.fullmatch(value):
        raise http1.HttpError(
            f"{name} = {value!r}: must be a number of 1 to 9 digits"
        )
    return int(value)
