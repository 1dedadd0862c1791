"""Decodes the heartbeats that targets of the platform send to their node."""

import re
from typing import Annotated
from typing import Literal

import msgspec

from waxwingferry import decoding
from waxwingferry.platform import parsing
from waxwingferry.process import target
from waxwingferry.process.protection import registration

# A larger number would make all later heartbeats outdated.
_MAX_BORN_MS = 10**13
_MAX_SEQUENCE = 2**53
_PATH = re.compile(r"/-/instances/([^/]+)/(heartbeat|deregister)")


class HeartbeatError(Exception):
    """A heartbeat is malformed."""


class _Info(msgspec.Struct):
    service: str
    version: str
    zone: str
    slots: int


class _Status(msgspec.Struct, rename="kebab"):
    """Part of a heartbeat that changes while a target runs.

    Attributes:
        sequence: Increases with each heartbeat of an incarnation.
        warmup_left: Remaining warm-up time.
    """

    state: Literal["ready", "draining"]
    sequence: Annotated[int, msgspec.Meta(ge=0, le=_MAX_SEQUENCE)]
    warmup_left: str = "0ms"


class _Heartbeat(msgspec.Struct):
    """A heartbeat.

    Attributes:
        born: Start time of the target, in Unix milliseconds.
    """

    address: str
    info: _Info
    status: _Status
    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_BORN_MS)] = 0


_DECODER = msgspec.json.Decoder(_Heartbeat)


def parse_path(path: str) -> tuple[str, bool] | None:
    """Returns the target id and whether the target deregisters, or None."""
    match = _PATH.fullmatch(path)
    return (match[1], match[2] == "deregister") if match else None


def parse_heartbeat(target_id: str, body: bytes) -> registration.Heartbeat:
    """Decodes a heartbeat of a target.

    Raises:
        HeartbeatError: The heartbeat is malformed.
    """
    try:
        heartbeat = decoding.decode(_DECODER.decode, body)
        host, port = parsing.parse_address(heartbeat.address)
        warmup_left_s = parsing.parse_duration(heartbeat.status.warmup_left)
        # Target ids may be reused, so the incarnation contains the start time.
        incarnation = target.format_incarnation(target_id, heartbeat.born)
        announcement = msgspec.convert(
            {
                "service": heartbeat.info.service,
                "version": heartbeat.info.version,
                "slots": heartbeat.info.slots,
                "host": host,
                "port": port,
                "incarnation": incarnation,
                "state": heartbeat.status.state,
            },
            target.Announcement,
        )
    except (
        decoding.DecodingError,
        msgspec.ValidationError,
        parsing.ValueFormatError,
    ) as error:
        raise HeartbeatError(str(error)) from error
    return registration.Heartbeat(
        target_id,
        heartbeat.born,
        heartbeat.status.sequence,
        warmup_left_s,
        announcement,
    )
