"""Tests of heartbeats and header fields of targets."""

import json
from typing import Any

import pytest
import structlog.testing

from waxwingferry.connection import exchange
from waxwingferry.connection import http1
from waxwingferry.platform import header_fields
from waxwingferry.platform import heartbeats
from waxwingferry.process import target
from waxwingferry.request import calls
from waxwingferry.request import outcome

HEARTBEAT: dict[str, Any] = {
    "address": "10.128.0.9:8080",
    "born": 1700000000000,
    "info": {"service": "huvo11a", "version": "v1", "zone": "a", "slots": 9},
    "status": {"state": "ready", "sequence": 4, "warmup-left": "1500ms"},
}


def test_a_heartbeat_is_decoded():
    """Guards against mixing up two incarnations with the same target id."""
    found = heartbeats.parse_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
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
def test_a_malformed_heartbeat_is_refused(change):
    """Guards against announcing a target with invalid data."""
    with pytest.raises(heartbeats.HeartbeatError):
        heartbeats.parse_heartbeat(
            "i-1", json.dumps({**HEARTBEAT, **change}).encode()
        )


STATUS = HEARTBEAT["status"]
INFO = HEARTBEAT["info"]


@pytest.mark.parametrize(
    "change",
    [
        {"address": "10.128.0.9:\u00b2"},
        {"address": "10.128.0.9:" + "9" * 5000},
        {"address": "10.128.0.9:65536"},
        {"address": "10.128.0.9:1000000000"},
        {"address": "10.128.0.9:-1"},
        {"address": "10.128.0.9:0"},
        {"address": "10.128.0.9"},
        {"address": ["10.128.0.9:8080"]},
        {"born": 10**30},
        {"born": -1},
        {"born": 10**400},
        {"born": 1.5},
        {"born": True},
        {"info": {**INFO, "slots": 0}},
        {"info": {**INFO, "slots": 2**70}},
        {"info": {**INFO, "service": ["huvo11a"]}},
        {"info": [INFO]},
        {"status": {**STATUS, "sequence": 10**30}},
        {"status": {**STATUS, "sequence": -1}},
        {"status": {**STATUS, "sequence": "4"}},
        {"status": {**STATUS, "warmup-left": "1e999s"}},
        {"status": {**STATUS, "warmup-left": "-5s"}},
        {"status": {**STATUS, "warmup-left": "9" * 400 + "s"}},
        {"status": {**STATUS, "state": {}}},
    ],
)
def test_odd_values_of_a_heartbeat_are_refused(change):
    """Guards against numbers that fail, or outrank all later heartbeats."""
    with pytest.raises(heartbeats.HeartbeatError):
        heartbeats.parse_heartbeat(
            "i-1", json.dumps({**HEARTBEAT, **change}).encode()
        )


@pytest.mark.parametrize(
    "field",
    [
        b'"x":' + b"[" * 5000 + b"]" * 5000,
        b'"x":' + b'{"x":' * 5000 + b"1" + b"}" * 5000,
        b'"born":1e400',
        b'"born":' + b"9" * 5000,
        b'"born":NaN',
        b'"address":"\xff"',
        b'"address":"\\ud800:1"',
    ],
)
def test_odd_json_of_a_heartbeat_is_refused(field):
    """Guards against a crash on JSON that can't be decoded."""
    body = json.dumps(HEARTBEAT).encode()
    with pytest.raises(heartbeats.HeartbeatError):
        heartbeats.parse_heartbeat("i-1", body[:-1] + b"," + field + b"}")


def test_undecodable_bytes_are_refused():
    """Guards against a crash on a body that is not JSON."""
    with pytest.raises(heartbeats.HeartbeatError):
        heartbeats.parse_heartbeat("i-1", b"\xff{")


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/-/instances/i-1/heartbeat", ("i-1", False)),
        ("/-/instances/i-1/deregister", ("i-1", True)),
        ("/-/instances/i-1/other", None),
        ("/health", None),
    ],
)
def test_control_paths_are_parsed(path, expected):
    """Guards against a deregistration handled as a heartbeat."""
    assert heartbeats.parse_path(path) == expected


ANNOUNCEMENT = target.Announcement("huvo11a", "v1", 9, "10.0.0.1", 80, "i-1:17")


def make_attempt() -> calls.Attempt:
    """Returns an attempt as the node of the target receives it."""
    protocol = header_fields.PlatformCallerProtocol(lambda: "wuno96b")
    headers = protocol.prepare_request_headers(
        [
            ("host", "a.example"),
            (header_fields.REQUEST_ID, "9c41"),
            (header_fields.DEADLINE_MS, "2500"),
            (header_fields.CALLER_SERVICE, "forged"),
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


def test_a_target_gets_only_the_headers_meant_for_it():
    """Guards against forged callers, longer deadlines and internal headers."""
    headers = dict(
        header_fields.PlatformTargetProtocol().make_headers(
            make_attempt(), ANNOUNCEMENT
        )
    )
    assert headers[header_fields.CALLER_SERVICE] == "wuno96b"
    assert headers[header_fields.EXPECTED_TARGET] == "i-1"
    assert headers[header_fields.REQUEST_ID] == "9c41"
    assert 900 <= int(headers[header_fields.DEADLINE_MS]) <= 1000
    assert not [name for name in headers if name.startswith("x-waxwing-")]


@pytest.mark.parametrize(
    ("status", "headers", "reason"),
    [
        (503, [(header_fields.NOT_RUN, "1")], outcome.Reason.TARGET_REFUSED),
        (429, [(header_fields.NOT_RUN, "1")], outcome.Reason.TARGET_REFUSED),
        (421, [], outcome.Reason.NO_TARGET),
        (503, [], None),
        (500, [], None),
    ],
)
def test_only_an_explicit_refusal_proves_that_nothing_ran(
    status, headers, reason
):
    """Guards against a 503 of a failing target handled as "not run"."""
    head = http1.ResponseHead(status, headers)
    assert header_fields.PlatformTargetProtocol().find_refusal(head) is reason


# The error ended the task that samples the target, and so the process.
@pytest.mark.parametrize(
    "text",
    [
        "\u00b2,0,8",
        "3,1,8," + "9" * 400,
        "9" * 5000 + ",1,8",
        "3,1," + "9" * 30,
        "3,1,-8",
        "3,1,8,1e999",
        "3,1,8,NaN",
    ],
)
def test_an_odd_load_report_is_ignored(text):
    """Guards against a process that ends by a field of its target."""
    reply = exchange.Reply(200, [(header_fields.LOAD, text)], b"")
    found = header_fields.parse_health(reply, "i-1")
    assert found is not None
    assert found.slots == 0


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("3,1,8", (3, 1, 8, 1.0)),
        ("3,1,8,700", (3, 1, 8, 7.0)),
        ("", None),
        ("a,b,c", None),
    ],
)
def test_load_headers_are_parsed(text, expected):
    """Guards against a slowness parsed as a number of requests."""
    found = header_fields._parse_load([(header_fields.LOAD, text)])
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


