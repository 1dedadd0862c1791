"""A requester that keeps its connection for many requests."""

import asyncio

import fleet as fleets


class KeptConnection:
    """One connection of a requester to a node.

    Args:
        fleet: The fleet.
        machine: The machine whose node it is connected to.
    """

    def __init__(self, fleet: fleets.Fleet, machine: fleets.Machine):
        self.fleet = fleet
        self.machine = machine
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.opened_s = 0.0

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        host: str = "shop.example",
        deadline_ms: int = 3000,
    ) -> fleets.Reply:
        """Sends a request on the connection, which is opened if need be."""
        record = self.fleet.record
        if self.reader is None or self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                *self.machine.outbound
            )
            self.opened_s = record.now_s()
        request_id = f"{self.fleet.rng.getrandbits(64):016x}"
        record.write(
            f"{request_id} {method} {path}, {len(body)} bytes, "
            f"-> {self.machine.name}, connection of {self.opened_s:.3f}"
        )
        fields = [
            ("host", host),
            ("x-waxwingferry-attempt-id", request_id),
            ("x-waxwingferry-deadline-ms", str(deadline_ms)),
        ]
        message = fleets.encode(f"{method} {path} HTTP/1.1", fields, body)
        reply = fleets.Reply(0, [], b"")
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                # The answer may come before the body was sent.
                self.writer.write(message)
                line, headers = await fleets.read_head(self.reader)
                answer = await fleets.read_body(self.reader, headers)
                reply = fleets.Reply(int(line.split(" ")[1]), headers, answer)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            reply.error = repr(error)
        record.write(f"{request_id} answered: {reply.status} {reply.error}")
        closing = fleets.find(reply.headers, "connection").lower() == "close"
        if closing or not reply.status:
            self.close()
        return reply

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
