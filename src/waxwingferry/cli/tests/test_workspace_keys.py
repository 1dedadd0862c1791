"""Operators edit documents with API keys, and no program prints a key."""

import json

import httpx
import pytest

from waxwingferry.cli import client
from waxwingferry.cli import main
from waxwingferry.cli.tests import test_commands
from waxwingferry.console import app
from waxwingferry.console.tests import test_app
from waxwingferry.process import program
from waxwingferry.process import settings
from waxwingferry.version import api_keys
from waxwingferry.version import document
from waxwingferry.version import revision as revisions

SECRET = "s3cr3t"
KEYS = [f"{SECRET}-{number}" for number in range(4)]
SHOWN = ["sha256:" + api_keys.shorten_digest(key) for key in KEYS]
DOCUMENT = {
    "services": [
        {
            "name": "desk",
            "routes": [
                {"path_prefix": "/desk/"},
                {"path_prefix": "/open/", "anonymous": True},
            ],
        }
    ],
    "workspaces": [
        {"name": "acme", "keys": KEYS[:2], "priority": 3},
        {"name": "plain", "keys": KEYS[2:3]},
    ],
}
bridge = test_commands.bridge
table = test_commands.table


def write_file(data: dict, base: int) -> str:
    """Writes a document as an operator does; returns the file."""
    with open("file.yaml", "w", encoding="utf-8") as file:
        file.write(f"# revision: {base}\n{json.dumps(data)}\n")
    return "file.yaml"


def make_document(*keys: str) -> dict:
    """Returns a document whose first workspace has the given keys."""
    workspaces = [{"name": "acme", "keys": list(keys)}]
    return DOCUMENT | {"workspaces": workspaces}


def read_keys(table) -> list[list[str]]:
    """Returns the keys of each workspace in the table."""
    value = table.value(document.DOCUMENT_KEY)["document"]
    return [item["keys"] for item in value["workspaces"]]


def test_a_document_has_workspaces_and_anonymous_routes() -> None:
    """Guards against keys of the document that open nothing."""
    revision = document.parse_revision(1, DOCUMENT)
    found = [revision.find_workspace(key) for key in KEYS]
    acme, plain = revision.workspaces["acme"], revision.workspaces["plain"]
    assert found == [acme, acme, plain, None]
    assert (acme.priority, plain.priority) == (3, None)
    for path, anonymous in (("/desk/", False), ("/open/", True)):
        route = revision.match_route("GET", path)
        assert route is not None
        assert route.anonymous is anonymous
    again = document.parse_revision(2, revision.content)
    assert again.find_workspace(KEYS[0]) == acme
    checked = document.Document.model_validate(DOCUMENT)
    assert SECRET not in repr([checked, revision, vars(revision)["workspaces"]])


def test_earlier_programs_understand_documents_without_workspaces() -> None:
    """Guards against nodes that stop following while others are upgraded."""
    services = [{"name": "desk", "routes": [{"path_prefix": "/desk/"}]}]
    content = document.parse_revision(1, {"services": services}).content
    assert "workspaces" not in content
    assert "anonymous" not in content["services"][0]["routes"][0]


@pytest.mark.parametrize(
    ("workspaces", "places"),
    [
        (
            [{"name": "a", "keys": ["x", SECRET, SECRET]}],
            ["workspaces.0.keys.1", "workspaces.0.keys.2"],
        ),
        (
            [{"name": n, "keys": [SECRET]} for n in "ab"],
            ["workspaces.0.keys.0", "workspaces.1.keys.0"],
        ),
        (
            [{"name": "a", "keys": [n]} for n in "xy"],
            ["workspaces.0.name", "workspaces.1.name"],
        ),
        ([{"name": "a", "keys": [""]}], ["workspaces.0.keys.0"]),
        ([{"name": "a", "keys": [SECRET * 40]}], ["workspaces.0.keys.0"]),
        ([{"name": "a", "keys": SECRET}], ["workspaces.0.keys"]),
        ([{"name": "a", "key": SECRET, "keys": []}], ["workspaces.0.key"]),
        ([{"name": SECRET.upper(), "keys": []}], ["workspaces.0.name"]),
        ([SECRET], ["workspaces.0"]),
        ({SECRET: SECRET}, ["workspaces"]),
    ],
)
def test_an_error_names_places_and_no_key(workspaces, places) -> None:
    """Guards against ambiguous keys, and against keys in messages."""
    data = DOCUMENT | {"workspaces": workspaces}
    with pytest.raises(revisions.DocumentError) as raised:
        document.parse_revision(1, data)
    assert SECRET not in repr(raised.value)
    assert SECRET not in repr(raised.value.__cause__)
    assert SECRET not in repr(raised.value.__context__)
    for place in places:
        assert place in str(raised.value)
    with pytest.raises(ValueError, match="validation error") as invalid:
        document.Document.model_validate(data)
    assert SECRET.lower() not in repr(invalid.value).lower()


