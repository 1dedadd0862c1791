"""Estimates whether an attempt will finish before its deadline.

The queueing time is estimated from the mean service time of all requests, the
service time from the distribution of the attempt's own route. So requests of a
fast route are not refused because another route is slow.
"""

from collections.abc import Callable
import math
import time

from waxwingferry.process.protection import service_time

# Further routes share one distribution of service times.
MAX_ROUTES = 64
OTHER_ROUTES = "(other)"
# With more, a target in warm-up whose queue only holds attempts close to their
# deadlines would never answer often enough to get an estimate.
MIN_SAMPLES = 3
# An attempt is refused if its probability of finishing in time is less than
# this.
MIN_CHANCE = 0.5
# If others wait for the slot, an attempt is also refused if this probability
# fell below this share of what it was at the submission. An attempt that misses
# its deadline keeps its slot for up to CANCEL_DELAY_S more; many others could
# be served in that time.
MIN_CHANCE_RATIO = 0.9
# A route without an answer for this long may send one trial request against the
# estimate. Otherwise an outdated estimate could refuse all requests that would
# correct it.
STALE_AFTER_S = 1.0
# Time within which a target notices a closed connection. The emulated target
# checks every 50 ms, for calls older than 50 ms.
CANCEL_DELAY_S = 0.15


class Estimate:
    """Service times of one target, in total and by route.

    Args:
        clock: Returns the monotonic time in seconds.
        min_chance_ratio: Fraction of the initial probability required while
            others wait, or None to compare with the mean of all routes.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        min_chance_ratio: float | None = MIN_CHANCE_RATIO,
    ):
        self.clock = clock
        self.min_chance_ratio = min_chance_ratio
        self.all = service_time.ServiceTimes(clock)
        self.routes: dict[str, service_time.ServiceTimes] = {}
        self.trial_times_s: dict[str, float] = {}

    def find_route_key(self, route: str) -> str:
        """Returns the key under which a route is stored."""
        has_key = route in self.routes or len(self.routes) < MAX_ROUTES
        return route if has_key else OTHER_ROUTES

    def record(self, route: str, service_s: float) -> None:
        """Records the service time of one attempt."""
        self.all.record(service_s)
        if route not in self.routes:
            self.routes[route] = service_time.ServiceTimes(self.clock)
        self.routes[route].record(service_s)

    def record_abandoned(self, route: str, used_s: float) -> None:
        """Records an attempt that was abandoned after used_s seconds.

        Its full service time would have been longer. It counts only if it ran
        longer than the median; otherwise it would bias the estimate down.
        """
        if used_s > self._find_service_times(route).quantile(0.5):
            self.record(route, used_s)

    def find_cancel_delay_s(self, route: str, used_s: float) -> float:
        """Returns how long the target may work on an abandoned attempt.

        An attempt abandoned early finishes within the known service times. For
        one that already ran longer than the median, the end is unknown.
        """
        times = self._find_service_times(route)
        if used_s >= times.quantile(0.5):
            return CANCEL_DELAY_S
        return min(times.quantile(1.0) - used_s, CANCEL_DELAY_S)

    def should_refuse(
        self, route: str, left_s: float, initial_s: float, contended: bool
    ) -> bool:
        """Returns whether an attempt is too unlikely to finish in time.

        Args:
            route: Key of the route.
            left_s: Time left for the service itself.
            initial_s: Time until the deadline at the submission.
            contended: Whether others wait for the slot.
        """
        times = self.routes.get(route)
        if times is None or len(times) < MIN_SAMPLES:
            return False
        if self.min_chance_ratio is None:
            return self.all.mean() > left_s
        chance = times.fraction_within(left_s)
        if chance < MIN_CHANCE:
            return True
        return (
            contended
            and chance
            < self.min_chance_ratio * times.fraction_within(initial_s)
        )

    def is_likely_within(self, route: str, left_s: float) -> bool:
        """Returns whether an attempt will probably finish within a time."""
        times = self.routes.get(route)
        if times is None or len(times) < MIN_SAMPLES:
            return left_s > self.all.mean()
        return times.fraction_within(left_s) >= MIN_CHANCE

    def try_take_trial(self, route: str) -> bool:
        """Allows a request against an outdated estimate; returns whether."""
        now_s = self.clock()
        newest_s = self.routes[route].newest_s
        last_s = max(newest_s, self.trial_times_s.get(route, -math.inf))
        if now_s - last_s < STALE_AFTER_S:
            return False
        self.trial_times_s[route] = now_s
        return True

    def clear(self) -> None:
        """Removes all samples; a new target process may be faster."""
        self.all.clear()
        self.routes.clear()
        self.trial_times_s.clear()

    def _find_service_times(self, route: str) -> service_time.ServiceTimes:
        return self.routes.get(route, self.all)
