"""Tells from the log of a run where requests are refused, and why.

The log is the output of nodes with one JSON object per line, which may follow
a time in seconds and the name of the node:

    python benchmarks/refusal_report.py LOG [--from_s 20] [--until_s 28]

It prints the refused requests by service and reason, the attempts that targets'
nodes refused by their state, and both per second.
"""

import collections
from collections.abc import Iterator
import dataclasses
import math
import re
import sys

import fire
import msgspec

_LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*\})\s*")
# Queues from this length on are reported together.
LONG_QUEUE = 8
ROWS = 20


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """One log line.

    Attributes:
        at_s: Time of the line in seconds.
        node: Name of the node that wrote it.
        fields: The logged fields.
    """

    at_s: float
    node: str
    fields: dict


def read_entries(path: str) -> Iterator[Entry]:
    """Yields the log lines of a file; other lines are counted and skipped."""
    skipped = 0
    decoder = msgspec.json.Decoder(dict)
    with open(path, encoding="utf-8") as file:
        for line in file:
            match = _LINE.fullmatch(line)
            try:
                if match is None:
                    raise msgspec.DecodeError("no log line")
                fields = decoder.decode(match[3])
            except msgspec.DecodeError:
                skipped += 1
                continue
            yield Entry(float(match[1]), match[2], fields)
    print(f"{skipped} lines of {path} are no log lines", file=sys.stderr)


def describe_refused_attempt(fields: dict, service: str) -> str:
    """Returns the state of the target's node that refused an attempt."""
    queue = fields.get("queue") or 0
    length = f"{queue}" if queue < LONG_QUEUE else f"{LONG_QUEUE} or more"
    parts = [service, fields["reason"], f"queue {length}"]
    if fields.get("paced"):
        parts.append("rate-limited")
    if fields.get("slowness", 1.0) >= 2.0:
        parts.append("slow machine")
    return ", ".join(parts)


def _print_most_common(title: str, counts: collections.Counter) -> None:
    print(f"\n{title}: {sum(counts.values())}")
    for name, count in counts.most_common(ROWS):
        print(f"{count:8d}  {name}")


def report(
    path: str, from_s: float = -math.inf, until_s: float = math.inf
) -> None:
    """Prints the report of one log.

    Args:
        path: The log file.
        from_s: Time of the first line that counts.
        until_s: Time of the first line that doesn't count any more.
    """
    services: dict[str, str] = {}
    requests: collections.Counter = collections.Counter()
    attempts: collections.Counter = collections.Counter()
    by_second: dict[int, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    for entry in read_entries(path):
        event = entry.fields.get("event")
        if event == "target announced":
            services[entry.node] = entry.fields["service"]
        if not from_s <= entry.at_s < until_s:
            continue
        second = by_second[math.floor(entry.at_s)]
        match event:
            case "request answered":
                second["answered"] += 1
            case "request refused":
                # Without a service if no route matched or no document is known.
                service = entry.fields.get("service") or "no service"
                requests[f"{service}, {entry.fields['reason']}"] += 1
                second["refused"] += 1
            case "attempt refused":
                service = services.get(entry.node, "unknown")
                attempts[describe_refused_attempt(entry.fields, service)] += 1
                second["attempts"] += 1
    _print_most_common("requests refused", requests)
    _print_most_common("attempts refused by targets' nodes", attempts)
    print("\n  second  answered  refused  attempts refused")
    for number in sorted(by_second):
        second = by_second[number]
        print(
            f"{number:8d}  {second['answered']:8d}  {second['refused']:7d}"
            f"  {second['attempts']:16d}"
        )


if __name__ == "__main__":
    fire.Fire(report)
