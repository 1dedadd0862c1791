"""The document in force at this node, and accepting a new one.

Rows in the table:

    document/current          {"revision", "change_id", "document"}
    document/history/<n>      {"revision", "who", "when", "why", "change_id",
                               "document"}

Both are written in one transaction, so that no revision lacks its history.
"""

from collections.abc import Callable
import dataclasses
import datetime
import time
from typing import Any

import anyio

from waxwingferry.process import platform
from waxwingferry.process.spreading import current_document
from waxwingferry.version import document

HISTORY_PREFIX = "document/history/"
READ_BACK_DELAYS_S = (0.1, 0.2, 0.4, 0.8, 1.6, 2.0)


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """A document that an operator wants to be in force.

    Attributes:
        base: Revision that the change was made from; 0 means none.
        change_id: Random name, by which a lost answer is resolved.
    """

    document: document.Document
    base: int
    who: str
    why: str
    change_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """The change is in the table under a revision number."""

    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """Another change came first; nothing was written.

    Attributes:
        revision: The newest revision.
        who: Who made it.
        why: Why it was made.
        difference: What changed since the base, as a unified diff.
    """

    revision: int
    who: str
    why: str
    difference: str


@dataclasses.dataclass(slots=True, frozen=True)
class Undecided:
    """The write may take effect later, or not at all."""

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Unavailable:
    """Nothing was written because the platform could not be read."""

    reason: str


Result = Accepted | Conflict | Undecided | Unavailable


class Configuration(current_document.CurrentDocument):
    """The document in force, read from the table and changed there.

    Args:
        table: The platform's table.
        on_change: Called after a newer revision came into force.
        sleep: Waits for a number of seconds.
    """

    def __init__(
        self,
        table: platform.Table,
        on_change: Callable[[], None] = lambda: None,
        sleep: Callable = anyio.sleep,
    ):
        super().__init__(document.parse_revision, on_change)
        self.table = table
        self.sleep = sleep

    async def read(self) -> bool:
        """Takes the newest document from the table.

        Raises:
            platform.PlatformError: The table could not be read.
        """
        row = await self.table.read(document.DOCUMENT_KEY)
        if row is None or row.value is None:
            return False
        return self.apply_if_newer(row.value["revision"], row.value["document"])

    async def accept(self, change: Change) -> Result:
        """Writes a change with its history row, or tells why not.

        The write is sent at most once. If its answer is lost, the rows are
        read back.
        """
        try:
            row = await self.table.read(document.DOCUMENT_KEY)
            if _revision_of(row) != change.base:
                return await self._describe_conflict(change)
        except platform.PlatformError as error:
            return Unavailable(str(error))
        result = await self._write(change, row)
        if isinstance(result, Accepted):
            self.apply_if_newer(
                result.revision, change.document.model_dump(mode="json")
            )
        return result

    async def _write(self, change: Change, row: platform.Row | None) -> Result:
        number = change.base + 1
        content = change.document.model_dump(mode="json")
        now = datetime.datetime.fromtimestamp(time.time(), datetime.UTC)
        current = {
            "revision": number,
            "change_id": change.change_id,
            "document": content,
        }
        history = {
            **current,
            "who": change.who,
            "why": change.why,
            "when": now.isoformat(timespec="milliseconds"),
        }
        live = row is not None and row.value is not None
        version = row.version if row is not None and live else 0
        writes = [
            platform.Write(document.DOCUMENT_KEY, current, version),
            platform.Write(_history_key(number), history, 0),
        ]
        try:
            await self.table.transact(writes)
        except platform.ConflictError:
            return await self._read_back(change, True)
        except platform.PlatformError:
            return await self._read_back(change, False)
        return Accepted(number)

    async def _read_back(self, change: Change, refused: bool) -> Result:
        """Finds out by reading whether a change was written."""
        reason = "the write was refused, then the platform did not answer"
        for delay_s in READ_BACK_DELAYS_S:
            try:
                row = await self.table.read(_history_key(change.base + 1))
                if row is not None and row.value is not None:
                    if row.value["change_id"] == change.change_id:
                        return Accepted(change.base + 1)
                    return await self._describe_conflict(change)
                if refused:
                    return await self._describe_conflict(change)
                reason = "the answer was lost and no such revision is there yet"
            except platform.PlatformError as error:
                reason = str(error)
            await self.sleep(delay_s)
        return Undecided(reason)

    async def _describe_conflict(self, change: Change) -> Conflict:
        row = await self.table.read(document.DOCUMENT_KEY)
        number = _revision_of(row)
        if row is None or row.value is None:
            return Conflict(0, "", "", "")
        self.apply_if_newer(number, row.value["document"])
        newest = document.Document.model_validate(row.value["document"])
        latest = await self.read_history(number) or {"who": "", "why": ""}
        difference = await self._compare(change.base, number, newest)
        return Conflict(number, latest["who"], latest["why"], difference)

    async def _compare(
        self, base: int, number: int, newest: document.Document
    ) -> str:
        row = await self.read_history(base)
        if row is None and base > 0:
            return f"revision {base} is not in the history"
        old = document.Document()
        if row is not None:
            old = document.Document.model_validate(row["document"])
        names = (f"revision {base}", f"revision {number}")
        return document.compare(old, newest, names)

    async def read_history(self, number: int) -> dict[str, Any] | None:
        """Returns a revision's history row, or None.

        Raises:
            platform.PlatformError: The table could not be read.
        """
        row = await self.table.read(_history_key(number))
        return row.value if row is not None else None


def _history_key(number: int) -> str:
    return f"{HISTORY_PREFIX}{number:010d}"


def _revision_of(row: platform.Row | None) -> int:
    if row is None or row.value is None:
        return 0
    return row.value["revision"]
