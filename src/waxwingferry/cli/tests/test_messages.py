"""Help and error messages of the programs, compared with snapshots."""

import pathlib

import pytest

from waxwingferry.bench import main as bench
from waxwingferry.cli import main as cli
from waxwingferry.emulator import main as emulator
from waxwingferry.process import node
from waxwingferry.process import settings
from waxwingferry.version import document

PROGRAMS = {
    "waxwingferry": cli.main,
    "waxwingferry-node": node.main,
    "waxwingferry-bench": bench.main,
    "waxwingferry-emulator": emulator.main,
}

VALID_SETTINGS = """\
node: n1
caller_port: 26101
local_port: 26102
peer_port: 26103
admin_port: 26104
region: r1
failure_domain: d1
platform_url: http://127.0.0.1:26100
"""

VALID_DOCUMENT = """\
services:
  - name: desk
    routes:
      - path_prefix: /desk/
failure_domains:
  - {name: d1, region: r1}
"""


@pytest.fixture
def run(monkeypatch, capsys):
    """Runs a program; returns exit code, stdout and stderr."""

    def run_program(name, *arguments):
        monkeypatch.setattr("sys.argv", [name, *arguments])
        monkeypatch.setenv("COLUMNS", "80")
        monkeypatch.setenv("PAGER", "")
        with pytest.raises(SystemExit) as exit_info:
            PROGRAMS[name]()
        captured = capsys.readouterr()
        return exit_info.value.code, captured.out, captured.err

    return run_program


@pytest.fixture
def write(tmp_path, monkeypatch):
    """Writes file.yaml in a temporary current directory."""
    monkeypatch.chdir(tmp_path)

    def write_yaml(text):
        (tmp_path / "file.yaml").write_text(text, encoding="utf-8")
        return "file.yaml"

    return write_yaml


@pytest.mark.parametrize("name", PROGRAMS)
def test_version_is_one_line(run, name):
    """Guards against fire parsing --version as a command."""
    code, out, err = run(name, "--version")
    assert (code, err) == (0, "")
    assert out.startswith(f"{name} ")
    assert out.count("\n") == 1


@pytest.mark.parametrize("name", ["waxwingferry", "waxwingferry-node"])
def test_help_goes_to_output(run, snapshot, name):
    """Guards against fire starting a pager or writing help to stderr."""
    code, out, err = run(name, "--help")
    assert (code, err) == (0, "")
    assert out == snapshot


def test_help_of_one_command(run, snapshot):
    """Guards against running a command when its help is requested."""
    code, out, err = run("waxwingferry", "apply", "--help")
    assert (code, err) == (0, "")
    assert out == snapshot


@pytest.mark.parametrize(
    "name", ["waxwingferry-bench", "waxwingferry-emulator"]
)
def test_help_of_tools(run, name):
    """Guards against failures of the help of the development tools."""
    code, out, err = run(name, "--help")
    assert (code, err) == (0, "")
    assert out.startswith("NAME")


@pytest.mark.parametrize(
    ("name", "arguments"),
    [
        ("waxwingferry", []),
        ("waxwingferry", ["aply"]),
        ("waxwingferry", ["domain", "away", "d1"]),
        ("waxwingferry", ["apply", "file.yaml"]),
        ("waxwingferry", ["apply", "file.yaml", "--wy", "typo"]),
        ("waxwingferry", ["history", "--last", "many"]),
        ("waxwingferry", ["history", "--last", "500"]),
        ("waxwingferry", ["validate", "a.yaml", "b.yaml"]),
        ("waxwingferry", ["show", "--", "--interactive"]),
        ("waxwingferry", ["show"]),
        ("waxwingferry-node", []),
        ("waxwingferry-node", ["--settings_file", "missing.yaml"]),
        ("waxwingferry-node", ["--setings_file", "missing.yaml"]),
        ("waxwingferry-bench", ["demo", "--seed", "x"]),
        ("waxwingferry-emulator", ["platform", "--prot", "1"]),
    ],
)
def test_bad_arguments_give_one_line(
    run, write, snapshot, monkeypatch, name, arguments
):
    """Guards against fire's own usage text, which has several lines."""
    write(VALID_DOCUMENT)
    monkeypatch.delenv("WAXWINGFERRY_NODES", raising=False)
    code, out, err = run(name, *arguments)
    assert (code, out) == (2, "")
    assert err.count("\n") == 1
    assert err == snapshot


