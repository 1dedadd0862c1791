"""What must hold when an attempt is sent to the local target."""

from waxwingferry import invariants
from waxwingferry.process.protection import limit as limits
from waxwingferry.process.protection import permits
from waxwingferry.request import outcome


def check(
    permit: permits.Permit,
    in_flight: int,
    limit: limits.Limit,
    closed_reason: outcome.Reason | None,
    now_s: float,
) -> None:
    """Checks a dispatch before it changes any state.

    The attempt of a dispatch that must not be made is given up. Attempts that
    were dispatched before, or wait, are not concerned.

    Args:
        permit: The attempt.
        in_flight: Slots in use after the dispatch.
        limit: Limit of the target.
        closed_reason: Why the target takes no work, or None.
        now_s: Monotonic time of the dispatch.

    Raises:
        invariants.BrokenInvariantError: The attempt must not be sent.
    """
    if not in_flight <= limit.value <= limit.slots:
        detail = (in_flight, limit.value, limit.slots)
        raise invariants.BrokenInvariantError("in_flight", detail)
    if closed_reason is not None:
        raise invariants.BrokenInvariantError("target_closed", closed_reason)
    if permit.state is not permits.State.QUEUED:
        raise invariants.BrokenInvariantError("permit_queued", permit.state)
    if not permit.deadline_s > now_s:
        raise invariants.BrokenInvariantError("permit_deadline")
