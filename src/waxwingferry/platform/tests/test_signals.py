"""Series of signals to a node process."""

import contextlib
import copy
import json
import pathlib
import signal

import pytest

from waxwingferry.bench import ports
from waxwingferry.platform import settings_file
from waxwingferry.platform.tests import test_settings_file
from waxwingferry.process.tests import logged_process

pytestmark = pytest.mark.anyio


def run_node(
    directory: pathlib.Path,
) -> contextlib.AbstractAsyncContextManager[logged_process.LoggedProcess]:
    """Runs a node process without a store while the context is active."""
    path = directory / "settings.toml"
    path.write_text(_format_settings(ports.PortAllocator()))
    return logged_process.run(
        directory,
        "waxwingferry.platform.main",
        **{settings_file.PATH_VARIABLE: str(path)},
    )


def _format_settings(free_ports: ports.PortAllocator) -> str:
    data = copy.deepcopy(test_settings_file.DATA)
    first_port = free_ports.allocate()
    data["self"]["ip"] = ports.HOST
    data["network"]["internal-ports"] = [first_port, free_ports.allocate()]
    data["network"]["seeds"] = []
    for purpose in data["network"]["listen"]:
        data["network"]["listen"][purpose] = (
            f"{ports.HOST}:{free_ports.allocate()}"
        )
    data["provider"]["provider"]["address"] = (
        f"{ports.HOST}:{free_ports.allocate()}"
    )
    lines: list[str] = []
    _format_table("", data, lines)
    return "\n".join(lines) + "\n"


def _format_table(name: str, table: dict, lines: list[str]) -> None:
    """Appends a table in TOML; JSON has the same form for simple values."""
    if name:
        lines.append(f"[{name}]")
    for key, value in table.items():
        if not isinstance(value, dict):
            lines.append(f"{key} = {json.dumps(value)}")
    for key, value in table.items():
        if isinstance(value, dict):
            _format_table(f"{name}.{key}" if name else key, value, lines)


# The handlers were removed with the first SIGTERM, so a further signal ended
# the process with all requests in flight.
@pytest.mark.parametrize(
    "further", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT]
)
async def test_a_signal_during_a_stop_does_not_end_the_process(
    tmp_path, further
) -> None:
    """Guards against a stop that becomes abrupt with the next signal."""
    async with run_node(tmp_path) as node:
        await node.wait_for("node started")
        node.process.terminate()
        await node.wait_for("node stopping")
        node.process.send_signal(further)
        assert await node.wait() == 0
        assert node.count_events("node stopped") == 1


async def test_settings_are_reloaded_again_and_again(tmp_path) -> None:
    """Guards against a reload that ends the handling of signals."""
    async with run_node(tmp_path) as node:
        await node.wait_for("node started")
        for number in range(3):
            node.process.send_signal(signal.SIGHUP)
            await node.wait_for("settings reloaded", number + 1)
        node.process.terminate()
        assert await node.wait() == 0
