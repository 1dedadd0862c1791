"""Bodies of requests, and the check that targets ran them whole."""

from collections.abc import AsyncIterator
from collections.abc import Mapping
import dataclasses
import hashlib
import random

from waxwingferry.bench import experiment

WHOLE_BODIES = "a target runs a request with its whole body"


@dataclasses.dataclass(slots=True, frozen=True)
class Description:
    """Length and SHA-256 of a body."""

    length: int
    sha256: str


def describe(body: bytes) -> Description:
    """Returns the description of a body."""
    return Description(len(body), hashlib.sha256(body).hexdigest())


def make_body(request_id: str, size: int) -> bytes:
    """Returns bytes that differ from those of other requests."""
    return random.Random(request_id).randbytes(size)


async def iterate_parts(body: bytes, size: int) -> AsyncIterator[bytes]:
    """Yields a body in parts of the given size."""
    for begin in range(0, len(body), size):
        yield body[begin : begin + size]


def check_bodies(
    report: experiment.Report,
    ledgers: dict[str, list[dict]],
    sent: Mapping[str, Description],
) -> int:
    """Compares the bodies that targets ran requests with to those sent.

    Args:
        report: The report that the checks are added to.
        ledgers: Ledger entries of each target.
        sent: Bodies that were sent, by request ID; other requests are not
            checked.

    Returns:
        The number of runs with another body.
    """
    truncated = 0
    for target, entries in ledgers.items():
        for entry in entries:
            name = entry["request"]
            if name not in sent:
                continue
            whole = entry["body_sha256"] == sent[name].sha256
            truncated += not whole
            report.check(
                WHOLE_BODIES,
                whole,
                f"{name} ran at {target} with {entry['body_bytes']} of"
                f" {sent[name].length} bytes",
            )
    return truncated
