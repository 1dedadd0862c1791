"""Settings for all tests, and the list of known failures."""

import pathlib

import pytest

_KNOWN_FAILURES_FILE = (
    pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
)
_PREFIX = "test: "


@pytest.fixture
def anyio_backend() -> str:
    """Runs asynchronous tests on asyncio, as the programs do."""
    return "asyncio"


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
    """Passes over exactly the tests that KNOWN-RED.txt names."""
    known = _read_known_failures()
    skipped = [item for item in items if item.nodeid in known]
    items[:] = [item for item in items if item.nodeid not in known]
    config.stash[_SKIPPED_TESTS] = [item.nodeid for item in skipped]
    if skipped:
        config.hook.pytest_deselected(items=skipped)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Prints the tests that were passed over."""
    for nodeid in config.stash.get(_SKIPPED_TESTS, []):
        terminalreporter.write_line(f"known red, not run: {nodeid}")


_SKIPPED_TESTS = pytest.StashKey[list[str]]()
