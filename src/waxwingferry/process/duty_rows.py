"""Row of a duty in the platform's table."""

from collections.abc import Callable
import dataclasses
from typing import Any

import structlog

from waxwingferry.process import platform

PREFIX = "duties/"
# JSON parsers that use floating point keep integers up to this one.
MAX_TOKEN = 2**52

log = structlog.get_logger()


@dataclasses.dataclass(slots=True, frozen=True)
class DutyRow:
    """Content of a duty's row.

    Attributes:
        holder: Name of the node that holds the duty.
        incarnation: Process of that node.
        token: Fencing token; it rises with each takeover.
        state: State that the user of the duty stores.
        incomplete: Whether states that holders stored may be missing because
            the row was lost or the table went back. The next state that a
            holder stores ends this.
    """

    holder: str
    incarnation: str
    token: int
    state: dict[str, Any]
    incomplete: bool = False

    @property
    def process(self) -> tuple[str, str]:
        """Name of the node and of its process."""
        return (self.holder, self.incarnation)


@dataclasses.dataclass(slots=True, frozen=True)
class Stored:
    """What the table has for a duty.

    Attributes:
        content: The row, or None if it is missing or malformed.
        version: Condition of a write that replaces it; 0 if it is missing.
        malformed: Whether there is a row that is not understood.
        token_floor: No holder had a higher token, as far as this shows; 0 if it
            shows nothing.
    """

    content: DutyRow | None
    version: int
    malformed: bool
    token_floor: int


def interpret(row: platform.Row | None) -> Stored:
    """Returns what a row of the table says."""
    if row is None:
        return Stored(None, 0, False, 0)
    # Each takeover is a commit of the table, so no token is above the version
    # of a later write. This bounds tokens that the row does not show.
    if row.value is None and not row.malformed:
        return Stored(None, 0, False, row.version)
    content = _parse(row.value or {})
    if content is None:
        return Stored(None, row.version, True, row.version)
    floor = content.token
    if platform.get_era(floor) < platform.get_era(row.version):
        # After a restore, commit numbers are given out again. A write from
        # before it may have met its condition by chance and replaced a row
        # with a token of the new era.
        floor = row.version
    return Stored(content, row.version, False, floor)


def _parse(value: dict[str, Any]) -> DutyRow | None:
    holder = value.get("holder")
    incarnation = value.get("incarnation")
    token = value.get("token")
    state = value.get("state")
    if (
        not isinstance(holder, str)
        or not isinstance(incarnation, str)
        or not isinstance(state, dict)
        or type(token) is not int
        or not 0 <= token < MAX_TOKEN
    ):
        return None
    incomplete = value.get("incomplete") is True
    return DutyRow(holder, incarnation, token, state, incomplete)


def format_row(row: DutyRow) -> dict[str, Any]:
    """Returns a row in the format of the table."""
    value = {
        "holder": row.holder,
        "incarnation": row.incarnation,
        "token": row.token,
        "state": row.state,
    }
    if row.incomplete:
        value["incomplete"] = True
    return value


def make_next_token(highest: int, era: int) -> int:
    """Returns a token above a known one.

    Args:
        highest: Highest token that is known.
        era: Number of restores of the table. After a restore the highest
            token may have been lost, but all tokens of the new era are higher.
    """
    if platform.get_era(highest) < era:
        return platform.make_version(era, 1)
    return highest + 1


@dataclasses.dataclass(slots=True, frozen=True)
class ReadRow:
    """A row that was read.

    Attributes:
        row: The row, or None if there is none.
        began_s: Clock reading when the read began.
    """

    row: platform.Row | None
    began_s: float


class Rows:
    """Access to the row of one duty.

    Args:
        name: Name of the duty.
        table: The platform's table.
        clock: Seconds, with the time of a suspension.
    """

    def __init__(
        self, name: str, table: platform.Table, clock: Callable[[], float]
    ):
        self.name = name
        self.table = table
        self.clock = clock

    @property
    def key(self) -> str:
        """Key of the row in the table."""
        return PREFIX + self.name

    async def read(self) -> ReadRow | None:
        """Reads the row; returns None if the table did not answer."""
        began_s = self.clock()
        try:
            return ReadRow(await self.table.read(self.key), began_s)
        except platform.PlatformError as error:
            log.warning("duty row not read", duty=self.name, error=str(error))
            return None

    async def write(self, row: DutyRow, if_version: int) -> int:
        """Writes the row on a condition; returns the new version.

        Args:
            row: New content.
            if_version: Version that the row must have; 0 if there is none.

        Raises:
            platform.ConflictError: The row has another version.
            platform.PlatformError: The outcome is unknown.
        """
        write = platform.Write(self.key, format_row(row), if_version)
        try:
            return (await self.table.transact([write]))[0]
        except (platform.ConflictError, platform.PlatformError) as error:
            log.warning(
                "duty write refused",
                duty=self.name,
                holder=row.holder,
                token=row.token,
                reason=str(error),
            )
            raise
