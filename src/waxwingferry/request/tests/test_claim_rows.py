"""Tests of rows that another writer left under the key of a claim."""

import random

import pytest

from waxwingferry.process import background
from waxwingferry.process import metrics
from waxwingferry.process import platform
from waxwingferry.process.tests import fakes
from waxwingferry.request import answer_recorder
from waxwingferry.request import claim
from waxwingferry.request import claim_results
from waxwingferry.request import outcome
from waxwingferry.request.tests import test_calls

pytestmark = pytest.mark.anyio

DONE = {"claim_id": "other", "digest": "x", "state": "done"}
ANSWER = {"status": 200, "headers": [], "body": None}
ODD_VALUES = [
    None,
    {},
    {"claim_id": "other"},
    {"claim_id": ["other"], "digest": "x", "state": "claimed"},
    {"claim_id": "other", "digest": "x", "state": "paused"},
    DONE,
    {**DONE, "answer": []},
    {**DONE, "answer": {**ANSWER, "status": 10**400}},
    {**DONE, "answer": {**ANSWER, "headers": [["a"]]}},
    {**DONE, "answer": {**ANSWER, "body": "x"}},
]


def put_odd_row(table: fakes.Table, key: str, value: dict | None) -> None:
    """Writes a row without a condition."""
    table.version += 1
    table.rows[key] = platform.Row(
        key, value, table.version, malformed=value is None
    )


@pytest.mark.parametrize("value", ODD_VALUES)
async def test_a_key_with_an_odd_row_counts_as_held(value):
    """Guards against a process that ends, or a call that runs twice."""
    table = fakes.Table()
    claims = claim.Claims(
        table,
        background.Background(),
        claim.ClaimBudget(lambda: 100.0),
        metrics.Metrics(),
        random.Random(1),
    )
    call = test_calls.make_call(key="k1")
    if value and "digest" in value:
        value = {**value, "digest": claim.make_digest(call)}
    put_odd_row(table, claim.make_row_key(call), value)
    found = await claims._claim(call, answer_recorder.AnswerRecorder())
    assert found == outcome.Unknown(outcome.Reason.CLAIM_HELD, 504)


@pytest.mark.parametrize("value", ODD_VALUES)
async def test_an_odd_row_does_not_end_the_writer_of_results(value):
    """Guards against results that are no longer written."""
    table = fakes.Table()
    writer = claim_results.ResultWriter(table, metrics.Metrics())
    odd = claim_results.Claim("claims/odd", "1", "x", started=True)
    sound = claim_results.Claim("claims/sound", "2", "x", started=True)
    put_odd_row(table, odd.row_key, value)
    for item in (odd, sound):
        released = item.make_row_value(claim_results.RELEASED)
        writer.defer(item, released)
    await writer.flush()
    assert not writer.deferred
    assert table.rows[odd.row_key].value == value
    assert table.value(sound.row_key)["claim_id"] == "2"
