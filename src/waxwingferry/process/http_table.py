"""Clients for a table and an object store that are served over HTTP.

POST /table/transact {"writes": [{"key", "value", "if_version"}]}
    200 {"versions": [...]}, or 409 {"key", "row"} if nothing was written
GET /table/row?key=K -> 200 {"row": {...} or null}
GET /table/rows?prefix=P&after_version=V -> 200 {"rows": [...]}
"""

from collections.abc import Callable
import dataclasses
from typing import Any
from typing import TypeVar

import httpx
import structlog

from waxwingferry import decoding
from waxwingferry.process import platform

REQUEST_TIMEOUT_S = 2.0

log = structlog.get_logger()

_ResultType = TypeVar("_ResultType")


class HttpTable:
    """Client of a table over HTTP with JSON bodies."""

    def __init__(self, client: httpx.AsyncClient):
        self.client = client

    async def read(self, key: str) -> platform.Row | None:
        """See platform.Table."""
        data = await self._request("GET", "/table/row", params={"key": key})
        return _convert(_make_optional_row, data)

    async def scan(
        self, prefix: str, after_version: int = 0
    ) -> list[platform.Row]:
        """See platform.Table."""
        params = {"prefix": prefix, "after_version": str(after_version)}
        data = await self._request("GET", "/table/rows", params=params)
        return _convert(
            lambda content: [_make_row(item) for item in content["rows"]], data
        )

    async def transact(self, writes: list[platform.Write]) -> list[int]:
        """See platform.Table."""
        body = {"writes": [dataclasses.asdict(write) for write in writes]}
        data = await self._request("POST", "/table/transact", json=body)
        return _convert(lambda content: list(content["versions"]), data)

    async def _request(self, method: str, path: str, **kwargs) -> Any:
        try:
            response = await self.client.request(method, path, **kwargs)
        except (httpx.HTTPError, OSError) as error:
            raise platform.PlatformError(f"{path}: {error!r}") from error
        if response.status_code == 409:
            data = _decode(path, response)
            row = _convert(_make_optional_row, data)
            raise platform.ConflictError(str(data.get("key")), row)
        if response.status_code != 200:
            raise platform.PlatformError(
                f"{path}: status {response.status_code}"
            )
        return _decode(path, response)


class HttpObjectStore:
    """Client of an object store over HTTP."""

    def __init__(self, client: httpx.AsyncClient):
        self.client = client

    async def get(self, name: str) -> bytes | None:
        """See platform.ObjectStore."""
        response = await self._request("GET", name)
        return None if response.status_code == 404 else response.content

    async def put(self, name: str, data: bytes) -> None:
        """See platform.ObjectStore."""
        await self._request("PUT", name, content=data)

    async def _request(self, method: str, name: str, **kwargs):
        path = f"/objects/{name}"
        try:
            response = await self.client.request(method, path, **kwargs)
        except (httpx.HTTPError, OSError) as error:
            raise platform.PlatformError(f"{path}: {error!r}") from error
        if response.status_code not in (200, 204, 404):
            raise platform.PlatformError(
                f"{path}: status {response.status_code}"
            )
        return response


def make_client(platform_url: str) -> httpx.AsyncClient:
    """Returns an HTTP client for the services of the platform."""
    return httpx.AsyncClient(
        base_url=platform_url, timeout=REQUEST_TIMEOUT_S, trust_env=False
    )


def _decode(path: str, response: httpx.Response) -> Any:
    try:
        return decoding.decode_json(response.content)
    except decoding.DecodingError as error:
        raise platform.PlatformError(f"{path}: {error}") from error


def _convert(make: Callable[[Any], _ResultType], data: Any) -> _ResultType:
    """Returns what make returns, given the JSON data of a response.

    Raises:
        platform.PlatformError: The data has another form.
    """
    try:
        return make(data)
    except (AttributeError, LookupError, TypeError) as error:
        raise platform.PlatformError(
            f"response of another form: {error!r}"
        ) from error


def _make_optional_row(data: dict[str, Any]) -> platform.Row | None:
    return _make_row(data["row"]) if data["row"] else None


def _make_row(data: dict[str, Any]) -> platform.Row:
    key, value, version = data["key"], data["value"], data["version"]
    malformed = not isinstance(value, dict | None)
    if malformed:
        log.warning("row has no object as its value", key=key, version=version)
    return platform.Row(key, None if malformed else value, version, malformed)
