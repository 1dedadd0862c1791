"""Which requests are blamed when targets end."""

import dataclasses
import random

import msgspec
import pytest

from waxwingferry import decoding
from waxwingferry.process.protection import crash_suspects
from waxwingferry.process.spreading import crash_reports
from waxwingferry.process.spreading import gossip
from waxwingferry.process.spreading import members

DEADLY = 2**64 - 1


class Table(crash_suspects.CrashSuspects):
    """A table with a clock that tests set."""

    def __init__(self):
        super().__init__(lambda: self.time_s)
        self.time_s = 1000.0


def test_a_request_at_two_ends_is_quarantined() -> None:
    """Guards against a third target being given the same request."""
    table = Table()
    assert table.record_end(1, [DEADLY, 5, 6]) == {DEADLY, 5, 6}
    assert not table.is_quarantined(DEADLY)
    table.time_s += 1
    assert table.record_end(2, [DEADLY, 7, 8]) == {DEADLY}
    assert table.is_quarantined(DEADLY)
    assert not any(table.is_quarantined(number) for number in (5, 6, 7, 8))


def test_targets_that_end_together_count_as_one_end() -> None:
    """Guards against refusing what many callers send after a loss of power.

    Such a request is in flight at all targets of its service. No target is
    left that could clear it with an answer.
    """
    table = Table()
    for end in range(crash_suspects.MAX_ENDS):
        table.record_end(end, [5])
        table.time_s += crash_suspects.SIMULTANEOUS_S / 8
    assert not table.is_quarantined(5)


def test_one_end_is_counted_once() -> None:
    """Guards against two reports of one end counting as two ends."""
    table, other = Table(), Table()
    other.record_end(1, [DEADLY])
    for _ in range(3):
        table.merge(other.list_most_suspected(9))
        table.record_end(1, [DEADLY])
    assert not table.is_quarantined(DEADLY)


def test_a_complete_answer_clears_a_request() -> None:
    """Guards against refusals of requests that happened to be in flight."""
    table = Table()
    for end in range(20):
        table.time_s += 1
        table.record_end(end, [5])
        table.time_s += 1
        table.record_completion(5)
    assert not table.is_quarantined(5)
    assert not table.find_blamed_ends(5)


def test_a_request_that_was_cleared_often_is_quarantined_later() -> None:
    """Guards against ends without limit under a request answered before.

    Requests that many callers send are in flight at many ends. One of them can
    become deadly with the data that it asks for.
    """
    table = Table()
    for end in range(crash_suspects.MAX_ENDS):
        table.record_end(end, [DEADLY])
        table.record_completion(DEADLY)
        table.time_s += 1
    table.time_s += crash_suspects.REPLACEMENT_AGE_S
    for end in range(crash_suspects.MAX_BLAMED_ENDS):
        assert not table.is_quarantined(DEADLY)
        table.record_end(100 + end, [DEADLY])
        table.time_s += 1
    assert table.is_quarantined(DEADLY)


@pytest.mark.parametrize("seed", range(20))
def test_many_closed_ends_do_not_keep_nodes_talking(seed: int) -> None:
    """Guards against ends that nodes remind each other of without end.

    Each datagram shifts the time of an end by its delay.
    """
    rng = random.Random(seed)
    tables = [Table() for _ in range(4)]
    mail: list[tuple[Table, list[crash_suspects.Report]]] = []

    def connect(table: Table) -> None:
        def send(reports: list[crash_suspects.Report]) -> None:
            mail.extend(
                (other, reports)
                for other in tables
                if reports and other is not table and rng.random() < 0.8
            )

        table.on_change = send

    def deliver() -> None:
        table, reports = mail.pop(rng.randrange(len(mail)))
        delay_s = rng.uniform(0, 0.1)
        table.merge(
            crash_suspects.Report(
                report.fingerprint,
                tuple(
                    dataclasses.replace(end, at_s=end.at_s + delay_s)
                    for end in report.ends
                ),
            )
            for report in reports
        )

    for table in tables:
        connect(table)
    for end in range(40):
        for table in tables:
            table.time_s += 2
        rng.choice(tables).record_end(end, [DEADLY])
        for _ in range(min(rng.randrange(12), len(mail))):
            deliver()
        rng.choice(tables).record_completion(DEADLY)
    for _ in range(20_000):
        if mail:
            deliver()
    assert not mail
    for table in tables:
        assert len(table.suspects[DEADLY]) <= crash_suspects.MAX_ENDS


def test_a_request_hidden_behind_suspects_is_quarantined_after_three() -> None:
    """Guards against ends that are always blamed on other requests."""
    table = Table()
    for end in range(crash_suspects.MAX_WITNESSED_ENDS):
        assert not table.is_quarantined(DEADLY)
        table.time_s += 1
        table.record_end(100 + end, [50 + end])
        table.record_end(end, [DEADLY, 50 + end])
    assert table.is_quarantined(DEADLY)


