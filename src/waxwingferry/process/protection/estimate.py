"""Whether an attempt can be expected to end before its deadline.

The wait in the queue follows from the mean over all requests, the service
itself from the distribution of the attempt's own route: a route whose
requests are short must not be refused because another's are long.
"""

from collections.abc import Callable
import math
import time

from waxwingferry.process.protection import service_time

# Routes beyond this number share one distribution of service times.
MAX_ROUTES = 64
OTHER_ROUTES = "(other)"
# With more, a cold target whose queue only holds work that is nearly too late
# would never answer often enough to have an estimate.
MIN_SAMPLES = 3
# An attempt is refused if its chance to end in time is below the first part,
# or, where others wait for the slot, if it has fallen below the second part
# of what it was with the attempt's whole time. Work that ends too late keeps
# its slot for CANCEL_DELAY_S more, which costs the others many turns.
MIN_CHANCE = 0.5
MIN_CHANCE_RATIO = 0.9
# A route without an answer for this long may send one request past the
# estimate, so that refusals can't keep an outdated estimate alive.
STALE_AFTER_S = 1.0
# A target notices a closed connection within this time. The stand-in looks
# every 50 ms at calls older than 50 ms.
CANCEL_DELAY_S = 0.15


class Estimate:
    """Service times of one target, as a whole and by route.

    Args:
        clock: Returns the monotonic time in seconds.
        min_chance_ratio: Part of the initial chance required when others wait,
            or None to compare with the mean of the whole target.
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
        """Returns the name under which a route is kept."""
        has_key = route in self.routes or len(self.routes) < MAX_ROUTES
        return route if has_key else OTHER_ROUTES

    def record(self, route: str, service_s: float) -> None:
        """Learns from the service time of one attempt."""
        self.all.record(service_s)
        if route not in self.routes:
            self.routes[route] = service_time.ServiceTimes(self.clock)
        self.routes[route].record(service_s)

    def record_abandoned(self, route: str, used_s: float) -> None:
        """Learns from an attempt that was given up after used_s seconds.

        Its whole time would have been longer. That says something only if
        it ran longer than most; otherwise it would pull the estimate down.
        """
        if used_s > self._find_service_times(route).quantile(0.5):
            self.record(route, used_s)

    def find_cancel_delay_s(self, route: str, used_s: float) -> float:
        """Returns how long a target may work on after it was given up.

        Work given up early ends by itself like any other. What already ran
        longer than most says nothing of when it will end.
        """
        times = self._find_service_times(route)
        if used_s >= times.quantile(0.5):
            return CANCEL_DELAY_S
        return min(times.quantile(1.0) - used_s, CANCEL_DELAY_S)

    def should_refuse(
        self, route: str, left_s: float, initial_s: float, contended: bool
    ) -> bool:
        """Tells whether an attempt of a route should not be run any more.

        Args:
            route: Name of the route.
            left_s: Time left for the service itself.
            initial_s: Time that the attempt had when it came.
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
        """Tells whether an attempt most likely ends within a time."""
        times = self.routes.get(route)
        if times is None or len(times) < MIN_SAMPLES:
            return left_s > self.all.mean()
        return times.fraction_within(left_s) >= MIN_CHANCE

    def try_take_trial(self, route: str) -> bool:
        """Takes the right to send one request past an old estimate."""
        now_s = self.clock()
        newest_s = self.routes[route].newest_s
        last_s = max(newest_s, self.trial_times_s.get(route, -math.inf))
        if now_s - last_s < STALE_AFTER_S:
            return False
        self.trial_times_s[route] = now_s
        return True

    def clear(self) -> None:
        """Forgets everything; another target process may be faster."""
        self.all.clear()
        self.routes.clear()
        self.trial_times_s.clear()

    def _find_service_times(self, route: str) -> service_time.ServiceTimes:
        return self.routes.get(route, self.all)
