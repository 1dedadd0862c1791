"""Estimates whether an attempt will finish before its deadline.

The queueing time is estimated from the mean service time of all requests, the
service time from the distribution of the attempt's own route. So requests of a
fast route are not refused because another route is slow.

Times are recorded divided by the slowness of the target at that time, and
expected times are multiplied by its present slowness, for as long as a slow
phase probably lasts. So a slow phase leaves no wrong estimate behind.
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
# Time for which the present slowness is expected to last. Slow phases of 0.5 s
# have half of it left on average. With 0.3 s or more, the model in
# benchmarks/least_cost_admission.py answered fewer requests in time.
SLOW_PHASE_LEFT_S = 0.25


def _never_slow() -> float:
    return 1.0


class Estimate:
    """Service times of one target, in total and by route.

    Args:
        clock: Returns the monotonic time in seconds.
        min_chance_ratio: Fraction of the initial probability required while
            others wait, or None to compare with the mean of all routes.
        find_slowness: Returns the present service time of the target relative
            to normal, 1 if it is not known.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        min_chance_ratio: float | None = MIN_CHANCE_RATIO,
        find_slowness: Callable[[], float] = _never_slow,
    ):
        self.clock = clock
        self.find_slowness = find_slowness
        self.min_chance_ratio = min_chance_ratio
        self.all = service_time.ServiceTimes(clock)
        self.routes: dict[str, service_time.ServiceTimes] = {}
        self.trial_times_s: dict[str, float] = {}

    def find_route_key(self, route: str) -> str:
        """Returns the key under which a route is stored."""
        has_key = route in self.routes or len(self.routes) < MAX_ROUTES
        return route if has_key else OTHER_ROUTES

    def record(self, route: str, used_s: float, slowness: float = 1.0) -> None:
        """Records the service time of one attempt.

        Args:
            route: Key of the route.
            used_s: Time that the attempt took.
            slowness: Slowness of the target in that time.
        """
        service_s = used_s / slowness
        self.all.record(service_s)
        if route not in self.routes:
            self.routes[route] = service_time.ServiceTimes(self.clock)
        self.routes[route].record(service_s)

    def record_abandoned(
        self, route: str, used_s: float, slowness: float = 1.0
    ) -> None:
        """Records an attempt that was abandoned after used_s seconds.

        Its full service time would have been longer. It counts only if it ran
        longer than the median; otherwise it would bias the estimate down.
        """
        median_s = self._find_service_times(route).quantile(0.5)
        if used_s / slowness > median_s:
            self.record(route, used_s, slowness)

    def find_mean_s(self) -> float:
        """Returns the expected service time of any route at present."""
        return self._apply_slowness(self.all.mean())

    def find_route_mean_s(self, route: str) -> float:
        """Returns the expected service time of a route at present."""
        times = self.routes.get(route)
        if times is None or len(times) < MIN_SAMPLES:
            return self.find_mean_s()
        return self._apply_slowness(times.mean())

    def find_work_s(self, route: str) -> float:
        """Returns the time in which a route is probably served at present."""
        times = self.routes.get(route)
        if times is None or len(times) < MIN_SAMPLES:
            return self.find_mean_s()
        return self._apply_slowness(times.quantile(MIN_CHANCE))

    def find_safe_s(self, route: str) -> float:
        """Returns the time left from which should_refuse() is always false."""
        times = self._find_service_times(route)
        return self._apply_slowness(times.quantile(1.0))

    def find_cancel_delay_s(
        self, route: str, used_s: float, slowness: float = 1.0
    ) -> float:
        """Returns how long the target may work on an abandoned attempt.

        An attempt abandoned early finishes within the known service times. For
        one that already ran longer than the median, the end is unknown.
        """
        times = self._find_service_times(route)
        if used_s / slowness >= times.quantile(0.5):
            return CANCEL_DELAY_S
        return min(times.quantile(1.0) * slowness - used_s, CANCEL_DELAY_S)

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
            return self.find_mean_s() > left_s
        chance = times.fraction_within(self._remove_slowness(left_s))
        if chance < MIN_CHANCE:
            return True
        return (
            contended
            and chance
            < self.min_chance_ratio
            * times.fraction_within(self._remove_slowness(initial_s))
        )

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

    def _apply_slowness(self, service_s: float) -> float:
        """Returns the expected time of work that takes service_s normally."""
        slowness = max(self.find_slowness(), 1.0)
        delay_s = SLOW_PHASE_LEFT_S * (1 - 1 / slowness)
        return min(service_s * slowness, service_s + delay_s)

    def _remove_slowness(self, left_s: float) -> float:
        """Returns the normal service time of work that fits into left_s."""
        slowness = max(self.find_slowness(), 1.0)
        delay_s = SLOW_PHASE_LEFT_S * (1 - 1 / slowness)
        return max(left_s / slowness, left_s - delay_s)

    def _find_service_times(self, route: str) -> service_time.ServiceTimes:
        return self.routes.get(route, self.all)
