"""Numbers in the fields of requests and responses: one reader for all of them."""

from __future__ import annotations

import pytest

from headspar.node.backend_connection import read_report
from headspar.node.request_fields import read_budget, read_decimal, read_hint

NO_NUMBERS = [b"", b"soon", b"1_000", b"nan", b"inf", b"-inf", b"infinity", b"1e999", b"0x10", b" 5", b"5 ", b"1.2.3",
              b"\xb2", b"."]


@pytest.mark.parametrize("value", NO_NUMBERS)
def test_what_is_no_decimal_number_is_none_in_any_field(value: bytes) -> None:
    """Guards against a deadline that other readers take for no number, and a load report that is not finite."""
    assert read_decimal(value) is None
    assert read_budget(value + b"m") is None
    assert read_hint(value) is None
    assert read_report(b"eps=" + value + b"_", ("eps", "inflight")) is None
    assert read_report(b"eps=1_0, inflight=3", ("eps", "inflight")) == {"inflight": 3.0}


@pytest.mark.parametrize(("value", "number"), [
    (b"5", 5.0), (b"480", 480.0), (b"1.5", 1.5), (b"2.", 2.0), (b".5", 0.5), (b"1e3", 1000.0), (b"+7", 7.0),
])
def test_decimal_numbers_are_read(value: bytes, number: float) -> None:
    assert read_decimal(value) == number
    assert read_budget(value + b"m") == int(1000 * number)
    assert read_hint(value) == int(number)
    assert read_report(b"eps=" + value, ("eps",)) == {"eps": number}
