"""Pytest fixtures and hooks for all tests."""

from collections.abc import Iterator
import pathlib
import signal

import pytest

_KNOWN_FAILURES_FILE = (
    pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
)
_PREFIX = "test: "


@pytest.fixture
def anyio_backend() -> str:
    """Runs asynchronous tests on asyncio, like the programs."""
    return "asyncio"


@pytest.fixture(autouse=True)
def restored_signal_mask() -> Iterator[None]:
    """Restores the signal mask, which a node that has stopped leaves blocked.

    Processes that later tests start would inherit it.
    """
    mask = signal.pthread_sigmask(signal.SIG_BLOCK, [])
    yield
    signal.pthread_sigmask(signal.SIG_SETMASK, mask)


def _read_known_failures() -> set[str]:
    lines = _KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(_PREFIX).strip()
        for line in lines
        if line.startswith(_PREFIX)
    }


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselects exactly the tests that are listed in KNOWN-RED.txt."""
    known = _read_known_failures()
    skipped = [item for item in items if item.nodeid in known]
    items[:] = [item for item in items if item.nodeid not in known]
    config.stash[_SKIPPED_TESTS] = [item.nodeid for item in skipped]
    if skipped:
        config.hook.pytest_deselected(items=skipped)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Prints the tests that were deselected as known failures."""
    for nodeid in config.stash.get(_SKIPPED_TESTS, []):
        terminalreporter.write_line(f"known failure, not run: {nodeid}")


_SKIPPED_TESTS = pytest.StashKey[list[str]]()
