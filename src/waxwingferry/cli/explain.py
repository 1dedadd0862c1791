"""Explains how a request was handled, from the logs of several processes."""

from collections.abc import Iterable
import dataclasses
import datetime
import json
import pathlib
import sys
from typing import Any

from waxwingferry.process import program
from waxwingferry.request import outcome

STANDARD_INPUT = "-"
# Changes at a node this long before a request may have affected it; longer
# than a load report or a network interruption stays relevant.
CONTEXT_WINDOW_S = 5.0
MAX_CONTEXT_LINES = 20
# Fields that all lines have or that are printed separately.
_COMMON_FIELDS = ("request", "event", "level", "timestamp")

_REASON_TEXTS = {
    outcome.Reason.NO_ROUTE: "no route of the document fits host and path",
    outcome.Reason.KEY_MISSING: "the request had no API key",
    outcome.Reason.KEY_UNKNOWN: "no workspace of the document held the API key",
    outcome.Reason.KEY_MALFORMED: "the Authorization field was no bearer key",
    outcome.Reason.KEY_REPEATED: "there was more than one Authorization field",
    outcome.Reason.NO_DOCUMENT: "the entry knew no document yet",
    outcome.Reason.NO_TARGET: "no target of the service could be used",
    outcome.Reason.BUSY: "the target's machine had turned slow",
    outcome.Reason.QUEUE_FULL: "the target had no slot and its queue was full",
    outcome.Reason.LOAD_SHED: "targets refused all calls of some requests",
    outcome.Reason.NO_ROOM: "connections of the node held too much memory",
    outcome.Reason.DISPLACED: "a more urgent request took its queue place",
    outcome.Reason.DEADLINE_TOO_SHORT: "too little time was left to be served",
    outcome.Reason.DOMAIN_OUT: "the target's failure domain was out",
    outcome.Reason.LEAVING: "the target or its node was leaving",
    outcome.Reason.WRONG_INCARNATION: "the target had been started anew",
    outcome.Reason.CONNECTION_REFUSED: "nobody listened at the address",
    outcome.Reason.CONNECTION_LOST: "the connection broke after the request",
    outcome.Reason.CONNECTION_SILENT: "the connection had gone silent",
    outcome.Reason.NODE_SILENT: "the target's node did not answer",
    outcome.Reason.TIMEOUT: "the time ran out while the request ran",
    outcome.Reason.ANSWER_CUT: "the target's answer ended early",
    outcome.Reason.TARGET_REFUSED: "the target itself refused",
    outcome.Reason.TARGET_ENDED: "the target ended under several requests",
    outcome.Reason.ENDED_TARGET: "the target ended, likely by this request",
    outcome.Reason.CRASHES_TARGETS: "targets had ended while they ran the same",
}


@dataclasses.dataclass(frozen=True)
class LogLine:
    """Log line.

    Attributes:
        at_s: Unix time of the line by the clock of its process, in seconds.
        source: Name of the process: given by the log collector, or else the
            file name.
        fields: Fields of the line.
    """

    at_s: float
    source: str
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """Name of the logged event."""
        return str(self.fields.get("event", ""))


def read_lines(names: Iterable[str]) -> list[LogLine]:
    """Returns the lines of log files, sorted by time.

    Log collectors write a prefix before the JSON object of a line; its last
    word is used as the name of the process. Lines without a JSON object are
    ignored.

    Args:
        names: Paths, or "-" for standard input.

    Raises:
        program.UsageError: A file can't be read.
    """
    lines: list[LogLine] = []
    for name in names:
        for text in _read_log(name).splitlines():
            line = _parse_line(text, name)
            if line is not None:
                lines.append(line)
    return sorted(lines, key=lambda line: line.at_s)


def _read_log(name: str) -> str:
    if name == STANDARD_INPUT:
        return sys.stdin.read()
    try:
        return pathlib.Path(name).read_text("utf-8", errors="replace")
    except OSError as error:
        raise program.UsageError(
            f"logs = {name!r}: must be readable files or '-': {error.strerror}"
        ) from error


def _parse_line(text: str, name: str) -> LogLine | None:
    prefix, brace, rest = text.partition("{")
    try:
        fields = json.loads(brace + rest)
        recorded_at = datetime.datetime.fromisoformat(fields["timestamp"])
    except (ValueError, KeyError, TypeError):
        return None
    prefix_words = prefix.split()
    return LogLine(
        recorded_at.timestamp(),
        prefix_words[-1] if prefix_words else name,
        fields,
    )


def explain(lines: list[LogLine], request: str) -> str:
    """Returns a report on a request: context, decisions and outcome.

    Args:
        lines: Lines of all processes, sorted by time.
        request: ID of the request.

    Raises:
        program.CommandError: No line belongs to the request.
    """
    chain = [line for line in lines if line.fields.get("request") == request]
    if not chain:
        raise program.CommandError(
            f"request = {request!r}: not in the {len(lines)} lines read; they "
            "may be older, or were dropped (look for 'log lines dropped')"
        )
    start_s = chain[0].at_s
    text = [f"request {request}"]
    context = _find_context(lines, chain)
    if context:
        text.append("before it, at the nodes concerned:")
        text += [_format_line(line, start_s) for line in context]
    text.append("decisions:")
    text += [_format_line(line, start_s) for line in chain]
    text.append(f"outcome: {_summarize_outcome(chain)}")
    return "\n".join(text)


def _find_context(lines: list[LogLine], chain: list[LogLine]) -> list[LogLine]:
    """Returns lines on changes at the nodes that handled the request."""
    nodes = {line.source for line in chain}
    nodes |= {line.fields["node"] for line in chain if "node" in line.fields}
    context = [
        line
        for line in lines
        if "request" not in line.fields
        and chain[0].at_s - CONTEXT_WINDOW_S <= line.at_s <= chain[-1].at_s
        and (line.source in nodes or line.fields.get("node") in nodes)
    ]
    return context[-MAX_CONTEXT_LINES:]


def _format_line(line: LogLine, start_s: float) -> str:
    offset_ms = (line.at_s - start_s) * 1000
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _COMMON_FIELDS
    )
    return f"  {offset_ms:+9.1f} ms  {line.source}  {line.event}  {fields}"


def _summarize_outcome(chain: list[LogLine]) -> str:
    last = chain[-1]
    status = last.fields.get("status")
    ending = f"{last.event} with {status}" if status else last.event
    causes = []
    for line in chain:
        try:
            reason = outcome.Reason(line.fields.get("reason"))
        except ValueError:
            continue
        cause = _REASON_TEXTS.get(reason, reason.value.replace("_", " "))
        if cause not in causes:
            causes.append(cause)
    return f"{ending}; {', then '.join(causes)}" if causes else ending
