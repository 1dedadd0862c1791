"""The platform's table service and object store, as the system needs them.

`process.http_table` speaks the project's own protocol for them; the package
`platform` speaks that of the users' platform.
"""

import dataclasses
from typing import Any
from typing import Protocol


class PlatformError(Exception):
    """The platform did not give a usable answer; a write may have worked."""


class ConflictError(Exception):
    """A write's condition did not hold and nothing was written.

    Attributes:
        row: The row as it is now, or None if there is none.
    """

    def __init__(self, key: str, row: "Row | None"):
        super().__init__(f"row {key} has changed")
        self.row = row


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """One row of a table.

    Attributes:
        key: Key of the row.
        value: JSON object, or None for a deleted row.
        version: Commit number of the last write; grows over all rows.
    """

    key: str
    value: dict[str, Any] | None
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Write:
    """One write of a transaction.

    Attributes:
        key: Key of the row.
        value: New value; None deletes the row.
        if_version: Version the row must have; 0 means that there is no
            such row, None that any version will do.
    """

    key: str
    value: dict[str, Any] | None
    if_version: int | None = None


class Table(Protocol):
    """A transactional table."""

    async def read(self, key: str) -> Row | None:
        """Returns a row. Raises PlatformError."""

    async def scan(self, prefix: str, after_version: int = 0) -> list[Row]:
        """Returns rows written after a version. Raises PlatformError."""

    async def transact(self, writes: list[Write]) -> list[int]:
        """Applies all writes or none; returns the new versions.

        Raises:
            ConflictError: A condition did not hold; nothing was written.
            PlatformError: The outcome is unknown.
        """


class ObjectStore(Protocol):
    """A store of named byte strings."""

    async def get(self, name: str) -> bytes | None:
        """Returns an object, or None. Raises PlatformError."""

    async def put(self, name: str, data: bytes) -> None:
        """Writes an object. Raises PlatformError."""