@pytest.mark.parametrize(
    "change",
    [
        "caller_port: 70000",
        "prot: 1",
        "node: Not A Name",
        "log: {level: loud}",
        "admin_tokens: {ann: short-secret}",
        "platform_url: 10.0.0.1:80",
        "seed_peers: [{host: 10.0.0.1}]",
        "region: [",
    ],
)
def test_bad_settings_give_one_line(run, write, snapshot, change):
    """Guards against tracebacks, and against secrets in messages."""
    key = change.partition(":")[0]
    lines = [
        line
        for line in VALID_SETTINGS.splitlines()
        if not line.startswith(f"{key}:")
    ]
    file = write("\n".join([*lines, change]))
    code, out, err = run("waxwingferry-node", "--settings_file", file)
    assert (code, out) == (2, "")
    assert err.count("\n") == 1
    assert err == snapshot
    assert "short-secret" not in err


def test_key_given_twice_is_refused(run, write, snapshot):
    """Guards against YAML silently keeping the last of two values."""
    file = write(VALID_SETTINGS + "node: n2\n")
    code, _, err = run("waxwingferry-node", "--settings_file", file)
    assert code == 2
    assert err == snapshot


def test_valid_document(run, write):
    """Guards against refusing a valid document."""
    file = write(VALID_DOCUMENT)
    assert run("waxwingferry", "validate", file) == (
        0,
        "file.yaml: good\n",
        "",
    )


def test_every_error_of_a_document_names_its_place(run, write, snapshot):
    """Guards against reporting only the first of several errors."""
    file = write(
        """\
services:
  - name: desk
    routes:
      - {path_prefix: desk, deadline_ms: 0}
      - {path_prefix: /a, methods: [get]}
  - {name: registry, routes: []}
failure_domains:
  - {name: d1, region: r1, state: away}
bugets: {}
"""
    )
    code, out, err = run("waxwingferry", "validate", file)
    assert (code, out) == (2, "")
    assert err == snapshot


def test_names_and_routes_that_collide(snapshot):
    """Guards against two routes that match the same requests."""
    route = {"path_prefix": "/a"}
    _, errors = document.check(
        {
            "services": [
                {"name": "desk", "routes": [route, route]},
                {"name": "desk", "routes": [{"path_prefix": "/b"}]},
                {"name": "registry", "routes": [route]},
            ]
        }
    )
    assert errors == snapshot


@pytest.mark.parametrize("kind", ["settings", "document"])
def test_the_examples_of_the_operators_page_are_good(kind, tmp_path):
    """Guards against examples with keys that the programs refuse."""
    root = pathlib.Path(__file__).resolve().parents[4]
    page = (root / "docs" / "operators.md").read_text(encoding="utf-8")
    text = page.split(f"```yaml {kind}\n")[1].split("```")[0]
    file = tmp_path / "example.yaml"
    file.write_text(text, encoding="utf-8")
    if kind == "settings":
        assert settings.load_settings(str(file)).admin_tokens
    else:
        assert cli.validate(str(file)) == 0


def test_the_operators_page_names_every_setting():
    """Guards against a setting that is not documented."""
    root = pathlib.Path(__file__).resolve().parents[4]
    page = (root / "docs" / "operators.md").read_text(encoding="utf-8")
    for name in settings.NodeSettings.model_fields:
        assert f"`{name}" in page
