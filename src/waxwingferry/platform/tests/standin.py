"""A stand-in of the platform's metadata store, over its published protocol."""

import base64
import contextlib
import dataclasses
import functools
import json
import urllib.parse

import anyio
import anyio.abc

from waxwingferry.connection import exchange
from waxwingferry.connection import http1
from waxwingferry.connection import serve
from waxwingferry.platform import store

HOST = "127.0.0.1"
# Time that the clients of tests wait for an answer.
TIMEOUT_S = 0.3


@dataclasses.dataclass
class Access:
    """How one node reaches the store.

    Attributes:
        status: Status that all calls get, or 0 to serve them.
        silent: Whether calls are neither carried out nor answered.
        lose_answers: Whether calls are carried out and not answered.
        write_delay_s: Time after which a write is carried out, whether or
            not the caller still waits for it.
    """

    status: int = 0
    silent: bool = False
    lose_answers: bool = False
    write_delay_s: float = 0.0


class Store:
    """Rows in memory, served over HTTP.

    Attributes:
        access: How the only node of most tests reaches the store.
        oldest: Version from which on changes are kept.
    """

    def __init__(self):
        self.rows: dict[tuple[str, str, str], dict] = {}
        self.changes: list[dict] = []
        self.ver = 0
        self.changed = anyio.Event()
        self.access = Access()
        self.oldest = 0
        self.calls: list[str] = []

    def put(self, table: str, key: str, value: bytes | dict) -> int:
        """Writes a row as the operator does; returns its version."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        encoded = base64.b64encode(raw).decode()
        self.ver += 1
        self._apply({"table": table, "part": "", "key": key}, encoded)
        return self.ver

    def remove(self, table: str, key: str) -> None:
        """Removes a row as the operator does."""
        self.ver += 1
        self._apply({"table": table, "part": "", "key": key}, None)

    def _apply(self, row_key: dict, value: str | None) -> None:
        name = (row_key["table"], row_key["part"], row_key["key"])
        self.changed.set()
        self.changed = anyio.Event()
        if value is None:
            self.rows.pop(name, None)
            self.changes.append({**row_key, "ver": self.ver, "deleted": True})
            return
        row = {**row_key, "value": value, "ver": self.ver}
        self.rows[name] = row
        self.changes.append(row)

    def make_server(self, access: Access) -> serve.Server:
        """Returns a server for the node with this access."""
        return serve.Server(functools.partial(self.handle, access))

    async def handle(
        self,
        access: Access,
        connection: http1.ServerConnection,
        head: http1.RequestHead,
    ) -> None:
        """Answers one call."""
        body = b""
        while chunk := await connection.receive_chunk():
            body += chunk
        url = urllib.parse.urlsplit(head.target)
        fields = dict(urllib.parse.parse_qsl(url.query))
        self.calls.append(url.path)
        if access.silent:
            await anyio.sleep_forever()
        if access.status:
            await connection.send_head(access.status, [], b"")
            return
        match url.path:
            case "/-/rows-tx":
                with anyio.CancelScope(shield=True):
                    await anyio.sleep(access.write_delay_s)
                status, data = self._transact(json.loads(body))
            case "/-/rows-get":
                status, data = 200, self._get(fields)
            case "/-/rows-feed":
                status, data = await self._feed(fields)
            case _:
                status, data = 404, {}
        if access.lose_answers:
            await anyio.sleep_forever()
        data = {**data, "ver": self.ver, "now": "1000ms"}
        await connection.send_head(status, [], json.dumps(data).encode())

    def _transact(self, body: dict) -> tuple[int, dict]:
        named = [_name(item) for item in body["expected-rev"]]
        found = [self.rows.get(name) for name in named]
        for item, row in zip(body["expected-rev"], found, strict=True):
            if (row["ver"] if row else 0) != item["ver"]:
                return 412, {"rows": [row for row in found if row]}
        self.ver += 1
        for item in body["writes"]:
            self._apply(_place(item), item["value"])
        for item in body["remove"]:
            self._apply(_place(item), None)
        return 200, {}

    def _get(self, fields: dict) -> dict:
        limit = 2
        rows = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == fields["table"]
            and part == fields.get("part", "")
            and key >= fields.get("from", "")
            and ("target" not in fields or key < fields["target"])
        ]
        return {"rows": rows[:limit], "has-more": len(rows) > limit}

    async def _feed(self, fields: dict) -> tuple[int, dict]:
        after = int(fields["after"])
        if after < self.oldest:
            return 410, {}
        rows = self._find_changes(fields["table"], after)
        with anyio.move_on_after(int(fields["wait-ms"]) / 1000):
            while not rows:
                await self.changed.wait()
                rows = self._find_changes(fields["table"], after)
        return 200, {"rows": rows}

    def _find_changes(self, table: str, after: int) -> list[dict]:
        return [
            row
            for row in self.changes
            if row["table"] == table and row["ver"] > after
        ]


def _name(item: dict) -> tuple[str, str, str]:
    return item["table"], item["part"], item["key"]


def _place(item: dict) -> dict:
    return {"table": item["table"], "part": item["part"], "key": item["key"]}


@contextlib.asynccontextmanager
async def run_store():
    """Runs a stand-in; yields it and a table that talks to it."""
    made = Store()
    async with anyio.create_task_group() as group:
        yield made, await connect_node(made, made.access, group)
        group.cancel_scope.cancel()


async def connect_node(
    made: Store, access: Access, group: anyio.abc.TaskGroup
) -> store.StoreTable:
    """Returns the table of a node that reaches the store in its own way."""
    server = made.make_server(access)
    group.start_soon(server.serve, HOST, 0)
    await server.listening.wait()
    client = exchange.Client(HOST, server.port)
    return store.StoreTable(client, TIMEOUT_S)
