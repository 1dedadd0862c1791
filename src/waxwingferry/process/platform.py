"""The platform's table service and object store, as the system needs them.

This module is the only place that knows the platform's protocol. Another
implementation provides the two classes Table and ObjectStore describe.

The HTTP protocol of the table service:

    POST /table/transact {"writes": [{"key", "value", "if_version"}]}
        200 {"versions": [...]}, or 409 {"key", "row"} and nothing is written.
    GET /table/row?key=K -> 200 {"row": {...} or null}
    GET /table/rows?prefix=P&after_version=V -> 200 {"rows": [...]}
"""

import dataclasses
from typing import Any
from typing import Protocol

import httpx

REQUEST_TIMEOUT_S = 2.0


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


class HttpTable:
    """Table over HTTP with JSON."""

    def __init__(self, client: httpx.AsyncClient):
        self.client = client

    async def read(self, key: str) -> Row | None:
        """See Table."""
        data = await self._request("GET", "/table/row", params={"key": key})
        return _make_row(data["row"]) if data["row"] else None

    async def scan(self, prefix: str, after_version: int = 0) -> list[Row]:
        """See Table."""
        params = {"prefix": prefix, "after_version": str(after_version)}
        data = await self._request("GET", "/table/rows", params=params)
        return [_make_row(item) for item in data["rows"]]

    async def transact(self, writes: list[Write]) -> list[int]:
        """See Table."""
        body = {"writes": [dataclasses.asdict(write) for write in writes]}
        data = await self._request("POST", "/table/transact", json=body)
        return data["versions"]

    async def _request(self, method: str, path: str, **kwargs) -> Any:
        try:
            response = await self.client.request(method, path, **kwargs)
        except (httpx.HTTPError, OSError) as error:
            raise PlatformError(f"{path}: {error!r}") from error
        if response.status_code == 409:
            data = response.json()
            row = _make_row(data["row"]) if data["row"] else None
            raise ConflictError(data["key"], row)
        if response.status_code != 200:
            raise PlatformError(f"{path}: status {response.status_code}")
        return response.json()


class HttpObjectStore:
    """Object store over HTTP."""

    def __init__(self, client: httpx.AsyncClient):
        self.client = client

    async def get(self, name: str) -> bytes | None:
        """See ObjectStore."""
        response = await self._request("GET", name)
        return None if response.status_code == 404 else response.content

    async def put(self, name: str, data: bytes) -> None:
        """See ObjectStore."""
        await self._request("PUT", name, content=data)

    async def _request(self, method: str, name: str, **kwargs):
        path = f"/objects/{name}"
        try:
            response = await self.client.request(method, path, **kwargs)
        except (httpx.HTTPError, OSError) as error:
            raise PlatformError(f"{path}: {error!r}") from error
        if response.status_code not in (200, 204, 404):
            raise PlatformError(f"{path}: status {response.status_code}")
        return response


def make_client(platform_url: str) -> httpx.AsyncClient:
    """Returns the HTTP client for the platform's services."""
    return httpx.AsyncClient(
        base_url=platform_url, timeout=REQUEST_TIMEOUT_S, trust_env=False
    )


def _make_row(data: dict[str, Any]) -> Row:
    return Row(data["key"], data["value"], data["version"])
