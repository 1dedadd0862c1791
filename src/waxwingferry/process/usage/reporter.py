"""Reports each window once to the platform, while this node has the duty."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
import math
from typing import Any

import anyio
import structlog

from waxwingferry import boot_clock
from waxwingferry.process import duties
from waxwingferry.process import metrics
from waxwingferry.process.usage import collector
from waxwingferry.process.usage import true_time
from waxwingferry.process.usage import windows

TICK_S = 0.2
# Token of the node that creates the duty's row.
FIRST_TOKEN = 1
# Age of the row, in windows, at which it is written although no window is
# ready, because nodes don't answer. A row that is two windows old shows other
# nodes that its holder does not act.
RENEWAL_WINDOWS = 1.5
# First wait before a window is stored or sent again. Each try costs a write.
RETRY_MIN_S = 1.0
# Wait before the second send within one write, as after a reset connection.
RESEND_DELAY_S = 0.2
SENDS_PER_WRITE = 2
# Share of the allowed rate that is used; calls may be bunched on their way.
RATE_SHARE = 0.8

log = structlog.get_logger()


class SendResult(enum.Enum):
    """What became of one call to the API."""

    CONFIRMED = "confirmed"
    TOKEN_REFUSED = "token_refused"
    FAILED = "failed"


Send = Callable[[duties.Holding, windows.Report, float], Awaitable[SendResult]]


@dataclasses.dataclass(slots=True)
class Tenure:
    """One time in which this node has the duty.

    Attributes:
        state: The newest state that was certainly stored.
        stored: That state as stored.
        attempted: The state that was last given to the table.
        collected: Final counts of windows that are not stored.
        collecting: Windows that are being collected.
        confirmed: Newest confirmed window, or -1.
        retry_at_s: Boot clock until which nothing is stored or sent again.
        stored_s: Boot clock when the row was last written.
        write_due: Whether the state must be stored although no window is
            ready, because the row lacks a part of it.
        token_refused: Whether the API has seen a higher token. The row is not
            written any more, so that the next candidate takes over.
    """

    token: int
    state: windows.State
    stored: dict[str, Any]
    attempted: dict[str, Any]
    collected: dict[int, windows.Counts] = dataclasses.field(
        default_factory=dict
    )
    collecting: set[int] = dataclasses.field(default_factory=set)
    confirmed: int = -1
    retry_at_s: float = 0.0
    retry_delay_s: float = RETRY_MIN_S
    stored_s: float = 0.0
    write_due: bool = False
    token_refused: bool = False

    def find_ready(self) -> list[windows.Report]:
        """Returns the collected windows that follow the stored ones."""
        ready: list[windows.Report] = []
        window = self.state.next_window
        while window in self.collected:
            ready.append(windows.Report(window, self.collected[window]))
            window += 1
        return ready

    def find_unconfirmed(self) -> list[windows.Report]:
        """Returns the stored windows that are not confirmed."""
        return [
            report
            for report in self.state.pending
            if report.window > self.confirmed
        ]


class Reporter:
    """Collects, stores and sends the counts of each window, in order.

    Args:
        duty: The duty; its row keeps the state.
        source: Collects the counts of a window.
        times: True time.
        send: Calls the API within a timeout in seconds.
        is_needed: Returns whether there is anything to report.
        counters: Metrics of the node.
        window_s: Length of a window.
        late_s: Time after a window's end at which its report is late.
        lease_s: Time without action between two holders.
        rate_per_s: Calls that the API allows in a second.
        clock: Returns the boot clock in seconds.
        sleep: Waits for a number of seconds.

    Attributes:
        tenure: What is known while this node has the duty, or None.
        tried: Counts that this process tried to store, by window. A write of
            unknown outcome may be in a copy of the table, and another holder
            sends what a restored copy shows, so they must not change.
    """

    def __init__(
        self,
        duty: duties.Duty,
        source: collector.Collector,
        times: true_time.TrueTime,
        send: Send,
        is_needed: Callable[[], bool],
        counters: metrics.Metrics,
        window_s: float,
        late_s: float,
        lease_s: float,
        rate_per_s: float,
        clock: Callable[[], float] = boot_clock.read_s,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ):
        self.duty = duty
        self.source = source
        self.times = times
        self.send = send
        self.is_needed = is_needed
        self.counters = counters
        self.window_s = window_s
        self.late_s = late_s
        self.lease_s = lease_s
        self.send_interval_s = 1 / (rate_per_s * RATE_SHARE)
        self.clock = clock
        self.sleep = sleep
        self.tenure: Tenure | None = None
        self.tried: dict[int, windows.Counts] = {}
        # Older windows are not collected again.
        self.max_tried = (
            math.ceil(source.usage.retention_s / window_s) + windows.MAX_PENDING
        )
        self.next_send_s = 0.0
        self.closed = False

    async def run(self) -> None:
        """Reports until cancelled; no failure ends it."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_sending)
            while True:
                try:
                    self.start_collections(group)
                except Exception:
                    log.exception("collection of usage not started")
                await self.sleep(TICK_S)

    async def _run_sending(self) -> None:
        while True:
            try:
                await self.advance()
            except Exception:
                # Whatever was stored is found in the row again.
                log.exception("report of usage failed")
                self.tenure = None
                await self.sleep(RETRY_MIN_S)
            await self.sleep(TICK_S)

    def close(self) -> None:
        """Stops acting, because the node leaves."""
        self.closed = True

    def start_collections(self, group: anyio.abc.TaskGroup) -> None:
        """Starts to collect the windows that have ended."""
        tenure = self.tenure
        now_s = self.times.read_s()
        if tenure is None or now_s is None or not self._may_report():
            return
        if tenure.token_refused:
            return
        last = windows.find_newest_ended(
            now_s, self.window_s, collector.ASK_DELAY_S
        )
        self._bound_open_windows(tenure, last)
        for window in range(tenure.state.next_window, last + 1):
            if window in tenure.collected or window in tenure.collecting:
                continue
            tenure.collecting.add(window)
            group.start_soon(self._collect, tenure, window)

    async def _collect(self, tenure: Tenure, window: int) -> None:
        try:
            counts = await self.source.collect(window)
        except Exception:
            log.exception("usage not collected", window=window)
            await self.sleep(RETRY_MIN_S)
            return
        finally:
            tenure.collecting.discard(window)
        # These counts are final: they may be in the row from now on, even if
        # the table does not confirm it.
        if window >= tenure.state.next_window:
            tenure.collected.setdefault(window, counts)

    def _bound_open_windows(self, tenure: Tenure, last: int) -> None:
        """Gives up the oldest windows if the table was down for long."""
        oldest = last + 1 - windows.MAX_PENDING
        if tenure.state.next_window < oldest:
            self._skip_to(tenure, oldest, "the table was down for too long")

    def _skip_to(self, tenure: Tenure, window: int, reason: str) -> None:
        first = tenure.state.next_window
        tenure.state = windows.skip_to(tenure.state, window)
        for item in [key for key in tenure.collected if key < window]:
            del tenure.collected[item]
        self._count_given_up(first, tenure.state.next_window, reason)

    def _count_given_up(self, first: int, end: int, reason: str) -> None:
        if end <= first:
            return
        log.error(
            "windows of usage given up",
            first=first,
            last=end - 1,
            count=end - first,
            reason=reason,
        )
        self.counters.usage_reports.add({"outcome": "given_up"}, end - first)

    def _may_report(self) -> bool:
        return self.is_needed() and not self.closed and self.duty.holds()

    async def advance(self) -> None:
        """Does what is due: takes up the duty, stores and sends."""
        holding = self.duty.holding
        tenure = self.tenure
        if holding is None or not self._may_report():
            if tenure is not None:
                log.info("usage no longer reported by this node")
                await self.source.keep_connections([])
            self.tenure = None
        elif tenure is None or tenure.token != holding.token:
            self.tenure = None
            await self._open_tenure(holding)
        elif self.duty.state not in (tenure.stored, tenure.attempted):
            # A write with an unknown outcome was applied after a later one
            # was begun, or the row was written outside this class.
            log.warning("state of the duty is not the expected one")
            self.tenure = None
        else:
            await self._report(tenure)

    async def _open_tenure(self, holding: duties.Holding) -> None:
        if not await self.source.find_true_time():
            log.warning("usage not reported: too few clocks for true time")
            return
        duty = self.duty
        now_s = self.times.read_s()
        # Until then an earlier holder may still act on its last write.
        wait_s = duty.act_from_s - self.clock()
        if duty.holding is not holding or now_s is None or wait_s > 0:
            return
        data = duty.state
        window = windows.find_window(now_s, self.window_s)
        if not data and holding.token == FIRST_TOKEN:
            # The row was just created, and there was no earlier holder.
            created_s = now_s + wait_s - self.lease_s
            window = windows.find_window(created_s, self.window_s)
        state = windows.open_state(data, duty.state_incomplete, window)
        self._log_unknown(data, state)
        tenure = Tenure(
            holding.token,
            state,
            data,
            data,
            confirmed=state.confirmed,
            stored_s=self.clock(),
            write_due=windows.format_state(state) != data,
        )
        oldest = windows.find_oldest_retained(
            now_s, self.window_s, self.source.usage.retention_s
        )
        if state.next_window < oldest:
            self._skip_to(tenure, oldest, "its records are not kept any more")
        for window, counts in self.tried.items():
            if window >= tenure.state.next_window:
                tenure.collected[window] = counts
        self.tenure = tenure
        log.info(
            "usage reported by this node",
            token=holding.token,
            next_window=tenure.state.next_window,
            pending=len(state.pending),
        )

    def _log_unknown(self, data: dict[str, Any], state: windows.State) -> None:
        if not data:
            return
        try:
            first = windows.parse_state(data).next_window
        except windows.CountsError as error:
            log.error("state of the duty is malformed", error=str(error))
            return
        self._count_given_up(
            first, state.next_window, "may have been sent before a restore"
        )

    async def _report(self, tenure: Tenure) -> None:
        """Stores what is collected, and sends what is not confirmed."""
        ready = tenure.find_ready()
        age_s = self.clock() - tenure.stored_s
        is_due = tenure.write_due or age_s > RENEWAL_WINDOWS * self.window_s
        if not (ready or is_due or tenure.find_unconfirmed()):
            return
        if tenure.token_refused or self.clock() < tenure.retry_at_s:
            return
        state, given_up = windows.store_reports(
            tenure.state, ready, tenure.confirmed
        )
        data = windows.format_state(state)
        for report in ready:
            self.tried[report.window] = report.counts
        while len(self.tried) > self.max_tried:
            del self.tried[min(self.tried)]
        tenure.attempted = data
        holding = await self.duty.store(data)
        # An unknown outcome counts as a failure; the next try stores the
        # same counts.
        if holding is None or self.duty.state != data:
            self._delay_retry(tenure)
            return
        tenure.state = state
        tenure.stored = data
        tenure.stored_s = self.clock()
        tenure.write_due = False
        for report in ready:
            tenure.collected.pop(report.window, None)
        for window in given_up:
            self._count_given_up(window, window + 1, "not confirmed in time")
        await self._send_unconfirmed(tenure, holding)

    def _delay_retry(self, tenure: Tenure) -> None:
        tenure.retry_at_s = self.clock() + tenure.retry_delay_s
        tenure.retry_delay_s = min(tenure.retry_delay_s * 2, self.window_s)

    async def _send_unconfirmed(
        self, tenure: Tenure, holding: duties.Holding
    ) -> None:
        """Sends the stored windows in order, as long as the node may act."""
        for report in tenure.find_unconfirmed():
            if not await self._send_report(tenure, holding, report):
                self._delay_retry(tenure)
                return
        tenure.retry_delay_s = RETRY_MIN_S

    async def _send_report(
        self, tenure: Tenure, holding: duties.Holding, report: windows.Report
    ) -> bool:
        for number in range(SENDS_PER_WRITE):
            if number:
                await self.sleep(RESEND_DELAY_S)
            wait_s = self.next_send_s - self.clock()
            if wait_s > 0:
                await self.sleep(wait_s)
            if self.closed or not self.duty.may_act():
                return False
            now_s = self.clock()
            self.next_send_s = now_s + self.send_interval_s
            result = await self.send(
                holding, report, self.duty.abort_at_s - now_s
            )
            if result is SendResult.CONFIRMED:
                tenure.confirmed = report.window
                self._record_confirmed(holding, report)
                return True
            if result is SendResult.TOKEN_REFUSED:
                log.error("token refused by the API", token=holding.token)
                tenure.token_refused = True
                return False
        return False

    def _record_confirmed(
        self, holding: duties.Holding, report: windows.Report
    ) -> None:
        end_s = windows.get_start_s(report.window + 1, self.window_s)
        now_s = self.times.read_s() or end_s
        self.counters.usage_reports.inc({"outcome": "reported"})
        log.info(
            "usage reported",
            window=report.window,
            token=holding.token,
            workspaces=len(report.counts),
            requests=sum(report.counts.values()),
            after_end_ms=round((now_s - end_s) * 1000),
        )

    def update_gauge(self) -> None:
        """Updates the gauge of windows; 0 on nodes without the duty."""
        status = {} if self.tenure is None else self._count(self.tenure)
        for state in ("open", "late"):
            value = status.get(state, 0)
            self.counters.usage_windows.set({"state": state}, value)

    def _count(self, tenure: Tenure) -> dict[str, int]:
        """Returns the numbers of windows that ended and are not confirmed."""
        now_s = self.times.read_s() or 0.0
        last = windows.find_newest_ended(now_s, self.window_s, 0.0)
        last_late = windows.find_newest_ended(now_s, self.window_s, self.late_s)
        pending = [item.window for item in tenure.find_unconfirmed()]
        next_window = tenure.state.next_window
        late = sum(window <= last_late for window in pending)
        return {
            "open": len(pending) + max(last + 1 - next_window, 0),
            "late": late + max(last_late + 1 - next_window, 0),
            "confirmed": tenure.confirmed,
        }

    def describe(self) -> dict[str, Any]:
        """Returns the state for operators."""
        if self.tenure is None:
            return {"holds": False}
        return {
            "holds": True,
            **self._count(self.tenure),
        }
