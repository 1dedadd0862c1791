"""Fingerprints of requests, which stay the same when a caller repeats them."""

import xxhash

from waxwingferry.connection import http1
from waxwingferry.request import calls


def compute_fingerprint(request: calls.Call | calls.Attempt) -> int:
    """Returns a 64-bit hash of what makes the target do its work.

    Request IDs, deadlines and other header fields differ between repeats and
    are not part of it. Of a streamed body, only the start is, whose length does
    not depend on how the body arrived.
    """
    hasher = xxhash.xxh3_64()
    for part in (
        request.service.encode(),
        request.method.encode(),
        http1.find_header(request.headers, "host").encode(),
        request.request_target.encode(),
        request.body.buffered[: calls.MAX_BUFFERED_BODY_BYTES],
    ):
        hasher.update(len(part).to_bytes(4, "big"))
        hasher.update(part)
    return hasher.intdigest()


def format_fingerprint(fingerprint: int) -> str:
    """Returns a fingerprint as it appears in logs."""
    return f"{fingerprint:016x}"


def hash_incarnation(host: str, port: int, incarnation: str) -> int:
    """Returns a 64-bit hash of an incarnation of the target at an address."""
    return xxhash.xxh3_64_intdigest(f"{host}:{port}:{incarnation}".encode())
