"""Findings about a document, with their places in its file."""

import dataclasses
import enum
import re
from typing import Any

import yaml

from waxwingferry.process import settings

_ERROR_LINE = re.compile(
    r"(?P<place>[^\s:=]+)(?: = (?P<value>.*?))?: (?P<text>.*)", re.DOTALL
)


class Severity(enum.StrEnum):
    """How serious a finding is."""

    # The document would be refused.
    ERROR = "error"
    # The document would be accepted, but most likely isn't what is meant.
    WARNING = "warning"


@dataclasses.dataclass(slots=True, frozen=True)
class Finding:
    """One finding about a document.

    Attributes:
        place: Keys and indexes on the way to the value, joined by dots; empty
            for the whole document.
        message: What is wrong, without the place.
    """

    severity: Severity
    place: str
    message: str

    @property
    def text(self) -> str:
        """Place and message."""
        return f"{self.place}: {self.message}" if self.place else self.message


def make_error(line: str) -> Finding:
    """Returns the finding for a validator's line, `PLACE = VALUE: TEXT`."""
    found = _ERROR_LINE.fullmatch(line)
    if found is None:
        return Finding(Severity.ERROR, "", line)
    value = f"{found['value']}: " if found["value"] else ""
    return Finding(Severity.ERROR, found["place"], value + found["text"])


class LineIndex:
    """Lines of the values of a YAML text.

    Args:
        text: Text that is valid YAML.
    """

    def __init__(self, text: str):
        self.root = yaml.compose(text, settings.Loader)

    def find_line(self, place: str) -> int:
        """Returns the line of a value, or of what would contain it."""
        node = self.root
        if node is None:
            return 1
        for part in filter(None, place.split(".")):
            child = _find_child(node, part)
            if child is None:
                break
            node = child
        return node.start_mark.line + 1


def _find_child(node: Any, part: str) -> Any:
    match node:
        case yaml.SequenceNode():
            if part.isdecimal() and int(part) < len(node.value):
                return node.value[int(part)]
        case yaml.MappingNode():
            for key, value in node.value:
                if key.value == part:
                    return value
    return None
