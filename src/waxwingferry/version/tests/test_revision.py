"""Look-up of routes in a revision of the document."""

import random

import pytest

from waxwingferry.version import revision


def _make_route(
    number: int, prefix: str, host: str = "", methods: tuple[str, ...] = ()
) -> revision.Route:
    services = (revision.WeightedService("desk"),)
    return revision.Route(f"r{number}", services, prefix, host, methods)


def _find_by_comparison(
    routes: list[revision.Route], method: str, path: str
) -> revision.Route | None:
    """Returns the longest match by comparing the path with each prefix."""
    matching = [
        route
        for route in routes
        if path.startswith(route.path_prefix)
        and (not route.methods or method in route.methods)
    ]
    return max(matching, key=lambda item: len(item.path_prefix), default=None)


@pytest.mark.parametrize("seed", range(5))
def test_the_longest_matching_prefix_wins(seed: int) -> None:
    """Guards against another route than a comparison with each one finds."""
    rng = random.Random(seed)
    routes = [
        _make_route(
            number,
            "/" + "".join(rng.choices("ab/", k=rng.randrange(5))),
            methods=rng.choice([(), ("GET",), ("POST", "PUT")]),
        )
        for number in range(40)
    ]
    document = revision.Revision(1, {}, routes, {})
    for _ in range(500):
        path = "/" + "".join(rng.choices("ab/", k=rng.randrange(7)))
        method = rng.choice(["GET", "POST", "DELETE"])
        found = document.match_route(method, path + "?a/b", "any.example")
        assert found == _find_by_comparison(routes, method, path)


def test_a_host_with_routes_of_its_own_does_not_use_others() -> None:
    """Guards against requests that reach a service of another host."""
    routes = [
        _make_route(1, "/", "a.example"),
        _make_route(2, "/open/"),
    ]
    document = revision.Revision(1, {}, routes, {})
    own = document.match_route("GET", "/open/", "A.example")
    assert own is not None
    assert own.name == "r1"
    other = document.match_route("GET", "/open/", "b.example")
    assert other is not None
    assert other.name == "r2"
    assert document.match_route("GET", "/", "b.example") is None


def test_a_look_up_does_not_visit_each_route() -> None:
    """Guards against look-ups that slow down with the size of the document.

    A document with 1,468 routes took half a millisecond for each request.
    """
    routes = [
        _make_route(number, f"/service/{number:04d}/") for number in range(1468)
    ]
    document = revision.Revision(1, {}, routes, {})
    index = document.routes_by_host[revision.ANY_HOST]
    assert index.lengths == [len("/service/0000/")]
    assert index.match("GET", "/service/1400/x") == routes[1400]
