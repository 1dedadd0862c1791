"""What a node does about usage: records, answers, keeps, hands over."""

from collections.abc import Callable
import dataclasses
import time

import structlog

from waxwingferry import boot_clock
from waxwingferry.connection import http1
from waxwingferry.process.usage import messages
from waxwingferry.process.usage import records
from waxwingferry.process.usage import windows

# Bounds what the hand-overs of others take, in runs.
MAX_HANDED_OVER_RUNS = 50_000
# Share of the retention that is handed over. Older runs are reported by then,
# unless no node could take the duty over for this long.
HAND_OVER_SHARE = 0.5

log = structlog.get_logger()


class LocalUsage:
    """Records of this node, and of nodes that left and handed over theirs.

    Args:
        node: Name of this node.
        incarnation: Random id of this process.
        clock: Returns the boot clock in seconds.
        wall_clock: Returns the seconds since the start of 1970.
        retention_s: Time for which records are kept.

    Attributes:
        holder: Node that asked last, or "".
        asked_s: Boot clock of the last question, or of the start.
        handed_over: Records of nodes that left, by node and incarnation,
            oldest first.
    """

    def __init__(
        self,
        node: str,
        incarnation: str,
        clock: Callable[[], float] = boot_clock.read_s,
        wall_clock: Callable[[], float] = time.time,
        retention_s: float = records.RETENTION_S,
    ):
        self.node = node
        self.incarnation = incarnation
        self.clock = clock
        self.wall_clock = wall_clock
        self.retention_s = retention_s
        self.records = records.Records(clock, retention_s=retention_s)
        self.holder = ""
        self.asked_s = clock()
        self.handed_over: dict[tuple[str, str], messages.HandedOver] = {}
        self.received_s: dict[tuple[str, str], float] = {}

    def answer(self, question: messages.Question) -> messages.Reply:
        """Returns the reply to a question that arrives now."""
        if question.holder:
            self.holder = question.holder
            self.asked_s = self.clock()
        counts = self.records.count(
            question.from_age_ms / 1000, question.to_age_ms / 1000
        )
        return messages.Reply(self.wall_clock(), counts, self.incarnation)

    def keep(self, nodes: list[messages.HandedOver]) -> None:
        """Keeps what nodes that leave hand over."""
        now_s = self.clock()
        for item in nodes:
            key = item.node, item.incarnation
            if key == (self.node, self.incarnation):
                continue
            self.handed_over.pop(key, None)
            self.handed_over[key] = item
            self.received_s[key] = now_s
            log.info("usage handed over", by=item.node, groups=len(item.runs))
        self._remove_old()

    def _remove_old(self) -> None:
        total = sum(len(item.runs) for item in self.handed_over.values())
        oldest_s = self.clock() - self.retention_s
        for key in list(self.handed_over):
            expired = self.received_s[key] < oldest_s
            if not expired and total <= MAX_HANDED_OVER_RUNS:
                return
            if not expired:
                log.warning("usage handed over dropped", by=key[0])
            total -= len(self.handed_over.pop(key).runs)
            del self.received_s[key]

    def count_handed_over(
        self, from_s: float, to_s: float, answered: set[tuple[str, str]]
    ) -> dict[tuple[str, str], windows.Counts]:
        """Counts the handed-over runs between two times of the boot clock.

        Args:
            from_s: First time that is included.
            to_s: First time that is not included any more.
            answered: Nodes and incarnations that are left out, because they
                answered the question themselves.
        """
        self._remove_old()
        return {
            key: windows.merge(
                run.counts for run in item.runs if from_s <= run.began_s < to_s
            )
            for key, item in self.handed_over.items()
            if key not in answered
        }

    def make_hand_over(self) -> bytes:
        """Returns the newest records of this node and of nodes that left."""
        now_s = self.clock()
        age_s = self.retention_s * HAND_OVER_SHARE
        oldest_s = now_s - age_s
        own = messages.HandedOver(
            self.node,
            self.incarnation,
            tuple(
                self.records.list_runs(age_s)[-messages.MAX_HAND_OVER_RUNS :]
            ),
        )
        nodes = [own]
        for item in reversed(self.handed_over.values()):
            runs = tuple(run for run in item.runs if run.began_s >= oldest_s)
            if runs and len(nodes) < messages.MAX_HAND_OVER_NODES:
                nodes.append(dataclasses.replace(item, runs=runs))
        return messages.format_hand_over(nodes, now_s)


async def answer_request(
    connection: http1.ServerConnection,
    head: http1.RequestHead,
    usage: LocalUsage | None,
) -> None:
    """Responds to a question or a hand-over of another node."""
    parts: list[bytes] = []
    size = 0
    while (chunk := await connection.receive_chunk()) is not None:
        size += len(chunk)
        if size <= messages.MAX_HAND_OVER_BYTES:
            parts.append(chunk)
    if usage is None:
        await connection.send_head(404, [], b"")
        return
    try:
        if head.method == "POST":
            if size > messages.MAX_HAND_OVER_BYTES:
                raise messages.MessageError("the body is too large")
            usage.keep(messages.parse_hand_over(b"".join(parts), usage.clock()))
            await connection.send_head(200, [], b"")
            return
        reply = usage.answer(messages.parse_question(head.target))
    except messages.MessageError as error:
        log.warning("malformed message about usage", error=str(error))
        await connection.send_head(400, [], b"")
        return
    headers = [("content-type", "application/json")]
    await connection.send_head(200, headers, messages.format_reply(reply))
