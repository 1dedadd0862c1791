"""Tests that queries are formatted as by the standard library."""

import urllib.parse

import hypothesis
from hypothesis import strategies

from waxwingferry.connection import query


@hypothesis.given(
    strategies.dictionaries(
        strategies.text(
            strategies.characters(exclude_categories=["Cs"]), max_size=20
        ),
        strategies.text(
            strategies.characters(exclude_categories=["Cs"]), max_size=20
        )
        | strategies.integers(),
    )
)
def test_a_query_is_that_of_the_standard_library(fields):
    """Guards against a key that the store reads as another one."""
    assert query.format_query(fields) == urllib.parse.urlencode(fields)