def test_a_health_response_of_another_target_is_ignored():
    """Guards against using the load of a new target at the same address."""
    headers = [(header_fields.TARGET_ID, "i-2"), (header_fields.LOAD, "1,0,8")]
    reply = exchange.Reply(200, headers, b"")
    assert header_fields.parse_health(reply, "i-1") is None
    assert header_fields.parse_health(reply, "i-2") is not None


def test_a_deadline_that_is_not_a_number_is_refused():
    """Guards against signs and spaces, which int() would accept."""
    protocol = header_fields.PlatformCallerProtocol(lambda: "s")
    assert protocol.parse_context([]).deadline_ms is None
    with pytest.raises(http1.HttpError):
        protocol.parse_context([(header_fields.DEADLINE_MS, "+5")])


@pytest.mark.parametrize(
    ("text", "deadline_ms"),
    [
        ("0", 0),
        ("-3", 0),
        ("-0.4", 0),
        ("12.6", 13),
        ("007", 7),
        ("9" * 30, header_fields.MAX_DEADLINE_MS),
    ],
)
def test_odd_times_left_are_no_bad_requests(text, deadline_ms):
    """Guards against calls that are turned away as if they were wrong.

    A backend that calls on behalf of a request whose time has passed may state
    a negative time, which got status 400.
    """
    protocol = header_fields.PlatformCallerProtocol(lambda: "s")
    headers = [(header_fields.DEADLINE_MS, text)]
    assert protocol.parse_context(headers).deadline_ms == deadline_ms


def test_a_health_response_without_a_warmup_time_is_of_a_warm_target():
    """Guards against rate limiting a warm target after a node restart."""
    reply = exchange.Reply(200, [(header_fields.LOAD, "1,0,8")], b"")
    found = header_fields.parse_health(reply, "i-1")
    assert found is not None
    assert found.warmup_left_s == 0.0
    warmup_headers = [
        (header_fields.LOAD, "1,0,8"),
        (header_fields.WARMUP_MS, "1500"),
    ]
    found = header_fields.parse_health(
        exchange.Reply(200, warmup_headers, b""), "i-1"
    )
    assert found is not None
    assert found.warmup_left_s == 1.5


def test_a_warmup_time_without_a_load_is_read():
    """Guards against ignoring the warm-up time of a target without a load."""
    headers = [
        (header_fields.TARGET_ID, "i-1"),
        (header_fields.WARMUP_MS, "900"),
    ]
    found = header_fields.parse_health(exchange.Reply(200, headers, b""), "i-1")
    assert found == target.TargetLoad(
        0, 0, 0, 1.0, 0.9, statement=target.Statement()
    )


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ([], target.Statement()),
        ([("server-limit", "2.5")], target.Statement(2.5)),
        ([("server-limit", "4")], target.Statement(4.0)),
        ([("server-limit", "-1")], target.Statement()),
        ([("server-limit", "nan")], target.Statement()),
        ([("server-leaving", "1")], target.Statement(None, True)),
        ([("server-leaving", "0")], target.Statement()),
    ],
)
def test_statements_are_read_from_answers_and_health_responses(
    headers, expected
):
    """Guards against a stated rate limit or leave that is not noticed."""
    head = http1.ResponseHead(200, headers)
    protocol = header_fields.PlatformTargetProtocol()
    assert protocol.read_statement(head) == expected
    found = header_fields.parse_health(exchange.Reply(200, headers, b""), "")
    assert found is not None
    assert found.statement == expected


# Targets stated a rate limit in a field that no code read.
def test_a_field_that_nothing_reads_is_logged_once():
    """Guards against new statements of targets that go unnoticed."""
    unknown_fields = header_fields.UnknownFields()
    headers = [
        (header_fields.LOAD, "1,0,8"),
        (header_fields.MAX_RATE, "2.5"),
        ("content-length", "0"),
        ("server-mood", "fair"),
    ]
    with structlog.testing.capture_logs() as logs:
        unknown_fields.record(headers)
        unknown_fields.record(headers)
        unknown_fields.record([(f"x-{n}", "") for n in range(1000)])
    assert logs[0] == {
        "name": "server-mood",
        "value": "fair",
        "event": "target states an unknown field",
        "log_level": "warning",
    }
    assert all(entry["name"].startswith("x-") for entry in logs[1:])
    assert len(logs) == header_fields._MAX_UNKNOWN_FIELDS
