"""Converts the tenants of the platform's configuration to workspaces."""

import re
from typing import Any

from waxwingferry.platform import parsing
from waxwingferry.version import api_keys
from waxwingferry.version import revision

_LIST = "tenants"
_KEYS = "api-keys"
# Names are sent in header fields.
_NAME = re.compile(r"[!-~](?:[ -~]{0,198}[!-~])?")
# Largest priority that nodes exchange; see calls.URGENCY_HEADER.
_MAX_PRIORITY = 999
# Errors that a message lists; each further one is of the same few kinds.
_MAX_SHOWN_PROBLEMS = 5


def parse_tenants(
    config: dict[str, Any],
) -> tuple[dict[str, revision.Workspace], dict[bytes, revision.Workspace]]:
    """Returns the workspaces by name, and by the digest of each key.

    Messages name places and never values, which may be keys.

    Raises:
        parsing.ValueFormatError: An entry is invalid.
    """
    entries = config.get(_LIST)
    if entries is None:
        return {}, {}
    if not isinstance(entries, list):
        raise parsing.ValueFormatError(f"{_LIST}: must be a list")
    key_lists = [
        _parse_key_list(f"{_LIST}.{index}", entry)
        for index, entry in enumerate(entries)
    ]
    problems = list(api_keys.find_problems(key_lists))
    if problems:
        shown = problems[:_MAX_SHOWN_PROBLEMS]
        raise parsing.ValueFormatError(
            f"{len(problems)} errors: {'; '.join(shown)}"
        )
    by_name = {}
    by_digest = {}
    for index, key_list in enumerate(key_lists):
        priority = _parse_priority(
            f"{_LIST}.{index}.priority", entries[index].get("priority")
        )
        workspace = revision.Workspace(key_list.name, priority)
        by_name[workspace.name] = workspace
        for key in key_list.keys:
            by_digest[api_keys.hash_key(key)] = workspace
    return by_name, by_digest


def parse_anonymous(path: dict[str, Any]) -> bool:
    """Returns whether the requests of a path need no key.

    Raises:
        parsing.ValueFormatError: The value is neither true nor false. A text
            such as "false" must not open a path.
    """
    value = path.get("anonymous")
    if value is None:
        return False
    if not isinstance(value, bool):
        raise parsing.ValueFormatError(
            f"path {path['name']!r}: anonymous = {value!r}: "
            "must be true or false"
        )
    return value


def _parse_key_list(place: str, entry: Any) -> api_keys.KeyList:
    if not isinstance(entry, dict):
        raise parsing.ValueFormatError(f"{place}: must be an object")
    name = entry.get("name")
    if not isinstance(name, str) or not _NAME.fullmatch(name):
        raise parsing.ValueFormatError(
            f"{place}.name: must have 1 to 200 printable ASCII characters"
        )
    keys = entry.get(_KEYS)
    if keys is None:
        # A workspace that was given no key yet, or has none any more.
        keys = []
    if not isinstance(keys, list) or not all(
        isinstance(key, str) for key in keys
    ):
        raise parsing.ValueFormatError(
            f"{place}.{_KEYS}: must be a list of strings"
        )
    return api_keys.KeyList(name, f"{place}.name", f"{place}.{_KEYS}", keys)


def _parse_priority(place: str, value: Any) -> int | None:
    if value is None:
        return None
    if type(value) is not int or not 0 <= value <= _MAX_PRIORITY:
        raise parsing.ValueFormatError(
            f"{place}: must be a whole number from 0 to {_MAX_PRIORITY}"
        )
    return value
