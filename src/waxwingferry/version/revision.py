"""One accepted document with the look-ups that requests need."""

import dataclasses
from typing import Any

ANY_HOST = ""
DEFAULT_MAX_ATTEMPTS = 3


class DocumentError(Exception):
    """The content of a document is not understood."""


@dataclasses.dataclass(slots=True, frozen=True)
class WeightedService:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Requests that are treated alike.

    Attributes:
        name: Unique name of the route.
        weighted_services: Services that share its requests by weight.
        path_prefix: Start of the paths that belong to the route.
        host: Authority that the route belongs to, or ANY_HOST.
        methods: Methods that belong to the route; empty for all.
        idempotent: Whether a request may run more than once.
        deadline_s: Longest time for the whole call, in seconds.
        objective_s: Time within which an answer is of full use.
        max_attempts: Most targets that one call may reach.
        priority: Rank, 0 is the most urgent.
    """

    name: str
    weighted_services: tuple[WeightedService, ...]
    path_prefix: str
    host: str = ANY_HOST
    methods: tuple[str, ...] = ()
    idempotent: bool = False
    deadline_s: float = 5.0
    objective_s: float = 5.0
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    priority: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """One service.

    Attributes:
        name: Name that targets announce.
        member_header: Field that names the member a caller belongs to.
        member_weights: Weight of each member; others have weight 1.
        health_path: Path that tells a target's health and load, or empty.
        warmup_rate_per_s: Requests per second that a target can take while it
            warms up; 0 if not stated.
        warmup_s: Warm-up time of a target after its start, in seconds.
        max_connections: Connections that a target accepts; 0 for no limit.
    """

    name: str
    member_header: str = ""
    member_weights: dict[str, float] = dataclasses.field(default_factory=dict)
    health_path: str = ""
    warmup_rate_per_s: float = 0.0
    warmup_s: float = 0.0
    max_connections: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutOrder:
    """An order to move a service's traffic to one version.

    Attributes:
        version: The version that shall take all of it.
        duration_s: Time in which the move shall be decided, in seconds.
        number: Number of the order; a later order has a higher one.
    """

    service: str
    version: str
    duration_s: float
    number: int


@dataclasses.dataclass(slots=True, frozen=True)
class Budgets:
    """Limits on work that the system makes for itself.

    Attributes:
        retry_ratio: Retries per call, over the last ten seconds.
        retry_slack: Further retries in such a time, over all nodes.
        probe_per_s: Load probes per second and node.
        claim_writes_per_s: Platform writes per second for claims, all nodes.
    """

    retry_ratio: float = 0.1
    retry_slack: float = 0.0
    probe_per_s: float = 10.0
    claim_writes_per_s: float = 200.0


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """What is taken from one caller; None keeps the default.

    Attributes:
        head_bytes: Size of a request's head.
        body_bytes: Size of a request's body.
        head_s: Time for the whole head after its first byte.
        idle_s: Time that a connection may stay idle.
    """

    head_bytes: int | None = None
    body_bytes: int | None = None
    head_s: float | None = None
    idle_s: float | None = None


class Revision:
    """One accepted document.

    Args:
        number: Revision number, from 1.
        content: The document as JSON data, as it passes between nodes.
        routes: All routes.
        services: All services by name.
        domains_out: Failure domains that take no work.
        rollouts: Orders to roll out versions, by service.
        budgets: Limits on work that the system makes for itself.
        caller_limits: What is taken from one caller.
    """

    def __init__(
        self,
        number: int,
        content: Any,
        routes: list[Route],
        services: dict[str, Service],
        domains_out: frozenset[str] = frozenset(),
        rollouts: dict[str, RolloutOrder] | None = None,
        budgets: Budgets | None = None,
        caller_limits: CallerLimits | None = None,
    ):
        self.number = number
        self.content = content
        self.services = services
        self.domains_out = domains_out
        self.rollouts = rollouts or {}
        self.budgets = budgets or Budgets()
        self.caller_limits = caller_limits or CallerLimits()
        self.routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda item: -len(item.path_prefix)):
            self.routes_by_host.setdefault(route.host, []).append(route)

    def match_route(
        self, method: str, target: str, host: str = ANY_HOST
    ) -> Route | None:
        """Returns the route of a request, or None."""
        path = target.partition("?")[0]
        routes = self.routes_by_host.get(host.lower())
        if routes is None:
            routes = self.routes_by_host.get(ANY_HOST, [])
        for route in routes:
            if route.methods and method not in route.methods:
                continue
            if path.startswith(route.path_prefix):
                return route
        return None
