"""Client of the administration API."""

import os
import secrets
from typing import Any

import httpx

from waxwingferry.process import program

NODES_VARIABLE = "WAXWINGFERRY_NODES"
TOKEN_VARIABLE = "WAXWINGFERRY_TOKEN"
CONNECT_TIMEOUT_S = 2.0
# Longer than a node takes to verify a write to the platform whose response
# was lost, by reading the row again.
ANSWER_TIMEOUT_S = 30.0


class ConflictError(program.CommandError):
    """The document was changed concurrently; the message shows the change."""


class Client:
    """Client that uses the first of several nodes that accepts a connection.

    Args:
        addresses: Admin listeners as "host:port".
        token: Bearer token.
        transport: Replaces the network in tests.
    """

    def __init__(
        self,
        addresses: list[str],
        token: str,
        transport: httpx.BaseTransport | None = None,
    ):
        self.addresses = addresses
        self.token = token
        self.http = httpx.Client(
            trust_env=False,
            timeout=httpx.Timeout(ANSWER_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            transport=transport,
            headers={"authorization": f"Bearer {token}"},
        )

    def get_document(self, revision: int = 0) -> tuple[int, Any]:
        """Returns number and content of a revision; 0 selects the newest."""
        query = {"revision": str(revision)} if revision else {}
        data = self._get("/document", query)
        return data["revision"], data["document"]

    def get_history(self, last: int) -> list[dict[str, Any]]:
        """Returns the latest history rows, newest first."""
        return self._get("/history", {"last": str(last)})["history"]

    def get_choice(self, service: str) -> list[dict[str, Any]]:
        """Returns the targets the node would choose from, cheapest first."""
        return self._get("/choice", {"service": service})["targets"]

    def get_status(self, address: str) -> dict[str, Any] | None:
        """Returns the status of a node, or None if it does not respond."""
        try:
            reply = self.http.get(f"http://{address}/status")
        except httpx.HTTPError:
            return None
        return reply.json() if reply.status_code == 200 else None

    def put_document(self, content: Any, base: int, why: str) -> int:
        """Sends a change once and returns its revision number.

        Raises:
            ConflictError: The base is no longer the newest revision.
            program.CommandError: The change was rejected, or its outcome is
                unknown.
        """
        change_id = secrets.token_hex(16)
        body = {
            "base": base,
            "document": content,
            "why": why,
            "change_id": change_id,
        }
        try:
            reply = self._send("PUT", "/document", json=body)
        except httpx.HTTPError as error:
            return self._find_change(base + 1, change_id, repr(error))
        data = _parse_json_object(reply)
        match reply.status_code:
            case 200:
                return data["revision"]
            case 409:
                raise ConflictError(_describe_conflict(base, data))
            case 504:
                return self._find_change(base + 1, change_id, data["error"])
        raise program.CommandError(_describe_failure(reply, data))

    def _find_change(self, number: int, change_id: str, reason: str) -> int:
        """Looks up a change in the history after its response was lost."""
        try:
            rows = self.get_history(20)
        except program.CommandError as error:
            rows = []
            reason += f"; {error}"
        for row in rows:
            if row["change_id"] == change_id:
                return row["revision"]
        raise program.CommandError(
            f"unknown whether the change took effect ({reason}); "
            f"look for change {change_id} at revision {number} in the history"
        )

    def _get(self, path: str, query: dict[str, str]) -> dict[str, Any]:
        try:
            reply = self._send("GET", path, params=query)
        except httpx.HTTPError as error:
            raise program.CommandError(f"{path}: {error!r}") from error
        data = _parse_json_object(reply)
        if reply.status_code != 200:
            raise program.CommandError(_describe_failure(reply, data))
        return data

    def _send(self, method: str, path: str, **kwargs) -> httpx.Response:
        """Sends a request to the first node that accepts a connection.

        The next node is tried only if no connection could be opened, so
        that a request that may have arrived is never sent twice.
        """
        for address in self.addresses[:-1]:
            try:
                url = f"http://{address}{path}"
                return self.http.request(method, url, **kwargs)
            except (httpx.ConnectError, httpx.ConnectTimeout):
                continue
        url = f"http://{self.addresses[-1]}{path}"
        return self.http.request(method, url, **kwargs)


def make_client() -> Client:
    """Returns a client configured by environment variables.

    Raises:
        program.UsageError: A variable is missing.
    """
    node_list = os.environ.get(NODES_VARIABLE, "")
    addresses = [item.strip() for item in node_list.split(",") if item.strip()]
    if not addresses:
        raise program.UsageError(
            f"{NODES_VARIABLE}: missing; set it to admin listeners, "
            "such as 10.0.0.1:9104,10.0.0.2:9104"
        )
    return Client(addresses, os.environ.get(TOKEN_VARIABLE, ""))


def _parse_json_object(reply: httpx.Response) -> dict[str, Any]:
    try:
        data = reply.json()
    except ValueError:
        data = {}
    return data if isinstance(data, dict) else {}


def _describe_conflict(base: int, data: dict[str, Any]) -> str:
    return (
        f"another change came first: revision {data['revision']} "
        f"by {data['who']}: {data['why']}\n"
        f"changed since revision {base}:\n{data['difference']}"
    )


def _describe_failure(reply: httpx.Response, data: dict[str, Any]) -> str:
    if reply.status_code == 404 and not data:
        return "this node serves no document: its settings have no admin_tokens"
    if reply.status_code == 401:
        return (
            f"{TOKEN_VARIABLE}: token is missing or not accepted by this node"
        )
    lines = data.get("errors") or [data.get("error", "no reason given")]
    return "\n".join([f"status {reply.status_code}", *lines])
