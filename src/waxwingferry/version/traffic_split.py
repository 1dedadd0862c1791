"""Splitting of a route's requests among its weighted services."""

import random

from waxwingferry.version import revision


class TrafficSplitter:
    """Splits requests by smooth weighted round-robin.

    With each request, each service of the route is owed more in proportion to
    its weight, and the service that is owed most gets the request. A random
    choice would deviate too much over the few requests of one node.

    Args:
        rng: Source of the initial amounts, so that the nodes do not all start
            with the same service.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.owed: dict[tuple[str, tuple], dict[str, float]] = {}

    def choose(self, route: revision.Route) -> str:
        """Returns the service that gets the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        total = sum(weighted.weight for weighted in route.weighted_services)
        key = (route.name, route.weighted_services)
        if key not in self.owed:
            self.owed = {
                known: value
                for known, value in self.owed.items()
                if known[0] != route.name
            }
            self.owed[key] = {
                weighted.service: self.rng.random() * weighted.weight / total
                for weighted in route.weighted_services
            }
        owed = self.owed[key]
        for weighted in route.weighted_services:
            owed[weighted.service] += weighted.weight / total
        chosen = max(owed, key=lambda name: owed[name])
        owed[chosen] -= 1.0
        return chosen
