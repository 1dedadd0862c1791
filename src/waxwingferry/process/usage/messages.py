"""Messages about usage between nodes.

GET /usage?from_age_ms=A&to_age_ms=B&holder=NODE
    -> {"wall_ms", "counts", "incarnation"}: the runs that began between A and
       B ago, when the question arrives; the wall clock at that time
POST /usage {"nodes": [{"node", "incarnation", "runs": [[AGE_MS, COUNTS]]}]}
    -> 200: the records of nodes that leave
"""

from collections.abc import Iterable
import dataclasses
import typing
from typing import Any

import msgspec

from waxwingferry import decoding
from waxwingferry import deferred
from waxwingferry.connection import query
from waxwingferry.process.usage import records
from waxwingferry.process.usage import windows

if typing.TYPE_CHECKING:
    from urllib import parse as url_parsing
else:
    url_parsing = deferred.Module("urllib.parse")

PATH = "/usage"
# Ages beyond the retention of records count as that.
MAX_AGE_MS = 10**9
MAX_NODE_CHARACTERS = 63
MAX_HAND_OVER_NODES = 256
# Runs of one node that is restarted: 60 s in steps of 20 ms.
MAX_HAND_OVER_RUNS = 3000
# A hand-over of one busy node has 20 to 100 kB; a leaving holder passes on
# those of others.
MAX_HAND_OVER_BYTES = 4 * 1024 * 1024


class MessageError(Exception):
    """A message is malformed."""


@dataclasses.dataclass(slots=True, frozen=True)
class Question:
    """What the holder asks of a node; ages are in milliseconds."""

    from_age_ms: int
    to_age_ms: int
    holder: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """What a node answers.

    Attributes:
        wall_s: The node's wall clock.
        incarnation: Incarnation of the node's process, or "" if not stated.
    """

    wall_s: float
    counts: windows.Counts
    incarnation: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class HandedOver:
    """Records of a node that left.

    Attributes:
        incarnation: Incarnation of the process that recorded them.
        runs: In any order; times are of this machine's boot clock.
    """

    node: str
    incarnation: str
    runs: tuple[records.Run, ...]


def is_usage_path(target: str) -> bool:
    """Tells whether a request between nodes is about usage."""
    return target.partition("?")[0] == PATH


def format_question(question: Question) -> str:
    """Returns the request target of a question."""
    fields = query.format_query(
        {
            "from_age_ms": question.from_age_ms,
            "to_age_ms": question.to_age_ms,
            "holder": question.holder,
        }
    )
    return f"{PATH}?{fields}"


def parse_question(target: str) -> Question:
    """Parses the request target of a question.

    Raises:
        MessageError: The question is malformed.
    """
    try:
        values = dict(
            url_parsing.parse_qsl(
                target.partition("?")[2], max_num_fields=8, strict_parsing=True
            )
        )
    except ValueError as error:
        raise MessageError(f"query: {error}") from error
    from_age = decoding.parse_count(values.get("from_age_ms", ""))
    to_age = decoding.parse_count(values.get("to_age_ms", ""))
    if from_age is None or to_age is None or from_age < to_age:
        raise MessageError("from_age_ms, to_age_ms: must be two ages")
    holder = values.get("holder", "")
    if len(holder) > MAX_NODE_CHARACTERS:
        raise MessageError("holder: too long")
    return Question(min(from_age, MAX_AGE_MS), min(to_age, MAX_AGE_MS), holder)


def format_reply(reply: Reply) -> bytes:
    """Returns the body of a reply."""
    return msgspec.json.encode(
        {
            "wall_ms": round(reply.wall_s * 1000),
            "counts": reply.counts,
            "incarnation": reply.incarnation,
        }
    )


def parse_reply(data: Any) -> Reply:
    """Validates the decoded body of a reply.

    Raises:
        MessageError: The reply is malformed or out of bounds.
    """
    if not isinstance(data, dict):
        raise MessageError("reply: must be an object")
    wall_ms = data.get("wall_ms")
    if type(wall_ms) is not int or not 0 < wall_ms < 2**53:
        raise MessageError("wall_ms: must be milliseconds since 1970")
    incarnation = data.get("incarnation", "")
    if (
        not isinstance(incarnation, str)
        or len(incarnation) > MAX_NODE_CHARACTERS
    ):
        raise MessageError("incarnation: must be a short string")
    return Reply(wall_ms / 1000, _parse_counts(data.get("counts")), incarnation)


def format_hand_over(nodes: Iterable[HandedOver], now_s: float) -> bytes:
    """Returns the body of a hand-over.

    Args:
        nodes: Records of one or several nodes.
        now_s: Boot clock, from which ages are counted.
    """
    return msgspec.json.encode(
        {
            "nodes": [
                {
                    "node": item.node,
                    "incarnation": item.incarnation,
                    "runs": [
                        [
                            max(round((now_s - run.began_s) * 1000), 0),
                            run.counts,
                        ]
                        for run in item.runs
                    ],
                }
                for item in nodes
            ]
        }
    )


def parse_hand_over(body: bytes, now_s: float) -> list[HandedOver]:
    """Validates the body of a hand-over.

    Args:
        body: Body of the request.
        now_s: Boot clock, to which ages are converted.

    Raises:
        MessageError: The hand-over is malformed or out of bounds.
    """
    try:
        data = decoding.decode_json(body)
    except decoding.DecodingError as error:
        raise MessageError(str(error)) from error
    nodes = data.get("nodes") if isinstance(data, dict) else None
    if not isinstance(nodes, list) or len(nodes) > MAX_HAND_OVER_NODES:
        raise MessageError(
            f"nodes: must be a list of up to {MAX_HAND_OVER_NODES}"
        )
    return [_parse_node(item, now_s) for item in nodes]


def _parse_node(data: Any, now_s: float) -> HandedOver:
    if not isinstance(data, dict):
        raise MessageError("nodes: must hold objects")
    names = [data.get("node"), data.get("incarnation")]
    for name in names:
        if not isinstance(name, str) or not (
            0 < len(name) <= MAX_NODE_CHARACTERS
        ):
            raise MessageError("node, incarnation: must be short strings")
    runs = data.get("runs")
    if not isinstance(runs, list) or len(runs) > MAX_HAND_OVER_RUNS:
        raise MessageError(
            f"runs: must be a list of up to {MAX_HAND_OVER_RUNS}"
        )
    parsed: list[records.Run] = []
    for item in runs:
        if not isinstance(item, list) or len(item) != 2:
            raise MessageError("runs: must hold pairs")
        age_ms, counts = item
        if type(age_ms) is not int or not 0 <= age_ms <= MAX_AGE_MS:
            raise MessageError("runs: the age must be milliseconds")
        parsed.append(records.Run(now_s - age_ms / 1000, _parse_counts(counts)))
    return HandedOver(data["node"], data["incarnation"], tuple(parsed))


def _parse_counts(data: Any) -> windows.Counts:
    try:
        return windows.parse_counts(data)
    except windows.CountsError as error:
        raise MessageError(str(error)) from error
