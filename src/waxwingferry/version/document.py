"""Schema of the operators' document: services, routes, workspaces.

The document holds the API keys of workspaces. People are shown the first
digits of a key's digest in its place, see `shown_keys`.
"""

from collections.abc import Iterator
import difflib
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic
import yaml

from waxwingferry.process import settings
from waxwingferry.version import api_keys
from waxwingferry.version import revision
from waxwingferry.version import shown_keys

DOCUMENT_KEY = "document/current"

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9_.-]{0,62}$")]

Method = Annotated[str, pydantic.Field(pattern=r"^[A-Z]{1,20}$")]

Key = Annotated[
    str, pydantic.Field(min_length=1, max_length=api_keys.MAX_KEY_CHARS)
]


class _Model(pydantic.BaseModel):
    # Errors are shown by settings.describe_detail, which hides keys.
    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, hide_input_in_errors=True
    )


class Route(_Model):
    """Class of requests of one service with common settings.

    Attributes:
        path_prefix: Prefix of the request paths that match the route.
        methods: Methods that match the route.
        idempotent: Whether a request may be executed more than once.
        deadline_ms: Time for the whole call, unless the caller gives less.
        objective_ms: Latency objective; a response within it has its full
            value. None stands for the deadline.
        priority: Priority of the requests when targets lack capacity; 0 is
            the highest.
        anonymous: Whether requests need no key of a workspace.
    """

    path_prefix: Annotated[str, pydantic.Field(pattern=r"^/\S*$")]
    methods: Annotated[tuple[Method, ...], pydantic.Field(min_length=1)] = (
        "GET",
        "HEAD",
    )
    idempotent: bool = False
    deadline_ms: Annotated[int, pydantic.Field(ge=1, le=600_000)] = 5000
    objective_ms: Annotated[int, pydantic.Field(ge=1, le=600_000)] | None = None
    priority: Annotated[int, pydantic.Field(ge=0, le=999)] = 0
    anonymous: bool = False

    @pydantic.model_serializer(mode="wrap")
    def omit_unused(
        self, handler: pydantic.SerializerFunctionWrapHandler
    ) -> dict[str, Any]:
        """Omits keys that earlier programs refuse, unless they are used."""
        data = handler(self)
        for name in ("objective_ms", "priority", "anonymous"):
            if not getattr(self, name):
                data.pop(name, None)
        return data


class Service(_Model):
    """One service.

    Attributes:
        name: Name that targets announce.
        member_header: Header field that names the member of a caller.
        member_weights: Weight of each member; others have weight 1.
        routes: Routes; the longest matching prefix wins.
    """

    name: Name
    member_header: Annotated[str, pydantic.Field(pattern=r"^[a-z0-9-]+$")] = (
        "x-member"
    )
    member_weights: dict[str, Annotated[float, pydantic.Field(gt=0)]] = {}
    routes: Annotated[tuple[Route, ...], pydantic.Field(min_length=1)]


class FailureDomain(_Model):
    """One failure domain, and whether it takes work."""

    name: Name
    region: Name
    state: Literal["in", "out"] = "in"


class Workspace(_Model):
    """Customer of a shared cluster.

    Attributes:
        keys: API keys that its callers present.
        priority: Priority of its requests in place of their route's; 0 is the
            highest.
    """

    name: Name
    keys: Annotated[tuple[Key, ...], pydantic.Field(repr=False)]
    priority: Annotated[int, pydantic.Field(ge=0, le=999)] | None = None


class Budgets(_Model):
    """Budgets for work that the system causes itself.

    Attributes:
        retry_ratio: Retries per call, over the last ten seconds.
        probe_per_s: Load probes per second and node.
        claim_writes_per_s: Platform writes per second for claims, over all
            nodes.
    """

    retry_ratio: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.1
    probe_per_s: Annotated[float, pydantic.Field(ge=0, le=1000)] = 10
    claim_writes_per_s: Annotated[float, pydantic.Field(ge=0)] = 200


class Document(_Model):
    """Document of the operators."""

    services: tuple[Service, ...] = ()
    failure_domains: tuple[FailureDomain, ...] = ()
    budgets: Budgets = Budgets()
    workspaces: tuple[Workspace, ...] = ()

    @pydantic.model_serializer(mode="wrap")
    def omit_unused(
        self, handler: pydantic.SerializerFunctionWrapHandler
    ) -> dict[str, Any]:
        """Omits a key that earlier programs refuse, unless it is used."""
        data = handler(self)
        if not self.workspaces:
            data.pop("workspaces", None)
        return data

    @pydantic.model_validator(mode="after")
    def check_duplicates(self) -> "Document":
        """Rejects duplicate names, routes and API keys."""
        problems = [
            *_find_duplicate_names(self),
            *_find_duplicate_routes(self),
            *api_keys.find_problems(_list_keys(self)),
        ]
        if problems:
            raise ValueError("\n".join(problems))
        return self


