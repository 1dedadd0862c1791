"""Reports and header fields of targets."""

import json

import pytest

from waxwingferry.connection import exchange
from waxwingferry.connection import http1
from waxwingferry.platform import fields
from waxwingferry.platform import reports
from waxwingferry.process import target
from waxwingferry.request import calls
from waxwingferry.request import outcome

REPORT = {
    "address": "10.128.0.9:8080",
    "born": 1700000000000,
    "info": {"service": "huvo11a", "version": "v1", "zone": "a", "slots": 9},
    "status": {"state": "ready", "sequence": 4, "warmup-left": "1500ms"},
}


def test_a_report_is_decoded():
    """Guards against two starts under one id taken for the same one."""
    found = reports.parse_heartbeat("i-1", json.dumps(REPORT).encode())
    assert found.announcement.incarnation == "i-1:1700000000000"
    assert (found.sequence, found.warmup_left_s) == (4, 1.5)
    assert found.announcement.slots == 9


@pytest.mark.parametrize(
    "change",
    [
        {"address": "nowhere"},
        {"info": {"service": "huvo11a"}},
        {"status": {"state": "resting", "sequence": 4}},
        {"born": "yesterday"},
    ],
)
def test_a_malformed_report_names_no_target(change):
    """Guards against targets made up from what another writer sent."""
    with pytest.raises(reports.HeartbeatError):
        reports.parse_heartbeat(
            "i-1", json.dumps({**REPORT, **change}).encode()
        )


def test_bytes_that_are_no_report_are_refused():
    """Guards against a crash on bytes that can't be read."""
    with pytest.raises(reports.HeartbeatError):
        reports.parse_heartbeat("i-1", b"\xff{")


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/-/instances/i-1/heartbeat", ("i-1", False)),
        ("/-/instances/i-1/deregister", ("i-1", True)),
        ("/-/instances/i-1/other", None),
        ("/health", None),
    ],
)
def test_paths_of_reports(path, expected):
    """Guards against a leave taken for a report."""
    assert reports.match_path(path) == expected


ANNOUNCEMENT = target.Announcement("huvo11a", "v1", 9, "10.0.0.1", 80, "i-1:17")


def make_attempt() -> calls.Attempt:
    """Returns an attempt as the target's node gets it."""
    protocol = fields.RequesterProtocol("wuno96b")
    headers = protocol.prepare_request_headers(
        [
            ("host", "a.example"),
            (fields.REQUEST_ID, "9c41"),
            (fields.DEADLINE_MS, "2500"),
            (fields.CALLER_SERVICE, "forged"),
        ]
    )
    return calls.Attempt(
        "c1.1",
        "huvo11a",
        "GET",
        "/a/",
        headers,
        calls.Body(b""),
        calls.make_deadline(1.0),
        "",
        1,
        "n1",
    )


def test_a_target_gets_only_the_fields_meant_for_it():
    """Guards against forged callers, longer times and internal fields."""
    made = dict(fields.Dialect().make_headers(make_attempt(), ANNOUNCEMENT))
    assert made[fields.CALLER_SERVICE] == "wuno96b"
    assert made[fields.EXPECTED_TARGET] == "i-1"
    assert made[fields.REQUEST_ID] == "9c41"
    assert 900 <= int(made[fields.DEADLINE_MS]) <= 1000
    assert not [name for name in made if name.startswith("x-waxwing-")]


@pytest.mark.parametrize(
    ("status", "headers", "reason"),
    [
        (503, [(fields.NOT_RUN, "1")], outcome.Reason.TARGET_REFUSED),
        (429, [(fields.NOT_RUN, "1")], outcome.Reason.TARGET_REFUSED),
        (421, [], outcome.Reason.NO_TARGET),
        (503, [], None),
        (500, [], None),
    ],
)
def test_only_a_statement_proves_that_nothing_ran(status, headers, reason):
    """Guards against a 503 of a failing target taken for "not run"."""
    head = http1.ResponseHead(status, headers)
    assert fields.Dialect().find_refusal(head) is reason


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("3,1,8", (3, 1, 8, 1.0)),
        ("3,1,8,700", (3, 1, 8, 7.0)),
        ("", None),
        ("a,b,c", None),
    ],
)
def test_loads(text, expected):
    """Guards against a slowness read as a count."""
    found = fields._read_load([(fields.LOAD, text)])
    if expected is None:
        assert found is None
        return
    assert found is not None
    assert (
        found.running,
        found.waiting,
        found.slots,
        found.slowness,
    ) == expected


def test_health_of_another_target_says_nothing():
    """Guards against the load of a target that took the address over."""
    headers = [(fields.TARGET_ID, "i-2"), (fields.LOAD, "1,0,8")]
    reply = exchange.Reply(200, headers, b"")
    assert fields.read_health(reply, "i-1") is None
    assert fields.read_health(reply, "i-2") is not None


def test_a_deadline_that_is_no_number_is_refused():
    """Guards against signs and spaces that int() would take."""
    protocol = fields.RequesterProtocol("s")
    assert protocol.parse_context([]).deadline_ms is None
    with pytest.raises(http1.HttpError):
        protocol.parse_context([(fields.DEADLINE_MS, "+5")])


def test_a_health_answer_without_a_cold_time_is_of_a_warm_target():
    """Guards against a warm target paced because its node restarted."""
    reply = exchange.Reply(200, [(fields.LOAD, "1,0,8")], b"")
    found = fields.read_health(reply, "i-1")
    assert found is not None
    assert found.warmup_left_s == 0.0
    cold = [(fields.LOAD, "1,0,8"), (fields.WARMUP_MS, "1500")]
    found = fields.read_health(exchange.Reply(200, cold, b""), "i-1")
    assert found is not None
    assert found.warmup_left_s == 1.5


def test_a_cold_target_that_states_no_load_is_paced():
    """Guards against a cold time that is read only beside a load."""
    headers = [(fields.TARGET_ID, "i-1"), (fields.WARMUP_MS, "900")]
    found = fields.read_health(exchange.Reply(200, headers, b""), "i-1")
    assert found == target.TargetLoad(0, 0, 0, 1.0, 0.9)
