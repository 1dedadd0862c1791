"""Defaults of the functions that admission control calls."""

from waxwingferry.process.protection import limit as limits
from waxwingferry.request import outcome


def never_closed() -> outcome.Reason | None:
    """Returns that the target takes work."""
    return None


def equal_weight(member: str) -> float:
    """Returns the same weight for each member."""
    return 1.0


def report_normal_speed() -> float:
    """Returns the slowness of a target at its normal speed."""
    return 1.0


def ignore_reset(cause: limits.ResetCause) -> None:
    """Does nothing."""
