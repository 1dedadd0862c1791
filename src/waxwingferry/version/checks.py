"""Checks of a document beyond its schema: what can never match or take effect.

A document with warnings is valid. Each check names what the document most
likely doesn't mean, such as a route that no request can match.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import itertools

from waxwingferry.request import calls
from waxwingferry.version import document
from waxwingferry.version import findings

# HTTP methods whose request targets are no paths (RFC 9112, section 3.2).
_METHODS_WITHOUT_PATH = frozenset({"CONNECT"})
RESERVE_MS = calls.RETURN_RESERVE_S * 1000


def find_warnings(checked: document.Document) -> list[findings.Finding]:
    """Returns the warnings about a valid document."""
    return [
        findings.Finding(findings.Severity.WARNING, place, message)
        for place, message in itertools.chain(
            _check_routes(checked),
            _check_domains(checked),
            _check_budgets(checked),
            _check_workspaces(checked),
            _check_weights(checked),
        )
    ]


def _list_routes(
    checked: document.Document,
) -> Iterator[tuple[str, document.Route]]:
    for number, service in enumerate(checked.services):
        for index, route in enumerate(service.routes):
            yield f"services.{number}.routes.{index}", route


def _check_routes(checked: document.Document) -> Iterator[tuple[str, str]]:
    for place, route in _list_routes(checked):
        reason = find_unmatchable_reason(route.path_prefix)
        if reason:
            yield f"{place}.path_prefix", f"can never match: {reason}"
        methods = set(route.methods)
        if methods <= _METHODS_WITHOUT_PATH:
            yield (
                f"{place}.methods",
                "can never match: requests of these methods have no path",
            )
        if len(methods) < len(route.methods):
            yield f"{place}.methods", "names a method twice"
        if route.deadline_ms <= RESERVE_MS:
            yield (
                f"{place}.deadline_ms",
                f"{route.deadline_ms} ms leave no time for a target: "
                f"{RESERVE_MS:g} ms are reserved for the way back, so each "
                "request would be refused",
            )
        if (route.objective_ms or 0) > route.deadline_ms:
            yield (
                f"{place}.objective_ms",
                f"has no effect: the deadline of {route.deadline_ms} ms comes "
                "first",
            )
        if route.anonymous and not checked.workspaces:
            yield (
                f"{place}.anonymous",
                "has no effect: without workspaces no request needs a key",
            )


def find_unmatchable_reason(path_prefix: str) -> str:
    """Returns why no request path begins with a prefix, or an empty text."""
    if "?" in path_prefix:
        return "paths are compared without their query"
    if "#" in path_prefix:
        return "clients send no fragment"
    if not path_prefix.isascii():
        return "clients send paths in ASCII, with other characters as %XX"
    if not path_prefix.isprintable():
        return "paths have no control characters"
    return ""


def _check_domains(checked: document.Document) -> Iterator[tuple[str, str]]:
    domains = checked.failure_domains
    if domains and all(item.state == "out" for item in domains):
        yield (
            "failure_domains",
            "all failure domains named are out: if there are no others, each "
            "request is refused",
        )


def _check_budgets(checked: document.Document) -> Iterator[tuple[str, str]]:
    budgets = checked.budgets
    if budgets.retry_ratio == 0:
        yield (
            "budgets.retry_ratio",
            "0 forbids all retries that need the budget",
        )
    has_claims = any(not route.idempotent for _, route in _list_routes(checked))
    if has_claims and budgets.claim_writes_per_s == 0:
        yield (
            "budgets.claim_writes_per_s",
            "0 refuses each request with an Idempotency-Key, although there "
            "are routes that are not idempotent",
        )


def _check_workspaces(checked: document.Document) -> Iterator[tuple[str, str]]:
    routes = [route for _, route in _list_routes(checked)]
    if checked.workspaces and routes and all(r.anonymous for r in routes):
        yield "workspaces", "no route needs a key, as all are anonymous"
    for number, workspace in enumerate(checked.workspaces):
        place = f"workspaces.{number}.keys"
        if not workspace.keys:
            yield place, f"no caller can be of {workspace.name!r} without a key"
        for index, key in enumerate(workspace.keys):
            reason = find_unpresentable_reason(key)
            if reason:
                # The key itself must not be shown.
                yield f"{place}.{index}", f"can never be presented: {reason}"


def find_unpresentable_reason(key: str) -> str:
    """Returns why no request can present a key, or an empty text."""
    if not key.isascii():
        return "callers can send only ASCII"
    if not key.replace("\t", " ").isprintable():
        return "header fields have no control characters"
    if key != key.strip(" ") or key.endswith("\t"):
        return "spaces around a key are ignored in requests"
    return ""


def _check_weights(checked: document.Document) -> Iterator[tuple[str, str]]:
    names = {item.name for item in checked.workspaces}
    if not names:
        return
    for number, service in enumerate(checked.services):
        if any(route.anonymous for route in service.routes):
            # Their members are not workspaces.
            continue
        for member in _find_unknown(service.member_weights, names):
            yield (
                f"services.{number}.member_weights.{member}",
                "has no effect: there is no workspace of this name, and no "
                "anonymous route",
            )


def _find_unknown(members: Iterable[str], names: set[str]) -> list[str]:
    return [member for member in members if member not in names]
