"""Checks of a config of the users' platform before the operator writes it."""

from collections.abc import Iterator
import itertools
from typing import Any

from waxwingferry.platform import operator_document
from waxwingferry.platform import parsing
from waxwingferry.platform import settings_file
from waxwingferry.version import checks
from waxwingferry.version import findings
from waxwingferry.version import revision as revisions


def parse(config: Any) -> revisions.Revision:
    """Returns a config as a revision that is not in force.

    Raises:
        revisions.DocumentError: A node would not take the config.
    """
    content = {operator_document.CONFIG_KEY: {"value": config, "version": 1}}
    return operator_document.parse_document(
        1,
        content,
        settings_file.Bounds(),
        operator_document.RouteCache(),
    )


def find_warnings(config: dict[str, Any]) -> list[findings.Finding]:
    """Returns the warnings about a config that nodes take."""
    return [
        findings.Finding(findings.Severity.WARNING, place, message)
        for place, message in itertools.chain(
            _check_hosts(config),
            _check_paths(config),
            _check_services(config),
            _check_tenants(config),
        )
    ]


def _list_paths(config: dict[str, Any]) -> Iterator[tuple[str, str, Any]]:
    """Yields place, authority and settings of each path."""
    for number, host in enumerate(config["virtual-hosts"]):
        for index, path in enumerate(host["paths"]):
            place = f"virtual-hosts.{number}.paths.{index}"
            yield place, host["authority"].lower(), path


def _check_hosts(config: dict[str, Any]) -> Iterator[tuple[str, str]]:
    for number, host in enumerate(config["virtual-hosts"]):
        if not host["paths"]:
            yield (
                f"virtual-hosts.{number}.paths",
                f"no request to {host['authority']!r} has a route",
            )


def _check_paths(config: dict[str, Any]) -> Iterator[tuple[str, str]]:
    services = {item["name"] for item in config["services"]}
    first_places: dict[tuple[str, str], str] = {}
    for place, authority, path in _list_paths(config):
        prefix = str(path["prefix"])
        reason = checks.find_unmatchable_reason(prefix)
        if not prefix.startswith("/"):
            reason = "paths begin with a slash"
        first = first_places.setdefault((authority, prefix), place)
        if first != place:
            reason = f"{first} has the same prefix"
        if reason:
            yield f"{place}.prefix", f"can never match: {reason}"
        yield from _check_targets(place, path, services)
        yield from _check_times(place, path)
        if path.get("anonymous") and not config.get("tenants"):
            yield (
                f"{place}.anonymous",
                "has no effect: without tenants no request needs a key",
            )


def _check_targets(
    place: str, path: dict[str, Any], services: set[str]
) -> Iterator[tuple[str, str]]:
    shares = path.get("weighted-targets")
    if shares is None:
        if path["service"] not in services:
            yield f"{place}.service", f"no service is named {path['service']!r}"
        return
    if not any(float(share["weight"]) > 0 for share in shares):
        yield (
            f"{place}.weighted-targets",
            "the weights add up to nothing, so each request is refused",
        )
    for index, share in enumerate(shares):
        if share["service"] not in services:
            yield (
                f"{place}.weighted-targets.{index}.service",
                f"no service is named {share['service']!r}",
            )


def _check_times(place: str, path: dict[str, Any]) -> Iterator[tuple[str, str]]:
    timeout_ms = parsing.parse_duration(path["timeout"]) * 1000
    objective_ms = parsing.parse_duration(path["target-latency"]) * 1000
    if timeout_ms <= checks.RESERVE_MS:
        yield (
            f"{place}.timeout",
            f"{timeout_ms:g} ms leave no time for a target, so each request "
            "would be refused",
        )
    if objective_ms > timeout_ms:
        yield (
            f"{place}.target-latency",
            f"has no effect: the timeout of {timeout_ms:g} ms comes first",
        )
    if int(path["max-attempts"]) < 1:
        yield f"{place}.max-attempts", "allows no attempt beyond the first"


def _check_services(config: dict[str, Any]) -> Iterator[tuple[str, str]]:
    used = {
        share["service"]
        for _, _, path in _list_paths(config)
        for share in path.get("weighted-targets", [path])
    }
    for index, item in enumerate(config["services"]):
        if item["name"] not in used:
            yield (
                f"services.{index}",
                f"no route leads to {item['name']!r}",
            )


def _check_tenants(config: dict[str, Any]) -> Iterator[tuple[str, str]]:
    for number, tenant in enumerate(config.get("tenants") or []):
        place = f"tenants.{number}.api-keys"
        keys = tenant.get("api-keys") or []
        if not keys:
            yield place, f"no caller can be of {tenant['name']!r} without a key"
        for index, key in enumerate(keys):
            reason = checks.find_unpresentable_reason(key)
            if reason:
                # The key itself must not be shown.
                yield f"{place}.{index}", f"can never be presented: {reason}"
