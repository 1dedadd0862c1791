"""Writes the results of claimed calls to the platform's table."""

import base64
import dataclasses
import time
from typing import Annotated
from typing import Any
from typing import Literal

import anyio
import msgspec
import structlog

from waxwingferry import invariants
from waxwingferry.connection import message
from waxwingferry.process import metrics
from waxwingferry.process import platform

CLAIMED = "claimed"
RELEASED = "released"
DONE = "done"

# Results that wait for the platform. Beyond this number the oldest are dropped
# and their keys stay claimed.
MAX_DEFERRED = 1000
RETRY_DELAY_S = 0.5

log = structlog.get_logger()


class _Answer(msgspec.Struct):
    """Stored answer of a call; the body is None if it was not kept."""

    status: Annotated[
        int,
        msgspec.Meta(ge=message.MIN_FINAL_STATUS, le=message.MAX_STATUS),
    ]
    headers: list[tuple[str, str]]
    body: str | None


class _ClaimRow(msgspec.Struct):
    """Value of a row with a claim."""

    claim_id: str
    digest: str
    state: Literal["claimed", "released", "done"]
    answer: _Answer | None = None


@dataclasses.dataclass(slots=True)
class Claim:
    """One claim of an idempotency key.

    Attributes:
        row_key: Key of the row.
        claim_id: Random id of the claim.
        digest: Digest of the request.
        if_version: Row version on which the claim's write is conditional.
        version: Version of the row with the claim; None if unknown.
        maybe_written: Whether the claim may be in the table, now or later.
        held_by_other: Whether another claim holds the key.
        started: Whether the call has been started.
    """

    row_key: str
    claim_id: str
    digest: str
    if_version: int = 0
    version: int | None = None
    maybe_written: bool = False
    held_by_other: bool = False
    started: bool = False

    def make_row_value(self, state: str) -> dict[str, Any]:
        """Returns the row value of the claim in the given state."""
        return {
            "claim_id": self.claim_id,
            "digest": self.digest,
            "state": state,
            "at_s": int(time.time()),
        }


def is_claim(row: platform.Row) -> bool:
    """Returns whether a row has a valid claim; logs why it has none."""
    try:
        content = msgspec.convert(row.value, _ClaimRow)
        if content.state == DONE:
            if content.answer is None:
                raise ValueError("the answer is missing")
            base64.b64decode(content.answer.body or "")
    except (msgspec.ValidationError, ValueError) as error:
        log.warning("row is no claim", key=row.key, error=str(error))
        return False
    return True


class ResultWriter:
    """Writes results of claims, and retries while the platform is down.

    Args:
        table: The platform's table.
        counters: Metrics of the node.
    """

    def __init__(self, table: platform.Table, counters: metrics.Metrics):
        self.table = table
        self.counters = counters
        self.deferred: dict[str, tuple[Claim, dict[str, Any]]] = {}
        self.deferred_added = anyio.Event()
        self.all_written = anyio.Event()

    async def write_or_defer(self, claim: Claim, value: dict[str, Any]) -> None:
        """Writes the result of a claim; defers it if the platform fails."""
        try:
            await self._write(claim, value)
        except platform.PlatformError:
            self.defer(claim, value)

    def defer(self, claim: Claim, value: dict[str, Any]) -> None:
        """Queues a result to be written when the platform is back."""
        claim.version = None
        self.deferred[claim.claim_id] = (claim, value)
        self.counters.events.inc({"event": "claim_result_deferred"})
        while len(self.deferred) > MAX_DEFERRED:
            self.deferred.pop(next(iter(self.deferred)))
            self.counters.events.inc({"event": "claim_result_dropped"})
        self.deferred_added.set()

    async def run(self) -> None:
        """Writes deferred results until cancelled."""
        while True:
            await self.deferred_added.wait()
            self.deferred_added = anyio.Event()
            while self.deferred:
                await anyio.sleep(RETRY_DELAY_S)
                await self.flush()
            self.all_written.set()
            self.all_written = anyio.Event()

    async def drain(self, timeout_s: float) -> None:
        """Waits until no result is deferred, for at most timeout_s."""
        with anyio.move_on_after(timeout_s):
            while self.deferred:
                await self.all_written.wait()
        if self.deferred:
            log.warning(
                "results of claims not written; their keys stay claimed",
                count=len(self.deferred),
            )

    async def flush(self) -> None:
        """Tries to write all deferred results once, oldest first."""
        for claim_id, (claim, value) in list(self.deferred.items()):
            try:
                await self._write(claim, value)
            except platform.PlatformError:
                return
            except invariants.BrokenInvariantError:
                # Another try would fail alike, and hold up the others.
                del self.deferred[claim_id]
                raise
            self.deferred.pop(claim_id, None)

    async def _write(self, claim: Claim, value: dict[str, Any]) -> None:
        """Replaces the row of the claim, and no other row, with a result.

        Raises:
            PlatformError: It is unknown whether the result was written.
        """
        state = value["state"]
        invariants.require(state != CLAIMED, "claim_result_state")
        while True:
            version = claim.version
            if version is None:
                row = await self.table.read(claim.row_key)
                version = _writable_version(claim, value, row)
            if version is None:
                return
            write = platform.Write(claim.row_key, value, version)
            try:
                await self.table.transact([write])
            except platform.ConflictError:
                claim.version = None
                continue
            self.counters.events.inc({"event": f"claim_{state}"})
            return


def _writable_version(
    claim: Claim, value: dict[str, Any], row: platform.Row | None
) -> int | None:
    """Returns the row version to replace with a result, or None.

    A claim whose write got no response may still take effect later. Replacing
    the row that this write is conditional on with "released" prevents that.
    """
    if row is None or (row.value is None and not row.malformed):
        return 0
    if row.value is None or not is_claim(row):
        return None
    if row.value["claim_id"] == claim.claim_id:
        return row.version if row.value["state"] == CLAIMED else None
    is_release = value["state"] == RELEASED
    if is_release and row.version == claim.if_version and not claim.started:
        invariants.require(row.value["state"] == RELEASED, "claim_released")
        return row.version
    return None
