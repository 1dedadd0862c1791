"""What changes for callers between two documents."""

import pytest

from waxwingferry.version import changes
from waxwingferry.version import document

DESK = {"name": "desk", "routes": [{"path_prefix": "/"}]}
SHOP = {"name": "shop", "routes": [{"path_prefix": "/shop/"}]}


def describe(old: dict, new: dict) -> list[str]:
    """Returns the changes between two valid documents."""
    revisions = []
    for number, data in enumerate((old, new)):
        checked, errors = document.check(data)
        assert checked is not None, errors
        revisions.append(document.make_revision(number, checked))
    return list(changes.describe(*revisions))


def make_document(route: dict, **keys) -> dict:
    """Returns a document with one service and one route for GET."""
    routes = [{"path_prefix": "/", "methods": ["GET"]} | route]
    return {"services": [{"name": "desk", "routes": routes}]} | keys


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ({}, {"services": [DESK]}, ["GET /: new, goes to desk"]),
        (
            {"services": [DESK]},
            {},
            ["GET /: no route any more, answered with 404"],
        ),
        (
            {"services": [DESK, SHOP]},
            {"services": [DESK]},
            ["GET /shop/: goes to desk instead of shop"],
        ),
        (
            make_document({"deadline_ms": 100}),
            make_document({"deadline_ms": 50, "idempotent": True}),
            [
                "GET /: idempotent False -> True; deadline_s 0.1 -> 0.05; "
                "objective_s 0.1 -> 0.05"
            ],
        ),
        (
            make_document({}),
            make_document({}, workspaces=[{"name": "a", "keys": ["k"]}]),
            ["GET /: needs an API key", "key sha256:8254c329 of a: starts "],
        ),
    ],
)
def test_changes_of_routes_are_told_by_their_effect(old, new, expected) -> None:
    """Guards against a removed route whose requests silently go elsewhere."""
    lines = describe(old, new)
    for text in expected:
        assert any(line.startswith(text) for line in lines), lines


def test_keys_are_told_by_what_callers_notice() -> None:
    """Guards against keys that stop working without notice."""
    old = make_document(
        {},
        workspaces=[
            {"name": "a", "keys": ["gone", "moved"]},
            {"name": "b", "keys": ["kept"]},
        ],
    )
    new = make_document(
        {},
        workspaces=[
            {"name": "a", "keys": ["new"], "priority": 1},
            {"name": "b", "keys": ["kept", "moved"]},
        ],
    )
    lines = describe(old, new)
    assert sorted(line.rpartition(": ")[2] for line in lines) == [
        "belongs to b instead of a",
        "priority of the route -> 1",
        "starts working",
        "stops working",
    ]


def test_services_domains_and_budgets_are_compared() -> None:
    """Guards against changes that the comparison leaves out."""
    domain = {"name": "d", "region": "r"}
    old = {"services": [DESK], "failure_domains": [domain]}
    new = {
        "services": [DESK | {"member_weights": {"x": 2}}],
        "failure_domains": [domain | {"state": "out"}],
        "budgets": {"retry_ratio": 0.2},
    }
    assert describe(old, new) == [
        "service desk: weights of members change",
        "failure domain d: gets no new requests any more",
        "budget retry_ratio: 0.1 -> 0.2",
    ]
    assert describe(new, old)[1] == "failure domain d: gets requests again"
    assert describe(old, old) == []
