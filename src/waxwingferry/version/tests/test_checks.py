"""Checks of documents: each warning with the smallest document that has it."""

import pytest

from waxwingferry.version import checks
from waxwingferry.version import document
from waxwingferry.version import findings


def make_document(route: dict | None = None, **keys) -> dict:
    """Returns a document with one service and one route."""
    routes = [{"path_prefix": "/desk/", "idempotent": True} | (route or {})]
    return {"services": [{"name": "desk", "routes": routes}]} | keys


def list_places(data: dict) -> list[str]:
    """Returns the places of the warnings about a valid document."""
    checked, errors = document.check(data)
    assert checked is not None, errors
    return [item.place for item in checks.find_warnings(checked)]


WORKSPACE = {"name": "acme", "keys": ["k"]}


@pytest.mark.parametrize(
    ("data", "place"),
    [
        (make_document({"path_prefix": "/a?b"}), "routes.0.path_prefix"),
        (make_document({"path_prefix": "/a#b"}), "routes.0.path_prefix"),
        (make_document({"path_prefix": "/\u00e9"}), "routes.0.path_prefix"),
        (make_document({"path_prefix": "/\x01"}), "routes.0.path_prefix"),
        (make_document({"methods": ["CONNECT"]}), "routes.0.methods"),
        (make_document({"methods": ["GET", "GET"]}), "routes.0.methods"),
        (make_document({"deadline_ms": 2}), "routes.0.deadline_ms"),
        (make_document({"objective_ms": 5001}), "routes.0.objective_ms"),
        (make_document({"anonymous": True}), "routes.0.anonymous"),
    ],
)
def test_a_route_that_serves_no_request_is_found(data, place) -> None:
    """Guards against routes that are accepted and never serve a request."""
    assert list_places(data) == [f"services.0.{place}"]


@pytest.mark.parametrize(
    ("data", "place"),
    [
        (
            make_document(
                failure_domains=[{"name": "d", "region": "r", "state": "out"}]
            ),
            "failure_domains",
        ),
        (make_document(budgets={"retry_ratio": 0}), "budgets.retry_ratio"),
        (
            make_document(
                {"idempotent": False}, budgets={"claim_writes_per_s": 0}
            ),
            "budgets.claim_writes_per_s",
        ),
        (
            make_document({"anonymous": True}, workspaces=[WORKSPACE]),
            "workspaces",
        ),
        (
            make_document(workspaces=[{"name": "acme", "keys": []}]),
            "workspaces.0.keys",
        ),
        *(
            (
                make_document(workspaces=[{"name": "acme", "keys": [key]}]),
                "workspaces.0.keys.0",
            )
            for key in ("\u00e9", "\x00", " k", "k\t")
        ),
    ],
)
def test_a_setting_without_the_meant_effect_is_found(data, place) -> None:
    """Guards against settings that are accepted and refuse what is meant."""
    assert list_places(data) == [place]


def test_a_weight_of_no_workspace_is_found() -> None:
    """Guards against weights that are ignored because of a typing mistake."""
    data = make_document(workspaces=[WORKSPACE])
    data["services"][0]["member_weights"] = {"acme": 2, "acne": 3}
    assert list_places(data) == ["services.0.member_weights.acne"]
    data["services"][0]["routes"].append(
        {"path_prefix": "/open/", "anonymous": True, "idempotent": True}
    )
    assert list_places(data) == []


def test_an_ordinary_document_has_no_findings() -> None:
    """Guards against warnings that operators learn to ignore."""
    domains = [
        {"name": "d1", "region": "r", "state": "out"},
        {"name": "d2", "region": "r"},
    ]
    data = make_document(failure_domains=domains, workspaces=[WORKSPACE])
    assert list_places(data) == []
    assert list_places({}) == []


def test_messages_show_no_key() -> None:
    """Guards against keys in the output of the check."""
    workspace = {"name": "acme", "keys": ["s3cr\u00e9t", " s3cret"]}
    checked, _ = document.check(make_document(workspaces=[workspace]))
    assert checked is not None
    found = checks.find_warnings(checked)
    assert len(found) == 2
    assert "s3cr" not in "".join(item.text for item in found)


def test_objective_and_priority_of_a_route_are_in_force() -> None:
    """Guards against priorities that only the users' platform can state."""
    checked, _ = document.check(
        make_document({"objective_ms": 300, "priority": 2})
    )
    assert checked is not None
    route = document.make_revision(1, checked).match_route("GET", "/desk/a")
    assert route is not None
    assert (route.objective_s, route.priority) == (0.3, 2)
    checked, _ = document.check(make_document())
    assert checked is not None
    route = document.make_revision(1, checked).match_route("GET", "/desk/a")
    assert route is not None
    assert (route.objective_s, route.priority) == (route.deadline_s, 0)
    # Nodes of earlier programs refuse keys that they don't know.
    stored = checked.model_dump(mode="json")["services"][0]["routes"][0]
    assert not {"objective_ms", "priority"}.intersection(stored)


def test_an_error_line_is_split_into_place_and_text() -> None:
    """Guards against findings whose line in the file can't be found."""
    _, errors = document.check({"services": 5, "extra": 1})
    places = [findings.make_error(line).place for line in errors]
    assert places == ["services", "extra"]
    text = "services.0.x = 'a: b': no"
    assert findings.make_error(text).text == "services.0.x: 'a: b': no"
    assert findings.make_error("no place here").place == ""


def test_lines_are_those_of_the_values() -> None:
    """Guards against findings that point to another line."""
    text = (
        "# revision: 1\nservices:\n  - name: a\n    routes:\n      - {x: 1}\n"
    )
    lines = findings.LineIndex(text)
    assert lines.find_line("services.0.routes.0.x") == 5
    assert lines.find_line("services.0.name") == 3
    assert lines.find_line("services.0.routes.7.x") == 5
    assert lines.find_line("budgets") == 2
    assert findings.LineIndex("").find_line("services") == 1
