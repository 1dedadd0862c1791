"""Explanations of requests from the logs of several processes."""

import io
import json

import pytest

from waxwingferry.cli import explain
from waxwingferry.cli import main
from waxwingferry.process import program

TIMESTAMP_FORMAT = "2026-02-18T01:08:{:09.6f}Z"


def make_line(at_s: float, **fields) -> str:
    """Returns a log line in the JSON format of the processes."""
    return json.dumps({**fields, "timestamp": TIMESTAMP_FORMAT.format(at_s)})


ENTRY_LOG = "\n".join(
    [
        make_line(1.0, event="document in force", revision=16),
        make_line(18.0, event="target ejected", node="n2"),
        make_line(19.0, request="other", event="request answered", status=200),
        make_line(
            20.002,
            request="a1",
            route="r1",
            node="n1",
            reason="busy",
            not_run=True,
            event="attempt ended without an answer",
        ),
        make_line(
            20.9,
            request="a1",
            service="desk",
            reason="timeout",
            status=504,
            event="request refused",
        ),
        "Traceback (most recent call last):",
        "{not json",
    ]
)
TARGET_LOG = "  20.0010 n1 " + make_line(
    20.001, request="a1", reason="busy", slowness=7.0, event="attempt refused"
)


@pytest.fixture
def logs(tmp_path) -> str:
    """Paths of the logs of two processes."""
    (tmp_path / "entry.log").write_text(ENTRY_LOG, encoding="utf-8")
    (tmp_path / "target.log").write_text(TARGET_LOG, encoding="utf-8")
    return f"{tmp_path}/entry.log,{tmp_path}/target.log"


def test_request_is_explained_across_processes(logs, capsys):
    """Guards against an explanation limited to the lines of one process."""
    assert main.explain_request("a1", logs) == 0
    output_lines = capsys.readouterr().out.splitlines()
    joined = "\n".join(output_lines)
    assert joined.index("attempt refused") < joined.index("attempt ended")
    assert "slowness=7.0" in joined
    assert "target ejected" in joined
    assert "document in force" not in joined
    assert "other" not in joined
    assert output_lines[-1] == (
        "outcome: request refused with 504; the target's machine had turned "
        "slow, then the time ran out while the request ran"
    )


def test_standard_input_is_read(monkeypatch, capsys):
    """Guards against a command that can't be used in a pipeline."""
    monkeypatch.setattr("sys.stdin", io.StringIO(ENTRY_LOG))
    assert main.explain_request("other") == 0
    assert "request answered with 200" in capsys.readouterr().out


def test_unknown_request_is_reported_in_one_line(logs):
    """Guards against reporting success for a request without log lines."""
    with pytest.raises(program.CommandError, match="not in the 6 lines read"):
        explain.explain(explain.read_lines(logs.split(",")), "b2")


def test_missing_file_is_named():
    """Guards against a traceback for a missing log file."""
    with pytest.raises(program.UsageError, match="logs = 'no.log'"):
        explain.read_lines(["no.log"])
