"""Parsers of durations and addresses in the platform's formats."""

import re
from typing import Any

# Longer numbers may be infinite as a float, or too long for int().
_DURATION = re.compile(r"([0-9]{1,12}(?:\.[0-9]+)?)(ms|s)")
_PORT = re.compile(r"[0-9]{1,5}")


class ValueFormatError(Exception):
    """A value does not match the format that the platform documents."""


def parse_text(value: Any) -> str:
    """Returns a text that isn't empty.

    Raises:
        ValueFormatError: The value is something else.
    """
    if not isinstance(value, str) or not value:
        raise ValueFormatError(f"{value!r}: must be a non-empty string")
    return value


def parse_duration(value: Any) -> float:
    """Returns a duration such as "1500ms" or "2.5s" in seconds.

    Raises:
        ValueFormatError: The value is not a number with a unit.
    """
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueFormatError(
            f"{value!r}: must be a number with the unit ms or s"
        )
    number = float(match[1])
    return number / 1000 if match[2] == "ms" else number


def parse_address(value: Any) -> tuple[str, int]:
    """Returns host and port of an address such as "10.1.0.38:8145".

    Raises:
        ValueFormatError: The value is not an IP address with a port.
    """
    host, _, port = (
        value.rpartition(":") if isinstance(value, str) else ("",) * 3
    )
    if not host or not _PORT.fullmatch(port) or not 0 < int(port) < 65536:
        raise ValueFormatError(f"{value!r}: must be an IP address with a port")
    return host, int(port)
