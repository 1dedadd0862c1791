"""The target's node: one attempt, admitted and sent to the target."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

from waxwingferry.process import admission
from waxwingferry.process import target
from waxwingferry.request import call
from waxwingferry.request import outcome


class Receiver:
    """Owns admission to the node's own target.

    Args:
        incarnation: Random name of this node process.
        domain_is_out: Tells whether the node's failure domain is out.
    """

    def __init__(self, incarnation: str, domain_is_out: Callable[[], bool]):
        self.incarnation = incarnation
        self.domain_is_out = domain_is_out
        self.link: target.TargetLink | None = None
        self.admission: admission.Admission | None = None
        self.leaving = False

    def announce(self, announcement: target.Announcement) -> bool:
        """Takes an announcement; tells whether it changed anything."""
        old = self.link.announcement if self.link else None
        if old == announcement:
            return False
        if self.link is None or old is None:
            self.link = target.TargetLink(announcement)
            self.admission = admission.Admission(announcement.slots)
            return True
        if (old.host, old.port, old.slots, old.incarnation) != (
            announcement.host,
            announcement.port,
            announcement.slots,
            announcement.incarnation,
        ):
            self.link = target.TargetLink(announcement)
            assert self.admission is not None
            self.admission.slots = announcement.slots
            self.admission.reset_cold()
        self.link.announcement = announcement
        return True

    def check(self, attempt: call.Attempt) -> outcome.NotRun | None:
        """Returns why an attempt is refused before admission, or None."""
        if attempt.incarnation != self.incarnation:
            return outcome.NotRun(outcome.Reason.WRONG_INCARNATION)
        if self.link is None:
            return outcome.NotRun(outcome.Reason.NO_TARGET)
        if self.link.announcement.service != attempt.service:
            return outcome.NotRun(outcome.Reason.NO_TARGET)
        if self.leaving or self.link.announcement.state == "draining":
            return outcome.NotRun(outcome.Reason.LEAVING)
        if self.domain_is_out():
            return outcome.NotRun(outcome.Reason.DOMAIN_OUT)
        if attempt.deadline.remaining_s() <= 0:
            return outcome.NotRun(outcome.Reason.DEADLINE_TOO_SHORT)
        return None

    @contextlib.asynccontextmanager
    async def execute(
        self, attempt: call.Attempt
    ) -> AsyncIterator[outcome.Outcome]:
        """Runs one attempt; the answer can be read inside the context."""
        refusal = self.check(attempt)
        if refusal is not None:
            yield refusal
            return
        assert self.admission is not None
        permit = await self.admission.acquire(attempt.member, attempt.deadline)
        if isinstance(permit, outcome.NotRun):
            yield permit
            return
        succeeded = False
        try:
            # The wait in the queue may have outlived a target or domain.
            refusal = self.check(attempt)
            if refusal is not None:
                yield refusal
                return
            assert self.link is not None
            async with self.link.execute(attempt) as result:
                succeeded = isinstance(result, outcome.Answer)
                yield result
        finally:
            self.admission.release(permit, succeeded)

    def load(self) -> str:
        """Returns the load report for x-waxwing-load."""
        if self.admission is None:
            return "in_flight=0,queue=0,limit=0"
        state = self.admission
        return (
            f"in_flight={state.in_flight},"
            f"queue={len(state.waiting)},limit={state.limit}"
        )
