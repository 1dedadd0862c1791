"""Tells other nodes of deadlines that moved while they hold attempts.

Load pattern: a node stops, and the calls that it took must end before its
process is killed. Their attempts wait in the queues of other nodes with the
deadlines that they were sent with. Once told of the earlier ones, these nodes
refuse at once what they can't serve in time, and keep the rest in their queues.

POST /_peer/deadlines {"left_ms": {ATTEMPT: MS}}
    -> {"unknown": [ATTEMPT]}: attempts that have not arrived, or have ended
"""

from typing import Annotated

import anyio
import msgspec
import structlog

from waxwingferry import decoding
from waxwingferry.connection import exchange
from waxwingferry.connection import pool
from waxwingferry.process import attempts
from waxwingferry.process.choice import known_target
from waxwingferry.request import calls

PATH = "/_peer/deadlines"
# An entry node takes fewer calls at once.
MAX_ATTEMPTS = 2000
MAX_LEFT_MS = 10**9
SEND_TIMEOUT_S = 0.5
# An attempt may be on its way when its update arrives.
MAX_SENDS = 3
SEND_INTERVAL_S = 0.1

log = structlog.get_logger()

Address = tuple[str, int]


class Update(msgspec.Struct, frozen=True):
    """Time left until the deadlines of attempts.

    Attributes:
        left_ms: Milliseconds by attempt ID.
    """

    left_ms: Annotated[
        dict[str, Annotated[int, msgspec.Meta(ge=0, le=MAX_LEFT_MS)]],
        msgspec.Meta(max_length=MAX_ATTEMPTS),
    ]


class Reply(msgspec.Struct, frozen=True):
    """Result of an update.

    Attributes:
        unknown: IDs of the attempts that the node does not hold.
    """

    unknown: list[str]


_UPDATE = msgspec.json.Decoder(Update)
_REPLY = msgspec.json.Decoder(Reply)


class DeadlineUpdates:
    """Sends updates for the attempts that this node has at other nodes.

    Args:
        connect: Opens a connection.

    Attributes:
        sent: Deadlines of the attempts at each node, by ID.
    """

    def __init__(self, connect: pool.Connect = pool.connect_tcp):
        self.connect = connect
        self.sent: dict[Address, dict[str, calls.Deadline]] = {}

    def add(
        self, candidate: known_target.Candidate, attempt: calls.Attempt
    ) -> None:
        """Adds an attempt that another node is about to get."""
        address = (candidate.host, candidate.peer_port)
        deadlines = self.sent.setdefault(address, {})
        deadlines[attempt.attempt_id] = attempt.deadline

    def remove(
        self, candidate: known_target.Candidate, attempt: calls.Attempt
    ) -> None:
        """Removes an attempt whose outcome, or loss, is known."""
        address = (candidate.host, candidate.peer_port)
        deadlines = self.sent[address]
        del deadlines[attempt.attempt_id]
        if not deadlines:
            del self.sent[address]

    async def run(self, cutoff: calls.Cutoff) -> None:
        """Sends updates each time the cutoff has moved, until cancelled."""
        moved = cutoff.moved
        while True:
            await moved.wait()
            # It may move once more while the updates are sent.
            moved = cutoff.moved
            await self.send()

    async def send(self) -> None:
        """Tells all nodes that hold attempts of their present deadlines."""
        async with anyio.create_task_group() as group:
            for address, deadlines in self.sent.items():
                group.start_soon(self._send_to, address, deadlines)

    async def _send_to(
        self, address: Address, deadlines: dict[str, calls.Deadline]
    ) -> None:
        """Tells one node until it knows all attempts that are in progress."""
        client = exchange.Client(*address, self.connect)
        pending = list(deadlines)
        count = len(pending)
        try:
            for number in range(MAX_SENDS):
                if number:
                    await anyio.sleep(SEND_INTERVAL_S)
                pending = [item for item in pending if item in deadlines]
                if not pending:
                    break
                pending = await _exchange(client, deadlines, pending)
        finally:
            with anyio.CancelScope(shield=True):
                await client.close()
        # Of the others the deadline is known here only; they are resolved then.
        log.info(
            "deadlines moved at another node",
            host=address[0],
            port=address[1],
            attempts=count,
            unconfirmed=len(pending),
        )


async def _exchange(
    client: exchange.Client,
    deadlines: dict[str, calls.Deadline],
    pending: list[str],
) -> list[str]:
    """Sends one update; returns the attempts that it did not reach."""
    left_ms = {
        item: calls.find_next_hop_ms(deadlines[item]) for item in pending
    }
    body = msgspec.json.encode(Update(left_ms))
    try:
        reply = await client.request("POST", PATH, SEND_TIMEOUT_S, body)
        if reply.status != 200:
            log.warning("deadlines not moved", status=reply.status)
            return pending
        return decoding.decode(_REPLY.decode, reply.body).unknown
    except (exchange.ExchangeError, decoding.DecodingError) as error:
        log.warning("deadlines not moved", error=str(error))
        return pending


def receive(records: attempts.Attempts, body: bytes) -> bytes:
    """Applies an update of another node; returns the body of the response.

    Raises:
        decoding.DecodingError: The update is malformed.
    """
    update = decoding.decode(_UPDATE.decode, body)
    unknown = [
        attempt_id
        for attempt_id, left_ms in update.left_ms.items()
        if not records.move_deadline(
            attempt_id, calls.make_deadline(left_ms / 1000).at_s
        )
    ]
    return msgspec.json.encode(Reply(unknown))
