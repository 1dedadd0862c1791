"""Decodes bytes that come from outside the process.

Decoders signal invalid bytes with errors of several classes. For example,
`msgspec` raises a RecursionError on deeply nested data, even in fields that it
skips. The functions here turn all of them into a DecodingError.
"""

from collections.abc import Callable
import re
from typing import Any
from typing import TypeVar

import msgspec

# A value that can be decoded may still be nested too deep to be compared or
# encoded, depending on the depth of the call stack.
MAX_NESTING = 64

# Further digits would not be exact as a float.
_COUNT = re.compile(r"[0-9]{1,15}")

_ValueType = TypeVar("_ValueType")


class DecodingError(Exception):
    """The bytes are not a valid encoding of a value of the expected type."""


def decode(decoder: Callable[[bytes], _ValueType], data: bytes) -> _ValueType:
    """Returns the value that a decoder of msgspec returns.

    Raises:
        DecodingError: The bytes are invalid.
    """
    try:
        return decoder(data)
    except (
        msgspec.MsgspecError,
        ArithmeticError,
        RecursionError,
        ValueError,
    ) as error:
        raise DecodingError(f"{type(error).__name__}: {error}") from error


def decode_json(data: bytes) -> Any:
    """Returns a JSON value of any type.

    Raises:
        DecodingError: The bytes are not JSON, or nested too deep.
    """
    value = decode(msgspec.json.decode, data)
    level = _find_containers([value])
    for _ in range(MAX_NESTING):
        if not level:
            return value
        level = [child for item in level for child in _find_containers(item)]
    raise DecodingError(f"nested deeper than {MAX_NESTING} levels")


def parse_count(text: str) -> int | None:
    """Returns a number of up to 15 decimal digits, or None.

    str.isdigit() accepts characters that int() rejects.
    """
    return int(text) if _COUNT.fullmatch(text) else None


def _find_containers(value: list[Any] | dict[str, Any]) -> list[Any]:
    """Returns the lists and objects directly in a list or object."""
    children = value.values() if isinstance(value, dict) else value
    return [child for child in children if isinstance(child, (dict, list))]
