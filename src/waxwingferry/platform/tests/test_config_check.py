"""Checks of configs: each warning with the smallest config that has it."""

import copy
import json

import pytest

from waxwingferry.cli import main
from waxwingferry.platform import config_check
from waxwingferry.process import settings
from waxwingferry.version import revision as revisions

PATH = {
    "name": "r",
    "prefix": "/a/",
    "route-type": "safe",
    "service": "desk",
    "timeout": "1500ms",
    "target-latency": "300ms",
    "max-attempts": 3,
}
SERVICE = {"name": "desk", "health-path": "/health"}
CONFIG: dict = {
    "version": "r1",
    "virtual-hosts": [{"authority": "a.example", "paths": [PATH]}],
    "services": [SERVICE],
}


def make_config(**changes) -> dict:
    """Returns a config with changes to its only path."""
    config = copy.deepcopy(CONFIG)
    config["virtual-hosts"][0]["paths"][0].update(changes)
    return config


def list_places(config: dict) -> list[str]:
    """Returns the places of the warnings about a config that nodes take."""
    config_check.parse(config)
    return [item.place for item in config_check.find_warnings(config)]


def make_shares(*shares) -> list[dict]:
    """Returns weighted targets."""
    return [{"service": name, "weight": weight} for name, weight in shares]


@pytest.mark.parametrize(
    ("changes", "places"),
    [
        ({}, []),
        ({"prefix": "/a?b"}, ["prefix"]),
        ({"prefix": "a"}, ["prefix"]),
        ({"timeout": "2ms", "target-latency": "1ms"}, ["timeout"]),
        ({"target-latency": "2s"}, ["target-latency"]),
        ({"max-attempts": 0}, ["max-attempts"]),
        ({"anonymous": True}, ["anonymous"]),
        (
            {"weighted-targets": make_shares(("desk", 0))},
            ["weighted-targets"],
        ),
        ({"weighted-targets": []}, ["weighted-targets"]),
        (
            {"weighted-targets": make_shares(("desk", 1), ("dusk", 1))},
            ["weighted-targets.1.service"],
        ),
    ],
)
def test_a_path_without_the_meant_effect_is_found(changes, places) -> None:
    """Guards against paths that nodes take and that refuse each request."""
    config = make_config(**changes)
    # Only the path is looked at, also if it leads to no service.
    config["virtual-hosts"].append(
        {"authority": "b.example", "paths": [PATH | {"name": "other"}]}
    )
    prefix = "virtual-hosts.0.paths.0."
    assert list_places(config) == [prefix + place for place in places]


def test_a_path_without_a_service_of_its_own_is_checked() -> None:
    """Guards against a traceback for weights in place of a service."""
    config = make_config(**{"weighted-targets": []})
    del config["virtual-hosts"][0]["paths"][0]["service"]
    assert list_places(config) == [
        "virtual-hosts.0.paths.0.weighted-targets",
        "services.0",
    ]


def test_a_shadowed_path_is_found() -> None:
    """Guards against a second path whose requests the first one takes."""
    config = make_config()
    config["virtual-hosts"].append(
        {"authority": "A.example", "paths": [PATH | {"name": "second"}]}
    )
    assert list_places(config) == ["virtual-hosts.1.paths.0.prefix"]


def test_hosts_services_and_tenants_without_effect_are_found() -> None:
    """Guards against entries that no request can reach."""
    config = make_config()
    config["virtual-hosts"].append({"authority": "b.example", "paths": []})
    config["services"].append({"name": "idle", "health-path": "/health"})
    config["tenants"] = [
        {"name": "acme", "api-keys": [" k"]},
        {"name": "north", "api-keys": []},
    ]
    assert list_places(config) == [
        "virtual-hosts.1.paths",
        "services.1",
        "tenants.0.api-keys.0",
        "tenants.1.api-keys",
    ]


def test_a_config_that_nodes_refuse_is_an_error(tmp_path, capsys) -> None:
    """Guards against a good check of what no node takes."""
    config = make_config(timeout="soon")
    with pytest.raises(revisions.DocumentError):
        config_check.parse(config)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config), encoding="utf-8")
    assert main.check_document(str(path), platform=True) == 2
    assert ": error: " in capsys.readouterr().out


def test_the_command_compares_two_configs(tmp_path, capsys) -> None:
    """Guards against a removed route or key that goes unnoticed."""
    old, new = make_config(), make_config(timeout="900ms")
    new["tenants"] = [{"name": "acme", "api-keys": ["s3cret"]}]
    new["virtual-hosts"][0]["paths"].append(
        PATH | {"name": "b", "prefix": "/b/"}
    )
    paths = []
    for name, config in (("old", old), ("new", new)):
        path = tmp_path / f"{name}.json"
        path.write_text(json.dumps(config, indent="\t"), encoding="utf-8")
        paths.append(str(path))
    code = main.check_document(paths[1], platform=True, against_file=paths[0])
    output = capsys.readouterr().out
    assert code == 0
    assert output.splitlines()[1:] == [
        f"changes against {paths[0]}:",
        "  all methods a.example/a/: deadline_s 1.5 -> 0.9; needs an API key",
        "  all methods a.example/b/: new, goes to desk",
        output.splitlines()[4],
    ]
    assert output.splitlines()[4].endswith("of acme: starts working")
    assert "s3cret" not in output


def test_a_config_in_force_that_is_invalid_is_one_line(tmp_path) -> None:
    """Guards against a traceback for a file that is no config."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG), encoding="utf-8")
    broken = tmp_path / "broken.json"
    broken.write_text("[]", encoding="utf-8")
    with pytest.raises(settings.SettingsError) as refusal:
        main.check_document(str(path), platform=True, against_file=str(broken))
    assert "\n" not in str(refusal.value)
