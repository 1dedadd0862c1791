"""Reads the current document from the table and writes new revisions.

Rows in the table:

    document/current          {"revision", "change_id", "document"}
    document/history/<n>      {"revision", "who", "when", "why", "change_id",
                               "document"}

Both are written in one transaction, so that each revision has a history row.
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
    """A new document submitted by an operator.

    Attributes:
        base: Revision that the change is based on; 0 means none.
        change_id: Random identifier that shows whether a write whose response
            was lost has taken effect.
    """

    document: document.Document
    base: int
    who: str
    why: str
    change_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """The change was written to the table."""

    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """Another change was written first; this one was not.

    Attributes:
        revision: The newest revision.
        who: Author of the newest revision.
        why: Reason given for the newest revision.
        difference: Unified diff from the base to the newest revision.
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
    """The current document, stored in the platform's table.

    Args:
        table: The platform's table.
        on_change: Called after a newer revision was activated.
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
        """Reads the newest document from the table.

        Returns:
            Whether a newer revision was activated.

        Raises:
            platform.PlatformError: The table could not be read.
        """
        row = await self.table.read(document.DOCUMENT_KEY)
        if row is None or row.value is None:
            return False
        number = _revision_of(row)
        return self.apply_if_newer(number, row.value.get("document"))

    async def accept(self, change: Change) -> Result:
        """Writes a change and its history row, or returns why it did not.

        The write is sent at most once. If its response is lost, the history
        row is read back to find out whether the write took effect.
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
        """Reads the history row to find out whether a change was written."""
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
                reason = (
                    "the response was lost and the revision does not exist yet"
                )
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
    """Returns the number of the document in a row.

    Raises:
        platform.PlatformError: The row is no document.
    """
    if row is None or row.value is None:
        return 0
    number = row.value.get("revision")
    if type(number) is not int:
        raise platform.PlatformError(f"{row.key}: not a document")
    return number
