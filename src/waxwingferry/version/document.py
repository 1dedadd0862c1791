"""The operators' document: services, routes and failure domains."""

from typing import Annotated
from typing import Literal

import pydantic

DOCUMENT_KEY = "document/current"

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9_.-]{0,62}$")]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Route(_Model):
    """Requests of one service that are treated alike.

    Attributes:
        path_prefix: Start of the paths that belong to the route.
        methods: Methods that belong to the route.
        idempotent: Whether a request may run more than once.
        deadline_ms: Time for the whole call unless the caller gives less.
    """

    path_prefix: Annotated[str, pydantic.Field(pattern=r"^/\S*$")]
    methods: tuple[str, ...] = ("GET", "HEAD")
    idempotent: bool = False
    deadline_ms: Annotated[int, pydantic.Field(ge=1, le=600_000)] = 5000


class Service(_Model):
    """One service.

    Attributes:
        name: Name that targets announce.
        member_header: Field that names the member a caller belongs to.
        member_weights: Weight of each member; others have weight 1.
        routes: Routes; the longest matching prefix decides.
    """

    name: Name
    member_header: Annotated[str, pydantic.Field(pattern=r"^[a-z0-9-]+$")] = (
        "x-member"
    )
    member_weights: dict[str, Annotated[float, pydantic.Field(gt=0)]] = {}
    routes: Annotated[tuple[Route, ...], pydantic.Field(min_length=1)]


class FailureDomain(_Model):
    """One failure domain and whether it takes work."""

    name: Name
    region: Name
    state: Literal["in", "out"] = "in"


class Budgets(_Model):
    """Limits on work that the system makes for itself.

    Attributes:
        retry_ratio: Retries per call, over the last ten seconds.
        probe_per_s: Load probes per second and node.
        claim_writes_per_s: Platform writes per second for claims, all nodes.
    """

    retry_ratio: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.1
    probe_per_s: Annotated[float, pydantic.Field(ge=0, le=1000)] = 10
    claim_writes_per_s: Annotated[float, pydantic.Field(ge=0)] = 200


class Document(_Model):
    """The whole document of the operators."""

    services: tuple[Service, ...] = ()
    failure_domains: tuple[FailureDomain, ...] = ()
    budgets: Budgets = Budgets()

    @pydantic.model_validator(mode="after")
    def check_names(self) -> "Document":
        """Refuses two services or failure domains of one name."""
        for kind, items in (
            ("services", self.services),
            ("failure_domains", self.failure_domains),
        ):
            names = [item.name for item in items]
            doubled = sorted({n for n in names if names.count(n) > 1})
            if doubled:
                raise ValueError(f"{kind}: {doubled[0]!r} is named twice")
        return self


class Revision:
    """One accepted document with the look-ups that calls need.

    Args:
        number: Revision number, from 1.
        document: The document.
    """

    def __init__(self, number: int, document: Document):
        self.number = number
        self.document = document
        self.domains_out = frozenset(
            d.name for d in document.failure_domains if d.state == "out"
        )
        self.routes = sorted(
            (
                (route.path_prefix, service, route)
                for service in document.services
                for route in service.routes
            ),
            key=lambda item: -len(item[0]),
        )
        self.services = {s.name: s for s in document.services}

    def match_route(
        self, method: str, target: str
    ) -> tuple[Service, Route] | None:
        """Returns the route of a request, or None."""
        path = target.partition("?")[0]
        for prefix, service, route in self.routes:
            if method in route.methods and path.startswith(prefix):
                return service, route
        return None
