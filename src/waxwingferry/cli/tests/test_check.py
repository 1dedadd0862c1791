"""The check of a document before it is sent."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from waxwingferry.cli import check
from waxwingferry.cli import main
from waxwingferry.cli.tests import test_commands
from waxwingferry.process import admin
from waxwingferry.process import program
from waxwingferry.process import settings
from waxwingferry.version import document

bridge = test_commands.bridge
table = test_commands.table

GOOD = """\
services:
  - name: desk
    routes:
      - path_prefix: /desk/
"""


def write_file(tmp_path, text: str) -> str:
    """Writes a document; returns its path."""
    path = tmp_path / "checked.yaml"
    path.write_text(text, encoding="utf-8")
    return str(path)


@pytest.mark.parametrize(
    ("text", "code", "line"),
    [
        (GOOD, 0, ": good"),
        (
            GOOD.replace("/desk/", "/desk?x"),
            1,
            ":4: warning: services.0.routes.0.path_prefix: can never match",
        ),
        (
            GOOD.replace("/desk/", "desk"),
            2,
            ":4: error: services.0.routes.0.path_prefix: 'desk': String",
        ),
    ],
)
def test_errors_and_warnings_differ_by_exit_code(
    tmp_path, capsys, text, code, line
) -> None:
    """Guards against scripts that can't tell a warning from an error."""
    file = write_file(tmp_path, text)
    assert main.check_document(file, offline=True) == code
    assert capsys.readouterr().out.startswith(f"{file}{line}")
    assert main.check_document(file, offline=True, json=True) == code
    report = json.loads(capsys.readouterr().out)
    assert len(report["findings"]) == min(code, 1)
    assert report["against"] is None


def test_the_check_compares_with_the_document_in_force(
    bridge, tmp_path, capsys
) -> None:
    """Guards against a check that connects and says nothing of changes."""
    bridge.refused_hosts = {"dead"}
    assert main.apply("file.yaml", why="first") == 0
    file = write_file(tmp_path, GOOD.replace("/desk/", "/new/"))
    capsys.readouterr()
    assert main.check_document(file) == 0
    assert capsys.readouterr().out.splitlines()[1:] == [
        "changes against revision 1:",
        "  GET /desk/: no route any more, answered with 404",
        "  HEAD /desk/: no route any more, answered with 404",
        "  GET /new/: new, goes to desk",
        "  HEAD /new/: new, goes to desk",
    ]


def test_without_a_node_the_check_fails_as_an_error(
    monkeypatch, tmp_path
) -> None:
    """Guards against a failed comparison that looks like a warning."""
    monkeypatch.setenv("WAXWINGFERRY_NODES", "127.0.0.1:9")
    with pytest.raises(program.UsageError):
        main.check_document(write_file(tmp_path, GOOD))


def test_digests_are_checked_against_the_revision_with_the_keys() -> None:
    """Guards against digests that pass the check and are refused later."""
    data = {
        "services": [{"name": "a", "routes": [{"path_prefix": "/"}]}],
        "workspaces": [{"name": "w", "keys": ["sha256:01234567"]}],
    }
    _, found = check.find_findings(data, None, offline=True)
    assert [item.severity for item in found] == ["warning"]
    checked, found = check.find_findings(data, {}, offline=False)
    assert checked is None
    assert [item.place for item in found] == ["workspaces.0.keys.0"]


def test_a_document_that_is_too_large_to_send_is_an_error() -> None:
    """Guards against a good check of what the API refuses for its size."""
    routes = [{"path_prefix": f"/{number:0200}"} for number in range(3000)]
    data = {"services": [{"name": "a", "routes": routes}]}
    checked, found = check.find_findings(data, None, offline=True)
    assert checked is None
    assert str(admin.MAX_BODY_BYTES) in found[-1].message


def test_apply_and_the_api_tell_warnings_and_are_not_stopped(
    bridge, capsys
) -> None:
    """Guards against warnings that block a change, or that nobody sees."""
    bridge.refused_hosts = {"dead"}
    text = test_commands.DOCUMENT.replace("/desk/", "/desk?x")
    with open("file.yaml", "w", encoding="utf-8") as file:
        file.write(text)
    assert main.apply("file.yaml", why="first") == 0
    # The node's log comes first.
    output = capsys.readouterr().out.splitlines()[-2:]
    assert output[0].startswith("warning: services.0.routes.0.path_prefix")
    assert output[1].startswith("revision 1 accepted")


_TEXT = strategies.text(max_size=6)
_VALUE = strategies.one_of(
    _TEXT,
    strategies.integers(-2, 700_000),
    strategies.booleans(),
    strategies.none(),
)
_ROUTE = strategies.fixed_dictionaries(
    {
        "path_prefix": strategies.sampled_from(["/", "/a", "/a?", "/\u00e9"])
        | _TEXT
    },
    optional={
        "methods": strategies.lists(
            strategies.sampled_from(["GET", "PUT", "get", "CONNECT"])
        ),
        "deadline_ms": strategies.integers(-1, 700_000) | _VALUE,
        "idempotent": strategies.booleans() | _VALUE,
        "anonymous": strategies.booleans(),
    },
)
_NAME = strategies.sampled_from(["a", "b", "A"])
_DOCUMENT = strategies.fixed_dictionaries(
    {},
    optional={
        "services": strategies.lists(
            strategies.fixed_dictionaries(
                {"name": _NAME, "routes": strategies.lists(_ROUTE, max_size=3)},
                optional={"member_weights": strategies.just({"a": 1.5})},
            ),
            max_size=3,
        ),
        "workspaces": strategies.lists(
            strategies.fixed_dictionaries(
                {"name": _NAME, "keys": strategies.lists(_TEXT, max_size=2)}
            ),
            max_size=2,
        ),
        "budgets": strategies.fixed_dictionaries(
            {}, optional={"retry_ratio": strategies.floats(0, 2) | _VALUE}
        ),
        "x": _VALUE,
    },
)


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(data=_DOCUMENT)
def test_no_document_that_passes_is_refused(data) -> None:
    """Guards against a check that is weaker than the one of the nodes."""
    checked, found = check.find_findings(data, None, offline=False)
    if checked is None:
        assert found
        return
    sent = json.loads(json.dumps(checked.model_dump(mode="json")))
    request = {"base": 0, "document": sent, "why": "w", "change_id": "0" * 32}
    body = json.dumps(request).encode()
    parsed = admin.ChangeRequest.model_validate_json(body)
    accepted, errors = document.check(parsed.document)
    assert accepted is not None, errors
    assert len(body) <= admin.MAX_BODY_BYTES
    assert document.make_revision(1, accepted).number == 1


def test_unusable_files_are_one_line(tmp_path) -> None:
    """Guards against tracebacks for files that are no documents."""
    for text in ("a: [", "\t", "a: b: c"):
        file = write_file(tmp_path, text)
        with pytest.raises(settings.SettingsError) as refusal:
            main.check_document(file, offline=True)
        assert "\n" not in str(refusal.value)
    assert main.check_document(write_file(tmp_path, "5"), offline=True) == 2
