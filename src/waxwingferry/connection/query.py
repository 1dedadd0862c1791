"""Formats the query of a request target.

urllib.parse does the same, but its import takes a node 2% of the processor
time of its start.
"""

from collections.abc import Mapping
import string

_UNRESERVED = frozenset(f"{string.ascii_letters}{string.digits}_.-~".encode())
_ENCODED = [
    chr(byte) if byte in _UNRESERVED else f"%{byte:02X}" for byte in range(256)
]
_ENCODED[ord(" ")] = "+"


def format_query(fields: Mapping[str, str | int]) -> str:
    """Returns fields as application/x-www-form-urlencoded."""
    return "&".join(
        f"{_encode(name)}={_encode(str(value))}"
        for name, value in fields.items()
    )


def _encode(text: str) -> str:
    return "".join([_ENCODED[byte] for byte in text.encode()])