def test_the_most_suspected_requests_are_reported_first() -> None:
    """Guards against a deadly request hidden among many of its neighbours."""
    table = Table()
    sent: list[crash_suspects.Report] = []
    table.on_change = sent.extend
    table.record_end(1, [DEADLY, 1])
    table.time_s += 1
    table.record_end(2, range(100))
    table.time_s += 1
    table.record_end(3, [*range(500, 600), DEADLY])
    assert table.list_most_suspected(1)[0].fingerprint == DEADLY
    in_flight = [report for report in sent if report.ends[-1].target == 3]
    assert in_flight[0].fingerprint == DEADLY


def test_suspects_are_forgotten() -> None:
    """Guards against a quarantine that nothing ever ends."""
    table = Table()
    table.record_end(1, [DEADLY])
    table.record_end(2, [DEADLY])
    stale = table.list_most_suspected(9)
    table.time_s += crash_suspects.SUSPECT_LIFETIME_S + 1
    assert not table.is_quarantined(DEADLY)
    table.merge(stale)
    assert not table.list_most_suspected(9)


def test_the_table_is_bounded() -> None:
    """Guards against memory that grows with the number of requests."""
    table = Table()
    for number in range(crash_suspects.MAX_SUSPECTS + 50):
        table.record_end(number, [number])
    for end in range(100):
        table.time_s += 0.1
        table.record_end(end, [DEADLY])
    assert len(table.suspects) <= crash_suspects.MAX_SUSPECTS
    assert len(table.suspects[DEADLY]) <= crash_suspects.MAX_ENDS
    assert table.is_quarantined(DEADLY)


@pytest.mark.parametrize("seed", range(20))
def test_nodes_agree_and_fall_silent(seed: int) -> None:
    """Guards against reports that nodes send to and fro without end.

    Datagrams arrive late, in any order, and some are lost.
    """
    rng = random.Random(seed)
    tables = [Table() for _ in range(4)]
    mail: list[tuple[Table, list[crash_suspects.Report], float]] = []

    def connect(table: Table) -> None:
        def send(reports: list[crash_suspects.Report]) -> None:
            mail.extend(
                (other, reports, table.time_s)
                for other in tables
                if reports and other is not table and rng.random() < 0.8
            )

        table.on_change = send

    def advance() -> None:
        step_s = rng.uniform(0, 0.01)
        for table in tables:
            table.time_s += step_s

    def deliver() -> None:
        if not mail:
            return
        advance()
        table, reports, sent_s = mail.pop(rng.randrange(len(mail)))
        # Ages in datagrams don't include the time that these take.
        shift_s = table.time_s - sent_s
        table.merge(
            crash_suspects.Report(
                report.fingerprint,
                tuple(
                    dataclasses.replace(end, at_s=end.at_s + shift_s)
                    for end in report.ends
                ),
            )
            for report in reports
        )

    for table in tables:
        connect(table)
    for end in range(30):
        advance()
        rng.choice(tables).record_end(
            end, [DEADLY, *rng.sample(range(20), rng.randrange(5))]
        )
        rng.choice(tables).record_completion(rng.randrange(20))
        for _ in range(rng.randrange(8)):
            deliver()
    for _ in range(20_000):
        deliver()
    assert not mail
    for table in tables:
        for other in tables:
            table.merge(other.list_most_suspected(100))
    assert all(table.is_quarantined(DEADLY) for table in tables)


def _make_reports(table: Table) -> crash_reports.CrashReports:
    gossiper = gossip.Gossiper(
        members.Membership("n1"), lambda: 1, lambda *_: None, random.Random(1)
    )
    return crash_reports.CrashReports(table, gossiper, lambda: table.time_s)


def test_a_full_datagram_transfers_all_suspects() -> None:
    """Guards against datagrams that are too large or lose a suspect."""
    table, other = Table(), Table()
    sender, receiver = _make_reports(table), _make_reports(other)
    requests = [DEADLY - number for number in range(crash_reports.MAX_REPORTS)]
    for number in range(crash_suspects.MAX_ENDS):
        table.record_end(DEADLY - number, requests)
        table.time_s += 9
    table.record_completion(requests[0])
    data = sender.encode(table.list_most_suspected(crash_reports.MAX_REPORTS))
    assert data[:1] == crash_reports.TYPE_BYTE
    other.time_s = 5.0
    receiver.receive(data[1:])
    for request in requests:
        assert other.is_quarantined(request) == table.is_quarantined(request)
    assert not other.is_quarantined(requests[0])


@pytest.mark.parametrize(
    "message",
    [
        [[1]],
        [[-1, []]],
        [["x", []]],
        [[1, [[1, -5, True, True]]]],
        [[1, [[1, 1, True, True]] * 9]],
        [[1, []]] * 99,
        "text",
    ],
)
def test_malformed_datagrams_are_rejected(message: object) -> None:
    """Guards against datagrams of another program ending a node."""
    reports = _make_reports(Table())
    with pytest.raises(decoding.DecodingError):
        reports.receive(msgspec.msgpack.encode(message))
