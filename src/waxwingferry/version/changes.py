"""What changes for callers and operators between two revisions.

A difference of two texts shows what was edited. This shows what follows from
it: which requests go elsewhere, and which keys stop working.
"""

from collections.abc import Iterator
import dataclasses

from waxwingferry.version import revision as revisions
from waxwingferry.version import shown_keys

# Stands for the methods of a route that matches all.
_ANY_METHOD = ""


@dataclasses.dataclass(slots=True, frozen=True)
class _Match:
    """Requests that a route is for."""

    host: str
    path_prefix: str
    method: str

    @property
    def text(self) -> str:
        """The requests as operators write them."""
        method = self.method or "all methods"
        return f"{method} {self.host}{self.path_prefix}"


def describe(old: revisions.Revision, new: revisions.Revision) -> Iterator[str]:
    """Yields one line for each change that callers or operators can notice."""
    yield from _describe_routes(old, new)
    yield from _describe_keys(old, new)
    yield from _describe_services(old, new)
    yield from _describe_domains(old, new)
    yield from _describe_budgets(old, new)


def _list_matches(
    revision: revisions.Revision,
) -> dict[_Match, revisions.Route]:
    return {
        _Match(host, route.path_prefix, method): route
        for host, index in revision.routes_by_host.items()
        for routes in index.routes_by_prefix.values()
        # Of routes for the same requests, the first one matches.
        for route in reversed(routes)
        for method in route.methods or (_ANY_METHOD,)
    }


def _find_route(
    revision: revisions.Revision, match: _Match
) -> revisions.Route | None:
    """Returns the route of the requests that another revision has one for."""
    return revision.match_route(
        match.method or "GET", match.path_prefix, match.host
    )


def _describe_routes(
    old: revisions.Revision, new: revisions.Revision
) -> Iterator[str]:
    before, after = _list_matches(old), _list_matches(new)
    for match in dict.fromkeys([*before, *after]):
        old_route = before.get(match) or _find_route(old, match)
        new_route = after.get(match) or _find_route(new, match)
        changes = list(_compare_routes(old_route, new_route, old, new))
        if changes:
            yield f"{match.text}: {'; '.join(changes)}"


def _compare_routes(
    old_route: revisions.Route | None,
    new_route: revisions.Route | None,
    old: revisions.Revision,
    new: revisions.Revision,
) -> Iterator[str]:
    if new_route is None:
        yield "no route any more, answered with 404"
        return
    if old_route is None:
        yield f"new, goes to {_name_services(new_route)}"
        return
    if old_route.weighted_services != new_route.weighted_services:
        yield (
            f"goes to {_name_services(new_route)} instead of "
            f"{_name_services(old_route)}"
        )
    for name in ("idempotent", "max_attempts", "priority"):
        before, after = getattr(old_route, name), getattr(new_route, name)
        if before != after:
            yield f"{name} {before} -> {after}"
    for name in ("deadline_s", "objective_s"):
        before, after = getattr(old_route, name), getattr(new_route, name)
        if before != after:
            yield f"{name} {before:g} -> {after:g}"
    needed_key = bool(old.workspaces) and not old_route.anonymous
    needs_key = bool(new.workspaces) and not new_route.anonymous
    if needed_key != needs_key:
        yield "needs an API key" if needs_key else "needs no API key any more"


def _name_services(route: revisions.Route) -> str:
    services = route.weighted_services
    if len(services) == 1:
        return services[0].service
    return ", ".join(f"{item.service} ({item.weight:g})" for item in services)


def _describe_keys(
    old: revisions.Revision, new: revisions.Revision
) -> Iterator[str]:
    before, after = old.workspaces_by_digest, new.workspaces_by_digest
    for digest in dict.fromkeys([*before, *after]):
        shown = shown_keys.show_digest(digest)
        old_owner, new_owner = before.get(digest), after.get(digest)
        if new_owner is None and old_owner is not None:
            yield f"key {shown} of {old_owner.name}: stops working"
        elif old_owner is None and new_owner is not None:
            yield f"key {shown} of {new_owner.name}: starts working"
        elif old_owner and new_owner and old_owner.name != new_owner.name:
            yield (
                f"key {shown}: belongs to {new_owner.name} instead of "
                f"{old_owner.name}"
            )
    for name, workspace in new.workspaces.items():
        earlier = old.workspaces.get(name)
        if earlier is not None and earlier.priority != workspace.priority:
            yield (
                f"workspace {name}: priority {_name_priority(earlier)} -> "
                f"{_name_priority(workspace)}"
            )


def _name_priority(workspace: revisions.Workspace) -> str:
    if workspace.priority is None:
        return "of the route"
    return str(workspace.priority)


def _describe_services(
    old: revisions.Revision, new: revisions.Revision
) -> Iterator[str]:
    for name, service in new.services.items():
        earlier = old.services.get(name)
        if earlier is None:
            yield f"service {name}: new"
            continue
        if earlier.member_header != service.member_header:
            yield (
                f"service {name}: members are named by "
                f"{service.member_header} instead of {earlier.member_header}"
            )
        if earlier.member_weights != service.member_weights:
            yield f"service {name}: weights of members change"
    for name in old.services:
        if name not in new.services:
            yield f"service {name}: gone, its targets get no requests"


def _describe_domains(
    old: revisions.Revision, new: revisions.Revision
) -> Iterator[str]:
    for name in sorted(new.domains_out - old.domains_out):
        yield f"failure domain {name}: gets no new requests any more"
    for name in sorted(old.domains_out - new.domains_out):
        yield f"failure domain {name}: gets requests again"


def _describe_budgets(
    old: revisions.Revision, new: revisions.Revision
) -> Iterator[str]:
    for field in dataclasses.fields(revisions.Budgets):
        before = getattr(old.budgets, field.name)
        after = getattr(new.budgets, field.name)
        if before != after:
            yield f"budget {field.name}: {before:g} -> {after:g}"
