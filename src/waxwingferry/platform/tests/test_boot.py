"""The settings file: checked values, and one clear line for a bad one."""

import copy
import os
import subprocess
import sys
from typing import Any

import pytest

from waxwingferry.platform import boot
from waxwingferry.platform import values

DATA: dict[str, Any] = {
    "self": {
        "node-name": "sidecar-a-1",
        "ip": "10.1.0.38",
        "zone": "a",
        "region": "r",
        "service": "huvo11a",
        "app-addr": "10.1.0.38:8145",
    },
    "network": {
        "internal-ports": [7380, 7395],
        "seeds": ["10.1.0.39:8144"],
        "listen": {
            "outbound": "10.1.0.38:8147",
            "inbound": "10.1.0.38:8146",
            "ready": "10.1.0.38:8141",
            "control": "10.1.0.38:8144",
        },
    },
    "provider": {"provider": {"address": "10.200.1.7:8142"}},
    "timing": {
        "bounds": {
            "retry-budget-ratio": 0.2,
            "retry-budget-slack": 56,
            "expose-share": 0.1,
            "expose-slack": 50,
            "cold-over": 1.5,
            "cold-slack": 5,
        }
    },
}


def test_settings_are_decoded():
    """Guards against addresses and bounds read from the wrong place."""
    found = boot.parse(DATA)
    assert found.target == ("10.1.0.38", 8145)
    assert found.seeds == ("10.1.0.39",)
    assert found.store == boot.Store("10.200.1.7", 8142)
    assert found.bounds.cold_over == 1.5
    assert found.bounds.cold_slack == 5


@pytest.mark.parametrize(
    ("path", "value", "line"),
    [
        (
            ("self", "ip"),
            7,
            "self.ip = 7: must be a text that is not empty",
        ),
        (
            ("self", "app-addr"),
            "10.1.0.38",
            "self.app-addr = '10.1.0.38': must be an IP number with a port",
        ),
        (
            ("network", "internal-ports"),
            [7380],
            "network.internal-ports = [7380]: must be a first and a last port",
        ),
        (
            ("timing", "bounds", "retry-budget-slack"),
            True,
            "timing.bounds.retry-budget-slack = True: must be a number",
        ),
    ],
)
def test_a_bad_value_is_named_in_one_line(path, value, line):
    """Guards against settings refused without key, value or what is allowed."""
    data = copy.deepcopy(DATA)
    parent: Any = data
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    with pytest.raises(boot.BootError) as caught:
        boot.parse(data)
    assert str(caught.value) == line


def test_bounds_of_rules_that_are_not_in_force_have_defaults():
    """Guards against a node that doesn't start for want of a figure."""
    data = copy.deepcopy(DATA)
    del data["timing"]["bounds"]["cold-slack"]
    del data["timing"]["bounds"]["expose-share"]
    bounds = boot.parse(data).bounds
    assert bounds.cold_slack == boot.Bounds().cold_slack
    assert bounds.retry_slack == 56


def test_unknown_fields_are_ignored():
    """Guards against a start that fails because a field came new."""
    data = copy.deepcopy(DATA)
    data["self"]["new-field"] = 1
    assert boot.parse(data).node == "sidecar-a-1"


def test_bad_settings_end_the_program_with_exit_code_2(tmp_path):
    """Guards against a traceback in place of one line."""
    path = tmp_path / "boot.toml"
    path.write_text("[self]\n")
    environment = {**os.environ, boot.PATH_VARIABLE: str(path)}
    done = subprocess.run(
        [sys.executable, "-m", "waxwingferry.platform.main"],
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert done.stderr.startswith("waxwingferry-sidecar: ")
    assert done.stderr.count("\n") == 1


@pytest.mark.parametrize(
    ("text", "seconds"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)]
)
def test_times_have_a_unit(text, seconds):
    """Guards against milliseconds taken for seconds."""
    assert values.parse_time(text) == seconds


@pytest.mark.parametrize("text", ["5", "5m", "-1s", "", None, 5])
def test_a_time_without_a_unit_is_refused(text):
    """Guards against a number whose unit is guessed."""
    with pytest.raises(values.ValueFormatError):
        values.parse_time(text)
