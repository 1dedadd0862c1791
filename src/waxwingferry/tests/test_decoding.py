"""Tests of the decoders of bytes from outside the process."""

import msgspec
import pytest

from waxwingferry import decoding


@pytest.mark.parametrize(
    "data",
    [
        b"[" * 100_000,
        b"[" * 5000 + b"]" * 5000,
        b'{"x":' * 5000 + b"1" + b"}" * 5000,
        b"[" * 66 + b"]" * 66,
        b"9" * 5000,
        b"1e400",
        b"NaN",
        b"Infinity",
        b'"\xff"',
        b'"\\ud800"',
        b'{"x":1',
        b"",
        b"\x00",
    ],
)
def test_undecodable_json_is_a_decoding_error(data):
    """Guards against errors that readers of such bytes don't expect."""
    with pytest.raises(decoding.DecodingError):
        decoding.decode_json(data)


def test_json_of_usual_depth_is_decoded():
    """Guards against sound values that are refused."""
    assert decoding.decode_json(b"[" * 60 + b"]" * 60) is not None
    assert decoding.decode_json(b'{"x":1,"x":2}') == {"x": 2}


def test_undecodable_messagepack_is_a_decoding_error():
    """Guards against errors that readers of such bytes don't expect."""
    for data in (b"\x91" * 5000 + b"\x01", b"\xc1", b"\xa1\xff", b""):
        with pytest.raises(decoding.DecodingError):
            decoding.decode(msgspec.msgpack.decode, data)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("0", 0),
        ("9" * 15, 10**15 - 1),
        ("9" * 5000, None),
        ("\u00b2", None),
        ("\u0663", None),
        ("1_0", None),
        ("-1", None),
        (" 1", None),
        ("1\n", None),
        ("", None),
    ],
)
def test_only_short_decimal_numbers_are_counts(text, expected):
    """Guards against texts that isdigit() accepts and int() rejects."""
    assert decoding.parse_count(text) == expected