def _find_duplicate_names(document: Document) -> Iterator[str]:
    for kind, names in (
        ("services", [item.name for item in document.services]),
        ("failure_domains", [item.name for item in document.failure_domains]),
    ):
        for index, name in enumerate(names):
            if name in names[:index]:
                yield f"{kind}.{index}.name = {name!r}: is named twice"


def _find_duplicate_routes(document: Document) -> Iterator[str]:
    """Yields an error for each route that is ambiguous for a request."""
    seen: dict[tuple[str, str], str] = {}
    for number, service in enumerate(document.services):
        for index, route in enumerate(service.routes):
            key_path = f"services.{number}.routes.{index}"
            for method in dict.fromkeys(route.methods):
                key = (route.path_prefix, method)
                first = seen.setdefault(key, key_path)
                if first != key_path:
                    yield (
                        f"{key_path}.path_prefix = {route.path_prefix!r}: "
                        f"{method} belongs to {first} already"
                    )


def _list_keys(document: Document) -> list[api_keys.KeyList]:
    return [
        api_keys.KeyList(
            item.name,
            f"workspaces.{index}.name",
            f"workspaces.{index}.keys",
            item.keys,
        )
        for index, item in enumerate(document.workspaces)
    ]


def check(data: Any) -> tuple[Document | None, list[str]]:
    """Validates a document and collects all errors.

    Returns:
        The document and no errors, or None and one line per error, with the
        key, the value and what is allowed.
    """
    try:
        return Document.model_validate(data), []
    except pydantic.ValidationError as error:
        lines = [
            settings.describe_detail(detail, list(Document.model_fields))
            for detail in error.errors(include_url=False)
            if not _has_invalid_items(detail)
        ]
        return None, [part for line in lines for part in line.splitlines()]


def _has_invalid_items(detail: Any) -> bool:
    """Returns whether a list is too short only due to invalid items."""
    if detail["type"] != "too_short":
        return False
    return len(detail["input"]) >= detail["ctx"]["min_length"]


def to_yaml(document: Document) -> str:
    """Returns a document as YAML for people, in the order of the schema."""
    data = shown_keys.hide(document.model_dump(mode="json"))
    return yaml.safe_dump(data, sort_keys=False)


def compare(old: Document, new: Document, names: tuple[str, str]) -> str:
    """Returns a unified diff of two documents; empty if they are equal."""
    lines = difflib.unified_diff(
        to_yaml(old).splitlines(),
        to_yaml(new).splitlines(),
        *names,
        lineterm="",
    )
    return "\n".join(lines)


def make_revision(number: int, document: Document) -> revision.Revision:
    """Returns the revision of a document, indexed for requests."""
    routes = [
        revision.Route(
            name=f"{route.methods[0]} {route.path_prefix}",
            weighted_services=(revision.WeightedService(service.name),),
            path_prefix=route.path_prefix,
            methods=route.methods,
            idempotent=route.idempotent,
            deadline_s=route.deadline_ms / 1000,
            objective_s=(route.objective_ms or route.deadline_ms) / 1000,
            priority=route.priority,
            anonymous=route.anonymous,
        )
        for service in document.services
        for route in service.routes
    ]
    services = {
        item.name: revision.Service(
            item.name, item.member_header, item.member_weights
        )
        for item in document.services
    }
    budgets = document.budgets
    workspaces = {
        item.name: revision.Workspace(item.name, item.priority)
        for item in document.workspaces
    }
    return revision.Revision(
        number,
        document.model_dump(mode="json"),
        routes,
        services,
        frozenset(
            item.name
            for item in document.failure_domains
            if item.state == "out"
        ),
        budgets=revision.Budgets(
            budgets.retry_ratio,
            probe_per_s=budgets.probe_per_s,
            claim_writes_per_s=budgets.claim_writes_per_s,
        ),
        workspaces=workspaces,
        workspaces_by_digest={
            api_keys.hash_key(key): workspaces[item.name]
            for item in document.workspaces
            for key in item.keys
        },
    )


def parse_revision(number: int, content: Any) -> revision.Revision:
    """Returns the revision that JSON data describes.

    Raises:
        revision.DocumentError: The data is not a valid document.
    """
    checked, errors = check(content)
    if checked is None:
        raise revision.DocumentError("; ".join(errors))
    return make_revision(number, checked)
