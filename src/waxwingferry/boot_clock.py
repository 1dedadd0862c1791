"""Monotonic clock that includes time while the system is suspended."""

import time

# On Linux, CLOCK_MONOTONIC stops while the system is suspended and
# CLOCK_BOOTTIME does not. Systems without the latter use the former.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_s() -> float:
    """Returns seconds since an arbitrary start, including suspended time."""
    return time.clock_gettime(_CLOCK)
