"""A clock that counts the time in which the machine was suspended."""

import time

# The monotonic clock stands still while a machine is suspended; on Linux,
# this one goes on. Other systems have no such clock.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_s() -> float:
    """Returns the seconds since some moment, with suspended time."""
    return time.clock_gettime(_CLOCK)
