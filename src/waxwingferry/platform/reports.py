"""What targets say of themselves, as the product's announcements."""

import re
from typing import Literal

import msgspec

from waxwingferry.platform import values
from waxwingferry.process import target
from waxwingferry.process.protection import lifetimes

_PATH = re.compile(r"/-/instances/([^/]+)/(heartbeat|deregister)")


class ReportError(Exception):
    """A report that names no target to use."""


class _Info(msgspec.Struct):
    service: str
    version: str
    zone: str
    slots: int


class _Status(msgspec.Struct, rename="kebab"):
    """The changing part of a report.

    Attributes:
        sequence: Grows with each report of one start.
        warmup_left: How long the target still is cold.
    """

    state: Literal["ready", "draining"]
    sequence: int
    warmup_left: str = "0ms"


class _Report(msgspec.Struct):
    """A whole report; `born` is the start in Unix milliseconds."""

    address: str
    info: _Info
    status: _Status
    born: int = 0


def match_path(path: str) -> tuple[str, bool] | None:
    """Returns target and whether it leaves, or None for another path."""
    match = _PATH.fullmatch(path)
    return (match[1], match[2] == "deregister") if match else None


def parse_report(target_id: str, body: bytes) -> lifetimes.Report:
    """Returns a report of a target.

    Raises:
        ReportError: It is malformed.
    """
    try:
        read = msgspec.json.decode(body, type=_Report)
        host, port = values.parse_address(read.address)
        cold_s = values.parse_time(read.status.warmup_left)
        # The start is part of the name, because an id may be used again.
        name = target.format_start(target_id, read.born)
        announcement = msgspec.convert(
            {
                "service": read.info.service,
                "version": read.info.version,
                "slots": read.info.slots,
                "host": host,
                "port": port,
                "incarnation": name,
                "state": read.status.state,
            },
            target.Announcement,
        )
    except (msgspec.DecodeError, values.ValueFormatError) as error:
        raise ReportError(str(error)) from error
    return lifetimes.Report(
        target_id, read.born, read.status.sequence, cold_s, announcement
    )