@pytest.mark.parametrize(
    "text",
    [
        f"workspace: [{{name: a, keys: [{SECRET}]}}]",
        f"workspaces: [{{name: a, keys: [{SECRET}]}}",
        f"workspaces: [{{name: a, keys: [*{SECRET}]}}]",
        f"workspaces: [{{name: a, keys: [!{SECRET} x]}}]",
        f"workspaces: [{{name: a, keys: {{{SECRET}: 1, {SECRET}: 2}}}}]",
        f"workspaces: [{{name: a, keys: ['{SECRET}]}}]",
        f"api-key: {SECRET}",
        f"- {SECRET}",
        SECRET,
    ],
)
def test_a_faulty_file_is_refused_without_its_keys(
    tmp_path, text, capsys
) -> None:
    """Guards against keys on the screens and in the records of operators."""
    file = tmp_path / "file.yaml"
    file.write_text(text, encoding="utf-8")
    with pytest.raises(settings.SettingsError) as raised:
        main.validate(str(file))
    assert SECRET not in repr(raised.value)
    _, errors = app.parse_document(text)
    assert errors
    assert SECRET not in repr(errors)


def test_a_shown_document_is_applied_with_its_keys(
    bridge, table, capsys
) -> None:
    """Guards against keys that are printed, or lost by an edit."""
    main.apply(write_file(DOCUMENT, 0), why="first")
    capsys.readouterr()
    main.show()
    text = capsys.readouterr().out
    lines = text.splitlines()
    assert lines[:3] == [
        "# revision: 1",
        "# workspace acme: 2 keys",
        "# workspace plain: 1 key",
    ]
    # The operator takes away one key and adds another.
    text = text.replace(SHOWN[0], KEYS[3])
    with open("file.yaml", "w", encoding="utf-8") as file:
        file.write(text)
    main.diff("file.yaml")
    main.apply("file.yaml", why="second")
    assert read_keys(table) == [[KEYS[3], KEYS[1]], [KEYS[2]]]
    main.diff(old=1, new=2)
    main.restore(1, why="back")
    assert read_keys(table) == [KEYS[:2], KEYS[2:3]]
    main.history()
    main.status()
    out = capsys.readouterr().out
    assert out.count(f"-  - {SHOWN[0]}") == 2
    assert out.count(f"+  - {SHOWN[3]}") == 2
    assert SECRET not in out


def test_a_conflict_is_described_without_keys(bridge) -> None:
    """Guards against keys in the difference that another operator gets."""
    main.apply(write_file(make_document(KEYS[0]), 0), why="first")
    main.apply(write_file(make_document(KEYS[1]), 1), why="second")
    with pytest.raises(client.ConflictError) as raised:
        main.apply(write_file(make_document(KEYS[2]), 1), why="late")
    assert f"+  - {SHOWN[1]}" in str(raised.value)
    assert SECRET not in str(raised.value)


def test_a_digest_is_never_taken_for_a_key(bridge, table) -> None:
    """Guards against a key that anyone can read from the screen."""
    main.apply(write_file(make_document(KEYS[0]), 0), why="first")
    with pytest.raises(settings.SettingsError, match="workspaces.0.keys.0"):
        main.apply(write_file(make_document(SHOWN[1]), 1), why="second")
    with pytest.raises(program.CommandError, match="workspaces.0.keys.0"):
        client.make_client().put_document(make_document(SHOWN[0]), 1, "raw")
    assert read_keys(table) == [[KEYS[0]]]


@pytest.mark.anyio
async def test_the_console_shows_no_keys_and_keeps_them() -> None:
    """Guards against keys on a page, or lost by an edit on it."""
    node = test_app.FakeAdminApi()
    node.document = DOCUMENT
    admin = client.Client(["n0:1"], "a" * 16, httpx.MockTransport(node.handle))
    transport = httpx.ASGITransport(
        app.Console(admin, test_app.ORIGIN).make_app()
    )
    async with httpx.AsyncClient(
        transport=transport, base_url=test_app.ORIGIN
    ) as browser:
        page = (await browser.get("/document")).text
        assert SHOWN[0] in page
        shown = document.to_yaml(document.Document.model_validate(DOCUMENT))
        form = {
            "token": await test_app.get_token(browser),
            "text": shown.replace(SHOWN[2], KEYS[3]),
            "base": "3",
            "why": "x",
        }
        checked = (await browser.post("/check", data=form)).text
        assert f"-  - {SHOWN[2]}" in checked
        await browser.post("/accept", data=form)
    (body,) = node.put_bodies
    keys = [item["keys"] for item in body["document"]["workspaces"]]
    assert keys == [KEYS[:2], KEYS[3:]]
    assert SECRET not in page
