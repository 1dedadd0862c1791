"""Rows of the store that were reported as malformed."""

MAX_REPORTED_ROWS = 1000


class ReportedRows:
    """Rows that were reported, so that each version is reported once.

    Only the latest MAX_REPORTED_ROWS are remembered.

    Attributes:
        versions: Reported versions by key, the latest last.
    """

    def __init__(self):
        self.versions: dict[str, int] = {}

    def add(self, key: str, version: int) -> bool:
        """Adds a row; returns whether this version was not reported yet."""
        is_new = self.versions.pop(key, None) != version
        self.versions[key] = version
        while len(self.versions) > MAX_REPORTED_ROWS:
            del self.versions[next(iter(self.versions))]
        return is_new
