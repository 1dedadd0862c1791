"""Arithmetic of windows, validation of counts, and the state kept in the row.

All functions are pure. A window's counts are stored in the duty's row before
they are sent for the first time and never change after that, so that each
repeat of a report equals the first one.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import math
from typing import Any

# Stored windows without a confirmation. With windows of 5 s this covers an
# outage of the API of two minutes; the row is read and written as a whole.
MAX_PENDING = 24
# What one node may report. Values beyond these come from a faulty node.
MAX_NAME_CHARACTERS = 200
MAX_COUNT = 10**9
MAX_WORKSPACES = 1000
# What one report may hold, over all nodes.
MAX_REPORTED_WORKSPACES = 5000
MAX_WINDOW = 2**53

Counts = dict[str, int]


class CountsError(Exception):
    """Counts or a stored state are malformed."""


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Final counts of one window, by workspace."""

    window: int
    counts: Counts


@dataclasses.dataclass(slots=True, frozen=True)
class State:
    """What the duty's row keeps.

    Attributes:
        next_window: First window that is not stored.
        confirmed: Newest confirmed window, or -1.
        pending: Stored windows that are not confirmed, in order.
    """

    next_window: int
    confirmed: int = -1
    pending: tuple[Report, ...] = ()


def find_window(true_s: float, length_s: float) -> int:
    """Returns the window that contains a time since the start of 1970."""
    return math.floor(true_s / length_s)


def get_start_s(window: int, length_s: float) -> float:
    """Returns the start of a window in seconds since the start of 1970."""
    return window * length_s


def find_newest_ended(true_s: float, length_s: float, delay_s: float) -> int:
    """Returns the newest window that ended at least delay_s ago."""
    return find_window(true_s - delay_s, length_s) - 1


def find_oldest_retained(
    true_s: float, length_s: float, retention_s: float
) -> int:
    """Returns the oldest window whose records are all still kept."""
    return math.ceil((true_s - retention_s) / length_s)


def parse_counts(data: Any, max_workspaces: int = MAX_WORKSPACES) -> Counts:
    """Validates counts by workspace.

    Raises:
        CountsError: The counts are malformed or out of bounds.
    """
    if not isinstance(data, dict):
        raise CountsError("counts: must be an object")
    if len(data) > max_workspaces:
        raise CountsError(f"counts: over {max_workspaces} workspaces")
    for name, count in data.items():
        if not isinstance(name, str) or not (
            0 < len(name) <= MAX_NAME_CHARACTERS
        ):
            raise CountsError(
                f"workspace: must have 1 to {MAX_NAME_CHARACTERS} characters"
            )
        if type(count) is not int or not 0 <= count <= MAX_COUNT:
            raise CountsError(f"count: must be 0 to {MAX_COUNT}")
    return data


def merge(counts: Iterable[Counts]) -> Counts:
    """Returns the sums by workspace, in order of names, without zeros.

    At most MAX_REPORTED_WORKSPACES are kept, those with the highest counts.
    """
    sums: Counts = {}
    for item in counts:
        for name, count in item.items():
            sums[name] = sums.get(name, 0) + count
    kept = [name for name, count in sums.items() if count]
    if len(kept) > MAX_REPORTED_WORKSPACES:
        kept.sort(key=lambda name: (-sums[name], name))
        del kept[MAX_REPORTED_WORKSPACES:]
    return {name: sums[name] for name in sorted(kept)}


def format_state(state: State) -> dict[str, Any]:
    """Returns the state as stored in the row."""
    return {
        "next": state.next_window,
        "confirmed": state.confirmed,
        "pending": [
            [report.window, dict(report.counts)] for report in state.pending
        ],
    }


def parse_state(data: dict[str, Any]) -> State:
    """Validates a stored state.

    Raises:
        CountsError: The state is malformed.
    """
    next_window = _parse_number(data, "next")
    confirmed = data.get("confirmed")
    if type(confirmed) is not int or not -1 <= confirmed < next_window:
        raise CountsError("confirmed: must be a window before the next one")
    items = data.get("pending")
    if not isinstance(items, list) or len(items) > MAX_PENDING:
        raise CountsError(f"pending: must be a list of up to {MAX_PENDING}")
    pending: list[Report] = []
    earlier = confirmed
    for item in items:
        if not isinstance(item, list) or len(item) != 2:
            raise CountsError("pending: must hold pairs")
        window, counts = item
        if type(window) is not int or not earlier < window < next_window:
            raise CountsError("pending: windows are out of order")
        counts = parse_counts(counts, MAX_REPORTED_WORKSPACES)
        pending.append(Report(window, counts))
        earlier = window
    return State(next_window, confirmed, tuple(pending))


def open_state(data: dict[str, Any], incomplete: bool, window: int) -> State:
    """Returns the state that a new holder begins with.

    Args:
        data: State read from the row; empty if none was stored yet.
        incomplete: Whether states of earlier holders may be missing.
        window: First window that no earlier holder can have stored.

    Returns:
        The state of the row, if it is certain that no later one was lost.
        Otherwise all windows before the given one that the row doesn't show
        may have been sent with other counts, and are skipped. Reports that
        the row shows keep their counts in every copy of it.
    """
    try:
        stored = parse_state(data)
    except CountsError:
        return State(window)
    return skip_to(stored, window) if incomplete else stored


def skip_to(state: State, window: int) -> State:
    """Returns the state without the unstored windows before a window."""
    next_window = max(state.next_window, window)
    return dataclasses.replace(state, next_window=next_window)


def store_reports(
    state: State, reports: Sequence[Report], confirmed: int
) -> tuple[State, list[int]]:
    """Returns the state with more reports and without the confirmed ones.

    Args:
        state: The state in the row.
        reports: Reports of the next windows, without gaps.
        confirmed: Newest confirmed window, or -1.

    Returns:
        The new state, and the windows that are given up because too many are
        not confirmed.
    """
    next_window = state.next_window
    for report in reports:
        if report.window != next_window:
            raise ValueError(f"window {report.window}: not {next_window}")
        next_window += 1
    confirmed = max(confirmed, state.confirmed)
    pending = [
        report
        for report in (*state.pending, *reports)
        if report.window > confirmed
    ]
    given_up = [report.window for report in pending[:-MAX_PENDING]]
    kept = tuple(pending[-MAX_PENDING:])
    return State(next_window, confirmed, kept), given_up


def _parse_number(data: dict[str, Any], key: str) -> int:
    value = data.get(key)
    if type(value) is not int or not 0 <= value <= MAX_WINDOW:
        raise CountsError(f"{key}: must be a number from 0")
    return value
