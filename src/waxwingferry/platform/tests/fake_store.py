"""In-memory fake of the metadata store, with its published HTTP protocol."""

import base64
from collections.abc import Callable
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
# Response timeout of the clients in tests.
TIMEOUT_S = 0.3


@dataclasses.dataclass
class StoreAccess:
    """Faults of one node's access to the store.

    Attributes:
        status: Status of all responses, or 0 to serve requests.
        hangs: Whether requests are neither executed nor answered.
        drop_responses: Whether requests are executed but not answered.
        write_delay_s: Delay before a write is executed, even if the client
            no longer waits for it.
        before_write: Called before a write is executed.
    """

    status: int = 0
    hangs: bool = False
    drop_responses: bool = False
    write_delay_s: float = 0.0
    before_write: Callable[[], None] = lambda: None


@dataclasses.dataclass
class StoreCopy:
    """Copy of the rows, changes and newest version of a store."""

    rows: dict[tuple[str, str, str], dict]
    changes: list[dict]
    version: int


class FakeStore:
    """Rows in memory, served over HTTP.

    Attributes:
        access: Access of the single node in most tests.
        oldest_kept: Oldest version whose later changes are kept.
        era: One more than the number of restores from a copy.
        states_era: Whether responses state the era.
        polled: Set once a poll waits for changes.
        connections: Connections on which a request was received.
        silent: Connections that stay open and deliver nothing more.
    """

    def __init__(self):
        self.rows: dict[tuple[str, str, str], dict] = {}
        self.changes: list[dict] = []
        self.version = 0
        self.change_event = anyio.Event()
        self.access = StoreAccess()
        self.oldest_kept = 0
        self.era = store.FIRST_ERA
        self.states_era = True
        self.polled = anyio.Event()
        self.paths_called: list[str] = []
        self.connections: set[http1.ServerConnection] = set()
        self.silent: set[http1.ServerConnection] = set()

    def silence(self) -> None:
        """Silences all open connections; new ones work."""
        self.silent |= self.connections

    def put(self, table: str, key: str, value: bytes | dict) -> int:
        """Writes a row without a condition; returns its version."""
        content = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        encoded = base64.b64encode(content).decode()
        self.version += 1
        self._apply_write({"table": table, "part": "", "key": key}, encoded)
        return self.version

    def remove(self, table: str, key: str) -> None:
        """Deletes a row without a condition."""
        self.version += 1
        self._apply_write({"table": table, "part": "", "key": key}, None)

    def _apply_write(self, row_key: dict, value: str | None) -> None:
        row_id = (row_key["table"], row_key["part"], row_key["key"])
        self.change_event.set()
        self.change_event = anyio.Event()
        if value is None:
            self.rows.pop(row_id, None)
            self.changes.append(
                {**row_key, "ver": self.version, "deleted": True}
            )
            return
        row = {**row_key, "value": value, "ver": self.version}
        self.rows[row_id] = row
        self.changes.append(row)

    def copy(self) -> "StoreCopy":
        """Returns a copy that the store can be restored from."""
        return StoreCopy(dict(self.rows), list(self.changes), self.version)

    def restore(self, copy: "StoreCopy") -> None:
        """Replaces all rows by those of a copy; versions go back."""
        self.rows = dict(copy.rows)
        self.changes = list(copy.changes)
        self.version = copy.version
        self.era += 1
        self.change_event.set()
        self.change_event = anyio.Event()

    def make_server(self, access: StoreAccess) -> serve.Server:
        """Returns a server for a node with the given access."""
        return serve.Server(functools.partial(self.handle, access))

    async def handle(
        self,
        access: StoreAccess,
        connection: http1.ServerConnection,
        head: http1.RequestHead,
    ) -> None:
        """Handles one request."""
        body = b""
        while chunk := await connection.receive_chunk():
            body += chunk
        url = urllib.parse.urlsplit(head.target)
        params = dict(urllib.parse.parse_qsl(url.query))
        self.paths_called.append(url.path)
        self.connections.add(connection)
        if access.hangs or connection in self.silent:
            await anyio.sleep_forever()
        if access.status:
            await connection.send_head(access.status, self._make_headers(), b"")
            return
        match url.path:
            case "/-/rows-tx":
                with anyio.CancelScope(shield=True):
                    await anyio.sleep(access.write_delay_s)
                access.before_write()
                status, data = self._transact(json.loads(body))
            case "/-/rows-get":
                status, data = 200, self._read_page(params)
            case "/-/rows-feed":
                status, data = await self._wait_for_changes(params)
            case _:
                status, data = 404, {}
        if access.drop_responses or connection in self.silent:
            await anyio.sleep_forever()
        data = {**data, "ver": self.version, "now": "1000ms"}
        await connection.send_head(
            status, self._make_headers(), json.dumps(data).encode()
        )

    def _make_headers(self) -> http1.Headers:
        return [("Store-Era", str(self.era))] if self.states_era else []

    def _transact(self, body: dict) -> tuple[int, dict]:
        row_ids = [_row_id(item) for item in body["expected-rev"]]
        rows = [self.rows.get(row_id) for row_id in row_ids]
        for item, row in zip(body["expected-rev"], rows, strict=True):
            if (row["ver"] if row else 0) != item["ver"]:
                return 412, {"rows": [row for row in rows if row]}
        self.version += 1
        for item in body["writes"]:
            self._apply_write(_row_key(item), item["value"])
        for item in body["remove"]:
            self._apply_write(_row_key(item), None)
        return 200, {}

    def _read_page(self, params: dict) -> dict:
        page_size = 2
        rows = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == params["table"]
            and part == params.get("part", "")
            and key >= params.get("from", "")
            and ("target" not in params or key < params["target"])
        ]
        return {"rows": rows[:page_size], "has-more": len(rows) > page_size}

    async def _wait_for_changes(self, params: dict) -> tuple[int, dict]:
        after = int(params["after"])
        if after < self.oldest_kept or after > self.version:
            return 410, {}
        rows = self._find_changes(params["table"], after)
        with anyio.move_on_after(int(params["wait-ms"]) / 1000):
            while not rows:
                self.polled.set()
                await self.change_event.wait()
                rows = self._find_changes(params["table"], after)
        return 200, {"rows": rows}

    def _find_changes(self, table: str, after: int) -> list[dict]:
        return [
            row
            for row in self.changes
            if row["table"] == table and row["ver"] > after
        ]


def _row_id(item: dict) -> tuple[str, str, str]:
    return item["table"], item["part"], item["key"]


def _row_key(item: dict) -> dict:
    return {"table": item["table"], "part": item["part"], "key": item["key"]}


@contextlib.asynccontextmanager
async def run_store():
    """Runs a fake store; yields it and a client of it."""
    fake = FakeStore()
    async with anyio.create_task_group() as group:
        yield fake, await connect_node(fake, fake.access, group)
        group.cancel_scope.cancel()


async def connect_node(
    fake: FakeStore, access: StoreAccess, group: anyio.abc.TaskGroup
) -> store.StoreTable:
    """Returns the client of another node, which has its own access."""
    server = fake.make_server(access)
    group.start_soon(server.serve, HOST, 0)
    await server.listening.wait()
    client = exchange.Client(HOST, server.port)
    return store.StoreTable(client, TIMEOUT_S)
