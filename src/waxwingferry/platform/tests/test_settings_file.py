"""Tests of the validation of settings and of its error messages."""

import copy
import os
import subprocess
import sys
from typing import Any

import pytest

from waxwingferry.platform import parsing
from waxwingferry.platform import settings_file

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
            "grace": "6s",
        }
    },
}


def test_settings_are_decoded():
    """Guards against addresses and bounds read from the wrong keys."""
    parsed = settings_file.parse(DATA)
    assert parsed.target_address == ("10.1.0.38", 8145)
    assert parsed.seed_hosts == ("10.1.0.39",)
    assert parsed.store_address == settings_file.StoreAddress(
        "10.200.1.7", 8142
    )
    assert parsed.bounds.warmup_rate_factor == 1.5
    assert parsed.bounds.warmup_rate_slack == 5
    assert parsed.stop_grace_s == 6.0


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        (
            ("self", "ip"),
            7,
            "self.ip = 7: must be a non-empty string",
        ),
        (
            ("self", "app-addr"),
            "10.1.0.38",
            "self.app-addr = '10.1.0.38': must be an IP address with a port",
        ),
        (
            ("network", "internal-ports"),
            [7380],
            "network.internal-ports = [7380]: must be a first and a last port",
        ),
        (
            ("self", "limits"),
            {"memory-mb": 0},
            "self.limits.memory-mb = 0: must be a positive integer",
        ),
        (
            ("self", "limits"),
            {"max-fds": "1024"},
            "self.limits.max-fds = '1024': must be a positive integer",
        ),
        (
            ("self", "limits"),
            1024,
            "self.limits: missing; the table is required",
        ),
        (
            ("timing", "bounds", "retry-budget-slack"),
            True,
            "timing.bounds.retry-budget-slack = True: must be a number",
        ),
    ],
)
def test_a_bad_value_gives_a_one_line_message(path, value, message):
    """Guards against errors without the key, the value or what is allowed."""
    data = copy.deepcopy(DATA)
    parent: Any = data
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    with pytest.raises(settings_file.SettingsError) as caught:
        settings_file.parse(data)
    assert str(caught.value) == message


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("self", "app-addr"), "10.1.0.38:\u00b2"),
        (("self", "app-addr"), "10.1.0.38:" + "9" * 5000),
        (("network", "seeds"), ["10.1.0.38:\u00b2"]),
        (("network", "internal-ports"), [16**5000, 1]),
        (("timing", "bounds", "cold-over"), 10**400),
    ],
    ids=["digit", "long-port", "seed", "long-number", "infinite"],
)
def test_a_value_that_fails_to_convert_is_a_settings_error(path, value):
    """Guards against an error that ends a node when it reloads."""
    data = copy.deepcopy(DATA)
    parent: Any = data
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    with pytest.raises(settings_file.SettingsError):
        settings_file.parse(data)


@pytest.mark.parametrize(
    "content",
    [b"", b"[self", b"\xff", b"x = " + b"[" * 5000 + b"]" * 5000],
    ids=["empty", "half", "bytes", "nested"],
)
def test_a_file_that_fails_to_decode_is_a_settings_error(tmp_path, content):
    """Guards against an error that ends a node when it reloads."""
    path = tmp_path / "boot.toml"
    path.write_bytes(content)
    with pytest.raises(settings_file.SettingsError):
        settings_file.load(str(path))


def test_limits_are_decoded():
    """Guards against budgets that follow from another machine's memory."""
    data = copy.deepcopy(DATA)
    assert settings_file.parse(data).limits == settings_file.MachineLimits()
    data["self"]["limits"] = {"memory-mb": 552, "max-fds": 1024, "cpus": 2}
    limits = settings_file.parse(data).limits
    assert (limits.memory_mb, limits.max_fds) == (552, 1024)


def test_missing_bounds_have_defaults():
    """Guards against a failed start because of an optional bound."""
    data = copy.deepcopy(DATA)
    del data["timing"]["bounds"]["cold-slack"]
    del data["timing"]["bounds"]["expose-share"]
    bounds = settings_file.parse(data).bounds
    assert bounds.warmup_rate_slack == settings_file.Bounds().warmup_rate_slack
    assert bounds.retry_slack == 56


def test_duties_are_off_unless_listed():
    """Guards against reports on a platform without the API."""
    parsed = settings_file.parse(DATA)
    assert parsed.cloud_api is None
    assert parsed.duty_bounds == settings_file.DutyBounds()


def test_settings_of_duties_are_decoded():
    """Guards against times and limits read from the wrong keys."""
    data = copy.deepcopy(DATA)
    data["provider"]["cloud-api"] = {
        "address": "10.200.0.13:8128",
        "rate-per-s": 50.0,
        "duties": ["usage_reporting"],
        "duty-per-s": 20.0,
    }
    data["timing"]["bounds"] |= {
        "lease_time": "3500ms",
        "thaw-slack": "200ms",
        "report-window": "6s",
        "usage-tolerance": 0.1,
        "usage-late": "12s",
        "fencing-required": True,
    }
    parsed = settings_file.parse(data)
    assert parsed.cloud_api == settings_file.CloudApi(
        ("10.200.0.13", 8128), ("usage_reporting",), 20.0
    )
    assert parsed.duty_bounds == settings_file.DutyBounds(
        3.5, 0.2, 6.0, 0.1, 12.0, True
    )


@pytest.mark.parametrize(
    ("section", "key", "value", "allowed"),
    [
        ("bounds", "report-window", "0s", "above 0"),
        ("bounds", "fencing-required", "no", "true or false"),
        ("cloud-api", "duties", "usage_reporting", "a list of strings"),
        ("cloud-api", "duty-per-s", 0, "a number above 0"),
    ],
)
def test_bad_settings_of_duties_are_refused(section, key, value, allowed):
    """Guards against a division by zero, or a duty that is off unnoticed."""
    data = copy.deepcopy(DATA)
    data["provider"]["cloud-api"] = {"address": "10.200.0.13:8128"}
    sections = {**data["timing"], **data["provider"]}
    sections[section][key] = value
    with pytest.raises(settings_file.SettingsError) as caught:
        settings_file.parse(data)
    assert str(caught.value).endswith(f"{key} = {value!r}: must be {allowed}")


def test_unknown_fields_are_ignored():
    """Guards against a failed start because of a new field."""
    data = copy.deepcopy(DATA)
    data["self"]["new-field"] = 1
    assert settings_file.parse(data).node == "sidecar-a-1"


def test_bad_settings_exit_with_code_2(tmp_path):
    """Guards against a traceback instead of a one-line error."""
    path = tmp_path / "boot.toml"
    path.write_text("[self]\n")
    environment = {**os.environ, settings_file.PATH_VARIABLE: str(path)}
    completed = subprocess.run(
        [sys.executable, "-m", "waxwingferry.platform"],
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 2
    assert completed.stderr.startswith("waxwingferry-sidecar: ")
    assert completed.stderr.count("\n") == 1


@pytest.mark.parametrize(
    ("text", "seconds"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)]
)
def test_durations_are_parsed(text, seconds):
    """Guards against milliseconds parsed as seconds."""
    assert parsing.parse_duration(text) == seconds


@pytest.mark.parametrize("text", ["5", "5m", "-1s", "", None, 5])
def test_a_malformed_duration_is_refused(text):
    """Guards against a number with a guessed unit."""
    with pytest.raises(parsing.ValueFormatError):
        parsing.parse_duration(text)
