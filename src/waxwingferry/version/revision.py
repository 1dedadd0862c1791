"""Accepted document, indexed for the handling of requests."""

import dataclasses
from typing import Any

from waxwingferry.version import api_keys

ANY_HOST = ""
DEFAULT_MAX_ATTEMPTS = 3


class DocumentError(Exception):
    """The content of a document is invalid."""


@dataclasses.dataclass(slots=True, frozen=True)
class WeightedService:
    """Service that gets a share of a route's requests, by its weight."""

    service: str
    weight: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Class of requests with common settings.

    Attributes:
        name: Unique name of the route.
        weighted_services: Services that share the requests by weight.
        path_prefix: Prefix of the request paths that match the route.
        host: Host of the requests that match the route, or ANY_HOST.
        methods: Methods that match the route; empty for all.
        idempotent: Whether a request may be executed more than once.
        deadline_s: Deadline of the whole call, in seconds.
        objective_s: Latency objective, in seconds; a response within it has
            its full value.
        max_attempts: Maximum number of targets that one call may reach.
        priority: Priority; 0 is the highest.
        anonymous: Whether requests need no key of a workspace.
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
    anonymous: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Workspace:
    """Customer of a shared cluster, whose callers present API keys.

    Attributes:
        name: Unique name.
        priority: Priority of its requests in place of their route's, or None.
    """

    name: str
    priority: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """One service.

    Attributes:
        name: Name that targets announce.
        member_header: Header field that names the member of a caller.
        member_weights: Weight of each member; others have weight 1.
        health_path: Path of a target's health and load, or empty.
        warmup_rate_per_s: Requests per second that a target can handle while
            it warms up; 0 if unknown.
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
    """Order to move all traffic of a service to one version.

    Attributes:
        version: Version that the rollout is to.
        duration_s: Time within which the rollout is to be decided, in seconds.
        number: Number of the order; later orders have higher numbers.
    """

    service: str
    version: str
    duration_s: float
    number: int


@dataclasses.dataclass(slots=True, frozen=True)
class Budgets:
    """Budgets for work that the system causes itself.

    Attributes:
        retry_ratio: Retries per call, over the last ten seconds.
        retry_slack: Additional retries in the same window, over all nodes.
        probe_per_s: Load probes per second and node.
        claim_writes_per_s: Platform writes per second for claims, over all
            nodes.
    """

    retry_ratio: float = 0.1
    retry_slack: float = 0.0
    probe_per_s: float = 10.0
    claim_writes_per_s: float = 200.0


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on one caller; None keeps the default.

    Attributes:
        head_bytes: Maximum size of a request's head.
        body_bytes: Maximum size of a request's body.
        head_s: Maximum time for the whole head after its first byte.
        idle_s: Maximum time that a connection may stay idle.
    """

    head_bytes: int | None = None
    body_bytes: int | None = None
    head_s: float | None = None
    idle_s: float | None = None


class _PrefixIndex:
    """The routes of one host, by path prefix.

    A look-up takes one step for each different length of a prefix, however
    many routes there are.
    """

    def __init__(self):
        self.routes_by_prefix: dict[str, list[Route]] = {}
        # Different lengths of the prefixes, the longest first.
        self.lengths: list[int] = []

    def add(self, route: Route) -> None:
        """Adds a route; of equal prefixes the one added first matches."""
        prefix = route.path_prefix
        self.routes_by_prefix.setdefault(prefix, []).append(route)
        if len(prefix) not in self.lengths:
            self.lengths.append(len(prefix))
            self.lengths.sort(reverse=True)

    def match(self, method: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None."""
        for length in self.lengths:
            if length > len(path):
                continue
            for route in self.routes_by_prefix.get(path[:length], ()):
                if not route.methods or method in route.methods:
                    return route
        return None


class Revision:
    """Revision of the document that has been accepted.

    Args:
        number: Revision number, from 1.
        content: Document as JSON data, in the form that nodes exchange.
        routes: All routes.
        services: All services by name.
        domains_out: Failure domains that take no work.
        rollouts: Rollout orders, by service.
        budgets: Budgets for work that the system causes itself.
        caller_limits: Limits on one caller.
        workspaces: Workspaces by name; without any, callers need no keys.
        workspaces_by_digest: The same by the digest of each of their keys.
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
        workspaces: dict[str, Workspace] | None = None,
        workspaces_by_digest: dict[bytes, Workspace] | None = None,
    ):
        self.number = number
        self.content = content
        self.services = services
        self.domains_out = domains_out
        self.rollouts = rollouts or {}
        self.budgets = budgets or Budgets()
        self.caller_limits = caller_limits or CallerLimits()
        self.workspaces = workspaces or {}
        self.workspaces_by_digest = workspaces_by_digest or {}
        self.routes_by_host: dict[str, _PrefixIndex] = {}
        for route in routes:
            index = self.routes_by_host.setdefault(route.host, _PrefixIndex())
            index.add(route)

    def find_workspace(self, key: str) -> Workspace | None:
        """Returns the workspace that holds an API key, or None."""
        return self.workspaces_by_digest.get(api_keys.hash_key(key))

    def match_route(
        self, method: str, target: str, host: str = ANY_HOST
    ) -> Route | None:
        """Returns the route with the longest matching prefix, or None."""
        index = self.routes_by_host.get(host.lower())
        if index is None:
            index = self.routes_by_host.get(ANY_HOST)
        if index is None:
            return None
        return index.match(method, target.partition("?")[0])
