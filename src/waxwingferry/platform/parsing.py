"""Values as the platform writes them."""

import re
from typing import Any

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")


class ValueFormatError(Exception):
    """A value has another form than the platform documents."""


def parse_duration(value: Any) -> float:
    """Returns a time such as "1500ms" or "2.5s" in seconds.

    Raises:
        ValueFormatError: It is not a number with its unit.
    """
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueFormatError(f"{value!r}: must be a number with ms or s")
    number = float(match[1])
    return number / 1000 if match[2] == "ms" else number


def parse_address(value: Any) -> tuple[str, int]:
    """Returns host and port of an address such as "10.1.0.38:8145".

    Raises:
        ValueFormatError: It is not an IP number with a port.
    """
    host, _, port = (
        value.rpartition(":") if isinstance(value, str) else ("",) * 3
    )
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueFormatError(f"{value!r}: must be an IP number with a port")
    return host, int(port)
