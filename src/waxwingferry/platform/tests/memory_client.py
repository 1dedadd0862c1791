"""Client of a fake store without network, whose responses overtake others."""

import json
import random
import urllib.parse

import anyio.lowlevel

from waxwingferry.connection import exchange
from waxwingferry.platform import store
from waxwingferry.platform.tests import fake_store


class MemoryClient:
    """Client whose requests and responses take a random number of steps.

    Attributes:
        fake: The store.
        rng: Source of the delays.
    """

    def __init__(self, fake: fake_store.FakeStore, rng: random.Random):
        self.fake = fake
        self.rng = rng

    async def request(
        self,
        method: str,
        request_target: str,
        timeout_s: float,
        body: bytes = b"",
        headers: object = (),
    ) -> exchange.Reply:
        """See exchange.Client."""
        await self.delay()
        url = urllib.parse.urlsplit(request_target)
        params = dict(urllib.parse.parse_qsl(url.query))
        status = 200
        match url.path:
            case "/-/rows-get":
                data = self.fake._read_page(params)
            case "/-/rows-feed":
                # The wait is left out; the version must be that of the rows.
                after = int(params["after"])
                data = {"rows": self.fake._find_changes(params["table"], after)}
            case "/-/rows-tx":
                status, data = self.fake._transact(json.loads(body))
        content = json.dumps({**data, "ver": self.fake.version}).encode()
        reply_headers = self.fake._make_headers()
        await self.delay()
        return exchange.Reply(status, reply_headers, content)

    async def close(self) -> None:
        """See exchange.Client."""

    async def delay(self) -> None:
        """Lets other tasks run for a while."""
        for _ in range(self.rng.choice((0, 0, 1, 2, 5, 12))):
            await anyio.lowlevel.checkpoint()


def make_table(
    fake: fake_store.FakeStore, rng: random.Random
) -> store.StoreTable:
    """Returns a client of a store."""
    client = MemoryClient(fake, rng)
    return store.StoreTable(client)  # type: ignore[arg-type]
