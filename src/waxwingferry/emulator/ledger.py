"""Ledger of the requests that an emulated target started to run."""

import dataclasses
import hashlib
import time

from waxwingferry.connection import http1
from waxwingferry.request import calls


@dataclasses.dataclass(slots=True)
class LedgerEntry:
    """One request that started to run.

    Attributes:
        entry_id: ID of the entry, unique across restarts of the target.
        request: The caller's x-request-id.
        attempt: ID of the attempt.
        key: Idempotency key, or empty.
        write: Whether the request has an effect that must not repeat.
        state: running, done, failed, refused, expired or cancelled.
        started_s: Wall-clock time of the start.
        overload: Whether it started above the current capacity of the target.
        ended_s: Wall-clock time of the end, or 0 while it runs.
        body_bytes: Length of the body that it ran with.
        body_sha256: SHA-256 of that body, in hexadecimal digits.
    """

    entry_id: str
    request: str
    attempt: str
    key: str
    member: str
    path: str
    write: bool
    started_s: float
    state: str = "running"
    overload: bool = False
    ended_s: float = 0.0
    body_bytes: int = 0
    body_sha256: str = ""


def make_entry(
    entry_id: str, head: http1.RequestHead, body: bytes
) -> LedgerEntry:
    """Returns the entry of a request that starts to run now."""
    find = http1.find_header
    return LedgerEntry(
        entry_id,
        find(head.headers, "x-request-id"),
        find(head.headers, calls.ATTEMPT_HEADER),
        find(head.headers, calls.KEY_HEADER),
        find(head.headers, calls.MEMBER_HEADER),
        head.target,
        head.method not in ("GET", "HEAD"),
        time.time(),
        body_bytes=len(body),
        body_sha256=hashlib.sha256(body).hexdigest(),
    )
