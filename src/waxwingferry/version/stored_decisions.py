"""The decisions on version rollouts that the platform has stored."""

from typing import Protocol

from waxwingferry.version import messages


class Reader(Protocol):
    """See rollout.DecisionStore."""

    async def read_all(self) -> list[tuple[messages.Decision, int]]:
        """Returns all decisions and the versions of their rows."""


class StoredDecisions:
    """The newest read of all decisions with the versions of their rows.

    Both are replaced together. Reads may overtake each other; they are ordered
    by when they began: the store's responses are linearizable, so a read that
    began after another one is at least as new as what the other saw then.

    Args:
        reader: Reads the decisions.

    Attributes:
        found: Decisions and the versions of their rows in the newest read.
        versions: Versions of the rows by service.
    """

    def __init__(self, reader: Reader):
        self.reader = reader
        self.found: list[tuple[messages.Decision, int]] = []
        self.versions: dict[str, int] = {}
        self._began = 0
        self._newest = 0

    async def read(self) -> list[tuple[messages.Decision, int]]:
        """Reads all decisions; returns those of the newest read.

        Raises:
            platform.PlatformError: They could not be read.
        """
        self._began += 1
        number = self._began
        found = await self.reader.read_all()
        if number > self._newest:
            self._newest = number
            self.found = found
            self.versions = {item.service: version for item, version in found}
        return self.found

    def find(self, service: str) -> messages.Decision | None:
        """Returns the stored decision on a service, or None."""
        return next(
            (item for item, _ in self.found if item.service == service), None
        )

    def record_conflict(self, service: str, version: int) -> None:
        """Records the version of a row that another node has written.

        Reads that began before may be older.
        """
        self._newest = self._began
        self.versions = {**self.versions, service: version}
