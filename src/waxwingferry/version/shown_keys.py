"""Documents for people, with the digests of API keys in place of the keys.

A document that is shown can be edited and put in force: a digest stands for the
key that the revision has on which the change is based.
"""

from collections.abc import Iterator
import copy
import re
from typing import Any

from waxwingferry.version import api_keys

_PREFIX = "sha256:"
_SHOWN_KEY = re.compile(f"{_PREFIX}[0-9a-f]{{{api_keys.SHOWN_DIGEST_DIGITS}}}")


def is_shown(key: str) -> bool:
    """Returns whether a text stands for a key and is none itself."""
    return _SHOWN_KEY.fullmatch(key) is not None


def show(key: str) -> str:
    """Returns the text that stands for a key."""
    return key if is_shown(key) else _PREFIX + api_keys.shorten_digest(key)


def show_digest(digest: bytes) -> str:
    """Returns the text that stands for the key of a digest."""
    return _PREFIX + digest.hex()[: api_keys.SHOWN_DIGEST_DIGITS]


def hide(data: Any) -> Any:
    """Returns the JSON data of a document without its keys."""
    data = copy.deepcopy(data)
    for _, keys in _list_keys(data):
        keys[:] = [show(key) for key in keys]
    return data


def restore(data: Any, base: Any) -> tuple[Any, list[str]]:
    """Puts the keys of a base in the places of the texts that stand for them.

    Args:
        data: JSON data of a valid document.
        base: JSON data of the document that it was made from, or None.

    Returns:
        The data, and one line for each text that stands for no key.
    """
    known = {show(key): key for _, keys in _list_keys(base) for key in keys}
    data = copy.deepcopy(data)
    errors = []
    for place, keys in _list_keys(data):
        for index, key in enumerate(keys):
            if not is_shown(key):
                continue
            if key in known:
                keys[index] = known[key]
            else:
                errors.append(
                    f"{place}.{index} = {key}: stands for no key of the "
                    "revision that the document is based on"
                )
    return data, errors


def has_shown(data: Any) -> bool:
    """Returns whether JSON data of a document has a text in place of a key."""
    return any(is_shown(key) for _, keys in _list_keys(data) for key in keys)


def describe_workspaces(data: Any) -> list[str]:
    """Returns one line for each workspace, with the number of its keys."""
    lines = []
    for item in (data or {}).get("workspaces", []):
        count = len(item["keys"])
        unit = "key" if count == 1 else "keys"
        lines.append(f"workspace {item['name']}: {count} {unit}")
    return lines


def _list_keys(data: Any) -> Iterator[tuple[str, list[str]]]:
    """Yields the place and the list of keys of each workspace."""
    for index, item in enumerate((data or {}).get("workspaces", [])):
        yield f"workspaces.{index}.keys", item["keys"]
