"""The current document of a node."""

from collections.abc import Callable
from typing import Any

import anyio
import structlog

from waxwingferry import invariants
from waxwingferry.version import revision

Parse = Callable[[int, Any], revision.Revision]

log = structlog.get_logger()


class OlderRevisionError(invariants.BrokenPromiseError):
    """An older revision would replace a newer one."""


class CurrentDocument:
    """The newest document known to this node, which is in force.

    Args:
        parse: Parses a revision, given its number and its content as JSON
            data. Raises revision.DocumentError.
        on_change: Called after a newer revision was activated.

    Attributes:
        changed: Set when the next revision is activated, then replaced.
    """

    def __init__(
        self, parse: Parse, on_change: Callable[[], None] = lambda: None
    ):
        self.parse = parse
        self.on_change = on_change
        self.revision: revision.Revision | None = None
        self.highest = 0
        self.rejected = 0
        self.loaded = anyio.Event()
        self.changed = anyio.Event()

    @property
    def number(self) -> int:
        """Number of the current revision, or 0."""
        return self.revision.number if self.revision else 0

    async def read(self) -> bool:
        """Reads the newest document from its store.

        Returns:
            Whether a newer revision was activated.

        Raises:
            platform.PlatformError: The document could not be read.
        """
        raise NotImplementedError

    def apply_if_newer(self, number: int, content: Any) -> bool:
        """Activates a document if it is newer than the current one.

        Args:
            number: Revision number assigned by the table.
            content: The document as JSON data.

        Returns:
            Whether the document was activated.
        """
        if number <= self.number or number == self.rejected:
            return False
        try:
            newer = self.parse(number, content)
        except revision.DocumentError as error:
            # A newer version of the program wrote the document. The last
            # valid revision stays in force.
            self.rejected = number
            log.error(
                "document not understood", revision=number, error=str(error)
            )
            return False
        self._activate(newer)
        return True

    def _activate(self, newer: revision.Revision) -> None:
        if newer.number <= self.highest:
            detail = f"{newer.number} after {self.highest}"
            raise OlderRevisionError("document_order", detail)
        self.highest = newer.number
        self.revision = newer
        self.loaded.set()
        self.changed.set()
        self.changed = anyio.Event()
        log.info("document in force", revision=newer.number)
        self.on_change()
